"""Two regions: datagrams between their VMs take 20 or 50 ms one way."""

import pytest
import trio

from lib import proxies
from lib.proxies import is_success

RATE_PER_S = 20
"""Rate limit of each team, in operations per second."""

TEAMS = [f"team-{number}" for number in range(8)]
"""Enough that the limiter of at least one is the VM of the other region."""


def find_far_team(running, limiter):
    """Return a team that another VM limits, as a proxy sees it."""
    directory = running.node.limits._directory
    for team in TEAMS:
        holders = directory.find(team)
        if holders.limiter and holders.limiter.vm == limiter:
            return team
    raise AssertionError(f"{limiter} limits no team")


async def start_two_regions(cluster, one_way_s):
    """Start a proxy in each of two regions; return both.

    A datagram takes `one_way_s` seconds between them.
    """
    cluster.regions = {"north": "east", "south": "west", "west": "west"}
    limits = [
        {
            "name": team,
            "apiKeys": [f"key-{team}"],
            "ratePerS": RATE_PER_S,
            "burst": RATE_PER_S,
        }
        for team in TEAMS
    ]
    cluster.store.put("op/config", proxies.make_config(2, tenants=limits))
    near = await cluster.add_proxy("vm-1", "north")
    far = await cluster.add_proxy("vm-2", "south")
    near.delay_peers(cluster.nursery, [far], one_way_s)

    def are_stable():
        members = [
            member
            for running in (near, far)
            for member in running.node.view.members.values()
        ]
        return len(members) == 4 and all(item.is_settled for item in members)

    # Only stable members limit teams.
    await proxies.wait_until(are_stable, timeout_s=10.0)
    return near, far


async def count_refused(caller, count, pause_s):
    """Send operations one after the other; return how many failed."""
    refused = 0
    for _ in range(count):
        lines = await caller.query("WRITE item data")
        refused += not is_success(lines)
        await trio.sleep(pause_s)
    return refused


@pytest.mark.parametrize("one_way_s", [0.02, 0.05])
def test_operations_within_the_limit_are_not_refused_in_another_region(
    one_way_s,
):
    """A limiter that answers after 40 or 100 ms must not count as silent."""

    async def main():
        async with proxies.open_cluster() as cluster:
            near, _ = await start_two_regions(cluster, one_way_s)
            team = find_far_team(near, "vm-2")
            caller = await cluster.connect(near, key=f"key-{team}")
            assert await count_refused(caller, 30, 0.1) == 0
            round_trip_s = near.node.distances.get_round_trip_s("south")
            assert round_trip_s >= 2 * one_way_s

    trio.run(main)
