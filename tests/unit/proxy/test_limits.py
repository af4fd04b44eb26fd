"""Choice of the VM that limits a team as the members change."""

import types

from geraniumridge._internal.decisions import rates
from geraniumridge._internal.decisions import view
from geraniumridge._internal.models import fleet
from geraniumridge._internal.ports import store
from geraniumridge._internal.proxy import limits
from lib import fleets


class FakePeers:
    """Accepts handlers and never calls them."""

    def handle(self, kind, handler):
        """Ignore a handler."""


def make_limits(store_view):
    return limits.Limits(types.SimpleNamespace(view=store_view), FakePeers())


def put(store_view, revision, vm, is_settled):
    member = fleets.make_member(vm)._replace(is_settled=is_settled)
    item = store.Item(fleet.make_member_key(vm), member, revision)
    store_view.apply(0.0, store.Changes((item,), revision))


def remove(store_view, revision, vm):
    item = store.Item(fleet.make_member_key(vm), None, revision)
    store_view.apply(0.0, store.Changes((item,), revision))


def test_limiter_is_updated_on_every_membership_change():
    store_view = view.View(lambda key, value: value)
    team_limits = make_limits(store_view)
    assert team_limits._find_limiter("team") is None
    changes = [
        lambda: put(store_view, 1, "a", True),
        lambda: put(store_view, 2, "b", True),
        lambda: put(store_view, 3, "c", False),
        lambda: put(store_view, 4, "c", True),
        lambda: remove(store_view, 5, "a"),
        lambda: remove(store_view, 6, "c"),
    ]
    teams = [f"team-{number}" for number in range(20)]
    for change in changes:
        change()
        for team in teams:
            expected = rates.find_limiter(team, store_view.members)
            assert team_limits._find_limiter(team) == expected
