"""Reads of VMs that draw the targets and tell each other of the loads."""

import functools

import pytest
import trio

from geraniumridge._internal.decisions.placement import choice
from geraniumridge._internal.utils import clock
from lib import proxies

VM_COUNT = 4


@pytest.fixture
def small_fleets_draw(monkeypatch):
    """Let small fleets draw the targets too."""
    monkeypatch.setattr(choice, "MIN_DRAW_VMS", 1)


async def start_fleet(cluster):
    """Start four proxies in a domain, before three targets with one slot."""
    for instance in cluster.group.instances.values():
        entry = cluster.group.make_entry(instance)
        cluster.store.put(f"servers/{instance.name}", {**entry, "capacity": 1})
    return [
        await cluster.add_proxy(f"vm-{number}") for number in range(VM_COUNT)
    ]


def run_in_fleet(test):
    """Decorate an async test to run it in a cluster with four proxies."""

    @functools.wraps(test)
    def run(small_fleets_draw):
        async def main():
            async with proxies.open_cluster() as cluster:
                await test(cluster, await start_fleet(cluster))

        trio.run(main)

    del run.__wrapped__
    return run


async def read_repeatedly(caller, count):
    """Read an item; check each answer."""
    for _ in range(count):
        assert (await caller.query("READ item"))[0] == "ROW 1"


@run_in_fleet
async def test_drawn_targets_serve_all_reads_and_loads_are_known(
    cluster, fleet
):
    """Guards against reports that the daemon does not send or not use."""
    writer = await cluster.connect(fleet[0])
    await writer.query("WRITE item 1")
    for instance in cluster.group.instances.values():
        instance.slots = 1
        instance.statement_time_s = 0.01
    async with trio.open_nursery() as nursery:
        for proxy in fleet:
            caller = await cluster.connect(proxy, "stock")
            nursery.start_soon(read_repeatedly, caller, 60)
    now = clock.now()
    replicas = [cluster.group.instances[name] for name in ("i-1", "i-2")]
    assert all(len(item.executed) > 20 for item in replicas)
    for proxy in fleet:
        found = [
            proxy.node.load_reports.get_others(target, now)
            for target in ("i-1", "i-2")
        ]
        assert all(item is not None for item in found)
