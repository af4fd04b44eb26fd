"""Encoding and decoding of datagrams between proxies."""

import time
import tracemalloc

from hypothesis import given
from hypothesis import strategies as st
import pytest
import trio

from geraniumridge._internal.decisions.distance import estimates
from geraniumridge._internal import exceptions
from geraniumridge._internal.network import datagrams
from lib import fleets

messages = datagrams.messages
ChangesQuery = datagrams.messages.ChangesQuery
ConfirmationRequest = datagrams.messages.ConfirmationRequest
TokenRequest = datagrams.messages.TokenRequest
TokenGrant = datagrams.messages.TokenGrant
ChangesAnswer = datagrams.messages.ChangesAnswer
ConfirmationAnswer = datagrams.messages.ConfirmationAnswer

CHANGES_QUERY = ChangesQuery(number=1, revision=5, last_revision=0, offset=0)
CHANGES_ANSWER = ChangesAnswer(
    number=1, revision=7, age_ms=120, total=4, data=b"\xff\x00\x01\xfe"
)

OCCUPANCIES = [
    datagrams.messages.TargetOccupancy(target="i-1", calls=1500, age_ms=300),
    datagrams.messages.TargetOccupancy(target="i-2", calls=0, age_ms=0),
]

MESSAGES = [
    ChangesQuery(
        number=1,
        revision=5,
        last_revision=0,
        offset=0,
        occupancies=OCCUPANCIES,
    ),
    ChangesAnswer(
        number=1,
        revision=7,
        age_ms=120,
        total=1,
        data=b"\xff",
        occupancies=OCCUPANCIES,
    ),
    TokenRequest(number=1, team="team", wanted=3, domain="north"),
    TokenGrant(number=1, is_owner=True, tokens=2, retry_ms=0, pledge=9),
    ConfirmationRequest(number=1, revision=7),
    CHANGES_QUERY,
    CHANGES_ANSWER,
    datagrams.messages.StandbyRequest(number=1, team="team", wanted=3),
    datagrams.messages.FallbackRenewalRequest(
        number=1, team="team", domain="north", rate=5, is_in_use=True
    ),
    datagrams.messages.FallbackGrant(number=1, is_owner=True, rate=5),
    datagrams.messages.ChangeNotification(vm="vm-1"),
    ConfirmationAnswer(number=1, vm="vm-1", groups=["ledger"], is_whole=True),
]

MAX_DECODE_BYTES = 65_536
"""Memory that decoding a short datagram may allocate."""

MAX_DECODE_S = 0.2
"""Processor time that decoding a short datagram may take, in seconds."""

QUERY_TIMEOUT_S = 0.05
"""Timeout of a query, in seconds."""

CLAIMED_LENGTHS = {
    "skipped string": "00 0b0000 13000000",
    "skipped binary": "00 120009 13000000",
    "string without its length": "00 0b0000 13",
    "known string": "00 0b0002 13000000",
    "string in a list": "03 0f0003 0b00000001 13000000",
    "list of strings": "03 0f0003 0b00ffffff",
    "skipped list of structs": "00 0f0005 0c0fffffff",
    "skipped list of an unknown type": "00 0f0005 010fffffff",
    "skipped set of bytes": "00 0e0005 030fffffff",
    "skipped map": "00 0d0000 00000003",
    "skipped map of bytes": "00 0d0009 03030fffffff",
    "negative length": "00 0b0000 ffffffff",
}


@pytest.mark.parametrize("message", MESSAGES)
def test_messages_are_unchanged_by_encoding_and_decoding(message):
    assert datagrams.decode(datagrams.encode(message)) == message


@given(st.binary(max_size=80))
def test_any_bytes_decode_to_a_message_or_a_protocol_error(data):
    try:
        datagrams.decode(data)
    except exceptions.ProtocolError:
        pass


@pytest.mark.parametrize("text", CLAIMED_LENGTHS.values(), ids=CLAIMED_LENGTHS)
def test_claimed_length_costs_no_memory_and_no_time(text):
    data = bytes.fromhex(text)
    started_at = time.process_time()
    tracemalloc.start()
    try:
        with pytest.raises(exceptions.ProtocolError):
            datagrams.decode(data)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < MAX_DECODE_BYTES
    assert time.process_time() - started_at < MAX_DECODE_S


@pytest.mark.parametrize("message", MESSAGES)
def test_incomplete_datagram_is_rejected(message):
    data = datagrams.encode(message)
    for size in range(len(data)):
        with pytest.raises(exceptions.ProtocolError):
            datagrams.decode(data[:size])


