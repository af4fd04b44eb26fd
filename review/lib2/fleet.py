"""A small deployment of real processes on loopback, and its clients."""

import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.network import http
from standins import serve

ROOT = pathlib.Path(__file__).resolve().parents[2]
PORTS = (12_000, 30_000)
"""Range of the ports that the processes listen on."""

START_TIMEOUT_S = 40.0

_taken_ports = set()

SERVICE = "ledger"
INSTANCES = ("i-0", "i-1", "i-2")
ZONES = ("obihiro", "kushiro", "kitami")
ROUTES = {
    "orders": "primary",
    "stock": "bounded_staleness",
    "plans": "read_your_writes",
}

# What deploy/settings.toml.in gives for the site file's bounds.
SETTINGS = """
[vm]
name = "{name}"
domain = "{zone}"
ip = "127.0.0.1"
[listen]
callers = "{callers}"
ready = "{ready}"
first_peer_port = {peer}
last_peer_port = {peer}
[platform]
store = "{store}"
duties = "{duties}"
least_lease_ms = 1000
[bounds]
stop_grace_s = 6
withdrawal_ms = 5000
departure_ms = 7000
limit_slack = 20
[callers]
memory_mb = 300
max_descriptors = 4200
[regions]
obihiro = "doto"
kushiro = "doto"
kitami = "doto"
"""

CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": f"r-{host}",
            "host": host,
            "prefix": "/",
            "type": kind,
            "timeoutMs": 1000,
            "targetLatencyMs": 400,
            "priority": 1,
            "service": SERVICE,
            "attempts": 2,
            "maxStalenessMs": 1500,
            "public": False,
        }
        for host, kind in ROUTES.items()
    ],
    "services": [{"name": SERVICE, "maxConns": 60, "syncReplicas": 1}],
    "limits": {"txIdleMs": 3000},
    "tenants": [
        {
            "name": "team",
            "apiKeys": ["key"],
            "ratePerS": 5000,
            "burst": 5000,
        }
    ],
}


def find_port():
    """Return a loopback port that is free for TCP and UDP.

    It is below those that the system picks for outgoing connections.
    """
    while True:
        port = random.randrange(*PORTS)
        if port in _taken_ports:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        _taken_ports.add(port)
        return port


def find_address():
    """Return a loopback address with a free port."""
    return f"127.0.0.1:{find_port()}"


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self._began_at = time.monotonic()

    def note(self, *words):
        """Write a line with the seconds since the start."""
        at = time.monotonic() - self._began_at
        print(f"{at:8.3f}", *words, file=self._file, flush=True)

    def show(self, *words):
        """Write a line to the file and to the output."""
        print(*words, flush=True)
        self.note(*words)


class Vm:
    """One machine that runs the proxy by the command of the deploy file."""

    def __init__(self, fleet, number):
        self.zone = ZONES[number % len(ZONES)]
        self.name = f"front-{self.zone}-{number // len(ZONES) + 1}"
        self.callers = find_address()
        self.ready = find_address()
        self.process = None
        self._fleet = fleet
        self._settings = fleet.folder / f"{self.name}.toml"
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self.zone,
                callers=self.callers,
                ready=self.ready,
                peer=find_port(),
                store=fleet.store,
                duties=fleet.duties,
            )
        )

    def start(self):
        """Start the proxy."""
        self.process = self._fleet.start_process(
            self.name,
            ["platform/run.py"],
            [ROOT / "target" / "deps"],
            GERANIUMRIDGE_BOOT=str(self._settings),
        )

    def read_log(self):
        """Return what the proxy has logged."""
        return (self._fleet.folder / f"{self.name}.log").read_text()

    async def wait_ready(self):
        """Wait until the proxy reports that it is ready."""
        with trio.fail_after(START_TIMEOUT_S):
            while True:
                try:
                    answer = await http.fetch(self.ready, "GET", "/-/ready")
                    if answer.status == 200:
                        return
                except exceptions.NetworkError:
                    pass
                await trio.sleep(0.05)


