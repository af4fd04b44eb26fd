"""Time of day that the VMs agree on, from clocks that are off or jump."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from geraniumridge._internal.decisions.usage import clock

EPOCH = 1_700_000_000.0
"""Seconds from the start of 1970 to boot."""

WINDOW_S = 5.0
OTHERS = ("vm-2", "vm-3", "vm-4")


def make_clock(references=OTHERS, own_error_s=0.0):
    """Return a settled clock that has heard the references at time 0."""
    made = clock.UsageClock(WINDOW_S, "vm-1", EPOCH + own_error_s, 0.0)
    made.set_references(references)
    for vm in references:
        made.note_reading(vm, EPOCH, 0.0)
    made.settle(0.0 if references else clock.FEW_OTHERS_WAIT_S)
    assert made.is_settled
    return made


def test_window_ends_where_the_next_begins():
    made = make_clock()
    window = made.get_window(12.3)
    end = made.get_end(window)
    assert 12.3 < end <= 12.3 + WINDOW_S
    assert made.get_window(end + 1e-6) == window + 1
    assert window == int((EPOCH + 12.3) // WINDOW_S)


@pytest.mark.parametrize("error_s", [-7.0, 0.3, 3600.0])
def test_own_time_of_day_that_is_off_changes_nothing_while_others_are_heard(
    error_s,
):
    assert make_clock(own_error_s=error_s).get_true_time(1.0) == EPOCH + 1.0


@pytest.mark.parametrize("references", [OTHERS, ("vm-1", *OTHERS), ()])
@pytest.mark.parametrize("jump_s", [-4.0, 9.0])
def test_jump_of_the_own_time_of_day_and_back_changes_nothing(
    references, jump_s
):
    """Also alone, where the first reading stays in use."""
    made = make_clock(references)
    for now in range(1, 60):
        is_off = 10 <= now < 40
        made.note_reading("vm-1", EPOCH + now + is_off * jump_s, now)
        for vm in references:
            made.note_reading(vm, EPOCH + now, now)
        assert made.get_true_time(now) == EPOCH + now


def test_lasting_jump_alone_moves_the_windows_slowly_at_last():
    """A clock that was set right must not be ignored for good."""
    made = make_clock(())
    former = made.get_true_time(0.0)
    for now in range(1, 1_000):
        made.note_reading("vm-1", EPOCH + now + 2.0, now)
        moved = made.get_true_time(now) - former
        assert 0.99 <= moved <= 1.01
        former = made.get_true_time(now)
        if now < clock.JUMP_ACCEPTED_AFTER_S:
            assert former == EPOCH + now
    assert former == pytest.approx(EPOCH + now + 2.0)


def test_clock_does_not_settle_while_most_others_are_silent():
    """Its first windows would follow its own time of day."""
    made = clock.UsageClock(WINDOW_S, "vm-1", EPOCH + 3.0, 0.0)
    made.set_references(OTHERS)
    made.note_reading("vm-2", EPOCH, 0.0)
    made.settle(10.0)
    assert not made.is_settled
    made.note_reading("vm-3", EPOCH, 0.1)
    made.settle(10.1)
    assert made.is_settled


def test_vm_that_started_alone_with_a_wrong_clock_follows_the_others():
    """At once, and it says which windows it counted by another clock."""
    made = make_clock((), own_error_s=2.0)
    assert made.get_true_time(6.0) == EPOCH + 8.0
    made.set_references(OTHERS)
    for vm in OTHERS:
        made.note_reading(vm, EPOCH + 20.0, 20.0)
    assert made.get_true_time(20.0) == EPOCH + 20.0
    assert made.steady_since == 20.0


def test_vm_that_is_the_first_to_start_waits_for_others():
    made = clock.UsageClock(WINDOW_S, "vm-1", EPOCH + 3.0, 0.0)
    made.set_references(["vm-1"])
    made.settle(1.0)
    assert not made.is_settled
    made.settle(clock.FEW_OTHERS_WAIT_S)
    assert made.is_settled


def test_readings_of_other_vms_than_the_references_are_ignored():
    made = make_clock()
    for number in range(100):
        made.note_reading(f"vm-x{number}", EPOCH + 50.0, 1.0)
    assert made.get_true_time(1.0) == EPOCH + 1.0
    assert len(made._sources) <= len(OTHERS) + 1


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["vm-1", *OTHERS]),
            st.floats(-1e6, 1e6),
            st.floats(0.01, 30.0),
        ),
        max_size=80,
    )
)
def test_true_time_always_moves_on(readings):
    """Whatever the clocks do, no window begins again."""
    made = make_clock()
    now = 0.0
    window = made.get_window(now)
    for vm, error_s, elapsed_s in readings:
        now += elapsed_s
        former = made.get_true_time(now)
        made.note_reading(vm, EPOCH + now + error_s, now)
        step = made.get_true_time(now) - former
        assert abs(step) <= clock.MAX_SLEW * now + 1e-6
        assert made.get_window(now) >= window
        window = made.get_window(now)


@given(st.lists(st.floats(-60.0, 60.0), min_size=7, max_size=7))
def test_minority_of_wrong_clocks_is_outvoted(errors):
    """The offset lies between those of the clocks that are right."""
    references = [f"vm-{number}" for number in range(2, 17)]
    made = clock.UsageClock(WINDOW_S, "vm-1", EPOCH, 0.0)
    made.set_references(references)
    for vm, error_s in zip(references, errors + [0.0] * 8):
        made.note_reading(vm, EPOCH + error_s, 0.0)
    made.settle(0.0)
    assert made.get_true_time(0.0) == EPOCH
