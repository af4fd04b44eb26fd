"""Rates: limits hold over any window, whoever draws."""

from hypothesis import given
from hypothesis import strategies as st

from geraniumridge._internal.decisions import rates
from lib import fleets

WINDOW_S = 5.0
TOLERANCE = 0.1
SLACK = 20


def test_a_bucket_starts_empty_and_fills_to_its_burst():
    bucket = rates.Bucket(0.0)
    allowance = rates.Allowance(10.0, 5.0)
    assert bucket.take(allowance, 1, 0.0) == 0
    assert bucket.take(allowance, 9, 100.0) == 5


def test_a_lower_limit_holds_at_once():
    bucket = rates.Bucket(0.0)
    bucket.take(rates.Allowance(100.0, 100.0), 0, 10.0)
    assert bucket.take(rates.Allowance(1.0, 2.0), 50, 10.0) == 2


def test_retry_tells_when_the_next_token_comes():
    bucket = rates.Bucket(0.0)
    allowance = rates.Allowance(2.0, 5.0)
    bucket.take(allowance, 1, 0.0)
    assert bucket.get_retry_s(allowance) == 0.5


def test_drawn_tokens_expire():
    local_tokens = rates.LocalTokens()
    local_tokens.add(2, 1.0)
    assert local_tokens.take(0.9)
    assert not local_tokens.take(1.0)


def find_owners(settled, new):
    members = {
        vm: fleets.make_member(vm)._replace(is_settled=vm in settled)
        for vm in [*settled, *new]
    }
    teams = [f"team-{number}" for number in range(60)]
    return {rates.find_limiter(team, members).vm for team in teams}


def test_a_vm_that_just_joined_limits_nothing_while_others_do():
    assert find_owners(["a", "b"], ["new"]) == {"a", "b"}
    assert find_owners(["a", "b", "new"], []) == {"a", "b", "new"}


def test_vms_that_started_together_limit_together():
    assert find_owners([], ["a", "b", "c"]) == {"a", "b", "c"}
    assert find_owners(["a"], ["b", "c"]) == {"a", "b", "c"}


def test_without_members_nobody_limits():
    assert rates.find_limiter("team", {}) is None


def test_a_limiter_stops_before_a_successor_can_begin():
    assert rates.may_grant(age_s=3.0, lease_left_s=1.0)
    assert not rates.may_grant(age_s=rates.STABLE_AFTER_S, lease_left_s=1.0)
    assert not rates.may_grant(age_s=1.0, lease_left_s=0.0)


def test_a_silent_vm_may_use_its_pledge_and_the_limiter_leaves_it():
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


def test_all_pledges_together_stay_below_their_part():
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
def test_no_window_sees_more_than_the_limit_allows(
    rate, burst, vms, steps, silent
):
    """VMs draw, keep and spend as they like, some out of reach."""
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
    most = (rate * WINDOW_S + burst) * (1 + TOLERANCE) + SLACK
    for start in spent:
        within = [at for at in spent if start <= at < start + WINDOW_S]
        assert len(within) <= most
