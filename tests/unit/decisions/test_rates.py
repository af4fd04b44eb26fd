"""Rate limits, which hold over any window whichever VM requests tokens."""

from hypothesis import given
from hypothesis import strategies as st

from geraniumridge._internal.decisions import rates
from lib import fleets

WINDOW_S = 5.0
TOLERANCE = 0.1
SLACK_TOKENS = 20


def test_bucket_starts_empty_and_fills_to_its_burst():
    bucket = rates.Bucket(0.0)
    allowance = rates.Allowance(10.0, 5.0)
    assert bucket.take(allowance, 1, 0.0) == 0
    assert bucket.take(allowance, 9, 100.0) == 5


def test_lower_limit_applies_at_once():
    bucket = rates.Bucket(0.0)
    bucket.take(rates.Allowance(100.0, 100.0), 0, 10.0)
    assert bucket.take(rates.Allowance(1.0, 2.0), 50, 10.0) == 2


def test_retry_delay_ends_with_the_next_token():
    bucket = rates.Bucket(0.0)
    allowance = rates.Allowance(2.0, 5.0)
    bucket.take(allowance, 1, 0.0)
    assert bucket.get_retry_s(allowance) == 0.5


def test_granted_tokens_expire():
    local_tokens = rates.LocalTokens()
    local_tokens.add(2, 1.0)
    assert local_tokens.take(0.9)
    assert not local_tokens.take(1.0)


def find_limiters(stable, new):
    members = {
        vm: fleets.make_member(vm)._replace(is_settled=vm in stable)
        for vm in [*stable, *new]
    }
    teams = [f"team-{number}" for number in range(60)]
    return {rates.find_limiter(team, members).vm for team in teams}


def test_new_vm_is_no_limiter_while_others_are_stable():
    assert find_limiters(["a", "b"], ["new"]) == {"a", "b"}
    assert find_limiters(["a", "b", "new"], []) == {"a", "b", "new"}


def test_all_vms_are_candidates_when_most_are_new():
    assert find_limiters([], ["a", "b", "c"]) == {"a", "b", "c"}
    assert find_limiters(["a"], ["b", "c"]) == {"a", "b", "c"}


def test_no_limiter_without_members():
    assert rates.find_limiter("team", {}) is None


def test_limiter_stops_before_a_successor_can_begin():
    assert rates.may_grant(age_s=3.0, lease_left_s=1.0)
    assert not rates.may_grant(age_s=rates.STABLE_AFTER_S, lease_left_s=1.0)
    assert not rates.may_grant(age_s=1.0, lease_left_s=0.0)


def test_limiter_subtracts_the_fallback_rate_of_a_silent_vm():
    limiter_bucket = rates.LimiterBucket(0.0)
    allowance = rates.Allowance(100.0, 10.0)
    now = 0.0
    for _ in range(200):
        now += 0.05
        _, _, fallback_rate = limiter_bucket.grant("vm-1", allowance, 1, now)
    assert 10 < fallback_rate <= rates.MAX_FALLBACK_SHARE * 100.0
    remaining = limiter_bucket._subtract_fallbacks(
        allowance, now + rates.FALLBACK_DELAY_S
    )
    assert remaining.rate == 100.0 - fallback_rate
    late = now + rates.FALLBACK_DELAY_S + rates.LONG_FALLBACK_LIFETIME_S + 0.01
    assert limiter_bucket._subtract_fallbacks(allowance, late).rate == 100.0


def test_limiter_that_lost_the_store_still_subtracts_fallback_rates():
    limiter_bucket = rates.LimiterBucket(0.0)
    allowance = rates.Allowance(100.0, 100.0)
    now = 0.0
    for _ in range(200):
        now += 0.05
        _, _, fallback_rate = limiter_bucket.grant("vm-1", allowance, 1, now)
    limiter_bucket.restart(now)
    now += rates.FALLBACK_DELAY_S
    assert limiter_bucket.grant("vm-2", allowance, 100, now)[0] == int(
        (100.0 - fallback_rate) * rates.FALLBACK_DELAY_S
    )


def test_sum_of_fallback_rates_is_bounded():
    limiter_bucket = rates.LimiterBucket(0.0)
    allowance = rates.Allowance(10.0, 1000.0)
    limiter_bucket.fill(allowance, 100.0)
    fallbacks = [
        limiter_bucket.grant(f"vm-{number}", allowance, 50, 100.0)[2]
        for number in range(9)
    ]
    assert sum(fallbacks) <= rates.MAX_FALLBACK_SHARE * 10.0 + 1e-9


@given(
    rate=st.floats(1, 300),
    burst=st.floats(1, 300),
    vms=st.integers(1, 12),
    silent=st.sets(st.integers(0, 11)),
    steps=st.lists(
        st.tuples(st.floats(0, 0.4), st.integers(0, 11), st.integers(1, 40)),
        max_size=150,
    ),
)
def test_no_window_exceeds_the_limit(rate, burst, vms, steps, silent):
    """VMs request, keep and use tokens in any order, some unreachable."""
    allowance = rates.Allowance(rate, burst)
    limiter_bucket = rates.LimiterBucket(0.0)
    reserves = [rates.Bucket(0.0) for _ in range(vms)]
    local_tokens = [rates.LocalTokens() for _ in range(vms)]
    spent = []
    fallbacks = dict.fromkeys(range(vms), (0.0, -9.0, rates.Bucket(0.0)))
    now = 0.0
    for pause, vm, wanted in steps:
        now += pause
        vm %= vms
        limiter_share = allowance.scale(rates.LIMITER_SHARE)
        limiter_bucket.fill(limiter_share, now)
        if vm in silent:
            fallback_limit = rates.Allowance(fallbacks[vm][0], rate)
            if rates.is_fallback_valid(fallbacks[vm][1], now):
                spent += [now] * fallbacks[vm][2].take(
                    fallback_limit, wanted, now
                )
            continue
        tokens, _, fallback_rate = limiter_bucket.grant(
            vm, limiter_share, wanted, now
        )
        fallbacks[vm] = (
            fallback_rate,
            now,
            rates.Bucket(now + rates.FALLBACK_DELAY_S),
        )
        local_tokens[vm].add(tokens, now + rates.GRANT_LIFETIME_S)
        for _ in range(wanted):
            other = (vm + wanted) % vms
            share = allowance.scale(rates.RESERVED_SHARE / vms)
            if local_tokens[other].take(now) or reserves[other].take(
                share, 1, now
            ):
                spent.append(now)
    max_operations = (rate * WINDOW_S + burst) * (1 + TOLERANCE) + SLACK_TOKENS
    for start in spent:
        within = [at for at in spent if start <= at < start + WINDOW_S]
        assert len(within) <= max_operations
