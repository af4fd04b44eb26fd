"""Rate limits of teams, enforced over all VMs.

Most of a limit is a `LimiterBucket` at one VM, the team's limiter, which
grants tokens with a short lifetime to the others. The rest is split evenly
between the failure domains and kept by the team's standby in each of them.

Load pattern: a domain is cut off, or the limiter fails, and both sides go on
taking statements. Each standby holds a fallback rate, which follows the
demand of its domain. While the limiter does not answer it grants tokens at
that rate, and the limiter subtracts the rate from its own.
"""

import math
import typing

from geraniumridge._internal.decisions import token_bucket

RESERVED_SHARE = 0.10
"""Share of a limit that is split evenly between the domains, so that each
has tokens at once when the team's limiter is out of reach."""

LIMITER_SHARE = 0.92
"""Share of a limit that the limiter grants. Limits may be exceeded by a
tenth over a window of five seconds; both shares and the tokens granted
before the window, `token_bucket.GRANT_LIFETIME_S` of rate, stay below that."""

MAX_FALLBACK_SHARE = 0.8
"""Largest share of the limiter's rate that the fallback rates of all
domains may add up to."""

DEMAND_WINDOW_S = 3.0
"""Window over which a limiter averages the tokens granted to a domain."""

FALLBACK_MARGIN = 1.5
"""Fallback rate as a multiple of a domain's average rate, because operations
do not arrive evenly."""

MIN_FALLBACK_RATE_PER_S = 0.2
"""Fallback rate below which a domain gets none and need not renew it."""

FAST_FALLBACK_RATE_PER_S = 4.0
"""Fallback rate from which the reserve is too small for the longer delay."""

FALLBACK_DELAY_S = 0.9
"""Time since the last renewal after which a fallback rate applies, both at
the standby and at the limiter."""

FAST_FALLBACK_DELAY_S = 0.3
"""The same for a fallback rate of `FAST_FALLBACK_RATE_PER_S` or more."""

RENEWALS_PER_DELAY = 3
"""Renewals of a fallback rate within its delay; some may be lost."""

IDLE_RENEW_INTERVAL_S = 2.0
"""Interval at which a standby without a fallback rate asks for one."""

FALLBACK_LIFETIME_S = 2.5
"""How long the fallback rate applies at a standby that does not know whether
the limiter is still registered. Together with `FALLBACK_DELAY_S` it ends
before the lease of a silent limiter ends and a successor begins."""

LONG_FALLBACK_LIFETIME_S = 12.0
"""How long the fallback rate applies at a standby whose store view shows
that the limiter is still registered."""

RESERVED_SLACK_SHARE = 0.4
"""Part of the slack on a limit that the reserves of all domains may hold."""

START_SLACK_SHARE = 0.1
"""Part of the slack on a limit that the limiter, and the standbys of all
domains together, each start with. Several may follow each other within a
window."""


class _Domain:
    """What a limiter keeps of one domain.

    `meter` averages the tokens granted to its VMs. `fallback_rate` is the
    highest that its standby may have, in tokens per second, `renewed_at` the
    clock time of the last renewal, in seconds. `is_in_use` is whether the
    standby granted tokens at it when it sent that.
    """

    def __init__(self, now):
        self.meter = token_bucket.RateMeter(now, DEMAND_WINDOW_S)
        self.fallback_rate = 0.0
        self.renewed_at = -math.inf
        self.is_in_use = False

    def get_rate_in_use(self, now):
        """Return the fallback rate if the standby may use it now, else 0."""
        age_s = now - self.renewed_at
        delay_s = get_fallback_delay_s(self.fallback_rate)
        if age_s > delay_s + LONG_FALLBACK_LIFETIME_S:
            return 0.0
        if age_s < delay_s and not self.is_in_use:
            return 0.0
        return self.fallback_rate


