"""Proofs of how far a group's log must reach for a read.

A mark is the head of the primary's log at a known time. A read at a
log that has reached the mark sees every commit acknowledged before
that time.
"""

import bisect
import typing

from geraniumridge._internal.models import records

KEEP_S = 10.0
"""How long marks are kept; no route may ask for older ones."""

SPACING_S = 0.05
"""Least distance of kept marks, which bounds their number."""


class TimedMark(typing.NamedTuple):
    """Head of the primary's log at a clock time, in seconds."""

    taken_at: float
    mark: records.LogPosition


class Marks:
    """Marks of one group, all of one term."""

    def __init__(self):
        self._items = []
        self._term = 0

    @property
    def newest(self):
        """The newest `TimedMark`, or None."""
        return self._items[-1] if self._items else None

    @property
    def term(self):
        """Term of the marks, 0 without any."""
        return self._term

    def add(self, taken_at, mark):
        """Take in the primary's position.

        Parameters
        ----------
        taken_at : float
            When the statement that it came with was sent.
        mark : records.LogPosition
            Position after that statement.
        """
        if mark.term < self._term:
            return
        if mark.term > self._term:
            self._items.clear()
            self._term = mark.term
        if self._items and taken_at < self._items[-1].taken_at:
            return
        self._drop_before(taken_at - KEEP_S)
        if self._is_redundant(taken_at):
            self._items[-1] = TimedMark(
                taken_at, max(mark, self._items[-1].mark)
            )
            return
        self._items.append(TimedMark(taken_at, mark))

    def clear(self):
        """Forget the marks, as the term has ended."""
        self._items.clear()

    def find_oldest(self, since):
        """Return the least position that proves a point in time.

        Parameters
        ----------
        since : float
            Every commit acknowledged before this clock time must be
            covered.

        Returns
        -------
        records.LogPosition or None
            None if no mark is young enough.
        """
        index = bisect.bisect_left(
            self._items, since, key=lambda item: item.taken_at
        )
        if index == len(self._items):
            return None
        return self._items[index].mark

    def _is_redundant(self, taken_at):
        """Tell whether the newest mark may move instead of a new one."""
        if len(self._items) < 2:
            return False
        return taken_at - self._items[-2].taken_at < SPACING_S

    def _drop_before(self, limit):
        while self._items and self._items[0].taken_at < limit:
            del self._items[0]
