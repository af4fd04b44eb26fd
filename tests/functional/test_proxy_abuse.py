"""Callers that misbehave, against one proxy process each.

Each test checks that the process lives, that its memory and descriptors
stay under a bound, and that an ordinary caller is served. The tests measure
a process, so they run alone: ``pytest -m alone -n 0``.
"""

import contextlib
import os
import pathlib
import resource
import socket
import subprocess
import sys

import pytest
import trio

from geraniumridge._internal.network import datagrams
from geraniumridge._internal.network import http
from lib import proxies
from lib.proxies import is_success

pytestmark = pytest.mark.alone

ROOT = pathlib.Path(__file__).parents[2]
RUN = ROOT / "platform" / "run.py"

MIB = 1_048_576
MAX_MESSAGE_BYTES = MIB
"""Longest message of the callers' protocol."""

TOTAL_BYTES = 24 * MIB
MAX_CONNECTIONS = 120
MAX_HTTP_CONNECTIONS = 16
SETTINGS = f"""
[vm]
name = "vm-1"
domain = "north"
ip = "127.0.0.1"
[listen]
callers = "{{callers}}"
ready = "{{ready}}"
metrics = "{{metrics}}"
first_peer_port = {{port}}
last_peer_port = {{port}}
[platform]
store = "{{store}}"
duties = "{{duties}}"
[bounds]
stop_grace_s = 3.0
limit_slack = 20.0
[callers]
total_bytes = {TOTAL_BYTES}
connection_bytes = {8 * MIB}
state_bytes = {MIB}
max_connections = {MAX_CONNECTIONS}
max_http_connections = {MAX_HTTP_CONNECTIONS}
startup_timeout_s = 2.0
progress_timeout_s = 2.0
send_timeout_s = 2.0
"""

MEMORY_GROWTH_BYTES = 2 * TOTAL_BYTES + 16 * MIB
"""Bound on the growth of the memory high-water mark: twice the budget, as
freed memory is not reused at once, and room to process one message."""

TARGET_CONNECTIONS = 60
"""Connections that three instances allow."""

DESCRIPTOR_GROWTH = (
    MAX_CONNECTIONS + 2 * MAX_HTTP_CONNECTIONS + TARGET_CONNECTIONS + 20
)
"""Bound on further open descriptors; a connection at its bound is accepted
before it is refused, and the store's client opens some."""

MAX_DESCRIPTORS = 400
"""Descriptor limit of the process."""

CROWD = 100
"""Connections that fit into the bound on connections."""

LARGE_CROWD = 500
"""More connections than the process has descriptors."""


