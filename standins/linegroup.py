"""Stand-in for a database group whose instances speak the line protocol.

Runs inside a trio program on loopback; `standins.group` is the stand-in
for the HTTP deployment. Each `Instance` has a connection limit, a log
whose positions are a term and a number, replication with a lag, and the
commands of the protocol. Tests inject faults through attributes:
`is_silent` (leaves statements unanswered), `ignores_replication`,
`lose_answers` (how many of the next statements run without an answer),
`is_down`, `read_error` (code that refuses every read), `rows_per_read`,
`cut_from` (names of instances that it cannot reach). `slots` bounds the
statements and new connections that an instance works on at once; up to
`queue_limit` more wait, and it refuses further statements.
"""

import contextlib
import math
import typing

import trio

from geraniumridge._internal.network import streams

LINE_END = b"\r\n"

STEP_DOWN_DELAY_S = 1.0
"""How long a former primary keeps serving once it reaches the new one."""


SILENCE_POLL_S = 0.05
"""Interval at which unanswered statements check whether silence is over."""

SLOT_COMMANDS = ("READ", "WRITE", "EXECUTE", "COMMIT")
"""Commands that an instance runs in a slot."""


class SlotsFullError(Exception):
    """No slot is free, and as many statements wait as may wait."""


class Commit(typing.NamedTuple):
    """Commit in the log; term and number are its position."""

    term: int
    number: int
    writes: tuple


class Instance:
    """One instance of a group.

    `paused_term` is the term for which the instance stopped receiving the
    log, 0 while it receives. `executed` lists the reads, writes and
    commits that succeeded: statement id, team, session values and rows.
    """

    def __init__(self, group, name, address, domain):
        self.group = group
        self.name = name
        self.address = address
        self.domain = domain
        self.role = "replica"
        self.term = 1
        self.paused_term = 0
        self.log = []
        self.applied_count = 0
        self.connections = 0
        self.max_connections = 20
        self.statement_time_s = 0.001
        self.slots = math.inf
        self.queue_limit = math.inf
        self.connect_time_s = 0.0
        self.lag_s = 0.0
        self.is_silent = False
        self.ignores_replication = False
        self.is_down = False
        self.cut_from = set()
        self.lose_answers = 0
        self.read_error = None
        self.rows_per_read = 1
        self.executed = []
        self.connection_scopes = set()
        self._listener_scope = None
        self._busy_slots = 0
        self._waiting = 0
        self._slot_freed = trio.Event()

    @property
    def log_position(self):
        """Position of the log's end, as term and number."""
        if not self.log:
            # Position of an empty log: before the first commit of term 1.
            return (1, 0)
        return (self.log[-1].term, self.log[-1].number)

    @property
    def data(self):
        """Rows by item, from the applied part of the log."""
        rows = {}
        for commit in self.log[: self.applied_count]:
            rows.update(commit.writes)
        return rows

    async def start(self, nursery):
        """Listen for connections."""
        self._nursery = nursery
        self._listener_scope = await streams.serve(
            nursery, self.address, self._serve
        )
        self.is_down = False

    def crash(self):
        """Break all connections and refuse new ones."""
        self.is_down = True
        self._listener_scope.cancel()
        for scope in list(self.connection_scopes):
            scope.cancel()

    async def _serve(self, stream):
        scope = trio.CancelScope()
        self.connection_scopes.add(scope)
        self.connections += 1
        try:
            with scope:
                await _Session(self, stream).run()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.connections -= 1
            self.connection_scopes.discard(scope)
            await trio.aclose_forcefully(stream)

    def has_applied(self, position):
        """Return whether the applied part of the log has a position.

        An empty log has the position 0 of term 1.
        """
        return any(
            (commit.term, commit.number) == position
            for commit in self.log[: self.applied_count]
        ) or position == (1, 0)

    @contextlib.asynccontextmanager
    async def occupy_slot(self, queue_limit=math.inf):
        """Hold a slot during the block, after waiting for one.

        Raises
        ------
        SlotsFullError
            If as many others as `queue_limit` already wait.
        """
        if self._busy_slots >= self.slots and self._waiting >= queue_limit:
            raise SlotsFullError
        self._waiting += 1
        try:
            while self._busy_slots >= self.slots:
                await self._slot_freed.wait()
        finally:
            self._waiting -= 1
        self._busy_slots += 1
        try:
            yield
        finally:
            self._busy_slots -= 1
            self._slot_freed.set()
            self._slot_freed = trio.Event()

    async def commit(self, writes):
        """Append a commit and wait until enough replicas received it."""
        term, number = self.term, self.log_position[1] + 1
        entry = Commit(term, number, tuple(writes.items()))
        self.log.append(entry)
        self.applied_count = len(self.log)
        return await self.group.replicate(self, entry)


