"""Failover of crashed, draining and evacuated primaries."""

import trio

from geraniumridge._internal.decisions import limit_holders
from geraniumridge._internal.decisions import primary_resolver
from geraniumridge._internal.decisions import succession
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import fleet
from geraniumridge._internal.ports import store as store_port
from geraniumridge._internal.proxy import failover
from geraniumridge._internal.proxy import membership
from geraniumridge._internal.utils import rendezvous
from lib.failovers import add_proxy_per_domain
from lib.failovers import LEAD_KEY
from lib.failovers import MAX_FAILOVER_S
from lib.failovers import restart_as
from lib.failovers import TARGETS_KEY
from lib.failovers import wait_failover_completed
from lib.failovers import wait_startup_delay
from lib.failovers import write_until_acknowledged
from lib import proxies
from lib.proxies import is_success
from lib.proxies import run_in_cluster


@run_in_cluster
async def test_crashed_primary_is_replaced_and_no_commit_is_lost(
    cluster, proxy
):
    caller = await cluster.connect(proxy)
    for number in range(20):
        assert is_success(await caller.query(f"WRITE k{number} {number}"))
    await wait_startup_delay(cluster)
    cluster.group.instances["i-0"].crash()
    await write_until_acknowledged(caller, "after")
    lead = cluster.store.get(LEAD_KEY)
    assert lead["target"] in ("i-1", "i-2") and not lead["is_pending"]
    reader = await cluster.connect(proxy)
    for number in range(20):
        assert (await reader.query(f"READ k{number}"))[0] == f"ROW {number}"
    assert len(cluster.promotion_server.promotion_calls) == 1


@run_in_cluster
async def test_replicas_serve_reads_while_the_primary_is_replaced(
    cluster, proxy
):
    """Positions that the former primary told still hold for older commits."""
    caller = await cluster.connect(proxy, "stock")
    writer = await cluster.connect(proxy)
    assert is_success(await writer.query("WRITE a 1"))
    await wait_startup_delay(cluster)
    assert is_success(await writer.query("WRITE a 2"))
    crashed_at = trio.current_time()
    cluster.group.instances["i-0"].crash()
    cluster.nursery.start_soon(write_until_acknowledged, writer, "after")
    await proxies.wait_until(lambda: cluster.store.get(LEAD_KEY))
    assert not cluster.promotion_server.promotion_calls
    # The route allows reads that are 1.5 s old.
    assert trio.current_time() - crashed_at < 1.2
    assert is_success(await caller.query("READ a"))


@run_in_cluster
async def test_replica_with_all_commits_is_promoted(cluster, proxy):
    cluster.group.instances["i-1"].ignores_replication = True
    caller = await cluster.connect(proxy)
    assert is_success(await caller.query("WRITE a 1"))
    await wait_startup_delay(cluster)
    cluster.group.instances["i-0"].crash()
    other = await cluster.connect(proxy)
    # A failed primary is detected by statements that it does not answer.
    cluster.nursery.start_soon(write_until_acknowledged, other, "meanwhile")
    await proxies.wait_until(
        lambda: cluster.promotion_server.promotion_calls, MAX_FAILOVER_S
    )
    # The new primary acknowledges writes only once a replica has them.
    cluster.group.instances["i-1"].ignores_replication = False
    await write_until_acknowledged(caller, "after")
    assert cluster.store.get(LEAD_KEY)["target"] == "i-2"


@run_in_cluster
async def test_no_replica_is_promoted_while_another_is_silent(cluster, proxy):
    """The silent replica may hold the only copy of a commit."""
    caller = await cluster.connect(proxy)
    assert is_success(await caller.query("WRITE a 1"))
    await wait_startup_delay(cluster)
    cluster.group.instances["i-2"].is_silent = True
    cluster.group.instances["i-0"].crash()
    with trio.move_on_after(succession.FENCE_TIMEOUT_S + 2):
        await write_until_acknowledged(caller, "after")
    assert not cluster.promotion_server.promotion_calls
    cluster.group.instances["i-2"].is_silent = False
    await write_until_acknowledged(caller, "after")


