"""Tokens come at the rate, up to a bound."""

from plumarch.core import token_bucket


def test_it_starts_empty_and_fills_at_its_rate():
    bucket = token_bucket.TokenBucket(2.0, 3.0, 1_000)
    assert bucket.fill(1_000) == 0.0
    assert bucket.next_ms() == 500.0
    assert bucket.fill(1_500) == 1.0
    assert bucket.next_ms() == 0.0


def test_it_holds_no_more_than_its_bound():
    bucket = token_bucket.TokenBucket(2.0, 3.0, 0)
    assert bucket.fill(3_600_000) == 3.0
    bucket.take(3)
    assert bucket.fill(3_600_250) == 0.5


def test_what_it_owes_comes_first():
    bucket = token_bucket.TokenBucket(1.0, 3.0, 0)
    bucket.take(1)
    assert bucket.next_ms() == 2_000.0
