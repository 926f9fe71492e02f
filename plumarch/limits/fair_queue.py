"""Queue of requests that wait for an endpoint.

One bounded line for each workspace, class and target, so that a flood fills only its own. Classes
are served by urgency, workspaces within a class by weighted fair share.
"""

import collections
import dataclasses
from collections.abc import Callable

from plumarch.core import data

LINE_LIMIT = 200

AGE_LIMIT_MS = 20_000
"""Age past which a request goes before chat, so that it does not starve."""

CLASS_ORDER = tuple(data.RequestClass)


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A request in the queue."""

    request_id: str
    workspace: str
    request_class: data.RequestClass
    target: str
    cost: float
    since_ms: int


@dataclasses.dataclass(slots=True)
class Line:
    """Requests of one workspace, class and target, in order of arrival."""

    workspace: str
    request_class: data.RequestClass
    target: str
    entries: collections.deque[Entry] = dataclasses.field(default_factory=collections.deque)


Fits = Callable[[Entry], bool]


class FairQueue:
    """Lines of waiting requests, served by class and weighted fair share."""

    def __init__(self) -> None:
        self.lines: dict[tuple[str, data.RequestClass, str], Line] = {}
        self.weights: dict[str, float] = {}
        self.served: dict[str, float] = {}
        self.virtual_time = 0.0

    def push(self, entry: Entry) -> bool:
        """Queue a request.

        Returns:
          False if its line is full: the request is not queued.
        """
        name = (entry.workspace, entry.request_class, entry.target)
        line = self.lines.get(name)
        if line is None:
            line = Line(*name)
            self.lines[name] = line
        if len(line.entries) >= LINE_LIMIT:
            return False
        if not self._has_waiting(entry.workspace):
            # An idle workspace accumulates no credit.
            self.served[entry.workspace] = max(
                self.served.get(entry.workspace, 0.0), self.virtual_time
            )
        line.entries.append(entry)
        return True

    def _has_waiting(self, workspace: str) -> bool:
        return any(line.entries for line in self.lines.values() if line.workspace == workspace)

    def pop(self, now: int, fits: Fits) -> Entry | None:
        """Remove the next request.

        Args:
          now: in milliseconds.
          fits: returns whether a request can run at once.
        Returns:
          The entry, or None if no waiting request can run.
        """
        ranked = sorted(
            (line for line in self.lines.values() if line.entries),
            key=lambda line: self._rank(line, now),
        )
        for line in ranked:
            entry = line.entries[0]
            if fits(entry):
                self._dequeue(line, entry)
                return entry
        return None

    def _rank(self, line: Line, now: int) -> tuple[int, float, str, str]:
        entry = line.entries[0]
        order = CLASS_ORDER.index(line.request_class)
        if now - entry.since_ms > AGE_LIMIT_MS:
            order = min(order, CLASS_ORDER.index(data.RequestClass.CHAT))
        return (order, self.served.get(line.workspace, 0.0), line.workspace, line.target)

    def _dequeue(self, line: Line, entry: Entry) -> None:
        line.entries.popleft()
        weight = self.weights.get(entry.workspace, 1.0)
        served = self.served.get(entry.workspace, 0.0)
        self.virtual_time = max(self.virtual_time, served)
        self.served[entry.workspace] = served + entry.cost / weight
        if not line.entries:
            del self.lines[(line.workspace, line.request_class, line.target)]

    def remove(self, request_id: str) -> bool:
        """Remove a request from its line."""
        for name, line in self.lines.items():
            for entry in line.entries:
                if entry.request_id == request_id:
                    line.entries.remove(entry)
                    if not line.entries:
                        del self.lines[name]
                    return True
        return False

    def length(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(line.entries) for line in self.lines.values())
