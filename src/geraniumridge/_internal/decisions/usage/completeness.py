"""Whether the counts of a window are complete enough for its report."""

import enum
import typing

NEGLIGIBLE_MISSING = 0.5
"""Bound on what is missing in a small team's count that is taken for nothing.

Below 1 / tolerance requests, one request exceeds the tolerance. Such a team
prevents a report only if more than half a request may be missing, since
otherwise each VM that is killed would cost a report.
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


class TeamTotal(typing.NamedTuple):
    """A team's count over all runs, and what may be missing in it.

    `missing` is the sum of the runs' bounds, and `most_missing` that of the
    bounds rounded up to one request.
    """

    count: int
    missing: float
    most_missing: float


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

    def judge(self, window, registered):
        """Return the `Verdict` on a window.

        Parameters
        ----------
        window : int
            The window.
        registered : iterable of merging.Run
            Runs that were registered in it. Counts of others are added, and
            theirs must be final as well.
        """
        received = list(self._windows.get(window, {}).values())
        final_runs = frozenset().union(*(item.final_runs for item in received))
        open_runs = {
            run: item
            for run, item in _find_newest(received).items()
            if run not in final_runs
        }
        listed = final_runs | open_runs.keys()
        unlisted = {run.vm for run in frozenset(registered) - listed}
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
        open_vms = frozenset(unlisted | {run.vm for run in open_runs})
        return Verdict(result, counts, open_vms, in_doubt)

    def _is_in_doubt(self, item):
        allowed = self._tolerance * item.count
        if allowed < 1.0:
            return item.missing > NEGLIGIBLE_MISSING
        return item.most_missing > allowed


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
    """Return the `TeamTotal` by team of final sums and open runs."""
    teams = {}
    for sums in received:
        for team, count in sums.teams.items():
            _add(teams, team, count, 0.0)
    for run in open_runs:
        for team, item in run.teams.items():
            _add(teams, team, item.count, item.missing)
    return teams


def _add(teams, team, count, missing):
    known = teams.get(team, TeamTotal(0, 0.0, 0.0))
    teams[team] = TeamTotal(
        known.count + count,
        known.missing + missing,
        known.most_missing + (max(1.0, missing) if missing > 0 else 0.0),
    )
