"""Rate limits, which hold over any window whichever VM requests tokens."""

import enum

from hypothesis import given
from hypothesis import strategies as st
import pytest

from geraniumridge._internal.decisions import rates
from geraniumridge._internal.decisions import token_bucket
from geraniumridge._internal.proxy import membership
from lib import fleets

WINDOW_S = 5.0
TOLERANCE = 0.1
SLACK_TOKENS = 20
VMS_PER_DOMAIN = 4
SILENT_AFTER_S = rates.FALLBACK_DELAY_S + 0.01
RENEWED_AFTER_S = rates.FAST_FALLBACK_DELAY_S / rates.RENEWALS_PER_DELAY + 0.01


def make_busy_limiter(domains=("north",), rate=100.0, burst=10.0):
    """Return a limiter's bucket after ten seconds of demand, and the time."""
    limiter_bucket = rates.LimiterBucket(0.0)
    allowance = token_bucket.Allowance(rate, burst)
    now = 0.0
    for _ in range(200):
        now += 0.05
        for domain in domains:
            limiter_bucket.grant(domain, allowance, 1, now)
    return limiter_bucket, allowance, now


NOT_USING = rates.FallbackRenewal(0.0, False)


def get_remaining(limiter_bucket, allowance, now):
    return limiter_bucket._subtract_fallbacks(allowance, now).rate


def test_limiter_subtracts_the_fallback_rate_of_a_silent_domain():
    limiter_bucket, allowance, now = make_busy_limiter()
    rate = limiter_bucket.renew_fallback("north", NOT_USING, allowance, now)
    assert 10 < rate <= rates.MAX_FALLBACK_SHARE * 100.0
    assert get_remaining(limiter_bucket, allowance, now) == 100.0
    silent_at = now + SILENT_AFTER_S
    assert get_remaining(limiter_bucket, allowance, silent_at) == 100.0 - rate
    late = silent_at + rates.LONG_FALLBACK_LIFETIME_S + 0.01
    assert get_remaining(limiter_bucket, allowance, late) == 100.0


def test_limiter_that_lost_the_store_still_subtracts_fallback_rates():
    limiter_bucket, _, now = make_busy_limiter()
    allowance = token_bucket.Allowance(100.0, 100.0)
    rate = limiter_bucket.renew_fallback("north", NOT_USING, allowance, now)
    limiter_bucket.suspend()
    limiter_bucket.fill(allowance, now)
    now += SILENT_AFTER_S
    tokens, _ = limiter_bucket.grant("south", allowance, 100, now)
    assert tokens == int((100.0 - rate) * SILENT_AFTER_S)


def test_limiter_gains_no_tokens_while_another_vm_is_the_limiter():
    limiter_bucket, allowance, now = make_busy_limiter()
    limiter_bucket.suspend()
    later = now + 60.0
    assert limiter_bucket.grant("north", allowance, 5, later)[0] == 0
    assert limiter_bucket.grant("north", allowance, 5, later + 0.04)[0] == 4


def test_limiter_subtracts_a_rate_that_is_used_although_renewals_arrive():
    """The answers do not: the way back is cut."""
    limiter_bucket, allowance, now = make_busy_limiter()
    rate = limiter_bucket.renew_fallback("north", NOT_USING, allowance, now)
    using = rates.FallbackRenewal(rate, True)
    limiter_bucket.renew_fallback("north", using, allowance, now + 1.0)
    assert get_remaining(limiter_bucket, allowance, now + 1.0) == 100.0 - rate


def test_limiter_subtracts_the_higher_rate_until_the_standby_has_the_lower():
    limiter_bucket, allowance, now = make_busy_limiter()
    rate = limiter_bucket.renew_fallback("north", NOT_USING, allowance, now)
    held = rates.FallbackRenewal(rate, False)
    now += 20.0
    lower = limiter_bucket.renew_fallback("north", held, allowance, now)
    assert lower < rate
    silent_at = now + SILENT_AFTER_S
    assert get_remaining(limiter_bucket, allowance, silent_at) == 100.0 - rate


