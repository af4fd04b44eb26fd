"""Stand-ins of the platform, the instances and the clients for review cases.

Standard library only; one asyncio program. The proxies are the project's own,
started as processes with the command of the deploy file. Times are those of
the steady clock of this program, in seconds from its start.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HISTORY_S = 20.0
HEARTBEAT_S = 1.2
_began = time.monotonic()


def now():
    """Return the seconds since the start."""
    return time.monotonic() - _began


class Record:
    """Lines of what was sent, answered and run, kept until the end."""

    def __init__(self):
        self.lines = []

    def note(self, *words):
        self.lines.append(f"{now():9.4f} " + " ".join(map(str, words)))

    def say(self, *words):
        """Note something that is shown on the terminal, too."""
        self.note(*words)
        print(self.lines[-1], flush=True)

    def write(self, path):
        path.write_text("\n".join(self.lines) + "\n")


_given_ports = set()


def find_port():
    """Return a loopback port that is free for TCP and UDP."""
    while True:
        # Below the ports that the system gives to outgoing connections.
        port = random.randrange(12_000, 32_000)
        if port in _given_ports:
            continue
        with socket.socket() as tcp, socket.socket(
            socket.AF_INET, socket.SOCK_DGRAM
        ) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given_ports.add(port)
        return port


async def read_request(reader):
    """Return method, path, headers and body, or None at the end."""
    line = await reader.readline()
    if not line.strip():
        return None
    method, path, _ = line.decode().split(" ", 2)
    headers = {}
    while True:
        line = (await reader.readline()).decode().strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, path, headers, body


def format_response(status, data, headers=""):
    body = json.dumps(data).encode()
    return (
        f"HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\n{headers}"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class Store:
    """The platform's store; each machine has an address of its own for it.

    `silent` are the machines that get no answer; nothing of theirs is done.
    """

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.revision = 100
        self.history = []
        self.leases = {}
        self.silent = set()
        self.era = 1
        self.is_away = False
        self._oldest = self.revision
        self._next_lease = 7000
        self._changed = asyncio.Event()

    async def serve(self, machine, port):
        async def handle(reader, writer):
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while True:
                    request = await read_request(reader)
                    if request is None:
                        break
                    if machine in self.silent:
                        await reader.read()
                        break
                    if self.is_away:
                        break
                    era = self.era
                    status, data = await self._answer(machine, request)
                    if machine in self.silent:
                        await reader.read()
                        break
                    if self.is_away or era != self.era:
                        break
                    header = f"Store-Era: {self.era}\r\n"
                    writer.write(format_response(status, data, header))
                    await writer.drain()
            writer.close()

        await asyncio.start_server(handle, "127.0.0.1", port)

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            for lease, (_, ends_at) in list(self.leases.items()):
                if now() >= ends_at:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                self.delete(key)

    def copy(self):
        """Return a copy of what the store holds now."""
        self.record.say("copy of the store at revision", self.revision)
        return dict(self.items), dict(self.leases), self.revision

    async def restore(self, copy, away_s):
        """Be away for a moment, then come back from a copy.

        What the operator and the instances have written since is written
        again at once.
        """
        self.record.say("store away at revision", self.revision)
        self.is_away = True
        self._note({"key": "-", "rev": -1})
        await asyncio.sleep(away_s)
        written = {
            key: item["value"]
            for key, item in self.items.items()
            if key.startswith(("op/", "servers/"))
        }
        items, leases, revision = copy
        self.items = dict(items)
        self.leases = {
            lease: (ttl_s, now() + ttl_s) for lease, (ttl_s, _) in leases.items()
        }
        self.revision = self._oldest = revision
        self.history = []
        self.era += 1
        self.is_away = False
        for key in list(self.items):
            if key.startswith(("op/", "servers/")) and key not in written:
                self.delete(key)
        for key, value in written.items():
            self.put(key, base64.b64decode(value))
        self.record.say("store back from the copy, revision", self.revision)

    def put(self, key, data, lease=0):
        """Write a key; return its revision."""
        value = data if isinstance(data, bytes) else json.dumps(data).encode()
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.revision,
            "createRev": known["createRev"] if known else self.revision,
            "lease": lease,
        }
        self._note(self.items[key])
        return self.revision

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "rev": self.revision, "tombstone": True})

    def get(self, key):
        item = self.items.get(key)
        return item and json.loads(base64.b64decode(item["value"]))

    def _note(self, event):
        self.history.append((now(), event))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _list_events(self, prefix, after):
        return [
            event
            for _, event in self.history
            if event["rev"] > after and event["key"].startswith(prefix)
        ]

    async def _answer(self, machine, request):
        method, target, _, body = request
        await asyncio.sleep(0.004)
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        data = json.loads(body) if body else {}
        if path == "/-/kv-watch":
            return await self._watch(fields)
        if path == "/-/kv-key":
            item = self.items.get(fields["key"])
            return (200 if item else 404), {**(item or {}), "asOf": self.revision}
        if path == "/-/kv-range":
            keys = sorted(
                key
                for key in self.items
                if key.startswith(fields.get("prefix", ""))
                and key > fields.get("after", "")
            )
            return 200, {
                "items": [self.items[key] for key in keys[:500]],
                "truncated": len(keys) > 500,
                "asOf": self.revision,
            }
        if path == "/-/kv-txn":
            return self._commit(machine, data)
        if path == "/-/kv-lease":
            self._next_lease += 1
            ttl_s = data["ttlMs"] / 1000
            self.leases[self._next_lease] = (ttl_s, now() + ttl_s)
            return 200, {"lease": self._next_lease, "ttlMs": data["ttlMs"]}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/-/kv-keep/"):
            ttl_s = self.leases[lease][0]
            self.leases[lease] = (ttl_s, now() + ttl_s)
            return 200, {"ttlMs": int(ttl_s * 1000)}
        self._end_lease(lease)
        return 200, {}

    def _commit(self, machine, data):
        for row in data["expected"]:
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                return 412, {"items": []}
        for write in data["writes"]:
            if write.get("lease") and write["lease"] not in self.leases:
                return 404, {}
        for write in data["writes"]:
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write.get("lease", 0))
            self.record.note("store", machine, "wrote", write["key"], value.decode())
        for key in data.get("deletes", ()):
            self.delete(key)
            self.record.note("store", machine, "deleted", key)
        return 200, {"rev": self.revision}

    async def _watch(self, fields):
        after, prefix = int(fields["after"]), fields.get("prefix", "")
        if not self._oldest <= after <= self.revision:
            return 410, {}
        ends_at = now() + int(fields["waitMs"]) / 1000
        era = self.era
        while not self._list_events(prefix, after) and now() < ends_at:
            if self.is_away or era != self.era:
                return 410, {}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(
                    self._changed.wait(), max(0.001, ends_at - now())
                )
        return 200, {
            "events": self._list_events(prefix, after),
            "asOf": self.revision,
        }


class Instance:
    """One instance of a service; its log is a list of (term, number, rows)."""

    def __init__(self, group, name, zone):
        self.group = group
        self.name = name
        self.zone = zone
        self.port = find_port()
        self.role = "replica"
        self.term = 1
        self.paused = 0
        self.received = [(0.0, 0)]
        self.log = []
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.slots = asyncio.Semaphore(group.slots)
        self.connections = 0
        self.busy = 0

    @property
    def log(self):
        return self._log

    @log.setter
    def log(self, log):
        """Set the log; a replica applies it `lag_s` later."""
        self._log = log
        if len(log) != self.received[-1][1]:
            self.received = [*self.received[-500:], (now(), len(log))]

    @property
    def applied(self):
        """The applied part of the log."""
        if self.role == "primary" or not self.group.lag_s:
            return self.log
        until = now() - self.group.lag_s
        count = next((n for at, n in reversed(self.received) if at <= until), 0)
        return self.log[:count]

    @property
    def applied_position(self):
        applied = self.applied
        return f"{applied[-1][0]}.{applied[-1][1]}" if applied else "1.0"

    @property
    def position(self):
        return f"{self.log[-1][0]}.{self.log[-1][1]}" if self.log else f"{self.term}.0"

    def make_entry(self):
        return {
            "service": self.group.name,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "capacity": self.group.slots,
            "state": self.state,
            "warmupLeftMs": 0,
            "dbRole": self.role,
            "seq": 1,
            "born": self.born,
        }

    def step_down(self):
        """Become a replica, which has applied what it has."""
        self.role = "replica"
        self.received = [(0.0, len(self.log))]

    async def start(self):
        await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            await _InstanceSession(self, reader, writer).run()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections -= 1
            writer.close()


class _InstanceSession:
    def __init__(self, instance, reader, writer):
        self.instance = instance
        self.reader = reader
        self.writer = writer
        self.state = "I"
        self.writes = []

    async def run(self):
        instance = self.instance
        line = await self._read()
        if line is None:
            return
        _, service, self.team, *rest = line.split(" ")
        if service != instance.group.name or rest[:1] not in ([], [instance.name]):
            return await self._send(f"ERROR WRONGNODE {instance.name}")
        if instance.connections > instance.group.max_conns:
            return await self._send(f"ERROR CONNLIMIT {instance.name}")
        async with instance.slots:
            await asyncio.sleep(0.012)
        await self._send(f"READY I {instance.position}")
        while True:
            line = await self._read()
            if line is None or line == "TERMINATE":
                return
            _, statement_id, text = line.split(" ", 2)
            answer = await self._run(statement_id, text)
            await self._send(*answer, f"READY {self.state} {instance.applied_position}")

    async def _read(self):
        line = await self.reader.readline()
        return line.decode().rstrip("\r\n") if line else None

    async def _send(self, *lines):
        self.writer.write("".join(f"{line}\r\n" for line in lines).encode())
        await self.writer.drain()

    def _fail(self, code):
        if self.state == "T":
            self.state = "E"
        return [f"ERROR {code} {self.instance.name}"]

    async def _run(self, statement_id, text):
        instance = self.instance
        command, _, rest = text.partition(" ")
        if command == "AFTER":
            position, _, text = rest.partition(" ")
            if not instance.has(position):
                return self._fail("LAGGING")
            command, _, rest = text.partition(" ")
        if command in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self._control(command, rest)
        if command == "RESET" or command in ("SET", "PREPARE", "DEALLOC"):
            return ["COMPLETE -"]
        if command == "BEGIN":
            if rest != "READ" and instance.role != "primary":
                return self._fail("READONLY")
            self.state, self.writes = "T", []
            return ["COMPLETE -"]
        if command == "ROLLBACK":
            self.state, self.writes = "I", []
            return ["COMPLETE -"]
        instance.group.record.note(
            "arrive", instance.name, self.team, statement_id, text
        )
        instance.group.arrivals.append((now(), statement_id, instance.name, self.team))
        instance.busy += 1
        async with instance.slots:
            await asyncio.sleep(instance.group.work_s)
        instance.busy -= 1
        if command == "READ":
            group = instance.group
            group.reads.append((statement_id, instance.name, len(instance.applied)))
            return [f"ROW v-{rest}", f"COMPLETE d.{statement_id}.{instance.name}"]
        if instance.role != "primary":
            return self._fail("READONLY")
        if command == "WRITE":
            if self.state == "T":
                self.writes.append(rest)
            else:
                await instance.group.commit(instance, statement_id, [rest])
        elif command == "COMMIT":
            if self.state == "E":
                self.state = "I"
                return [f"ERROR ABORTED {instance.name}"]
            writes, self.writes, self.state = self.writes, [], "I"
            if writes:
                await instance.group.commit(instance, statement_id, writes)
        return [f"COMPLETE d.{statement_id}.{instance.name}"]

    def _control(self, command, rest):
        instance = self.instance
        if command == "PAUSE" and instance.role == "replica":
            instance.paused = int(rest)
        elif command == "RESUME":
            instance.paused = 0
            instance.group.catch_up(instance)
        elif command == "STEPDOWN" and int(rest) > instance.term:
            if instance.role == "primary":
                instance.step_down()
                instance.group.catch_up(instance)
        return [
            f"ROW {instance.role} {instance.term} {instance.position}"
            f" {instance.paused} 0 {instance.busy} {instance.connections}",
            "COMPLETE -",
        ]


def _has(self, position):
    term, _, number = position.partition(".")
    pair = (int(term), int(number))
    return pair[1] == 0 or any((t, n) == pair for t, n, _ in self.applied)


Instance.has = _has


class Group:
    """A service: instances, replication, promotion."""

    def __init__(self, record, name, zones, slots=3, max_conns=32, work_s=0.003):
        self.record = record
        self.name = name
        self.slots = slots
        self.max_conns = max_conns
        self.work_s = work_s
        self.promote_s = 0.3
        self.lag_s = 0.0
        self.arrivals = []
        self.reads = []
        self.commits = []
        self.instances = {}
        for number, zone in enumerate(zones):
            item = Instance(self, f"i-{name}-{number}", zone)
            self.instances[item.name] = item
        next(iter(self.instances.values())).role = "primary"

    def newest_primary(self):
        return max(
            (i for i in self.instances.values() if i.role == "primary"),
            key=lambda i: i.term,
        )

    async def commit(self, primary, statement_id, rows):
        """Append a commit; return once one replica has received it."""
        number = primary.log[-1][1] + 1 if primary.log else 1
        entry = (primary.term, number, (statement_id, tuple(rows)))
        primary.log.append(entry)
        self.record.note("commit", primary.name, f"{primary.term}.{number}", statement_id)
        while True:
            received = 0
            for item in self.instances.values():
                if item is not primary and self.receives(item, primary):
                    item.log = list(primary.log)
                    received += 1
            if received:
                self.commits.append((now(), statement_id, primary.name, primary.term))
                return
            await asyncio.sleep(0.02)

    def receives(self, replica, primary):
        if replica.role != "replica" or replica.term > primary.term:
            return False
        if replica.paused > primary.term:
            return False
        replica.term = primary.term
        return True

    def catch_up(self, replica):
        primary = self.newest_primary()
        if replica is not primary and self.receives(replica, primary):
            replica.log = list(primary.log)

    async def promote(self, name):
        chosen = self.instances[name]
        if chosen is self.newest_primary():
            return
        old = self.newest_primary()
        await asyncio.sleep(self.promote_s)
        chosen.role = "primary"
        chosen.term = max(i.term for i in self.instances.values()) + 1
        self.record.say("promoted", name, "term", chosen.term, "log end", chosen.position)
        for item in self.instances.values():
            item.paused = 0
        asyncio.get_running_loop().call_later(1.0, self._step_down, old, chosen)
        for item in self.instances.values():
            if item is not old:
                self.catch_up(item)

    def _step_down(self, old, chosen):
        if old.role == "primary" and old.term < chosen.term:
            old.step_down()
            self.catch_up(old)

    async def keep_registered(self, store, heartbeat_s=HEARTBEAT_S):
        while True:
            for item in self.instances.values():
                known = store.get(f"servers/{item.name}")
                entry = item.make_entry()
                if known:
                    entry["seq"] = known["seq"] + 1
                store.put(f"servers/{item.name}", entry)
            await asyncio.sleep(heartbeat_s)


class Duties:
    """The platform's API for promotions; one address for each machine."""

    def __init__(self, record, groups):
        self.record = record
        self.groups = {group.name: group for group in groups}
        self.calls = []

    async def serve(self, machine, port):
        async def handle(reader, writer):
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while (request := await read_request(reader)) is not None:
                    status = await self.carry_out(request)
                    writer.write(format_response(status, {}))
                    await writer.drain()
            writer.close()

        await asyncio.start_server(handle, "127.0.0.1", port)

    async def carry_out(self, request):
        _, _, headers, body = request
        data = json.loads(body)
        holder = headers["x-geraniumridge-lease-holder"]
        fence = int(headers["x-geraniumridge-fencing-token"])
        self.calls.append((now(), holder, fence, data["service"], data["id"]))
        self.record.say("promote call", holder, "fence", fence, data["service"], data["id"])
        refused = await self.groups[data["service"]].promote(data["id"])
        return refused or 200


