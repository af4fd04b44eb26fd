"""Reporters of the usage, resumed step by step in any order.

The tasks of two or three VMs run without trio: each of their calls stops
twice, before it reaches the other side and before its answer arrives, and a
rule resumes one of them. A VM that is not resumed is frozen.
"""

import contextlib
import itertools
import types

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from geraniumridge._internal.decisions.usage import reporter
from geraniumridge._internal.decisions.usage import reports
from geraniumridge._internal.decisions.usage import window_queue
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import fleet
from geraniumridge._internal.models import proxy_settings
from geraniumridge._internal.ports import store as store_port
from geraniumridge._internal.proxy import node
from geraniumridge._internal.proxy import recorded_call
from geraniumridge._internal.proxy.usage import reporting
from geraniumridge._internal.utils import clock
from geraniumridge_platform import records
from standins import duties

USAGE = proxy_settings.UsageSettings(5.0, 0.05, 10.0, 3.0)
BEGAN_AT = 1_000.0
VMS = ("vm-1", "vm-2", "vm-3")

CARRIED_OUT = "carried out"
ANSWER_LOST = "answer lost"
REQUEST_LOST = "request lost"
LATE = "carried out late"
FATES = (CARRIED_OUT, CARRIED_OUT, CARRIED_OUT, ANSWER_LOST, REQUEST_LOST)


class Step:
    """Point at which a task stops; it is resumed with what happens next."""

    def __await__(self):
        """Yield to the test."""
        return (yield)


class World:
    """Clock, store and platform of all VMs."""

    def __init__(self):
        self.now = BEGAN_AT
        self.revision = 10
        self.items = {}
        self.events = []
        self.leases = {}
        self.late = []
        self.calls = []
        self.is_store_away = False
        self.ledger = duties.UsageLedger(USAGE.lease_s)
        self._numbers = itertools.count(1)

    def advance(self, seconds):
        """Let time pass; leases end at their time."""
        self.now += seconds
        for lease, (_, expires_at) in list(self.leases.items()):
            if expires_at <= self.now:
                self.end_lease(lease)
        self.calls = [
            call
            for call in self.calls
            if self.now - call.at < reporter.LATE_CALL_S
        ]

    def put(self, key, record, lease=0):
        self.revision += 1
        value = (
            record
            if isinstance(record, bytes)
            else fleet.encode_record(record)
        )
        self.items[key] = (self.revision, lease)
        self.events.append(store_port.Item(key, value, self.revision))

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append(store_port.Item(key, None, self.revision))

    def commit(self, expected, writes, deletes):
        for key, revision in expected.items():
            if self.items.get(key, (0, 0))[0] != revision:
                raise exceptions.ConflictError(key)
        if any(
            item.lease and item.lease not in self.leases for item in writes
        ):
            raise exceptions.LeaseLostError("ended")
        for write in writes:
            self.put(write.key, write.value, write.lease)
        for key in deletes:
            self.delete(key)
        return self.revision

    def open_lease(self, ttl_s):
        lease = next(self._numbers)
        self.leases[lease] = (ttl_s, self.now + ttl_s)
        return lease

    def renew_lease(self, lease):
        if lease not in self.leases:
            raise exceptions.LeaseLostError("ended")
        ttl_s = self.leases[lease][0]
        self.leases[lease] = (ttl_s, self.now + ttl_s)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key, (_, owner) in list(self.items.items()):
            if owner == lease:
                self.delete(key)


class Store:
    """Store client of one VM."""

    def __init__(self, world):
        self._world = world

    async def _call(self, action, *arguments):
        fate = await Step()
        if self._world.is_store_away or fate == REQUEST_LOST:
            raise exceptions.PlatformUnavailableError("lost")
        if fate == LATE:
            self._world.late.append((action, arguments))
            raise exceptions.PlatformUnavailableError("late")
        result = action(*arguments)
        await Step()
        if fate == ANSWER_LOST:
            raise exceptions.PlatformUnavailableError("answer lost")
        return result

    async def commit(self, expected, writes=(), deletes=()):
        """Apply all changes or none."""
        world = self._world
        return await self._call(world.commit, expected, writes, deletes)

    async def open_lease(self, ttl_s):
        """Open a lease."""
        return await self._call(self._world.open_lease, ttl_s)

    async def renew_lease(self, lease):
        """Renew a lease."""
        await self._call(self._world.renew_lease, lease)

    async def end_lease(self, lease):
        """End a lease."""
        await self._call(self._world.end_lease, lease)


