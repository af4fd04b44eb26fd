"""Counts of requests for each window and team on a fake clock."""

from geraniumridge._internal.decisions.usage import clock
from geraniumridge._internal.decisions.usage import counter

WINDOW_S = 5.0
TEAMS = {"a", "b"}
RETAINED = 3


def make_counter(is_settled=True):
    """Return a counter and its clock, whose window 0 begins at 0."""
    usage_clock = clock.UsageClock(WINDOW_S, "vm-1", 0.0, 0.0)
    if is_settled:
        usage_clock.settle(clock.FEW_OTHERS_WAIT_S)
    made = counter.UsageCounter(usage_clock, TEAMS.__contains__, RETAINED)
    return made, usage_clock


def test_requests_count_in_the_window_in_which_they_were_sent():
    made, _ = make_counter()
    for now in (0.0, 4.99, 5.0, 9.0, 9.9):
        made.note_begun("a", now)
    made.note_begun("b", 1.0)
    assert made.get_counts(0).counts == {"a": 2, "b": 1}
    assert made.get_counts(1).counts == {"a": 3}
    assert made.get_counts(2).counts == {}


def test_refused_request_is_taken_back_from_its_window():
    """The refusal may come after the window has ended."""
    made, _ = make_counter()
    made.note_begun("a", 4.9)
    made.note_begun("b", 4.9)
    before = made.get_counts(0)
    made.note_refused("a", 4.9)
    assert made.get_counts(0).counts == {"b": 1}
    assert made.get_counts(0).change_count > before.change_count
    assert made.get_counts(1).counts == {}


def test_unknown_team_is_not_counted():
    made, _ = make_counter()
    for number in range(1_000):
        made.note_begun(f"x{number}", 1.0)
    assert made.get_counts(0).counts == {}


def test_old_windows_are_forgotten():
    made, _ = make_counter()
    for window in range(100):
        now = window * WINDOW_S + 1.0
        made.note_begun("a", now)
        made.update(now)
        assert len(made._windows) <= RETAINED
    assert made.get_counts(99).counts == {"a": 1}
    assert made.get_counts(97).counts == {"a": 1}
    assert made.get_counts(96).counts == {}


def test_request_before_the_clock_settled_counts_in_the_fleets_window():
    """The VM's own time of day may be off by several windows."""
    made, usage_clock = make_counter(is_settled=False)
    made.note_begun("a", 1.0)
    made.note_begun("a", 1.0)
    made.note_refused("a", 1.0)
    made.update(1.1)
    assert made.get_counts(0).counts == {}
    usage_clock.set_references(["vm-2"])
    usage_clock.note_reading("vm-2", 101.2, 1.2)
    usage_clock.settle(clock.FEW_OTHERS_WAIT_S)
    made.update(1.2)
    assert made.get_counts(20).counts == {"a": 1}


def test_memory_is_bounded_while_the_clock_does_not_settle():
    made, _ = make_counter(is_settled=False)
    for number in range(10_000):
        made.note_begun("a", number * 0.01)
    slots = RETAINED * WINDOW_S / counter.SLOT_S
    assert len(made._slots) <= slots + 2
