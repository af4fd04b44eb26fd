"""Fleet of VMs that collect usage counts, on a simulated clock.

Each VM has its own boot clock and time of day. Datagrams between them are
encoded, and may be lost, repeated and late.
"""

import collections
import contextlib
import contextvars
import itertools
import random
import types
import typing
from unittest import mock

import trio
from trio import testing

from geraniumridge._internal.decisions import roster
from geraniumridge._internal.models import fleet
from geraniumridge._internal.models import proxy_settings
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.proxy.usage import collection
from geraniumridge._internal.proxy.usage import time_exchange
from geraniumridge._internal.utils import clock
from geraniumridge._internal.utils import metrics
from geraniumridge._internal.utils import supervision

EPOCH = 1_700_000_000.0
"""True time at which a simulation begins; a multiple of five seconds."""

LEASE_S = 4.0
"""How long a VM that was killed stays registered."""

VIEW_DELAY_S = 0.2
"""Age of all store views."""

SETTINGS = proxy_settings.UsageSettings(
    window_s=5.0, tolerance=0.05, late_s=10.0, lease_s=3.0
)

_current_vm = contextvars.ContextVar("current_vm")


class Faults(typing.NamedTuple):
    """What happens to datagrams; `max_delay_s` is of one of them."""

    loss: float = 0.0
    repetition: float = 0.0
    max_delay_s: float = 0.005


