"""Parsing of Retry-After in seconds."""

import pytest
from hypothesis import given, strategies

from plumarch.core import retry_after


@pytest.mark.parametrize(
    ("text", "ms"),
    [
        ("3", 3_000.0),
        ("0.25", 250.0),
        ("0", 0.0),
        ("-1", 0.0),
        ("nan", 0.0),
        ("inf", 0.0),
        ("1e400", 0.0),
        ("Wed, 21 Oct 2015 07:28:00 GMT", 0.0),
        ("", 0.0),
    ],
)
def test_only_positive_finite_seconds_are_accepted(text: str, ms: float):
    assert retry_after.milliseconds(text) == ms


@given(strategies.text())
def test_no_text_is_a_fault(text: str):
    assert 0.0 <= retry_after.milliseconds(text) < float("inf")
