"""Frames from peers that have not authenticated."""

import time
import tracemalloc

import pytest
import trio
from trio import testing

from geraniumridge._internal.network import peers
from geraniumridge._internal.network import wire

TIMEOUT_S = 10.0
"""Timeout of one connection, in seconds."""

MAX_FRAME_MEMORY_BYTES = 262_144
"""Memory that a short frame may make a connection allocate."""

MAX_FRAME_S = 0.2
"""Processor time that a short frame may take, in seconds."""

HELLO_TYPE = wire.get_type_number(wire.messages.Hello)

MALFORMED_HELLOS = {
    "claimed string": "0b0003 13000000",
    "skipped string": "0b0009 13000000",
    "skipped list": "0f0009 0c0fffffff",
    "skipped map": "0d0009 03030fffffff",
    "secret that is no text": "0b0003 00000001 ff 00",
    "no fields": "00",
    "no data": "",
}


def serve(data):
    """Serve a connection that sends some bytes; return the first answer.

    It is empty if the server closes the connection.

    An exception of the server's task fails the test.
    """

    async def run():
        client, server = testing.memory_stream_pair()
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(peers.PeerServer("secret").serve, server)
                await client.send_all(data)
                answer = await client.receive_some()
                await client.aclose()
        return bytes(answer)

    return trio.run(run)


@pytest.mark.parametrize(
    "text", MALFORMED_HELLOS.values(), ids=MALFORMED_HELLOS
)
def test_malformed_hello_ends_only_its_connection(text):
    payload = bytes.fromhex(text)
    header = peers.FRAME_HEADER.pack(len(payload), 1, HELLO_TYPE)
    started_at = time.process_time()
    tracemalloc.start()
    try:
        assert serve(header + payload) == b""
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < MAX_FRAME_MEMORY_BYTES
    assert time.process_time() - started_at < MAX_FRAME_S


def test_hello_with_the_secret_is_answered():
    hello = wire.messages.Hello(vm="vm-2", domain="north", secret="secret")
    payload = wire.encode(hello)
    header = peers.FRAME_HEADER.pack(len(payload), 1, HELLO_TYPE)
    answer = serve(header + payload)
    assert answer.startswith(peers.FRAME_HEADER.pack(1, 1, 0))
