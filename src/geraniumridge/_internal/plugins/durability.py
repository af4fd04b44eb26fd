"""Wait until a replica holds a write, before it is acknowledged.

One call to a replica covers all writes of the group that wait then.
"""

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
"""Bounds the wait for a log position within one call to a replica.

The call itself times out after twice that, so that the answer can
arrive.
"""

FAILED_CALL_DELAY_S = 0.1
"""Delay before a replica is called again after a failed call."""


class _PositionWaits:
    """Log positions of one group that writes wait for.

    Attributes
    ----------
    events : dict of records.LogPosition to trio.Event
        Events that are set once a replica reaches the position.
    polled_targets : set of str
        Replicas that a task is calling.
    """

    def __init__(self):
        self.events = {}
        self.polled_targets = set()

    def add_position(self, log_position):
        """Return the event of a log position, made if needed."""
        return self.events.setdefault(log_position, trio.Event())

    def set_reached(self, reached_position):
        """Set the events of all positions that a replica has reached."""
        for log_position in list(self.events):
            if (
                log_position.term == reached_position.term
                and log_position.position <= reached_position.position
            ):
                self.events.pop(log_position).set()


@registry.PLUGINS.register("durability")
class Durability(kernel.Plugin):
    """Check that a replica holds a write before it is acknowledged."""

    def __init__(self, daemon_kernel):
        super().__init__(daemon_kernel)
        self._waits_by_group = {}

    async def start(self, nursery):
        """Look up the other plug-ins."""
        self._membership = self._kernel.get("membership")
        self._nursery = nursery

    async def wait_for_replica(self, group, targets, log_position, deadline):
        """Wait until one of some replicas has reached a log position.

        Parameters
        ----------
        group : str
            The group.
        targets : iterable of str
            The replicas of which one is enough.
        log_position : records.LogPosition
            Position of the write.
        deadline : float
            When to stop waiting, on the clock of trio, in seconds.

        Returns
        -------
        bool
            Whether one reached it before the deadline.
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
        """Call one replica repeatedly while writes wait."""
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
        message = wire.messages.Await(
            group=group,
            target=target,
            term=log_position.term,
            position=log_position.position,
            wait_ms=int(REPLICA_WAIT_S * 1000),
        )
        answer = await self._membership.call_gateway(
            message, 2 * REPLICA_WAIT_S
        )
        return records.LogPosition(answer.term, answer.position)
