"""Limits on one VM: who limits a team, as the members change."""

import types

from geraniumridge._internal.decisions import rates
from geraniumridge._internal.decisions import view
from geraniumridge._internal.models import fleet
from geraniumridge._internal.ports import store
from geraniumridge._internal.proxy import limits
from lib import fleets


class NoPeers:
    """Takes handlers and calls none."""

    def handle(self, kind, handler):
        """Ignore a handler."""


def make_limits(picture):
    return limits.Limits(types.SimpleNamespace(view=picture), NoPeers())


def put(picture, revision, vm, is_settled):
    member = fleets.make_member(vm)._replace(is_settled=is_settled)
    item = store.Item(fleet.make_member_key(vm), member, revision)
    picture.apply(0.0, store.Changes((item,), revision))


def remove(picture, revision, vm):
    item = store.Item(fleet.make_member_key(vm), None, revision)
    picture.apply(0.0, store.Changes((item,), revision))


def test_the_limiter_follows_every_change_of_the_members():
    picture = view.View(lambda key, value: value)
    known = make_limits(picture)
    assert known._find_limiter("team") is None
    changes = [
        lambda: put(picture, 1, "a", True),
        lambda: put(picture, 2, "b", True),
        lambda: put(picture, 3, "c", False),
        lambda: put(picture, 4, "c", True),
        lambda: remove(picture, 5, "a"),
        lambda: remove(picture, 6, "c"),
    ]
    teams = [f"team-{number}" for number in range(20)]
    for change in changes:
        change()
        for team in teams:
            expected = rates.find_limiter(team, picture.members)
            assert known._find_limiter(team) == expected
