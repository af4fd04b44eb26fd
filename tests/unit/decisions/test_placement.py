"""Placement of reads: required log position and least latency."""

from geraniumridge._internal.decisions import load
from geraniumridge._internal.decisions import placement
from geraniumridge._internal.decisions import position_history
from geraniumridge._internal.decisions import view
from geraniumridge._internal.models import desired
from geraniumridge._internal.models import records
from lib import fleets

LogPosition = records.LogPosition


def make_history(*pairs):
    history = position_history.PositionHistory()
    for sent_at, position in pairs:
        history.add(sent_at, position)
    return history


def test_no_minimum_position_without_a_recent_one():
    history = make_history((1.0, LogPosition(1, 5)))
    assert placement.find_min_position(history, None, 2.0) is None


def test_session_sees_its_own_commit():
    history = make_history((1.0, LogPosition(1, 5)))
    own = LogPosition(1, 9)
    assert placement.find_min_position(history, own, 0.5) == own


def test_session_sees_its_own_commit_while_the_primary_is_replaced():
    """Older positions of the former primary are still known then."""
    history = make_history((1.0, LogPosition(1, 5)), (2.0, LogPosition(1, 9)))
    own = LogPosition(1, 9)
    assert placement.find_min_position(history, own, 0.5) == own


def test_position_of_a_later_term_covers_a_commit_of_an_earlier_one():
    history = make_history((1.0, LogPosition(2, 3)))
    own = LogPosition(1, 9)
    assert placement.find_min_position(history, own, 0.5) == LogPosition(2, 3)


def make_load(position=0, outstanding=0):
    target_load = load.TargetLoad()
    target_load.note_position(LogPosition(1, position), 0.0)
    for _ in range(outstanding):
        target_load.begin(0.0)
    return target_load


def estimate(target_load, domain="north", now=0.0, **fields):
    target = fleets.make_target("a", domain=domain, **fields)
    return placement.estimate_wait_s(
        target_load, target, LogPosition(1, 5), "north", now
    )


def test_idle_caught_up_target_in_the_own_domain_is_preferred():
    best = estimate(make_load(5))
    assert best < estimate(make_load(5, outstanding=1))
    assert best < estimate(make_load(4))
    assert best < estimate(make_load(5), domain="south")
    assert best < estimate(make_load(5), role=desired.Role.PRIMARY)
    assert best == estimate(make_load(4), now=1.0)


def test_target_in_another_region_costs_its_round_trip():
    def estimate_distant(round_trip_s):
        target = fleets.make_target("a", domain="south")
        return placement.estimate_wait_s(
            make_load(5),
            target,
            LogPosition(1, 5),
            "north",
            0.0,
            round_trip_s=round_trip_s,
        )

    near = estimate(make_load(5), domain="south")
    assert estimate_distant(0.0) == estimate_distant(0.005) == near
    longer_s = 0.1 - placement.OTHER_DOMAIN_PENALTY_S
    assert abs(estimate_distant(0.1) - near - longer_s) < 1e-9


def test_target_with_a_stalled_call_comes_last():
    stalled = estimate(make_load(5, outstanding=1), now=1.0)
    assert stalled > estimate(make_load(4, outstanding=6), now=0.0)


def test_desired_state_excludes_targets():
    store_view = view.View(lambda key, value: value)
    target = fleets.make_target("a")
    get_region = {"north": "east"}.get
    route = fleets.make_route()
    assert placement.is_allowed(target, route, None, store_view, get_region)
    other = fleets.make_route(group="other")
    assert not placement.is_allowed(
        target, other, None, store_view, get_region
    )
    away = fleets.make_route(regions=frozenset({"west"}))
    assert not placement.is_allowed(target, away, None, store_view, get_region)
    team = desired.Team("team", 1.0, 1.0, frozenset({"west"}))
    assert not placement.is_allowed(
        target, route, team, store_view, get_region
    )
    store_view._evacuated.add("north")
    assert not placement.is_allowed(
        target, route, None, store_view, get_region
    )


def test_silence_is_measured_from_the_last_answer():
    target_load = make_load()
    assert target_load.get_silent_s(9.0) == 0.0
    first = target_load.begin(1.0)
    target_load.begin(2.0)
    assert target_load.get_silent_s(3.0) == 2.0
    target_load.end(first, 3.0, is_answered=True)
    assert target_load.get_silent_s(3.5) == 0.5
    target_load = make_load()
    target_load.note_failure(1.0)
    target_load.note_failure(2.0)
    assert target_load.get_silent_s(2.5) == 1.5


def test_target_backs_off_after_failures_until_an_answer():
    target_load = make_load()
    target_load.note_failure(10.0)
    assert target_load.is_backing_off(10.1)
    assert target_load.failing_since == 10.0
    target_load.note_failure(10.4)
    assert target_load.failures == 2
    assert target_load.failing_since == 10.0
    target_load.note_answer(10.4)
    assert not target_load.is_backing_off(10.5)
