"""Parsing of announced request rates."""

import pytest
from hypothesis import given, strategies

from plumarch.core import request_rate


@pytest.mark.parametrize(
    ("text", "rate"),
    [("1", 1.0), ("0.25", 0.25), (".5", 0.5), ("3.", 3.0), (" 2 ", 2.0), ("0", 0.0)],
)
def test_plain_decimals_are_parsed(text: str, rate: float):
    assert request_rate.per_second(text) == rate


@pytest.mark.parametrize(
    "text",
    ["", "-1", "+1", "1,5", "1e9", "nan", "inf", "0x1", "1 2", "1;2", ".", "9" * 13, "\u0661"],
)
def test_other_formats_are_rejected(text: str):
    assert request_rate.per_second(text) is None


@given(strategies.text())
def test_no_text_is_a_fault(text: str):
    found = request_rate.per_second(text)
    assert found is None or 0.0 <= found < 1e13
