"""Thrift messages between proxies, one to a datagram."""

import collections
import itertools
import logging

from thriftpy2.protocol import cybin
from thriftpy2 import utils
import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.network import peer_messages
from geraniumridge._internal.network import streams
from geraniumridge._internal.network import thrift_check
from geraniumridge._internal.utils import clock

logger = logging.getLogger(__name__)

messages = peer_messages
"""Classes of the messages that ``peers.thrift`` defines."""

MAX_DATAGRAM_BYTES = 16_384
"""Size of the receive buffer; longer datagrams are truncated."""

ANSWER_TYPES_BY_QUERY = {
    messages.TokenRequest: messages.TokenGrant,
    messages.ChangesQuery: messages.ChangesAnswer,
    messages.StandbyRequest: messages.TokenGrant,
    messages.FallbackRenewalRequest: messages.FallbackGrant,
    messages.FailoverAcknowledgement: messages.AcknowledgementReceipt,
    messages.LeaseRenewalRequest: messages.LeaseRenewalAnswer,
    messages.PositionQuery: messages.PositionAnswer,
    messages.TimeQuery: messages.TimeAnswer,
    messages.UsageCounts: messages.UsageReceipt,
    messages.UsageSums: messages.UsageReceipt,
    messages.HandoverRequest: messages.HandoverAnswer,
}
"""Messages that answer one query, identified by its number. A
`ConfirmationAnswer` is passed to a handler, as its request goes to many
VMs."""

UNMEASURED_QUERIES = (messages.LeaseRenewalRequest,)
"""Queries whose answers are no samples of the round trip: the other VM calls
the store before it answers."""

LATE_ANSWER_S = 1.0
"""How long an answer is recognized after its query has ended."""

MAX_LATE_QUERIES = 1_024
"""Ended queries whose late answers are recognized."""

_ANSWER_TYPES = tuple(set(ANSWER_TYPES_BY_QUERY.values()))

FACTORY = cybin.TCyBinaryProtocolFactory()
# The index of a type is sent in datagrams, so the order must not change.
_MESSAGE_TYPES = (
    messages.TokenRequest,
    messages.TokenGrant,
    messages.ConfirmationRequest,
    messages.ConfirmationAnswer,
    messages.ChangesQuery,
    messages.ChangesAnswer,
    messages.ChangeNotification,
    messages.StandbyRequest,
    messages.FallbackRenewalRequest,
    messages.FallbackGrant,
    messages.FailoverAcknowledgement,
    messages.AcknowledgementReceipt,
    messages.LeaseRenewalRequest,
    messages.LeaseRenewalAnswer,
    messages.PositionQuery,
    messages.PositionAnswer,
    messages.PositionNotice,
    messages.PrimarySuspicion,
    messages.TimeQuery,
    messages.TimeAnswer,
    messages.UsageCounts,
    messages.UsageSums,
    messages.UsageReceipt,
    messages.HandoverRequest,
    messages.HandoverAnswer,
)
_TYPE_NUMBERS = {
    message_type: number for number, message_type in enumerate(_MESSAGE_TYPES)
}


def encode(message):
    """Return a message as a datagram: the number of its type, its fields."""
    return bytes([_TYPE_NUMBERS[type(message)]]) + utils.serialize(
        message, FACTORY
    )


def decode(data):
    """Return the message in a datagram.

    Raises
    ------
    exceptions.ProtocolError
        If the type is unknown or a field is missing, malformed or longer
        than the datagram.
    """
    try:
        message = _MESSAGE_TYPES[data[0]]()
        fields = data[1:]
        thrift_check.check_struct(fields)
        utils.deserialize(message, fields, FACTORY)
    except Exception as error:
        raise exceptions.ProtocolError(f"datagram: {error!r}")
    if None in vars(message).values():
        raise exceptions.ProtocolError("datagram: field missing")
    return message


class _PendingQuery:
    """Query that waits for its answer, or has ended without one."""

    def __init__(self, query, vm, on_late):
        self.answer_type = ANSWER_TYPES_BY_QUERY[type(query)]
        self.is_measured = not isinstance(query, UNMEASURED_QUERIES)
        self.vm = vm
        self.on_late = on_late
        self.sent_at = clock.now()
        self.answered = trio.Event()
        self.answer = None