def test_unknown_field_that_exceeds_the_datagram_is_rejected():
    data = datagrams.encode(CHANGES_QUERY)
    unknown_field = bytes.fromhex("0b0009 13000000")
    with pytest.raises(exceptions.ProtocolError):
        datagrams.decode(data[:-1] + unknown_field)


def test_deeply_nested_field_is_rejected():
    data = datagrams.encode(CHANGES_QUERY)
    nested = bytes.fromhex("0c0009") * 500 + bytes(500)
    with pytest.raises(exceptions.ProtocolError):
        datagrams.decode(data[:-1] + nested + bytes(1))


def test_unknown_fields_of_all_types_are_skipped():
    message = CHANGES_QUERY
    data = datagrams.encode(message)
    unknown_fields = bytes.fromhex(
        "020009 01"
        "03000a 01"
        "06000b 0001"
        "08000c 00000001"
        "0a000d 0000000000000001"
        "04000e 3ff0000000000000"
        "0b000f 00000001 61"
        "0c0010 020001 01 00"
        "0d0011 0b08 00000001 00000001 61 00000001"
        "0e0012 08 00000001 00000001"
        "0f0013 0c 00000002 00 00"
    )
    assert datagrams.decode(data[:-1] + unknown_fields + bytes(1)) == message


def test_message_with_a_missing_field_is_rejected():
    data = datagrams.encode(TokenRequest(number=1, team="team"))
    with pytest.raises(exceptions.ProtocolError):
        datagrams.decode(data)


class LoopbackPeers(datagrams.Peers):
    """Datagram endpoint that receives a given answer to each query.

    Parameters
    ----------
    make_answer : callable
        Returns the answer to a query.
    """

    def __init__(self, make_answer):
        super().__init__("127.0.0.1:1")
        self._make_answer = make_answer

    async def send(self, message, address):
        """Dispatch the answer in place of sending the query."""
        await self.dispatch(self._make_answer(message), address)


def run_query(query, make_answer):
    """Return the answer that a query gets."""
    member = fleets.make_member("vm-2")._replace(address="127.0.0.1:2")
    peers = LoopbackPeers(make_answer)
    return trio.run(peers.query, query, member, QUERY_TIMEOUT_S)


def make_grant(query):
    """Return a token grant with the number of a query."""
    return TokenGrant(
        number=query.number, is_owner=True, tokens=1, retry_ms=0, pledge=0
    )


def make_changes(query):
    """Return an answer of changes with the number of a query."""
    return ChangesAnswer(
        number=query.number, revision=7, age_ms=1, total=0, data=b""
    )


def make_changes_query():
    """Return a query without a number."""
    return ChangesQuery(revision=5, last_revision=0, offset=0)


@pytest.mark.parametrize(
    "query, make_answer",
    [
        (TokenRequest(team="team", wanted=3), make_grant),
        (make_changes_query(), make_changes),
    ],
)
def test_answer_of_the_type_of_the_query_is_returned(query, make_answer):
    assert run_query(query, make_answer) == make_answer(query)


@pytest.mark.parametrize(
    "query, make_answer",
    [
        (TokenRequest(team="team", wanted=3), make_changes),
        (make_changes_query(), make_grant),
    ],
)
def test_answer_of_another_type_than_the_query_asks_for_is_ignored(
    query, make_answer
):
    assert run_query(query, make_answer) is None


def test_handler_that_fails_does_not_end_the_endpoint():
    """An unexpected error in one message must not stop all others."""

    async def main():
        peers = datagrams.Peers("127.0.0.1:0")
        handled = []

        async def handle(message, sender):
            if message.vm == "bad":
                raise RuntimeError("unexpected")
            handled.append(message.vm)

        peers.handle(datagrams.messages.ChangeNotification, handle)
        async with trio.open_nursery() as nursery:
            await peers.start(nursery)
            address = peers._socket.getsockname()
            for vm in ("bad", "good"):
                notification = datagrams.messages.ChangeNotification(vm=vm)
                await peers.send(notification, address)
            with trio.fail_after(1):
                while not handled:
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        assert handled == ["good"]

    trio.run(main)


def test_message_without_a_handler_is_ignored():
    async def main():
        peers = datagrams.Peers("127.0.0.1:0")
        async with trio.open_nursery() as nursery:
            await peers.start(nursery)
            address = peers._socket.getsockname()
            notification = datagrams.messages.ChangeNotification(vm="vm-2")
            await peers.send(notification, address)
            await trio.sleep(0.05)
            nursery.cancel_scope.cancel()

    trio.run(main)


