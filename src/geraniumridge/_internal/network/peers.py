"""Calls between daemons as thrift frames, with answers in any order.

A frame is a header with payload length, call number and message type,
followed by the thrift message. An answer has the number of its call.
"""

import hmac
import logging
import math
import ssl
import struct

import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.network import streams
from geraniumridge._internal.network import wire

logger = logging.getLogger(__name__)

FRAME_HEADER = struct.Struct("!IQB")
"""Payload length in bytes, call number and number of the message type."""

MAX_FRAME_BYTES = 16_777_216
"""Payload length above which a frame is rejected as malformed."""

RECEIVE_BYTES = 65_536
"""Maximum size of one read from a stream."""

SEND_TIMEOUT_S = 5.0
"""Timeout of one write, and of a peer's authentication."""

MAX_CALLS_PER_LINK = 4_096
"""Calls of one link that are handled at the same time; further calls wait
and no more frames are read."""

HELLO_TIMEOUT_S = 1.0
"""Timeout of the authentication at a peer."""

PING_AFTER_S = 0.5
"""Silence after which a peer that owes answers is pinged."""

SILENT_AFTER_S = 2.0
"""Silence after which the link to a peer that owes answers is closed."""

RECONNECT_DELAY_S = 0.5
"""Delay after the start of a connection attempt, or after a failed
authentication, before the next attempt to the same address. Calls to the
address fail immediately during it."""

PING_CALL_NUMBER = 0
"""Call number of pings and their answers; calls count from 1."""

_STREAM_ERRORS = (
    OSError,
    ssl.SSLError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
)
"""Errors of a stream that mean that the connection is lost."""


class Traffic:
    """Counters of the traffic between daemons."""

    def __init__(self):
        self.sent_bytes = 0
        self.received_bytes = 0
        self.frames = 0


class FrameStream:
    """Frames on a byte stream.

    Frames are queued and written by one task, so that a cancelled caller
    never leaves an incomplete frame on the connection.
    """

    def __init__(self, stream, traffic):
        self._stream = stream
        self._traffic = traffic
        self._buffer = bytearray()
        self._outgoing = []
        self._write_requested = trio.Event()
        self._is_open = True

    def post(self, call_number, message):
        """Queue a message to be written.

        Raises
        ------
        exceptions.NotSentError
            If the connection is closed.
        """
        if not self._is_open:
            raise exceptions.NotSentError("link closed")
        type_number = wire.get_type_number(type(message))
        data = wire.encode(message)
        self._outgoing.append(
            FRAME_HEADER.pack(len(data), call_number, type_number) + data
        )
        self._write_requested.set()

    async def run_writer(self):
        """Write queued frames until the connection ends."""
        try:
            while self._is_open:
                await self._write_requested.wait()
                self._write_requested = trio.Event()
                batch = b"".join(self._outgoing)
                self._outgoing.clear()
                self._traffic.sent_bytes += len(batch)
                with trio.fail_after(SEND_TIMEOUT_S):
                    await self._stream.send_all(batch)
        except _STREAM_ERRORS as error:
            logger.debug(
                "writing to a peer failed", extra={"reason": str(error)}
            )
        finally:
            with trio.CancelScope(shield=True):
                await self.close()

    async def receive(self):
        """Return the next frame as call number and message.

        Raises
        ------
        exceptions.NetworkError
            If the connection ends or the frame is malformed.
        """
        length, call_number, type_number = FRAME_HEADER.unpack(
            await self._read_exactly(FRAME_HEADER.size)
        )
        if length > MAX_FRAME_BYTES:
            raise exceptions.ProtocolError(f"frame of {length} bytes")
        self._traffic.frames += 1
        self._traffic.received_bytes += FRAME_HEADER.size + length
        return call_number, wire.decode(
            type_number, await self._read_exactly(length)
        )

    async def close(self):
        """Close the connection at once."""
        self._is_open = False
        self._write_requested.set()
        await trio.aclose_forcefully(self._stream)

    async def _read_exactly(self, size):
        while len(self._buffer) < size:
            try:
                data = await self._stream.receive_some(RECEIVE_BYTES)
            except _STREAM_ERRORS as error:
                raise exceptions.NetworkError(f"receive: {error}")
            if not data:
                raise exceptions.NetworkError("closed by the other side")
            self._buffer += data
        chunk = bytes(self._buffer[:size])
        del self._buffer[:size]
        return chunk


