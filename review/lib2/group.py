"""Instances of one database service, as a process of their own.

They are those of `standins.linegroup`, with additions that the pages describe:

- An instance can lose its way to the platform's store, and goes on serving.
- An instance that starts again under its id without its log copies the log
  from the primary, `copy_rate` commits a second and in order. It receives
  new commits once it has the earlier ones.
- A connection that its far end has closed ends, also while a commit waits
  for a replica.
- A promote takes `PROMOTE_S`, and liveness reports come each `HEARTBEAT_S`.
"""

import argparse
import contextlib
import functools
import os
import socket

import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.network import http
from standins import linegroup
from standins import serve

HEARTBEAT_S = 1.2
"""Interval of liveness reports: `heartbeatMs` of the site file."""

PROMOTE_S = 0.3
"""Time until a promoted instance leads: 300 ms on the site's sheet."""

COPY_STEP_S = 0.02

CLOSED_POLL_S = 0.1
"""Interval at which connections are checked for a close."""


class WatchedInstance(linegroup.Instance):
    """Instance that notices when the far end closes a connection."""

    async def _serve(self, stream):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _cancel_when_closed, stream.socket, nursery.cancel_scope
            )
            await super()._serve(stream)
            nursery.cancel_scope.cancel()


async def _cancel_when_closed(connection, scope):
    with socket.socket(fileno=os.dup(connection.fileno())) as duplicate:
        while not _is_closed(duplicate):
            await trio.sleep(CLOSED_POLL_S)
    scope.cancel()


def _is_closed(connection):
    """Return whether the far end has closed, without reading from it."""
    try:
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        return not connection.recv(1, flags)
    except BlockingIOError:
        return False
    except OSError:
        return True


class CopyingGroup(linegroup.Group):
    """Group whose instances copy the log after a start without one."""

    def __init__(self, name, copy_rate):
        super().__init__(name)
        self._copy_rate = copy_rate
        self.copying = set()

    async def replicate(self, primary, entry):
        """Send the log on; return once enough replicas hold the entry."""
        while True:
            if primary.is_down:
                await trio.sleep_forever()
            holders = 0
            for instance in self.instances.values():
                if instance is primary or not self._receives(
                    instance, primary
                ):
                    continue
                if len(instance.log) < len(primary.log):
                    instance.term = primary.term
                    instance.log = list(primary.log)
                    self._apply_after_lag(instance)
                holders += 1
            if holders >= self.sync_replicas:
                return True
            await trio.sleep(COPY_STEP_S)

    def _receives(self, instance, primary):
        return (
            instance.role == "replica"
            and not instance.is_down
            and not instance.ignores_replication
            and instance.name not in self.copying
            and instance.paused_term <= primary.term
            and instance.term <= primary.term
        )

    async def copy_log(self, instance):
        """Copy the primary's log to an instance that has none."""
        self.copying.add(instance.name)
        credit = 0.0
        while not instance.is_down and instance.role == "replica":
            await trio.sleep(COPY_STEP_S)
            source = self._find_source(instance)
            if source is None or instance.paused_term > source.term:
                continue
            credit += self._copy_rate * COPY_STEP_S
            count = len(instance.log) + int(credit)
            credit -= int(credit)
            instance.term = source.term
            instance.log = list(source.log[:count])
            instance.applied_count = len(instance.log)
            if len(instance.log) == len(source.log):
                break
        self.copying.discard(instance.name)

    def _find_source(self, instance):
        primaries = [
            item
            for item in self.instances.values()
            if item.role == "primary" and not item.is_down
        ]
        newest = max(primaries, key=lambda item: item.term, default=None)
        if newest is None or newest.term < instance.term:
            return None
        return newest

    async def promote(self, name):
        """Make an instance lead the next term with what it holds."""
        chosen = self.instances[name]
        if chosen.is_down:
            return False
        if chosen.role != "primary":
            await trio.sleep(PROMOTE_S)
        return await super().promote(name)


class GroupRole(serve.GroupRole):
    """The instances, and the control interface of the case.

    `copy_rate` is how many commits a second an instance copies after a start
    without its log, `history` how many commits all of them have at first.
    """

    def __init__(
        self, group, addresses, domains, store, copy_rate="100", history="0"
    ):
        super().__init__(group, addresses, domains, store)
        named = self._group.instances
        self._group = CopyingGroup(group, float(copy_rate))
        for item in named.values():
            instance = WatchedInstance(
                self._group, item.name, item.address, item.domain
            )
            instance.role = item.role
            self._group.instances[item.name] = instance
            instance.max_connections = 60
            instance.log = [
                linegroup.Commit(1, number, ((f"old.{number}", "v"),))
                for number in range(1, int(history) + 1)
            ]
            instance.applied_count = len(instance.log)
        self._without_store = set()

    async def cut_store(self, target, is_cut):
        """Partition an instance from the store, or heal that."""
        if is_cut:
            self._without_store.add(target)
        else:
            self._without_store.discard(target)
            await self._register(self._group.instances[target], 0)

    async def restart(self, target, keeps_log):
        """Start an instance again; without its log it copies it.

        It registers at once if it reaches the store.
        """
        instance = self._group.instances[target]
        if not keeps_log:
            self._group.copying.add(target)
        await super().restart(target, keeps_log)
        if target not in self._without_store:
            await self._register(instance, 0)
        if not keeps_log:
            self._nursery.start_soon(self._group.copy_log, instance)

    async def get_states(self):
        """Return role, term, log length and whether it is down, by id."""
        return {
            name: [item.role, item.term, len(item.log), item.is_down]
            for name, item in self._group.instances.items()
        }

    async def list_log(self, target):
        """Return the items in an instance's log, in order."""
        log = self._group.instances[target].log
        return [name for commit in log for name, _ in commit.writes]

    async def list_executed(self, target):
        """Return the ids of the statements that an instance ran."""
        return [
            statement[0]
            for statement in self._group.instances[target].executed
        ]

    async def _keep_registered(self, instance):
        missed = 0
        while True:
            is_silent = instance.is_down or instance.name in (
                self._without_store
            )
            missed = missed + 1 if is_silent else 0
            with contextlib.suppress(exceptions.NetworkError):
                await self._register(instance, missed)
            await trio.sleep(HEARTBEAT_S)


async def run(options):
    """Serve the instances until cancelled."""
    fields = dict(item.split("=", 1) for item in options.fields)
    role = GroupRole(**fields)
    async with trio.open_nursery() as nursery:
        await role.start(nursery)
        handler = functools.partial(serve.handle, role)
        await http.serve(nursery, options.control, handler)


def main():
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(prog="lib2.group")
    parser.add_argument("control")
    parser.add_argument("fields", nargs="*")
    trio.run(run, parser.parse_args())


if __name__ == "__main__":
    main()
