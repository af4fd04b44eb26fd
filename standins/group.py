"""Stand-in for a database group of the HTTP deployment.

The instances keep their data in sqlite in memory. `standins.linegroup`
is the stand-in for the proxy of the line protocol.

Run as ``python -m standins.group --instance NAME=IP:port ...``. The
first instance starts as the primary of term 1. Replication is
asynchronous with ``--lag-ms``; each instance has slots, a connection
limit and a time to connect. ``/admin`` sets faults of one instance:
``frozen`` (no answers), ``isolated`` (no replication to or from it),
``down`` (connections closed without an answer) and ``delay_ms``; and
``lag_ms``, the replication lag of all instances.

Requests carry the conditions that the instance itself checks: the term
that a writer expects, and the log position and data age that a reader
requires. The result of a write is stored with its idempotency key in the
replicated log, so that a retry returns the first result on any primary
that has the entry.
"""

import argparse
import contextlib
import functools
import sqlite3

import msgspec
import trio

from geraniumridge._internal.network import http
from geraniumridge._internal.network import streams

REPLICATION_INTERVAL_S = 0.005
"""Time between two rounds that bring the replicas up to date."""

WRITE_LOCK_TIMEOUT_S = 5.0
"""Longest wait for earlier writers; then the write is refused as busy."""


class RefusedError(Exception):
    """A request wasn't run; the argument is the reason in the answer."""


class LogEntry:
    """Committed write or transaction in an instance's log.

    `request_key` is the idempotency key, or else the request's id.
    """

    def __init__(
        self, term, position, committed_at, request_key, statements, result
    ):
        self.term = term
        self.position = position
        self.committed_at = committed_at
        self.request_key = request_key
        self.statements = statements
        self.result = result


class Instance:
    """One database instance.

    `executed` lists the ids of the requests whose statements it started.
    """

    def __init__(self, name, options):
        self.name = name
        self.options = options
        self.database = open_database()
        self.log = []
        self.results_by_key = {}
        self.term = 1
        self.role = "replica"
        self.synced_at = trio.current_time()
        self.faults = {
            "frozen": False,
            "isolated": False,
            "down": False,
            "delay_ms": 0,
        }
        self.slots = trio.Semaphore(options.slots)
        self.write_lock = trio.Lock()
        self.connections = 0
        self.peak_connections = 0
        self.executed = []
        self.log_changed = trio.Event()

    @property
    def position(self):
        """Position of the last entry in the log."""
        return self.log[-1].position if self.log else 0

    def get_age_ms(self):
        """Return the age of the data in milliseconds, 0 on a primary."""
        if self.role == "primary":
            return 0
        return round((trio.current_time() - self.synced_at) * 1000)

    def get_status(self):
        """Return the fields about the instance in every answer."""
        return {
            "term": self.term,
            "position": self.position,
            "role": self.role,
            "age_ms": self.get_age_ms(),
        }

    def apply(self, entry):
        """Apply a committed entry to data and log."""
        with transaction(self.database):
            for sql, params in entry.statements:
                self.database.execute(sql, params)
        self.append(entry)

    def append(self, entry):
        """Add an entry that the data already holds to the log."""
        self.log.append(entry)
        if entry.request_key:
            self.results_by_key[entry.request_key] = entry.result
        self.log_changed.set()
        self.log_changed = trio.Event()

    def rebuild(self, entries):
        """Rebuild data and log from entries.

        A former primary does so to drop entries that the new one lacks.
        """
        self.database = open_database()
        self.log = []
        self.results_by_key = {}
        for entry in entries:
            self.apply(entry)


class Group:
    """Instances of a database and the replication between them."""

    def __init__(self, options):
        self.options = options
        self.instances = {}

    async def replicate(self):
        """Copy the primary's log to the replicas until cancelled."""
        while True:
            await trio.sleep(REPLICATION_INTERVAL_S)
            primary = self.find_reachable_primary()
            if primary is None:
                continue
            for instance in self.instances.values():
                if instance is not primary:
                    self.update_replica(primary, instance)

    def find_reachable_primary(self):
        """Return the reachable primary of the highest term."""
        primaries = [
            instance
            for instance in self.instances.values()
            if instance.role == "primary" and not is_disconnected(instance)
        ]
        return max(primaries, key=lambda instance: instance.term, default=None)

    def update_replica(self, primary, replica):
        """Apply the primary's entries older than the lag to a replica."""
        if is_disconnected(replica) or primary.term < replica.term:
            return
        cutoff = trio.current_time() - self.options.lag_ms / 1000
        if replica.term < primary.term:
            replica.role = "replica"
            replica.term = primary.term
            common_count = count_common_entries(primary.log, replica.log)
            if common_count < len(replica.log):
                replica.rebuild(primary.log[:common_count])
        for entry in primary.log[len(replica.log) :]:
            if entry.committed_at > cutoff:
                break
            replica.apply(entry)
        replica.synced_at = cutoff


def is_disconnected(instance):
    """Return whether an instance's faults stop its replication."""
    faults = instance.faults
    return faults["isolated"] or faults["frozen"] or faults["down"]