class _Call:
    """Call that waits for its answer."""

    __slots__ = ("answer", "done")

    def __init__(self):
        self.answer = None
        self.done = trio.Event()


class PeerLink:
    """Client side of a connection to a peer."""

    def __init__(self, stream, traffic):
        self._frames = FrameStream(stream, traffic)
        self._calls = {}
        self._next_call_number = 1
        self._is_open = True
        self._received_at = trio.current_time()

    @property
    def is_open(self):
        """Whether calls can be made."""
        return self._is_open

    async def run(self):
        """Send calls and receive answers until the connection ends."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._frames.run_writer)
                nursery.start_soon(self._detect_silence, nursery)
                try:
                    await self._receive_answers()
                finally:
                    nursery.cancel_scope.cancel()
        except* exceptions.NetworkError as error:
            logger.debug("link to a peer closed", extra={"reason": str(error)})
        finally:
            self._is_open = False
            for call in self._calls.values():
                call.done.set()
            self._calls.clear()
            with trio.CancelScope(shield=True):
                await self._frames.close()

    async def close(self):
        """Close the connection; calls in progress fail as lost."""
        await self._frames.close()

    async def _detect_silence(self, nursery):
        """Ping a peer that owes answers; close the link if it is silent."""
        while True:
            await trio.sleep(PING_AFTER_S)
            silent_s = trio.current_time() - self._received_at
            if not self._calls:
                self._received_at = trio.current_time()
            elif silent_s > SILENT_AFTER_S:
                logger.info(
                    "peer does not respond; link closed",
                    extra={"event": "peer_silent"},
                )
                nursery.cancel_scope.cancel()
            elif silent_s > PING_AFTER_S:
                self._frames.post(PING_CALL_NUMBER, wire.messages.Empty())

    async def _receive_answers(self):
        while True:
            call_number, message = await self._frames.receive()
            self._received_at = trio.current_time()
            call = self._calls.pop(call_number, None)
            # The call of a late answer has timed out or was cancelled.
            if call is not None:
                call.answer = message
                call.done.set()

    async def call(self, message):
        """Send a message and return its answer.

        Raises
        ------
        exceptions.NotSentError
            If the link was closed before the call began.
        exceptions.ConnectionLostError
            If no answer arrives; the peer may have received the call.
        """
        if not self._is_open:
            raise exceptions.NotSentError("link closed")
        call_number = self._next_call_number
        self._next_call_number += 1
        self._frames.post(call_number, message)
        call = _Call()
        if not self._calls:
            self._received_at = trio.current_time()
        self._calls[call_number] = call
        try:
            await call.done.wait()
        finally:
            self._calls.pop(call_number, None)
        if call.answer is None:
            raise exceptions.ConnectionLostError("link lost before answer")
        return call.answer


class PeerPool:
    """Links to peers by address, opened when first used.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the tasks of the links.
    hello : wire message
        First message on each link; it authenticates this VM.
    tls : ssl.SSLContext or None
        Client context.
    """

    def __init__(self, nursery, hello, tls=None):
        self.traffic = Traffic()
        self._nursery = nursery
        self._hello = hello
        self._tls = tls
        self._links = {}
        self._locks = {}
        self._reconnect_at = {}

    async def call(self, address, message, timeout_s):
        """Call a peer.

        Parameters
        ----------
        address : str
            The peer's ``IP:port``.
        message : wire message
            The call.
        timeout_s : float
            Timeout of the call, in seconds.

        Raises
        ------
        exceptions.NotSentError
            If the peer certainly did not receive the call.
        exceptions.ConnectionLostError
            If no answer arrives; the peer may have received the call.
        exceptions.RequestError
            If the peer refuses the call.
        """
        sent = False
        try:
            with trio.fail_after(timeout_s):
                link = await self._get_link(address)
                sent = True
                answer = await link.call(message)
        except trio.TooSlowError:
            error_type = exceptions.ConnectionLostError
            if not sent:
                error_type = exceptions.NotSentError
            raise error_type(f"{address}: no answer in {timeout_s:.3f} s")
        if isinstance(answer, wire.messages.Failure):
            raise decode_failure(answer)
        return answer

    async def _get_link(self, address):
        link = self._links.get(address)
        if link is not None and link.is_open:
            return link
        lock = self._locks.setdefault(address, trio.Lock())
        async with lock:
            link = self._links.get(address)
            if link is None or not link.is_open:
                now = trio.current_time()
                if now < self._reconnect_at.get(address, now):
                    raise exceptions.NotSentError(f"{address}: silent")
                link = await self._open_link(address)
            return link

    async def _open_link(self, address):
        """Open a link to an address and authenticate.

        Until `_reconnect_at` calls do not try the address again, unless
        this attempt succeeds.
        """
        self._reconnect_at[address] = trio.current_time() + RECONNECT_DELAY_S
        stream = await streams.connect(address, self._tls)
        link = PeerLink(stream, self.traffic)
        self._nursery.start_soon(link.run)
        try:
            with trio.fail_after(HELLO_TIMEOUT_S):
                await link.call(self._hello)
        except (exceptions.NetworkError, trio.TooSlowError) as error:
            self._reconnect_at[address] = (
                trio.current_time() + RECONNECT_DELAY_S
            )
            await link.close()
            raise exceptions.NotSentError(f"{address}: hello: {error!r}")
        del self._reconnect_at[address]
        self._links[address] = link
        return link


class PeerServer:
    """Server of the calls of peers.

    Parameters
    ----------
    secret : str
        Secret that a peer's hello must contain.
    """

    def __init__(self, secret):
        self.traffic = Traffic()
        self._secret = secret
        self._handlers = {}

    def handle(self, message_type, handler):
        """Register the async function that answers messages of a type."""
        self._handlers[message_type] = handler

    async def serve(self, stream):
        """Serve one connection until it ends."""
        frames = FrameStream(stream, self.traffic)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(frames.run_writer)
                try:
                    await self._authenticate(frames)
                    await self._serve_calls(frames, nursery)
                finally:
                    nursery.cancel_scope.cancel()
        except* exceptions.NetworkError as error:
            logger.debug(
                "connection of a peer ended", extra={"reason": str(error)}
            )
        finally:
            with trio.CancelScope(shield=True):
                await frames.close()

    async def _authenticate(self, frames):
        with trio.move_on_after(SEND_TIMEOUT_S):
            call_number, hello = await frames.receive()
            is_hello = isinstance(hello, wire.messages.Hello)
            if is_hello and hmac.compare_digest(
                (hello.secret or "").encode(), self._secret.encode()
            ):
                frames.post(call_number, wire.messages.Empty())
                return
            logger.warning(
                "peer refused: wrong secret", extra={"event": "peer_refused"}
            )
        raise exceptions.ProtocolError("peer did not authenticate")

    async def _serve_calls(self, frames, nursery):
        call_slots = trio.Semaphore(MAX_CALLS_PER_LINK)
        while True:
            call_number, message = await frames.receive()
            if call_number == PING_CALL_NUMBER:
                frames.post(PING_CALL_NUMBER, wire.messages.Empty())
                continue
            await call_slots.acquire()
            nursery.start_soon(
                self._answer_call, frames, call_number, message, call_slots
            )

    async def _answer_call(self, frames, call_number, message, call_slots):
        try:
            answer = await self._run_handler(message)
            frames.post(call_number, answer)
        except exceptions.NetworkError as error:
            logger.debug("answer not sent", extra={"reason": str(error)})
        finally:
            call_slots.release()

    async def _run_handler(self, message):
        handler = self._handlers.get(type(message))
        if handler is None:
            name = type(message).__name__
            return encode_failure(exceptions.NotFoundError(f"call {name}"))
        try:
            return await handler(message)
        except exceptions.RequestError as error:
            return encode_failure(error)
        except Exception:
            logger.exception(
                "handler of a peer's call failed",
                extra={"event": "call_failed"},
            )
            return encode_failure(
                exceptions.OutcomeUnknownError("internal error in a peer")
            )


def encode_failure(error):
    """Return the message that carries a request error."""
    return wire.messages.Failure(
        code=error.code,
        detail=error.detail,
        executed=error.executed,
        retry_after_s=(
            math.nan if error.retry_after_s is None else error.retry_after_s
        ),
    )


def decode_failure(failure):
    """Return the request error that a message carries."""
    error_type = exceptions.REQUEST_ERRORS_BY_CODE.get(
        failure.code, exceptions.OutcomeUnknownError
    )
    error = error_type(failure.detail)
    error.executed = failure.executed
    if not math.isnan(failure.retry_after_s):
        error.retry_after_s = failure.retry_after_s
    return error
