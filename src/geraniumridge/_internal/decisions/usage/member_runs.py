"""Runs of VMs that were registered in a window."""

import math

from geraniumridge._internal.decisions.usage import merging


class MemberRuns:
    """Runs by the time in which they were registered; times in seconds.

    `decisions.roster.Roster` knows VMs only. A VM that was killed and has
    started again is registered throughout, but its first run has ended.
    """

    def __init__(self):
        self._begun_at = {}
        self._ended_at = {}

    def update(self, members, now):
        """Set the registered `fleet.Member`, several times a window."""
        present = {
            merging.Run(member.vm, member.boot) for member in members.values()
        }
        for run in present:
            self._begun_at.setdefault(run, now)
            self._ended_at.pop(run, None)
        for run in self._begun_at.keys() - present:
            self._ended_at.setdefault(run, now)

    def list_between(self, begin, end):
        """Return the runs that were registered between two times."""
        return frozenset(
            run
            for run, begun_at in self._begun_at.items()
            if begun_at < end and self._ended_at.get(run, math.inf) > begin
        )

    def forget_before(self, time):
        """Forget the runs that ended before a time."""
        for run, ended_at in list(self._ended_at.items()):
            if ended_at < time:
                del self._ended_at[run]
                del self._begun_at[run]
