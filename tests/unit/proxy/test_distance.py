"""Time limits and pauses between regions, and unchanged ones within one."""

import types

import pytest
import trio

from geraniumridge._internal.decisions import rates
from geraniumridge._internal.models import fleet
from geraniumridge._internal.models import proxy_settings
from geraniumridge._internal.models import statements
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.ports import store
from geraniumridge._internal.proxy import acknowledgement_exchange
from geraniumridge._internal.proxy import attempt
from geraniumridge._internal.proxy import attempt_budget
from geraniumridge._internal.proxy import control
from geraniumridge._internal.proxy import failover
from geraniumridge._internal.proxy import node
from geraniumridge._internal.proxy import pool
from geraniumridge._internal.proxy import quorum_exchange
from geraniumridge._internal.proxy import router
from geraniumridge._internal.proxy import standby
from geraniumridge._internal.proxy import suspicion_exchange
from geraniumridge._internal.utils import clock
from geraniumridge._internal.utils import rendezvous
from lib import fleets

ONE_REGION = {"north": "east", "south": "east"}
TWO_REGIONS = {"north": "east", "south": "west"}
ROUND_TRIP_S = 0.08
DOMAINS_BY_VM = {"vm-1": "north", "vm-2": "south", "vm-3": "south"}


def make_node(regions):
    """Return vm-1, which knows the round trip to the others."""
    settings = proxy_settings.ProxySettings(
        vm=proxy_settings.VmSettings("vm-1", "north", "127.0.0.1"),
        listen=proxy_settings.ListenSettings("", "", 1, 1),
        platform=proxy_settings.PlatformSettings("", ""),
        regions=regions,
    )
    made = node.Node(settings, "boot", lambda key, value: value, None)
    for revision, (vm, domain) in enumerate(DOMAINS_BY_VM.items(), 1):
        member = fleets.make_member(vm)._replace(domain=domain)
        item = store.Item(fleet.make_member_key(vm), member, revision)
        made.view.apply(0.0, store.Changes((item,), revision))
    made.view._state = fleets.make_state()
    for number in range(40):
        made.distances.note_round_trip("vm-2", ROUND_TRIP_S, number)
    return made


class SlowPeers(datagrams.Peers):
    """Datagrams of a VM; queries are answered after a round trip."""

    def __init__(self, vm_node, nursery, make_answer):
        super().__init__("127.0.0.1:1", vm_node.distances)
        self._nursery = nursery
        self._make_answer = make_answer
        self.sent = []

    async def send(self, message, address):
        """Answer a query later."""
        self.sent.append(message)
        self._nursery.start_soon(self._answer, message)

    async def _answer(self, message):
        await trio.sleep(ROUND_TRIP_S)
        await self.dispatch(self._make_answer(message), None)


def run_with_peers(regions, make_answer, test):
    """Run a test with a node and its peers."""

    async def main():
        async with trio.open_nursery() as nursery:
            vm_node = make_node(regions)
            await test(vm_node, SlowPeers(vm_node, nursery, make_answer))
            nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize(
    "regions, is_delivered", [(ONE_REGION, False), (TWO_REGIONS, True)]
)
def test_acknowledgement_reaches_a_vm_of_another_region(regions, is_delivered):
    """Else it would be written to the store, whose changes reach all VMs."""

    def make_receipt(message):
        return datagrams.messages.AcknowledgementReceipt(number=message.number)

    async def test(vm_node, peers):
        exchange = acknowledgement_exchange.AcknowledgementExchange(
            vm_node, peers
        )
        delivered = await exchange.deliver("ledger", 7, "vm-2/boot")
        assert delivered is is_delivered

    run_with_peers(regions, make_receipt, test)


def test_standby_keeps_its_fallback_rate_over_a_long_round_trip():
    """A team has one renewal at a time, so that none is overtaken."""

    def make_answer(message):
        return datagrams.messages.FallbackGrant(
            number=message.number, is_owner=True, rate=10_000
        )

    async def test(vm_node, peers):
        limiter = vm_node.view.members["vm-2"]
        directory = types.SimpleNamespace(
            has_recent_view=lambda: True,
            find=lambda team: types.SimpleNamespace(limiter=limiter),
            is_self=lambda member: member.vm == "vm-1",
        )
        tested = standby.Standby(vm_node, peers, directory, None)
        bucket = tested._buckets["team"] = rates.StandbyBucket(clock.now())
        async with trio.open_nursery() as nursery:
            tested.start_due_renewals(nursery, clock.now())
            later = clock.now() + 10.0
            tested.start_due_renewals(nursery, later)
        assert len(peers.sent) == 1
        assert bucket._fallback_rate == 10.0
        async with trio.open_nursery() as nursery:
            tested.start_due_renewals(nursery, later + 10.0)
        assert len(peers.sent) == 2

    run_with_peers(TWO_REGIONS, make_answer, test)