class DelayedPeers(datagrams.Peers):
    """Datagram endpoint whose queries are answered after a delay.

    Parameters
    ----------
    nursery : trio.Nursery
        Delivers the answers.
    delay_s : float
        The delay, in seconds.
    """

    def __init__(self, nursery, delay_s):
        self.distances = estimates.Distances(
            "north", {"north": "east", "south": "west"}, {}.get
        )
        super().__init__("127.0.0.1:1", self.distances)
        self._nursery = nursery
        self.delay_s = delay_s

    def place(self, domain):
        """Set the failure domain of all other VMs."""
        self.distances._find_domain = lambda vm: domain

    async def send(self, message, address):
        """Dispatch the answer later."""
        self._nursery.start_soon(self._answer, message)

    async def _answer(self, message):
        await trio.sleep(self.delay_s)
        answer = (
            messages.LeaseRenewalAnswer(
                number=message.number, is_renewed=True, is_lost=False
            )
            if isinstance(message, messages.LeaseRenewalRequest)
            else make_grant(message)
        )
        # A datagram may arrive twice.
        await self.dispatch(answer, None)
        await self.dispatch(answer, None)


def run_delayed(domain, delay_s, test):
    """Run a test with an endpoint whose answers are delayed."""

    async def main():
        async with trio.open_nursery() as nursery:
            peers = DelayedPeers(nursery, delay_s)
            peers.place(domain)
            member = fleets.make_member("vm-2")
            await test(peers, member)
            nursery.cancel_scope.cancel()

    trio.run(main)


def make_token_request():
    """Return a query without a number."""
    return TokenRequest(team="team", wanted=1, domain="north")


def test_query_to_another_region_waits_for_its_answer():
    """The given time limit holds within one region only."""

    async def test(peers, member):
        assert await peers.query(make_token_request(), member, 0.01)
        assert 0.04 <= peers.distances.get_vm_round_trip_s("vm-2") < 0.09

    run_delayed("south", 0.04, test)


def test_query_waits_no_longer_than_its_caller_can():
    async def test(peers, member):
        began_at = trio.current_time()
        request = make_token_request()
        assert await peers.query(request, member, 0.01, 0.03) is None
        assert trio.current_time() - began_at < 0.3

    run_delayed("south", 0.5, test)


def test_late_answer_is_measured_and_used_once():
    """Granted tokens must be neither lost nor counted twice."""

    async def test(peers, member):
        late = []
        answer = await peers.query(
            make_token_request(), member, 0.01, on_late=late.append
        )
        assert answer is None and not late
        assert not peers.distances.list_measured()
        await trio.sleep(0.1)
        assert [grant.tokens for grant in late] == [1]
        assert peers.distances.list_measured()["north"] >= 0.04

    run_delayed("north", 0.04, test)


def test_answer_in_time_is_not_late_when_it_arrives_again():
    async def test(peers, member):
        late = []
        assert await peers.query(
            make_token_request(), member, 0.2, on_late=late.append
        )
        await trio.sleep(0.05)
        assert not late

    run_delayed("north", 0.01, test)


def test_very_late_answer_is_dropped(monkeypatch):
    """The times lie far apart, as a busy machine may delay each of them."""
    monkeypatch.setattr(datagrams, "LATE_ANSWER_S", 0.5)

    async def test(peers, member):
        late = []
        answer = await peers.query(
            make_token_request(), member, 0.01, on_late=late.append
        )
        assert answer is None
        await trio.sleep(1.5)
        assert not late and not peers.distances.list_measured()

    run_delayed("north", 1.0, test)


def test_number_of_ended_queries_that_are_kept_is_bounded(monkeypatch):
    monkeypatch.setattr(datagrams, "MAX_LATE_QUERIES", 5)

    async def test(peers, member):
        async with trio.open_nursery() as nursery:
            for _ in range(20):
                nursery.start_soon(
                    peers.query, make_token_request(), member, 0.01
                )
        assert len(peers._late_queries) == 5

    run_delayed("north", 1.0, test)


def test_answer_that_waited_for_the_store_is_no_sample():
    async def test(peers, member):
        request = messages.LeaseRenewalRequest(vm="vm-1", lease=7)
        assert await peers.query(request, member, 0.5)
        assert not peers.distances.list_measured()

    run_delayed("north", 0.04, test)
