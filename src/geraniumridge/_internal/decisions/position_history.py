"""Positions of a primary's log by the time at which they were requested.

A position was read by a statement that was sent at some time. A target
that has reached it has every commit acknowledged before that time.
"""

import bisect
import typing

from geraniumridge._internal.models import records

RETENTION_S = 10.0
"""How long positions are kept; no route may allow older reads. For an older
bound, `PositionHistory.find_covering` returns the oldest position kept."""

MIN_SPACING_S = 0.05
"""Least time between two kept positions, which bounds their number."""


class TimedPosition(typing.NamedTuple):
    """Position of the primary's log after a statement.

    `sent_at` is the clock time at which the statement was sent, in seconds.
    """

    sent_at: float
    log_position: records.LogPosition


class PositionHistory:
    """Log positions of one group's primary, all of one term."""

    def __init__(self):
        self._positions = []
        self._term = 0

    @property
    def newest(self):
        """The newest `TimedPosition`, or None."""
        return self._positions[-1] if self._positions else None

    @property
    def term(self):
        """Highest term of a position so far, 0 if there was none."""
        return self._term

    def add(self, sent_at, log_position):
        """Add a position reported by the primary.

        Parameters
        ----------
        sent_at : float
            Clock time, in seconds, at which the statement that returned
            the position was sent.
        log_position : records.LogPosition
            Position after that statement.
        """
        if log_position.term < self._term:
            return
        if log_position.term > self._term:
            self._positions.clear()
            self._term = log_position.term
        if self._positions and sent_at < self._positions[-1].sent_at:
            return
        self._drop_before(sent_at - RETENTION_S)
        if self._is_redundant(sent_at):
            former = self._positions.pop()
            log_position = max(log_position, former.log_position)
        self._positions.append(TimedPosition(sent_at, log_position))

    def find_covering(self, since):
        """Return the least position known to cover a point in time.

        Parameters
        ----------
        since : float
            Every commit acknowledged before this clock time, in seconds,
            must be covered.

        Returns
        -------
        records.LogPosition or None
            None if no position was requested at that time or later.
        """
        index = bisect.bisect_left(
            self._positions, since, key=lambda item: item.sent_at
        )
        if index == len(self._positions):
            return None
        return self._positions[index].log_position

    def find_newest_since(self, since):
        """Return the newest position.

        Parameters
        ----------
        since : float
            Clock time, in seconds, at which it must have been requested at
            the earliest.

        Returns
        -------
        records.LogPosition or None
            None if it was requested earlier, or if there is none.
        """
        newest = self.newest
        if newest is None or newest.sent_at < since:
            return None
        return newest.log_position

    def _is_redundant(self, sent_at):
        """Return whether a new position may replace the newest one."""
        if len(self._positions) < 2:
            return False
        return sent_at - self._positions[-2].sent_at < MIN_SPACING_S

    def _drop_before(self, limit):
        while self._positions and self._positions[0].sent_at < limit:
            del self._positions[0]
