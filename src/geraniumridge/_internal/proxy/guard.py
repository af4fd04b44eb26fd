"""Use of a group's primary: counted, and given up as a whole."""

import trio


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
        self._target = None
        self._stuck_writes = 0
        self._refused = 0

    @property
    def epoch(self):
        """Number that changes when the primary is given up."""
        return self._epoch

    @property
    def target(self):
        """Id of the target used in this epoch, or None."""
        return self._target

    @property
    def stuck_writes(self):
        """Writes without an answer since the last one that succeeded."""
        return self._stuck_writes

    @property
    def refused(self):
        """Answers of the target in a row that it is not primary."""
        return self._refused

    def enter(self, target):
        """Count a statement at a target and return its epoch."""
        self._target = target
        self._running += 1
        if self._running == 1:
            self._quiet = trio.Event()
        return self._epoch

    def leave(self):
        """Count the end of a statement."""
        self._running -= 1
        if self._running == 0:
            self._quiet.set()

    def note_kept(self):
        """Note a write that the primary kept."""
        self._stuck_writes = 0
        self._refused = 0

    def note_stuck(self):
        """Note a write that got no answer."""
        self._stuck_writes += 1

    def note_refused(self):
        """Note an answer that the target is not primary."""
        self._refused += 1

    def end_epoch(self):
        """Give the primary up; later answers prove nothing."""
        self._epoch += 1
        self._target = None
        self._stuck_writes = 0
        self._refused = 0

    async def wait_quiet(self, timeout_s):
        """Wait until no statement runs, or the time is over."""
        with trio.move_on_after(timeout_s):
            await self._quiet.wait()