class AbusedProxy:
    """One proxy process, its idle size and its settings."""

    def __init__(self, cluster, folder):
        settings = cluster.make_settings("vm-1", "north")
        self.cluster = cluster
        self.listen = settings.listen._replace(metrics=proxies.find_address())
        path = folder / "settings.toml"
        path.write_text(
            SETTINGS.format(
                callers=self.listen.callers,
                ready=self.listen.ready,
                metrics=self.listen.metrics,
                port=self.listen.first_peer_port,
                store=settings.platform.store,
                duties=settings.platform.duties,
            )
        )
        with open(folder / "log", "wb") as output:
            self.process = subprocess.Popen(
                [sys.executable, str(RUN)],
                env={**os.environ, "GERANIUMRIDGE_BOOT": str(path)},
                stdout=output,
                stderr=output,
            )
        limits = (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, limits)
        self._idle_bytes = 0
        self._idle_descriptors = 0
        self.max_descriptors = 0

    @property
    def memory_growth(self):
        """Growth of the memory high-water mark, in bytes."""
        return self._read_peak_bytes() - self._idle_bytes

    @property
    def descriptor_growth(self):
        """Growth of the largest number of open descriptors."""
        return self.max_descriptors - self._idle_descriptors

    async def start(self):
        """Wait until it serves and note its idle size."""
        with trio.fail_after(20):
            while not await self._is_ready():
                await trio.sleep(0.05)
            await trio.sleep(0.5)
            while not await self.is_serving():
                await trio.sleep(0.1)
        self._idle_bytes = self._read_peak_bytes()
        self._idle_descriptors = self._count_descriptors()

    async def watch_descriptors(self):
        """Note the largest number of open descriptors."""
        while True:
            with contextlib.suppress(OSError):
                self.max_descriptors = max(
                    self.max_descriptors, self._count_descriptors()
                )
            await trio.sleep(0.02)

    async def is_serving(self):
        """Return whether an ordinary caller gets a statement answered."""
        with contextlib.suppress(OSError, trio.BrokenResourceError):
            caller = proxies.Caller(self.listen.callers)
            await caller.open()
            try:
                ready = await caller.start_session("orders", "key")
                if ready == "READY I -":
                    lines = await caller.query_all("READ a")
                    return None not in lines and is_success(lines[:-1])
            finally:
                await caller.close()
        return False

    async def check(self):
        """Check that it lives, is within its bounds and serves."""
        assert self.process.poll() is None
        assert self.memory_growth <= MEMORY_GROWTH_BYTES
        assert self.descriptor_growth <= DESCRIPTOR_GROWTH
        # A refusal may be due to the crowd that just left.
        with trio.fail_after(30):
            while not await self.is_serving():
                await trio.sleep(0.2)

    def kill(self):
        """Kill the process if it still runs."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    async def _is_ready(self):
        with contextlib.suppress(Exception):
            response = await http.fetch(self.listen.ready, "GET", "/-/ready")
            return response.status == 200
        return False

    def _read_peak_bytes(self):
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        (line,) = [
            line for line in status.splitlines() if line.startswith("VmHWM:")
        ]
        return int(line.split()[1]) * 1024

    def _count_descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


def run_abuse(abuse, folder):
    """Run an abuse of a proxy, then check the proxy."""

    async def main():
        async with proxies.open_cluster() as cluster:
            proxy = AbusedProxy(cluster, folder)
            try:
                await proxy.start()
                cluster.nursery.start_soon(proxy.watch_descriptors)
                await abuse(proxy)
                print(
                    f"memory growth {proxy.memory_growth / MIB:.1f} MiB,"
                    f" descriptor growth {proxy.descriptor_growth}"
                )
                await proxy.check()
            finally:
                proxy.kill()

    trio.run(main)


async def run_crowd(count, behave):
    """Run an async function of a caller's number for each of a crowd.

    A caller that the proxy refuses or disconnects leaves the crowd.
    """

    async def run_one(number):
        with contextlib.suppress(
            OSError, trio.BrokenResourceError, trio.ClosedResourceError
        ):
            await behave(number)

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(run_one, number)


@contextlib.asynccontextmanager
async def open_stream(address, receive_buffer=None):
    """Open a connection, with a receive buffer of a size if it is given."""
    host, _, port = address.rpartition(":")
    raw = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        if receive_buffer is not None:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await raw.connect((host, int(port)))
        yield trio.SocketStream(raw)
    finally:
        raw.close()


async def start_session(stream, database="orders"):
    """Start a session; raise `trio.BrokenResourceError` if it is refused."""
    await stream.send_all(f"STARTUP {database} key\r\n".encode())
    if not (await stream.receive_some(100)).startswith(b"READY"):
        raise trio.BrokenResourceError("refused")


async def send_without_reading(stream, data, timeout_s=4.0):
    """Send as much as the proxy takes, then keep the connection open."""
    with trio.move_on_after(timeout_s):
        await stream.send_all(data)
        await trio.sleep_forever()


def make_messages(count):
    """Return ordinary statements as bytes."""
    return b"".join(b"QUERY q%d READ a\r\n" % n for n in range(count))


async def send_unread_messages(proxy):
    async def behave(number):
        async with open_stream(proxy.listen.callers) as stream:
            await start_session(stream)
            await send_without_reading(stream, make_messages(10_000))

    await run_crowd(20, behave)


def test_ten_thousand_messages_in_one_write_without_reading(tmp_path):
    """Statements that are sent ahead must not pile up in the process."""
    run_abuse(send_unread_messages, tmp_path)


async def send_large_unread_messages(proxy):
    message = b"QUERY q WRITE a " + b"x" * (MAX_MESSAGE_BYTES - 20) + b"\r\n"

    async def behave(number):
        async with open_stream(proxy.listen.callers) as stream:
            await start_session(stream)
            await send_without_reading(stream, message * 3)

    await run_crowd(CROWD, behave)


def test_largest_messages_many_at_once(tmp_path):
    """Largest legal messages that wait for a target add up."""
    run_abuse(send_large_unread_messages, tmp_path)


async def send_single_bytes(proxy):
    data = make_messages(10_000)

    async def behave(number):
        async with open_stream(proxy.listen.callers) as stream:
            await start_session(stream)
            with trio.move_on_after(10):
                for byte in data:
                    await stream.send_all(bytes((byte,)))

    await run_crowd(4, behave)


def test_messages_in_one_byte_pieces(tmp_path):
    """Pieces of one byte must cost no time that grows with the message."""
    run_abuse(send_single_bytes, tmp_path)


async def send_unfinished_messages(proxy):
    data = b"QUERY q WRITE a " + b"x" * (MAX_MESSAGE_BYTES - 20)

    async def behave(number):
        async with open_stream(proxy.listen.callers) as stream:
            await start_session(stream)
            await send_without_reading(stream, data)

    await run_crowd(CROWD, behave)


def test_crowd_that_stops_before_the_end_of_a_message(tmp_path):
    """Legal messages without their last byte add up to the crowd's size."""
    run_abuse(send_unfinished_messages, tmp_path)