@run_in_cluster
async def test_departed_replica_with_the_only_copy_is_waited_for(
    cluster, proxy
):
    """A replica whose entry expired with it comes back with its log."""
    caller = await cluster.connect(proxy)
    cluster.group.instances["i-1"].ignores_replication = True
    assert is_success(await caller.query("WRITE a 1"))
    await wait_startup_delay(cluster)
    departed = cluster.group.instances["i-2"]
    departed.crash()
    cluster.store.delete("servers/i-2")
    cluster.group.instances["i-0"].crash()
    with trio.move_on_after(succession.FENCE_TIMEOUT_S + 2):
        await write_until_acknowledged(caller, "after")
    assert not cluster.promotion_server.promotion_calls
    cluster.group.instances["i-1"].ignores_replication = False
    await departed.start(cluster.nursery)
    cluster.register(departed)
    caller = await cluster.connect(proxy)
    await write_until_acknowledged(caller, "after")
    assert (await caller.query("READ a"))[0] == "ROW 1"


def test_replica_that_left_before_all_vms_started_is_waited_for():
    """It may hold the only copy of a commit."""

    async def main():
        async with proxies.open_cluster() as cluster:
            instances = cluster.group.instances
            former = await cluster.add_proxy()
            await proxies.wait_until(lambda: cluster.store.get(TARGETS_KEY))
            former.stop()
            instances["i-1"].ignores_replication = True
            await instances["i-0"].commit({"a": "1"})
            instances["i-2"].crash()
            cluster.store.delete("servers/i-2")
            proxy = await cluster.add_proxy()
            await wait_startup_delay(cluster)
            caller = await cluster.connect(proxy)
            instances["i-0"].crash()
            with trio.move_on_after(succession.FENCE_TIMEOUT_S + 3):
                await write_until_acknowledged(caller, "after")
            assert not cluster.promotion_server.promotion_calls

    trio.run(main)


@run_in_cluster
async def test_stored_set_of_targets_follows_a_replacement(cluster, proxy):
    """A target that left stays in the set while failovers wait for it."""
    await proxies.wait_until(lambda: cluster.store.get(TARGETS_KEY))
    cluster.store.delete("servers/i-2")
    replacement = cluster.group.add("i-9", proxies.find_address(), "west")
    await replacement.start(cluster.nursery)
    cluster.register(replacement)

    def list_recorded():
        recorded = cluster.store.get(TARGETS_KEY)["targets"]
        return [item["id"] for item in recorded]

    await proxies.wait_until(
        lambda: list_recorded() == ["i-0", "i-1", "i-2", "i-9"]
    )


@run_in_cluster
async def test_replica_that_returns_under_another_id_is_promoted(
    cluster, proxy
):
    """It has the log of the instance that was at its address."""
    caller = await cluster.connect(proxy)
    cluster.group.instances["i-1"].ignores_replication = True
    assert is_success(await caller.query("WRITE a 1"))
    await wait_startup_delay(cluster)
    departed = cluster.group.instances["i-2"]
    departed.crash()
    cluster.store.delete("servers/i-2")
    cluster.group.instances["i-0"].crash()
    # A failed primary is detected by statements that it does not answer.
    cluster.nursery.start_soon(write_until_acknowledged, caller, "after")
    await trio.sleep(succession.FENCE_TIMEOUT_S + 2)
    cluster.group.instances["i-1"].ignores_replication = False
    await restart_as(cluster, departed, "i-3")
    await wait_failover_completed(cluster)
    assert cluster.store.get(LEAD_KEY)["target"] == "i-3"


