"""Types of INI keys, and parsing of their texts.

Uses msgspec for validation, since its import is fast and every start of a node waits for it.
"""

import configparser
import re
from collections.abc import Callable
from typing import Annotated, Any, get_args, get_origin

import msgspec

PARSER_KEY = "reader"
"""The entry in a type's msgspec.Meta extra that holds the parser of a key's text."""

ADDRESS = re.compile(r"^(?P<host>[0-9a-fA-F.:\[\]]+):(?P<port>\d{1,5})$")
MAX_PORT = 65_535


def split_list(text: str) -> tuple[str, ...]:
    """Split a comma-separated value."""
    return tuple(part.strip() for part in text.split(",") if part.strip())


def address(text: str) -> str:
    """Check an address.

    Raises:
      ValueError: it is not IP:port.
    """
    found = ADDRESS.match(text)
    if not found or int(found["port"]) > MAX_PORT:
        raise ValueError(f"{text!r} is not IP:port")
    return text


def parsed_by(reader: Callable[[str], Any]) -> msgspec.Meta:
    """Return the annotation of a type whose values a function parses.

    Args:
      reader: parses a key's text; raises ValueError for an invalid one.
    """
    return msgspec.Meta(extra={PARSER_KEY: reader})


CommaSeparated = Annotated[tuple[str, ...], parsed_by(split_list)]
Address = Annotated[str, parsed_by(address)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
NonEmpty = Annotated[str, msgspec.Meta(min_length=1)]


def read(wanted: Any, text: str) -> Any:
    """Parse a key's text.

    Args:
      wanted: the key's type.
    Raises:
      ValueError: the text is invalid for the type; may be a msgspec.ValidationError.
    """
    given: Any = text
    for reader in _readers(wanted):
        given = reader(given)
    if wanted is bool:
        given = configparser.RawConfigParser.BOOLEAN_STATES.get(text.lower(), text)
    return msgspec.convert(given, wanted, strict=False)


def _readers(wanted: Any) -> list[Callable[[str], Any]]:
    if get_origin(wanted) is not Annotated:
        return []
    extras = [mark.extra or {} for mark in get_args(wanted)[1:] if isinstance(mark, msgspec.Meta)]
    return [extra[PARSER_KEY] for extra in extras if PARSER_KEY in extra]
