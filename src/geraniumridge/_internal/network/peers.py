"""Calls between daemons: thrift frames with answers in any order.

A frame is a header of payload length, call number and message type,
then the thrift bytes. A call's answer carries the call's number.
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
MAX_FRAME_BYTES = 16_777_216
RECEIVE_BYTES = 65_536
SEND_TIMEOUT_S = 5.0
MAX_CALLS_PER_LINK = 4_096
HELLO_TIMEOUT_S = 1.0
PING_AFTER_S = 0.5
SILENT_AFTER_S = 2.0
RECONNECT_DELAY_S = 0.5
PING_CALL_NUMBER = 0

_STREAM_ERRORS = (
    OSError,
    ssl.SSLError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
)


class Traffic:
    """Bytes and frames of control and statements between daemons."""

    def __init__(self):
        self.sent_bytes = 0
        self.received_bytes = 0
        self.frames = 0


class FrameStream:
    """Reads and writes whole frames on a byte stream.

    Frames are posted and one task writes them, so that a caller who
    gives up never leaves half a frame on the connection.
    """

    def __init__(self, stream, traffic):
        self._stream = stream
        self._traffic = traffic
        self._buffer = bytearray()
        self._outgoing = []
        self._write_requested = trio.Event()
        self._is_open = True

    def post(self, call_number, message):
        """Queue one message for writing.

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
        """Write posted frames until the connection ends."""
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
            logger.debug("writer ended", extra={"reason": str(error)})
        finally:
            with trio.CancelScope(shield=True):
                await self.close()

    async def receive(self):
        """Return the next frame as call number and message.

        Raises
        ------
        exceptions.NetworkError
            At the end of the connection.
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
    """One call that waits for its answer."""

    __slots__ = ("answer", "done")

    def __init__(self):
        self.answer = None
        self.done = trio.Event()


class PeerLink:
    """Client side of one connection to a peer."""

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
        """Write calls and receive answers until the connection ends."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._frames.run_writer)
                nursery.start_soon(self._detect_silence, nursery)
                try:
                    await self._receive_answers()
                finally:
                    nursery.cancel_scope.cancel()
        except* exceptions.NetworkError as error:
            logger.debug("link ended", extra={"reason": str(error)})
        finally:
            self._is_open = False
            for call in self._calls.values():
                call.done.set()
            self._calls.clear()
            with trio.CancelScope(shield=True):
                await self._frames.close()

    async def close(self):
        """Close the connection; waiting calls end as lost."""
        await self._frames.close()

    async def _detect_silence(self, nursery):
        """Ping a peer that owes answers; give up on a silent one."""
        while True:
            await trio.sleep(PING_AFTER_S)
            silent_s = trio.current_time() - self._received_at
            if not self._calls:
                self._received_at = trio.current_time()
            elif silent_s > SILENT_AFTER_S:
                logger.info("peer is silent", extra={"event": "peer_silent"})
                nursery.cancel_scope.cancel()
            elif silent_s > PING_AFTER_S:
                self._frames.post(PING_CALL_NUMBER, wire.messages.Empty())

    async def _receive_answers(self):
        while True:
            call_number, message = await self._frames.receive()
            self._received_at = trio.current_time()
            call = self._calls.pop(call_number, None)
            # A late answer belongs to a call that was given up.
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
            If the call may have arrived but no answer came.
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
    """Links to peers by address, opened on demand.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the receiving tasks.
    hello : wire message
        Sent first on each link.
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
            Bound on the call, in seconds.

        Raises
        ------
        exceptions.NotSentError
            If the call provably did not arrive.
        exceptions.ConnectionLostError
            If it may have arrived; no answer came.
        exceptions.RequestError
            The peer's own refusal.
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
        """Open a link; after a failure others need not try for a while."""
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
    """Answers the calls of peers.

    Parameters
    ----------
    secret : str
        What a peer's hello must carry.
    """

    def __init__(self, secret):
        self.traffic = Traffic()
        self._secret = secret
        self._handlers = {}

    def handle(self, message_type, handler):
        """Answer messages of a type by an async function."""
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
            logger.debug("peer ended", extra={"reason": str(error)})
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
            logger.debug("answer lost", extra={"reason": str(error)})
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
            logger.exception("call failed", extra={"event": "call_failed"})
            return encode_failure(
                exceptions.OutcomeUnknownError("internal error in a peer")
            )


def encode_failure(error):
    """Return the wire form of a request error."""
    return wire.messages.Failure(
        code=error.code,
        detail=error.detail,
        executed=error.executed,
        retry_after_s=(
            math.nan if error.retry_after_s is None else error.retry_after_s
        ),
    )


def decode_failure(failure):
    """Return the request error of its wire form."""
    error_type = exceptions.REQUEST_ERRORS_BY_CODE.get(
        failure.code, exceptions.OutcomeUnknownError
    )
    error = error_type(failure.detail)
    error.executed = failure.executed
    if not math.isnan(failure.retry_after_s):
        error.retry_after_s = failure.retry_after_s
    return error
