"""Merging of counts at collectors, and of their sums at the reporter."""

import pytest

from geraniumridge._internal.decisions.usage import completeness
from geraniumridge._internal.decisions.usage import member_runs
from geraniumridge._internal.decisions.usage import merging
from lib import fleets

WINDOW_S = 5.0
FIRST = merging.Run("vm-1", "boot")
SECOND = merging.Run("vm-2", "boot")
COLLECTOR = merging.Run("vm-8", "boot")
OTHER_COLLECTOR = merging.Run("vm-9", "boot")
COMPLETE = completeness.Completeness.COMPLETE
WITHIN_TOLERANCE = completeness.Completeness.WITHIN_TOLERANCE
INCOMPLETE = completeness.Completeness.INCOMPLETE


def make_counts(sequence=1, covered_s=WINDOW_S, is_final=True, **counts):
    return merging.RunCounts(sequence, covered_s, is_final, counts)


def is_alive(run):
    return True


def is_killed(run):
    return False


def make_collected(counts_by_run, window=1):
    collected = merging.CollectedCounts(WINDOW_S)
    for run, counts in counts_by_run.items():
        assert collected.add(run, window, counts)
    return collected


def judge(sums_by_collector, registered=(FIRST, SECOND), tolerance=0.05):
    """Return the verdict on window 1."""
    received = completeness.ReceivedSums(tolerance)
    for collector, sums in sums_by_collector.items():
        received.add(collector, 1, sums)
    return received.judge(1, registered)


def test_repeated_and_late_counts_change_nothing():
    """Counts are cumulative, so only the newest are used."""
    collected = make_collected({FIRST: make_counts(sequence=5, a=7)})
    collected.add(FIRST, 1, make_counts(sequence=5, a=7))
    collected.add(FIRST, 1, make_counts(sequence=4, is_final=False, a=9))
    sums = collected.make_sums(1, is_alive)
    assert sums.teams == {"a": 7}
    assert sums.final_runs == {FIRST}


def test_parts_are_joined_whatever_their_order():
    """A lost part of an older message does not mix with a newer one."""
    assembler = merging.PartAssembler()
    assert assembler.add("vm", 1, 0, 2, "old") is None
    assert assembler.add("vm", 2, 1, 2, "b") is None
    assert assembler.add("vm", 1, 1, 2, "old") is None
    assert assembler.add("vm", 2, 1, 2, "b") is None
    assert sorted(assembler.add("vm", 2, 0, 2, "a")) == ["a", "b"]
    assert assembler.add("vm", 2, 0, 2, "a") is None
    assert assembler.add("vm", 3, 0, 1, "c") == ["c"]
    assert assembler.add("vm", 4, 2, 2, "d") is None
    assert assembler.add("vm", 4, -1, 2, "d") is None


def test_memory_for_senders_is_bounded():
    """A broken sender may name any number of VMs."""
    assembler = merging.PartAssembler()
    collected = merging.CollectedCounts(WINDOW_S)
    for number in range(merging.MAX_SENDERS + 10):
        assembler.add(number, 1, 0, 2, "a")
        collected.add(merging.Run(str(number), ""), 1, make_counts())
    assert len(assembler) == merging.MAX_SENDERS
    sums = collected.make_sums(1, is_alive)
    assert len(sums.final_runs) == merging.MAX_RUNS


def test_missing_counts_of_a_silent_vm_are_bounded_by_rate_and_gap():
    """40 requests in 2 s leave 60 in 3 s, and a margin."""
    counts = make_counts(covered_s=2.0, is_final=False, a=40)
    sums = make_collected({FIRST: counts}).make_sums(1, is_alive)
    (item,) = sums.open_runs.values()
    assert item.teams["a"].count == 40
    assert item.teams["a"].missing == pytest.approx(60 * merging.RATE_MARGIN)
    assert not sums.teams


def test_killed_vm_may_miss_only_what_it_counted_since_its_last_message():
    counts = make_counts(covered_s=2.0, is_final=False, a=40)
    sums = make_collected({FIRST: counts}).make_sums(1, is_killed)
    (item,) = sums.open_runs.values()
    most = 20 * merging.KILLED_GAP_S * merging.RATE_MARGIN
    assert item.teams["a"].missing == pytest.approx(most)


@pytest.mark.parametrize(
    "covered_s, is_registered, missing_s",
    [
        (WINDOW_S, True, WINDOW_S),
        (WINDOW_S, False, merging.KILLED_GAP_S),
        (WINDOW_S - 0.25, False, merging.KILLED_GAP_S - 0.25),
        (2.0, False, 0.0),
    ],
)
def test_vm_silent_since_an_earlier_window_is_listed(
    covered_s, is_registered, missing_s
):
    """Otherwise its requests of this window would just be left out."""
    counts = make_counts(covered_s=covered_s, a=round(covered_s * 100))
    collected = make_collected({FIRST: counts}, window=0)
    sums = collected.make_sums(1, lambda run: is_registered)
    item = sums.open_runs[FIRST].teams["a"]
    assert item.count == 0
    assert item.missing == pytest.approx(100 * missing_s * merging.RATE_MARGIN)


def test_former_run_of_a_vm_that_started_again_is_not_silent():
    """Both counted in the window before, so the former had ended."""
    collected = make_collected(
        {
            FIRST: make_counts(covered_s=2.0, is_final=False, a=40),
            merging.Run("vm-1", "next"): make_counts(a=20),
        },
        window=0,
    )
    collected.add(merging.Run("vm-1", "next"), 1, make_counts(a=30))
    assert not collected.make_sums(1, is_killed).open_runs


