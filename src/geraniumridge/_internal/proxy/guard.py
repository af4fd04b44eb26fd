"""Use of a group's primary: counted, and given up as a whole."""

import trio

from geraniumridge._internal.models import records


class PrimaryGuard:
    """Statements at one group's primary.

    A statement remembers the epoch in which it was sent. Once the
    epoch has ended, its answer is no proof that a write is kept.
    """

    def __init__(self):
        self._epoch = 0
        self._running = 0
        self._quiet = trio.Event()
        self._quiet.set()
        self._acknowledged = records.NO_MARK

    @property
    def epoch(self):
        """Number that changes when the primary is given up."""
        return self._epoch

    @property
    def acknowledged(self):
        """Highest position that was seen acknowledged."""
        return self._acknowledged

    def enter(self):
        """Count a statement and return its epoch."""
        self._running += 1
        self._quiet = trio.Event()
        return self._epoch

    def leave(self):
        """Count the end of a statement."""
        self._running -= 1
        if self._running == 0:
            self._quiet.set()

    def note_acknowledged(self, mark):
        """Note the position after a commit that was acknowledged."""
        self._acknowledged = max(self._acknowledged, mark)

    def end_epoch(self):
        """Give the primary up; later answers prove nothing."""
        self._epoch += 1

    async def wait_quiet(self, timeout_s):
        """Wait until no statement runs; tells whether that is so."""
        with trio.move_on_after(timeout_s):
            await self._quiet.wait()
        return self._running == 0
