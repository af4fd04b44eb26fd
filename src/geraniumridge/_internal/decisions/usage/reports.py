"""What the collected counts of a window come to."""

import typing


class UsageReport(typing.NamedTuple):
    """Requests of each team that began to run within a window."""

    window: int
    counts: dict[str, int]


class SkippedWindow(typing.NamedTuple):
    """A window that is not reported, and why."""

    window: int
    reason: str