def count_common_entries(left, right):
    """Return the length of the common prefix of two logs."""
    count = 0
    for ours, theirs in zip(left, right):
        if (ours.term, ours.position) != (theirs.term, theirs.position):
            break
        count += 1
    return count


def open_database():
    """Return an empty database."""
    return sqlite3.connect(":memory:", isolation_level=None)


@contextlib.contextmanager
def transaction(database):
    """Run a block in a transaction; roll back on an exception."""
    database.execute("BEGIN")
    try:
        yield
    except BaseException:
        database.execute("ROLLBACK")
        raise
    database.execute("COMMIT")


class Session:
    """Connection to an instance, with its open transaction if any."""

    def __init__(self, instance):
        self.instance = instance
        self.transaction_database = None
        self.transaction_statements = []
        self.transaction_term = 0
        self.is_counted = False

    async def open(self):
        """Count the connection and wait for the time to connect.

        Raises trio.BrokenResourceError at the connection limit.
        """
        instance = self.instance
        if instance.connections >= instance.options.connections:
            raise trio.BrokenResourceError
        self.is_counted = True
        instance.connections += 1
        instance.peak_connections = max(
            instance.peak_connections, instance.connections
        )
        await trio.sleep(instance.options.connect_ms / 1000)

    def close(self):
        """End the transaction and the connection."""
        self.end_transaction()
        if self.is_counted:
            self.instance.connections -= 1

    async def handle(self, request):
        """Answer one request."""
        instance = self.instance
        if request.path == "/admin":
            return self.handle_admin(request)
        if not self.is_counted:
            await self.open()
        while instance.faults["frozen"]:
            await trio.sleep(0.02)
        if instance.faults["down"]:
            raise trio.BrokenResourceError
        await trio.sleep(instance.faults["delay_ms"] / 1000)
        data = msgspec.json.decode(request.body or b"{}")
        answer, status = await self.run_request(request.path, data)
        answer.update(instance.get_status())
        answer["request_id"] = data.get("request_id")
        return http.make_json_response(answer, status)

    async def run_request(self, path, data):
        """Run one request and return body and status."""
        try:
            return await HANDLERS[path](self, data), 200
        except RefusedError as error:
            return {"error": "refused", "detail": str(error)}, 409
        except (sqlite3.Error, sqlite3.Warning) as error:
            return {"error": "statement", "detail": str(error)}, 422

    def handle_admin(self, request):
        """Set faults; answer with the instance's state and log."""
        data = msgspec.json.decode(request.body or b"{}")
        instance = self.instance
        if "lag_ms" in data:
            instance.options.lag_ms = data.pop("lag_ms")
        instance.faults.update(data)
        answer = instance.get_status()
        answer["peak_connections"] = instance.peak_connections
        answer["executed"] = instance.executed
        answer["log"] = [
            [entry.term, entry.position, entry.request_key, entry.statements]
            for entry in instance.log
        ]
        return http.make_json_response(answer)

    def check_request(self, data, needs_primary):
        """Raise RefusedError if the instance may not serve a request.

        `needs_primary` requires a primary whatever the request says.
        """
        instance = self.instance
        status = instance.get_status()
        if needs_primary or data.get("primary"):
            if instance.role != "primary":
                raise RefusedError("not-primary")
            if data.get("term") and data["term"] != instance.term:
                raise RefusedError("wrong-term")
        # The position counts even if the terms differ. An instance of a lower
        # term is behind; a `min_term` of 0 asks for no position.
        required = (data.get("min_term", 0), data.get("min_position", 0))
        if required[0] > instance.term or (
            required[1] > instance.position and required[0] >= 1
        ):
            raise RefusedError("behind")
        # -1: the age of the data is not limited.
        max_age = data.get("max_age_ms", -1)
        if 0 <= max_age < status["age_ms"]:
            raise RefusedError("behind")

    async def run_statement(self, data):
        """Run one statement, in the open transaction if there is one."""
        if self.transaction_database is not None:
            return self.run_in_transaction(data)
        is_write = data["mode"] == "write"
        async with self.instance.slots:
            self.check_request(data, is_write)
            self.instance.executed.append(data["request_id"])
            await trio.sleep(self.instance.options.service_ms / 1000)
            if is_write:
                return await self.run_write(data)
            return run_read(self.instance.database, data)

    async def run_write(self, data):
        """Commit a write; for a retry, return the first result."""
        instance = self.instance
        idempotency_key = data.get("idempotency_key")
        await self.lock_writes()
        try:
            self.check_request(data, needs_primary=True)
            if idempotency_key and idempotency_key in instance.results_by_key:
                return {
                    **instance.results_by_key[idempotency_key],
                    "replayed": True,
                }
            with transaction(instance.database):
                cursor = instance.database.execute(data["sql"], data["params"])
                rows = cursor.fetchall()
            result = {"rows": rows, "rowcount": cursor.rowcount}
            statement = (data["sql"], data["params"])
            self.commit_entry(
                [statement], idempotency_key or data["request_id"], result
            )
            return result
        finally:
            instance.write_lock.release()

    async def lock_writes(self):
        """Acquire the write lock; raise RefusedError after a timeout."""
        try:
            with trio.fail_after(WRITE_LOCK_TIMEOUT_S):
                await self.instance.write_lock.acquire()
        except trio.TooSlowError:
            raise RefusedError("busy")

    def commit_entry(self, statements, request_key, result):
        """Append an entry to the log of this primary."""
        instance = self.instance
        instance.append(
            LogEntry(
                instance.term,
                instance.position + 1,
                trio.current_time(),
                request_key,
                statements,
                result,
            )
        )

    async def begin(self, data):
        """Begin a transaction on a private copy of the data.

        It holds the write lock until it ends.
        """
        self.check_request(data, needs_primary=True)
        await self.lock_writes()
        try:
            self.check_request(data, needs_primary=True)
        except RefusedError:
            self.instance.write_lock.release()
            raise
        self.transaction_database = open_database()
        self.instance.database.backup(self.transaction_database)
        self.transaction_statements = []
        self.transaction_term = self.instance.term
        return {}

    def run_in_transaction(self, data):
        """Run a statement on the transaction's copy."""
        self.instance.executed.append(data["request_id"])
        if data["mode"] == "read":
            return run_read(self.transaction_database, data)
        cursor = self.transaction_database.execute(data["sql"], data["params"])
        self.transaction_statements.append((data["sql"], data["params"]))
        return {"rows": cursor.fetchall(), "rowcount": cursor.rowcount}

    async def commit(self, data):
        """Commit the transaction's writes atomically."""
        if self.transaction_database is None:
            raise RefusedError("no-transaction")
        try:
            instance = self.instance
            if instance.role != "primary":
                raise RefusedError("not-primary")
            if instance.term != self.transaction_term:
                raise RefusedError("wrong-term")
            if self.transaction_statements:
                with transaction(instance.database):
                    for sql, params in self.transaction_statements:
                        instance.database.execute(sql, params)
                self.commit_entry(
                    self.transaction_statements, data["request_id"], {}
                )
            return {}
        finally:
            self.end_transaction()

    async def rollback(self, data):
        """Discard the transaction."""
        self.end_transaction()
        return {}

    def end_transaction(self):
        """Discard an open transaction's copy and release its lock."""
        if self.transaction_database is not None:
            self.transaction_database.close()
            self.transaction_database = None
            self.transaction_statements = []
            self.instance.write_lock.release()

    async def wait_for_position(self, data):
        """Wait until the log reaches a position, or for a timeout."""
        instance = self.instance
        with trio.move_on_after(data["wait_ms"] / 1000):
            while (instance.term, instance.position) < (
                data["min_term"],
                data["min_position"],
            ):
                await instance.log_changed.wait()
        return {}

    async def get_status(self, data):
        """Return no fields; `handle` adds the status to each answer."""
        return {}

    async def promote(self, data):
        """Become the primary of a higher term."""
        instance = self.instance
        if data["term"] <= instance.term:
            raise RefusedError(f"term {instance.term} is in force")
        instance.term = data["term"]
        instance.role = "primary"
        return {}

    async def demote(self, data):
        """Step down to a replica if the given term is higher."""
        instance = self.instance
        if data["term"] > instance.term and instance.role == "primary":
            instance.role = "replica"
            instance.synced_at = trio.current_time()
        return {}