SETTINGS = """
[vm]
name = "{name}"
domain = "{zone}"
ip = "127.0.0.1"

[listen]
callers = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
metrics = "127.0.0.1:{metrics}"
first_peer_port = {peer}
last_peer_port = {peer}

[platform]
store = "127.0.0.1:{store}"
duties = "127.0.0.1:{duties}"
least_lease_ms = 1000

[bounds]
stop_grace_s = 6
withdrawal_ms = 5000
departure_ms = 7000
limit_slack = 20

[callers]
memory_mb = 300
max_descriptors = 4300

[regions]
"""


def read_command():
    """Return the command of the deploy file's role."""
    text = (ROOT / "deploy" / "system.toml").read_text()
    return re.search(r'^run = "(.*)"$', text, re.M).group(1).split(" ")


class Machine:
    """One machine that runs the proxy as a process."""

    def __init__(self, world, name, zone, regions):
        self.world = world
        self.name = name
        self.zone = zone
        self.ports = {
            part: find_port()
            for part in ("front", "ready", "metrics", "peer", "store", "duties")
        }
        text = SETTINGS.format(name=name, zone=zone, **self.ports)
        text += "".join(f'{z} = "{r}"\n' for z, r in regions.items())
        self.settings = world.folder / f"{name}.toml"
        self.settings.write_text(text)
        self.process = None
        self.starts = 0

    async def prepare(self):
        await self.world.store.serve(self.name, self.ports["store"])
        await self.world.duties.serve(self.name, self.ports["duties"])

    async def start(self):
        self.starts += 1
        log = open(self.world.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *read_command(),
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": str(self.world.folder),
                "LANG": "C.UTF-8",
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "GERANIUMRIDGE_BOOT": str(self.settings),
            },
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.world.record.say("started", self.name, "pid", self.process.pid)

    def send_signal(self, number):
        self.world.record.say("signal", signal.Signals(number).name, "to", self.name)
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.ports["ready"]
            )
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, timeout_s=15.0):
        ends_at = now() + timeout_s
        while not await self.is_ready():
            if now() > ends_at:
                raise CannotRun(f"{self.name} is not ready")
            await asyncio.sleep(0.1)


