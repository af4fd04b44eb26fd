"""Tokens of a VM while its limiter grants none or is silent."""

import types

import pytest
import trio

from geraniumridge._internal.decisions.distance import estimates
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

    async def query(
        self, query, member, timeout_s, max_timeout_s=None, on_late=None
    ):
        """Return the answer of the limiter or the standby."""
        self.queries.append(type(query))
        if isinstance(query, messages.StandbyRequest):
            return self.standby_answer
        return self.limiter_answer


class LimitsFixture:
    """Limits of a VM whose teams other VMs limit and stand by for.

    Parameters
    ----------
    regions : dict, optional
        Region by failure domain; one region by default.
    """

    def __init__(self, regions=None):
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
        self.distances = estimates.Distances(
            "north",
            regions or {},
            lambda vm: self.view.members[vm].domain,
        )
        node = types.SimpleNamespace(
            view=self.view,
            settings=types.SimpleNamespace(vm=vm),
            distances=self.distances,
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


class DistantPeers(FakePeers):
    """Limiter in another region, and a standby that answers at once.

    The limiter grants what is requested after `delay_s`; None loses its
    answers. `granted` are the tokens of its answers.
    """

    def __init__(self, distances):
        super().__init__()
        self._distances = distances
        self.delay_s = 0.04
        self.granted = 0
        self.late = []

    async def query(
        self, query, member, timeout_s, max_timeout_s=None, on_late=None
    ):
        """Return the answer if it comes within the learned time limit."""
        if isinstance(query, messages.StandbyRequest):
            self.queries.append(type(query))
            return self.standby_answer
        self.queries.append(type(query))
        timeout_s = self._distances.get_timeout_s(
            member.vm, timeout_s, max_timeout_s
        )
        if self.delay_s is None or self.delay_s > timeout_s:
            self.late.append((on_late, query.wanted))
            await trio.sleep(timeout_s)
            return None
        await trio.sleep(self.delay_s)
        self._distances.note_round_trip(
            member.vm, self.delay_s, trio.current_time()
        )
        self.granted += query.wanted
        return limiter_module.make_grant(1, tokens=query.wanted)


def run_distant(test):
    """Run a test with a limiter in another region."""

    async def main():
        fixture = LimitsFixture({"north": "east", "south": "west"})
        peers = DistantPeers(fixture.distances)
        peers.standby_answer = limiter_module.make_grant(1, tokens=0)
        fixture.peers = fixture.limits._peers = peers
        async with trio.open_nursery() as nursery:
            fixture.limits.start(nursery)
            await test(fixture)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_operations_wait_for_a_limiter_in_another_region():
    """Its answer takes twice the time limit within one region."""

    async def test(fixture):
        for _ in range(3):
            assert await fixture.limits.take(fixture.team, 0.0, 0.25)
            await trio.sleep(0.5)
        assert set(fixture.peers.queries) == {messages.TokenRequest}

    run_distant(test)


def test_operations_of_one_moment_wait_for_one_round_trip_together():
    """One request after the other would take a round trip each."""

    async def test(fixture):
        taken = []

        async def take():
            taken.append(await fixture.limits.take(fixture.team, 0.0, 0.25))

        began_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for _ in range(20):
                nursery.start_soon(take)
        assert taken == [True] * 20
        assert trio.current_time() - began_at < 0.4

    run_distant(test)


def test_tokens_of_another_region_are_requested_ahead_of_need():
    async def test(fixture):
        waited = 0
        for number in range(100):
            began_at = trio.current_time()
            assert await fixture.limits.take(fixture.team, 0.0, 0.25)
            if trio.current_time() - began_at > 0.01:
                waited += 1
            await trio.sleep(0.01)
        assert waited < 20
        assert fixture.peers.granted < 150

    run_distant(test)


def test_caller_waits_no_longer_than_it_can():
    async def test(fixture):
        fixture.peers.delay_s = None
        began_at = trio.current_time()
        assert not await fixture.limits.take(fixture.team, 0.0, 0.1)
        assert 0.09 < trio.current_time() - began_at < 0.3

    run_distant(test)


def test_limiter_of_a_cut_region_counts_as_silent_in_bounded_time():
    """Operations then get the standby's tokens without waiting for it."""

    async def test(fixture):
        for _ in range(100):
            fixture.distances.note_timeout("limiter")
        fixture.peers.delay_s = None
        fixture.peers.standby_answer = limiter_module.make_grant(1, tokens=1)
        assert await fixture.limits.take(fixture.team, 0.0, 0.25)
        longest_s = limits.LIMITER_ATTEMPTS * limits.MAX_ANSWER_TIMEOUT_S
        await trio.sleep(longest_s + 0.05)
        for _ in range(10):
            began_at = trio.current_time()
            assert await fixture.limits.take(fixture.team, 0.0, 0.25)
            assert trio.current_time() - began_at < 0.1
            await trio.sleep(0.1)
        # It is still asked now and then, and counts again when it answers.
        count = fixture.peers.queries.count(messages.TokenRequest)
        assert 2 < count <= 2 + 2 * 4
        fixture.peers.delay_s = 0.04
        fixture.peers.standby_answer = limiter_module.make_grant(1, tokens=0)
        await trio.sleep(2 * limits.SILENT_RETRY_DELAY_S)
        assert await fixture.limits.take(fixture.team, 0.1, 0.25)

    run_distant(test)


def test_late_tokens_are_kept_until_they_would_have_expired():
    """They were taken from the limit, and their lifetime is from the request.

    Nothing of this depends on the region.
    """

    async def test(fixture):
        late = []
        original_query = fixture.peers.query

        async def query(*arguments, on_late=None):
            late.append(arguments[4] if len(arguments) > 4 else on_late)
            return await original_query(*arguments)

        fixture.peers.query = query
        grant = limiter_module.make_grant(1, tokens=2)
        assert not await fixture.take()
        late[0](grant)
        assert await fixture.take()
        await trio.sleep(limits.token_bucket.GRANT_LIFETIME_S)
        assert not await fixture.take()
        late[0](grant)
        assert not await fixture.take()

    run(test)


def test_late_tokens_end_the_wait_for_a_limiter_in_another_region():
    async def test(fixture):
        fixture.peers.delay_s = None

        async def grant_late():
            await trio.sleep(0.15)
            on_late, wanted = fixture.peers.late[0]
            on_late(limiter_module.make_grant(1, tokens=wanted))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(grant_late)
            began_at = trio.current_time()
            assert await fixture.limits.take(fixture.team, 0.0, 0.5)
            assert trio.current_time() - began_at < 0.4

    run_distant(test)


def test_flood_does_not_wait_for_tokens_that_the_limiter_has_not():
    """A team far beyond its limit is refused, and asks rarely."""

    async def test(fixture):
        async def query(query, *arguments, **options):
            fixture.peers.queries.append(type(query))
            if isinstance(query, messages.TokenRequest):
                await trio.sleep(0.04)
            return limiter_module.make_grant(1, tokens=0, retry_s=0.5)

        fixture.peers.query = query
        taken = []

        async def take():
            taken.append(await fixture.limits.take(fixture.team, 0.08, 0.25))

        began_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for _ in range(200):
                nursery.start_soon(take)
        assert taken == [False] * 200
        assert trio.current_time() - began_at < 0.5
        count = fixture.peers.queries.count(messages.TokenRequest)
        assert count <= limits.MAX_REQUESTS

    run_distant(test)
