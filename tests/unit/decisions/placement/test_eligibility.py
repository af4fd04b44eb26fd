"""Targets that may serve a read, and the log position that they need."""

from geraniumridge._internal.decisions.placement import eligibility
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
    assert eligibility.find_min_position(history, None, 2.0) is None


def test_session_sees_its_own_commit():
    history = make_history((1.0, LogPosition(1, 5)))
    own = LogPosition(1, 9)
    assert eligibility.find_min_position(history, own, 0.5) == own


def test_session_sees_its_own_commit_while_the_primary_is_replaced():
    """Older positions of the former primary are still known then."""
    history = make_history((1.0, LogPosition(1, 5)), (2.0, LogPosition(1, 9)))
    own = LogPosition(1, 9)
    assert eligibility.find_min_position(history, own, 0.5) == own


def test_position_of_a_later_term_covers_a_commit_of_an_earlier_one():
    history = make_history((1.0, LogPosition(2, 3)))
    own = LogPosition(1, 9)
    assert eligibility.find_min_position(history, own, 0.5) == LogPosition(
        2, 3
    )


def test_desired_state_excludes_targets():
    store_view = view.View(lambda key, value: value)
    target = fleets.make_target("a")
    get_region = {"north": "east"}.get
    route = fleets.make_route()
    assert eligibility.is_allowed(target, route, None, store_view, get_region)
    other = fleets.make_route(group="other")
    assert not eligibility.is_allowed(
        target, other, None, store_view, get_region
    )
    away = fleets.make_route(regions=frozenset({"west"}))
    assert not eligibility.is_allowed(
        target, away, None, store_view, get_region
    )
    team = desired.Team("team", 1.0, 1.0, frozenset({"west"}))
    assert not eligibility.is_allowed(
        target, route, team, store_view, get_region
    )
    store_view._evacuated.add("north")
    assert not eligibility.is_allowed(
        target, route, None, store_view, get_region
    )