class Receiver:
    """Client of the platform's API; a call may arrive late or never."""

    def __init__(self, world):
        self._world = world

    async def connect(self):
        """Return itself as the open call."""
        if await Step() == REQUEST_LOST:
            raise exceptions.NotSentError("cannot connect")
        return self

    async def send(self, report, holder, fence):
        """Put the call on its way and wait for its answer."""
        world = self._world
        call = duties.UsageCall(*report, holder, fence, world.now)
        world.calls.append(call)
        fate = await Step()
        if call in world.calls and fate == CARRIED_OUT:
            world.calls.remove(call)
            world.ledger.note(call._replace(at=world.now))
        elif fate != CARRIED_OUT or call not in world.ledger.calls:
            raise exceptions.PlatformUnavailableError("no answer")

    async def close(self):
        """Do nothing; a call under way may still arrive."""


class Collection:
    """Counts that differ whenever they are asked for."""

    window_s = USAGE.window_s
    is_settled = True

    def __init__(self, numbers, offset_s):
        self._numbers = numbers
        self._offset_s = offset_s
        self.reporter = None

    def set_reporter(self, vm_name):
        self.reporter = vm_name

    def make_report(self, window):
        number = next(self._numbers)
        if number % 7 == 3:
            return None
        if number % 7 == 5:
            return reports.SkippedWindow(window, "not covered")
        return reports.UsageReport(window, {"a": number, "b": 2})

    def get_window(self, now):
        return int((now + self._offset_s) // USAGE.window_s)

    def get_end(self, window):
        return (window + 1) * USAGE.window_s - self._offset_s


class Vm:
    """One VM with its tasks."""

    def __init__(self, world, name, boot, numbers, offset_s=0.0):
        self.world = world
        self.name = name
        self.boot = boot
        settings = proxy_settings.ProxySettings(
            vm=proxy_settings.VmSettings(name, "north", "127.0.0.1"),
            listen=proxy_settings.ListenSettings("", "", 1, 1),
            platform=proxy_settings.PlatformSettings("", ""),
            usage=USAGE,
        )
        self.node = node.Node(settings, boot, records.decode_record, None)
        self.collection = Collection(numbers, offset_s)
        self.reporting = reporting.UsageReporting(
            self.node,
            Store(world),
            Receiver(world),
            self.collection,
            self.collection,
        )
        self.tasks = {}
        member = fleet.Member(name, "north", "127.0.0.1:1", boot, True)
        world.put(fleet.make_member_key(name), member)
        if not world.is_store_away:
            self.sync()

    def sync(self):
        """Bring the store view up to date."""
        world = self.world
        self.node.view.apply(
            world.now, store_port.Changes(tuple(world.events), world.revision)
        )
        self.node.view_age.confirm(world.now)

    def resume(self, kind, fate):
        """Resume a task up to its next step, or start it."""
        task = self.tasks.get(kind)
        try:
            if task is None:
                task = self.tasks[kind] = self._start(kind)
                task.send(None)
            else:
                task.send(fate)
        except StopIteration:
            del self.tasks[kind]
        except exceptions.PlatformError:
            del self.tasks[kind]

    def _start(self, kind):
        if kind == "check":
            return self.reporting._check()
        if kind == "leave":
            return self.reporting.leave()
        lease = self.reporting._lease
        return self._renew(lease)

    async def _renew(self, lease):
        if lease.number and self.reporting._reporter.fence:
            await lease._renew(lease.number)


class Reporters(stateful.RuleBasedStateMachine):
    """Rules of the platform hold whatever happens in whatever order."""

    offsets = (0.0, 0.3, -0.3)

    def __init__(self):
        super().__init__()
        self.world = World()
        self.numbers = itertools.count(1)
        self.boots = itertools.count(1)
        self._now = clock.now
        self._trio = recorded_call.trio
        clock.now = lambda: self.world.now
        recorded_call.trio = types.SimpleNamespace(
            CancelScope=lambda shield: contextlib.nullcontext()
        )
        self.vms = {}
        for name in VMS:
            self.start(name)

    def teardown(self):
        for vm in self.vms.values():
            for task in vm.tasks.values():
                task.close()
        clock.now = self._now
        recorded_call.trio = self._trio

    def start(self, name):
        boot = f"boot-{next(self.boots)}"
        offset_s = self.offsets[VMS.index(name)]
        self.vms[name] = Vm(self.world, name, boot, self.numbers, offset_s)

    @stateful.rule(seconds=st.sampled_from([0.1, 0.3, 1.0, 2.0, 3.5]))
    def pass_time(self, seconds):
        self.world.advance(seconds)

    @stateful.rule(
        name=st.sampled_from(VMS),
        kind=st.sampled_from(["check", "check", "renew"]),
        fate=st.sampled_from([*FATES, LATE]),
    )
    def resume(self, name, kind, fate):
        self.vms[name].resume(kind, fate)

    @stateful.rule(name=st.sampled_from(VMS))
    def sync(self, name):
        if not self.world.is_store_away:
            self.vms[name].sync()

    @stateful.rule(
        running=st.sets(st.sampled_from(VMS), min_size=1),
        rounds=st.integers(1, 60),
        fate=st.sampled_from(FATES),
    )
    def run(self, running, rounds, fate):
        """Let some VMs run for a while; the others are frozen."""
        for _ in range(rounds):
            self.world.advance(0.1)
            for name in sorted(running):
                vm = self.vms[name]
                if not self.world.is_store_away:
                    vm.sync()
                for _ in range(4):
                    vm.resume("check", fate)
                lease = vm.reporting._lease
                if lease.until - self.world.now < 2.0 or "renew" in vm.tasks:
                    vm.resume("renew", fate)

    @stateful.rule(index=st.integers(0, 3))
    def carry_out_late(self, index):
        late = self.world.late
        if index < len(late):
            action, arguments = late.pop(index)
            with contextlib.suppress(exceptions.PlatformError):
                action(*arguments)

    @stateful.rule(index=st.integers(0, 3))
    def deliver_call(self, index):
        calls = self.world.calls
        if index < len(calls):
            call = calls.pop(index)
            self.world.ledger.note(call._replace(at=self.world.now))

    @stateful.rule(is_away=st.booleans())
    def set_store_away(self, is_away):
        self.world.is_store_away = is_away

    @stateful.rule(name=st.sampled_from(VMS))
    def kill(self, name):
        for task in self.vms[name].tasks.values():
            task.close()
        self.start(name)

    @stateful.rule(name=st.sampled_from(VMS))
    def leave(self, name):
        self.vms[name].resume("leave", CARRIED_OUT)

    @stateful.rule(name=st.sampled_from(VMS))
    def give_up(self, name):
        self.vms[name].reporting._reporter.give_up(self.world.now)

    @stateful.invariant()
    def no_rule_is_broken(self):
        assert not self.world.ledger.violations


class ReportersWithWrongClocks(Reporters):
    """True time of one VM is ahead by more than a window, of one behind."""

    offsets = (7.0, 0.0, -12.0)


SETTINGS = hypothesis.settings(
    max_examples=250,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
)
Reporters.TestCase.settings = SETTINGS
ReportersWithWrongClocks.TestCase.settings = SETTINGS
TestReporters = Reporters.TestCase
TestReportersWithWrongClocks = ReportersWithWrongClocks.TestCase


@pytest.fixture
def reporters():
    machine = Reporters()
    yield machine
    machine.teardown()


def find_holder(machine):
    """Return the VM that holds the key, or None."""
    machine.vms["vm-1"].sync()
    found = machine.vms["vm-1"].node.view.usage_reporter
    return machine.vms[found.vm] if found else None


def test_first_reporter_reports_and_costs_few_calls(reporters):
    """Guards against all VMs trying for the key at once."""
    for _ in range(20):
        reporters.run(set(VMS), 20, CARRIED_OUT)
    ledger = reporters.world.ledger
    assert len(ledger.counts) >= 4
    assert {call.holder for call in ledger.calls} == {
        find_holder(reporters).name
    }
    assert len(reporters.world.leases) == 1


def test_successor_sends_what_a_frozen_holder_has_recorded(reporters):
    """Guards against a window whose record is made but never sent."""
    world = reporters.world
    while not world.ledger.calls:
        reporters.run(set(VMS), 1, CARRIED_OUT)
    holder = find_holder(reporters)
    known = set(holder.node.view.usage_records)
    while set(holder.node.view.usage_records) == known:
        world.advance(0.1)
        holder.sync()
        holder.resume("check", CARRIED_OUT)
        holder.resume("renew", CARRIED_OUT)
    (window,) = set(holder.node.view.usage_records) - known
    recorded = holder.node.view.usage_records[window].counts
    others = set(VMS) - {holder.name}
    reporters.run(others, 95, CARRIED_OUT)
    assert world.ledger.counts[window] == recorded
    assert find_holder(reporters).name in others
    # The former holder wakes up.
    reporters.run(set(VMS), 100, CARRIED_OUT)
    assert not world.ledger.violations


def freeze_while_recording(reporters):
    """Freeze the holder before its record reaches the store.

    Returns
    -------
    tuple
        The VM and the window.
    """
    world = reporters.world
    while not world.ledger.calls:
        reporters.run(set(VMS), 1, CARRIED_OUT)
    holder = find_holder(reporters)
    commits = []
    commit = holder.reporting._recorder._store.commit

    async def note_commit(expected, writes=(), deletes=()):
        commits.append(writes[0].key)
        return await commit(expected, writes, deletes)

    holder.reporting._recorder._store.commit = note_commit
    while not commits:
        world.advance(0.1)
        holder.sync()
        holder.resume("check", CARRIED_OUT)
        if not commits:
            holder.resume("renew", CARRIED_OUT)
    return holder, fleet.parse_usage_window(commits[0])


def test_record_that_arrives_after_a_takeover_is_not_written(reporters):
    """Guards against a former holder's counts beside its successor's."""
    holder, window = freeze_while_recording(reporters)
    others = set(VMS) - {holder.name}
    world = reporters.world
    while find_holder(reporters) in (None, holder):
        reporters.run(others, 1, CARRIED_OUT)
    while holder.tasks.get("check"):
        holder.resume("check", CARRIED_OUT)
    assert fleet.make_usage_key(window) not in world.items
    reporters.run(set(VMS), 100, CARRIED_OUT)
    assert not world.ledger.violations


def test_record_of_another_is_not_replaced(reporters):
    """Guards against two reports of a window while a view lags behind."""
    holder, window = freeze_while_recording(reporters)
    other = fleet.UsageRecord(1, "vm-9", {"a": 99})
    put_odd(reporters, window, other)
    while not reporters.world.ledger.counts.get(window):
        reporters.run(set(VMS), 1, CARRIED_OUT)
    assert reporters.world.ledger.counts[window] == {"a": 99}


def test_holder_without_the_store_stops_before_its_lease_ends(reporters):
    world = reporters.world
    while not world.ledger.calls:
        reporters.run(set(VMS), 1, CARRIED_OUT)
    holder = find_holder(reporters)
    world.is_store_away = True
    reporters.run({holder.name}, 25, CARRIED_OUT)
    count = len(world.ledger.calls)
    reporters.run({holder.name}, 60, CARRIED_OUT)
    assert len(world.ledger.calls) == count
    assert not world.leases


def test_holder_whose_calls_are_not_answered_leaves_its_place(reporters):
    """Guards against a holder that is cut off from the API alone."""
    world = reporters.world
    while not world.ledger.calls:
        reporters.run(set(VMS), 1, CARRIED_OUT)
    holder = find_holder(reporters)
    receiver = holder.reporting._receiver

    async def connect():
        await Step()
        raise exceptions.NotSentError("cut off")

    receiver.connect = connect
    for _ in range(15):
        reporters.run(set(VMS), 20, CARRIED_OUT)
    assert find_holder(reporters) not in (None, holder)
    assert world.ledger.calls[-1].holder != holder.name
    assert not world.ledger.violations


def put_odd(reporters, window, value):
    reporters.world.put(fleet.make_usage_key(window), value)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[" * 99_999,
        b'{"fence": 1, "holder": "v", "counts": {"a": -1}}',
        b'{"fence": 1, "holder": "v", "counts": {"a": 1e400}}',
        b'{"fence": 1, "holder": "v", "counts": {"a": 99999999999999999999}}',
        b'{"fence": 1, "holder": "", "counts": {}}',
    ],
)
def test_unreadable_record_costs_its_window_only(reporters, value):
    window = reporters.vms["vm-1"].collection.get_window(BEGAN_AT) + 3
    put_odd(reporters, window, value)
    for _ in range(20):
        reporters.run(set(VMS), 20, CARRIED_OUT)
    counts = reporters.world.ledger.counts
    assert window not in counts
    assert max(counts) > window
    metrics = find_holder(reporters).node.metrics.counters
    assert metrics["usage_windows_skipped:unreadable record"] == 1


