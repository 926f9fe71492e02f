"""Extracts the lines of one request from the logs of several nodes.

Reads the JSON lines of plumarch.gateway.decision_log; skips text before the JSON, such as a
collector's time stamp.
"""

import dataclasses
from collections.abc import Iterable
from typing import Any

import msgspec

STATE_BEFORE_MS = 3_000
"""How long before the request's first line the node's own lines are included."""

REQUEST_FIELDS = ("key", "fingerprint", "resumes")
"""Fields other than the id that identify a line's request; resumptions name their first attempt."""

COMMON_FIELDS = frozenset({"at", "node", "kind", "request"})
QUARANTINE_KINDS = frozenset({"quarantined", "quarantine_cleared", "quarantine_trial"})
STATE_KINDS = frozenset(
    {
        "configuration",
        "endpoint",
        "endpoints_stale",
        "store_rolled_back",
        "lost",
        "regained",
        "history_gone",
        "start",
        "stop",
        "stopped",
        "reload",
        "fault",
        "leave",
        "member",
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One line of a log.

    Attributes:
      at_ms: wall-clock time of its node.
    """

    at_ms: int
    node: str
    kind: str
    request: str
    fields: dict[str, Any]

    def text(self, since_ms: int) -> str:
        """Return the line as text, with its time relative to since_ms."""
        shown = " ".join(f"{name}={value}" for name, value in self.fields.items() if value != "")
        return f"{self.at_ms - since_ms:+7d} ms  {self.node}  {self.kind}  {shown}"


def parse(lines: Iterable[str]) -> list[Line]:
    """Parse a log's lines; skip those that are not JSON objects of a log."""
    found = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(line[start:])
        except msgspec.DecodeError:
            continue
        if isinstance(fields, dict) and "at" in fields and "kind" in fields:
            found.append(_line(fields))
    return found


def _line(fields: dict[str, Any]) -> Line:
    others = {name: value for name, value in fields.items() if name not in COMMON_FIELDS}
    return Line(
        int(fields["at"]),
        str(fields.get("node", "")),
        str(fields["kind"]),
        str(fields.get("request", "")),
        others,
    )


def story(lines: Iterable[Line], request: str) -> list[Line]:
    """Return a request's lines and the state changes of its nodes meanwhile, ordered by time.

    Args:
      request: its id, its key, or the fingerprint that all attempts of a request share.
    """
    lines = list(lines)
    ids = {line.request for line in lines if _is_known_as(line, request)} - {""}
    ids.add(request)
    own = [line for line in lines if line.request in ids or _is_known_as(line, request)]
    if not own:
        return []
    nodes = {line.node for line in own}
    endpoints = {line.fields.get("endpoint") for line in own}
    begin = min(line.at_ms for line in own) - STATE_BEFORE_MS
    end = max(line.at_ms for line in own)
    state_lines = [
        line
        for line in lines
        if line.kind in STATE_KINDS and line.node in nodes and begin <= line.at_ms <= end
        if line.kind != "endpoint" or line.fields.get("endpoint") in endpoints
    ]
    found = own + state_lines + _quarantine_lines(lines, own)
    return sorted(found, key=lambda line: (line.at_ms, line.node))


def _quarantine_lines(lines: list[Line], own: list[Line]) -> list[Line]:
    """Return the lines on what a request was refused for, such as a segment of its prompt."""
    refused_for = {line.fields.get("fingerprint") for line in own if line.kind == "refused"}
    return [
        line
        for line in lines
        if line.kind in QUARANTINE_KINDS and line.fields.get("fingerprint") in refused_for
        if line not in own
    ]


def _is_known_as(line: Line, name: str) -> bool:
    return any(line.fields.get(field) == name for field in REQUEST_FIELDS)


def render(lines: list[Line]) -> str:
    """Return lines as text; times are relative to the request's first line."""
    first = next((line.at_ms for line in lines if line.request or "key" in line.fields), 0)
    return "\n".join(line.text(first) for line in lines)
