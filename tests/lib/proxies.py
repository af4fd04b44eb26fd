"""Cluster of proxies with stand-ins of the platform, in one trio program.

The store, the promotion API and the database instances are stand-ins;
proxies and callers reach them over loopback.
"""

import contextlib
import copy
import functools
import itertools
import os
import socket

import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import proxy_settings
from geraniumridge._internal.proxy import daemon
from geraniumridge._internal.proxy import node
from geraniumridge_platform import duties_client
from geraniumridge_platform import frontend
from geraniumridge_platform import instances
from geraniumridge_platform import kv
from geraniumridge_platform import records
from standins import duties
from standins import kvstore
from standins import linegroup

FIRST_PORT = 16_000
"""First port of the first test process. The ports of up to eleven processes
lie below those that the system picks for outgoing connections."""

PORTS_PER_WORKER = 1_500
"""Ports of each test process, so that parallel processes share none of the
ports that this module assigns. `standins.fleet` assigns ports independently,
and the ranges overlap."""

DOMAINS = ("north", "south", "west")


def _list_ports():
    """Yield ports that no other test process uses."""
    worker = os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")
    first = FIRST_PORT + int(worker) * PORTS_PER_WORKER
    yield from itertools.cycle(range(first, first + PORTS_PER_WORKER))


_ports = _list_ports()


def find_port():
    """Return a port that is free for TCP and UDP."""
    for port in _ports:
        try:
            for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, socket_type) as probe:
                    probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        return port


def find_address():
    """Return a loopback address with a free port."""
    return f"127.0.0.1:{find_port()}"


def make_config(version=1, **fields):
    """Return a configuration with a route for each of three databases."""
    route_types = {
        "orders": "primary",
        "stock": "bounded_staleness",
        "plans": "read_your_writes",
    }
    routes = [
        {
            "name": f"r-{host}",
            "host": host,
            "prefix": "/",
            "type": route_type,
            "timeoutMs": 1000,
            "targetLatencyMs": 400,
            "priority": 1,
            "service": "ledger",
            "attempts": 2,
            "maxStalenessMs": 1500,
            "public": False,
        }
        for host, route_type in route_types.items()
    ]
    document = {
        "version": version,
        "routes": routes,
        "services": [{"name": "ledger", "maxConns": 20, "syncReplicas": 1}],
        "limits": {"txIdleMs": 500},
        "tenants": [
            {
                "name": "team",
                "apiKeys": ["key"],
                "ratePerS": 1000,
                "burst": 1000,
            }
        ],
    }
    return {**document, **fields}


class Cluster:
    """Platform with one group of three instances, and its proxies.

    `usage` has the `proxy_settings.UsageSettings` of proxies that start
    later, None for none. If `make_usage_collection` is set, it makes their
    collections, and the proxies report.
    """

    def __init__(self, nursery):
        self.nursery = nursery
        self.store = kvstore.KvStore()
        self.group = linegroup.Group("ledger")
        self.promotion_server = duties.PromotionServer([self.group])
        self.regions = {domain: "east" for domain in DOMAINS}
        self.usage = None
        self.make_usage_collection = None
        self._store_address = find_address()
        self._promotion_server_address = find_address()

    async def start(self):
        """Start the platform with its instances registered."""
        await self.store.start(self.nursery, self._store_address)
        await self.promotion_server.start(
            self.nursery, self._promotion_server_address
        )
        for number, domain in enumerate(DOMAINS):
            instance = self.group.add(f"i-{number}", find_address(), domain)
            await instance.start(self.nursery)
            self.register(instance)
        self.store.put("op/config", make_config())

    def register(self, instance, state="ready"):
        """Write an instance's store entry, as its heartbeat does."""
        entry = self.group.make_entry(instance, state)
        self.store.put(f"servers/{instance.name}", entry)

    def make_settings(self, name, domain):
        """Return the settings of a proxy."""
        port = find_port()
        return proxy_settings.ProxySettings(
            vm=proxy_settings.VmSettings(name, domain, "127.0.0.1"),
            listen=proxy_settings.ListenSettings(
                find_address(), find_address(), port, port
            ),
            platform=proxy_settings.PlatformSettings(
                self._store_address, self._promotion_server_address
            ),
            bounds=proxy_settings.BoundSettings(limit_slack=20.0),
            regions=self.regions,
            usage=self.usage,
        )

    async def add_proxy(self, name="vm-1", domain="north"):
        """Start a proxy and wait until it is registered.

        Only a registered proxy may use primaries.
        """
        return await self._start_proxy(
            RunningProxy(self, self.make_settings(name, domain))
        )

    async def restart_proxy(self, former, boot):
        """Start a proxy that was stopped again, as another run."""
        await former.ended.wait()
        return await self._start_proxy(
            RunningProxy(self, former.settings, boot)
        )

    async def _start_proxy(self, running):
        await self.nursery.start(running.run)
        await wait_until(
            lambda: running.node.primary_resolver.is_self_registered()
        )
        # The token buckets of the rate limits start empty.
        await trio.sleep(0.2)
        return running

    async def connect(self, proxy, database="orders", key="key"):
        """Return a caller with an open session."""
        caller = Caller(proxy.settings.listen.callers)
        await caller.open()
        assert await caller.start_session(database, key) == "READY I -"
        return caller