def test_sum_of_fallback_rates_is_bounded():
    domains = [f"domain-{number}" for number in range(9)]
    limiter_bucket, allowance, now = make_busy_limiter(domains, rate=10.0)
    fallbacks = [
        limiter_bucket.renew_fallback(domain, NOT_USING, allowance, now)
        for domain in domains
    ]
    assert sum(fallbacks) <= rates.MAX_FALLBACK_SHARE * 10.0 + 1e-9


def make_limiter_member(vm="limiter"):
    return fleets.make_member(vm)


def take_fallback(standby, now, limiter=None, has_recent_view=True):
    """Take many tokens of a standby that has no reserve."""
    limiter = limiter or make_limiter_member()
    nothing = token_bucket.Allowance(0.0, 0.0)
    return standby.take(nothing, 100, limiter, has_recent_view, now)


def test_standby_grants_once_the_limiter_is_silent():
    standby = rates.StandbyBucket(0.0)
    standby.note_renewal(10.0, make_limiter_member(), 1.0)
    began_at = 1.0 + rates.FAST_FALLBACK_DELAY_S
    assert take_fallback(standby, began_at - 0.01) == 0
    assert take_fallback(standby, began_at + 0.5) == 5


def test_standby_stops_when_a_successor_is_known():
    standby = rates.StandbyBucket(0.0)
    standby.note_renewal(10.0, make_limiter_member(), 1.0)
    successor = make_limiter_member("successor")
    assert take_fallback(standby, 3.0, successor) == 0


def test_standby_without_a_recent_view_stops_before_a_successor_begins():
    standby = rates.StandbyBucket(0.0)
    standby.note_renewal(10.0, make_limiter_member(), 1.0)
    end = 1.0 + rates.FAST_FALLBACK_DELAY_S + rates.FALLBACK_LIFETIME_S
    longest_s = rates.FALLBACK_DELAY_S + rates.FALLBACK_LIFETIME_S
    assert longest_s < membership.LEASE_DURATION_S
    assert take_fallback(standby, end - 0.1, has_recent_view=False) > 0
    assert take_fallback(standby, end + 0.1, has_recent_view=False) == 0


def test_reserve_is_there_at_once():
    standby = rates.StandbyBucket(0.0)
    reserve = token_bucket.Allowance(2.0, 1.0)
    standby.fill(reserve, 1.0)
    limiter = make_limiter_member()
    assert standby.take(reserve, 5, limiter, True, 1.0) == 1


def test_standby_without_demand_renews_rarely():
    standby = rates.StandbyBucket(0.0)
    limiter = make_limiter_member()
    assert standby.make_due_renewal(limiter, True, 1.0)
    standby.note_renewal(0.0, limiter, 1.0)
    assert not standby.make_due_renewal(limiter, True, 2.0)
    later = 1.0 + rates.IDLE_RENEW_INTERVAL_S
    assert standby.make_due_renewal(limiter, True, later + 0.01)
    standby.note_renewal(5.0, limiter, later)
    soon = later + RENEWED_AFTER_S
    assert standby.make_due_renewal(limiter, True, soon) == (5.0, False)
    silent = later + rates.FAST_FALLBACK_DELAY_S + 0.01
    assert standby.make_due_renewal(limiter, True, silent) == (5.0, True)


def test_domain_whose_demand_begins_later_gets_a_fallback_rate():
    """Guards against refusals in a cut for teams that were idle at a start.

    A standby reported its first rate of 0 as in use, so that the limiter never
    raised it.
    """
    limiter_bucket = rates.LimiterBucket(0.0)
    allowance = token_bucket.Allowance(100.0, 10.0)
    standby = rates.StandbyBucket(0.0)
    member = make_limiter_member()
    now = 0.0
    while now < 20.0:
        now += 0.05
        if now > 5.0:
            limiter_bucket.grant("north", allowance, 1, now)
        renewal = standby.make_due_renewal(member, True, now)
        if renewal is not None:
            rate = limiter_bucket.renew_fallback(
                "north", renewal, allowance, now
            )
            standby.note_renewal(rate, member, now)
    silent = now + SILENT_AFTER_S
    reserve = token_bucket.Allowance(0.0, 0.0)
    taken = sum(
        standby.take(reserve, 1, member, True, silent + 0.05 * step)
        for step in range(20)
    )
    assert taken >= 18


