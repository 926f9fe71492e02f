"""Fills the settings template as the platform does: gaps, and spans over lists and tables."""

import json
import re
from typing import Any

GAP = re.compile(r"\{\{([#^/]?)([^}]*)\}\}")


def fill(text: str, fields: Any) -> str:
    """Return the text with its gaps and spans filled."""
    return _fill(text, [("", fields)], "")


def _fill(text: str, scopes: list[tuple[str, Any]], comma: str) -> str:
    found = []
    at = 0
    while match := GAP.search(text, at):
        found.append(text[at : match.start()])
        mark, name = match.groups()
        at = match.end()
        if mark:
            end = text.index("{{/" + name + "}}", at)
            inner = text[at:end]
            at = end + len(name) + 5
            found.append(_span(mark, inner, scopes, _look_up(name, scopes)))
        elif name == "@":
            found.append(scopes[-1][0])
        elif name == ",":
            found.append(comma)
        else:
            found.append(_text(_look_up(name, scopes)))
    found.append(text[at:])
    return "".join(found)


def _span(mark: str, inner: str, scopes: list[tuple[str, Any]], value: Any) -> str:
    is_given = value is not None and value is not False
    if mark == "^":
        return "" if is_given else _fill(inner, scopes, "")
    if not is_given:
        return ""
    if isinstance(value, dict):
        entries = list(value.items())
    elif isinstance(value, list):
        entries = [(str(number), one) for number, one in enumerate(value)]
    else:
        return _fill(inner, scopes, "")
    last = len(entries) - 1
    return "".join(
        _fill(inner, [*scopes, entry], "," if number < last else "")
        for number, entry in enumerate(entries)
    )


def _look_up(name: str, scopes: list[tuple[str, Any]]) -> Any:
    if name == ".":
        return scopes[-1][1]
    for _, scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
        if value is not None:
            return value
    return None


def _text(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(_text(one) for one in value)
    if isinstance(value, str):
        return value
    return json.dumps(value)