class LimiterBucket:
    """Token bucket of a team at its limiter.

    The standby of each domain gets a fallback rate near the domain's average.
    When it stops to renew the rate, it may have lost the connection to the
    limiter and grant tokens at that rate, so the limiter subtracts it.

    Parameters
    ----------
    now : float
        Clock time, in seconds.
    start_tokens : float, optional
        Tokens that it starts with.
    """

    def __init__(self, now, start_tokens=0.0):
        self._bucket = token_bucket.Bucket(now, start_tokens)
        self._domains = {}

    def suspend(self):
        """Empty the bucket until it is next used.

        This VM may not be the limiter meanwhile. The fallback rates stay,
        since standbys may go on using them.
        """
        self._bucket = None

    def fill(self, allowance, now):
        """Add the tokens gained since the last call.

        Called often, as the rate changes whenever a fallback rate begins
        or ceases to apply.
        """
        remaining = self._subtract_fallbacks(allowance, now)
        self._resume(now).take(remaining, 0, now)

    def grant(self, domain, allowance, wanted, now):
        """Grant up to `wanted` tokens to a VM of a domain.

        Returns
        -------
        tuple of int and float
            Number of tokens, and seconds until more are available.
        """
        remaining = self._subtract_fallbacks(allowance, now)
        bucket = self._resume(now)
        taken = bucket.take(remaining, wanted, now)
        self._get_domain(domain, now).meter.note(now, taken)
        return taken, bucket.get_retry_s(remaining)

    def renew_fallback(self, domain, renewal, allowance, now):
        """Return a domain's fallback rate, in tokens per second.

        The answer may be lost, so the standby may also go on with the rate
        that it has.
        """
        entry = self._get_domain(domain, now)
        held = max(0.0, min(renewal.rate, allowance.rate))
        granted = self._compute_fallback_rate(entry, allowance, now)
        if renewal.is_in_use:
            granted = min(granted, held)
        entry.fallback_rate = max(granted, held)
        entry.is_in_use = renewal.is_in_use
        entry.renewed_at = now
        return granted

    def list_fallback_rates(self, now):
        """Return the rate that each domain's standby may use, by domain.

        In tokens per second; without those that have expired.
        """
        return {
            domain: entry.fallback_rate
            for domain, entry in self._domains.items()
            if entry.fallback_rate
            and now - entry.renewed_at
            <= FALLBACK_DELAY_S + LONG_FALLBACK_LIFETIME_S
        }

    def adopt_fallback_rate(self, domain, rate, now):
        """Count a rate as used that a former limiter has granted.

        A standby that does not know of this limiter yet may go on with it.
        """
        entry = self._get_domain(domain, now)
        entry.fallback_rate = max(entry.fallback_rate, rate)
        entry.is_in_use = True
        entry.renewed_at = now

    def _resume(self, now):
        if self._bucket is None:
            self._bucket = token_bucket.Bucket(now)
        return self._bucket

    def _compute_fallback_rate(self, entry, allowance, now):
        other_fallback_rates = sum(
            other.fallback_rate
            for other in self._domains.values()
            if other is not entry
            and now - other.renewed_at
            <= FALLBACK_DELAY_S + LONG_FALLBACK_LIFETIME_S
        )
        available = max(
            0.0, MAX_FALLBACK_SHARE * allowance.rate - other_fallback_rates
        )
        rate = min(FALLBACK_MARGIN * entry.meter.note(now, 0), available)
        return rate if rate >= MIN_FALLBACK_RATE_PER_S else 0.0

    def _get_domain(self, domain, now):
        entry = self._domains.get(domain)
        if entry is None:
            entry = self._domains[domain] = _Domain(now)
        return entry

    def _subtract_fallbacks(self, allowance, now):
        total_fallback_rate = sum(
            entry.get_rate_in_use(now) for entry in self._domains.values()
        )
        return allowance._replace(
            rate=max(0.0, allowance.rate - total_fallback_rate)
        )


class FallbackRenewal(typing.NamedTuple):
    """Report of a standby that renews its fallback rate.

    `rate` is the one that it has, in tokens per second, `is_in_use` whether
    it grants tokens at that rate.
    """

    rate: float
    is_in_use: bool