async def send_endless_message(proxy):
    async def behave(number):
        async with open_stream(proxy.listen.callers) as stream:
            await start_session(stream)
            await stream.send_all(b"QUERY q WRITE a ")
            for _ in range(32):
                await stream.send_all(b"x" * MIB)

    await run_crowd(CROWD, behave)


def test_message_far_over_the_limit(tmp_path):
    """The part of a message up to the limit adds up over a crowd."""
    run_abuse(send_endless_message, tmp_path)


async def send_half_startups(proxy):
    async def behave(number):
        async with open_stream(proxy.listen.callers) as stream:
            await send_without_reading(stream, b"STARTUP ord")

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_crowd, LARGE_CROWD, behave)
        await trio.sleep(1.0)
        # An ordinary caller that comes meanwhile is served.
        with trio.fail_after(30):
            while not await proxy.is_serving():
                await trio.sleep(0.2)


def test_crowd_half_way_through_startup(tmp_path):
    """Connections without a session must not use up the descriptors."""
    run_abuse(send_half_startups, tmp_path)


async def open_idle_sessions(proxy):
    early = proxies.Caller(proxy.listen.callers)
    await early.open()
    assert await early.start_session("orders", "key") == "READY I -"

    async def behave(number):
        async with open_stream(proxy.listen.callers) as stream:
            await start_session(stream)
            await trio.sleep(4)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_crowd, LARGE_CROWD, behave)
        await trio.sleep(2.0)
        assert is_success(await early.query("READ a"))
    await early.close()


def test_more_idle_sessions_than_descriptors(tmp_path):
    """Callers' connections must leave descriptors for targets."""
    run_abuse(open_idle_sessions, tmp_path)


async def write_large_row(proxy):
    writer = proxies.Caller(proxy.listen.callers)
    await writer.open()
    await writer.start_session("orders", "key")
    assert is_success(await writer.query("WRITE big " + "x" * 900_000))
    await writer.close()


async def read_slowly(proxy):
    async def behave(number):
        async with open_stream(
            proxy.listen.callers, receive_buffer=4096
        ) as stream:
            await start_session(stream)
            await stream.send_all(b"QUERY q READ big\r\n" * 5)
            for _ in range(6):
                if not await stream.receive_some(1):
                    return
                await trio.sleep(1)

    await run_crowd(CROWD, behave)


def test_crowd_that_reads_large_answers_one_byte_a_second(tmp_path):
    """Answers that wait for their callers add up."""

    async def abuse(proxy):
        await write_large_row(proxy)
        await read_slowly(proxy)

    run_abuse(abuse, tmp_path)


async def leave_transactions_open(proxy):
    async def behave(number):
        async with open_stream(proxy.listen.callers) as stream:
            await start_session(stream)
            await stream.send_all(b"QUERY q BEGIN\r\nQUERY q WRITE a 1\r\n")
            await trio.sleep(4)

    await run_crowd(CROWD, behave)


def test_transactions_left_open(tmp_path):
    """Open transactions hold connections to a target."""
    run_abuse(leave_transactions_open, tmp_path)


async def define_without_end(proxy, statement):
    payload = b"x" * 200_000

    async def behave(number):
        async with open_stream(proxy.listen.callers) as stream:
            await start_session(stream)
            for count in range(100):
                text = statement % (number * 1000 + count, payload)
                await stream.send_all(b"QUERY q " + text + b"\r\n")
                if not await stream.receive_some(1000):
                    return
            await trio.sleep(1)

    await run_crowd(20, behave)