class CannotRun(Exception):
    """The case could not be played."""


class Client:
    """One client connection."""

    def __init__(self, world, machine, database, key):
        self.world = world
        self.machine = machine
        self.database = database
        self.key = key
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.machine.ports["front"]
        )
        line = await self._roundtrip(f"STARTUP {self.database} {self.key}")
        return line

    async def _roundtrip(self, text):
        self.writer.write(f"{text}\r\n".encode())
        line = await self.reader.readline()
        return line.decode().rstrip("\r\n")

    async def query(self, text, timeout_s=10.0):
        """Run a statement; return its id and the first line that ends it."""
        statement_id = self.world.next_id()
        self.world.sent[statement_id] = now()
        self.world.record.note("sent", self.machine.name, statement_id, text)
        try:
            end = await asyncio.wait_for(
                self._roundtrip(f"QUERY {statement_id} {text}"), timeout_s
            )
            while end.startswith("ROW "):
                end = (await self.reader.readline()).decode().rstrip("\r\n")
            ready = (await self.reader.readline()).decode() if end else ""
        except (ConnectionError, asyncio.IncompleteReadError):
            end = ready = ""
        if not ready:
            end = "CLOSED"
        self.world.answers[statement_id] = (now(), end)
        self.world.record.note("answer", self.machine.name, statement_id, end)
        return statement_id, end

    def close(self):
        if self.writer is not None:
            self.writer.close()