class StandbyBucket:
    """Tokens of a team that a domain's standby may grant.

    Parameters
    ----------
    now : float
        Clock time, in seconds.
    start_tokens : float, optional
        Tokens that it starts with.
    """

    def __init__(self, now, start_tokens=0.0):
        self._reserve = token_bucket.Bucket(now, start_tokens)
        self._fallback = token_bucket.Bucket(now)
        self._fallback_rate = 0.0
        self._renewed_at = -math.inf
        self._reported_at = -math.inf
        self._limiter = None

    def fill(self, reserve_allowance, now):
        """Add the tokens that the reserve gained since the last call."""
        self._reserve.take(reserve_allowance, 0, now)

    def make_due_renewal(self, limiter, has_recent_view, now):
        """Return the `FallbackRenewal` to send now, or None.

        Parameters
        ----------
        limiter : fleet.Member
            The team's limiter by the store view.
        has_recent_view : bool
            Whether the view shows that the limiter is still registered.
        now : float
            Clock time, in seconds.
        """
        interval_s = get_fallback_delay_s(self._fallback_rate)
        interval_s /= RENEWALS_PER_DELAY
        is_new = limiter != self._limiter
        if not is_new and self._fallback_rate == 0:
            interval_s = IDLE_RENEW_INTERVAL_S
        if now - self._reported_at < interval_s:
            return None
        self._reported_at = now
        if is_new and has_recent_view:
            return FallbackRenewal(0.0, False)
        # A rate of 0 grants nothing, however old it is.
        is_in_use = self._fallback_rate > 0 and self._is_fallback_valid(
            has_recent_view, now
        )
        return FallbackRenewal(self._fallback_rate, is_in_use)

    def note_renewal(self, rate, limiter, sent_at):
        """Apply a limiter's answer to a renewal sent at a clock time."""
        self._limiter = limiter
        self._fallback_rate = rate
        self._renewed_at = sent_at
        self._fallback = token_bucket.Bucket(
            sent_at + get_fallback_delay_s(rate)
        )

    def take(self, reserve_allowance, wanted, limiter, has_recent_view, now):
        """Take up to `wanted` tokens and return their number.

        Parameters
        ----------
        reserve_allowance : Allowance
            The domain's part of the reserved share.
        wanted : int
            Number of tokens.
        limiter : fleet.Member or None
            The team's limiter by the store view.
        has_recent_view : bool
            Whether the view shows that the limiter is still registered.
        now : float
            Clock time, in seconds.
        """
        taken = self._reserve.take(reserve_allowance, wanted, now)
        if has_recent_view and limiter != self._limiter:
            # The successor grants tokens by now.
            return taken
        if not self._is_fallback_valid(has_recent_view, now):
            return taken
        allowance = token_bucket.Allowance(
            self._fallback_rate, max(1.0, self._fallback_rate)
        )
        return taken + self._fallback.take(allowance, wanted - taken, now)

    def _is_fallback_valid(self, has_recent_view, now):
        lifetime_s = (
            LONG_FALLBACK_LIFETIME_S
            if has_recent_view
            else FALLBACK_LIFETIME_S
        )
        age_s = now - self._renewed_at
        delay_s = get_fallback_delay_s(self._fallback_rate)
        return delay_s <= age_s <= delay_s + lifetime_s


def get_fallback_delay_s(rate):
    """Return the delay of a fallback rate, in seconds.

    It does not grow with the rate: a limiter that subtracts a higher rate
    than the standby has must not begin later.
    """
    if rate >= FAST_FALLBACK_RATE_PER_S:
        return FAST_FALLBACK_DELAY_S
    return FALLBACK_DELAY_S


def make_reserve(limit, slack, domain_count):
    """Return the `Allowance` of one domain's reserve.

    Parameters
    ----------
    limit : Allowance
        The team's limit.
    slack : float
        Tokens by which it may be exceeded in each window.
    domain_count : int
        Number of failure domains.
    """
    part = limit.scale(RESERVED_SHARE / domain_count)
    if limit.burst < 1:
        return part
    burst = part.burst + RESERVED_SLACK_SHARE * slack / domain_count
    return token_bucket.Allowance(part.rate, max(1.0, burst))


def get_start_tokens(slack, holder_count=1):
    """Return the tokens that a new limiter or standby starts with.

    Parameters
    ----------
    slack : float
        Tokens by which a limit may be exceeded in each window.
    holder_count : int
        Number of those that divide the part of the slack.
    """
    return START_SLACK_SHARE * slack / max(1, holder_count)