@run_in_cluster
async def test_primary_that_returns_under_another_id_serves_again(
    cluster, proxy
):
    """Its log is ahead, and to promote a present primary does nothing."""
    instances = cluster.group.instances
    await wait_startup_delay(cluster)
    caller = await cluster.connect(proxy)
    assert is_success(await caller.query("WRITE a 0"))
    for name in ("i-1", "i-2"):
        instances[name].ignores_replication = True
    assert not is_success(await caller.query("WRITE a 1"))
    primary = instances["i-0"]
    primary.crash()
    caller = await cluster.connect(proxy)
    cluster.nursery.start_soon(write_until_acknowledged, caller, "after")
    await proxies.wait_until(lambda: cluster.store.get(LEAD_KEY))
    cluster.store.delete("servers/i-0")
    await restart_as(cluster, primary, "i-3")
    for name in ("i-1", "i-2"):
        instances[name].ignores_replication = False
    await wait_failover_completed(cluster, MAX_FAILOVER_S)
    other = await cluster.connect(proxy)
    await write_until_acknowledged(other, "b", timeout_s=1.0)


@run_in_cluster
async def test_replica_that_left_before_the_last_commits_is_not_waited_for(
    cluster, proxy
):
    """The primary's answers since then show that the other one has all."""
    caller = await cluster.connect(proxy)
    assert is_success(await caller.query("WRITE a 1"))
    await wait_startup_delay(cluster)
    cluster.group.instances["i-2"].crash()
    cluster.store.delete("servers/i-2")
    await proxies.wait_until(lambda: "i-2" not in proxy.node.view.targets)
    assert is_success(await caller.query("WRITE b 2"))
    cluster.group.instances["i-0"].crash()
    # A failed primary is detected by statements that it does not answer.
    cluster.nursery.start_soon(write_until_acknowledged, caller, "after")
    await wait_failover_completed(cluster, MAX_FAILOVER_S)
    assert cluster.store.get(LEAD_KEY)["target"] == "i-1"


@run_in_cluster
async def test_draining_primary_serves_until_it_is_replaced(cluster, proxy):
    caller = await cluster.connect(proxy)
    assert is_success(await caller.query("WRITE a 1"))
    await wait_startup_delay(cluster)
    cluster.register(cluster.group.instances["i-0"], state="draining")
    await proxies.wait_until(
        lambda: (cluster.store.get(LEAD_KEY) or {}).get("target")
        in ("i-1", "i-2")
    )
    await write_until_acknowledged(caller, "after", timeout_s=1.0)
    assert (await caller.query("READ a"))[0] == "ROW 1"
    old, new = (
        cluster.group.instances[name]
        for name in ("i-0", cluster.store.get(LEAD_KEY)["target"])
    )
    assert new.data["after"] == "data"
    # The write may be acknowledged before the old primary has stepped down.
    await proxies.wait_until(lambda: old.role == "replica", timeout_s=1.0)


@run_in_cluster
async def test_step_down_that_fails_once_is_repeated(cluster, proxy):
    """Guards against a former primary that goes on as one.

    The store counts the delete of the order in the transaction that records
    the new primary, so it answers another revision than the record's.
    """
    await wait_startup_delay(cluster)
    old = cluster.group.instances["i-0"]
    cluster.register(old, state="draining")
    await proxies.wait_until(lambda: cluster.promotion_server.promotion_calls)
    old.is_silent = True
    await wait_failover_completed(cluster)
    await trio.sleep(0.6)
    assert old.role == "primary"
    old.is_silent = False
    await proxies.wait_until(lambda: old.role == "replica", timeout_s=2.0)


@run_in_cluster
async def test_primary_in_an_evacuated_domain_is_replaced(cluster, proxy):
    await wait_startup_delay(cluster)
    cluster.store.put("op/evacuate/north", {})
    await proxies.wait_until(lambda: cluster.promotion_server.promotion_calls)
    caller = await cluster.connect(proxy)
    await write_until_acknowledged(caller, "after", timeout_s=2.0)
    executed = cluster.group.instances["i-0"].executed
    executed_before = len(executed)
    for _ in range(5):
        await caller.query("READ after")
    assert len(executed) == executed_before


@run_in_cluster
async def test_promotion_with_a_lost_answer_is_detected(cluster, proxy):
    await wait_startup_delay(cluster)
    cluster.promotion_server.lose_answers = 1
    cluster.register(cluster.group.instances["i-0"], state="draining")
    caller = await cluster.connect(proxy)
    await proxies.wait_until(lambda: cluster.promotion_server.promotion_calls)
    await write_until_acknowledged(caller, "after")