class PartitionableStoreClient(kv.KvClient):
    """Store client of one VM that a test can cut off from the store."""

    is_partitioned = False

    def __getattribute__(self, name):
        attribute = super().__getattribute__(name)
        if name.startswith("_") or name == "is_partitioned":
            return attribute

        async def call(*arguments):
            self._check_partition()
            answer = await attribute(*arguments)
            self._check_partition()
            return answer

        return call

    def _check_partition(self):
        """Raise PlatformUnavailableError if the client is cut off.

        It is called before and after each call, since a partition loses
        requests and also answers in transit.
        """
        if self.is_partitioned:
            raise exceptions.PlatformUnavailableError("cut off")


class PartitionableDialect(instances.LineDialect):
    """Dialect of one VM that a test can cut off from some targets."""

    def __init__(self):
        self.unreachable_targets = set()

    async def open(self, target, team, timeout_s):
        """Return a connection whose calls hang while it is cut off."""
        if target.id in self.unreachable_targets:
            await trio.sleep(timeout_s)
            raise exceptions.NotSentError(f"{target.id}: cut off")
        connection = await super().open(target, team, timeout_s)
        original_call = connection.call

        async def call(calls):
            if target.id in self.unreachable_targets:
                await trio.sleep_forever()
            answers = await original_call(calls)
            if target.id in self.unreachable_targets:
                await trio.sleep_forever()
            return answers

        connection.call = call
        return connection


