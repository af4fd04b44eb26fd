"""Rules that each keep two reporters apart."""

import pytest

from geraniumridge._internal.decisions import clock_drift
from geraniumridge._internal.decisions.usage import reporter
from geraniumridge._internal.decisions.usage import window_queue
from geraniumridge._internal.models import fleet

LEASE_S = 4.0
FENCE = 50
OWN = fleet.UsageReporter("vm-1", "boot", 7)
REPORT = reporter.Decision(reporter.Action.REPORT, FENCE)


def make_reporter():
    return reporter.Reporter("vm-1", "boot", LEASE_S)


def make_observation(**fields):
    """Return what the holder of the key sees."""
    seen = reporter.Observation(60, True, FENCE, OWN, 7, 1_000.0, 0)
    return seen._replace(**fields)


def make_holder():
    """Return a reporter that acquired the key at time 0."""
    holder = make_reporter()
    holder.note_acquired(0.0, FENCE, 7, 0)
    return holder


def test_holder_waits_for_the_calls_of_its_predecessor():
    """Guards against a lower token after a higher one, and against turns."""
    holder = make_holder()
    wait_s = LEASE_S * clock_drift.CLOCK_DRIFT_FACTOR
    assert holder.decide(wait_s - 0.01, make_observation()) == reporter.WAIT
    assert holder.decide(wait_s, make_observation()) == REPORT


def test_holder_of_a_short_lease_waits_for_late_calls():
    holder = reporter.Reporter("vm-1", "boot", 0.5)
    holder.note_acquired(0.0, FENCE, 7, 0)
    early = reporter.LATE_CALL_S - 0.1
    assert holder.decide(early, make_observation()) == reporter.WAIT


def test_holder_waits_longer_where_it_replaced_a_key():
    """Guards against two holders while the replaced key's lease goes on."""
    holder = make_reporter()
    holder.note_acquired(0.0, FENCE, 7, 40)
    wait_s = 2 * LEASE_S * clock_drift.CLOCK_DRIFT_FACTOR
    assert holder.decide(wait_s - 0.01, make_observation()) == reporter.WAIT
    assert holder.decide(wait_s, make_observation()) == REPORT


def test_holder_stops_before_its_lease_can_have_ended():
    """Guards against a store whose clock is faster by a tenth."""
    holder = make_holder()
    seen = make_observation(lease_until=100.0)
    faster_s = LEASE_S / clock_drift.CLOCK_DRIFT_FACTOR
    end = 100.0 - LEASE_S + faster_s
    assert holder.decide(end - 0.2, seen) == REPORT
    assert holder.decide(end, seen) == reporter.WAIT
    renewed = make_observation(lease_until=104.0)
    assert holder.decide(end, renewed) == REPORT


@pytest.mark.parametrize(
    "change",
    [
        {"lease": 8},
        {"lease": 0},
        {"key_revision": 0, "reporter": None},
        {"key_revision": 55, "reporter": OWN._replace(vm="vm-2")},
    ],
)
def test_tenure_ends_with_the_lease_or_the_key(change):
    """Guards against a new lease that seems to keep the former key."""
    holder = make_holder()
    assert holder.decide(10.0, make_observation()) == REPORT
    holder.decide(10.1, make_observation(**change))
    assert not holder.fence


def test_holder_waits_until_its_view_shows_what_was_recorded_before():
    holder = make_holder()
    seen = make_observation(revision=FENCE - 1, key_revision=0, reporter=None)
    assert holder.decide(10.0, seen) == reporter.WAIT
    assert holder.fence


def test_key_whose_write_went_unanswered_is_adopted_with_its_wait():
    found = make_reporter()
    assert found.decide(0.0, make_observation()) == reporter.WAIT
    assert found.fence == FENCE
    assert found.decide(20.0, make_observation()) == REPORT


@pytest.mark.parametrize("field", [{"boot": "former"}, {"lease": 6}])
def test_key_of_a_former_run_or_lease_is_not_adopted(field):
    """Guards against a tenure under a lease that nobody renews."""
    found = make_reporter()
    seen = make_observation(reporter=OWN._replace(**field))
    for now in range(30):
        assert found.decide(float(now), seen) == reporter.WAIT


