"""Orders to promote a target that are carried out late or answered late."""

import trio

from geraniumridge._internal.decisions import promotion_orders
from geraniumridge._internal.models import fleet
from lib.failovers import add_proxy_per_domain
from lib.failovers import LEAD_KEY
from lib.failovers import MAX_FAILOVER_S
from lib.failovers import wait_failover_completed
from lib.failovers import wait_startup_delay
from lib.failovers import write_until_acknowledged
from lib import proxies
from lib.proxies import is_success
from lib.proxies import run_in_cluster

ORDER_KEY = fleet.make_order_key("ledger")


def list_fences(cluster):
    """Return the fencing tokens of the orders, as they were carried out."""
    calls = cluster.promotion_server.promotion_calls
    return [fence for _, _, fence in calls]


async def order_without_answer(cluster):
    """Drain the primary; return the target that a stalled order names."""
    cluster.promotion_server.is_stalled = True
    cluster.register(cluster.group.instances["i-0"], state="draining")
    await proxies.wait_until(
        lambda: cluster.promotion_server.arrived_count, MAX_FAILOVER_S
    )
    return cluster.store.get(ORDER_KEY)["target"]


@run_in_cluster
async def test_vm_whose_failover_was_taken_over_sends_no_order(cluster, proxy):
    """Guards against an order with a lower fence after its successor's."""
    instances = cluster.group.instances
    caller = await cluster.connect(proxy)
    assert is_success(await caller.query("WRITE a 1"))
    await wait_startup_delay(cluster)
    instances["i-2"].is_silent = True
    instances["i-0"].crash()
    cluster.nursery.start_soon(write_until_acknowledged, caller, "after", 99)
    await proxies.wait_until(lambda: cluster.store.get(LEAD_KEY))
    # All VMs have stopped using the primary by then.
    await proxies.wait_until(lambda: instances["i-1"].paused_term)
    proxy.store_client.is_partitioned = True
    taken_over = fleet.Lead("i-0", 1, "vm-9/boot", True)
    cluster.store.put(LEAD_KEY, fleet.encode_record(taken_over))
    instances["i-2"].is_silent = False
    await trio.sleep(2.5)
    assert cluster.promotion_server.arrived_count == 0


def test_order_in_doubt_binds_the_vm_that_takes_the_failover_over():
    """Guards against commits at a kept primary that the order then drops."""

    async def main():
        async with proxies.open_cluster() as cluster:
            members = await add_proxy_per_domain(cluster)
            await wait_startup_delay(cluster)
            ordered = await order_without_answer(cluster)
            holder = cluster.store.get(LEAD_KEY)["holder"].partition("/")[0]
            (former,) = [
                item for item in members if item.settings.vm.name == holder
            ]
            former.stop()
            others = [item for item in members if item is not former]
            await proxies.wait_until(
                lambda: cluster.store.get(LEAD_KEY)["holder"]
                != f"{holder}/{former.node.boot}",
                10,
            )
            caller = await cluster.connect(others[0])
            with trio.move_on_after(2.0):
                await write_until_acknowledged(caller, "a")
                raise AssertionError("a write was acknowledged")
            assert cluster.store.get(LEAD_KEY)["is_pending"]
            cluster.promotion_server.is_stalled = False
            caller = await cluster.connect(others[0])
            await write_until_acknowledged(caller, "a")
            lead = cluster.store.get(LEAD_KEY)
            assert (lead["target"], lead["is_pending"]) == (ordered, False)

    trio.run(main)


@run_in_cluster
async def test_primary_that_answers_again_is_not_kept_after_an_order(
    cluster, proxy
):
    """Guards against two failovers of one VM whose orders cross."""
    instances = cluster.group.instances
    caller = await cluster.connect(proxy)
    assert is_success(await caller.query("WRITE a 1"))
    await wait_startup_delay(cluster)
    cluster.promotion_server.is_stalled = True
    instances["i-0"].is_silent = True
    cluster.nursery.start_soon(write_until_acknowledged, caller, "b", 99)
    await proxies.wait_until(
        lambda: cluster.promotion_server.arrived_count, MAX_FAILOVER_S
    )
    ordered = cluster.store.get(ORDER_KEY)["target"]
    instances["i-0"].is_silent = False
    other = await cluster.connect(proxy)
    with trio.move_on_after(6.0):
        await write_until_acknowledged(other, "c")
        raise AssertionError("a write was acknowledged")
    cluster.promotion_server.is_stalled = False
    await wait_failover_completed(cluster)
    assert cluster.store.get(LEAD_KEY)["target"] == ordered
    settled = [
        lead["target"]
        for lead in cluster.store.list_values(LEAD_KEY)
        if not lead["is_pending"]
    ]
    assert settled == [ordered]


@run_in_cluster
async def test_repeated_order_in_doubt_is_remembered_after_the_failover(
    cluster, proxy
):
    """Either of the two may still be carried out, so both are waited out."""
    await wait_startup_delay(cluster)
    ordered = await order_without_answer(cluster)
    await proxies.wait_until(
        lambda: cluster.promotion_server.arrived_count > 1, MAX_FAILOVER_S
    )
    await cluster.group.promote(ordered)
    await wait_failover_completed(cluster)
    assert cluster.store.get(ORDER_KEY)["target"] == ordered
    cluster.register(cluster.group.instances["i-0"])
    cluster.register(cluster.group.instances[ordered], state="draining")
    await trio.sleep(4.0)
    assert cluster.store.get(LEAD_KEY)["is_pending"]
    cluster.promotion_server.is_stalled = False
    await wait_failover_completed(
        cluster, promotion_orders.ORDER_LIFETIME_S + 3
    )
    assert cluster.store.get(LEAD_KEY)["target"] != ordered
    assert list_fences(cluster) == sorted(list_fences(cluster))
    assert cluster.store.get(ORDER_KEY) is None


@run_in_cluster
async def test_order_that_was_answered_leaves_no_record(cluster, proxy):
    await wait_startup_delay(cluster)
    cluster.register(cluster.group.instances["i-0"], state="draining")
    await wait_failover_completed(cluster)
    assert cluster.store.list_values(ORDER_KEY)
    assert cluster.store.get(ORDER_KEY) is None
