"""Replacement of primaries: crashes, planned leaves, dead holders."""

import trio

from geraniumridge._internal.decisions import primary_resolver
from geraniumridge._internal.decisions import rates
from geraniumridge._internal.decisions import succession
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import fleet
from geraniumridge._internal.ports import store as store_port
from geraniumridge._internal.proxy import failover
from lib import proxies
from lib.proxies import is_success
from lib.proxies import run_world

FAILOVER_S = 15.0
"""Bound on a change of primary; from the size to design for."""

LEAD_KEY = fleet.make_lead_key("ledger")


async def settle(world):
    """Wait until the proxies may replace primaries."""
    await trio.sleep(failover.STARTUP_DELAY_S + 0.2)


async def wait_settled(world, timeout_s=5.0):
    """Wait until the group has a lead that is not pending."""

    def is_settled():
        lead = world.store.get(LEAD_KEY)
        return lead is not None and not lead["is_pending"]

    await proxies.wait_until(is_settled, timeout_s)


async def add_one_a_domain(world):
    """Return proxies that have no neighbours."""
    return [
        await world.add_proxy(f"vm-{number}", domain)
        for number, domain in enumerate(proxies.DOMAINS)
    ]


async def write_until_kept(caller, item, timeout_s=FAILOVER_S):
    """Write until the write is acknowledged."""
    with trio.fail_after(timeout_s):
        while True:
            lines = await caller.query(f"WRITE {item} data")
            if is_success(lines):
                return
            await trio.sleep(0.05)


@run_world
async def test_a_crashed_primary_is_replaced_and_nothing_is_lost(world, proxy):
    caller = await world.connect(proxy)
    for number in range(20):
        assert is_success(await caller.query(f"WRITE k{number} {number}"))
    await settle(world)
    world.group.instances["i-0"].crash()
    await write_until_kept(caller, "after")
    lead = world.store.get(LEAD_KEY)
    assert lead["target"] in ("i-1", "i-2") and not lead["is_pending"]
    reader = await world.connect(proxy)
    for number in range(20):
        assert (await reader.query(f"READ k{number}"))[0] == f"ROW {number}"
    assert len(world.duties.orders) == 1


@run_world
async def test_the_replica_that_has_all_commits_is_promoted(world, proxy):
    world.group.instances["i-1"].is_deaf = True
    caller = await world.connect(proxy)
    assert is_success(await caller.query("WRITE a 1"))
    await settle(world)
    world.group.instances["i-0"].crash()
    other = await world.connect(proxy)
    # Traffic is what shows that a primary is gone.
    world.nursery.start_soon(write_until_kept, other, "meanwhile")
    await proxies.wait_until(lambda: world.duties.orders, FAILOVER_S)
    # Only a replica that receives lets the new primary acknowledge.
    world.group.instances["i-1"].is_deaf = False
    await write_until_kept(caller, "after")
    assert world.store.get(LEAD_KEY)["target"] == "i-2"


@run_world
async def test_nobody_is_promoted_while_a_replica_is_silent(world, proxy):
    """The silent one may hold the only copy of a commit."""
    caller = await world.connect(proxy)
    assert is_success(await caller.query("WRITE a 1"))
    await settle(world)
    world.group.instances["i-2"].is_silent = True
    world.group.instances["i-0"].crash()
    with trio.move_on_after(3):
        await write_until_kept(caller, "after")
    assert not world.duties.orders
    world.group.instances["i-2"].is_silent = False
    await write_until_kept(caller, "after")


@run_world
async def test_a_leaving_primary_is_replaced_while_it_still_serves(
    world, proxy
):
    caller = await world.connect(proxy)
    assert is_success(await caller.query("WRITE a 1"))
    await settle(world)
    world.register(world.group.instances["i-0"], state="draining")
    await proxies.wait_until(
        lambda: (world.store.get(LEAD_KEY) or {}).get("target")
        in ("i-1", "i-2")
    )
    await write_until_kept(caller, "after", timeout_s=1.0)
    assert (await caller.query("READ a"))[0] == "ROW 1"
    assert world.group.instances["i-0"].role == "replica"


@run_world
async def test_an_evacuated_primary_is_replaced(world, proxy):
    await settle(world)
    world.store.put("op/evacuate/north", {})
    await proxies.wait_until(lambda: world.duties.orders)
    caller = await world.connect(proxy)
    await write_until_kept(caller, "after", timeout_s=2.0)
    ran = world.group.instances["i-0"].ran
    before = len(ran)
    for _ in range(5):
        await caller.query("READ after")
    assert len(ran) == before


@run_world
async def test_an_order_whose_answer_is_lost_is_found_done(world, proxy):
    await settle(world)
    world.duties.lose_answers = 1
    world.register(world.group.instances["i-0"], state="draining")
    caller = await world.connect(proxy)
    await proxies.wait_until(lambda: world.duties.orders)
    await write_until_kept(caller, "after")