@pytest.mark.parametrize("offset", [10**9, -(10**6), 40])
def test_record_of_a_window_far_off_is_not_sent(reporters, offset):
    """Guards against a high-water mark that no window reaches again."""
    window = reporters.vms["vm-1"].collection.get_window(BEGAN_AT) + offset
    put_odd(reporters, window, fleet.UsageRecord(1, "vm-9", {"a": 1}))
    for _ in range(15):
        reporters.run(set(VMS), 10, CARRIED_OUT)
    assert reporters.world.ledger.counts
    assert window not in reporters.world.ledger.counts


@pytest.mark.parametrize("count", [-1, 2**60, 1.5, "7", True])
def test_counts_that_are_not_valid_are_skipped(reporters, count):
    for vm in reporters.vms.values():
        vm.collection.make_report = lambda window: reports.UsageReport(
            window, {"a": count}
        )
    for _ in range(8):
        reporters.run(set(VMS), 20, CARRIED_OUT)
    assert not reporters.world.ledger.calls
    counters = find_holder(reporters).node.metrics.counters
    assert counters["usage_windows_skipped:invalid counts"]


def test_report_larger_than_a_value_of_the_store_is_skipped(reporters):
    counts = {f"team-{number:0100}": number for number in range(12_000)}
    for vm in reporters.vms.values():
        vm.collection.make_report = lambda window: reports.UsageReport(
            window, counts
        )
    for _ in range(5):
        reporters.run(set(VMS), 20, CARRIED_OUT)
    assert not reporters.world.ledger.calls
    counters = find_holder(reporters).node.metrics.counters
    assert counters["usage_windows_skipped:too large"]


