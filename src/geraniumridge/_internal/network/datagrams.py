"""Thrift messages between proxies, one to a datagram."""

import itertools
import logging

from thriftpy2.protocol import cybin
from thriftpy2 import utils
import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.network import peer_messages
from geraniumridge._internal.network import streams
from geraniumridge._internal.network import thrift_check

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
}
"""Messages that answer one query, identified by its number. A
`ConfirmationAnswer` is passed to a handler, as its request goes to many
VMs."""

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
    """Query that waits for its answer."""

    def __init__(self, query):
        self.answer_type = ANSWER_TYPES_BY_QUERY[type(query)]
        self.answered = trio.Event()
        self.answer = None


class Peers:
    """Datagram endpoint for messages between VMs.

    Parameters
    ----------
    address : str
        ``IP:port`` to listen on.
    """

    def __init__(self, address):
        self._address = streams.split_address(address)
        self._socket = None
        self._handlers = {}
        self._numbers = itertools.count(1)
        self._pending_queries = {}

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

    async def query(self, query, member, timeout_s):
        """Send a query to a `fleet.Member` and wait for its answer.

        Parameters
        ----------
        query : message
            Its number is set here.
        member : fleet.Member
            The VM to query.
        timeout_s : float
            How long to wait, in seconds.

        Returns
        -------
        message or None
            None without an answer in time.
        """
        query.number = next(self._numbers)
        pending = self._pending_queries[query.number] = _PendingQuery(query)
        try:
            await self.send_to_members(query, [member])
            with trio.move_on_after(timeout_s):
                await pending.answered.wait()
            return pending.answer
        finally:
            del self._pending_queries[query.number]

    async def dispatch(self, message, sender):
        """Pass an answer to its query, another message to its handler.

        An answer of another type than its query asks for is ignored.
        """
        if not isinstance(message, _ANSWER_TYPES):
            await self._handlers[type(message)](message, sender)
            return
        pending = self._pending_queries.get(message.number)
        if pending is not None and isinstance(message, pending.answer_type):
            pending.answer = message
            pending.answered.set()

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
