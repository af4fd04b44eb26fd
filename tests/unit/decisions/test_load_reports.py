"""Loads of targets that the VMs of a domain report."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from geraniumridge._internal.decisions import load
from geraniumridge._internal.decisions import load_reports

Occupancy = load_reports.Occupancy


def make_reports(*reports, now=10.0):
    """Return the reader's state; a report is a VM, calls at i-1 and age."""
    made = load_reports.LoadReports()
    for vm, calls, age_s in reports:
        made.note_report(vm, [Occupancy("i-1", calls, age_s)], now)
    return made


def test_reader_adds_the_reports_of_all_vms():
    made = make_reports(("vm-1", 1.0, 0.2), ("vm-2", 3.0, 0.6))
    found = made.get_others("i-1", 10.0)
    assert found.calls == 4.0
    assert found.age_s == pytest.approx(0.5)
    assert made.get_others("i-1", 10.5).age_s == pytest.approx(1.0)


def test_new_report_replaces_the_former():
    """Otherwise the sums would grow with every query."""
    made = make_reports(("vm-1", 1.0, 0.2), ("vm-1", 3.0, 0.6))
    assert made.get_others("i-1", 10.0).calls == 3.0
    made.note_report("vm-1", [], 10.0)
    assert made.get_others("i-1", 10.0).calls == 0.0


def test_vm_that_fails_is_left_out_of_the_sums():
    made = make_reports(("vm-1", 1.0, 0.2), now=10.0)
    made.note_report("vm-2", [Occupancy("i-1", 2.0, 0.3)], 11.0)
    assert made.get_others("i-1", 11.5).calls == 3.0
    assert made.get_others("i-1", 12.5).calls == 2.0
    assert made.get_others("i-1", 13.5) is None


def test_answer_leaves_out_the_vm_that_asks_and_has_the_readers_own_calls():
    """A VM adds its own calls, which it knows better."""
    made = make_reports(("vm-1", 1.0, 0.2), ("vm-2", 2.0, 0.6))
    (found,) = made.make_answer("vm-1", {"i-1": 5.0}, 10.0)
    assert found.calls == 7.0
    assert load.OCCUPANCY_WINDOW_S < found.age_s < 0.6
    (found,) = made.make_answer("vm-3", {"i-2": 0.0}, 10.0)
    assert (found.target, found.calls) == ("i-2", 0.0)


def test_answer_of_the_reader_counts_until_it_is_old():
    made = load_reports.LoadReports()
    assert made.get_others("i-1", 10.0) is None
    made.note_answer([Occupancy("i-1", 4.0, 0.3)], 10.0)
    found = made.get_others("i-1", 10.2)
    assert found.calls == 4.0
    assert found.age_s == pytest.approx(0.5)
    assert made.get_others("i-2", 10.2) is None
    assert made.get_others("i-1", 13.0) is None


def test_old_part_of_a_report_is_ignored():
    made = make_reports(("vm-1", 1.0, 5.0))
    assert made.get_others("i-1", 10.0).calls == 0.0


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["vm-1", "vm-2", "vm-3"]),
            st.sampled_from(["i-1", "i-2"]),
            st.floats(0, 1e6),
            st.floats(0, 60),
            st.floats(0, 3),
        ),
        max_size=30,
    )
)
def test_sums_are_those_of_the_kept_reports(steps):
    """Reports are added and subtracted one by one; no rest may stay."""
    made = load_reports.LoadReports()
    now = 0.0
    for vm, target, calls, age_s, pause_s in steps:
        now += pause_s
        made.note_report(vm, [Occupancy(target, calls, age_s)], now)
        expected = sum(
            report.entries.get(target, (0, 0))[0]
            for report in made._reports.values()
        )
        assert made.get_others(target, now).calls == expected / 1000
        assert made.get_others(target, now).age_s >= 0.0
    made.note_report("vm-9", [], now + 10.0)
    assert not made._sums and not made._reports


def test_reports_without_calls_are_removed():
    """The sum is dropped with the first one, and has none for the second."""
    made = make_reports(("vm-1", 0.0, 0.0), ("vm-2", 0.0, 0.0))
    made.note_report("vm-1", [], 10.0)
    made.note_report("vm-2", [], 10.0)
    assert made.get_others("i-1", 10.0).calls == 0.0


def test_fullest_targets_are_reported():
    """A report has to fit into a datagram, whatever the number of targets."""
    all_targets = [
        Occupancy(f"i-{number}", number / 100, 0.3) for number in range(1000)
    ]
    reported = load_reports.select_reported(all_targets)
    assert len(reported) == load_reports.MAX_REPORTED_TARGETS
    assert reported[0].target == "i-999"
    assert not load_reports.select_reported([Occupancy("i-1", 0.0, 0.3)])


def test_sums_are_of_whole_groups():
    """A target that is left out would seem to have an unknown load."""
    groups = [
        [f"{group}-{number}" for number in range(20)] for group in ("a", "b")
    ]
    selected = load_reports.select_summed([*groups, ["c-1"] * 30, ["d-1"]])
    assert selected == [*groups[0], *groups[1], "d-1"]