@run_world
async def test_a_replacement_of_a_dead_holder_is_finished(world, proxy):
    await settle(world)
    dead = fleet.Lead("i-0", 1, "vm-9/boot", True)
    world.store.put(LEAD_KEY, fleet.encode_record(dead))
    caller = await world.connect(proxy)
    await write_until_kept(caller, "after")
    assert world.store.get(LEAD_KEY)["is_pending"] is False


def test_a_pending_lead_from_before_a_start_is_not_waited_for_twice():
    """The time that it was seen to be pending counts."""

    async def main():
        async with proxies.open_world() as world:
            dead = fleet.Lead("i-0", 1, "vm-9/boot", True)
            world.store.put(LEAD_KEY, fleet.encode_record(dead))
            await world.add_proxy()
            await wait_settled(world, succession.FENCE_TIMEOUT_S + 1)

    trio.run(main)


@run_world
async def test_an_own_mark_whose_answer_was_lost_is_taken_up(world, proxy):
    await settle(world)
    holder = f"vm-1/{proxy.node.boot}"
    lead = fleet.Lead("i-0", 1, holder, True)
    world.store.put(LEAD_KEY, fleet.encode_record(lead))
    await wait_settled(world, succession.TAKEOVER_AFTER_S - 1)


@run_world
async def test_who_may_be_cut_off_begins_no_replacement(world, proxy):
    """Its write might be done long after it gave up."""
    caller = await world.connect(proxy)
    assert is_success(await caller.query("WRITE a 1"))
    await settle(world)
    written = []

    async def commit(expected, writes=(), deletes=()):
        written.extend(write.key for write in writes)
        raise exceptions.PlatformUnavailableError("no answer")

    proxy.store.commit = commit
    world.store.refusal = "silent"
    await trio.sleep(failover.MAX_START_VIEW_AGE_S)
    world.group.instances["i-0"].crash()
    for _ in range(5):
        await caller.query("WRITE a 2")
        await trio.sleep(0.2)
    assert LEAD_KEY not in written


@run_world
async def test_a_primary_that_answers_again_may_stay(world, proxy):
    """A replacement that was taken over ends without a promotion."""
    await settle(world)
    dead = fleet.Lead("i-0", 1, "vm-9/boot", True)
    world.store.put(LEAD_KEY, fleet.encode_record(dead))
    await wait_settled(world, FAILOVER_S)
    assert world.store.get(LEAD_KEY)["target"] == "i-0"
    assert not world.duties.orders
    assert all(not item.held_term for item in world.group.instances.values())


@run_world
async def test_fences_only_grow(world, proxy):
    await settle(world)
    first = world.group.instances["i-0"]
    world.register(first, state="draining")
    await wait_settled(world)
    world.register(first)
    led = world.group.instances[world.store.get(LEAD_KEY)["target"]]
    await trio.sleep(failover.MIN_FAILOVER_INTERVAL_S)
    world.register(led, state="draining")
    await proxies.wait_until(lambda: len(world.duties.orders) > 1, 8)
    fences = [fence for _, _, fence in world.duties.orders]
    assert fences == sorted(set(fences))


def test_a_vm_without_news_stops_before_its_primary_is_replaced():
    """Its store is out of reach; the other VM waits it out."""

    async def main():
        async with proxies.open_world() as world:
            cut = await world.add_proxy("vm-1")
            other = await world.add_proxy("vm-2", "south")
            await settle(world)
            caller = await world.connect(cut)
            assert is_success(await caller.query("WRITE a 1"))
            cut.store.is_cut = True
            world.register(world.group.instances["i-0"], state="draining")
            await proxies.wait_until(lambda: world.duties.orders, 10)
            # Nothing that the cut VM sends now reaches the old primary.
            ran = world.group.instances["i-0"].ran
            before = len(ran)
            for _ in range(5):
                assert not is_success(await caller.query("WRITE a 2"))
            assert len(ran) == before
            fresh = await world.connect(other)
            await write_until_kept(fresh, "b")

    trio.run(main)


def test_a_silent_minority_delays_a_replacement_little():
    """The others' releases leave the one that is cut off no support."""

    async def main():
        async with proxies.open_world() as world:
            members = await add_one_a_domain(world)
            # Entries are written a second time once VMs are settled.
            await trio.sleep(
                rates.STABLE_AFTER_S + succession.FENCE_TIMEOUT_S + 1
            )
            caller = await world.connect(members[0])
            assert is_success(await caller.query("WRITE a 1"))
            members[0].store.is_cut = True
            started = trio.current_time()
            world.register(world.group.instances["i-0"], state="draining")
            await proxies.wait_until(lambda: world.duties.orders)
            assert (
                trio.current_time() - started < succession.FENCE_TIMEOUT_S - 1
            )
            ran = len(world.group.instances["i-0"].ran)
            assert not is_success(await caller.query("WRITE a 2"))
            assert len(world.group.instances["i-0"].ran) == ran

    trio.run(main)