def run_read(database, data):
    """Run a read; sqlite rejects a statement that writes."""
    database.execute("PRAGMA query_only = ON")
    try:
        cursor = database.execute(data["sql"], data["params"])
        return {"rows": cursor.fetchall(), "rowcount": cursor.rowcount}
    finally:
        database.execute("PRAGMA query_only = OFF")


HANDLERS = {
    "/statement": Session.run_statement,
    "/begin": Session.begin,
    "/commit": Session.commit,
    "/rollback": Session.rollback,
    "/wait": Session.wait_for_position,
    "/status": Session.get_status,
    "/promote": Session.promote,
    "/demote": Session.demote,
}


async def serve_stream(instance, stream):
    """Serve one connection to an instance."""
    session = Session(instance)
    try:
        limits = http.ServerLimits(head_timeout_s=60, idle_timeout_s=3600)
        await http.ServerConnection(stream, session.handle, limits).run()
    finally:
        session.close()


async def serve(options):
    """Serve every instance until cancelled."""
    group = Group(options)
    async with trio.open_nursery() as nursery:
        for pair in options.instance:
            name, _, address = pair.partition("=")
            instance = Instance(name, options)
            group.instances[name] = instance
            handler = functools.partial(serve_stream, instance)
            await streams.serve(nursery, address, handler)
        first = next(iter(group.instances.values()))
        first.role = "primary"
        nursery.start_soon(group.replicate)


def main():
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(prog="standins.group")
    parser.add_argument("--instance", action="append", required=True)
    parser.add_argument("--lag-ms", type=float, default=50)
    parser.add_argument("--slots", type=int, default=3)
    parser.add_argument("--connections", type=int, default=20)
    parser.add_argument("--connect-ms", type=float, default=10)
    parser.add_argument("--service-ms", type=float, default=1)
    trio.run(serve, parser.parse_args())


if __name__ == "__main__":
    main()