@run_in_cluster
async def test_failover_of_a_dead_vm_is_completed(cluster, proxy):
    await wait_startup_delay(cluster)
    abandoned_lead = fleet.Lead("i-0", 1, "vm-9/boot", True)
    cluster.store.put(LEAD_KEY, fleet.encode_record(abandoned_lead))
    caller = await cluster.connect(proxy)
    await write_until_acknowledged(caller, "after")
    assert cluster.store.get(LEAD_KEY)["is_pending"] is False


def test_vm_that_just_started_takes_over_a_failover_without_extra_delay():
    """The fence timeout runs from when the VM first saw the failover.

    It does not start anew when the VM takes the failover over.
    """

    async def main():
        async with proxies.open_cluster() as cluster:
            abandoned_lead = fleet.Lead("i-0", 1, "vm-9/boot", True)
            cluster.store.put(LEAD_KEY, fleet.encode_record(abandoned_lead))
            await cluster.add_proxy()
            await wait_failover_completed(
                cluster, succession.FENCE_TIMEOUT_S + 1
            )

    trio.run(main)


@run_in_cluster
async def test_failover_begun_by_a_write_with_a_lost_answer_continues(
    cluster, proxy
):
    await wait_startup_delay(cluster)
    holder = f"vm-1/{proxy.node.boot}"
    lead = fleet.Lead("i-0", 1, holder, True)
    cluster.store.put(LEAD_KEY, fleet.encode_record(lead))
    await wait_failover_completed(cluster, succession.TAKEOVER_AFTER_S - 1)


@run_in_cluster
async def test_vm_that_may_be_cut_off_starts_no_failover(cluster, proxy):
    """The store might apply its write long after the call failed."""
    caller = await cluster.connect(proxy)
    assert is_success(await caller.query("WRITE a 1"))
    await wait_startup_delay(cluster)
    written_keys = []

    async def commit(expected, writes=(), deletes=()):
        written_keys.extend(write.key for write in writes)
        raise exceptions.PlatformUnavailableError("no answer")

    proxy.store_client.commit = commit
    cluster.store.fault = "silent"
    await trio.sleep(failover.MAX_START_VIEW_AGE_S)
    cluster.group.instances["i-0"].crash()
    for _ in range(5):
        await caller.query("WRITE a 2")
        await trio.sleep(0.2)
    assert LEAD_KEY not in written_keys


@run_in_cluster
async def test_primary_that_answers_again_is_kept(cluster, proxy):
    """A failover that was taken over completes without a promotion."""
    await wait_startup_delay(cluster)
    abandoned_lead = fleet.Lead("i-0", 1, "vm-9/boot", True)
    cluster.store.put(LEAD_KEY, fleet.encode_record(abandoned_lead))
    await wait_failover_completed(cluster, MAX_FAILOVER_S)
    assert cluster.store.get(LEAD_KEY)["target"] == "i-0"
    assert not cluster.promotion_server.promotion_calls
    assert all(
        not item.paused_term for item in cluster.group.instances.values()
    )


@run_in_cluster
async def test_failover_that_is_taken_over_keeps_its_reason(cluster, proxy):
    """Guards against a primary that is kept though its writes time out."""
    await wait_startup_delay(cluster)
    abandoned_lead = fleet.Lead(
        "i-0", 1, "vm-9/boot", True, may_keep_target=False
    )
    cluster.store.put(LEAD_KEY, fleet.encode_record(abandoned_lead))
    await wait_failover_completed(cluster, MAX_FAILOVER_S)
    assert cluster.store.get(LEAD_KEY)["target"] != "i-0"


@run_in_cluster
async def test_failover_that_is_taken_over_keeps_no_leaving_primary(
    cluster, proxy
):
    """Guards against statements to a primary that has been told to leave.

    It began to drain after the failover had been started for another reason.
    """
    await wait_startup_delay(cluster)
    abandoned_lead = fleet.Lead("i-0", 1, "vm-9/boot", True)
    cluster.store.put(LEAD_KEY, fleet.encode_record(abandoned_lead))
    cluster.register(cluster.group.instances["i-0"], state="draining")
    await wait_failover_completed(cluster, MAX_FAILOVER_S)
    assert cluster.store.get(LEAD_KEY)["target"] != "i-0"


