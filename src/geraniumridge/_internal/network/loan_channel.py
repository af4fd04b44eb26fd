"""Channel between two VMs that carries the bytes of lent connections.

A frame is a header with payload length and kind, and a payload: a thrift
message, or bytes to or from a target.
"""

import enum
import socket
import struct
import typing

from thriftpy2 import utils
import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.network import peer_messages as messages
from geraniumridge._internal.network import streams
from geraniumridge._internal.network import thrift_check

RECEIVE_BYTES = 65_536
"""Most bytes that one receive call returns."""

MAX_DATA_BYTES = 262_144
"""Most bytes to a target in one frame."""

MAX_FRAME_BYTES = MAX_DATA_BYTES + 1_024
"""Longest payload of a frame."""

SEND_TIMEOUT_S = 20.0
"""Timeout of one write. A borrower reads no faster than its caller does."""

FINISH_TIMEOUT_S = 0.3
"""How long the other side may take to read the last bytes of a channel
before it is reset."""

UNACKNOWLEDGED_TIMEOUT_MS = 5_000
"""``TCP_USER_TIMEOUT``: the channel breaks when sent bytes stay
unacknowledged for this long."""

KEEPALIVE_INTERVAL_S = 1
"""Silence before a keep-alive probe, and the interval of further ones."""

KEEPALIVE_PROBES = 2
"""Probes without an answer after which the channel breaks. A target also
drops connections whose far end is dark after some 3 s."""

_HEADER = struct.Struct("!IB")
_STATEMENT_HEADER = struct.Struct("!IB")
_ZERO_LINGER = struct.pack("ii", 1, 0)


class FrameKind(enum.IntEnum):
    """Kinds of frames."""

    REQUEST = 0
    GRANT = 1
    RETURN = 2
    EXPIRED = 3
    DATA = 4


_MESSAGE_TYPES = {
    FrameKind.REQUEST: messages.LoanRequest,
    FrameKind.GRANT: messages.LoanGrant,
    FrameKind.RETURN: messages.LoanReturn,
    FrameKind.EXPIRED: messages.LoanExpired,
}
_KINDS = {message: kind for kind, message in _MESSAGE_TYPES.items()}
_KNOWN_KINDS = frozenset(FrameKind)


class Statements(typing.NamedTuple):
    """Bytes to a target, with what the lender checks before it sends them.

    `elapsed_s` are the seconds from the arrival of the grant until they were
    sent, and `requires_primary` is whether the target has to be the primary.
    """

    data: bytes
    elapsed_s: float
    requires_primary: bool


def encode_statements(statements):
    """Return the payload of a frame to the lender."""
    header = _STATEMENT_HEADER.pack(
        max(0, int(statements.elapsed_s * 1000)),
        statements.requires_primary,
    )
    return header + statements.data


def decode_statements(payload):
    """Return the `Statements` in a payload.

    Raises
    ------
    exceptions.ProtocolError
        If it is too short.
    """
    if len(payload) < _STATEMENT_HEADER.size:
        raise exceptions.ProtocolError("loan: frame too short")
    elapsed_ms, requires_primary = _STATEMENT_HEADER.unpack_from(payload)
    data = bytes(payload[_STATEMENT_HEADER.size :])
    return Statements(data, elapsed_ms / 1000, bool(requires_primary))


