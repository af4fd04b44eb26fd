"""Windows that one reporter decides, records and sends, in their order.

A window is decided once: its report is fixed before it is recorded, and only
what is recorded is sent. Windows are recorded in rising order, and the newest
record is kept, so a deleted record's window is never recorded again with
other counts.
"""

import math
import typing

from geraniumridge._internal.decisions.usage import reports

MAX_DELETES = 24
"""Records deleted in one transaction, which may have 32 entries."""

MAX_RECORD_BYTES = 2**20 - 1024
"""Largest record, somewhat below the largest value of the store."""

MAX_COUNT = 2**53
"""Largest count; a larger one does not survive as a JSON number."""

MAX_NAMED_MISSES = 100
"""Windows without a reporter that are counted after a takeover, at most."""

KEEP_S = 120.0
"""How long a record is kept once it is no longer useful. A successor whose
clock is behind by less than that still sees what has been decided."""

NO_REPORTER = "no reporter"
INCOMPLETE = "incomplete"
NOT_RECORDED = "not recorded"
INVALID_COUNTS = "invalid counts"
TOO_LARGE = "too large"
UNREADABLE_RECORD = "unreadable record"


class _Call(typing.NamedTuple):
    counts: dict
    attempts: int


def is_valid(counts):
    """Return whether counts can be reported."""
    return all(
        isinstance(team, str)
        and type(count) is int
        and 0 <= count <= MAX_COUNT
        for team, count in counts.items()
    )


class WindowQueue:
    """Windows of one tenure of the reporter; all times in seconds.

    Parameters
    ----------
    fence : int
        The reporter's fencing token.
    usage_clock : object
        Has `get_window(now)` and `get_end(window)`.
    late_s : float
        A report is due that long after its window's end. It is repeated for
        as long again: the platform ignores a repeat, and a late report may
        be better than none.
    """

    def __init__(self, fence, usage_clock, late_s):
        self.fence = fence
        self._clock = usage_clock
        self._late_s = late_s
        self._next = None
        self._decided = None
        self._calls = {}

    def start(self, now, records):
        """Choose the first window; return those skipped before it.

        Reports that a predecessor has recorded are sent again, as its
        records do not tell which were answered.

        Parameters
        ----------
        now : float
            Clock time.
        records : dict of int
            All recorded windows, with a `fleet.UsageRecord` each.

        Returns
        -------
        list of reports.SkippedWindow
        """
        current = self._clock.get_window(now)
        first = current
        while not self.is_overdue(first - 1, now):
            first -= 1
        newest = _find_newest(records, current)
        for window, record in records.items():
            is_useful = window <= current and now < self._get_useful_end(
                window
            )
            if is_useful and record.is_readable:
                self._calls[window] = _Call(record.counts, 0)
        if newest is None:
            self._next = first
            return []
        self._next = max(first, newest + 1)
        missed = range(max(newest + 1, first - MAX_NAMED_MISSES), first)
        return [reports.SkippedWindow(item, NO_REPORTER) for item in missed]

    def pass_over_old(self, now):
        """Pass over windows that are long overdue; return how many.

        The clock of the first VMs may be far off until others are heard.
        """
        oldest = self._clock.get_window(now) - MAX_NAMED_MISSES
        while not self.is_overdue(oldest, now):
            oldest -= 1
        count = max(0, oldest - self._next)
        self._next += count
        return count

    def find_window(self, now):
        """Return the next window to decide, or None before its end."""
        if now < self._clock.get_end(self._next):
            return None
        return self._next

    def is_overdue(self, window, now):
        """Return whether a window's report is no longer in time."""
        return now >= self._clock.get_end(window) + self._late_s

    def get_decided(self, window):
        """Return the fixed `reports.UsageReport` of a window, or None."""
        is_decided = self._decided and self._decided.window == window
        return self._decided if is_decided else None

    def decide(self, report):
        """Fix the report of the window that `find_window` names."""
        self._decided = report

    def skip(self, window, reason):
        """Pass over a window and return the `reports.SkippedWindow`."""
        self._next = window + 1
        return reports.SkippedWindow(window, reason)

    def note_recorded(self, window, counts):
        """Record that the store has a window's report."""
        self._next = max(self._next, window + 1)
        self._calls.setdefault(window, _Call(counts, 0))

    def find_call(self, now):
        """Return the `reports.UsageReport` to send next, or None.

        Reports that are not overdue come first, then those that were tried
        least.
        """
        for window in list(self._calls):
            if now >= self._get_useful_end(window):
                del self._calls[window]
        window = min(
            self._calls,
            key=lambda item: (
                self.is_overdue(item, now),
                self._calls[item].attempts,
                item,
            ),
            default=None,
        )
        if window is None:
            return None
        return reports.UsageReport(window, self._calls[window].counts)

    def is_useful(self, window, now):
        """Return whether a window's report may still be sent."""
        return window in self._calls and now < self._get_useful_end(window)

    def note_attempt(self, window):
        """Record that a report is sent."""
        call = self._calls[window]
        self._calls[window] = call._replace(attempts=call.attempts + 1)

    def note_answered(self, window):
        """Record that the platform has taken a report."""
        self._calls.pop(window, None)

    def list_obsolete(self, now, records):
        """Return the recorded windows whose records may be deleted."""
        newest = _find_newest(records, self._clock.get_window(now))
        if newest is None:
            return []
        obsolete = (
            window
            for window in sorted(records)
            if window < newest and now >= self._get_useful_end(window) + KEEP_S
        )
        return [window for window, _ in zip(obsolete, range(MAX_DELETES))]

    def _get_useful_end(self, window):
        return self._clock.get_end(window) + 2 * self._late_s


def find_newest_age(now, usage_clock, records):
    """Return the age in seconds of the newest recorded window, or infinity."""
    newest = _find_newest(records, usage_clock.get_window(now))
    if newest is None:
        return math.inf
    return now - usage_clock.get_end(newest)


def _find_newest(records, current):
    """Return the newest window, passing over those of a wrong clock."""
    return max((item for item in records if item <= current), default=None)