class World:
    """Everything of one run."""

    def __init__(self, zones, services, config, max_conns=32, **group_options):
        self.record = Record()
        self._temporary = tempfile.TemporaryDirectory(prefix="geraniumridge-case-")
        self.folder = pathlib.Path(self._temporary.name)
        self.store = Store(self.record)
        self.groups = [
            Group(self.record, name, zones, max_conns=max_conns, **group_options)
            for name in services
        ]
        self.duties = Duties(self.record, self.groups)
        self.zones = zones
        self.machines = {}
        self.sent = {}
        self.answers = {}
        self.tasks = []
        self.config = config
        self._id = 0

    def next_id(self):
        self._id += 1
        return f"q{self._id:07x}"

    def run_task(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.append(task)
        return task

    async def start(self, machines):
        """Start stand-ins, then the machines given as (name, zone)."""
        if not (ROOT / "target" / "deps" / "trio").is_dir():
            raise CannotRun("target/deps is missing: build the deploy file")
        self.run_task(self.store.expire_leases())
        for group in self.groups:
            for instance in group.instances.values():
                await instance.start()
            self.run_task(group.keep_registered(self.store))
        self.store.put("op/config", self.config)
        for name, zone in machines:
            await self.add(name, zone)
        for machine in self.machines.values():
            await machine.start()
        for machine in self.machines.values():
            await machine.wait_ready()

    async def add(self, name, zone):
        """Add a machine without starting it."""
        machine = Machine(self, name, zone, {z: "region-1" for z in self.zones})
        self.machines[name] = machine
        await machine.prepare()
        return machine

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for machine in self.machines.values():
            process = machine.process
            if process is not None and process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()

    def list_logs(self, name):
        """Return the log lines of a machine, decoded where they are JSON."""
        found = []
        path = self.folder / f"{name}.log"
        for line in path.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
                continue
            found.append({"text": line})
        return found


def make_config(version, databases, tenants, max_conns=32, **limits):
    """Return a desired state.

    `databases` maps a database to its type and service, `tenants` a tenant to
    its key, rate and burst.
    """
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{database}",
                "host": database,
                "prefix": "/",
                "type": kind,
                "timeoutMs": 1000,
                "targetLatencyMs": 400,
                "priority": 1,
                "service": service,
                "attempts": 2,
                "maxStalenessMs": 1500,
                "public": False,
            }
            for database, (kind, service) in databases.items()
        ],
        "services": [
            {
                "name": service,
                "healthPath": "/health",
                "maxConns": max_conns,
                "warmupS": 0.0,
                "warmupPerS": 0.0,
                "syncReplicas": 1,
            }
            for service in sorted({s for _, s in databases.values()})
        ],
        "limits": {"txIdleMs": 3000, **limits},
        "tenants": [
            {
                "name": tenant,
                "apiKeys": [key],
                "priority": 1,
                "ratePerS": rate,
                "burst": burst,
            }
            for tenant, (key, rate, burst) in tenants.items()
        ],
    }


def run_case(folder, play, has_trouble=None):
    """Play a case; exit with 1 if the rule was broken, 0 if not, else 2.

    `play` is an async function of the folder and whether there is trouble; it
    returns the world and the list of what broke the rule.
    """
    if has_trouble is None:
        has_trouble = os.environ.get("TROUBLE", "1") != "0"
    holder = {}

    async def main():
        try:
            return await asyncio.wait_for(play(holder, has_trouble), 110)
        finally:
            # Connections that are open at the end are no error.
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda *_: None)
            if "world" in holder:
                await holder["world"].stop()

    status = 2
    try:
        broken = asyncio.run(main())
        status = 1 if broken else 0
    except Exception as error:
        print(f"cannot run: {error!r}", flush=True)
        if not isinstance(error, CannotRun):
            import traceback

            traceback.print_exc()
    finally:
        if "world" in holder:
            record = holder["world"].record
            record.say("trouble" if has_trouble else "no trouble", "result", status)
            record.write(pathlib.Path(folder) / "record.txt")
            holder["world"]._temporary.cleanup()
    sys.exit(status)
