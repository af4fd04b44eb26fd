"""Rate limits of teams, enforced over all VMs.

A share of each limit is split evenly and always available to each VM.
The rest is a `LimiterBucket` at one VM, the team's limiter, which grants
tokens with a short lifetime to the other VMs.
"""

import math
import typing

from geraniumridge._internal.utils import rendezvous

RESERVED_SHARE = 0.10
"""Share of a limit that is split evenly between the VMs, so that they
can serve some operations while the team's limiter is unreachable."""

LIMITER_SHARE = 0.92
"""Share of a limit that the limiter grants. Limits may be exceeded by a
tenth over a window of five seconds; both shares and the tokens granted
before the window, `GRANT_LIFETIME_S` of rate, stay below that."""

GRANT_LIFETIME_S = 0.4
"""Lifetime of granted tokens. The unused tokens of all VMs must fit into
the tolerance of the limit, a tenth of the rate over five seconds."""

STABLE_AFTER_S = 4.0
"""Time since the opening of its lease after which a VM is a stable member.
A limiter whose store view is younger than this has seen the VM by then."""

GRANT_END_MARGIN_S = 0.1
"""Time by which a limiter stops granting before its successor may begin."""

MAX_FALLBACK_SHARE = 0.8
"""Largest share of the limiter's rate that the fallback rates of all
requesters may add up to."""

REQUESTER_WINDOW_S = 3.0
"""Window over which a limiter averages the tokens granted to a VM."""

FALLBACK_MARGIN = 1.5
"""Fallback rate as a multiple of a VM's average rate, because operations
do not arrive evenly."""

FALLBACK_DELAY_S = 0.5
"""Time since the last token request after which the fallback rate
applies, both at the requester and at the limiter."""

FALLBACK_LIFETIME_S = 2.5
"""How long the fallback rate applies at a VM that does not know whether
the limiter is still registered. Together with `FALLBACK_DELAY_S` it ends
about when the lease of a silent limiter ends and a successor begins."""

LONG_FALLBACK_LIFETIME_S = 12.0
"""How long the fallback rate applies at a VM whose store view shows that
the limiter is still registered."""

MAX_REGISTRATION_AGE_S = 2.2
"""Age up to which the store view shows that a limiter is registered. While
the store answers, polls of it and queries to the domain's reader confirm
the view more often."""

DEPARTED_RETENTION_S = 10.0
"""How long a departed VM still counts in the even split."""


class Allowance(typing.NamedTuple):
    """A rate in tokens per second and a burst in tokens."""

    rate: float
    burst: float

    def scale(self, share):
        """Return this allowance multiplied by a share."""
        return Allowance(self.rate * share, self.burst * share)


class Bucket:
    """Token bucket that starts empty, as others may have used its tokens.

    Parameters
    ----------
    now : float
        Clock time, in seconds.
    """

    def __init__(self, now):
        self._level = 0.0
        self._filled_at = now

    def take(self, allowance, wanted, now):
        """Take up to `wanted` whole tokens and return their number."""
        gained = max(0.0, now - self._filled_at) * allowance.rate
        self._level = min(allowance.burst, self._level + gained)
        self._filled_at = now
        taken = max(0, min(wanted, int(self._level)))
        self._level -= taken
        return taken

    def get_retry_s(self, allowance):
        """Return the seconds until a token is available, or infinity."""
        if allowance.rate <= 0 or allowance.burst < 1:
            return math.inf
        return max(0.0, (1 - self._level) / allowance.rate)


class Requester(typing.NamedTuple):
    """A VM that requests tokens.

    `meter` averages the tokens granted to it, `fallback_rate` is in tokens
    per second, `requested_at` the clock time of its last request, in
    seconds.
    """

    meter: "RateMeter"
    fallback_rate: float
    requested_at: float


