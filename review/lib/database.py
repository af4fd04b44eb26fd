"""Stand-in for the database instances of one service.

One primary and two replicas, as `PROTOCOL.md` describes them: a commit is
acknowledged once `sync_replicas` replicas have received it, replicas receive
it over the network and apply it later, and only `promote` changes the
primary. A replica accepts the log of the newest term that it knows.
"""

import asyncio
import time

NETWORK_S = 0.0005
"""One way between zones."""

APPLY_LAG_S = 0.02
"""How far replicas apply behind, on average."""

CONNECT_S = 0.012
WORK_S = 0.008
STEP_DOWN_S = 1.0


class Commit:
    """One commit; `id` is that of the statement that committed it."""

    def __init__(self, term, number, statement_id, writes):
        self.term = term
        self.number = number
        self.id = statement_id
        self.writes = writes

    @property
    def position(self):
        return (self.term, self.number)


class Group:
    """The instances of a service.

    `large_results` holds the rows of items whose results are large,
    `ran_for` by statement who it ran for.
    """

    def __init__(self, record, store, name, sync_replicas=1, slots=3):
        self._record = record
        self.store = store
        self.name = name
        self.sync_replicas = sync_replicas
        self.slots = slots
        self.instances = {}
        self.large_results = {}
        self.ran_for = {}

    def add(self, name, host, port, zone):
        instance = Instance(self, self._record, name, host, port, zone)
        if not self.instances:
            instance.role = "primary"
        self.instances[name] = instance
        return instance

    def find_leader(self):
        """Return the instance that leads the newest term."""
        return max(
            (i for i in self.instances.values() if i.role == "primary"),
            key=lambda item: item.term,
            default=None,
        )

    def promote(self, name):
        """Let an instance lead the next term with what it has received."""
        chosen = self.instances[name]
        if chosen.role == "primary" and chosen is self.find_leader():
            return
        term = max(item.term for item in self.instances.values()) + 1
        chosen.term = term
        chosen.role = "primary"
        chosen.paused_term = 0
        chosen.applied = len(chosen.log)
        self._record.note(
            f"promoted {name} term {term} at {chosen.format_position()}"
        )
        chosen.publish()
        chosen.wake()


