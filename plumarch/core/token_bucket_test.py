"""Refill, maximum and debt of a token bucket."""

from plumarch.core import token_bucket


def test_bucket_starts_empty_and_refills_at_its_rate():
    bucket = token_bucket.TokenBucket(2.0, 3.0, 1_000)
    assert bucket.fill(1_000) == 0.0
    assert bucket.next_ms() == 500.0
    assert bucket.fill(1_500) == 1.0
    assert bucket.next_ms() == 0.0


def test_level_is_capped_at_the_maximum():
    bucket = token_bucket.TokenBucket(2.0, 3.0, 0)
    assert bucket.fill(3_600_000) == 3.0
    bucket.take(3)
    assert bucket.fill(3_600_250) == 0.5


def test_debt_is_refilled_before_tokens_are_available():
    bucket = token_bucket.TokenBucket(1.0, 3.0, 0)
    bucket.take(1)
    assert bucket.next_ms() == 2_000.0
