"""Time of day that the VMs of a fleet agree on, and the windows by it."""

import math
import statistics

JUMP_S = 0.05
"""Difference between two readings of one VM's time of day above which it
has jumped. Slewing and network delays stay below it."""

JUMP_ACCEPTED_AFTER_S = 300.0
"""How long a VM's time of day must keep its new value after a jump before
it counts again."""

READING_VALID_S = 150.0
"""Age above which the reading of another VM's time of day is dropped."""

MAX_SLEW = 0.005
"""Most by which the offset moves in a second. A window is then at most half
a percent longer or shorter than it should be."""

OUTVOTING_OTHERS = 3
"""Other VMs from which on one wrong time of day is outvoted for certain."""

FEW_OTHERS_WAIT_S = 3.0
"""How long a VM that hears fewer waits for more. When all VMs start, one is
registered first."""


class _Source:
    """Offset of one VM's time of day from this VM's boot clock."""

    def __init__(self, offset, now):
        self.offset = offset
        self.read_at = now
        self._new_offset = offset
        self._jumped_at = None

    @property
    def is_steady(self):
        """Whether the newest reading agrees with the earlier ones."""
        return self._jumped_at is None

    def add(self, offset, now):
        """Add a reading."""
        self.read_at = now
        if abs(offset - self.offset) <= JUMP_S:
            self.offset = offset
            self._jumped_at = None
            return
        if self.is_steady or abs(offset - self._new_offset) > JUMP_S:
            self._jumped_at = now
        self._new_offset = offset
        if now - self._jumped_at >= JUMP_ACCEPTED_AFTER_S:
            self.offset = offset
            self._jumped_at = None


class UsageClock:
    """True time as the boot clock plus an offset, and windows by it.

    The offset is the median over the VMs whose time of day is read. A VM
    whose time of day has jumped is left out; if none is left, the offset
    stays as it is.

    Parameters
    ----------
    window_s : float
        Length of a window, in seconds.
    own : str
        Name of the VM itself. Its time of day counts only if it is one of
        the references, or until those are heard.
    time_of_day : float
        Its time of day, in seconds since the start of 1970.
    now : float
        Time on the boot clock at which it was read.
    """

    def __init__(self, window_s, own, time_of_day, now):
        self._window_s = window_s
        self._own = own
        self._references = frozenset()
        self._sources = {own: _Source(time_of_day - now, now)}
        self._offset = time_of_day - now
        self._median = self._offset
        self._started_at = now
        self._updated_at = now
        self._can_outvote = False
        self._steady_since = -math.inf
        self._is_settled = False

    @property
    def is_settled(self):
        """Whether the windows follow the time of day of the fleet.

        Until then the offset moves at once to the median.
        """
        return self._is_settled

    @property
    def window_s(self):
        """Length of a window, in seconds."""
        return self._window_s

    @property
    def deviation_s(self):
        """Seconds by which the offset still has to move to the median."""
        return abs(self._median - self._offset)

    @property
    def steady_since(self):
        """Boot time since which the offset moves slowly.

        Windows that began before were counted by other bounds. It is minus
        infinity unless the first few VMs of a fleet had wrong clocks.
        """
        return self._steady_since

    def set_references(self, vms):
        """Set the VMs whose time of day is read, and forget all others."""
        self._references = frozenset(vms)
        kept = self._references | {self._own}
        for vm in self._sources.keys() - kept:
            del self._sources[vm]

    def note_reading(self, vm, time_of_day, now):
        """Add a reading of a VM's time of day.

        Parameters
        ----------
        vm : str
            One of the references, or the VM itself.
        time_of_day : float
            Seconds since the start of 1970 by that VM.
        now : float
            Time on this VM's boot clock at which it was read.
        """
        if vm != self._own and vm not in self._references:
            return
        offset = time_of_day - now
        if vm in self._sources:
            self._sources[vm].add(offset, now)
        else:
            self._sources[vm] = _Source(offset, now)
        self._update(now)

    def settle(self, now):
        """Let windows begin, if enough references have been heard.

        That is half of the others. A VM that hears fewer is cut off, and
        its counts cannot be collected either.
        """
        others = self._references - {self._own}
        heard = others & self._sources.keys()
        is_waiting = now - self._started_at < FEW_OTHERS_WAIT_S
        if is_waiting and len(heard) < OUTVOTING_OTHERS:
            return
        if 2 * len(heard) >= len(others):
            self._update(now)
            self._is_settled = True

    def get_true_time(self, now):
        """Return the seconds since the start of 1970 at a boot time."""
        return now + self._offset

    def get_window(self, now):
        """Return the number of the window at a boot time."""
        return math.floor(self.get_true_time(now) / self._window_s)

    def get_end(self, window):
        """Return the boot time at which a window ends."""
        return (window + 1) * self._window_s - self._offset

    def _update(self, now):
        steady = {
            vm: source.offset
            for vm, source in self._sources.items()
            if source.is_steady and now - source.read_at <= READING_VALID_S
        }
        if self._own not in self._references and len(steady) > 1:
            steady.pop(self._own, None)
        if steady:
            self._median = statistics.median(steady.values())
        step = self._median - self._offset
        others = steady.keys() - {self._own}
        if not self._can_outvote and len(others) >= OUTVOTING_OTHERS:
            self._can_outvote = True
            if self._is_settled and abs(step) > JUMP_S:
                self._steady_since = now
        elif self._is_settled:
            most = MAX_SLEW * max(0.0, now - self._updated_at)
            step = min(most, max(-most, step))
        self._offset += step
        self._updated_at = max(now, self._updated_at)
