"""HTTP/1.1 server and client on trio streams, based on ``h11``."""

import math
import ssl
import typing

import h11
import msgspec
import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.network import streams

RECEIVE_BYTES = 65_536
"""Maximum size of one read from a stream."""

PROBLEM_TYPE = "https://geraniumridge.example/problems/"
"""Prefix of the problem types; the code of the error follows."""


class Request(typing.NamedTuple):
    """One complete request; header names are lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Response(typing.NamedTuple):
    """One complete response."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = "application/json"


def make_json_response(data, status=200, headers=()):
    """Return a response with a JSON body."""
    return Response(status, msgspec.json.encode(data), tuple(headers))


def make_problem_response(error, request_id=""):
    """Return the RFC 9457 problem document of a request error."""
    data = {
        "type": PROBLEM_TYPE + error.code,
        "title": error.code.replace("-", " "),
        "status": error.status,
        "detail": error.detail,
        "code": error.code,
        "executed": error.executed,
        "request_id": request_id,
    }
    headers = []
    if error.retry_after_s is not None:
        seconds = max(1, math.ceil(error.retry_after_s))
        headers.append(("Retry-After", str(seconds)))
    return Response(
        error.status,
        msgspec.json.encode(data),
        tuple(headers),
        "application/problem+json",
    )