def test_prepared_statements_without_end(tmp_path):
    """A session's prepared statements add up."""

    async def abuse(proxy):
        await define_without_end(proxy, b"PREPARE s%d READ %s")

    run_abuse(abuse, tmp_path)


def test_session_values_without_end(tmp_path):
    """A session's values add up."""

    async def abuse(proxy):
        await define_without_end(proxy, b"SET v%d %s")

    run_abuse(abuse, tmp_path)


def test_state_of_ended_sessions_without_end(tmp_path):
    """Pooled connections must not keep the state of all former sessions."""

    async def abuse(proxy):
        for number in range(300):
            caller = proxies.Caller(proxy.listen.callers)
            await caller.open()
            await caller.start_session("orders", "key")
            definition = "x" * 500_000
            await caller.query_all(f"PREPARE s{number} READ {definition}")
            await caller.query_all(f"EXECUTE s{number} a")
            await caller.close()

    run_abuse(abuse, tmp_path)


async def send_large_bodies(proxy, address):
    head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 990000\r\n\r\n"

    async def behave(number):
        async with open_stream(address) as stream:
            await send_without_reading(stream, head + b"x" * 900_000)

    await run_crowd(CROWD, behave)


@pytest.mark.parametrize("port", ["ready", "metrics"])
def test_unfinished_requests_at_an_http_port(tmp_path, port):
    """Bodies that nobody needs add up."""

    async def abuse(proxy):
        await send_large_bodies(proxy, getattr(proxy.listen, port))

    run_abuse(abuse, tmp_path)


@pytest.mark.parametrize("port", ["ready", "metrics"])
def test_idle_connections_at_an_http_port(tmp_path, port):
    """Connections to these ports must leave descriptors for callers."""

    async def abuse(proxy):
        async def behave(number):
            async with open_stream(getattr(proxy.listen, port)):
                await trio.sleep(3)

        await run_crowd(LARGE_CROWD, behave)

    run_abuse(abuse, tmp_path)


async def flood_datagrams(proxy):
    address = ("127.0.0.1", proxy.listen.first_peer_port)
    messages = datagrams.messages
    with trio.socket.socket(type=socket.SOCK_DGRAM) as sender:
        for number in range(9_000):
            name = f"{number}-" + "x" * 15_000
            for message in (
                messages.TokenRequest(number, "team", 1, name),
                messages.FallbackRenewalRequest(
                    number, "team", name, 1000, True
                ),
            ):
                try:
                    await sender.sendto(datagrams.encode(message), address)
                except OSError:
                    # The answers are not read, and the queue may be full.
                    await trio.sleep(0.01)
            if number % 3 == 0:
                await trio.sleep(0.005)


def test_datagrams_with_ever_new_names(tmp_path):
    """State kept for the names in datagrams must not grow without end."""
    run_abuse(flood_datagrams, tmp_path)


def test_all_beside_one_ordinary_caller(tmp_path):
    """An ordinary session goes on while all kinds of abuse run at once."""

    async def abuse(proxy):
        caller = proxies.Caller(proxy.listen.callers)
        await caller.open()
        assert await caller.start_session("orders", "key") == "READY I -"
        await write_large_row(proxy)
        served = 0
        async with trio.open_nursery() as nursery:
            async with trio.open_nursery() as crowds:
                for pattern in (
                    send_unread_messages,
                    send_unfinished_messages,
                    send_endless_message,
                    send_half_startups,
                    open_idle_sessions_beside,
                    leave_transactions_open,
                    flood_datagrams,
                    read_slowly,
                ):
                    crowds.start_soon(pattern, proxy)
                for _ in range(20):
                    lines = await caller.query_all("READ a")
                    # A refusal is an answer, but a closed session is not.
                    assert lines[-1] is not None
                    served += is_success(lines[:-1])
                    await trio.sleep(0.2)
            nursery.cancel_scope.cancel()
        assert served
        await caller.close()

    async def open_idle_sessions_beside(proxy):
        async def behave(number):
            async with open_stream(proxy.listen.callers) as stream:
                await start_session(stream)
                await trio.sleep(4)

        await run_crowd(CROWD, behave)

    run_abuse(abuse, tmp_path)
