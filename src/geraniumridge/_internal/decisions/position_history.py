"""Proofs of how far a group's log must reach for a read.

A mark is the head of the primary's log at a known time. A read at a
log that has reached the mark sees every commit acknowledged before
that time.
"""

import bisect
import typing

from geraniumridge._internal.models import records

RETENTION_S = 10.0
"""How long marks are kept; no route may ask for older ones."""

MIN_SPACING_S = 0.05
"""Least distance of kept marks, which bounds their number."""


class TimedPosition(typing.NamedTuple):
    """Head of the primary's log at a clock time, in seconds."""

    taken_at: float
    log_position: records.Mark


class PositionHistory:
    """Marks of one group, all of one term."""

    def __init__(self):
        self._positions = []
        self._term = 0

    @property
    def newest(self):
        """The newest `TimedPosition`, or None."""
        return self._positions[-1] if self._positions else None

    @property
    def term(self):
        """Term of the marks, 0 without any."""
        return self._term

    def add(self, taken_at, log_position):
        """Take in the primary's position.

        Parameters
        ----------
        taken_at : float
            When the statement that it came with was sent.
        mark : records.Mark
            Position after that statement.
        """
        if log_position.term < self._term:
            return
        if log_position.term > self._term:
            self._positions.clear()
            self._term = log_position.term
        if self._positions and taken_at < self._positions[-1].taken_at:
            return
        self._drop_before(taken_at - RETENTION_S)
        if self._is_redundant(taken_at):
            self._positions[-1] = TimedPosition(
                taken_at, max(log_position, self._positions[-1].log_position)
            )
            return
        self._positions.append(TimedPosition(taken_at, log_position))

    def clear(self):
        """Forget the marks, as the term has ended."""
        self._positions.clear()

    def find_covering(self, since):
        """Return the least position that proves a point in time.

        Parameters
        ----------
        since : float
            Every commit acknowledged before this clock time must be
            covered.

        Returns
        -------
        records.Mark or None
            None if no mark is young enough.
        """
        index = bisect.bisect_left(
            self._positions, since, key=lambda item: item.taken_at
        )
        if index == len(self._positions):
            return None
        return self._positions[index].log_position

    def _is_redundant(self, taken_at):
        """Tell whether the newest mark may move instead of a new one."""
        if len(self._positions) < 2:
            return False
        return taken_at - self._positions[-2].taken_at < MIN_SPACING_S

    def _drop_before(self, limit):
        while self._positions and self._positions[0].taken_at < limit:
            del self._positions[0]
