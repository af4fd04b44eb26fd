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

QUESTION_S = 1.0
RETRY_S = 0.1


class _GroupWaiters:
    """Writes of one group that wait for a replica."""

    def __init__(self):
        self.waiting = {}
        self.asking = set()

    def add(self, mark):
        """Return the event of a mark."""
        return self.waiting.setdefault(mark, trio.Event())

    def release(self, held):
        """Wake the writes that a replica's mark covers."""
        for mark in list(self.waiting):
            if mark.term == held.term and mark.position <= held.position:
                self.waiting.pop(mark).set()


@registry.PLUGINS.register("durability")
class Durability(kernel.Plugin):
    """Asks replicas in other domains for their place in the log."""

    def __init__(self, owner):
        super().__init__(owner)
        self._groups = {}

    async def start(self, nursery):
        """Look up the other plug-ins."""
        self._configuration = self._kernel.get("configuration")
        self._membership = self._kernel.get("membership")
        self._peers = self._kernel.get("peers")
        self._nursery = nursery

    async def wait(self, group, targets, mark, deadline):
        """Wait until one of some replicas holds a mark.

        Returns
        -------
        bool
            False if the deadline came first.
        """
        waiters = self._groups.setdefault(group, _GroupWaiters())
        event = waiters.add(mark)
        for target in targets:
            if target not in waiters.asking:
                waiters.asking.add(target)
                self._nursery.start_soon(self._ask, group, target, waiters)
        try:
            with trio.move_on_at(deadline):
                await event.wait()
        finally:
            if not event.is_set():
                waiters.waiting.pop(mark, None)
        return event.is_set()

    async def _ask(self, group, target, waiters):
        """Ask one replica again and again while writes wait."""
        try:
            while waiters.waiting:
                with contextlib.suppress(
                    exceptions.NetworkError, exceptions.RequestError
                ):
                    mark = max(waiters.waiting)
                    waiters.release(await self._question(group, target, mark))
                    continue
                await trio.sleep(RETRY_S)
        finally:
            waiters.asking.discard(target)

    async def _question(self, group, target, mark):
        document = self._configuration.document
        entry = document.groups[group].targets[target]
        owner = self._membership.find_owner(entry.domain, f"{group}/{target}")
        if owner is None:
            raise exceptions.UnavailableError(f"no gateway of {target}")
        message = wire.messages.Await(
            group=group,
            target=target,
            term=mark.term,
            position=mark.position,
            wait_ms=int(QUESTION_S * 1000),
        )
        answer = await self._peers.call(owner.address, message, 2 * QUESTION_S)
        return records.LogPosition(answer.term, answer.position)
