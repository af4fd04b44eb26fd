"""Tokens of a VM while its limiter grants none or is silent."""

import types

import pytest
import trio

from geraniumridge._internal.decisions import limit_holders
from geraniumridge._internal.decisions import view
from geraniumridge._internal.models import fleet
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.ports import store
from geraniumridge._internal.proxy import limiter as limiter_module
from geraniumridge._internal.proxy import limits
from lib import fleets

messages = datagrams.messages


class FakePeers:
    """Answers as a limiter and a standby, and counts their queries.

    `limiter_answer` and `standby_answer` are the answers, None for none.
    """

    def __init__(self):
        self.limiter_answer = None
        self.standby_answer = None
        self.queries = []

    def handle(self, kind, handler):
        """Ignore a handler."""

    async def query(self, query, member, timeout_s):
        """Return the answer of the limiter or the standby."""
        self.queries.append(type(query))
        if isinstance(query, messages.StandbyRequest):
            return self.standby_answer
        return self.limiter_answer


class LimitsFixture:
    """Limits of a VM whose teams other VMs limit and stand by for."""

    def __init__(self):
        self.view = view.View(lambda key, value: value)
        for revision, (vm, domain) in enumerate(
            [("limiter", "south"), ("standby", "north")], 1
        ):
            member = fleets.make_member(vm)._replace(
                is_settled=True, domain=domain
            )
            item = store.Item(fleet.make_member_key(vm), member, revision)
            self.view.apply(0.0, store.Changes((item,), revision))
        vm = types.SimpleNamespace(name="vm-1", domain="north")
        node = types.SimpleNamespace(
            view=self.view, settings=types.SimpleNamespace(vm=vm)
        )
        self.peers = FakePeers()
        self.limits = limits.Limits(node, self.peers)
        names = [f"team-{number}" for number in range(50)]
        self.team = next(
            fleets.make_state().teams["team"]._replace(name=name)
            for name in names
            if limit_holders.find_limiter(name, self.view.members).vm
            == "limiter"
        )

    async def take(self):
        """Take a token of the team."""
        return await self.limits.take(self.team)


def run(test):
    trio.run(test, LimitsFixture())


def test_limiter_that_grants_is_enough():
    async def test(fixture):
        fixture.peers.limiter_answer = limiter_module.make_grant(1, tokens=1)
        assert await fixture.take()
        assert fixture.peers.queries == [messages.TokenRequest]

    run(test)


@pytest.mark.parametrize(
    "limiter_answer",
    [
        None,
        limiter_module.make_grant(1, is_owner=False),
        limiter_module.make_grant(1, tokens=0, retry_s=0.5),
    ],
)
def test_standby_is_asked_when_the_limiter_grants_nothing(limiter_answer):
    async def test(fixture):
        fixture.peers.limiter_answer = limiter_answer
        fixture.peers.standby_answer = limiter_module.make_grant(1, tokens=1)
        assert await fixture.take()
        assert await fixture.take()
        # The limiter is left alone until it may have tokens again.
        assert fixture.peers.queries[-2:] == [messages.StandbyRequest] * 2

    run(test)


def test_operation_waits_for_a_token_that_comes_in_time():
    async def test(fixture):
        fixture.peers.limiter_answer = limiter_module.make_grant(
            1, tokens=0, retry_s=0.03
        )
        fixture.peers.standby_answer = limiter_module.make_grant(1, tokens=0)

        async def grant_later():
            await trio.sleep(0.02)
            fixture.peers.limiter_answer = limiter_module.make_grant(
                1, tokens=1
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(grant_later)
            assert await fixture.limits.take(fixture.team, wait_s=0.1)

    run(test)


def test_operation_is_refused_at_once_if_no_token_can_come_in_time():
    async def test(fixture):
        fixture.peers.limiter_answer = limiter_module.make_grant(
            1, tokens=0, retry_s=0.5
        )
        fixture.peers.standby_answer = limiter_module.make_grant(1, tokens=0)
        wait_s = limits.STANDBY_RETRY_DELAY_S / 2
        began_at = trio.current_time()
        assert not await fixture.limits.take(fixture.team, wait_s)
        assert trio.current_time() - began_at < wait_s

    run(test)


def test_few_operations_wait_at_the_same_time():
    """Those of a team far beyond its limit are refused at once."""

    async def test(fixture):
        fixture.peers.limiter_answer = limiter_module.make_grant(
            1, tokens=0, retry_s=0.05
        )
        fixture.peers.standby_answer = limiter_module.make_grant(1, tokens=0)
        refused_at_once = []
        began_at = trio.current_time()

        async def take():
            assert not await fixture.limits.take(fixture.team, wait_s=0.2)
            if trio.current_time() - began_at < 0.1:
                refused_at_once.append(True)

        async with trio.open_nursery() as nursery:
            for _ in range(20):
                nursery.start_soon(take)
        assert len(refused_at_once) == 20 - limits.MAX_WAITING

    run(test)


def test_nobody_is_asked_for_a_while_when_both_grant_nothing():
    async def test(fixture):
        fixture.peers.limiter_answer = limiter_module.make_grant(
            1, tokens=0, retry_s=0.5
        )
        fixture.peers.standby_answer = limiter_module.make_grant(1, tokens=0)
        assert not await fixture.take()
        asked = len(fixture.peers.queries)
        assert not await fixture.take()
        assert len(fixture.peers.queries) == asked
        await trio.sleep(limits.STANDBY_RETRY_DELAY_S)
        fixture.peers.standby_answer = limiter_module.make_grant(1, tokens=1)
        assert await fixture.take()

    run(test)
