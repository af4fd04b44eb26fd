"""Counts that a collector has from the VMs of its domain, and their sums."""

import math
import typing

MIN_RATE_TIME_S = 0.5
"""Least time over which a rate is taken; shorter ones give wild rates."""

KILLED_GAP_S = 0.75
"""Time before a VM's end of which its counts may be missing. They are sent
each half second; the rest allows for one that is lost and repeated."""

SILENT_LISTED_S = 6.0
"""How long a VM that went silent is listed in the sums. It is longer than a
member's lease, during which the reporter expects its counts."""

RATE_MARGIN = 1.5
"""Factor on a VM's known rate for what may be missing from it."""

MIN_RATE_COUNT = 5
"""Least count of a window from which a rate is taken by itself. Smaller ones
are averaged with those of the window before."""

MAX_SENDERS = 32_768
"""Senders and windows of which parts are kept; 540 VMs and seven windows are
3,780."""

MAX_RUNS = 4_096
"""Runs of VMs of which a collector keeps counts, for each window."""


class Run(typing.NamedTuple):
    """One run of the proxy on a VM."""

    vm: str
    boot: str


class RunCounts(typing.NamedTuple):
    """Cumulative counts of a run for a window.

    They cover the first `covered_s` of the window. A greater `sequence`
    is newer; it grows over all windows of the run.
    """

    sequence: int
    covered_s: float
    is_final: bool
    counts: dict[str, int]


NO_COUNTS = RunCounts(0, 0.0, False, {})


class TeamCount(typing.NamedTuple):
    """Count of a team, and a bound on what is missing in it."""

    count: int
    missing: float


class OpenRun(typing.NamedTuple):
    """A run whose counts are not final, with those that are known.

    `sequence` is that of its newest counts.
    """

    sequence: int
    teams: dict[str, TeamCount]


class WindowSums(typing.NamedTuple):
    """Sums by team over the runs whose counts are final, and the others.

    The others are not part of the sums, so that they can be replaced by
    what another collector has of them.
    """

    teams: dict[str, int]
    final_runs: frozenset[Run]
    open_runs: dict[Run, OpenRun]


class PartAssembler:
    """Joins the parts of the newest message of each sender.

    Parts may be lost, repeated and late. Of each sender and window only
    the newest sequence is kept.
    """

    def __init__(self):
        self._incoming = {}

    def __len__(self):
        return len(self._incoming)

    def add(self, key, sequence, part, parts, content):
        """Add a part; return all contents once the last one is there.

        Parameters
        ----------
        key : hashable
            Sender and window.
        sequence : int
            Number of the message, which grows.
        part, parts : int
            Number of the part, from 0, and of all parts.
        content : object
            What the part holds.

        Returns
        -------
        list or None
            Contents of all parts, or None if some are missing or the
            message is not newer than one that was complete.
        """
        known = self._incoming.get(key)
        if known is None and len(self) >= MAX_SENDERS:
            return None
        if known is None or sequence > known[0]:
            known = self._incoming[key] = (sequence, parts, {})
        known_sequence, known_parts, contents = known
        is_other = sequence < known_sequence or parts != known_parts
        if is_other or contents is None or not 0 <= part < parts:
            return None
        contents[part] = content
        if len(contents) < parts:
            return None
        self._incoming[key] = (sequence, parts, None)
        return list(contents.values())

    def retain(self, is_kept):
        """Forget the senders and windows that a function is false of."""
        for key in [key for key in self._incoming if not is_kept(key)]:
            del self._incoming[key]


class CollectedCounts:
    """Counts of the last few windows by run.

    Parameters
    ----------
    window_s : float
        Length of a window, in seconds.
    """

    def __init__(self, window_s):
        self._window_s = window_s
        self._listed_windows = math.ceil(SILENT_LISTED_S / window_s)
        self._windows = {}

    def add(self, run, window, counts):
        """Add the `RunCounts` of a run, unless newer ones are known.

        Returns
        -------
        bool
            False if there are too many runs.
        """
        runs = self._windows.setdefault(window, {})
        known = runs.get(run)
        if known is None and len(runs) >= MAX_RUNS:
            return False
        if known is None or counts.sequence > known.sequence:
            runs[run] = counts
        return True

    def forget_before(self, window):
        """Forget the windows that no sums from a window on depend on."""
        oldest = window - self._listed_windows
        for former in [item for item in self._windows if item < oldest]:
            del self._windows[former]

    def make_sums(self, window, is_alive, excluded=frozenset()):
        """Return the `WindowSums` of a window, or None without counts.

        A VM that sent counts of the windows before and none of this one is
        listed with the bound on what may be missing from it.

        Parameters
        ----------
        window : int
            The window.
        is_alive : callable
            Whether a `Run` is registered. One that no longer is, while
            this collector is, was killed: only its last moments are missing.
        excluded : set of Run, optional
            Runs that are part of the sums of another collector.
        """
        runs = self._windows.get(window, {})
        teams = {}
        final_runs = set()
        open_runs = {}
        for run, counts in runs.items():
            if run in excluded:
                continue
            if counts.is_final:
                final_runs.add(run)
                for team, count in counts.counts.items():
                    teams[team] = teams.get(team, 0) + count
                continue
            gap_s = self._window_s - counts.covered_s
            if not is_alive(run):
                gap_s = min(gap_s, KILLED_GAP_S)
            former = self._windows.get(window - 1, {}).get(run, NO_COUNTS)
            open_runs[run] = OpenRun(
                counts.sequence, _bound_missing(counts, former, gap_s)
            )
        for run, (last_window, last) in self._find_silent(window).items():
            if run in excluded:
                continue
            gap_s = self._window_s
            if not is_alive(run):
                silent_s = (window - last_window) * self._window_s
                gap_s = KILLED_GAP_S + last.covered_s - silent_s
            open_runs[run] = OpenRun(
                last.sequence, _bound_missing(NO_COUNTS, last, gap_s)
            )
        if not final_runs and not open_runs:
            return None
        return WindowSums(teams, frozenset(final_runs), open_runs)

    def _find_silent(self, window):
        """Return the last window and counts of runs that are silent.

        Only the newest run of a VM can be: the earlier had ended before.
        """
        newest = {}
        for former in range(window - self._listed_windows, window):
            for run, counts in self._windows.get(former, {}).items():
                newest[run.vm] = (run, former, counts)
        runs = self._windows.get(window, {})
        return {
            run: (former, counts)
            for run, former, counts in newest.values()
            if run not in runs
        }


def _bound_missing(counts, former, gap_s):
    """Return the counts of a run with bounds for a gap without reports.

    `former` are its counts of an earlier window.
    """
    gap_s = max(0.0, gap_s)
    teams = {}
    for team in counts.counts.keys() | former.counts.keys():
        count = counts.counts.get(team, 0)
        rate = _estimate_rate(
            count,
            counts.covered_s,
            former.counts.get(team, 0),
            former.covered_s,
        )
        teams[team] = TeamCount(count, rate * gap_s * RATE_MARGIN)
    return teams


def _estimate_rate(count, covered_s, former_count, former_s):
    """Return a team's rate at a VM, from its last two windows."""
    together_s = max(covered_s + former_s, MIN_RATE_TIME_S)
    rate = (count + former_count) / together_s
    if count >= MIN_RATE_COUNT:
        rate = max(rate, count / max(covered_s, MIN_RATE_TIME_S))
    if former_count >= MIN_RATE_COUNT:
        rate = max(rate, former_count / max(former_s, MIN_RATE_TIME_S))
    return rate
