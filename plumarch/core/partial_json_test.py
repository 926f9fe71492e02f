"""A part of a JSON text that can't be decoded costs only itself."""

import json
from typing import Any

import hypothesis
import pytest
from hypothesis import strategies

from plumarch.core import partial_json

TOO_DEEP = "[" * 5_000 + "]" * 5_000
SOUND = strategies.recursive(
    strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(),
        strategies.floats(allow_nan=False, allow_infinity=False),
        strategies.text(),
    ),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=4),
        strategies.dictionaries(strategies.text(max_size=5), inner, max_size=4),
    ),
    max_leaves=12,
)
BAD = (
    TOO_DEEP,
    '{"a":' * 5_000 + "0" + "}" * 5_000,
    '[{"\\"]": "}"}, ' + TOO_DEEP + "]",
    "tru",
    "-",
    '"\\q"',
    '{"a" 5}',
    "[1,]",
    '{"a": [tru, "]"]}',
)


@hypothesis.settings(max_examples=500, derandomize=True, deadline=None)
@hypothesis.given(SOUND, strategies.sampled_from([None, 0, 2]))
def test_a_sound_text_is_decoded_as_by_the_standard_parser(value: Any, indent: int | None):
    text = json.dumps(value, indent=indent)
    assert partial_json.decode(text, 0) == partial_json.decode(text, 3) == value


@hypothesis.settings(max_examples=500, derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.one_of(SOUND, strategies.sampled_from(BAD).map(lambda bad: (bad,)))
    ),
    strategies.sampled_from(["", " ", "\n"]),
)
def test_undecodable_elements_leave_the_others_as_they_are(elements: list[Any], blank: str):
    texts = [one[0] if isinstance(one, tuple) else json.dumps(one) for one in elements]
    text = f'{{"at":{blank}5,{blank}"items"{blank}:{blank}[{f"{blank},".join(texts)}]}}'
    found = partial_json.decode(text, 2)
    assert found["at"] == 5
    for expected, value in zip(elements, found["items"], strict=True):
        if isinstance(expected, tuple):
            assert isinstance(value, partial_json.Undecodable)
        else:
            assert value == expected


def test_members_below_the_split_levels_fail_together():
    text = f'[{{"sound": 1, "deep": {TOO_DEEP}}}]'
    assert isinstance(partial_json.decode(text, 1)[0], partial_json.Undecodable)
    split = partial_json.decode(text, 2)[0]
    assert split["sound"] == 1
    assert isinstance(split["deep"], partial_json.Undecodable)


MALFORMED = ("", " ", "[", "{", '"', '{"a', '{"a":', "[1 2]", "[1,]", '{"a":1}x', "{1:2}", "x")
ENDLESS = ("[" * 200_000, '{"items":' + "[" * 5_000, '["' + '\\"' * 5_000, "[" + TOO_DEEP)


@pytest.mark.parametrize("text", [*MALFORMED, *ENDLESS, TOO_DEEP + "]", f"{{{TOO_DEEP}:1}}"])
def test_a_text_that_is_malformed_at_its_outermost_level_is_an_error(text: str):
    with pytest.raises(ValueError):
        partial_json.decode(text, 3)


def test_long_integers_are_decoded_as_floating_point_numbers():
    digits = "9" * 6_000
    assert partial_json.decode(f"[{digits}, -{digits}, 7]", 0) == [float("inf"), -float("inf"), 7]
