"""Proxies, store, instances and callers in one trio program."""

import contextlib
import functools
import itertools
import os
import socket

import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import proxy_settings
from geraniumridge._internal.proxy import daemon
from geraniumridge._internal.proxy import node
from geraniumridge_platform import frontend
from geraniumridge_platform import instances
from geraniumridge_platform import kv
from geraniumridge_platform import promotion_client
from geraniumridge_platform import records
from standins import duties
from standins import kvstore
from standins import linegroup

FIRST_PORT = 16_000
PORTS_PER_WORKER = 1_500
DOMAINS = ("north", "south", "west")


def _list_ports():
    """Yield ports that no other test process uses.

    They lie below those that the system picks for connections.
    """
    worker = os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")
    first = FIRST_PORT + int(worker) * PORTS_PER_WORKER
    yield from itertools.cycle(range(first, first + PORTS_PER_WORKER))


_ports = _list_ports()


def find_port():
    """Return a port that is free for streams and datagrams."""
    for port in _ports:
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        return port


def find_address():
    """Return a loopback address with a free port."""
    return f"127.0.0.1:{find_port()}"


def make_config(version=1, **fields):
    """Return the operators' document with three databases."""
    kinds = {
        "orders": "primary",
        "stock": "bounded_staleness",
        "plans": "read_your_writes",
    }
    routes = [
        {
            "name": f"r-{host}",
            "host": host,
            "prefix": "/",
            "type": kind,
            "timeoutMs": 1000,
            "targetLatencyMs": 400,
            "priority": 1,
            "service": "ledger",
            "attempts": 2,
            "maxStalenessMs": 1500,
            "public": False,
        }
        for host, kind in kinds.items()
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


class World:
    """A platform with one group of three instances, and proxies."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.store = kvstore.KvStore()
        self.group = linegroup.Group("ledger")
        self.duties = duties.Duties([self.group])
        self._store_address = find_address()
        self._duties_address = find_address()

    async def start(self):
        """Start the platform with its instances registered."""
        await self.store.start(self.nursery, self._store_address)
        await self.duties.start(self.nursery, self._duties_address)
        for number, domain in enumerate(DOMAINS):
            item = self.group.add(f"i-{number}", find_address(), domain)
            await item.start(self.nursery)
            self.register(item)
        self.store.put("op/config", make_config())

    def register(self, item, state="ready"):
        """Write an instance's entry, as its heartbeat does."""
        entry = self.group.make_entry(item, state)
        self.store.put(f"servers/{item.name}", entry)

    def make_settings(self, name, domain):
        """Return the settings of a proxy."""
        port = find_port()
        return proxy_settings.ProxySettings(
            vm=proxy_settings.VmSettings(name, domain, "127.0.0.1"),
            listen=proxy_settings.ListenSettings(
                find_address(), find_address(), port, port
            ),
            platform=proxy_settings.PlatformSettings(
                self._store_address, self._duties_address
            ),
            regions={domain: "east" for domain in DOMAINS},
        )

    async def add_proxy(self, name="vm-1", domain="north"):
        """Start a proxy and wait until it may use primaries."""
        settings = self.make_settings(name, domain)
        made = RunningProxy(self, settings)
        await self.nursery.start(made.run)
        await wait_until(
            lambda: made.node.primary_resolver.is_self_registered()
        )
        # The buckets of limits start empty.
        await trio.sleep(0.2)
        return made

    async def connect(self, proxy, database="orders", key="key"):
        """Return a caller with a session."""
        caller = Caller(proxy.settings.listen.callers)
        await caller.open()
        assert await caller.start(database, key) == "READY I -"
        return caller


class CuttableStore(kv.KvClient):
    """The store's client of one VM, which can be cut off."""

    is_cut = False

    def __getattribute__(self, name):
        found = super().__getattribute__(name)
        if name.startswith("_") or name == "is_cut":
            return found

        async def call(*arguments):
            self._check_cut()
            answer = await found(*arguments)
            self._check_cut()
            return answer

        return call

    def _check_cut(self):
        """Lose calls, and answers that were on their way."""
        if self.is_cut:
            raise exceptions.PlatformUnavailableError("cut off")


class CuttableDialect(instances.LineDialect):
    """Speaks to targets, but not to those it is cut off from."""

    def __init__(self):
        self.cut_from = set()

    async def open(self, target, team, timeout_s):
        """Return a link that falls silent while it is cut."""
        if target.id in self.cut_from:
            await trio.sleep(timeout_s)
            raise exceptions.NotSentError(f"{target.id}: cut off")
        link = await super().open(target, team, timeout_s)
        plain_call = link.call

        async def call(calls):
            if target.id in self.cut_from:
                await trio.sleep_forever()
            answers = await plain_call(calls)
            if target.id in self.cut_from:
                await trio.sleep_forever()
            return answers

        link.call = call
        return link


class RunningProxy:
    """One proxy with its settings and its client of the store."""

    def __init__(self, world, settings):
        self.settings = settings
        self.dialect = CuttableDialect()
        self.node = node.Node(
            settings,
            f"boot-{settings.listen.callers}",
            records.decode_record,
            self.dialect,
        )
        self.store = CuttableStore(settings.platform.store)
        self.proxy = daemon.Proxy(
            self.node,
            self.store,
            promotion_client.PromotionClient(settings.platform.duties),
        )

    def cut_peers(self, others):
        """Lose all datagrams to and from other proxies."""
        ports = {item.settings.listen.first_peer_port for item in others}
        own = self.settings.listen.first_peer_port
        for item in (self, *others):
            _lose_datagrams(item, ports if item is self else {own})

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Run until the world ends."""
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


def _lose_datagrams(running, ports):
    """Let a proxy lose what it sends to some ports; none restores it."""
    peers = running.proxy._peers
    plain_send = type(peers).send

    async def send(message, address):
        if address[1] not in ports:
            await plain_send(peers, message, address)

    peers.send = send


class Caller:
    """A client of the line protocol."""

    def __init__(self, address):
        self._address = address
        self._data = b""
        self._number = 0
        self.stream = None

    async def open(self):
        """Connect."""
        host, _, port = self._address.rpartition(":")
        self.stream = await trio.open_tcp_stream(host, int(port))

    async def start(self, database, key):
        """Start a session and return the line that answers."""
        await self.send(f"STARTUP {database} {key}")
        return await self.read_line()

    async def query(self, text):
        """Run a statement; returns its lines without the last."""
        lines = await self.query_all(text)
        return lines[:-1]

    async def query_all(self, text):
        """Run a statement and return all lines of its answer."""
        self._number += 1
        await self.send(f"QUERY q{id(self)}-{self._number} {text}")
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
        """Return the next line, None at the end."""
        while b"\r\n" not in self._data:
            data = await self.stream.receive_some(65_536)
            if not data:
                return None
            self._data += data
        line, _, self._data = self._data.partition(b"\r\n")
        return line.decode()

    async def close(self):
        """Leave without a word."""
        await self.stream.aclose()


async def wait_until(condition, timeout_s=5.0):
    """Wait until a condition holds; fails after a time."""
    with trio.fail_after(timeout_s):
        while not condition():
            await trio.sleep(0.01)


@contextlib.asynccontextmanager
async def open_world():
    """Run a world and end all of it afterwards."""
    async with trio.open_nursery() as nursery:
        world = World(nursery)
        await world.start()
        yield world
        nursery.cancel_scope.cancel()


def run_world(test):
    """Run an async test in a world with one proxy."""

    @functools.wraps(test)
    def run():
        async def main():
            async with open_world() as world:
                await test(world, await world.add_proxy())

        trio.run(main)

    # Else pytest takes the arguments of the wrapped test for fixtures.
    del run.__wrapped__
    return run


def is_success(lines):
    """Tell whether the last of an answer's lines says success."""
    return lines[-1].startswith("COMPLETE ")