class Group:
    """Instances of a database and the replication between them.

    Parameters
    ----------
    name : str
        Name of the group, the ``service`` of its instances.
    sync_replicas : int, optional
        Replicas that must receive a commit before it is acknowledged.
    """

    def __init__(self, name, sync_replicas=1):
        self.name = name
        self.sync_replicas = sync_replicas
        self.instances = {}

    def add(self, name, address, domain):
        """Add an instance; the first one is the primary of term 1."""
        instance = Instance(self, name, address, domain)
        if not self.instances:
            instance.role = "primary"
        self.instances[name] = instance
        return instance

    async def replicate(self, primary, entry):
        """Send the primary's log to the replicas that accept it.

        Return True once `sync_replicas` of them have received it.
        """
        receiver_count = 0
        for instance in self.instances.values():
            if (
                instance is primary
                or instance.role != "replica"
                or instance.is_down
            ):
                continue
            if (
                instance.ignores_replication
                or instance.paused_term > primary.term
            ):
                continue
            if instance.name in primary.cut_from:
                continue
            if instance.term > primary.term:
                continue
            instance.term = max(instance.term, primary.term)
            instance.log = list(primary.log)
            receiver_count += 1
            self._apply_after_lag(instance)
        while receiver_count < self.sync_replicas:
            # A commit that too few replicas received isn't acknowledged.
            await trio.sleep(3600)
        return True

    def _apply_after_lag(self, replica):
        if not replica.lag_s:
            replica.applied_count = len(replica.log)
            return
        commit_count = len(replica.log)

        async def apply():
            await trio.sleep(replica.lag_s)
            replica.applied_count = max(
                replica.applied_count, min(commit_count, len(replica.log))
            )

        replica._nursery.start_soon(apply)

    async def rejoin(self, name):
        """Reconnect an instance, which then follows a newer primary."""
        instance = self.instances[name]
        instance.cut_from = set()
        await trio.sleep(STEP_DOWN_DELAY_S)
        newest = max(
            self.instances.values(), key=lambda instance: instance.term
        )
        if newest.role == "primary" and newest is not instance:
            instance.role = "replica"
            instance.term = newest.term
            instance.log = list(newest.log)
            instance.applied_count = len(instance.log)

    async def promote(self, name):
        """Make an instance the primary of the next term.

        Return whether it is the primary now; an instance that is down
        cannot be promoted.
        """
        chosen = self.instances[name]
        if chosen.is_down:
            return False
        if chosen.role == "primary":
            return True
        await trio.sleep(0.05)
        chosen.role = "primary"
        chosen.term = (
            max(instance.term for instance in self.instances.values()) + 1
        )
        chosen.paused_term = 0
        chosen.applied_count = len(chosen.log)
        return True

    def make_entry(self, instance, state="ready"):
        """Return an instance's entry in the platform's store."""
        return {
            "service": self.name,
            "address": instance.address,
            "zone": instance.domain,
            "version": "v1",
            "capacity": 3,
            "state": state,
            "warmupLeftMs": 0,
            "dbRole": instance.role,
            "seq": 1,
            "born": 1,
        }


