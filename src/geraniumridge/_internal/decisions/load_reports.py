"""Loads of targets, as the VMs of a failure domain report them.

Each VM reports the occupancy of targets by its own calls to its domain's
reader, which answers with the sums over the other VMs of the domain.
"""

import collections
import math
import typing

from geraniumridge._internal.decisions import load

MAX_AGE_S = 2.0
"""Age from which an observation is dropped. A VM reports every second at
least, so it has probably failed by then, or uses no such target any more."""

MAX_REPORTED_TARGETS = 16
"""Targets in a VM's report, the fullest first; bounds its size."""

MAX_SUMMED_TARGETS = 48
"""Targets in the reader's answer, three to each reported one; it must fit
into one datagram beside 8,192 bytes of changes."""

MIN_REPORTED_CALLS = 0.001
"""Least occupancy that is reported; a target with less has no recent
traffic."""


class Occupancy(typing.NamedTuple):
    """Mean number of calls outstanding at a target, observed `age_s` ago."""

    target: str
    calls: float
    age_s: float


class _Report(typing.NamedTuple):
    """What a VM reported, by target, and when it arrived."""

    arrived_at: float
    entries: dict


class _Sum(typing.NamedTuple):
    """Sum of calls, in thousandths, and of calls times observation time.

    They are integers, so that reports can be added and subtracted exactly.
    """

    calls: int = 0
    moment: int = 0

    def add(self, calls, observed_ms, sign=1):
        """Return the sum with one more report, or without it."""
        return _Sum(
            self.calls + sign * calls,
            self.moment + sign * calls * observed_ms,
        )


class LoadReports:
    """Reports of neighbours, and the sums that the reader sent.

    `unseen_ratio` is the number of VMs in other domains, which are not in
    the sums, for each VM of this domain.
    """

    def __init__(self):
        self.unseen_ratio = 0.0
        self._reports = collections.OrderedDict()
        self._sums = {}
        self._reported_at = -math.inf
        self._answer = {}
        self._answered_at = -math.inf

    def note_report(self, vm, occupancies, now):
        """Replace the report of a neighbour.

        Parameters
        ----------
        vm : str
            The neighbour.
        occupancies : iterable of Occupancy
            Its own calls; empty if it has none.
        now : float
            Clock time, in seconds.
        """
        self._expire(now)
        self._remove(vm)
        self._reported_at = now
        entries = {
            item.target: (
                round(item.calls * 1000),
                round((now - item.age_s) * 1000),
            )
            for item in occupancies
            if item.age_s <= MAX_AGE_S
        }
        if not entries:
            return
        self._reports[vm] = _Report(now, entries)
        for target, (calls, observed_ms) in entries.items():
            former = self._sums.get(target, _Sum())
            self._sums[target] = former.add(calls, observed_ms)

    def note_answer(self, occupancies, now):
        """Replace the sums that the reader sent.

        Parameters
        ----------
        occupancies : iterable of Occupancy
            Sums over the other VMs of the domain, for all targets of a
            group or none.
        now : float
            Clock time, in seconds.
        """
        self._answered_at = now
        self._answer = {
            item.target: (item.calls, now - item.age_s) for item in occupancies
        }

    def make_answer(self, vm, own, now):
        """Return the sums over all VMs of the domain but one.

        Parameters
        ----------
        vm : str
            The VM that they are for.
        own : dict of str to float
            Occupancy by this VM's own calls, of each target to include.
        now : float
            Clock time, in seconds.
        """
        self._expire(now)
        report = self._reports.get(vm)
        now_ms = round(now * 1000)
        own_ms = round((now - load.OCCUPANCY_WINDOW_S) * 1000)
        answer = []
        for target, calls in own.items():
            total = self._sums.get(target, _Sum())
            if report is not None and target in report.entries:
                total = total.add(*report.entries[target], sign=-1)
            total = total.add(round(calls * 1000), own_ms)
            answer.append(_make_occupancy(target, total, now_ms))
        return answer

    def get_others(self, target, now):
        """Return the `Occupancy` by the other VMs of the domain, or None.

        The reader's newest answer counts, or the reports if there is none,
        as on the reader itself.
        """
        if now - self._answered_at <= MAX_AGE_S:
            found = self._answer.get(target)
            if found is None:
                return None
            calls, observed_at = found
            return Occupancy(target, calls, max(0.0, now - observed_at))
        if now - self._reported_at > MAX_AGE_S:
            return None
        self._expire(now)
        total = self._sums.get(target, _Sum())
        return _make_occupancy(target, total, round(now * 1000))

    def _expire(self, now):
        """Drop the reports of VMs that no longer report."""
        while self._reports:
            vm, report = next(iter(self._reports.items()))
            if now - report.arrived_at <= MAX_AGE_S:
                return
            self._remove(vm)

    def _remove(self, vm):
        report = self._reports.pop(vm, None)
        if report is None:
            return
        for target, (calls, observed_ms) in report.entries.items():
            # The sum of reports without calls may have been dropped before.
            former = self._sums.pop(target, _Sum())
            left = former.add(calls, observed_ms, sign=-1)
            if left != _Sum():
                self._sums[target] = left


def select_reported(occupancies):
    """Return the occupancies to report: few, the fullest first.

    Parameters
    ----------
    occupancies : iterable of Occupancy
        Those of the VM's own calls.
    """
    reported = [
        item for item in occupancies if item.calls >= MIN_REPORTED_CALLS
    ]
    reported.sort(key=lambda item: item.calls, reverse=True)
    return reported[:MAX_REPORTED_TARGETS]


def select_summed(groups):
    """Return the targets of an answer, of whole groups only.

    A target that an answer lacks would otherwise seem empty.

    Parameters
    ----------
    groups : iterable of list of str
        The targets of each group that was asked for.
    """
    selected = []
    for targets in groups:
        if len(selected) + len(targets) <= MAX_SUMMED_TARGETS:
            selected.extend(targets)
    return selected


def _make_occupancy(target, total, now_ms):
    if total.calls <= 0:
        return Occupancy(target, 0.0, load.OCCUPANCY_WINDOW_S)
    age_ms = max(0, now_ms - total.moment // total.calls)
    return Occupancy(target, total.calls / 1000, age_ms / 1000)
