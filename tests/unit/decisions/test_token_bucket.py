"""Token buckets and granted tokens."""

from geraniumridge._internal.decisions import token_bucket


def test_bucket_starts_empty_and_fills_to_its_burst():
    bucket = token_bucket.Bucket(0.0)
    allowance = token_bucket.Allowance(10.0, 5.0)
    assert bucket.take(allowance, 1, 0.0) == 0
    assert bucket.take(allowance, 9, 100.0) == 5


def test_lower_limit_applies_at_once():
    bucket = token_bucket.Bucket(0.0)
    bucket.take(token_bucket.Allowance(100.0, 100.0), 0, 10.0)
    assert bucket.take(token_bucket.Allowance(1.0, 2.0), 50, 10.0) == 2


def test_retry_delay_ends_with_the_next_token():
    bucket = token_bucket.Bucket(0.0)
    allowance = token_bucket.Allowance(2.0, 5.0)
    bucket.take(allowance, 1, 0.0)
    assert bucket.get_retry_s(allowance) == 0.5


def test_granted_tokens_expire():
    local_tokens = token_bucket.LocalTokens()
    local_tokens.add(2, 1.0)
    assert local_tokens.take(0.9)
    assert not local_tokens.take(1.0)
