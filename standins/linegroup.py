"""Model of a database group whose instances speak the line protocol.

Runs inside a trio program on loopback. Each `Instance` has slots, a
connection limit, a log by term and number, replication with a lag, and
the orders of the protocol. Faults are attributes: `is_silent`,
`is_deaf`, `lose_answers`, `is_down`, `refuse_reads`, `cut_from` (names
of instances that it cannot reach).
"""

import typing

import trio

from geraniumridge._internal.network import streams

END = b"\r\n"

STEP_DOWN_S = 1.0
"""How long a former primary goes on once it reaches the new one."""


class Commit(typing.NamedTuple):
    """One commit of the log."""

    term: int
    number: int
    writes: tuple


class Instance:
    """One instance of a group."""

    def __init__(self, group, name, address, domain):
        self.group = group
        self.name = name
        self.address = address
        self.domain = domain
        self.role = "replica"
        self.term = 1
        self.held_term = 0
        self.log = []
        self.applied = 0
        self.connections = 0
        self.max_connections = 20
        self.work_s = 0.001
        self.lag_s = 0.0
        self.is_silent = False
        self.is_deaf = False
        self.is_down = False
        self.cut_from = set()
        self.lose_answers = 0
        self.refuse_reads = None
        self.ran = []
        self.sessions = set()
        self._scope = None

    @property
    def received(self):
        """Position of the log's end, as term and number."""
        if not self.log:
            return (1, 0)
        return (self.log[-1].term, self.log[-1].number)

    @property
    def data(self):
        """Rows by item, as far as the log is applied."""
        rows = {}
        for commit in self.log[: self.applied]:
            rows.update(commit.writes)
        return rows

    async def start(self, nursery):
        """Listen for connections."""
        self._nursery = nursery
        self._scope = await streams.serve(nursery, self.address, self._serve)
        self.is_down = False

    def crash(self):
        """Refuse and break all connections."""
        self.is_down = True
        self._scope.cancel()
        for session in list(self.sessions):
            session.cancel()

    async def _serve(self, stream):
        scope = trio.CancelScope()
        self.sessions.add(scope)
        self.connections += 1
        try:
            with scope:
                await _Session(self, stream).run()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.connections -= 1
            self.sessions.discard(scope)
            await trio.aclose_forcefully(stream)

    def has(self, position):
        """Tell whether the applied log contains a position."""
        return any(
            (commit.term, commit.number) == position
            for commit in self.log[: self.applied]
        ) or position == (1, 0)

    async def commit(self, writes):
        """Append a commit; tells whether a replica received it."""
        term, number = self.term, self.received[1] + 1
        entry = Commit(term, number, tuple(writes.items()))
        self.log.append(entry)
        self.applied = len(self.log)
        return await self.group.replicate(self, entry)


class Group:
    """Instances that replicate to each other."""

    def __init__(self, name, sync_replicas=1):
        self.name = name
        self.sync_replicas = sync_replicas
        self.instances = {}

    def add(self, name, address, domain):
        """Add an instance; the first is primary of term 1."""
        made = Instance(self, name, address, domain)
        if not self.instances:
            made.role = "primary"
        self.instances[name] = made
        return made

    async def replicate(self, primary, entry):
        """Send a commit to the replicas; waits for the first."""
        received = 0
        for item in self.instances.values():
            if item is primary or item.role != "replica" or item.is_down:
                continue
            if item.is_deaf or item.held_term > primary.term:
                continue
            if item.name in primary.cut_from:
                continue
            item.term = max(item.term, primary.term)
            item.log = list(primary.log)
            received += 1
            self._apply_later(item)
        while received < self.sync_replicas:
            # Never acknowledged while too few replicas receive.
            await trio.sleep(3600)
        return True

    def _apply_later(self, item):
        if not item.lag_s:
            item.applied = len(item.log)
            return
        number = len(item.log)

        async def apply():
            await trio.sleep(item.lag_s)
            item.applied = max(item.applied, min(number, len(item.log)))

        item._nursery.start_soon(apply)

    async def rejoin(self, name):
        """End an instance's cut; it follows a newer primary by itself."""
        item = self.instances[name]
        item.cut_from = set()
        await trio.sleep(STEP_DOWN_S)
        newest = max(self.instances.values(), key=lambda item: item.term)
        if newest.role == "primary" and newest is not item:
            item.role = "replica"
            item.term = newest.term
            item.log = list(newest.log)
            item.applied = len(item.log)

    async def promote(self, name):
        """Make an instance lead the next term; False if it is down."""
        chosen = self.instances[name]
        if chosen.is_down:
            return False
        if chosen.role == "primary":
            return True
        await trio.sleep(0.05)
        chosen.role = "primary"
        chosen.term = max(item.term for item in self.instances.values()) + 1
        chosen.held_term = 0
        chosen.applied = len(chosen.log)
        return True

    def make_entry(self, item, state="ready"):
        """Return an instance's entry in the platform's store."""
        return {
            "service": self.name,
            "address": item.address,
            "zone": item.domain,
            "version": "v1",
            "capacity": 3,
            "state": state,
            "warmupLeftMs": 0,
            "dbRole": item.role,
            "seq": 1,
            "born": 1,
        }


