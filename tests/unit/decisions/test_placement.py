"""Placement: what a read must see, and where it waits least."""

from geraniumridge._internal.decisions import load
from geraniumridge._internal.decisions import marks
from geraniumridge._internal.decisions import placement
from geraniumridge._internal.decisions import view
from geraniumridge._internal.models import desired
from geraniumridge._internal.models import records
from lib import fleets

Mark = records.Mark


def make_history(*pairs):
    history = marks.PositionHistory()
    for at, mark in pairs:
        history.add(at, mark)
    return history


def test_without_a_mark_young_enough_nothing_is_proved():
    history = make_history((1.0, Mark(1, 5)))
    assert placement.find_min_position(history, None, 0, 2.0) is None


def test_a_session_sees_its_own_commit():
    history = make_history((1.0, Mark(1, 5)))
    own = placement.SessionPosition(0, Mark(1, 9))
    assert placement.find_min_position(history, own, 0, 0.5) == Mark(1, 9)


def test_a_commit_under_an_earlier_lead_is_in_every_later_log():
    """Its position may count commits that the later lead rolled back."""
    history = make_history((1.0, Mark(1, 5)))
    own = placement.SessionPosition(0, Mark(1, 9))
    assert placement.find_min_position(history, own, 2, 0.5) == Mark(1, 5)


def make_load(position=0, outstanding=0):
    known = load.TargetLoad()
    known.note_position(Mark(1, position), 0.0)
    for _ in range(outstanding):
        known.begin(0.0)
    return known


def estimate(known, domain="north", now=0.0, **fields):
    target = fleets.make_target("a", domain=domain, **fields)
    return placement.estimate_wait_s(known, target, Mark(1, 5), "north", now)


def test_targets_that_are_near_idle_and_caught_up_go_first():
    best = estimate(make_load(5))
    assert best < estimate(make_load(5, outstanding=1))
    assert best < estimate(make_load(4))
    assert best < estimate(make_load(5), domain="south")
    assert best < estimate(make_load(5), role=desired.Role.PRIMARY)
    assert best == estimate(make_load(4), now=1.0)


def test_a_target_that_does_not_answer_goes_last():
    stalled = estimate(make_load(5, outstanding=1), now=1.0)
    assert stalled > estimate(make_load(4, outstanding=6), now=0.0)


def test_desired_state_rules_targets_out():
    store_view = view.View(lambda key, value: value)
    target = fleets.make_target("a")
    regions = {"north": "east"}.get
    route = fleets.make_route()
    assert placement.is_eligible(target, route, None, store_view, regions)
    other = fleets.make_route(group="other")
    assert not placement.is_eligible(target, other, None, store_view, regions)
    away = fleets.make_route(regions=frozenset({"west"}))
    assert not placement.is_eligible(target, away, None, store_view, regions)
    team = desired.Team("team", 1.0, 1.0, frozenset({"west"}))
    assert not placement.is_eligible(target, route, team, store_view, regions)
    store_view._evacuated.add("north")
    assert not placement.is_eligible(target, route, None, store_view, regions)


def test_silence_counts_from_the_last_answer():
    known = make_load()
    assert known.get_silent_s(9.0) == 0.0
    first = known.begin(1.0)
    known.begin(2.0)
    assert known.get_silent_s(3.0) == 2.0
    known.end(first, 3.0, is_answered=True)
    assert known.get_silent_s(3.5) == 0.5
    known = make_load()
    known.note_failure(1.0)
    known.note_failure(2.0)
    assert known.get_silent_s(2.5) == 1.5


def test_failures_make_a_target_rest_and_an_answer_ends_it():
    known = make_load()
    known.note_failure(10.0)
    assert known.is_backing_off(10.1)
    assert known.failing_since == 10.0
    known.note_failure(10.4)
    assert known.failures == 2
    assert known.failing_since == 10.0
    known.note_answer(10.4)
    assert not known.is_backing_off(10.5)