def test_promoted_target_that_leaves_unrecorded_is_replaced_in_time():
    """Guards against a primary that leaves while its failover is taken over.

    The VM that ordered its promotion does not reach the store any more.
    """

    async def main():
        async with proxies.open_cluster() as cluster:
            group = cluster.group
            added = group.add("i-3", proxies.find_address(), "north")
            await added.start(cluster.nursery)
            cluster.register(added)
            running = await add_proxy_per_domain(cluster)
            await wait_startup_delay(cluster)
            cluster.register(group.instances["i-0"], state="draining")
            await proxies.wait_until(lambda: cluster.promotion_server.orders)
            (order,) = cluster.promotion_server.orders
            for proxy in running:
                if proxy.settings.vm.name == order.holder:
                    proxy.store_client.is_partitioned = True
            promoted = group.instances[order.target]
            await proxies.wait_until(lambda: promoted.role == "primary")
            cluster.register(promoted, state="draining")

            def is_replaced():
                lead = cluster.store.get(LEAD_KEY)
                return not lead["is_pending"] and lead["target"] not in (
                    "i-0",
                    promoted.name,
                )

            bound_s = running[0].settings.bounds.departure_ms / 1000
            await proxies.wait_until(is_replaced, bound_s)

    trio.run(main)


@run_in_cluster
async def test_fencing_tokens_increase(cluster, proxy):
    await wait_startup_delay(cluster)
    old_primary = cluster.group.instances["i-0"]
    cluster.register(old_primary, state="draining")
    await wait_failover_completed(cluster)
    cluster.register(old_primary)
    new_primary = cluster.group.instances[
        cluster.store.get(LEAD_KEY)["target"]
    ]
    await trio.sleep(failover.MIN_FAILOVER_INTERVAL_S)
    cluster.register(new_primary, state="draining")
    await proxies.wait_until(
        lambda: len(cluster.promotion_server.promotion_calls) > 1, 8
    )
    tokens = [
        token for _, _, token in cluster.promotion_server.promotion_calls
    ]
    assert tokens == sorted(set(tokens))


def test_vm_cut_off_from_the_store_stops_using_the_primary_before_promotion():
    """The other VM waits until the first can no longer rely on its view."""

    async def main():
        async with proxies.open_cluster() as cluster:
            isolated = await cluster.add_proxy("vm-1")
            other = await cluster.add_proxy("vm-2", "south")
            await wait_startup_delay(cluster)
            caller = await cluster.connect(isolated)
            assert is_success(await caller.query("WRITE a 1"))
            isolated.store_client.is_partitioned = True
            cluster.register(cluster.group.instances["i-0"], state="draining")
            await proxies.wait_until(
                lambda: cluster.promotion_server.promotion_calls, 10
            )
            # The isolated VM must not send the old primary anything more.
            executed = cluster.group.instances["i-0"].executed
            executed_before = len(executed)
            for _ in range(5):
                assert not is_success(await caller.query("WRITE a 2"))
            assert len(executed) == executed_before
            other_caller = await cluster.connect(other)
            await write_until_acknowledged(other_caller, "b")

    trio.run(main)


def test_silent_minority_does_not_delay_a_failover_to_the_timeout():
    """The other members acknowledge and stop confirming the old record.

    The VM that is cut off loses its quorum confirmation and stops using
    the old primary, so nobody waits for its acknowledgement.
    """

    async def main():
        async with proxies.open_cluster() as cluster:
            members = await add_proxy_per_domain(cluster)
            # VMs write their registration again once they are stable
            # members.
            await trio.sleep(
                limit_holders.STABLE_AFTER_S + succession.FENCE_TIMEOUT_S + 1
            )
            caller = await cluster.connect(members[0])
            assert is_success(await caller.query("WRITE a 1"))
            members[0].store_client.is_partitioned = True
            started_at = trio.current_time()
            cluster.register(cluster.group.instances["i-0"], state="draining")
            await proxies.wait_until(
                lambda: cluster.promotion_server.promotion_calls
            )
            assert (
                trio.current_time() - started_at
                < succession.FENCE_TIMEOUT_S - 1
            )
            executed_before = len(cluster.group.instances["i-0"].executed)
            assert not is_success(await caller.query("WRITE a 2"))
            assert (
                len(cluster.group.instances["i-0"].executed) == executed_before
            )

    trio.run(main)


