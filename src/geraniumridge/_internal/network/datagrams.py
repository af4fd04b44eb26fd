"""Thrift messages between proxies, one to a datagram."""

import itertools
import logging
import pathlib

import thriftpy2
from thriftpy2.protocol import cybin
from thriftpy2 import utils
import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.network import streams

logger = logging.getLogger(__name__)

messages = thriftpy2.load(
    str(pathlib.Path(__file__).with_name("peers.thrift")),
    module_name="geraniumridge_peers_thrift",
)

MAX_DATAGRAM_BYTES = 2_048
"""Longest datagram that is read."""

ANSWER_TYPES = (messages.TokenGrant, messages.ViewStatusAnswer)
"""Kinds that answer one query, by its number."""

_FACTORY = cybin.TCyBinaryProtocolFactory()
_MESSAGE_TYPES = (
    messages.TokenRequest,
    messages.TokenGrant,
    messages.LeadershipQuery,
    messages.LeadershipAnswer,
    messages.ViewStatusQuery,
    messages.ViewStatusAnswer,
    messages.ChangeNotification,
)
_TYPE_NUMBERS = {
    message_type: number for number, message_type in enumerate(_MESSAGE_TYPES)
}


def encode(message):
    """Return the datagram of a message."""
    return bytes([_TYPE_NUMBERS[type(message)]]) + utils.serialize(
        message, _FACTORY
    )


def decode(data):
    """Return the message of a datagram.

    Raises
    ------
    exceptions.ProtocolError
        If it is none.
    """
    try:
        message = _MESSAGE_TYPES[data[0]]()
        utils.deserialize(message, data[1:], _FACTORY)
    except Exception as error:
        raise exceptions.ProtocolError(f"datagram: {error!r}")
    if None in vars(message).values():
        raise exceptions.ProtocolError("datagram: field missing")
    return message


class _PendingQuery:
    """A query that waits for its answer."""

    def __init__(self):
        self.answered = trio.Event()
        self.answer = None


class Peers:
    """Exchanges datagrams with the other VMs.

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
        """Call a function with each message of a type and its sender."""
        self._handlers[message_type] = handler

    async def start(self, nursery):
        """Listen for datagrams."""
        self._socket = trio.socket.socket(
            trio.socket.AF_INET, trio.socket.SOCK_DGRAM
        )
        try:
            await self._socket.bind(self._address)
        except OSError as error:
            raise exceptions.NetworkError(f"{self._address}: {error}")
        nursery.start_soon(self._receive)

    async def send(self, message, address):
        """Send a message; it may get lost."""
        try:
            await self._socket.sendto(encode(message), address)
        except OSError as error:
            logger.info(
                "datagram not sent",
                extra={"event": "datagram_failed", "why": str(error)},
            )

    async def send_to_members(self, message, members):
        """Send a message to several `fleet.Member`."""
        for member in members:
            address = streams.split_address(member.address)
            await self.send(message, address)

    async def ask(self, query, member, timeout_s):
        """Ask a `fleet.Member`; the query gets its number here.

        Returns
        -------
        message or None
            None without an answer in time, in seconds.
        """
        query.number = next(self._numbers)
        pending = self._pending_queries[query.number] = _PendingQuery()
        try:
            await self.send_to_members(query, [member])
            with trio.move_on_after(timeout_s):
                await pending.answered.wait()
            return pending.answer
        finally:
            del self._pending_queries[query.number]

    async def dispatch(self, message, sender):
        """Pass a message to the query that waits for it or its handler."""
        if not isinstance(message, ANSWER_TYPES):
            await self._handlers[type(message)](message, sender)
            return
        pending = self._pending_queries.get(message.number)
        if pending is not None:
            pending.answer = message
            pending.answered.set()

    async def _receive(self):
        while True:
            try:
                data, sender = await self._socket.recvfrom(MAX_DATAGRAM_BYTES)
                message = decode(data)
            except (OSError, exceptions.ProtocolError) as error:
                logger.info(
                    "datagram dropped",
                    extra={"event": "datagram_dropped", "why": str(error)},
                )
                continue
            await self.dispatch(message, sender)