def test_window_without_complete_counts_is_skipped_once_overdue(reporters):
    for vm in reporters.vms.values():
        vm.collection.make_report = lambda window: None
    for _ in range(15):
        reporters.run(set(VMS), 20, CARRIED_OUT)
    assert not reporters.world.ledger.calls
    counters = find_holder(reporters).node.metrics.counters
    assert counters["usage_windows_skipped:incomplete"] >= 2


def test_old_records_are_deleted_and_the_newest_stays(reporters):
    for _ in range(150):
        reporters.run(set(VMS), 20, CARRIED_OUT)
    keys = [
        key
        for key in reporters.world.items
        if key.startswith(fleet.USAGE_RECORDS_PREFIX)
    ]
    counts = reporters.world.ledger.counts
    assert len(counts) > 10
    assert fleet.make_usage_key(max(counts)) in keys
    kept = window_queue.KEEP_S / USAGE.window_s
    assert len(keys) <= 6 + kept < len(counts)


def test_unreadable_reporter_key_is_replaced_after_its_lease(reporters):
    """Guards against reports that an odd entry ends for good."""
    reporters.world.put(fleet.USAGE_REPORTER_KEY, b"{")
    reporters.run(set(VMS), 50, CARRIED_OUT)
    assert find_holder_name(reporters) == ""
    for _ in range(10):
        reporters.run(set(VMS), 20, CARRIED_OUT)
    assert find_holder_name(reporters) in VMS
    assert reporters.world.ledger.calls


def find_holder_name(machine):
    machine.vms["vm-1"].sync()
    return machine.vms["vm-1"].node.view.usage_reporter.vm


def test_report_is_repeated_exactly_while_it_is_not_answered(reporters):
    world = reporters.world
    while not world.ledger.calls:
        reporters.run(set(VMS), 1, CARRIED_OUT)
    holder = find_holder(reporters)
    send = holder.reporting._receiver.send
    lost = []

    async def send_without_answer(report, name, fence):
        await send(report, name, fence)
        if len(lost) < 3:
            lost.append(report)
            raise exceptions.PlatformUnavailableError("answer lost")

    holder.reporting._receiver.send = send_without_answer
    for _ in range(8):
        reporters.run(set(VMS), 20, CARRIED_OUT)
    assert len(lost) == 3
    window = lost[0].window
    repeated = [call for call in world.ledger.calls if call.window == window]
    assert len(repeated) >= 2
    assert not world.ledger.violations