class _Session:
    """One connection to an instance."""

    def __init__(self, instance, stream):
        self._instance = instance
        self._stream = stream
        self._buffer = b""
        self._session_values = {}
        self._prepared_statements = {}
        # "I": idle, "T": in a transaction, "E": in a failed transaction.
        self._transaction_state = "I"
        self._is_read_only = False
        self._pending_writes = {}

    async def run(self):
        line = await self._read_line()
        if line is None:
            return
        fields = line.split(" ")
        instance = self._instance
        if fields[0] != "STARTUP" or fields[1] != instance.group.name:
            return await self._send(f"ERROR WRONGNODE {instance.name}")
        if len(fields) > 3 and fields[3] != instance.name:
            return await self._send(f"ERROR WRONGNODE {instance.name}")
        if instance.connections > instance.max_connections:
            return await self._send(f"ERROR CONNLIMIT {instance.name}")
        self._team = fields[2]
        async with instance.occupy_slot():
            await trio.sleep(instance.connect_time_s)
        await self._send(self._format_ready())
        while True:
            line = await self._read_line()
            if line is None or line == "TERMINATE":
                return
            await self._answer(line)

    async def _answer(self, line):
        instance = self._instance
        _, statement_id, text = line.split(" ", 2)
        if instance.is_silent:
            await self._wait_silence_over()
        lines = await self._execute(statement_id, text)
        # "-" is the id of the statements that the proxy sends on its own.
        if instance.lose_answers > 0 and statement_id != "-":
            instance.lose_answers -= 1
            raise trio.BrokenResourceError
        await self._send("\r\n".join([*lines, self._format_ready()]))

    async def _wait_silence_over(self):
        """Wait until the instance answers again, then break the connection.

        A connection that stayed open would count against the limit for good,
        although its caller has closed it.
        """
        while self._instance.is_silent:
            await trio.sleep(SILENCE_POLL_S)
        raise trio.BrokenResourceError

    async def _execute(self, statement_id, text):
        instance = self._instance
        command, _, arguments = text.partition(" ")
        if command == "AFTER":
            position, _, text = arguments.partition(" ")
            term, _, commit_number = position.partition(".")
            if not instance.has_applied((int(term), int(commit_number))):
                return self._fail_statement("LAGGING")
            command, _, arguments = text.partition(" ")
        handler = getattr(self, f"_do_{command.lower()}")
        if command not in SLOT_COMMANDS:
            return await handler(statement_id, arguments)
        try:
            async with instance.occupy_slot(instance.queue_limit):
                return await handler(statement_id, arguments)
        except SlotsFullError:
            return self._fail_statement("BUSY")

    def _fail_statement(self, code):
        if self._transaction_state == "T":
            self._transaction_state = "E"
        return [f"ERROR {code} {self._instance.name}"]

    def _finish_statement(self, statement_id, *rows):
        instance = self._instance
        instance.executed.append(
            (statement_id, self._team, dict(self._session_values), rows)
        )
        # COMPLETE carries a digest of the result, or "-" without a result.
        return [*(f"ROW {row}" for row in rows), f"COMPLETE d.{statement_id}"]

    async def _do_begin(self, statement_id, arguments):
        if arguments != "READ" and self._instance.role != "primary":
            return self._fail_statement("READONLY")
        self._transaction_state = "T"
        self._is_read_only = arguments == "READ"
        self._pending_writes = {}
        return ["COMPLETE -"]

    async def _do_commit(self, statement_id, arguments):
        if self._transaction_state == "E":
            self._transaction_state = "I"
            return [f"ERROR ABORTED {self._instance.name}"]
        writes, self._pending_writes = self._pending_writes, {}
        if writes and self._instance.role != "primary":
            return self._fail_statement("READONLY")
        self._transaction_state = "I"
        if writes:
            await self._instance.commit(writes)
        return self._finish_statement(statement_id)

    async def _do_rollback(self, statement_id, arguments):
        self._transaction_state = "I"
        self._pending_writes = {}
        return ["COMPLETE -"]

    async def _do_read(self, statement_id, arguments):
        instance = self._instance
        if instance.read_error:
            return self._fail_statement(instance.read_error)
        await trio.sleep(instance.statement_time_s)
        row = {**instance.data, **self._pending_writes}.get(arguments, "none")
        return self._finish_statement(
            statement_id, *[row] * instance.rows_per_read
        )

    async def _do_write(self, statement_id, arguments):
        name, _, data = arguments.partition(" ")
        if self._instance.role != "primary":
            return self._fail_statement("READONLY")
        await trio.sleep(self._instance.statement_time_s)
        if self._transaction_state == "T":
            self._pending_writes[name] = data
        else:
            await self._instance.commit({name: data})
        return self._finish_statement(statement_id)

    async def _do_set(self, statement_id, arguments):
        name, _, value = arguments.partition(" ")
        self._session_values[name] = value
        return ["COMPLETE -"]

    async def _do_prepare(self, statement_id, arguments):
        name, kind, definition = arguments.split(" ", 2)
        self._prepared_statements[name] = (kind, definition)
        return ["COMPLETE -"]

    async def _do_dealloc(self, statement_id, arguments):
        self._prepared_statements.pop(arguments, None)
        return ["COMPLETE -"]

    async def _do_execute(self, statement_id, arguments):
        name, _, arguments = arguments.partition(" ")
        if name not in self._prepared_statements:
            return self._fail_statement("NOSTMT")
        kind = self._prepared_statements[name][0]
        if kind == "READ":
            return await self._do_read(statement_id, arguments)
        return await self._do_write(statement_id, arguments)

    async def _do_reset(self, statement_id, arguments):
        self._session_values.clear()
        self._prepared_statements.clear()
        return ["COMPLETE -"]

    async def _do_status(self, statement_id, arguments):
        instance = self._instance
        term, commit_number = instance.log_position
        # Role, term, end of the log, term of the pause, lag in milliseconds,
        # busy slots and open connections. Lag and slots are always 0 here.
        return [
            f"ROW {instance.role} {instance.term} {term}.{commit_number}"
            f" {instance.paused_term} 0 0 {instance.connections}",
            "COMPLETE -",
        ]

    async def _do_pause(self, statement_id, arguments):
        if self._instance.role == "replica":
            self._instance.paused_term = int(arguments)
        return await self._do_status(statement_id, arguments)

    async def _do_resume(self, statement_id, arguments):
        self._instance.paused_term = 0
        return await self._do_status(statement_id, arguments)

    async def _do_stepdown(self, statement_id, arguments):
        if self._instance.term < int(arguments):
            self._instance.role = "replica"
        return await self._do_status(statement_id, arguments)

    def _format_ready(self):
        instance = self._instance
        # READY carries the end of the applied log; (1, 0) if it is empty.
        position = (
            instance.log[instance.applied_count - 1]
            if instance.applied_count
            else (1, 0)
        )
        return f"READY {self._transaction_state} {position[0]}.{position[1]}"

    async def _send(self, text):
        await self._stream.send_all(text.encode() + LINE_END)

    async def _read_line(self):
        while LINE_END not in self._buffer:
            data = await self._stream.receive_some(4096)
            if not data:
                return None
            self._buffer += data
        line, _, self._buffer = self._buffer.partition(LINE_END)
        return line.decode()
