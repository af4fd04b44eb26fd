"""Rates: limits hold over any window, whoever draws."""

from hypothesis import given
from hypothesis import strategies as st

from geraniumridge._internal.decisions import rates

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
    assert bucket.find_retry(allowance) == 0.5


def test_drawn_tokens_expire():
    stock = rates.Stock()
    stock.add(2, 1.0)
    assert stock.take(0.9)
    assert not stock.take(1.0)


def test_a_vm_that_just_joined_limits_nothing_while_others_do():
    joined = {"old-1": 0.0, "old-2": 0.0, "new": 9.0}
    teams = [f"team-{number}" for number in range(50)]
    owners = {rates.find_limiter(team, joined, 10.0) for team in teams}
    assert owners == {"old-1", "old-2"}
    owners = {rates.find_limiter(team, joined, 12.0) for team in teams}
    assert owners == {"old-1", "old-2", "new"}


def test_when_all_are_new_they_limit_at_once():
    assert rates.find_limiter("team", {"new": 9.0}, 9.0) == "new"


@given(
    rate=st.floats(1, 300),
    burst=st.floats(1, 300),
    vms=st.integers(1, 12),
    steps=st.lists(
        st.tuples(st.floats(0, 0.4), st.integers(0, 11), st.integers(1, 40)),
        max_size=150,
    ),
)
def test_no_window_sees_more_than_the_limit_allows(rate, burst, vms, steps):
    """VMs draw, keep and spend as they like; all spend at any time."""
    allowance = rates.Allowance(rate, burst)
    master = rates.Bucket(0.0)
    reserves = [rates.Bucket(0.0) for _ in range(vms)]
    stocks = [rates.Stock() for _ in range(vms)]
    spent = []
    now = 0.0
    for pause, vm, wanted in steps:
        now += pause
        vm %= vms
        tokens = master.take(allowance.scale(rates.DRAWN), wanted, now)
        stocks[vm].add(tokens, now + rates.GRANT_S)
        for _ in range(wanted):
            other = (vm + wanted) % vms
            share = allowance.scale(rates.RESERVE / vms)
            if stocks[other].take(now) or reserves[other].take(share, 1, now):
                spent.append(now)
    most = (rate * WINDOW_S + burst) * (1 + TOLERANCE) + SLACK
    for start in spent:
        within = [at for at in spent if start <= at < start + WINDOW_S]
        assert len(within) <= most