class Peers:
    """Datagram endpoint for messages between VMs.

    Parameters
    ----------
    address : str
        ``IP:port`` to listen on.
    distances : decisions.distance.estimates.Distances, optional
        Learns the round trips of queries, and extends their time limits for
        VMs of other regions.
    """

    def __init__(self, address, distances=None):
        self._address = streams.split_address(address)
        self._distances = distances
        self._socket = None
        self._handlers = {}
        self._numbers = itertools.count(1)
        self._pending_queries = {}
        self._late_queries = collections.OrderedDict()

    def handle(self, message_type, handler):
        """Register an async function of a message and its sender."""
        self._handlers[message_type] = handler

    async def start(self, nursery):
        """Bind the socket and start to receive datagrams.

        Raises
        ------
        exceptions.NetworkError
            If the address cannot be bound.
        """
        self._socket = trio.socket.socket(
            trio.socket.AF_INET, trio.socket.SOCK_DGRAM
        )
        try:
            await self._socket.bind(self._address)
        except OSError as error:
            raise exceptions.NetworkError(f"{self._address}: {error}")
        nursery.start_soon(self._receive)

    async def send(self, message, address):
        """Send a message to an address, without delivery guarantee."""
        try:
            await self._socket.sendto(encode(message), address)
        except OSError as error:
            _log_not_sent(error)

    async def send_to_members(self, message, members):
        """Send a message to several `fleet.Member`."""
        for member in members:
            try:
                address = streams.split_address(member.address)
            except exceptions.NotSentError as error:
                _log_not_sent(error)
                continue
            await self.send(message, address)

    async def query(
        self, query, member, timeout_s, max_timeout_s=None, on_late=None
    ):
        """Send a query to a `fleet.Member` and wait for its answer.

        Parameters
        ----------
        query : message
            Its number is set here.
        member : fleet.Member
            The VM to query.
        timeout_s : float
            How long to wait, in seconds, within one region. It is longer for
            a VM of another region.
        max_timeout_s : float, optional
            How long the caller can wait at most in that case.
        on_late : callable, optional
            Called with an answer that arrives after the wait.

        Returns
        -------
        message or None
            None without an answer in time.
        """
        query.number = next(self._numbers)
        pending = _PendingQuery(query, member.vm, on_late)
        self._pending_queries[query.number] = pending
        if self._distances is not None:
            timeout_s = self._distances.get_timeout_s(
                member.vm, timeout_s, max_timeout_s
            )
        try:
            await self.send_to_members(query, [member])
            with trio.move_on_after(timeout_s):
                await pending.answered.wait()
            if pending.answer is None and self._distances is not None:
                self._distances.note_timeout(member.vm)
            return pending.answer
        finally:
            del self._pending_queries[query.number]
            if pending.answer is None:
                self._keep_late(query.number, pending)

    async def dispatch(self, message, sender):
        """Pass an answer to its query, another message to its handler.

        An answer of another type than its query asks for is ignored.
        """
        if not isinstance(message, _ANSWER_TYPES):
            await self._handlers[type(message)](message, sender)
            return
        pending = self._pending_queries.get(message.number)
        if pending is None:
            self._take_late(message)
        elif isinstance(message, pending.answer_type):
            if pending.answer is None:
                self._note_round_trip(pending)
            pending.answer = message
            pending.answered.set()

    def _note_round_trip(self, pending):
        if self._distances is None or not pending.is_measured:
            return
        now = clock.now()
        self._distances.note_round_trip(pending.vm, now - pending.sent_at, now)

    def _keep_late(self, number, pending):
        """Keep an ended query for a while, as its answer may be useful."""
        self._late_queries[number] = pending
        oldest = next(iter(self._late_queries.values()))
        is_old = clock.now() - oldest.sent_at > LATE_ANSWER_S
        if is_old or len(self._late_queries) > MAX_LATE_QUERIES:
            self._late_queries.popitem(last=False)

    def _take_late(self, message):
        """Use the answer to a query that has ended, once."""
        pending = self._late_queries.get(message.number)
        if pending is None or not isinstance(message, pending.answer_type):
            return
        del self._late_queries[message.number]
        if clock.now() - pending.sent_at > LATE_ANSWER_S:
            return
        self._note_round_trip(pending)
        if pending.on_late is not None:
            pending.on_late(message)

    async def _receive(self):
        with self._socket:
            while True:
                await self._receive_one()

    async def _receive_one(self):
        """Receive a datagram and handle it; nothing in it ends the daemon."""
        try:
            data, sender = await self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            message = decode(data)
        except (OSError, exceptions.ProtocolError) as error:
            logger.info(
                "datagram dropped",
                extra={"event": "datagram_dropped", "why": str(error)},
            )
            return
        try:
            await self.dispatch(message, sender)
        except Exception:
            logger.exception(
                "datagram not handled",
                extra={"event": "fault", "type": type(message).__name__},
            )


def _log_not_sent(error):
    logger.info(
        "datagram not sent",
        extra={"event": "datagram_failed", "why": str(error)},
    )
