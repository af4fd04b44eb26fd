"""Waits until a replica holds a write, many writes per question."""

import contextlib
import logging

import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.kernel import kernel
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.models import records
from geraniumridge._internal.network import wire

logger = logging.getLogger(__name__)

REPLICA_WAIT_S = 1.0
FAILED_CALL_DELAY_S = 0.1


class _PositionWaits:
    """Writes of one group that wait for a replica."""

    def __init__(self):
        self.events = {}
        self.polled_targets = set()

    def add_position(self, log_position):
        """Return the event of a mark."""
        return self.events.setdefault(log_position, trio.Event())

    def set_reached(self, reached_position):
        """Wake the writes that a replica's mark covers."""
        for log_position in list(self.events):
            if (
                log_position.term == reached_position.term
                and log_position.position <= reached_position.position
            ):
                self.events.pop(log_position).set()


@registry.PLUGINS.register("durability")
class Durability(kernel.Plugin):
    """Asks replicas in other domains for their place in the log."""

    def __init__(self, daemon_kernel):
        super().__init__(daemon_kernel)
        self._waits_by_group = {}

    async def start(self, nursery):
        """Look up the other plug-ins."""
        self._configuration = self._kernel.get("configuration")
        self._membership = self._kernel.get("membership")
        self._peers = self._kernel.get("peers")
        self._nursery = nursery

    async def wait_for_replica(self, group, targets, log_position, deadline):
        """Wait until one of some replicas holds a mark.

        Returns
        -------
        bool
            False if the deadline came first.
        """
        waits = self._waits_by_group.setdefault(group, _PositionWaits())
        event = waits.add_position(log_position)
        for target in targets:
            if target not in waits.polled_targets:
                waits.polled_targets.add(target)
                self._nursery.start_soon(
                    self._poll_replica, group, target, waits
                )
        try:
            with trio.move_on_at(deadline):
                await event.wait()
        finally:
            if not event.is_set():
                waits.events.pop(log_position, None)
        return event.is_set()

    async def _poll_replica(self, group, target, waits):
        """Ask one replica again and again while writes wait."""
        try:
            while waits.events:
                with contextlib.suppress(
                    exceptions.NetworkError, exceptions.RequestError
                ):
                    log_position = max(waits.events)
                    waits.set_reached(
                        await self._await_position(group, target, log_position)
                    )
                    continue
                await trio.sleep(FAILED_CALL_DELAY_S)
        finally:
            waits.polled_targets.discard(target)

    async def _await_position(self, group, target, log_position):
        document = self._configuration.document
        target_entry = document.groups[group].targets[target]
        owner = self._membership.find_owner(
            target_entry.domain, f"{group}/{target}"
        )
        if owner is None:
            raise exceptions.UnavailableError(f"no gateway of {target}")
        message = wire.messages.Await(
            group=group,
            target=target,
            term=log_position.term,
            position=log_position.position,
            wait_ms=int(REPLICA_WAIT_S * 1000),
        )
        answer = await self._peers.call(
            owner.address, message, 2 * REPLICA_WAIT_S
        )
        return records.LogPosition(answer.term, answer.position)