class _Session:
    """One connection to an instance."""

    def __init__(self, instance, stream):
        self._instance = instance
        self._stream = stream
        self._data = b""
        self._values = {}
        self._prepared = {}
        self._state = "I"
        self._is_reader = False
        self._writes = {}

    async def run(self):
        line = await self._read_line()
        if line is None:
            return
        fields = line.split(" ")
        item = self._instance
        if fields[0] != "STARTUP" or fields[1] != item.group.name:
            return await self._send(f"ERROR WRONGNODE {item.name}")
        if len(fields) > 3 and fields[3] != item.name:
            return await self._send(f"ERROR WRONGNODE {item.name}")
        if item.connections > item.max_connections:
            return await self._send(f"ERROR CONNLIMIT {item.name}")
        self._team = fields[2]
        await self._send(self._format_ready())
        while True:
            line = await self._read_line()
            if line is None or line == "TERMINATE":
                return
            await self._answer(line)

    async def _answer(self, line):
        item = self._instance
        _, number, text = line.split(" ", 2)
        if item.is_silent:
            await trio.sleep_forever()
        lines = await self._execute(number, text)
        if item.lose_answers > 0 and number != "-":
            item.lose_answers -= 1
            raise trio.BrokenResourceError
        await self._send("\r\n".join([*lines, self._format_ready()]))

    async def _execute(self, number, text):
        item = self._instance
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            position, _, text = rest.partition(" ")
            term, _, at = position.partition(".")
            if not item.has((int(term), int(at))):
                return self._fail("LAGGING")
            word, _, rest = text.partition(" ")
        handler = getattr(self, f"_do_{word.lower()}")
        return await handler(number, rest)

    def _fail(self, code):
        if self._state == "T":
            self._state = "E"
        return [f"ERROR {code} {self._instance.name}"]

    def _done(self, number, *rows):
        item = self._instance
        item.ran.append((number, self._team, dict(self._values), rows))
        return [*(f"ROW {row}" for row in rows), f"COMPLETE d.{number}"]

    async def _do_begin(self, number, rest):
        if rest != "READ" and self._instance.role != "primary":
            return self._fail("READONLY")
        self._state = "T"
        self._is_reader = rest == "READ"
        self._writes = {}
        return ["COMPLETE -"]

    async def _do_commit(self, number, rest):
        if self._state == "E":
            self._state = "I"
            return [f"ERROR ABORTED {self._instance.name}"]
        writes, self._writes = self._writes, {}
        if writes and self._instance.role != "primary":
            return self._fail("READONLY")
        self._state = "I"
        if writes:
            await self._instance.commit(writes)
        return self._done(number)

    async def _do_rollback(self, number, rest):
        self._state = "I"
        self._writes = {}
        return ["COMPLETE -"]

    async def _do_read(self, number, rest):
        item = self._instance
        if item.refuse_reads:
            return self._fail(item.refuse_reads)
        await trio.sleep(item.work_s)
        row = {**item.data, **self._writes}.get(rest, "none")
        return self._done(number, row)

    async def _do_write(self, number, rest):
        name, _, data = rest.partition(" ")
        if self._instance.role != "primary":
            return self._fail("READONLY")
        await trio.sleep(self._instance.work_s)
        if self._state == "T":
            self._writes[name] = data
        else:
            await self._instance.commit({name: data})
        return self._done(number)

    async def _do_set(self, number, rest):
        name, _, value = rest.partition(" ")
        self._values[name] = value
        return ["COMPLETE -"]

    async def _do_prepare(self, number, rest):
        name, kind, shape = rest.split(" ", 2)
        self._prepared[name] = (kind, shape)
        return ["COMPLETE -"]

    async def _do_dealloc(self, number, rest):
        self._prepared.pop(rest, None)
        return ["COMPLETE -"]

    async def _do_execute(self, number, rest):
        name, _, rest = rest.partition(" ")
        if name not in self._prepared:
            return self._fail("NOSTMT")
        kind = self._prepared[name][0]
        if kind == "READ":
            return await self._do_read(number, rest)
        return await self._do_write(number, rest)

    async def _do_reset(self, number, rest):
        self._values.clear()
        self._prepared.clear()
        return ["COMPLETE -"]

    async def _do_status(self, number, rest):
        item = self._instance
        term, at = item.received
        return [
            f"ROW {item.role} {item.term} {term}.{at} {item.held_term}"
            f" 0 0 {item.connections}",
            "COMPLETE -",
        ]

    async def _do_pause(self, number, rest):
        if self._instance.role == "replica":
            self._instance.held_term = int(rest)
        return await self._do_status(number, rest)

    async def _do_resume(self, number, rest):
        self._instance.held_term = 0
        return await self._do_status(number, rest)

    async def _do_stepdown(self, number, rest):
        if self._instance.term < int(rest):
            self._instance.role = "replica"
        return await self._do_status(number, rest)

    def _format_ready(self):
        item = self._instance
        number = item.log[item.applied - 1] if item.applied else (1, 0)
        return f"READY {self._state} {number[0]}.{number[1]}"

    async def _send(self, text):
        await self._stream.send_all(text.encode() + END)

    async def _read_line(self):
        while END not in self._data:
            data = await self._stream.receive_some(4096)
            if not data:
                return None
            self._data += data
        line, _, self._data = self._data.partition(END)
        return line.decode()
