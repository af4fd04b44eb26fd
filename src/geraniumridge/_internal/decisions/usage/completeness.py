"""Whether the counts of a window are complete enough for its report."""

import enum
import typing

from geraniumridge._internal.decisions.usage import merging

NEGLIGIBLE_MISSING = 0.5
"""Bound on what is missing in a team's count that is taken for nothing.

Below 1 / tolerance requests, one request exceeds the tolerance. Such a team
is reported only if less than half a request is expected to be missing.
"""

MAX_COLLECTORS = 1_024
"""VMs whose sums of a window are kept. There is one for each domain, and
more while VMs change over to another."""


class Completeness(enum.Enum):
    """How complete the counts of a window are.

    After `WITHIN_TOLERANCE` more counts may come, but what is missing
    exceeds no team's tolerance.
    """

    COMPLETE = "complete"
    WITHIN_TOLERANCE = "within tolerance"
    INCOMPLETE = "incomplete"


class Verdict(typing.NamedTuple):
    """Sums of a window and how complete they are.

    `open_vms` are those whose counts are missing or not final, and
    `teams_in_doubt` the teams whose tolerance may be exceeded.
    """

    completeness: Completeness
    counts: dict[str, int]
    open_vms: frozenset[str]
    teams_in_doubt: frozenset[str]


class ReceivedSums:
    """Sums that the collectors sent, by window.

    Parameters
    ----------
    tolerance : float
        Tolerated relative error of a team's count.
    """

    def __init__(self, tolerance):
        self._tolerance = tolerance
        self._windows = {}

    def add(self, collector, window, sums):
        """Set the newest sums of a collector, a `merging.Run`.

        They are not used if a run is part of the final sums of another
        collector, which happens if the run's receipt was lost and it changed
        to another collector.

        Returns
        -------
        bool
            Whether the final sums differ from those known before.
        frozenset of merging.Run
            Runs that the collector has to leave out. Without any, the sums
            were taken.
        """
        received = self._windows.setdefault(window, {})
        known = received.get(collector)
        if known is None and len(received) >= MAX_COLLECTORS:
            return False, frozenset()
        conflicts = frozenset().union(
            *(
                sums.final_runs & other.final_runs
                for name, other in received.items()
                if name != collector
            )
        )
        if conflicts:
            return False, conflicts
        received[collector] = sums
        former = known and (known.teams, known.final_runs)
        return former != (sums.teams, sums.final_runs), conflicts

    def forget_before(self, window):
        """Forget the windows before one."""
        for former in [item for item in self._windows if item < window]:
            del self._windows[former]

    def judge(self, window, vms):
        """Return the `Verdict` on a window.

        Parameters
        ----------
        window : int
            The window.
        vms : iterable of str
            VMs that were registered in it. Counts of others are added, and
            theirs must be final as well.
        """
        received = list(self._windows.get(window, {}).values())
        final_runs = frozenset().union(*(item.final_runs for item in received))
        open_runs = {
            run: item
            for run, item in _find_newest(received).items()
            if run not in final_runs
        }
        listed = {run.vm for run in final_runs | open_runs.keys()}
        unlisted = frozenset(vms) - listed
        teams = _add_up(received, open_runs.values())
        in_doubt = frozenset(
            team for team, item in teams.items() if self._is_in_doubt(item)
        )
        if unlisted or in_doubt:
            result = Completeness.INCOMPLETE
        elif open_runs:
            result = Completeness.WITHIN_TOLERANCE
        else:
            result = Completeness.COMPLETE
        counts = {
            team: item.count for team, item in teams.items() if item.count
        }
        open_vms = unlisted | {run.vm for run in open_runs}
        return Verdict(result, counts, open_vms, in_doubt)

    def _is_in_doubt(self, item):
        allowed = max(self._tolerance * item.count, NEGLIGIBLE_MISSING)
        return item.missing > allowed


def _find_newest(received):
    """Return the newest `merging.OpenRun` of each run that is open."""
    newest = {}
    for sums in received:
        for run, item in sums.open_runs.items():
            known = newest.get(run)
            if known is None or item.sequence > known.sequence:
                newest[run] = item
    return newest


def _add_up(received, open_runs):
    teams = {}
    final = [
        (team, merging.TeamCount(count, 0.0))
        for sums in received
        for team, count in sums.teams.items()
    ]
    not_final = [entry for run in open_runs for entry in run.teams.items()]
    for team, item in final + not_final:
        known = teams.get(team, merging.TeamCount(0, 0.0))
        teams[team] = merging.TeamCount(
            known.count + item.count, known.missing + item.missing
        )
    return teams