class Instance:
    """One instance.

    `is_deaf` is whether it receives nothing of the log, `is_dark` whether
    it is silent, `is_running` whether its process runs.
    """

    def __init__(self, group, record, name, host, port, zone):
        self.group = group
        self._record = record
        self.name = name
        self.host, self.port, self.zone = host, port, zone
        self.role = "replica"
        self.term = 1
        self.paused_term = 0
        self.log = []
        self.applied = 0
        self.is_deaf = False
        self.is_dark = False
        self.is_running = False
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.received_by = {}
        self.run = 0
        self._changed = asyncio.Event()
        self._lit = asyncio.Event()
        self._lit.set()
        self._tasks = []
        self._writers = set()
        self.free_slots = None
        self._server = None

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    def get_position(self, count=None):
        count = len(self.log) if count is None else count
        return self.log[count - 1].position if count else (1, 0)

    def format_position(self, count=None):
        return "%d.%d" % self.get_position(count)

    async def start(self):
        """Start the process."""
        self.is_running = True
        self.run += 1
        self.free_slots = asyncio.Semaphore(self.group.slots)
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=2**21
        )
        self._tasks = [
            asyncio.ensure_future(self._beat(self.run)),
            asyncio.ensure_future(self._apply(self.run)),
            asyncio.ensure_future(self._follow(self.run)),
        ]
        self._tasks += [
            asyncio.ensure_future(self._ship(name, self.run))
            for name in self.group.instances
            if name != self.name
        ]

    def crash(self):
        """End the process at once."""
        self.is_running = False
        self.run += 1
        self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        self._record.note(
            f"crash {self.name} {self.role} at {self.format_position()}"
        )

    async def restart(self, keeps_log):
        """Start again under the same id.

        A primary comes back with its log; else the instance holds nothing.
        """
        if not keeps_log:
            self.log = []
            self.term = 1
            self.role = "replica"
        self.applied = len(self.log)
        self.paused_term = 0
        self.is_dark = False
        self._lit.set()
        self.received_by = {}
        self.born = int(time.time() * 1000)
        self.seq = 0
        leader = self.group.find_leader()
        if leader is not None and leader is not self:
            self.role = "replica"
        await self.start()
        self._record.note(
            f"restart {self.name} {self.role} at {self.format_position()}"
        )

    def darken(self, is_dark):
        """Fall silent, or answer again; nothing is lost."""
        self.is_dark = is_dark
        if is_dark:
            self._lit.clear()
        else:
            self._lit.set()
            self.wake()
        self._record.note(f"{'dark' if is_dark else 'lit'} {self.name}")

    def drain(self):
        """Report a planned shutdown; it goes on serving."""
        self.state = "draining"
        self._record.note(f"draining {self.name}")
        self.publish()

    def wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def publish(self):
        """Write the entry in the store."""
        self.seq += 1
        self.group.store.put(
            f"servers/{self.name}",
            {
                "service": self.group.name,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "capacity": self.group.slots,
                "state": self.state,
                "warmupLeftMs": 0,
                "dbRole": self.role,
                "seq": self.seq,
                "born": self.born,
            },
        )

    async def _beat(self, run):
        while self.run == run:
            if not self.is_dark:
                self.publish()
            await asyncio.sleep(1.2)

    async def _apply(self, run):
        while self.run == run:
            if self.role == "primary":
                self.applied = len(self.log)
            elif self.applied < len(self.log):
                count = len(self.log)
                await asyncio.sleep(APPLY_LAG_S)
                self.applied = max(self.applied, min(count, len(self.log)))
                continue
            await self._wait_change(0.02)

    async def _wait_change(self, timeout_s):
        try:
            await asyncio.wait_for(self._changed.wait(), timeout_s)
        except asyncio.TimeoutError:
            pass

    async def _ship(self, name, run):
        """Send the log to another instance while this one is primary."""
        while self.run == run:
            await self._wait_change(0.05)
            replica = self.group.instances[name]
            if self.role != "primary" or self.is_dark:
                continue
            entries, term = list(self.log), self.term
            await asyncio.sleep(NETWORK_S)
            if self.run != run or not replica.receive(self, entries, term):
                continue
            await asyncio.sleep(NETWORK_S)
            if self.run == run and not self.is_dark and self.term == term:
                self.received_by[name] = len(entries)
                self.wake()

    def receive(self, sender, entries, term):
        """Take the log of a primary; return whether it was accepted."""
        is_reachable = self.is_running and not self.is_dark
        if not is_reachable or self.is_deaf or sender.is_dark:
            return False
        if self.role != "replica" or term < self.term:
            return False
        if self.paused_term > term:
            return False
        if term > self.term:
            self.paused_term = 0
        self.term = term
        shared = 0
        for own, other in zip(self.log, entries):
            if own is not other:
                break
            shared += 1
        if shared < len(self.log):
            self._record.note(
                f"{self.name} rolled back from {self.format_position()}"
                f" to {self.format_position(shared)}"
            )
        self.log = entries
        self.applied = min(self.applied, shared)
        self.wake()
        return True

    async def _follow(self, run):
        """As an old primary, step down a second after a new one leads."""
        while self.run == run:
            await asyncio.sleep(0.01)
            leader = self.group.find_leader()
            if self.role != "primary" or leader is self or leader is None:
                continue
            if self.is_dark or not leader.is_running or leader.is_dark:
                continue
            await asyncio.sleep(STEP_DOWN_S)
            if self.run == run:
                self.demote(leader.term)

    def demote(self, term):
        if self.role == "primary" and self.term < term:
            self.role = "replica"
            self._record.note(f"{self.name} steps down")
            self.publish()
            self.wake()

    async def commit(self, statement_id, writes):
        """Commit; return whether it is acknowledged."""
        term, run = self.term, self.run
        number = self.get_position()[1] + 1
        entry = Commit(term, number, statement_id, writes)
        self.log.append(entry)
        count = len(self.log)
        self.wake()
        while True:
            is_same_run = self.run == run and self.term == term
            if not is_same_run or self.role != "primary":
                return False
            holders = sum(n >= count for n in self.received_by.values())
            if holders >= self.group.sync_replicas:
                return True
            await self._wait_change(0.05)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await _Connection(self, self._record, reader, writer).run()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def wait_lit(self):
        while self.is_dark:
            await self._lit.wait()