class LoanChannel:
    """One TCP connection between a lender and a borrower.

    Parameters
    ----------
    tcp_socket : trio.socket.SocketType
        The connected socket.
    """

    def __init__(self, tcp_socket):
        self._socket = tcp_socket
        self._buffer = bytearray()
        self._is_open = True
        self._send_lock = trio.Lock()
        _set_options(tcp_socket)

    @property
    def is_open(self):
        """Whether the channel has not been closed by this side."""
        return self._is_open

    @property
    def is_idle(self):
        """Whether the channel is open, without unread input."""
        if not self._is_open or self._buffer:
            return False
        try:
            raw_socket = socket.socket(fileno=self._socket.fileno())
            try:
                raw_socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            finally:
                raw_socket.detach()
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def send_message(self, message):
        """Send a thrift message."""
        await self.send(*_encode_message(message))

    async def send_data(self, data):
        """Send bytes of a target to the borrower."""
        await self.send(FrameKind.DATA, data)

    async def send_statements(self, statements):
        """Send `Statements` to the lender."""
        await self.send(FrameKind.DATA, encode_statements(statements))

    async def send(self, kind, payload):
        """Send a frame.

        Raises
        ------
        exceptions.ConnectionLostError
            If the channel is broken, or the other side does not read.
        """
        data = _HEADER.pack(len(payload), kind) + payload
        try:
            with trio.fail_after(SEND_TIMEOUT_S):
                async with self._send_lock:
                    while data:
                        data = data[await self._socket.send(data) :]
        except (OSError, trio.ClosedResourceError, trio.TooSlowError) as error:
            self.abort()
            raise exceptions.ConnectionLostError(f"loan channel: {error!r}")
        except trio.Cancelled:
            # A part of the frame may have been sent.
            self.abort()
            raise

    def post_message(self, message):
        """Send a short message without waiting.

        The channel is closed if its socket does not take all of it.
        """
        kind, payload = _encode_message(message)
        data = _HEADER.pack(len(payload), kind) + payload
        sent = 0
        try:
            raw_socket = socket.socket(fileno=self._socket.fileno())
            try:
                sent = raw_socket.send(data, socket.MSG_DONTWAIT)
            finally:
                raw_socket.detach()
        except OSError:
            # The channel is aborted below.
            pass
        if sent < len(data):
            self.abort()

    async def receive(self):
        """Return the kind and payload of the next frame, or None at the end.

        Raises
        ------
        exceptions.ConnectionLostError
            If the channel is broken or a frame is malformed.
        """
        while True:
            frame = self._take_frame()
            if frame is not None:
                return frame
            try:
                data = await self._socket.recv(RECEIVE_BYTES)
            except (OSError, trio.ClosedResourceError) as error:
                self.abort()
                raise exceptions.ConnectionLostError(
                    f"loan channel: {error!r}"
                )
            if not data:
                return None
            self._buffer += data

    async def receive_message(self, message_type):
        """Return the next message, None at the end of the channel.

        Raises
        ------
        exceptions.ConnectionLostError
            If another frame arrives.
        """
        frame = await self.receive()
        if frame is None:
            return None
        kind, payload = frame
        if _MESSAGE_TYPES.get(kind) is not message_type:
            self.abort()
            raise exceptions.ConnectionLostError("loan channel: wrong frame")
        return decode_message(kind, payload)

    def send_eof(self):
        """End this side's direction; the bytes sent so far are delivered."""
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError:
            # The other side has closed the connection.
            pass

    async def finish(self):
        """Let the other side read the last bytes, then close the channel."""
        self.send_eof()
        with trio.move_on_after(FINISH_TIMEOUT_S):
            while await self.receive() is not None:
                pass
        self.abort()

    def abort(self):
        """Reset the connection; undelivered bytes are dropped."""
        if not self._is_open:
            return
        self._is_open = False
        try:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER
            )
        except OSError:
            # The connection has ended already.
            pass
        self._socket.close()

    def _take_frame(self):
        if len(self._buffer) < _HEADER.size:
            return None
        length, kind = _HEADER.unpack_from(self._buffer)
        if length > MAX_FRAME_BYTES or kind not in _KNOWN_KINDS:
            self.abort()
            raise exceptions.ConnectionLostError("loan channel: bad frame")
        end = _HEADER.size + length
        if len(self._buffer) < end:
            return None
        payload = bytes(self._buffer[_HEADER.size : end])
        del self._buffer[:end]
        return FrameKind(kind), payload


def _encode_message(message):
    """Return the kind and payload of a message's frame."""
    data = utils.serialize(message, datagrams.FACTORY)
    return _KINDS[type(message)], data


def decode_message(kind, payload):
    """Return the thrift message of a frame.

    Raises
    ------
    exceptions.ConnectionLostError
        If it cannot be decoded or a field is missing.
    """
    message = _MESSAGE_TYPES[kind]()
    try:
        thrift_check.check_struct(payload)
        utils.deserialize(message, payload, datagrams.FACTORY)
    except Exception as error:
        raise exceptions.ConnectionLostError(f"loan channel: {error!r}")
    if None in vars(message).values():
        raise exceptions.ConnectionLostError("loan channel: field missing")
    return message


async def connect(address):
    """Open a `LoanChannel` to ``IP:port``; the caller sets a deadline.

    Raises
    ------
    exceptions.NotSentError
        If there is no connection.
    """
    host, port = streams.split_address(address)
    tcp_socket = trio.socket.socket(
        trio.socket.AF_INET, trio.socket.SOCK_STREAM
    )
    channel = None
    try:
        await tcp_socket.connect((host, port))
        channel = LoanChannel(tcp_socket)
    except OSError as error:
        raise exceptions.NotSentError(f"{address}: {error}")
    finally:
        if channel is None:
            tcp_socket.close()
    return channel


def _set_options(tcp_socket):
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            UNACKNOWLEDGED_TIMEOUT_MS,
        ),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    )
    for level, option, value in options:
        tcp_socket.setsockopt(level, option, value)