def test_reserve_of_a_small_limit_is_a_whole_token():
    limit = token_bucket.Allowance(6.0, 6.0)
    assert rates.make_reserve(limit, 0.0, 5).burst == 1.0
    with_slack = rates.make_reserve(limit, 20.0, 5)
    assert with_slack.burst > 1.0
    assert with_slack.rate == pytest.approx(6.0 * rates.RESERVED_SHARE / 5)
    nothing = token_bucket.Allowance(0.0, 0.0)
    assert rates.make_reserve(nothing, 20.0, 5).burst == 0.0


def test_limiter_subtracts_no_later_than_a_standby_grants():
    """It may subtract a higher rate than the standby has."""
    delays = [rates.get_fallback_delay_s(rate) for rate in range(20)]
    assert delays == sorted(delays, reverse=True)


class SimulatedDomain:
    """A domain's VMs with their tokens, and its standby."""

    def __init__(self, name, domain_count):
        self.name = name
        self._domain_count = domain_count
        self._limiter = make_limiter_member()
        self._standby = rates.StandbyBucket(
            0.0, rates.get_start_tokens(SLACK_TOKENS, domain_count)
        )
        self._tokens = [
            token_bucket.LocalTokens() for _ in range(VMS_PER_DOMAIN)
        ]

    def fill(self, limit, now):
        """Add the tokens that the reserve gained."""
        self._standby.fill(self._get_reserve(limit), now)

    def add(self, vm, tokens, now):
        """Add granted tokens at a VM."""
        self._tokens[vm].add(tokens, now + token_bucket.GRANT_LIFETIME_S)

    def use(self, vm, wanted, now):
        """Return how many of a VM's tokens are used now."""
        return sum(self._tokens[vm].take(now) for _ in range(wanted))

    def ask_standby(self, limit, vm, wanted, now):
        """Let a VM request tokens of the standby."""
        reserve = self._get_reserve(limit)
        tokens = self._standby.take(reserve, wanted, self._limiter, True, now)
        self.add(vm, tokens, now)

    def _get_reserve(self, limit):
        return rates.make_reserve(limit, SLACK_TOKENS, self._domain_count)

    def renew(self, limiter_bucket, allowance, delivery, now):
        """Renew the fallback rate; the request or the answer may be lost."""
        renewal = self._standby.make_due_renewal(self._limiter, True, now)
        if renewal is None or delivery is Delivery.REQUEST_LOST:
            return
        rate = limiter_bucket.renew_fallback(
            self.name, renewal, allowance, now
        )
        if delivery is Delivery.WHOLE:
            self._standby.note_renewal(rate, self._limiter, now)


class Delivery(enum.Enum):
    """What arrives of an exchange of messages."""

    WHOLE = "whole"
    REQUEST_LOST = "request lost"
    ANSWER_LOST = "answer lost"


@given(
    rate=st.floats(1, 300),
    burst=st.floats(1, 300),
    domain_count=st.integers(1, 5),
    cut=st.dictionaries(
        st.integers(0, 4), st.sampled_from(list(Delivery)), max_size=5
    ),
    steps=st.lists(
        st.tuples(
            st.floats(0, 0.4),
            st.integers(0, 19),
            st.integers(1, 40),
            st.sampled_from(list(Delivery)),
        ),
        max_size=150,
    ),
)
def test_no_window_exceeds_the_limit(rate, burst, domain_count, cut, steps):
    """VMs of all domains request, keep and use tokens in any order.

    Messages are lost, and from some time on some domains are cut off from
    the limiter in one or both directions.
    """
    limit = token_bucket.Allowance(rate, burst)
    allowance = limit.scale(rates.LIMITER_SHARE)
    limiter_bucket = rates.LimiterBucket(
        0.0, rates.get_start_tokens(SLACK_TOKENS)
    )
    domains = [
        SimulatedDomain(f"domain-{number}", domain_count)
        for number in range(domain_count)
    ]
    spent = []
    now = 0.0
    for number, (pause, index, wanted, delivery) in enumerate(steps):
        now += pause
        limiter_bucket.fill(allowance, now)
        place = index % domain_count
        domain = domains[place]
        domain.fill(limit, now)
        vm = index % VMS_PER_DOMAIN
        if number > len(steps) / 3:
            delivery = cut.get(place, delivery)
        if delivery is not Delivery.REQUEST_LOST:
            tokens, _ = limiter_bucket.grant(
                domain.name, allowance, wanted, now
            )
            if delivery is Delivery.WHOLE:
                domain.add(vm, tokens, now)
        domain.ask_standby(limit, vm, wanted, now)
        domain.renew(limiter_bucket, allowance, delivery, now)
        spent += [now] * domain.use(wanted % VMS_PER_DOMAIN, wanted, now)
    max_operations = (rate * WINDOW_S + burst) * (1 + TOLERANCE) + SLACK_TOKENS
    for start in spent:
        within = [at for at in spent if start <= at < start + WINDOW_S]
        assert len(within) <= max_operations


