"""Limits of teams over all VMs.

A part of each limit is split evenly: every VM may always use its own
reserve. The rest is a `LimiterBucket` at one VM, the team's limiter,
from which the others draw tokens that soon expire.
"""

import math
import typing

from geraniumridge._internal.utils import rendezvous

RESERVED_SHARE = 0.10
"""Part of a limit that is split evenly; it lets VMs serve a little
while a team's limiter is out of reach."""

LIMITER_SHARE = 0.92
"""Part of a limit that is drawn from the limiter. Over the window of
five seconds, both parts and what was drawn before it, `GRANT_LIFETIME_S` of
rate, stay below the tolerance of a tenth."""

GRANT_LIFETIME_S = 0.4
"""Life of drawn tokens; what all VMs may hold unspent must fit into
the tolerance of the limit, a tenth of five seconds' rate."""

STABLE_AFTER_S = 4.0
"""A VM settles so long after it registered; a limiter whose knowledge
is younger has seen it by then."""

GRANT_END_MARGIN_S = 0.1
"""How much sooner than it must a limiter stops granting."""

MAX_FALLBACK_SHARE = 0.8
"""Part of the rate that a limiter pledges to those that draw."""

REQUESTER_WINDOW_S = 3.0
"""Time over which a limiter averages what a VM draws."""

FALLBACK_MARGIN = 1.5
"""Pledge as a multiple of what a VM draws on average; its operations do
not come evenly."""

FALLBACK_DELAY_S = 0.5
"""A pledge counts so long after the last draw, at both sides."""

FALLBACK_LIFETIME_S = 2.5
"""Life of a pledge for a VM without news of the limiter. With the time
before it, it ends about when a silent limiter's lease ends and a
successor begins."""

LONG_FALLBACK_LIFETIME_S = 12.0
"""Life of a pledge for a VM that sees the limiter still registered."""

MAX_REGISTRATION_AGE_S = 2.2
"""Age up to which knowledge counts as such news; a watch and its
answer take less."""

DEPARTED_RETENTION_S = 10.0
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

    def get_retry_s(self, allowance):
        """Return the seconds until there is a token, or infinity."""
        if allowance.rate <= 0 or allowance.burst < 1:
            return math.inf
        return max(0.0, (1 - self._level) / allowance.rate)


class Requester(typing.NamedTuple):
    """A VM that draws: its rate, what it was pledged, and when."""

    meter: "RateMeter"
    fallback_rate: float
    requested_at: float


class LimiterBucket:
    """A team's bucket at its limiter.

    Each VM that draws is pledged a rate near its own. Once it has been
    silent for a while the limiter leaves that rate to it, as it may
    have lost the way here and serve on by the pledge.

    Parameters
    ----------
    now : float
        Clock time, in seconds.
    """

    def __init__(self, now):
        self._bucket = Bucket(now)
        self._requesters = {}

    def fill(self, allowance, now):
        """Gain tokens; called often, as pledges come and go."""
        self._bucket.take(self._subtract_fallbacks(allowance, now), 0, now)

    def grant(self, vm, allowance, wanted, now):
        """Take up to some tokens for a VM.

        Returns
        -------
        tuple of int, float and float
            Tokens, seconds until there are more, pledged rate.
        """
        remaining = self._subtract_fallbacks(allowance, now)
        taken = self._bucket.take(remaining, wanted, now)
        fallback_rate = self._update_fallback(vm, allowance, taken, now)
        return taken, self._bucket.get_retry_s(remaining), fallback_rate

    def _subtract_fallbacks(self, allowance, now):
        reserved_rate = sum(
            item.fallback_rate
            for item in self._requesters.values()
            if is_fallback_valid(
                item.requested_at, now, LONG_FALLBACK_LIFETIME_S
            )
        )
        return allowance._replace(
            rate=max(0.0, allowance.rate - reserved_rate)
        )

    def _update_fallback(self, vm, allowance, taken, now):
        self._expire_requesters(now)
        previous = self._requesters.get(vm)
        meter = (
            previous.meter if previous else RateMeter(now, REQUESTER_WINDOW_S)
        )
        rate = meter.note(now, taken)
        other_rates = sum(
            item.fallback_rate
            for name, item in self._requesters.items()
            if name != vm
        )
        available = max(0.0, MAX_FALLBACK_SHARE * allowance.rate - other_rates)
        fallback_rate = min(FALLBACK_MARGIN * rate, available)
        self._requesters[vm] = Requester(meter, fallback_rate, now)
        return fallback_rate

    def _expire_requesters(self, now):
        for vm, item in list(self._requesters.items()):
            if (
                now - item.requested_at
                > FALLBACK_DELAY_S + LONG_FALLBACK_LIFETIME_S
            ):
                del self._requesters[vm]


def is_fallback_valid(requested_at, now, life_s=FALLBACK_LIFETIME_S):
    """Tell whether the pledge of a draw counts now."""
    return FALLBACK_DELAY_S <= now - requested_at <= FALLBACK_DELAY_S + life_s


class LocalTokens:
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


class RateMeter:
    """Operations a second, as a moving average.

    Parameters
    ----------
    now : float
        Clock time, in seconds.
    window_s : float
        Time over which older operations fade, in seconds.
    """

    def __init__(self, now, window_s):
        self._window_s = window_s
        self._rate = 0.0
        self._updated_at = now

    def note(self, now, count=1):
        """Count operations and return the rate."""
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = now
        decay = math.exp(-elapsed / self._window_s)
        self._rate = self._rate * decay + count / self._window_s
        return self._rate


def find_limiter(team, members):
    """Return the `fleet.Member` that limits a team, or None.

    Only settled VMs limit teams, so that none begins before its
    predecessor has seen it. When most have just started they limit
    together, as there is nobody to take over from.

    Parameters
    ----------
    team : str
        The team.
    members : dict
        Registered `fleet.Member` by VM.
    """
    stable = [vm for vm, member in members.items() if member.is_settled]
    if 2 * len(stable) < len(members):
        stable = list(members)
    return members.get(rendezvous.choose_node(f"limiter/{team}", stable))


def may_grant(age_s, lease_left_s):
    """Tell whether a limiter may still grant, whoever else has joined.

    A successor begins when the lease has ended, or when it has
    settled.

    Parameters
    ----------
    age_s : float
        Age of the limiter's knowledge, in seconds.
    lease_left_s : float
        Least time until its lease ends, in seconds.
    """
    return (
        age_s <= STABLE_AFTER_S - GRANT_END_MARGIN_S
        and lease_left_s >= GRANT_END_MARGIN_S
    )


def count_prefetch_tokens(rate):
    """Return how many tokens to draw ahead at a rate a second.

    Drawn tokens that nobody uses are lost to the team, so only VMs
    that will use them in time draw ahead.
    """
    return int(rate * GRANT_LIFETIME_S / 2)