class _Connection:
    """One connection; a close rolls its transaction back."""

    def __init__(self, instance, record, reader, writer):
        self._instance = instance
        self._record = record
        self._reader = reader
        self._writer = writer
        self._state = "I"
        self._is_read_only = False
        self._writes = []
        self._values = {}
        self._prepared = {}

    async def run(self):
        instance = self._instance
        line = await self._read_line()
        _, service, self._who, *wanted = line.split(" ")
        if service != instance.group.name or wanted not in (
            [],
            [instance.name],
        ):
            await self._send([f"ERROR WRONGNODE {instance.name}"])
            return
        await asyncio.sleep(CONNECT_S)
        await self._send([self._format_ready()])
        while True:
            line = await self._read_line()
            if line == "TERMINATE":
                return
            _, statement_id, text = line.split(" ", 2)
            lines = await self._execute(statement_id, text)
            if lines is None:
                return
            await self._send([*lines, self._format_ready()])

    async def _read_line(self):
        line = await self._reader.readuntil(b"\r\n")
        await self._instance.wait_lit()
        return line[:-2].decode()

    async def _send(self, lines):
        await self._instance.wait_lit()
        self._writer.write("".join(f"{line}\r\n" for line in lines).encode())
        await self._writer.drain()

    def _format_ready(self):
        instance = self._instance
        position = instance.format_position(instance.applied)
        return f"READY {self._state} {position}"

    def _refuse(self, code):
        if self._state == "T":
            self._state = "E"
        return [f"ERROR {code} {self._instance.name}"]

    async def _execute(self, statement_id, text):
        instance = self._instance
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            position, _, text = rest.partition(" ")
            term, _, number = position.partition(".")
            wanted = (int(term), int(number))
            if instance.get_position(instance.applied) < wanted:
                return self._refuse("LAGGING")
            word, _, rest = text.partition(" ")
        if word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self._control(word, rest)
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self._prepared:
                return self._refuse("NOSTMT")
            word = self._prepared[name]
        if word in ("READ", "WRITE", "COMMIT"):
            return await self._work(statement_id, word, rest)
        if word == "BEGIN":
            if rest != "READ" and instance.role != "primary":
                return self._refuse("READONLY")
            self._state, self._writes = "T", []
            self._is_read_only = rest == "READ"
        elif word == "ROLLBACK":
            self._state, self._writes = "I", []
        elif word == "SET":
            name, _, value = rest.partition(" ")
            self._values[name] = value
        elif word == "PREPARE":
            name, kind, _ = rest.split(" ", 2)
            self._prepared[name] = kind
        elif word == "DEALLOC":
            self._prepared.pop(rest, None)
        elif word == "RESET":
            self._values.clear()
            self._prepared.clear()
        return ["COMPLETE -"]

    def _control(self, word, rest):
        instance = self._instance
        if word == "PAUSE" and instance.role == "replica":
            if int(rest) > instance.term:
                instance.paused_term = int(rest)
        elif word == "RESUME":
            instance.paused_term = 0
        elif word == "STEPDOWN":
            instance.demote(int(rest))
        position = instance.format_position()
        if word != "STATUS":
            self._record.note(f"{word} {rest} at {instance.name} {position}")
        return [
            f"ROW {instance.role} {instance.term} {position}"
            f" {instance.paused_term} 0 0 1",
            "COMPLETE -",
        ]

    async def _work(self, statement_id, word, rest):
        instance = self._instance
        run = instance.run
        async with instance.free_slots:
            await asyncio.sleep(WORK_S)
            await instance.wait_lit()
            if instance.run != run:
                return None
            is_plain = self._state == "T" and not self._is_read_only
            has_lost_lead = instance.role != "primary"
            if word == "READ":
                if is_plain and has_lost_lead:
                    return self._refuse("READONLY")
                return self._read(statement_id, rest)
            if word == "WRITE":
                if has_lost_lead:
                    return self._refuse("READONLY")
                item, _, data = rest.partition(" ")
                self._writes.append((item, data))
                if self._state == "T":
                    return self._finish(statement_id, word)
            if self._state == "E":
                self._state, self._writes = "I", []
                return [f"ERROR ABORTED {instance.name}"]
            if self._writes and has_lost_lead:
                return self._refuse("READONLY")
            writes, self._writes = self._writes, []
            self._state = "I"
            if writes and not await instance.commit(statement_id, writes):
                return None
            return self._finish(statement_id, word)

    def _read(self, statement_id, item):
        instance = self._instance
        if item in instance.group.large_results:
            rows = instance.group.large_results[item]
            return self._finish(statement_id, "READ", *rows)
        row = "none"
        for commit in instance.log[: instance.applied]:
            for name, data in commit.writes:
                if name == item:
                    row = data
        for name, data in self._writes:
            if name == item:
                row = data
        return self._finish(statement_id, "READ", row)

    def _finish(self, statement_id, word, *rows):
        instance = self._instance
        self._record.note(
            f"ran {statement_id} {word} at {instance.name}"
            f" {instance.format_position()} for {self._who}"
        )
        instance.group.ran_for[statement_id] = self._who
        return [*(f"ROW {row}" for row in rows), f"COMPLETE d.{statement_id}"]
