"""Token buckets grant at most rate x time + burst."""

import collections
import itertools
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from geraniumridge._internal.decisions import admission
from geraniumridge._internal.decisions import limiter
from geraniumridge._internal.models import config

DOMAINS = ("a", "b", "c")


def make_document(rate, burst, out=()):
    """Return a configuration with one team."""
    return config.Document(
        plans={"t": "p"},
        use={"p": config.PlanUse(rate, burst, {})},
        domains={
            name: config.DomainEntry(in_service=name not in out)
            for name in DOMAINS
        },
    )


@given(
    rate=strategies.floats(0.5, 200),
    burst=strategies.integers(1, 50),
    seed=strategies.integers(0, 1 << 16),
)
@settings(max_examples=60, deadline=None, derandomize=True, database=None)
def test_spending_keeps_every_window_under_rate_and_burst(rate, burst, seed):
    generator = random.Random(seed)
    bucket = limiter.TokenBucket(0.0)
    allowance = limiter.Allowance(rate, float(burst))
    pools = [admission.TokenPool() for _ in range(3)]
    spent = []
    now = 0.0
    for _ in range(400):
        now += generator.expovariate(50)
        pool = generator.choice(pools)
        pool.note_request(now)
        if not pool.take_token(now):
            if generator.random() < 0.2:
                continue
            source = str(pools.index(pool))
            closed = pool.pop_closed_batches(now, source)
            result = bucket.grant_tokens(
                now,
                allowance,
                1,
                pool.get_prepaid_count(now),
                closed if generator.random() < 0.8 else (),
            )
            if result.granted and generator.random() < 0.9:
                expires_at = now + result.valid_s
                pool.add_batch(
                    source, result.batch, result.granted, expires_at
                )
            if not pool.take_token(now):
                continue
        spent.append(now)
    for first, last in itertools.combinations(range(0, len(spent), 7), 2):
        length = spent[last] - spent[first]
        assert last - first + 1 <= rate * length + burst + 1e-6


def test_parts_of_all_domains_add_up_also_for_small_bursts():
    for burst in (1, 2, 3, 10):
        use = config.PlanUse(30.0, burst, {})
        parts = [
            limiter.split_allowance("t", use, name, DOMAINS)
            for name in DOMAINS
        ]
        assert sum(part.burst for part in parts) == burst
        assert sum(part.rate for part in parts) == pytest.approx(30.0)


def test_part_grows_only_once_no_domain_uses_the_older_version():
    old = make_document(30.0, 30)
    new = make_document(30.0, 30, out=("c",))
    overlapping = limiter.find_min_allowance("t", "a", [old, new])
    assert overlapping.rate == pytest.approx(10.0)
    assert limiter.find_min_allowance("t", "c", [old, new]).rate == 0
    after = limiter.find_min_allowance("t", "a", [new])
    assert after.rate == pytest.approx(15.0)


def test_new_limiter_grants_nothing_until_earlier_batches_have_expired():
    bucket = limiter.TokenBucket(10.0)
    allowance = limiter.Allowance(1000.0, 1000.0)
    assert bucket.grant_tokens(10.4, allowance, 5, 0).granted == 0
    assert bucket.grant_tokens(11.0, allowance, 5, 0).granted == 5


def test_parts_under_mixed_versions_never_exceed_the_plan():
    versions = [
        make_document(30.0, 10, out)
        for size in range(3)
        for out in itertools.combinations(DOMAINS, size)
    ]
    # Each domain may use another version; all of them keep the versions
    # from the lowest confirmed one on.
    for held in itertools.product(range(4), repeat=3):
        lowest = min(held)
        total = collections.Counter()
        for domain, version in zip(DOMAINS, held):
            window = versions[lowest : version + 1]
            part = limiter.find_min_allowance("t", domain, window)
            total.update(rate=part.rate, burst=part.burst)
        assert total["rate"] <= 30.0 + 1e-9
        assert total["burst"] <= 10
