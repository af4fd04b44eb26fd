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

MAX_BYTES = 2_048
"""Longest datagram that is read."""

ANSWERS = (messages.Grant, messages.News)
"""Kinds that answer one question, by its number."""

_FACTORY = cybin.TCyBinaryProtocolFactory()
_KINDS = (
    messages.Draw,
    messages.Grant,
    messages.Doubt,
    messages.Standing,
    messages.AskNews,
    messages.News,
    messages.Hint,
)
_NUMBERS = {kind: number for number, kind in enumerate(_KINDS)}


def encode(message):
    """Return the datagram of a message."""
    return bytes([_NUMBERS[type(message)]]) + utils.serialize(
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
        message = _KINDS[data[0]]()
        utils.deserialize(message, data[1:], _FACTORY)
    except Exception as error:
        raise exceptions.ProtocolError(f"datagram: {error!r}")
    if None in vars(message).values():
        raise exceptions.ProtocolError("datagram: field missing")
    return message


class _Question:
    """A question that waits for its answer."""

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
        self._questions = {}

    def handle(self, kind, handler):
        """Call a function with each message of a kind and its sender."""
        self._handlers[kind] = handler

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

    async def tell(self, message, members):
        """Send a message to several `fleet.Member`."""
        for member in members:
            address = streams.split_address(member.address)
            await self.send(message, address)

    async def ask(self, question, member, timeout_s):
        """Ask a `fleet.Member`; the question gets its number here.

        Returns
        -------
        message or None
            None without an answer in time, in seconds.
        """
        question.number = next(self._numbers)
        waiting = self._questions[question.number] = _Question()
        try:
            await self.tell(question, [member])
            with trio.move_on_after(timeout_s):
                await waiting.answered.wait()
            return waiting.answer
        finally:
            del self._questions[question.number]

    async def take(self, message, sender):
        """Hand a message to whoever waits for it or handles its kind."""
        if not isinstance(message, ANSWERS):
            await self._handlers[type(message)](message, sender)
            return
        waiting = self._questions.get(message.number)
        if waiting is not None:
            waiting.answer = message
            waiting.answered.set()

    async def _receive(self):
        while True:
            try:
                data, sender = await self._socket.recvfrom(MAX_BYTES)
                message = decode(data)
            except (OSError, exceptions.ProtocolError) as error:
                logger.info(
                    "datagram dropped",
                    extra={"event": "datagram_dropped", "why": str(error)},
                )
                continue
            await self.take(message, sender)