class LimiterBucket:
    """Token bucket of a team at its limiter.

    Each requester gets a fallback rate near its own average. When its
    requests stop, it may have lost the connection to the limiter and serve
    at the fallback rate, so the limiter subtracts that rate from its own.

    Parameters
    ----------
    now : float
        Clock time, in seconds.
    """

    def __init__(self, now):
        self._bucket = Bucket(now)
        self._requesters = {}

    def restart(self, now):
        """Empty the bucket, as this VM may not be the limiter for a while.

        The fallback rates stay, since requesters may go on using them.
        """
        self._bucket = Bucket(now)

    def fill(self, allowance, now):
        """Add the tokens gained since the last call.

        Called often, as the rate changes whenever a fallback rate begins
        or ceases to apply.
        """
        self._bucket.take(self._subtract_fallbacks(allowance, now), 0, now)

    def grant(self, vm, allowance, wanted, now):
        """Grant up to `wanted` tokens to a VM.

        Returns
        -------
        tuple of int, float and float
            Number of tokens, seconds until more are available, and the
            VM's fallback rate in tokens per second.
        """
        remaining = self._subtract_fallbacks(allowance, now)
        taken = self._bucket.take(remaining, wanted, now)
        fallback_rate = self._update_fallback(vm, allowance, taken, now)
        return taken, self._bucket.get_retry_s(remaining), fallback_rate

    def _subtract_fallbacks(self, allowance, now):
        total_fallback_rate = sum(
            item.fallback_rate
            for item in self._requesters.values()
            if is_fallback_valid(
                item.requested_at, now, LONG_FALLBACK_LIFETIME_S
            )
        )
        return allowance._replace(
            rate=max(0.0, allowance.rate - total_fallback_rate)
        )

    def _update_fallback(self, vm, allowance, taken, now):
        self._expire_requesters(now)
        previous = self._requesters.get(vm)
        meter = (
            previous.meter if previous else RateMeter(now, REQUESTER_WINDOW_S)
        )
        rate = meter.note(now, taken)
        other_fallback_rates = sum(
            item.fallback_rate
            for name, item in self._requesters.items()
            if name != vm
        )
        available = max(
            0.0, MAX_FALLBACK_SHARE * allowance.rate - other_fallback_rates
        )
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


def is_fallback_valid(requested_at, now, lifetime_s=FALLBACK_LIFETIME_S):
    """Return whether the fallback rate of a token request applies now."""
    return (
        FALLBACK_DELAY_S <= now - requested_at <= FALLBACK_DELAY_S + lifetime_s
    )


class LocalTokens:
    """Tokens granted by a limiter that have not expired."""

    def __init__(self):
        self._batches = []

    def add(self, tokens, expires_at):
        """Add tokens that may be used until a clock time, in seconds."""
        if tokens > 0:
            self._batches.append([tokens, expires_at])

    def take(self, now):
        """Take one token and return whether there was one."""
        while self._batches:
            batch = self._batches[0]
            if batch[1] > now and batch[0] > 0:
                batch[0] -= 1
                return True
            del self._batches[0]
        return False


class RateMeter:
    """Moving average of operations per second.

    Parameters
    ----------
    now : float
        Clock time, in seconds.
    window_s : float
        Time constant of the exponential decay, in seconds.
    """

    def __init__(self, now, window_s):
        self._window_s = window_s
        self._rate = 0.0
        self._updated_at = now

    def note(self, now, count=1):
        """Count operations and return the updated average rate.

        The rate is in operations per second.
        """
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = now
        decay = math.exp(-elapsed / self._window_s)
        self._rate = self._rate * decay + count / self._window_s
        return self._rate


def find_limiter(team, members):
    """Return the `fleet.Member` that limits a team, or None.

    Only stable members are limiters, so that none begins before its
    predecessor has seen its registration. If fewer than half of the
    members are stable, all of them are candidates, as there is no
    predecessor to wait for.

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
    """Return whether a limiter may still grant tokens.

    A successor begins when the limiter's lease has ended or when the
    successor is a stable member. The limiter may not have seen it yet, so
    it stops before either can be the case.

    Parameters
    ----------
    age_s : float
        Age of the limiter's store view, in seconds.
    lease_left_s : float
        Least time until the limiter's lease ends, in seconds.
    """
    return (
        age_s <= STABLE_AFTER_S - GRANT_END_MARGIN_S
        and lease_left_s >= GRANT_END_MARGIN_S
    )


def count_prefetch_tokens(rate):
    """Return how many tokens to request in advance.

    Unused tokens expire and are lost to the team, so only as many are
    requested as the VM uses in half their lifetime.

    Parameters
    ----------
    rate : float
        Operations of the team at this VM per second.
    """
    return int(rate * GRANT_LIFETIME_S / 2)
