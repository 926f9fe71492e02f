"""Texts that are whole numbers, and those that only look like it."""

import pytest

from plumarch.core import numerals


@pytest.mark.parametrize(("text", "number"), [("0", 0), ("007", 7), ("9" * 15, 10**15 - 1)])
def test_ascii_digits_are_a_number(text: str, number: int):
    assert numerals.whole_number(text) == number


@pytest.mark.parametrize(
    "text", ["", "²", "٣", "-1", "+1", " 1", "1_0", "1.0", "9" * 16, "9" * 6_000]
)
def test_other_texts_are_none(text: str):
    assert numerals.whole_number(text) is None
