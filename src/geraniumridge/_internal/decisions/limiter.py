"""A team's token bucket in one domain, and the domain's part of it.

Tokens are handed out in small batches that expire. A batch counts
against the bucket's capacity until it is reported closed or has
expired, so that level and unspent batches never exceed the burst: in
any window no more than burst + rate x time is spent.
"""

import math
import typing

from geraniumridge._internal.utils import rendezvous

BATCH_TTL_S = 0.5
CLOCK_DRIFT_FACTOR = 1.1
MAX_PREPAID_SHARE = 0.25
MIN_RETRY_DELAY_S = 0.005


class Allowance(typing.NamedTuple):
    """Rate in tokens per second, burst in tokens."""

    rate: float
    burst: float


class Batch(typing.NamedTuple):
    """Tokens handed to one VM; `expires_at` on the limiter's clock."""

    count: int
    expires_at: float


class GrantResult(typing.NamedTuple):
    """Answer to a token request; times in seconds."""

    granted: int
    batch: int
    valid_s: float
    retry_after_s: float


def split_allowance(team, use, domain, domains):
    """Return a domain's part of a team's allowance.

    Bursts are split in whole tokens, and the rate in proportion, so
    that a small burst still yields tokens somewhere.

    Parameters
    ----------
    team : str
        The team.
    use : models.config.PlanUse or None
        What the team's plan may use.
    domain : str
        The domain whose part is wanted.
    domains : collection of str
        The domains in service.

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
    """Return the least part that a domain has under some versions.

    A part may grow only once every domain holds the version that
    grants it; until then the least of all versions in use holds.

    Parameters
    ----------
    team : str
        The team.
    domain : str
        The domain whose part is wanted.
    documents : iterable of models.config.Document
        Every version that some domain may still use.

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
    """One team's bucket at the limiter of a domain.

    Parameters
    ----------
    now : float
        Current time, in seconds.
    """

    def __init__(self, now):
        self._level = 0.0
        # Batches of a limiter before this one may still be spent.
        self._filled_at = now + BATCH_TTL_S * CLOCK_DRIFT_FACTOR
        self._ready_at = self._filled_at
        self._batches = {}
        self._next_batch_number = 1

    @property
    def outstanding(self):
        """Tokens handed out that may not be spent yet."""
        return sum(batch.count for batch in self._batches.values())

    def is_ready(self, now):
        """Tell whether batches of an earlier limiter have expired."""
        return now >= self._ready_at

    def grant_tokens(self, now, allowance, waiting, prepaid, closed=()):
        """Hand out tokens.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        allowance : Allowance
            The bucket's rate and burst at this time.
        waiting : int
            Requests that wait for a token.
        prepaid : int
            Tokens wanted beyond these.
        closed : iterable of int
            Batches that the VM will not spend any more.

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
            expires_at = now + BATCH_TTL_S * CLOCK_DRIFT_FACTOR
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
        """Return when a token may be there, infinity if never."""
        if self._level >= 1:
            return 0.0
        if allowance.rate <= 0 or allowance.burst < 1:
            return math.inf
        delay_s = max(0.0, self._filled_at - now)
        delay_s += (1 - self._level) / allowance.rate
        if self._batches and allowance.burst - self.outstanding < 1:
            batch_ends_at = min(
                batch.expires_at for batch in self._batches.values()
            )
            delay_s = max(delay_s, min(batch_ends_at - now, MIN_RETRY_DELAY_S))
        return max(delay_s, MIN_RETRY_DELAY_S)
