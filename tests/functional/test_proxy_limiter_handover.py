"""Handover of a team's limit to a VM that joins."""

import pytest
import trio

from geraniumridge._internal.decisions import limit_holders
from geraniumridge._internal.utils import clock
from geraniumridge._internal.utils import rendezvous
from lib.failovers import add_proxy_per_domain
from lib import proxies

FORMER = "vm-2"
NEWCOMER = "vm-9"
PLAY_S = 8.0
POLL_S = 0.01


def find_team():
    """Return a team whose limit moves to the newcomer."""
    others = ["vm-0", "vm-1"]
    return next(
        team
        for team in (f"team-{number}" for number in range(1000))
        if rendezvous.rank_nodes(
            limit_holders.make_limiter_key(team),
            [*others, FORMER, NEWCOMER],
        )[:2]
        == [NEWCOMER, FORMER]
    )


def is_granting(proxy, team):
    limiter = proxy.node.limits._limiter
    return limiter._find_limit(team, clock.now()) is not None


async def wait_settled(proxy, count):
    def is_settled():
        members = proxy.node.view.members.values()
        return sum(member.is_settled for member in members) == count

    await proxies.wait_until(is_settled, limit_holders.STABLE_AFTER_S + 3.0)


def run_join(cut, delay_s, is_peer_cut):
    """Let a VM join; return who has granted tokens at each moment."""
    team = find_team()
    moments = []

    async def main():
        async with proxies.open_cluster() as cluster:
            tenant = {**proxies.make_config()["tenants"][0], "name": team}
            cluster.store.put(
                "op/config", proxies.make_config(2, tenants=[tenant])
            )
            running = await add_proxy_per_domain(cluster)
            former = running[2]
            await wait_settled(former, 3)
            await proxies.wait_until(lambda: is_granting(former, team))
            newcomer = await cluster.add_proxy(NEWCOMER, "north")
            await trio.sleep(delay_s)
            if cut:
                former.store_client.is_partitioned = True
            if is_peer_cut:
                former.disconnect_peers([newcomer])
            for _ in range(int(PLAY_S / POLL_S)):
                moments.append(
                    tuple(
                        proxy.settings.vm.name
                        for proxy in (former, newcomer)
                        if is_granting(proxy, team)
                    )
                )
                await trio.sleep(POLL_S)

    trio.run(main)
    return moments


@pytest.mark.parametrize("is_peer_cut", [False, True])
@pytest.mark.parametrize("delay_s", [0.5, 3.7])
def test_two_vms_never_limit_a_team_when_one_joins(delay_s, is_peer_cut):
    """Guards against a limit that is granted twice.

    The former limiter is cut off from the store before the newcomer settles.
    """
    moments = run_join(True, delay_s, is_peer_cut)
    assert (FORMER, NEWCOMER) not in moments
    assert moments[-1] == (NEWCOMER,)


def test_limit_is_handed_over_at_once_in_a_calm_fleet():
    """The former limiter answers, so nobody waits for the age of its view."""
    moments = run_join(False, 0.0, False)
    assert (FORMER, NEWCOMER) not in moments
    assert moments[-1] == (NEWCOMER,)
    assert moments.count(()) * POLL_S < 1.0
