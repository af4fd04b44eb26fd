"""Statements that a VM runs at a group's primary."""

import trio


class PrimaryUsage:
    """Epoch of a VM's use of one group's primary, with its counters.

    The caller keeps the epoch in which a statement was sent. Once that
    epoch has ended, an answer no longer proves that a write is durable.
    """

    def __init__(self):
        self._epoch = 0
        self._running = 0
        self._idle = trio.Event()
        self._idle.set()
        self._target = None
        self._unanswered_writes = 0
        self._not_primary_answers = 0

    @property
    def epoch(self):
        """Number that increases when the VM stops using the primary."""
        return self._epoch

    @property
    def target(self):
        """Id of the target used in this epoch, or None."""
        return self._target

    @property
    def unanswered_writes(self):
        """Writes without an answer since the last one that succeeded."""
        return self._unanswered_writes

    @property
    def not_primary_answers(self):
        """Answers that it is not primary, without a successful write since."""
        return self._not_primary_answers

    def start_statement(self, target):
        """Count a statement at a target and return its epoch."""
        self._target = target
        self._running += 1
        if self._running == 1:
            self._idle = trio.Event()
        return self._epoch

    def end_statement(self):
        """Count the end of a statement."""
        self._running -= 1
        if self._running == 0:
            self._idle.set()

    def note_successful_write(self):
        """Reset the counters of failures after a successful write."""
        self._unanswered_writes = 0
        self._not_primary_answers = 0

    def note_unanswered_write(self):
        """Note a write that got no answer."""
        self._unanswered_writes += 1

    def note_not_primary(self):
        """Note an answer that the target is not primary."""
        self._not_primary_answers += 1

    def end_epoch(self):
        """Stop using the primary; answers of this epoch prove nothing."""
        self._epoch += 1
        self._target = None
        self._unanswered_writes = 0
        self._not_primary_answers = 0

    async def wait_idle(self, timeout_s):
        """Wait until no statement runs, at most `timeout_s` seconds."""
        with trio.move_on_after(timeout_s):
            await self._idle.wait()