def test_failover_waits_for_the_notice_of_a_vm_in_another_region():
    """The VM that ranks first writes to the store and notifies the others."""

    def get_delay_s(regions):
        monitor = failover.FailoverMonitor(
            make_node(regions), None, None, None, None
        )
        return monitor._get_rank_delay_s(group)

    def find_rank(name):
        return rendezvous.find_rank(name, DOMAINS_BY_VM, "vm-1")

    group = next(f"g-{n}" for n in range(99) if find_rank(f"g-{n}") == 2)
    assert get_delay_s(ONE_REGION) == 2 * failover.RANK_DELAY_S
    assert get_delay_s(TWO_REGIONS) == pytest.approx(
        2 * (failover.RANK_DELAY_S + ROUND_TRIP_S)
    )


@pytest.mark.parametrize(
    "regions, added_s",
    [(ONE_REGION, 0), (TWO_REGIONS, 3 * ROUND_TRIP_S)],
)
def test_suspicion_outlasts_the_delay_by_rank(regions, added_s):
    vm_node = make_node(regions)
    peers = types.SimpleNamespace(handle=lambda *arguments: None)
    exchange = suspicion_exchange.SuspicionExchange(vm_node, peers)
    exchange._suspicions["ledger"] = suspicion_exchange.Suspicion("a", 10.0)
    ends_at = 10.0 + suspicion_exchange.SUSPICION_VALID_S + added_s
    assert exchange.is_suspected("ledger", "a", ends_at - 0.01)
    assert not exchange.is_suspected("ledger", "a", ends_at + 0.01)


@pytest.mark.parametrize(
    "regions, added_s", [(ONE_REGION, 0), (TWO_REGIONS, ROUND_TRIP_S)]
)
def test_voters_of_another_region_are_asked_earlier(regions, added_s):
    vm_node = make_node(regions)
    peers = types.SimpleNamespace(handle=lambda *arguments: None)
    exchange = quorum_exchange.QuorumExchange(vm_node, peers)
    started = []
    nursery = types.SimpleNamespace(
        start_soon=lambda *arguments: started.append(arguments)
    )
    due_s = quorum_exchange.REQUEST_AGE_S - added_s
    for age_s, count in [(due_s - 0.02, 0), (due_s + 0.02, 1)]:
        vm_node.view_age = types.SimpleNamespace(get_age=lambda now: age_s)
        exchange.start_due_request(nursery)
        assert len(started) == count


class SlowDialect:
    """Dialect whose requests take a while; the first leaves none open."""

    def __init__(self):
        self.timeouts = []

    async def open(self, target, team, timeout_s):
        """Return a connection."""
        self.timeouts.append(timeout_s)
        return types.SimpleNamespace(abort=lambda: None, is_open=True)

    async def fetch_status(self, link):
        """Return a status after 0.25 s."""
        await trio.sleep(0.25)
        return "status"


@pytest.mark.parametrize(
    "round_trip_s, status", [(0.0, None), (ROUND_TRIP_S, "status")]
)
def test_target_of_another_region_has_time_to_answer_again(
    round_trip_s, status
):
    """The shorter timeout after an unanswered request is for one region."""

    async def main():
        connection = control.ControlConnection(
            SlowDialect(), fleets.make_target("a"), round_trip_s
        )
        connection._was_unanswered = True
        assert await connection.inspect() == status

    trio.run(main)


@pytest.mark.parametrize("regions", [ONE_REGION, TWO_REGIONS])
def test_pool_learns_the_time_of_a_connection_to_another_region(regions):
    async def main():
        vm_node = make_node(regions)
        dialect = SlowDialect()
        target = fleets.make_target("a", domain="south")
        tested = pool.ConnectionPool(dialect, vm_node.distances)
        connection = await tested.acquire(target, "team")
        tested.discard(connection)
        await tested.acquire(target, "team")
        first_s, second_s = dialect.timeouts
        if regions is ONE_REGION:
            assert first_s == second_s == pool.CONNECT_TIMEOUT_S
        else:
            expected_s = pool.CONNECT_TIMEOUT_S + 2 * ROUND_TRIP_S
            assert first_s == pytest.approx(expected_s)
            assert pool.CONNECT_TIMEOUT_S <= second_s < first_s

    trio.run(main)


@pytest.mark.parametrize(
    "regions, tried", [(ONE_REGION, ["a"]), (TWO_REGIONS, [])]
)
def test_target_whose_answer_would_come_too_late_gets_no_attempt(
    regions, tried
):
    """A write there would end in doubt."""
    attempts = []

    async def run_attempt(context, destination, budget):
        attempts.append(destination.target.id)
        return statements.Answer()

    async def main():
        tested = router.Router(make_node(regions))
        target = fleets.make_target("a", domain="south")
        tested.choose_destination = lambda context, is_read, excluded: (
            None
            if "a" in excluded
            else attempt.Destination(target, None, True)
        )
        route = fleets.make_route(timeout_s=0.06)
        budget = attempt_budget.AttemptBudget(route)
        await tested.try_targets(None, False, budget, run_attempt)

    trio.run(main)
    assert attempts == tried
