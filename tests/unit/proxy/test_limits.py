"""Choice of the VM that limits a team as the members change."""

import types

import trio

from geraniumridge._internal.decisions import rates
from geraniumridge._internal.decisions import view
from geraniumridge._internal.decisions import view_age
from geraniumridge._internal.models import fleet
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.ports import store
from geraniumridge._internal.proxy import limits
from geraniumridge._internal.utils import clock
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


class FakeLimiter(FakePeers):
    """Grants what is requested while it is the limiter."""

    def __init__(self):
        self.is_owner = True

    async def query(self, query, member, timeout_s):
        """Return a grant with a fallback rate of 50 tokens a second."""
        return datagrams.messages.TokenGrant(
            number=1,
            is_owner=self.is_owner,
            tokens=query.wanted if self.is_owner else 0,
            retry_ms=0,
            pledge=50 * limits.FALLBACK_RATE_SCALE if self.is_owner else 0,
        )


class LimitsFixture:
    """Limits of a VM whose teams another VM limits."""

    def __init__(self):
        self.view = view.View(lambda key, value: value)
        put(self.view, 1, "limiter", True)
        age = view_age.ViewAge()
        age.confirm(clock.now() + 60)
        vm = types.SimpleNamespace(name="vm-1")
        node = types.SimpleNamespace(
            view=self.view,
            view_age=age,
            settings=types.SimpleNamespace(vm=vm),
        )
        self.limiter = FakeLimiter()
        self.limits = limits.Limits(node, self.limiter)
        self.team = (
            fleets.make_state()
            .teams["team"]
            ._replace(rate_per_s=0.01, burst=0.01)
        )

    async def take_until_fallback(self):
        """Take one granted token, then wait until the fallback applies."""
        assert await self.limits.take(self.team)
        await trio.sleep(rates.FALLBACK_DELAY_S + 0.1)


def test_limiter_that_lost_the_store_leaves_the_fallback_rate():
    async def main():
        fixture = LimitsFixture()
        await fixture.take_until_fallback()
        fixture.limiter.is_owner = False
        state = fixture.limits._get_team_state("team", clock.now())
        await fixture.limits._request_grant("team", state, 1, clock.now())
        assert await fixture.limits.take(fixture.team)

    trio.run(main)


def test_fallback_rate_ends_when_a_successor_is_known():
    async def main():
        fixture = LimitsFixture()
        await fixture.take_until_fallback()
        remove(fixture.view, 2, "limiter")
        put(fixture.view, 3, "successor", True)
        fixture.limiter.is_owner = False
        assert not await fixture.limits.take(fixture.team)

    trio.run(main)