class ServerLimits(typing.NamedTuple):
    """Limits of one server connection; times in seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_000_000
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 300.0
    send_timeout_s: float = 10.0


NO_BODY_LIMITS = ServerLimits(max_body_bytes=1_024, head_timeout_s=5.0)
"""Limits where no request has a body that is read."""


class ServerConnection:
    """Server side of one connection, which serves requests in sequence.

    Parameters
    ----------
    stream : trio.abc.Stream
        The connection.
    handler : callable
        Async function from `Request` to `Response`.
    limits : ServerLimits, optional
        Limits on sizes and times.
    is_closing : callable, optional
        Returns whether to close after the current request. The default,
        `bool`, returns False.
    """

    def __init__(
        self, stream, handler, limits=ServerLimits(), is_closing=bool
    ):
        self._stream = stream
        self._handler = handler
        self._limits = limits
        self._is_closing = is_closing
        self._conn = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self._is_idle = True
        self._is_head_request = False
        # Moving the deadline of one scope costs less than opening a scope
        # for each phase of a request.
        self._deadline_scope = trio.CancelScope()

    @property
    def is_idle(self):
        """Whether no byte of a request has arrived since the last response."""
        return self._is_idle

    def close_idle(self):
        """Close the connection if it is idle."""
        if self._is_idle:
            self.close()

    def close(self):
        """Close the connection."""
        self._deadline_scope.cancel()

    async def run(self):
        """Serve until the caller disconnects or a timeout expires."""
        try:
            with self._deadline_scope:
                while await self._serve_request():
                    self._conn.start_next_cycle()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except ssl.SSLError:
            pass
        finally:
            with trio.move_on_after(1, shield=True):
                await trio.aclose_forcefully(self._stream)

    async def _serve_request(self):
        self._is_idle = True
        self._is_head_request = False
        try:
            request = await self._read_request()
        except h11.RemoteProtocolError as error:
            await self._reject_malformed(error)
            return False
        except exceptions.RequestError as error:
            await self._send_response(make_problem_response(error), close=True)
            return False
        if request is None:
            return False
        self._deadline_scope.deadline = math.inf
        response = await self._handler(request)
        close = self._is_closing()
        await self._send_response(response, close)
        return not close and self._conn.our_state is h11.DONE

    async def _reject_malformed(self, error):
        if self._conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        error_type = exceptions.BadRequestError
        if error.error_status_hint == 431:
            error_type = exceptions.RequestTooLargeError
        problem = make_problem_response(
            error_type(f"malformed request: {error}")
        )
        await self._send_response(problem, close=True)

    async def _read_request(self):
        head = await self._read_head()
        if head is None:
            return None
        self._is_head_request = head.method == b"HEAD"
        if head.method == b"CONNECT":
            raise exceptions.MethodNotAllowedError("CONNECT: not a proxy")
        size = sum(len(name) + len(value) for name, value in head.headers)
        if size > self._limits.max_header_bytes:
            # h11 checks its limit only on incomplete heads, so a head that
            # arrives in one read can exceed it.
            raise exceptions.RequestTooLargeError(
                f"header: larger than {self._limits.max_header_bytes} bytes"
            )
        headers = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in head.headers
        }
        body = bytearray()
        await self._read_body(body)
        return Request(
            head.method.decode(),
            head.target.decode(),
            headers,
            bytes(body),
        )

    async def _read_head(self):
        self._set_timeout(self._limits.idle_timeout_s)
        while True:
            event = self._conn.next_event()
            if event is h11.NEED_DATA:
                data = await self._receive()
                if self._is_idle and data:
                    self._is_idle = False
                    self._set_timeout(self._limits.head_timeout_s)
                continue
            if isinstance(event, h11.Request):
                self._is_idle = False
                return event
            return None

    def _set_timeout(self, seconds):
        self._deadline_scope.deadline = trio.current_time() + seconds

    async def _receive(self):
        data = await self._stream.receive_some(RECEIVE_BYTES)
        self._conn.receive_data(data)
        return data

    async def _read_body(self, body):
        while not self._parse_body(body):
            if self._conn.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(
                    status_code=100, headers=[]
                )
                await self._stream.send_all(self._conn.send(continue_response))
            await self._receive()

    def _parse_body(self, body):
        """Append the received data; return whether the body is complete."""
        while True:
            event = self._conn.next_event()
            if event is h11.NEED_DATA:
                return False
            if not isinstance(event, h11.Data):
                return True
            body += event.data
            if len(body) > self._limits.max_body_bytes:
                raise exceptions.RequestTooLargeError(
                    f"body: larger than {self._limits.max_body_bytes} bytes"
                )

    async def _send_response(self, response, close):
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            *response.headers,
        ]
        if close:
            headers.append(("Connection", "close"))
        head = h11.Response(status_code=response.status, headers=headers)
        data = self._conn.send(head)
        if not self._is_head_request:
            data += self._conn.send(h11.Data(data=response.body))
        data += self._conn.send(h11.EndOfMessage())
        self._set_timeout(self._limits.send_timeout_s)
        await self._stream.send_all(data)


async def serve(
    nursery,
    address,
    handler,
    tls=None,
    limits=ServerLimits(),
    max_connections=math.inf,
    on_replaced=None,
):
    """Listen on an address and answer the requests of each connection.

    At the bound on connections the oldest one is closed, so that a crowd of
    idle ones keeps nobody out.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the connections.
    address : str
        ``IP:port`` to listen on.
    handler : callable
        Async function from `Request` to `Response`.
    tls : ssl.SSLContext, optional
        Server context.
    limits : ServerLimits, optional
        Limits of each connection.
    max_connections : int, optional
        Bound on open connections.
    on_replaced : callable, optional
        Called without arguments when one is closed at the bound.

    Returns
    -------
    trio.CancelScope
        Cancel it to close the listener; open connections stay open.
    """
    connections = {}

    async def serve_connection(stream):
        if len(connections) >= max_connections:
            oldest = next(iter(connections))
            # It leaves at once, so that each newer one closes another.
            del connections[oldest]
            oldest.close()
            if on_replaced is not None:
                on_replaced()
        connection = ServerConnection(stream, handler, limits)
        connections[connection] = None
        try:
            await connection.run()
        finally:
            connections.pop(connection, None)

    return await streams.serve(nursery, address, serve_connection, tls)


class ClientConnection:
    """Client connection to an HTTP server, one request at a time.

    Parameters
    ----------
    stream : trio.abc.Stream
        The open connection.
    host : str
        Value of the Host header.
    """

    def __init__(self, stream, host):
        self._stream = stream
        self._host = host
        self._conn = h11.Connection(h11.CLIENT)
        self._is_usable = True

    @property
    def is_usable(self):
        """Whether a further request can be sent."""
        return self._is_usable

    async def request(self, method, path, body=b"", headers=()):
        """Send one request and return the whole response.

        Raises
        ------
        exceptions.ConnectionLostError
            If no complete response arrives; the server may have
            received the request.
        """
        self._is_usable = False
        try:
            await self._send_request(method, path, body, headers)
            response = await self._read_response()
        except h11.RemoteProtocolError as error:
            raise exceptions.ConnectionLostError(f"{self._host}: {error}")
        except (OSError, trio.BrokenResourceError) as error:
            raise exceptions.ConnectionLostError(f"{self._host}: {error}")
        except trio.ClosedResourceError as error:
            raise exceptions.ConnectionLostError(f"{self._host}: {error}")
        if self._conn.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            self._conn.start_next_cycle()
            self._is_usable = True
        return response

    def drop_undelivered(self, timeout_s):
        """Let the kernel drop what the server does not receive in time.

        Sent bytes are otherwise repeated for minutes, also after `close`,
        which resets the connection from now on. The timeout applies even
        while the process is suspended.

        Parameters
        ----------
        timeout_s : float
            Longest time that sent bytes may remain unacknowledged.
        """
        streams.drop_undelivered(self._stream, timeout_s)

    async def close(self):
        """Close the connection at once."""
        self._is_usable = False
        await trio.aclose_forcefully(self._stream)

    async def _send_request(self, method, path, body, headers):
        head = h11.Request(
            method=method,
            target=path,
            headers=[
                ("Host", self._host),
                ("Content-Length", str(len(body))),
                *headers,
            ],
        )
        data = self._conn.send(head)
        if body:
            data += self._conn.send(h11.Data(data=body))
        data += self._conn.send(h11.EndOfMessage())
        await self._stream.send_all(data)

    async def _read_response(self):
        status = 0
        headers = ()
        parts = []
        while True:
            event = self._conn.next_event()
            if event is h11.NEED_DATA:
                data = await self._stream.receive_some(RECEIVE_BYTES)
                self._conn.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = tuple(
                    (name.decode("latin-1"), value.decode("latin-1"))
                    for name, value in event.headers
                )
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return Response(status, b"".join(parts), headers)
            else:
                raise exceptions.ConnectionLostError(
                    f"{self._host}: closed before the answer"
                )


async def open_client(address, tls=None, timeout_s=1.0):
    """Open a client connection to ``IP:port``."""
    stream = await streams.connect(address, tls, timeout_s)
    return ClientConnection(stream, address)


async def fetch(
    address, method, path, data=None, headers=(), timeout_s=1.0, tls=None
):
    """Send one JSON request on a new connection and close it.

    Raises
    ------
    exceptions.NetworkError
        If no response arrives within `timeout_s`.
    """
    body = b"" if data is None else msgspec.json.encode(data)
    try:
        with trio.fail_after(timeout_s):
            client = await open_client(address, tls, timeout_s)
            try:
                return await client.request(method, path, body, headers)
            finally:
                await client.close()
    except trio.TooSlowError:
        raise exceptions.ConnectionLostError(f"{address}: timed out")
