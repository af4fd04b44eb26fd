"""Requests that an HTTP server refuses or answers in an unusual way."""

import time

import pytest
import trio
from trio import testing

from geraniumridge._internal import exceptions
from geraniumridge._internal.network import http

TIMEOUT_S = 10.0
"""Timeout of one exchange, in seconds."""

MAX_BODY_S = 2.0
"""Processor time that reading a body may take, in seconds."""

ANSWER = b'{"answer": 1}'

OVERSIZED_HEADER = b"X-Large: " + b"x" * 20_000 + b"\r\n"
OVERSIZED_BODY = b"x" * 1_100_000


async def answer_body(request):
    """Answer any request with a body."""
    return http.Response(200, ANSWER)


async def answer_status(request):
    """Answer any request without a body."""
    return http.Response(200, b"")


def exchange(data, handler=answer_body):
    """Send bytes to a server and return all that it sends back.

    An exception of the server's task fails the test.
    """

    async def run():
        client, server = testing.memory_stream_pair()
        received = bytearray()
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                connection = http.ServerConnection(server, handler)
                nursery.start_soon(connection.run)
                await client.send_all(data)
                await client.send_eof()
                async for chunk in client:
                    received += chunk
        return bytes(received)

    return trio.run(run)


def test_head_request_is_answered_without_the_body():
    received = exchange(b"HEAD / HTTP/1.1\r\nHost: vm\r\n\r\n")
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 ")
    assert b"Content-Length: %d" % len(ANSWER) in head
    assert body == b""


def test_connection_serves_requests_after_a_head_request():
    received = exchange(
        b"HEAD / HTTP/1.1\r\nHost: vm\r\n\r\n"
        b"GET / HTTP/1.1\r\nHost: vm\r\n\r\n"
    )
    assert received.count(b"HTTP/1.1 200 ") == 2
    assert received.endswith(b"\r\n\r\n" + ANSWER)


@pytest.mark.parametrize("handler", [answer_body, answer_status])
@pytest.mark.parametrize(
    "rest",
    [
        OVERSIZED_HEADER + b"\r\n",
        b"Content-Length: 1100000\r\n\r\n" + OVERSIZED_BODY,
        b"Transfer-Encoding: chunked\r\n\r\nnot a size\r\n",
    ],
    ids=["header", "body", "chunk"],
)
def test_refused_head_request_does_not_end_the_server(rest, handler):
    received = exchange(b"HEAD / HTTP/1.1\r\nHost: vm\r\n" + rest, handler)
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 4")
    assert body == b""


@pytest.mark.parametrize("handler", [answer_body, answer_status])
def test_connect_request_is_refused(handler):
    received = exchange(b"CONNECT vm:80 HTTP/1.1\r\nHost: vm\r\n\r\n", handler)
    assert received.startswith(b"HTTP/1.1 405 ")


def test_body_of_many_small_chunks_does_not_stall_the_server():
    started_at = time.process_time()
    received = exchange(
        b"POST / HTTP/1.1\r\nHost: vm\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"1\r\nx\r\n" * 30_000
        + b"0\r\n\r\n"
    )
    assert received.startswith(b"HTTP/1.1 200 ")
    assert time.process_time() - started_at < MAX_BODY_S


def test_chunked_body_over_the_limit_is_refused():
    chunk = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
    received = exchange(
        b"POST / HTTP/1.1\r\nHost: vm\r\nTransfer-Encoding: chunked\r\n\r\n"
        + chunk * 62
        + b"0\r\n\r\n"
    )
    assert received.startswith(b"HTTP/1.1 413 ")


def fetch_answer(data):
    """Return the response that a client reads from a server's bytes."""

    async def run():
        client, server = testing.memory_stream_pair()
        with trio.fail_after(TIMEOUT_S):
            await server.send_all(data)
            await server.send_eof()
            return await http.ClientConnection(client, "vm").request(
                "GET", "/"
            )

    return trio.run(run)


def test_header_that_is_not_utf8_does_not_break_the_client():
    response = fetch_answer(
        b"HTTP/1.1 200 OK\r\nX-Name: \xff\r\nContent-Length: 2\r\n\r\nok"
    )
    assert (response.status, response.body) == (200, b"ok")
    assert ("x-name", "\xff") in response.headers


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\x00 garbage\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        b"HTTP/1.1 200 OK\r\nX: " + b"y" * 200_000,
    ],
)
def test_malformed_response_counts_as_a_lost_connection(data):
    with pytest.raises(exceptions.ConnectionLostError):
        fetch_answer(data)
