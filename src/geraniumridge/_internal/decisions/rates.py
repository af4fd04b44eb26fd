"""Limits of teams over all VMs.

A part of each limit is split evenly: every VM may always use its own
`Reserve`. The rest is a `MasterBucket` at one VM, the team's limiter,
from which the others draw tokens that soon expire.
"""

import math
import typing

from geraniumridge._internal.utils import rendezvous

RESERVE = 0.10
"""Part of a limit that is split evenly; it lets VMs serve a little
while a team's limiter is out of reach."""

DRAWN = 0.92
"""Part of a limit that is drawn from the limiter. Over the window of
five seconds, both parts and what was drawn before it, `GRANT_S` of
rate, stay below the tolerance of a tenth."""

GRANT_S = 0.4
"""Life of drawn tokens; what all VMs may hold unspent must fit into
the tolerance of the limit, a tenth of five seconds' rate."""

OWNER_AGE_S = 2.5
"""A limiter grants only while its knowledge is at most this old. With
the time between two renewals it stays below the lease of a member, so
that a successor never grants at the same time."""

JOIN_S = 2.5
"""A VM becomes a limiter only so long after it joined, when every
former one has seen it."""

REMEMBER_S = 10.0
"""How long VMs that left count for the even split."""


class Allowance(typing.NamedTuple):
    """Rate in tokens per second, burst in tokens."""

    rate: float
    burst: float

    def scale(self, share):
        """Return a part of the allowance."""
        return Allowance(self.rate * share, self.burst * share)


class Bucket:
    """Token bucket that starts empty, as others may have spent it.

    Parameters
    ----------
    now : float
        Clock time, in seconds.
    """

    def __init__(self, now):
        self._level = 0.0
        self._filled_at = now

    def take(self, allowance, wanted, now):
        """Take up to some whole tokens and return their number."""
        gained = max(0.0, now - self._filled_at) * allowance.rate
        self._level = min(allowance.burst, self._level + gained)
        self._filled_at = now
        taken = max(0, min(wanted, int(self._level)))
        self._level -= taken
        return taken

    def find_retry(self, allowance):
        """Return the seconds until there is a token, or infinity."""
        if allowance.rate <= 0 or allowance.burst < 1:
            return math.inf
        return max(0.0, (1 - self._level) / allowance.rate)


class Stock:
    """Tokens drawn from a limiter, until they expire."""

    def __init__(self):
        self._batches = []

    def add(self, tokens, expires_at):
        """Add tokens that may be used before a clock time."""
        if tokens > 0:
            self._batches.append([tokens, expires_at])

    def take(self, now):
        """Take one token; tells whether there was one."""
        while self._batches:
            batch = self._batches[0]
            if batch[1] > now and batch[0] > 0:
                batch[0] -= 1
                return True
            del self._batches[0]
        return False


class Demand:
    """Operations a second that a VM sees of a team."""

    WINDOW_S = 1.0

    def __init__(self, now):
        self._rate = 0.0
        self._seen_at = now

    def note(self, now):
        """Count an operation and return the rate."""
        elapsed = max(0.0, now - self._seen_at)
        self._seen_at = now
        decay = math.exp(-elapsed / self.WINDOW_S)
        self._rate = self._rate * decay + 1 / self.WINDOW_S
        return self._rate


def find_limiter(team, joined, now):
    """Return the VM that limits a team, or None without VMs.

    Parameters
    ----------
    team : str
        The team.
    joined : dict
        Clock time at which each member was first seen.
    now : float
        Clock time, in seconds.
    """
    settled = [vm for vm, since in joined.items() if now - since >= JOIN_S]
    return rendezvous.choose_node(f"limiter/{team}", settled or joined)


def count_prepaid(rate):
    """Return how many tokens to draw ahead at a rate a second.

    Drawn tokens that nobody uses are lost to the team, so only VMs
    that will use them in time draw ahead.
    """
    return int(rate * GRANT_S / 2)