class Vm:
    """One run of a VM, its clocks and its collection."""

    def __init__(self, simulation, name, domain, boot):
        self.simulation = simulation
        self.name = name
        self.boot = boot
        self.boot_offset_s = simulation.random.uniform(0.0, 1e6)
        self.clock_error_s = 0.0
        self.is_cut_off = False
        self.state = simulation.state
        self.roster = roster.Roster()
        port = simulation.ports[name]
        self.member = fleet.Member(name, domain, f"127.0.0.1:{port}", boot)
        self.peers = SimulatedPeers(self, port)
        self.scope = trio.CancelScope()
        self.is_running = True
        self._send_channel, self._receive_channel = trio.open_memory_channel(
            10_000
        )
        self.metrics = metrics.MetricsRegistry()

    @property
    def now(self):
        """Time on the boot clock."""
        return trio.current_time() + self.boot_offset_s

    @property
    def time_of_day(self):
        """Time of day of this VM."""
        return EPOCH + trio.current_time() + self.clock_error_s

    @property
    def collection(self):
        """The collection, once the VM runs."""
        return self._collection

    def deliver(self, data, sender):
        """Receive a datagram."""
        with contextlib.suppress(trio.WouldBlock):
            self._send_channel.send_nowait((data, sender))

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Run until killed."""
        _current_vm.set(self)
        node = types.SimpleNamespace(
            settings=types.SimpleNamespace(
                vm=types.SimpleNamespace(
                    name=self.name, domain=self.member.domain
                ),
                usage=self.simulation.settings,
            ),
            boot=self.boot,
            view=types.SimpleNamespace(
                members=self.roster.members,
                roster=self.roster,
                state=self.state,
            ),
            view_age=_ViewAge(),
            metrics=self.metrics,
        )
        self._collection = collection.Collection(node, self.peers)
        self._collection.set_reporter(self.simulation.reporter)
        with self.scope:
            async with trio.open_nursery() as nursery:
                self._collection.start(supervision.Supervisor(nursery))
                task_status.started()
                async for data, sender in self._receive_channel:
                    message = datagrams.decode(data)
                    await self.peers.dispatch(message, sender)

    def count(self, team):
        """Count a request of a team now."""
        if self.is_running:
            with self.use_clocks():
                self._collection.counter.note_begun(team, self.now)
            self.simulation.requests.append((trio.current_time(), team))

    def make_report(self, window):
        """Return the result for a window."""
        with self.use_clocks():
            return self._collection.make_report(window)

    def set_reporter(self, name):
        """Set the reporter that this VM knows."""
        with self.use_clocks():
            self._collection.set_reporter(name)

    @contextlib.contextmanager
    def use_clocks(self):
        """Let the block run on the clocks of this VM."""
        token = _current_vm.set(self)
        try:
            yield
        finally:
            _current_vm.reset(token)

    def kill(self):
        """End the VM at once."""
        self.is_running = False
        self.scope.cancel()


class _ViewAge:
    """Age of a view that is always current."""

    @property
    def confirmed_at(self):
        """Time up to which the view is complete."""
        return clock.now() - VIEW_DELAY_S


class SimulatedPeers(datagrams.Peers):
    """Datagram endpoint of a VM."""

    def __init__(self, vm, port):
        super().__init__(f"127.0.0.1:{port}")
        self._vm = vm
        self._port = port

    async def send(self, message, address):
        """Send a datagram, which may be lost, repeated and late."""
        simulation = self._vm.simulation
        data = datagrams.encode(message)
        assert len(data) <= datagrams.MAX_DATAGRAM_BYTES
        simulation.note_sent(type(message).__name__, len(data))
        faults = simulation.faults
        copies = 1 + (simulation.random.random() < faults.repetition)
        for _ in range(copies):
            if simulation.random.random() >= faults.loss:
                delay_s = simulation.random.uniform(0.0, faults.max_delay_s)
                simulation.nursery.start_soon(
                    self._deliver, data, address[1], delay_s
                )

    async def _deliver(self, data, port, delay_s):
        await trio.sleep(delay_s)
        receiver = self._vm.simulation.find_vm(port)
        if receiver is None:
            return
        if not (receiver.is_cut_off or self._vm.is_cut_off):
            receiver.deliver(data, ("127.0.0.1", self._port))


class Simulation:
    """VMs by name, what they counted and what they sent."""

    def __init__(self, nursery, seed, faults, settings, teams):
        self.nursery = nursery
        self.random = random.Random(seed)
        self.faults = faults
        self.settings = settings
        self.state = types.SimpleNamespace(teams=dict.fromkeys(teams))
        self.reporter = "vm-0"
        self.ports = collections.defaultdict(itertools.count(1).__next__)
        self.vms = {}
        self.killed = 0
        self.requests = []
        self.sent_messages = collections.Counter()
        self.sent_bytes = collections.Counter()

    def note_sent(self, name, size):
        """Record the size of a datagram."""
        self.sent_messages[name] += 1
        self.sent_bytes[name] += size

    def find_vm(self, port):
        """Return the running VM that listens on a port, or None."""
        for vm in self.vms.values():
            if self.ports[vm.name] == port and vm.is_running:
                return vm
        return None

    async def start(self, name, domain, boot="1", clock_error_s=0.0):
        """Start a VM; it is registered at once."""
        vm = Vm(self, name, domain, boot)
        vm.clock_error_s = clock_error_s
        for known in self.vms.values():
            if known.is_running and known.name != name:
                vm.roster.put(known.member, vm.now)
        self.vms[name] = vm
        vm.roster.note_listing(vm.now)
        for known in self.vms.values():
            known.roster.put(vm.member, known.now)
        await self.nursery.start(vm.run)
        return vm

    async def kill(self, name):
        """Kill a VM; its registration lasts for the lease."""
        vm = self.vms[name]
        vm.kill()
        self.killed += 1
        self.nursery.start_soon(self._expire, vm)

    async def _expire(self, vm):
        await trio.sleep(LEASE_S)
        if self.vms[vm.name] is vm:
            for known in self.vms.values():
                known.roster.remove(vm.name, known.now)

    async def run_load(self, name, team, per_s, until):
        """Count a team's requests at a VM at a steady rate."""
        await trio.sleep(self.random.random() / per_s)
        while trio.current_time() < until:
            self.vms[name].count(team)
            await trio.sleep(1 / per_s)

    def count_between(self, begin, end):
        """Return the requests by team between two times."""
        return collections.Counter(
            team for sent_at, team in self.requests if begin <= sent_at < end
        )

    async def collect_results(self, windows):
        """Return the first result for each window, None if there is none.

        Windows are numbered from the start of the simulation.
        """
        first = round(EPOCH / self.settings.window_s)
        results = dict.fromkeys(windows)
        until = (max(windows) + 1) * self.settings.window_s
        until += self.settings.late_s
        while trio.current_time() < until:
            reporter = self.vms[self.reporter]
            for window, known in results.items():
                if known is None and reporter.is_running:
                    results[window] = reporter.make_report(first + window)
            await trio.sleep(0.2)
        return results


def run(
    test, seed=0, faults=Faults(), settings=SETTINGS, teams=("a", "b", "c")
):
    """Run an async test of a `Simulation` on a clock that jumps ahead."""

    async def main():
        async with trio.open_nursery() as nursery:
            simulation = Simulation(nursery, seed, faults, settings, teams)
            await test(simulation)
            nursery.cancel_scope.cancel()

    fake_time = types.SimpleNamespace(
        time=lambda: _current_vm.get().time_of_day,
        time_ns=lambda: round(_current_vm.get().time_of_day * 1e9),
    )
    with contextlib.ExitStack() as stack:
        for module, name, value in (
            (clock, "now", lambda: _current_vm.get().now),
            (collection, "time", fake_time),
            (time_exchange, "time", fake_time),
        ):
            stack.enter_context(mock.patch.object(module, name, value))
        trio.run(main, clock=testing.MockClock(autojump_threshold=0))