class Fleet:
    """All processes of one run."""

    def __init__(self, record, vm_count=6, group_fields=()):
        self.record = record
        self._group_fields = group_fields
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = find_address()
        self.duties = find_address()
        self._controls = {
            name: find_address() for name in ("store", "duties", "group")
        }
        self._processes = []
        self.vms = [Vm(self, number) for number in range(vm_count)]

    def start_process(self, name, arguments, paths, **variables):
        """Start a Python process whose output goes to a file."""
        kept = ("PATH", "HOME", "LANG")
        env = {key: os.environ[key] for key in kept if key in os.environ}
        env["PYTHONPATH"] = os.pathsep.join(str(path) for path in paths)
        with open(self.folder / f"{name}.log", "ab") as log:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                env={**env, **variables},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._processes.append(process)
        self.record.note("start", name, "as process", process.pid)
        return process

    def _start_standin(self, name, module, *fields):
        paths = [ROOT / part for part in ("target/deps", "src", ".", "review")]
        command = ["-m", module]
        if module == "standins.serve":
            command.append(name)
        command += [self._controls[name], *fields]
        self.start_process(name, command, paths)

    async def start(self):
        """Start the stand-ins, then the proxies; wait until these serve."""
        self._start_standin("store", "standins.serve", f"serving={self.store}")
        self._start_standin(
            "group",
            "lib2.group",
            f"group={SERVICE}",
            "addresses=" + ",".join(find_address() for _ in INSTANCES),
            "domains=" + ",".join(ZONES),
            f"store={self._controls['store']}",
            *self._group_fields,
        )
        self._start_standin(
            "duties",
            "standins.serve",
            f"serving={self.duties}",
            f"group={SERVICE}",
            f"control={self._controls['group']}",
        )
        with trio.fail_after(START_TIMEOUT_S):
            while not await self._is_registered():
                await trio.sleep(0.05)
        await self.call("store", "put", key="op/config", data=CONFIG)
        for vm in self.vms:
            vm.start()
        for vm in self.vms:
            await vm.wait_ready()

    async def _is_registered(self):
        try:
            for name in INSTANCES:
                key = f"servers/{name}"
                if await self.call("store", "get", key=key) is None:
                    return False
            await self.call("duties", "list_orders")
            return True
        except exceptions.NetworkError:
            return False

    async def call(self, standin, method, **arguments):
        """Call a method of a stand-in's control interface."""
        return await serve.call(
            self._controls[standin], method, **arguments
        )

    async def find_primary(self):
        """Return the id of the running primary of the newest term."""
        roles = await self.call("group", "get_roles")
        leading = [
            (term, name)
            for name, (role, term) in roles.items()
            if role == "primary"
        ]
        return max(leading)[1] if leading else None

    async def list_executed(self):
        """Return the ids of the statements that instances ran; note them."""
        found = set()
        for name in INSTANCES:
            ids = await self.call("group", "list_executed", target=name)
            self.record.note("run at", name, ids)
            found.update(ids)
        return found

    def stop(self):
        """Kill all processes that were started, by their ids."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            self.record.show("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """A client of the wire protocol; one session at a time."""

    def __init__(self, vm, name, database="orders"):
        self._vm = vm
        self._name = name
        self._database = database
        self._count = 0
        self._data = b""
        self._stream = None

    @property
    def is_connected(self):
        """Whether the session is open."""
        return self._stream is not None

    async def connect(self):
        """Open a session; return whether the proxy accepted it."""
        host, _, port = self._vm.callers.rpartition(":")
        self._data = b""
        try:
            self._stream = await trio.open_tcp_stream(host, int(port))
            await self._send(f"STARTUP {self._database} key")
            line = await self._read_line()
        except (OSError, trio.BrokenResourceError):
            line = None
        if line != "READY I -":
            await self.close()
            return False
        return True

    async def query(self, text, timeout_s=10.0):
        """Run a statement.

        Returns
        -------
        tuple of str and list of str or None
            The id, and the answer's lines without READY; None if the
            connection ended or no answer came.
        """
        self._count += 1
        statement_id = f"{self._name}-{self._count}"
        lines = []
        try:
            with trio.fail_after(timeout_s):
                await self._send(f"QUERY {statement_id} {text}")
                while True:
                    line = await self._read_line()
                    if line is None:
                        break
                    if line.startswith("READY "):
                        return statement_id, lines
                    lines.append(line)
        except (OSError, trio.BrokenResourceError, trio.TooSlowError):
            pass
        await self.close()
        return statement_id, None

    async def close(self):
        """Close the connection."""
        stream, self._stream = self._stream, None
        if stream is not None:
            await trio.aclose_forcefully(stream)

    async def _send(self, text):
        await self._stream.send_all(text.encode() + b"\r\n")

    async def _read_line(self):
        while b"\r\n" not in self._data:
            data = await self._stream.receive_some(65_536)
            if not data:
                return None
            self._data += data
        line, _, self._data = self._data.partition(b"\r\n")
        return line.decode()


def is_success(lines):
    """Return whether an answer reports success."""
    return bool(lines) and lines[-1].startswith("COMPLETE ")


def run_case(folder, test, vm_count=6, group_fields=(), limit_s=110.0):
    """Run an async test of a fleet; exit with 0, 1 or 2.

    The test returns whether the rule held. `TROUBLE=0` in the environment
    leaves the disturbance out. `group_fields` go to `lib2.group`.
    """
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE") != "0"
    status = 2

    async def main():
        nonlocal status
        fleet = Fleet(record, vm_count, group_fields)
        try:
            with trio.fail_after(limit_s):
                await fleet.start()
                held = await test(fleet, has_trouble)
                status = 0 if held else 1
        finally:
            fleet.stop()

    try:
        trio.run(main)
    except Exception as error:
        record.show(f"the case could not run: {error!r}")
    sys.exit(status)
