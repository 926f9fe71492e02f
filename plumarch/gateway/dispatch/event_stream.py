"""Server-sent events split out of bytes, whole events only.

Format: https://html.spec.whatwg.org/multipage/server-sent-events.html
"""

import dataclasses

SEPARATORS = (b"\n\n", b"\r\n\r\n")


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One whole event: its bytes with the blank line, and its id if it has one."""

    raw: bytes
    id: str


@dataclasses.dataclass(slots=True)
class Splitter:
    """Takes bytes as they come and returns whole events."""

    buffered: bytes = b""

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes.

        Returns:
          The events that are whole now, in order.
        """
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
    """Return whether an event's id may come after another's.

    Args:
      previous: the id relayed last, or "" at the start.
      current: the id at hand.
    """
    if not previous.isdigit() or not current.isdigit():
        return True
    return int(current) == int(previous) + 1