class RunningProxy:
    """Proxy with its settings, dialect and store client."""

    def __init__(self, cluster, settings, boot=None):
        self.settings = settings
        self.dialect = PartitionableDialect()
        self.node = node.Node(
            settings,
            boot or f"boot-{settings.listen.callers}",
            records.decode_record,
            self.dialect,
        )
        self.store_client = PartitionableStoreClient(settings.platform.store)
        reporting = {}
        if cluster.make_usage_collection is not None:
            reporting = {
                "usage_receiver": duties_client.UsageClient(
                    settings.platform.duties
                ),
                "make_usage_collection": cluster.make_usage_collection,
            }
        self.proxy = daemon.Proxy(
            self.node,
            self.store_client,
            duties_client.PromotionClient(settings.platform.duties),
            **reporting,
        )
        self._cancel_scope = trio.CancelScope()
        self.ended = trio.Event()

    def stop(self):
        """End the proxy at once, as a loss of power does."""
        self._cancel_scope.cancel()

    def disconnect_peers(self, others):
        """Drop all datagrams to and from other proxies."""
        ports = {proxy.settings.listen.first_peer_port for proxy in others}
        own_port = self.settings.listen.first_peer_port
        for proxy in (self, *others):
            _drop_datagrams(proxy, ports if proxy is self else {own_port})

    def delay_peers(self, nursery, others, delay_s):
        """Delay all datagrams to and from other proxies by a time one way."""
        ports = {proxy.settings.listen.first_peer_port for proxy in others}
        own_port = self.settings.listen.first_peer_port
        for proxy in (self, *others):
            delayed = ports if proxy is self else {own_port}
            _delay_datagrams(nursery, proxy, delayed, delay_s)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Run the proxy until the cluster stops."""
        with self._cancel_scope:
            await self._run(task_status)
        self.ended.set()

    async def _run(self, task_status):
        listen = self.settings.listen
        async with trio.open_nursery() as nursery:
            await self.proxy.start(nursery)
            await frontend.ReadinessEndpoint(self.proxy).start(
                nursery, listen.ready
            )
            await frontend.LineFrontend(self.proxy).start(
                nursery, listen.callers
            )
            task_status.started()
            await trio.sleep_forever()


def _drop_datagrams(running, ports):
    """Drop the datagrams that a proxy sends to some ports.

    The ports replace those of an earlier call; none restores delivery.
    """
    peers = running.proxy._peers
    original_send = type(peers).send

    async def send(message, address):
        if address[1] not in ports:
            await original_send(peers, message, address)

    peers.send = send


def _delay_datagrams(nursery, running, ports, delay_s):
    """Delay the datagrams that a proxy sends to some ports."""
    peers = running.proxy._peers
    original_send = peers.send

    async def send_late(message, address):
        await trio.sleep(delay_s)
        await original_send(message, address)

    async def send(message, address):
        if address[1] in ports:
            nursery.start_soon(send_late, copy.copy(message), address)
        else:
            await original_send(message, address)

    peers.send = send


class Caller:
    """Client of the line protocol."""

    def __init__(self, address):
        self._address = address
        self._data = b""
        self._query_count = 0
        self.stream = None

    async def open(self):
        """Connect to the proxy."""
        host, _, port = self._address.rpartition(":")
        self.stream = await trio.open_tcp_stream(host, int(port))

    async def start_session(self, database, key):
        """Start a session and return the proxy's answer line."""
        await self.send(f"STARTUP {database} {key}")
        return await self.read_line()

    async def query(self, text):
        """Run a statement and return its answer without the final READY."""
        lines = await self.query_all(text)
        return lines[:-1]

    async def query_all(self, text):
        """Run a statement and return all lines of its answer.

        The last is None if the proxy closed the connection.
        """
        self._query_count += 1
        await self.send(f"QUERY q{id(self)}-{self._query_count} {text}")
        lines = []
        while not lines or not lines[-1].startswith("READY "):
            line = await self.read_line()
            if line is None:
                return [*lines, None]
            lines.append(line)
        return lines

    async def send(self, text):
        """Send one line."""
        await self.stream.send_all(text.encode() + b"\r\n")

    async def read_line(self):
        """Return the next line, or None at the end of the stream."""
        while b"\r\n" not in self._data:
            data = await self.stream.receive_some(65_536)
            if not data:
                return None
            self._data += data
        line, _, self._data = self._data.partition(b"\r\n")
        return line.decode()

    async def close(self):
        """Close the connection without ending the session."""
        await self.stream.aclose()


async def wait_until(condition, timeout_s=5.0):
    """Wait until a condition holds; raise `trio.TooSlowError` if too late."""
    with trio.fail_after(timeout_s):
        while not condition():
            await trio.sleep(0.01)


@contextlib.asynccontextmanager
async def open_cluster():
    """Run a cluster without proxies; stop everything when the block ends."""
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery)
        await cluster.start()
        yield cluster
        nursery.cancel_scope.cancel()


def run_in_cluster(test):
    """Decorate an async test to run it in a cluster with one proxy."""

    @functools.wraps(test)
    def run():
        async def main():
            async with open_cluster() as cluster:
                await test(cluster, await cluster.add_proxy())

        trio.run(main)

    # Otherwise pytest takes the wrapped test's arguments for fixtures.
    del run.__wrapped__
    return run


def is_success(lines):
    """Return whether the last line of an answer reports success."""
    return lines[-1].startswith("COMPLETE ")
