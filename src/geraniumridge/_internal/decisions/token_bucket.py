"""Token buckets, granted tokens and averages of rates."""

import math
import operator
import typing

GRANT_LIFETIME_S = 0.4
"""Lifetime of granted tokens. The unused tokens of all VMs must fit into
the tolerance of the limit, a tenth of the rate over five seconds."""


class Allowance(typing.NamedTuple):
    """A rate in tokens per second and a burst in tokens."""

    rate: float
    burst: float

    def scale(self, share):
        """Return this allowance multiplied by a share."""
        return Allowance(self.rate * share, self.burst * share)


class Bucket:
    """Token bucket that starts nearly empty.

    Others may have used its tokens before.

    Parameters
    ----------
    now : float
        Clock time, in seconds.
    level : float, optional
        Tokens that it starts with.
    """

    def __init__(self, now, level=0.0):
        self._level = level
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


class LocalTokens:
    """Tokens granted by a limiter that have not expired."""

    def __init__(self):
        self._batches = []

    def add(self, tokens, expires_at):
        """Add tokens that may be used until a clock time, in seconds.

        Those that expire first are used first, also if they arrive late.
        """
        if tokens > 0:
            self._batches.append([tokens, expires_at])
            self._batches.sort(key=operator.itemgetter(1))

    def take(self, now):
        """Take one token and return whether there was one."""
        while self._batches:
            batch = self._batches[0]
            if batch[1] > now and batch[0] > 0:
                batch[0] -= 1
                return True
            del self._batches[0]
        return False

    def count(self, now):
        """Return the number of tokens that have not expired."""
        return sum(
            tokens for tokens, expires_at in self._batches if expires_at > now
        )


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