def test_who_loses_the_store_uses_a_primary_while_others_bear_it_out():
    async def main():
        async with proxies.open_world() as world:
            members = await add_one_a_domain(world)
            caller = await world.connect(members[0])
            members[0].store.is_cut = True
            await trio.sleep(primary_resolver.MAX_UNCONFIRMED_AGE_S + 0.6)
            assert is_success(await caller.query("WRITE a 1"))
            await trio.sleep(
                primary_resolver.MAX_VIEW_AGE_S
                - primary_resolver.MAX_UNCONFIRMED_AGE_S
            )
            assert not is_success(await caller.query("WRITE a 2"))

    trio.run(main)


def test_who_loses_the_store_serves_on_with_a_neighbours_news():
    async def main():
        async with proxies.open_world() as world:
            members = [await world.add_proxy(f"vm-{n}") for n in range(2)]
            caller = await world.connect(members[0])
            members[0].store.is_cut = True
            await trio.sleep(primary_resolver.MAX_VIEW_AGE_S + 2)
            assert is_success(await caller.query("WRITE a 1"))

    trio.run(main)


def test_all_members_release_and_no_time_is_lost():
    async def main():
        async with proxies.open_world() as world:
            for number in range(3):
                await world.add_proxy(f"vm-{number}")
            # A VM that has just started may have missed who left.
            await trio.sleep(succession.FENCE_TIMEOUT_S + 0.2)
            started = trio.current_time()
            world.register(world.group.instances["i-0"], state="draining")
            await proxies.wait_until(lambda: world.duties.orders)
            assert trio.current_time() - started < 1.5
            keys = [
                key
                for key in world.store.items
                if key.startswith(fleet.RELEASES_PREFIX)
            ]
            assert len(keys) == 3

    trio.run(main)


def test_a_pending_lead_stops_writes_at_every_vm():
    async def main():
        async with proxies.open_world() as world:
            proxy = await world.add_proxy()
            caller = await world.connect(proxy)
            assert is_success(await caller.query("WRITE a 1"))
            holder = f"vm-1/{proxy.node.boot}x"
            lead = fleet.Lead("i-0", 1, holder, True)
            write = store_port.Write(LEAD_KEY, fleet.encode_record(lead))
            world.store.put(LEAD_KEY, write.value)
            await trio.sleep(0.1)
            lines = await caller.query("WRITE a 2")
            assert lines[0].startswith("ERROR BUSY")
            assert world.group.instances["i-0"].data == {"a": "1"}

    trio.run(main)


def test_a_lead_that_another_vm_marked_is_not_marked_over():
    """Two VMs see the primary fail; one replaces it, once."""

    async def main():
        async with proxies.open_world() as world:
            members = [await world.add_proxy(f"vm-{n}") for n in range(2)]
            callers = [await world.connect(item) for item in members]
            await settle(world)
            world.group.instances["i-0"].crash()
            async with trio.open_nursery() as nursery:
                for caller in callers:
                    nursery.start_soon(write_until_kept, caller, "after")
            assert len(world.duties.orders) == 1
            marks = [
                value["holder"]
                for value in world.store.list_values(LEAD_KEY)
                if value["is_pending"]
            ]
            assert len(marks) == 1

    trio.run(main)


@run_world
async def test_a_primary_that_only_lost_its_entry_serves_on(world, proxy):
    caller = await world.connect(proxy)
    await settle(world)
    first = world.group.instances["i-0"]
    world.register(first, state="draining")
    await wait_settled(world)
    led = world.group.instances[world.store.get(LEAD_KEY)["target"]]
    world.store.delete(f"servers/{led.name}")
    await trio.sleep(0.3)
    assert is_success(await caller.query("WRITE a 1"))
    world.register(led)
    await trio.sleep(2.5)
    assert is_success(await caller.query("WRITE a 2"))
    assert len(world.duties.orders) == 1


@run_world
async def test_a_done_promotion_is_settled_by_the_next_holder(world, proxy):
    """As in the Association's incident: the store turned the holder away
    after its order, and the old primary came back as a replica."""
    await settle(world)
    await world.group.promote("i-1")
    old = world.group.instances["i-0"]
    old.role = "replica"
    old.term = world.group.instances["i-1"].term
    dead = fleet.Lead("i-0", 1, "vm-9/boot", True)
    world.store.put(LEAD_KEY, fleet.encode_record(dead))
    caller = await world.connect(proxy)
    await write_until_kept(caller, "after")
    assert world.store.get(LEAD_KEY)["target"] == "i-1"
    assert not world.duties.orders
