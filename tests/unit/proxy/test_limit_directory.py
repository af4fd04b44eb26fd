"""Choice of the limiter and standby of a team as the members change."""

import types

from geraniumridge._internal.decisions import limit_holders
from geraniumridge._internal.decisions import view
from geraniumridge._internal.models import fleet
from geraniumridge._internal.ports import store
from geraniumridge._internal.proxy import limit_directory
from lib import fleets

TEAMS = [f"team-{number}" for number in range(20)]


def make_directory(store_view, vm="vm-1", domain="north"):
    vm = types.SimpleNamespace(name=vm, domain=domain)
    node = types.SimpleNamespace(
        view=store_view, settings=types.SimpleNamespace(vm=vm)
    )
    return limit_directory.LimitDirectory(node)


def put(store_view, revision, vm, is_settled, domain="north"):
    member = fleets.make_member(vm)._replace(
        is_settled=is_settled, domain=domain
    )
    item = store.Item(fleet.make_member_key(vm), member, revision)
    store_view.apply(0.0, store.Changes((item,), revision))


def remove(store_view, revision, vm):
    item = store.Item(fleet.make_member_key(vm), None, revision)
    store_view.apply(0.0, store.Changes((item,), revision))


def test_limiter_and_standby_are_updated_on_every_membership_change():
    store_view = view.View(lambda key, value: value)
    directory = make_directory(store_view)
    assert directory.find("team") == (None, None)
    changes = [
        lambda: put(store_view, 1, "a", True),
        lambda: put(store_view, 2, "b", True),
        lambda: put(store_view, 3, "c", False),
        lambda: put(store_view, 4, "c", True),
        lambda: put(store_view, 5, "d", True, "south"),
        lambda: remove(store_view, 6, "a"),
        lambda: put(store_view, 7, "e", False),
        lambda: remove(store_view, 8, "c"),
        lambda: remove(store_view, 9, "b"),
    ]
    for change in changes:
        change()
        members = store_view.members
        for team in TEAMS:
            limiter = limit_holders.find_limiter(team, members)
            standby = limit_holders.find_standby(
                team, "north", limiter, members
            )
            assert directory.find(team) == (limiter, standby)
        for own in ("a", "b", "c", "d", "e"):
            check_own_teams(store_view, own)


def check_own_teams(store_view, own):
    """Compare the teams of a VM with the holders of all teams."""
    members = store_view.members
    domain = "south" if own == "d" else "north"
    directory = make_directory(store_view, own, domain)
    expected_limited = set()
    expected_stood_by = set()
    for team in TEAMS:
        limiter = limit_holders.find_limiter(team, members)
        standby = limit_holders.find_standby(team, domain, limiter, members)
        if limiter is not None and limiter.vm == own:
            expected_limited.add(team)
        if standby is not None and standby.vm == own:
            expected_stood_by.add(team)
    assert directory.find_own_teams(TEAMS) == (
        expected_limited,
        expected_stood_by,
    )


def test_forgotten_team_is_found_again():
    store_view = view.View(lambda key, value: value)
    directory = make_directory(store_view)
    put(store_view, 1, "a", True)
    assert directory.find("team").limiter.vm == "a"
    directory.retain([])
    assert directory.find("team").limiter.vm == "a"
