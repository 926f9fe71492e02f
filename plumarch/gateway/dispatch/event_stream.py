"""Splits a byte stream into complete server-sent events.

Format: https://html.spec.whatwg.org/multipage/server-sent-events.html
"""

import dataclasses

from plumarch.core import numerals

SEPARATORS = (b"\n\n", b"\r\n\r\n")


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A complete event: its bytes with the blank line, and its id or ""."""

    raw: bytes
    id: str


@dataclasses.dataclass(slots=True)
class Splitter:
    """Buffers bytes until an event is complete."""

    buffered: bytes = b""

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that are complete now."""
        self.buffered += data
        events: list[Event] = []
        while True:
            end = _event_end(self.buffered)
            if end < 0:
                return events
            raw, self.buffered = self.buffered[:end], self.buffered[end:]
            events.append(Event(raw, _id_of(raw)))


def _event_end(data: bytes) -> int:
    found = [data.find(end) + len(end) for end in SEPARATORS if end in data]
    return min(found, default=-1)


def _id_of(raw: bytes) -> str:
    for line in raw.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("ascii", "replace")
    return ""


def follows(previous: str, current: str) -> bool:
    """Return whether an event's id may follow another's; ids that aren't numbers always may.

    Args:
      previous: the id relayed last, or "" at the start.
    """
    before, after = numerals.whole_number(previous), numerals.whole_number(current)
    return before is None or after is None or after == before + 1
