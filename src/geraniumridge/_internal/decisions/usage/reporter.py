"""Which VM reports the usage, and when it may do so.

The reporter holds a key of the store under a lease of its own. The key's
revision is its fencing token. The platform refuses neither a lower token nor
a late call, so a holder stops before its lease can have ended, and a
successor waits until no call of its predecessor can still arrive.
"""

import enum
import math
import typing

from geraniumridge._internal.decisions import clock_drift
from geraniumridge._internal.models import fleet

MIN_LEASE_S = 3.0
"""Shortest lease of the reporter; one renewal may go unanswered for a second
without its end."""

RENEWALS_PER_LEASE = 3
"""Renewals in the duration of one lease."""

STOP_MARGIN_S = 0.1
"""Time before the end of the lease at which the holder stops, in addition to
the allowance for clock drift."""

LATE_CALL_S = 3.0
"""Longest time from a check of the lease to the arrival of the call that
follows it. The call is abandoned after 1.5 s, when its undelivered bytes are
dropped; the rest is for a process that is suspended between check and call."""

RANK_DELAY_S = 0.25
"""Delay per rank in the order of VMs before one tries to become the reporter;
covers a write to the store and its notification to the others."""

RETRY_DELAY_S = 2.0
"""Delay after an attempt to become the reporter that failed."""

GIVE_UP_DELAY_S = 10.0
"""Additional delay of a VM that has recently given the key up."""

GIVE_UP_MEMORY_S = 30.0
"""How long that delay applies."""


class Action(enum.Enum):
    """What a VM may do."""

    WAIT = "wait"
    ACQUIRE = "acquire"
    REPORT = "report"


class Decision(typing.NamedTuple):
    """An `Action`.

    `revision` is the one that the reporter key must have: for `ACQUIRE` when
    the key is written, for `REPORT` the fencing token.
    """

    action: Action
    revision: int = 0


WAIT = Decision(Action.WAIT)


class Observation(typing.NamedTuple):
    """What a VM knows of the reporter key and of its lease.

    `revision` is that of the store view, and `is_current` whether the view is
    recent enough to act on a missing key. `key_revision` and `reporter` are
    the key's, 0 and None if it is missing. `lease` and `lease_until` are the
    VM's lease for the key, 0 without one, and the clock time in seconds up to
    which it lasts at least. `rank` is the VM's place among the members.
    """

    revision: int
    is_current: bool
    key_revision: int
    reporter: fleet.UsageReporter | None
    lease: int
    lease_until: float
    rank: int


class _Tenure(typing.NamedTuple):
    fence: int
    lease: int
    begins_at: float


def get_lease_s(lease_s, least_lease_s):
    """Return the duration of the reporter's lease, in seconds.

    Parameters
    ----------
    lease_s : float
        Time within which two holders may not act in turns.
    least_lease_s : float
        Shortest lease that the store grants.
    """
    return max(lease_s, least_lease_s, MIN_LEASE_S)


class Reporter:
    """Whether one VM is the reporter; all times in seconds.

    Parameters
    ----------
    vm : str
        Name of the VM.
    boot : str
        Identity of this run of the daemon.
    lease_s : float
        Duration of the lease.
    """

    def __init__(self, vm, boot, lease_s):
        self._vm = vm
        self._boot = boot
        drift_factor = clock_drift.CLOCK_DRIFT_FACTOR
        self._stop_margin_s = lease_s * (1 - 1 / drift_factor) + STOP_MARGIN_S
        # A wait of the whole lease, after each change of holder, also rules
        # out that two holders act in turns within that time.
        self._successor_wait_s = max(lease_s, LATE_CALL_S) * drift_factor
        self._replacement_wait_s = lease_s * drift_factor
        self._tenure = None
        self._free_since = None
        self._unreadable = (0, math.inf)
        self._retry_at = -math.inf
        self._gave_up_at = -math.inf
        self._is_stopped = False

    @property
    def fence(self):
        """Fencing token of the present tenure, 0 without one."""
        return self._tenure.fence if self._tenure else 0

    def decide(self, now, seen):
        """Return the `Decision` for an `Observation`."""
        self._note_unreadable(now, seen)
        if self._is_stopped:
            return WAIT
        if self._tenure is not None and self._is_lost(seen):
            self._tenure = None
        if self._tenure is None:
            self._adopt(now, seen)
        if self._tenure is not None:
            return self._decide_as_holder(now, seen)
        return self._decide_as_candidate(now, seen)

    def note_attempt(self, now):
        """Record that the VM tries to become the reporter."""
        self._retry_at = now + RETRY_DELAY_S

    def note_acquired(self, now, fence, lease, expected_revision):
        """Record that the store has accepted the VM as reporter.

        Parameters
        ----------
        now : float
            Clock time after the answer.
        fence : int
            Revision of the key.
        lease : int
            Lease that the key is bound to.
        expected_revision : int
            Revision of the key that was replaced, 0 for none.
        """
        self._begin(now, fence, lease, bool(expected_revision))

    def give_up(self, now):
        """End the tenure, as the platform does not answer this VM."""
        self._tenure = None
        self._gave_up_at = now

    def stop(self):
        """End the tenure for good."""
        self._tenure = None
        self._is_stopped = True

    def _begin(self, now, fence, lease, is_replacement):
        wait_s = self._successor_wait_s
        if is_replacement:
            # The lease of the replaced key may go on.
            wait_s += self._replacement_wait_s
        self._tenure = _Tenure(fence, lease, now + wait_s)

    def _is_lost(self, seen):
        if seen.lease != self._tenure.lease:
            return True
        is_shown = seen.revision >= self._tenure.fence
        return is_shown and seen.key_revision != self._tenure.fence

    def _adopt(self, now, seen):
        """Begin the tenure of a key whose write went unanswered."""
        own = fleet.UsageReporter(self._vm, self._boot, seen.lease)
        if seen.lease and seen.reporter == own:
            # Whether the write replaced another key is no longer known.
            self._begin(now, seen.key_revision, seen.lease, True)

    def _decide_as_holder(self, now, seen):
        tenure = self._tenure
        if (
            now < tenure.begins_at
            or seen.revision < tenure.fence
            or now >= seen.lease_until - self._stop_margin_s
        ):
            return WAIT
        return Decision(Action.REPORT, tenure.fence)

    def _decide_as_candidate(self, now, seen):
        if seen.reporter is not None and not self._may_replace(now):
            self._free_since = None
            return WAIT
        if not seen.is_current:
            return WAIT
        if self._free_since is None:
            self._free_since = now
        delay_s = seen.rank * RANK_DELAY_S
        if now - self._gave_up_at < GIVE_UP_MEMORY_S:
            delay_s += GIVE_UP_DELAY_S
        if now < max(self._free_since + delay_s, self._retry_at):
            return WAIT
        return Decision(Action.ACQUIRE, seen.key_revision)

    def _note_unreadable(self, now, seen):
        if seen.reporter != fleet.UNREADABLE_USAGE_REPORTER:
            self._unreadable = (0, math.inf)
        elif self._unreadable[0] != seen.key_revision:
            self._unreadable = (seen.key_revision, now)

    def _may_replace(self, now):
        """Return whether an unreadable key has outlived a lease."""
        return now - self._unreadable[1] > 2 * self._replacement_wait_s
