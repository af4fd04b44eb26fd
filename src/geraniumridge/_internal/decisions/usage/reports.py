"""Results of collecting the usage of a window."""

import typing


class UsageReport(typing.NamedTuple):
    """Number of requests that targets began to run, for each team.

    `window` is the number of the window since the start of 1970. Teams
    without requests are left out.
    """

    window: int
    counts: dict[str, int]


class SkippedWindow(typing.NamedTuple):
    """A window for which no report can be made.

    `reason` is one of the words of this module, for a log line and a
    counter.
    """

    window: int
    reason: str


BEFORE_START = "before_start"
"""The window began before the reporter could know all of its counts."""

MISSING_COUNTS = "missing_counts"
"""Counts are missing that may exceed the tolerance."""

NO_MEMBERS = "no_members"
"""The VMs that ran in the window are not known."""

CLOCK_MOVED = "clock_moved"
"""The common clock moved too far for the window's bounds to be known."""

TOO_LATE = "too_late"
"""The window ended longer ago than counts are kept."""
