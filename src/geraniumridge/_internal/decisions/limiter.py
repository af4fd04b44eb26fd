"""Token bucket of one team in a failure domain.

A team's rate and burst are split between the domains in service. In each
domain one VM, the team's limiter, grants tokens from its bucket in small
batches that expire. A batch counts against the bucket's capacity until it
is reported closed or has expired. So the level and the unspent batches
together never exceed the burst, and no more than burst + rate x time is
spent in any window.
"""

import math
import typing

from geraniumridge._internal.decisions import clock_drift
from geraniumridge._internal.utils import rendezvous

BATCH_TTL_S = 0.5
"""How long granted tokens may be spent; bounds how long a lost batch takes
up capacity and how long a new limiter waits for its predecessor's
batches."""

MAX_PREPAID_SHARE = 0.25
"""Largest part of a bucket's level that one request for tokens may get in
advance; the rest is left to other VMs."""

MIN_RETRY_DELAY_S = 0.005
"""Lower bound of the announced delay while there is no token, so that VMs
do not ask again at once."""


class Allowance(typing.NamedTuple):
    """Rate in tokens per second and burst in tokens."""

    rate: float
    burst: float


class Batch(typing.NamedTuple):
    """Tokens granted to one VM; `expires_at` is by the limiter's clock."""

    count: int
    expires_at: float


class GrantResult(typing.NamedTuple):
    """Answer to a token request; times are in seconds."""

    granted: int
    batch: int
    valid_s: float
    retry_after_s: float


def split_allowance(team, use, domain, domains):
    """Return a domain's part of a team's allowance.

    The burst is split in whole tokens and the rate in proportion to them:
    were a small burst split evenly, no domain could ever grant a token.

    Parameters
    ----------
    team : str
        The team.
    use : models.config.PlanUse or None
        Limits of the team's plan; None if it has no plan.
    domain : str
        The domain whose part to return.
    domains : collection of str
        Names of the domains in service.

    Returns
    -------
    Allowance
    """
    if use is None or domain not in domains:
        return Allowance(0.0, 0.0)
    base_burst, remainder = divmod(use.burst, len(domains))
    ranked = rendezvous.rank_nodes(f"burst/{team}", domains)
    burst = base_burst + (ranked.index(domain) < remainder)
    return Allowance(use.rate_per_s * burst / use.burst, float(burst))


def find_min_allowance(team, domain, documents):
    """Return a domain's smallest part under several configurations.

    While domains use different versions of the configuration, the sum of
    their parts must not exceed the allowance. A part may therefore grow only
    once no domain uses an older version any more.

    Parameters
    ----------
    team : str
        The team.
    domain : str
        The domain whose part to return.
    documents : iterable of models.config.Document
        All versions that some domain may still use.

    Returns
    -------
    Allowance
    """
    parts = [
        split_allowance(
            team,
            document.use.get(document.plans.get(team)),
            domain,
            [
                name
                for name, entry in document.domains.items()
                if entry.in_service
            ],
        )
        for document in documents
    ]
    return Allowance(
        min((part.rate for part in parts), default=0.0),
        min((part.burst for part in parts), default=0.0),
    )


class TokenBucket:
    """One team's token bucket at its limiter in a domain.

    It starts empty.

    Parameters
    ----------
    now : float
        Current time, in seconds.
    """

    def __init__(self, now):
        self._level = 0.0
        # Batches of the previous limiter may still be spent.
        self._filled_at = now + BATCH_TTL_S * clock_drift.CLOCK_DRIFT_FACTOR
        self._ready_at = self._filled_at
        self._batches = {}
        self._next_batch_number = 1

    @property
    def outstanding(self):
        """Granted tokens that may still be unspent."""
        return sum(batch.count for batch in self._batches.values())

    def is_ready(self, now):
        """Return whether the previous limiter's batches have expired."""
        return now >= self._ready_at

    def grant_tokens(self, now, allowance, waiting, prepaid, closed=()):
        """Grant a batch of tokens.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        allowance : Allowance
            Current rate and burst of the bucket.
        waiting : int
            Number of requests that wait for a token.
        prepaid : int
            Tokens requested in advance, beyond those.
        closed : iterable of int
            Numbers of batches that the VM will not spend any more.

        Returns
        -------
        GrantResult
        """
        for number in closed:
            self._batches.pop(number, None)
        self._drop_expired(now)
        self._refill(now, allowance)
        max_prepaid = int(self._level * MAX_PREPAID_SHARE)
        granted = min(int(self._level), waiting + min(prepaid, max_prepaid))
        number = 0
        if granted > 0:
            number = self._next_batch_number
            self._next_batch_number += 1
            self._level -= granted
            expires_at = now + BATCH_TTL_S * clock_drift.CLOCK_DRIFT_FACTOR
            self._batches[number] = Batch(granted, expires_at)
        return GrantResult(
            granted,
            number,
            BATCH_TTL_S,
            self._compute_retry_delay(now, allowance),
        )

    def _drop_expired(self, now):
        for number, batch in list(self._batches.items()):
            if batch.expires_at <= now:
                del self._batches[number]

    def _refill(self, now, allowance):
        elapsed = max(0.0, now - self._filled_at)
        capacity = max(0.0, allowance.burst - self.outstanding)
        self._level = min(capacity, self._level + elapsed * allowance.rate)
        self._filled_at = max(now, self._filled_at)

    def _compute_retry_delay(self, now, allowance):
        """Return the seconds until a token may be there, or infinity."""
        if self._level >= 1:
            return 0.0
        if allowance.rate <= 0 or allowance.burst < 1:
            return math.inf
        delay_s = max(0.0, self._filled_at - now)
        delay_s += (1 - self._level) / allowance.rate
        return max(delay_s, MIN_RETRY_DELAY_S)