def test_sums_of_two_collectors_add_up():
    first = make_collected({FIRST: make_counts(a=7)})
    second = make_collected({SECOND: make_counts(a=5, b=1)})
    verdict = judge(
        {
            COLLECTOR: first.make_sums(1, is_alive),
            OTHER_COLLECTOR: second.make_sums(1, is_alive),
        }
    )
    assert verdict.completeness is COMPLETE
    assert verdict.counts == {"a": 12, "b": 1}


def test_counts_that_two_collectors_have_are_not_counted_twice():
    """A VM changed its collector because receipts were lost."""
    first = make_collected({FIRST: make_counts(a=7), SECOND: make_counts(a=5)})
    second = make_collected({FIRST: make_counts(a=7)})
    second.add(merging.Run("vm-3", "boot"), 1, make_counts(a=2))
    received = completeness.ReceivedSums(0.05)
    received.add(COLLECTOR, 1, first.make_sums(1, is_alive))
    sums = second.make_sums(1, is_alive)
    _, excluded = received.add(OTHER_COLLECTOR, 1, sums)
    assert excluded == {FIRST}
    vms = {FIRST, SECOND, merging.Run("vm-3", "boot")}
    assert received.judge(1, vms).completeness is INCOMPLETE
    sums = second.make_sums(1, is_alive, excluded)
    assert received.add(OTHER_COLLECTOR, 1, sums) == (True, frozenset())
    verdict = received.judge(1, vms)
    assert verdict.completeness is COMPLETE
    assert verdict.counts == {"a": 14}


def test_final_counts_of_one_collector_replace_older_ones_of_another():
    """The VM changed its collector in the window, and counted on."""
    older = make_counts(covered_s=2.0, is_final=False, a=100)
    newer = make_counts(sequence=2, a=300)
    verdict = judge(
        {
            COLLECTOR: make_collected({FIRST: older}).make_sums(1, is_alive),
            OTHER_COLLECTOR: make_collected({FIRST: newer}).make_sums(
                1, is_alive
            ),
        },
        registered=[FIRST],
    )
    assert verdict.completeness is COMPLETE
    assert verdict.counts == {"a": 300}


def test_registered_vm_of_which_nothing_is_known_makes_a_window_incomplete():
    """Silence may be a cut, so it is not taken for no requests."""
    sums = make_collected({FIRST: make_counts(a=1_000)}).make_sums(1, is_alive)
    verdict = judge({COLLECTOR: sums})
    assert verdict.completeness is INCOMPLETE
    assert verdict.open_vms == {"vm-2"}


@pytest.mark.parametrize(
    "count, missing, expected",
    [
        (1_000, 50.0, WITHIN_TOLERANCE),
        (1_000, 51.0, INCOMPLETE),
        (3, 0.5, WITHIN_TOLERANCE),
        (3, 0.6, INCOMPLETE),
        (0, 0.4, WITHIN_TOLERANCE),
        (19, 0.6, INCOMPLETE),
        (20, 0.6, WITHIN_TOLERANCE),
        (20, 1.1, INCOMPLETE),
    ],
)
def test_window_is_incomplete_if_a_teams_tolerance_may_be_exceeded(
    count, missing, expected
):
    """Less than half a request is taken for none in a small team."""
    run = merging.OpenRun(1, {"b": merging.TeamCount(0, missing)})
    sums = merging.WindowSums(
        {"a": 1_000_000, "b": count}, frozenset([FIRST]), {SECOND: run}
    )
    verdict = judge({COLLECTOR: sums})
    assert verdict.completeness is expected
    assert verdict.teams_in_doubt == (
        {"b"} if expected is INCOMPLETE else set()
    )


def test_each_killed_vm_may_miss_a_whole_request_of_a_team_that_matters():
    """A fraction of a request may be one, at each VM by itself."""
    item = merging.OpenRun(1, {"a": merging.TeamCount(0, 0.1)})
    open_runs = {FIRST: item, SECOND: item}
    few = merging.WindowSums({"a": 39}, frozenset(), open_runs)
    assert judge({COLLECTOR: few}).completeness is INCOMPLETE
    many = merging.WindowSums({"a": 40}, frozenset(), open_runs)
    assert judge({COLLECTOR: many}).completeness is WITHIN_TOLERANCE


def test_former_run_of_a_registered_vm_is_not_forgotten():
    """Its counts were lost with its collector; those of the next are final."""
    following = merging.Run("vm-1", "next")
    sums = make_collected({following: make_counts(a=50)}).make_sums(
        1, is_alive
    )
    runs = member_runs.MemberRuns()
    members = {"vm-1": fleets.make_member("vm-1")}
    runs.update(members, 3.0)
    members["vm-1"] = fleets.make_member("vm-1", "next")
    runs.update(members, 8.0)
    registered = runs.list_between(5.0, 10.0)
    assert registered == {FIRST, following}
    verdict = judge({COLLECTOR: sums}, registered)
    assert verdict.completeness is INCOMPLETE
    assert runs.list_between(10.0, 15.0) == {following}
    assert runs.list_between(0.0, 3.0) == set()
    runs.forget_before(9.0)
    assert runs.list_between(5.0, 10.0) == {following}