@pytest.mark.parametrize("rate", [2.0, 40.0, 300.0])
@pytest.mark.parametrize("delivery", list(Delivery))
def test_demand_far_beyond_the_limit_gets_the_limit_during_a_cut(
    rate, delivery
):
    """One of three domains is cut off from the limiter for 6 s."""
    burst = 0.1 * rate
    limit = token_bucket.Allowance(rate, burst)
    allowance = limit.scale(rates.LIMITER_SHARE)
    limiter_bucket = rates.LimiterBucket(
        0.0, rates.get_start_tokens(SLACK_TOKENS)
    )
    domains = [SimulatedDomain(f"domain-{number}", 3) for number in range(3)]
    spent = []
    for step in range(600):
        now = step * 0.05
        limiter_bucket.fill(allowance, now)
        for place in range(3):
            domain = domains[(place + step) % 3]
            domain.fill(limit, now)
            is_cut = domain is domains[0] and 10.0 <= now < 16.0
            arrives = delivery if is_cut else Delivery.WHOLE
            if arrives is not Delivery.REQUEST_LOST:
                tokens, _ = limiter_bucket.grant(
                    domain.name, allowance, 20, now
                )
                if arrives is Delivery.WHOLE:
                    domain.add(0, tokens, now)
            domain.ask_standby(limit, 0, 20, now)
            domain.renew(limiter_bucket, allowance, arrives, now)
            used = domain.use(0, 40, now)
            spent += [(now, domain.name)] * used
    max_operations = (rate * WINDOW_S + burst) * (1 + TOLERANCE) + SLACK_TOKENS
    for start in range(0, 25):
        within = [at for at, _ in spent if start <= at < start + WINDOW_S]
        assert len(within) <= max_operations
    cut_off = [at for at, name in spent if name == "domain-0"]
    during = [at for at in cut_off if 10.0 <= at < 16.0]
    if rate > 10 and delivery is Delivery.REQUEST_LOST:
        assert len(during) >= rate * 6.0 / 3 * 0.7


def test_fallback_rate_of_a_former_limiter_is_subtracted():
    """Guards against a limit that a domain uses beside its new limiter.

    The standby there may not know of the new one and use the rate it has.
    """
    former = rates.LimiterBucket(0.0)
    allowance = token_bucket.Allowance(100.0, 10.0)
    for step in range(60):
        former.grant("north", allowance, 3, step / 20)
    renewal = rates.FallbackRenewal(0.0, False)
    granted = former.renew_fallback("north", renewal, allowance, 3.0)
    assert granted > 20
    assert former.list_fallback_rates(3.1) == {"north": granted}
    successor = rates.LimiterBucket(3.1)
    successor.adopt_fallback_rate("north", granted, 3.1)
    plain = rates.LimiterBucket(3.1)
    taken, full = (
        sum(
            bucket.grant("south", allowance, 5, 3.1 + step / 20)[0]
            for step in range(20)
        )
        for bucket in (successor, plain)
    )
    assert taken <= full - 0.8 * granted
    # The standby has come to the new limiter and uses the rate no more.
    successor.renew_fallback("north", renewal, allowance, 4.2)
    assert successor.list_fallback_rates(4.2).get("north", 0.0) < granted