def test_missing_key_is_acquired_in_the_order_of_ranks():
    missing = make_observation(key_revision=0, reporter=None, lease=0)
    first, second = make_reporter(), make_reporter()
    acquire = reporter.Decision(reporter.Action.ACQUIRE, 0)
    assert first.decide(0.0, missing) == acquire
    later = missing._replace(rank=2)
    assert second.decide(0.0, later) == reporter.WAIT
    assert second.decide(2 * reporter.RANK_DELAY_S, later) == acquire


def test_old_view_does_not_show_a_missing_key():
    missing = make_observation(
        key_revision=0, reporter=None, lease=0, is_current=False
    )
    assert make_reporter().decide(9.0, missing) == reporter.WAIT


def test_vm_that_gave_up_lets_others_try_first():
    found = make_holder()
    found.give_up(10.0)
    missing = make_observation(key_revision=0, reporter=None, lease=0)
    assert found.decide(10.0, missing) == reporter.WAIT
    late = 10.0 + reporter.GIVE_UP_DELAY_S
    assert found.decide(late, missing).action is reporter.Action.ACQUIRE


def test_stopped_reporter_does_nothing():
    found = make_holder()
    found.stop()
    assert found.decide(10.0, make_observation()) == reporter.WAIT


class Clock:
    """Windows of five seconds."""

    window_s = 5.0

    def get_window(self, now):
        return int(now // 5)

    def get_end(self, window):
        return (window + 1) * 5.0


def make_queue():
    return window_queue.WindowQueue(FENCE, Clock(), 10.0)


def make_record(count=1):
    return fleet.UsageRecord(FENCE, "vm-1", {"a": count})


def test_window_below_a_record_of_a_clock_that_was_ahead_is_not_decided():
    """Guards against a second report of a window whose record was deleted."""
    queue = make_queue()
    records = {window: make_record() for window in range(20, 40)}
    true_time = 5.0 * 28 + 0.1
    queue.start(true_time, records)
    ahead = true_time + 60.0
    deleted = queue.list_obsolete(ahead, records)
    successor = make_queue()
    left = {w: item for w, item in records.items() if w not in deleted}
    successor.start(true_time, left)
    assert successor.find_window(true_time) in (None, *left)
    assert not [window for window in deleted if window >= 22]


def test_windows_before_a_clock_was_set_are_passed_over_at_once():
    """Guards against a loop over all windows since 1970."""
    queue = make_queue()
    queue.start(0.0, {})
    assert queue.pass_over_old(10.0) == 0
    assert queue.pass_over_old(1_700_000_000.0) > 300_000_000
    assert queue.pass_over_old(1_700_000_000.0) == 0


def test_newest_record_is_never_deleted():
    """Guards against a successor that reports its window again."""
    found = make_queue().list_obsolete(
        10_000.0, {1: make_record(), 2: make_record()}
    )
    assert found == [1]


def test_records_that_are_still_sent_are_not_deleted():
    found = make_queue().list_obsolete(
        100.0 + window_queue.KEEP_S,
        {window: make_record() for window in range(20)},
    )
    assert found == list(range(16))


def test_deletes_leave_room_in_a_transaction():
    records = {window: make_record() for window in range(500)}
    found = make_queue().list_obsolete(10_000.0, records)
    assert len(found) == window_queue.MAX_DELETES


def test_windows_up_to_the_newest_record_are_not_decided_again():
    queue = make_queue()
    records = {17: make_record(), 18: make_record()}
    assert queue.start(99.0, records) == []
    assert queue.find_window(99.0) is None
    assert queue.find_window(100.0) == 19
    assert queue.find_call(99.0).window == 17


def test_windows_without_a_reporter_are_named():
    skipped = make_queue().start(100.0, {10: make_record()})
    assert [item.window for item in skipped] == [11, 12, 13, 14, 15, 16, 17]
    assert {item.reason for item in skipped} == {window_queue.NO_REPORTER}


def test_reports_that_are_in_time_are_sent_before_overdue_ones():
    queue = make_queue()
    queue.start(100.0, {16: make_record(), 18: make_record(2)})
    assert queue.find_call(100.0).window == 18
    queue.note_answered(18)
    assert queue.find_call(100.0).window == 16
    assert queue.find_call(105.0) is None