def test_vm_cut_off_from_the_store_uses_the_primary_while_confirmed():
    async def main():
        async with proxies.open_cluster() as cluster:
            members = await add_proxy_per_domain(cluster)
            caller = await cluster.connect(members[0])
            members[0].store_client.is_partitioned = True
            await trio.sleep(primary_resolver.MAX_UNCONFIRMED_AGE_S + 0.6)
            assert is_success(await caller.query("WRITE a 1"))
            await trio.sleep(
                primary_resolver.MAX_VIEW_AGE_S
                - primary_resolver.MAX_UNCONFIRMED_AGE_S
            )
            assert not is_success(await caller.query("WRITE a 2"))

    trio.run(main)


def test_vm_cut_off_from_the_store_uses_the_view_of_its_neighbour():
    async def main():
        async with proxies.open_cluster() as cluster:
            members = [await cluster.add_proxy(f"vm-{n}") for n in range(2)]
            caller = await cluster.connect(members[0])
            members[0].store_client.is_partitioned = True
            await trio.sleep(primary_resolver.MAX_VIEW_AGE_S + 2)
            assert is_success(await caller.query("WRITE a 1"))
            # A neighbour renews its lease, too.
            await trio.sleep(2 * membership.LEASE_DURATION_S)
            assert is_success(await caller.query("WRITE a 2"))
            assert members[1].node.view.members.keys() == {"vm-0", "vm-1"}

    trio.run(main)


async def time_planned_failover(cluster):
    """Drain the primary; return the time until its successor is promoted."""
    started_at = trio.current_time()
    cluster.register(cluster.group.instances["i-0"], state="draining")
    await proxies.wait_until(lambda: cluster.promotion_server.promotion_calls)
    return trio.current_time() - started_at


def count_stored_acknowledgements(cluster):
    """Return the number of acknowledgements in the store."""
    return sum(
        key.startswith(fleet.ACKNOWLEDGEMENTS_PREFIX)
        for key in cluster.store.items
    )


def test_failover_is_fast_when_all_members_acknowledge():
    """None of them has to write to the store."""

    async def main():
        async with proxies.open_cluster() as cluster:
            for number in range(3):
                await cluster.add_proxy(f"vm-{number}")
            # A VM that has just started may have missed departures.
            await trio.sleep(succession.FENCE_TIMEOUT_S + 0.2)
            assert await time_planned_failover(cluster) < 1.5
            assert count_stored_acknowledgements(cluster) == 0

    trio.run(main)


def test_vm_that_sends_a_primary_nothing_replaces_it_when_others_report_it():
    """Only the VM that ranks last has callers."""

    async def main():
        async with proxies.open_cluster() as cluster:
            members = [
                await cluster.add_proxy(f"vm-{number}") for number in range(8)
            ]
            await trio.sleep(succession.FENCE_TIMEOUT_S + 0.2)
            ranked = rendezvous.rank_nodes(
                "ledger", members[0].node.view.members
            )
            last = next(
                proxy
                for proxy in members
                if proxy.settings.vm.name == ranked[-1]
            )
            caller = await cluster.connect(last)
            assert is_success(await caller.query("WRITE a 1"))
            cluster.group.instances["i-0"].crash()
            cluster.nursery.start_soon(write_until_acknowledged, caller, "b")
            await proxies.wait_until(lambda: cluster.store.get(LEAD_KEY))
            holder = cluster.store.get(LEAD_KEY)["holder"].partition("/")[0]
            assert holder in ranked[:3]

    trio.run(main)


