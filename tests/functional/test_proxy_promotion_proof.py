"""What a promotion takes as proof that a replica holds every commit."""

import trio

from geraniumridge._internal.decisions import succession
from geraniumridge._internal.utils import rendezvous
from lib.failovers import add_proxy_per_domain
from lib.failovers import MAX_FAILOVER_S
from lib.failovers import wait_failover_completed
from lib.failovers import write_until_acknowledged
from lib import proxies
from lib.proxies import is_success

COMMITS = 10
"""Writes that only one replica receives."""


async def start_ranked_proxies(cluster):
    """Return proxies in the order in which they run the group's failovers.

    They know all departures when this returns.
    """
    members = await add_proxy_per_domain(cluster)
    await trio.sleep(succession.FENCE_TIMEOUT_S + 0.2)
    by_name = {proxy.settings.vm.name: proxy for proxy in members}
    ranked = rendezvous.rank_nodes("ledger", members[0].node.view.members)
    return [by_name[vm] for vm in ranked]


async def restart_without_log(cluster, name):
    """Start a replica again, empty; it then receives the whole log."""
    instance = cluster.group.instances[name]
    instance.crash()
    instance.log = []
    instance.applied_count = 0
    await instance.start(cluster.nursery)
    entry = cluster.group.make_entry(instance)
    cluster.store.put(f"servers/{name}", {**entry, "born": 2})


def test_silent_replica_that_started_again_is_waited_for():
    """A position from before its newest commits was taken as their bound.

    The proxy that runs the failover sent the primary nothing meanwhile.
    """

    async def main():
        async with proxies.open_cluster() as cluster:
            quiet, *_, busy = await start_ranked_proxies(cluster)
            instances = cluster.group.instances
            writer = await cluster.connect(busy)
            assert is_success(await writer.query("WRITE a 1"))
            await restart_without_log(cluster, "i-2")
            await proxies.wait_until(
                lambda: quiet.node.view.get_restart("i-2")
            )
            assert is_success(await writer.query("WRITE b 1"))
            reader = await cluster.connect(quiet)
            assert is_success(await reader.query("READ b"))
            instances["i-1"].ignores_replication = True
            for number in range(COMMITS):
                assert is_success(await writer.query(f"WRITE k{number} 1"))
            instances["i-2"].is_silent = True
            instances["i-0"].crash()
            with trio.move_on_after(succession.FENCE_TIMEOUT_S + 2):
                await write_until_acknowledged(writer, "after")
            assert not cluster.promotion_server.promotion_calls
            instances["i-1"].ignores_replication = False
            instances["i-2"].is_silent = False
            writer = await cluster.connect(busy)
            await write_until_acknowledged(writer, "after")
            for number in range(COMMITS):
                assert (await writer.query(f"READ k{number}"))[0] == "ROW 1"

    trio.run(main)


def test_replica_with_all_that_the_vms_passed_on_is_promoted():
    """A silent replica isn't waited for once they have told it.

    It is still registered, and was never seen to leave.
    """

    async def main():
        async with proxies.open_cluster() as cluster:
            quiet, *_, busy = await start_ranked_proxies(cluster)
            writer = await cluster.connect(busy)
            for number in range(COMMITS):
                assert is_success(await writer.query(f"WRITE k{number} 1"))
            cluster.group.instances["i-2"].is_silent = True
            cluster.group.instances["i-0"].crash()
            cluster.nursery.start_soon(
                write_until_acknowledged, writer, "after"
            )
            await proxies.wait_until(
                lambda: cluster.promotion_server.promotion_calls,
                MAX_FAILOVER_S,
            )
            cluster.group.instances["i-2"].is_silent = False
            await wait_failover_completed(cluster)
            assert cluster.group.instances["i-1"].role == "primary"

    trio.run(main)


def test_replica_that_started_again_unseen_is_no_proof():
    """It had copied half of the log, and its status counted as whole."""

    async def main():
        async with proxies.open_cluster() as cluster:
            *_, busy = await start_ranked_proxies(cluster)
            instances = cluster.group.instances
            writer = await cluster.connect(busy)
            instances["i-1"].ignores_replication = True
            for number in range(COMMITS):
                assert is_success(await writer.query(f"WRITE k{number} 1"))
            restarted = instances["i-2"]
            restarted.log = restarted.log[: COMMITS // 2]
            restarted.applied_count = len(restarted.log)
            instances["i-0"].crash()
            with trio.move_on_after(succession.FENCE_TIMEOUT_S + 2):
                await write_until_acknowledged(writer, "after")
            assert not cluster.promotion_server.promotion_calls
            await instances["i-0"].start(cluster.nursery)
            for name in ("i-1", "i-2"):
                instances[name].ignores_replication = False
            writer = await cluster.connect(busy)
            await write_until_acknowledged(writer, "after")
            for number in range(COMMITS):
                assert (await writer.query(f"READ k{number}"))[0] == "ROW 1"

    trio.run(main)
