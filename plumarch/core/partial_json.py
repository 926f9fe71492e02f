"""Decodes JSON from several writers, so that an undecodable part costs only itself.

The standard parser accepts or rejects a whole text. Here a rejected text is split into its members,
which are decoded one by one; those that fail are replaced by `Undecodable`. The end of such a
member is found without recursion, as a text nested beyond the parser's limit is one of them.
"""

import dataclasses
import json
import re
from typing import Any

MAX_INTEGER_DIGITS = 100
"""Longer integers are decoded as floating-point numbers; `int` rejects thousands of digits."""

BLANK = re.compile(r"[ \t\n\r]*")
TOKEN = re.compile(r'"(?:[^"\\]++|\\.)*+"|[\[{]+|[\]}]+|"', re.DOTALL)
"""A string, a run of opening or of closing brackets, or the quote of an unterminated string."""

SCALAR = re.compile(r"[^,\]}]*")
"""Anything else up to the next member."""


@dataclasses.dataclass(frozen=True, slots=True)
class Undecodable:
    """Takes the place of a value that can't be decoded."""

    why: str


def decode(text: str, levels: int) -> Any:
    """Decode a JSON text.

    Args:
      levels: how deep rejected containers are split, the text itself being the first; a value
        below them that is rejected becomes Undecodable.
    Raises:
      ValueError: the text is not JSON at its outermost level, or ends early.
    """
    start = _skip_blank(text, 0)
    value, end = _value(text, start, levels)
    if isinstance(value, Undecodable):
        raise ValueError(value.why)
    if _skip_blank(text, end) != len(text):
        raise ValueError(f"unexpected text at character {end}")
    return value


def _integer(digits: str) -> int | float:
    return int(digits) if len(digits) <= MAX_INTEGER_DIGITS else float(digits)


DECODER = json.JSONDecoder(strict=False, parse_int=_integer)


def _value(text: str, start: int, levels: int) -> tuple[Any, int]:
    """Decode the value at a position; return it and its end.

    Raises:
      ValueError: the value has no end.
    """
    try:
        return DECODER.raw_decode(text, start)
    except (ValueError, RecursionError) as error:
        why = str(error)
    if levels > 0:
        try:
            return _container(text, start, levels - 1)
        except ValueError as error:
            why = str(error)
    return Undecodable(why), _end_of_value(text, start)


def _container(text: str, start: int, levels: int) -> tuple[Any, int]:
    """Decode the members of the array or object at a position one by one.

    Raises:
      ValueError: there is none, or it is malformed at its own level.
    """
    opening = text[start : start + 1]
    if opening == "{":
        return _object(text, start + 1, levels)
    if opening == "[":
        return _array(text, start + 1, levels)
    raise ValueError(f"no array or object at character {start}")


def _array(text: str, position: int, levels: int) -> tuple[list[Any], int]:
    found: list[Any] = []
    position = _skip_blank(text, position)
    if text[position : position + 1] == "]":
        return found, position + 1
    while True:
        value, position = _value(text, position, levels)
        found.append(value)
        position, is_last = _after_member(text, position, "]")
        if is_last:
            return found, position


def _object(text: str, position: int, levels: int) -> tuple[dict[str, Any], int]:
    found: dict[str, Any] = {}
    position = _skip_blank(text, position)
    if text[position : position + 1] == "}":
        return found, position + 1
    while True:
        name, position = _member_name(text, position)
        value, position = _value(text, position, levels)
        found[name] = value
        position, is_last = _after_member(text, position, "}")
        if is_last:
            return found, position


def _member_name(text: str, position: int) -> tuple[str, int]:
    """Return the name of the member at a position, and where its value starts."""
    if text[position : position + 1] != '"':
        raise ValueError(f"no member name at character {position}")
    name, position = DECODER.raw_decode(text, position)
    position = _skip_blank(text, position)
    if text[position : position + 1] != ":":
        raise ValueError(f"no colon at character {position}")
    return name, _skip_blank(text, position + 1)


def _after_member(text: str, position: int, closing: str) -> tuple[int, bool]:
    """Return the position of the next member, or the container's end and True."""
    position = _skip_blank(text, position)
    separator = text[position : position + 1]
    if separator == closing:
        return position + 1, True
    if separator != ",":
        raise ValueError(f"no comma or {closing} at character {position}")
    return _skip_blank(text, position + 1), False


def _end_of_value(text: str, start: int) -> int:
    """Return the end of a value, whatever it holds.

    Raises:
      ValueError: it has none.
    """
    if text[start : start + 1] not in ("[", "{", '"'):
        end = _match_end(SCALAR, text, start)
        if end == start:
            raise ValueError(f"no value at character {start}")
        return end
    depth = 0
    for token in TOKEN.finditer(text, start):
        run = token.group()
        if run[0] in "[{":
            depth += len(run)
        elif run[0] in "]}":
            if len(run) >= depth:
                return token.start() + depth
            depth -= len(run)
        elif len(run) == 1:
            break
        elif depth == 0:
            return token.end()
    raise ValueError(f"the value at character {start} has no end")


def _skip_blank(text: str, position: int) -> int:
    return _match_end(BLANK, text, position)


def _match_end(pattern: re.Pattern[str], text: str, position: int) -> int:
    match = pattern.match(text, position)
    return position if match is None else match.end()