def test_failover_is_fast_while_two_domains_cannot_reach_each_other():
    """The store, which both reach, carries the acknowledgements between."""

    async def main():
        async with proxies.open_cluster() as cluster:
            members = await add_proxy_per_domain(cluster)
            await trio.sleep(succession.FENCE_TIMEOUT_S + 0.2)
            ranked = rendezvous.rank_nodes(
                "ledger", members[0].node.view.members
            )
            by_name = {proxy.settings.vm.name: proxy for proxy in members}
            holder, unreachable, _ = [by_name[vm] for vm in ranked]
            holder.disconnect_peers([unreachable])
            assert await time_planned_failover(cluster) < 1.5
            assert count_stored_acknowledgements(cluster) == 1

    trio.run(main)


def test_failover_in_progress_stops_writes():
    async def main():
        async with proxies.open_cluster() as cluster:
            proxy = await cluster.add_proxy()
            caller = await cluster.connect(proxy)
            assert is_success(await caller.query("WRITE a 1"))
            holder = f"vm-1/{proxy.node.boot}x"
            lead = fleet.Lead("i-0", 1, holder, True)
            write = store_port.Write(LEAD_KEY, fleet.encode_record(lead))
            cluster.store.put(LEAD_KEY, write.value)
            await trio.sleep(0.1)
            lines = await caller.query("WRITE a 2")
            assert lines[0].startswith("ERROR BUSY")
            assert cluster.group.instances["i-0"].data == {"a": "1"}

    trio.run(main)


def test_only_one_vm_runs_a_failover():
    """Two VMs detect the failure; one of them replaces the primary once."""

    async def main():
        async with proxies.open_cluster() as cluster:
            members = [await cluster.add_proxy(f"vm-{n}") for n in range(2)]
            callers = [await cluster.connect(proxy) for proxy in members]
            await wait_startup_delay(cluster)
            cluster.group.instances["i-0"].crash()
            async with trio.open_nursery() as nursery:
                for caller in callers:
                    nursery.start_soon(
                        write_until_acknowledged, caller, "after"
                    )
            assert len(cluster.promotion_server.promotion_calls) == 1
            holders = [
                value["holder"]
                for value in cluster.store.list_values(LEAD_KEY)
                if value["is_pending"]
            ]
            assert len(holders) == 1

    trio.run(main)


@run_in_cluster
async def test_primary_whose_entry_expired_stays_in_use(cluster, proxy):
    caller = await cluster.connect(proxy)
    await wait_startup_delay(cluster)
    old_primary = cluster.group.instances["i-0"]
    cluster.register(old_primary, state="draining")
    await wait_failover_completed(cluster)
    new_primary = cluster.group.instances[
        cluster.store.get(LEAD_KEY)["target"]
    ]
    cluster.store.delete(f"servers/{new_primary.name}")
    await trio.sleep(0.3)
    assert is_success(await caller.query("WRITE a 1"))
    cluster.register(new_primary)
    await trio.sleep(2.5)
    assert is_success(await caller.query("WRITE a 2"))
    assert len(cluster.promotion_server.promotion_calls) == 1


@run_in_cluster
async def test_promotion_by_an_earlier_holder_is_completed(cluster, proxy):
    """The next VM to hold the failover records the finished promotion.

    It guards against a failure that happened in an installation: the
    store refused the write of the VM that had ordered the promotion, and
    the old primary came back as a replica.
    """
    await wait_startup_delay(cluster)
    await cluster.group.promote("i-1")
    old = cluster.group.instances["i-0"]
    old.role = "replica"
    old.term = cluster.group.instances["i-1"].term
    abandoned_lead = fleet.Lead("i-0", 1, "vm-9/boot", True)
    cluster.store.put(LEAD_KEY, fleet.encode_record(abandoned_lead))
    caller = await cluster.connect(proxy)
    await write_until_acknowledged(caller, "after")
    assert cluster.store.get(LEAD_KEY)["target"] == "i-1"
    assert not cluster.promotion_server.promotion_calls
