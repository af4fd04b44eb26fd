"""Operations that targets began to run, for each window and team."""

import math
import typing

SLOT_S = 0.05
"""Resolution of the times of requests counted before the clock settled."""


class WindowCounts(typing.NamedTuple):
    """Cumulative counts of a window by team.

    `change_count` grows with each change of the window's counts.
    """

    change_count: int
    counts: dict[str, int]


class UsageCounter:
    """Counts of this VM for the last few windows.

    Parameters
    ----------
    clock : decisions.usage.clock.UsageClock
        Gives the window of a time.
    is_known_team : callable
        Whether a team is in the configuration. Others are not counted.
    retained_windows : int
        Number of windows that are kept, the present one included.
    """

    def __init__(self, clock, is_known_team, retained_windows):
        self._clock = clock
        self._is_known_team = is_known_team
        self._retained_windows = retained_windows
        self._windows = {}
        self._change_counts = {}
        self._slots = {}
        retained_s = retained_windows * clock.window_s
        self._retained_slots = math.ceil(retained_s / SLOT_S)

    def note_begun(self, team, now):
        """Count an operation whose first statement is sent to a target now."""
        self._add(team, now, 1)

    def note_refused(self, team, sent_at):
        """Take back an operation that the target said it did not begin.

        `sent_at` is the time that `note_begun` was given for it.
        """
        self._add(team, sent_at, -1)

    def get_counts(self, window):
        """Return the `WindowCounts` of a window."""
        counts = {
            team: count
            for team, count in self._windows.get(window, {}).items()
            if count > 0
        }
        return WindowCounts(self._change_counts.get(window, 0), counts)

    def update(self, now):
        """Assign what was counted before the clock settled; forget the old.

        Called several times a window.
        """
        if not self._clock.is_settled:
            return
        slots, self._slots = self._slots, {}
        for slot, counts in slots.items():
            window = self._clock.get_window(slot * SLOT_S)
            for team, count in counts.items():
                self._add_to_window(window, team, count)
        oldest = self._clock.get_window(now) - self._retained_windows + 1
        for window in [item for item in self._windows if item < oldest]:
            del self._windows[window]
            del self._change_counts[window]

    def _add(self, team, now, amount):
        if not self._is_known_team(team):
            return
        if self._clock.is_settled:
            self._add_to_window(self._clock.get_window(now), team, amount)
            return
        slot = round(now / SLOT_S)
        counts = self._slots.setdefault(slot, {})
        counts[team] = counts.get(team, 0) + amount
        for former in [
            item for item in self._slots if item < slot - self._retained_slots
        ]:
            del self._slots[former]

    def _add_to_window(self, window, team, amount):
        counts = self._windows.setdefault(window, {})
        counts[team] = counts.get(team, 0) + amount
        changes = self._change_counts
        changes[window] = changes.get(window, 0) + 1
