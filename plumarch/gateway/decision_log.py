"""Structured logs, one JSON object a line, written without blocking.

Lines above the buffer's size or the rate limit are dropped; the next line carries their count.
"""

import dataclasses
import json
import os
from typing import Any

import msgspec

from plumarch.core import clock

PENDING_BYTES = 1_048_576
LINES_PER_S = 500
WRITE_BYTES = 65_536


@dataclasses.dataclass(slots=True)
class DecisionLog:
    """The log of a process's decisions.

    Attributes:
      node: named in each line.
      descriptor: output file descriptor, set to non-blocking.
      dropped: lines dropped since the last one written.
      dropped_total: lines dropped since the start.
    """

    clock: clock.Clock
    node: str
    descriptor: int = 1
    lines_per_s: int = LINES_PER_S
    dropped: int = 0
    dropped_total: int = 0
    pending: bytearray = dataclasses.field(default_factory=bytearray)
    second: int = -1
    lines_in_second: int = 0

    def write(self, kind: str, *, urgent: bool = False, **fields: Any) -> None:
        """Write a line.

        Args:
          urgent: whether it is exempt from the rate limit.
          fields: request id, inputs, their age or version, outcome.
        """
        if not self._admitted(urgent):
            self.dropped += 1
            self.dropped_total += 1
            return
        line = {"at": self.clock.now(), "node": self.node, "kind": kind, **fields}
        if self.dropped:
            line["lines_dropped_before"] = self.dropped
            self.dropped = 0
        self.pending += _encoded(line)
        self.pending += b"\n"

    def _admitted(self, urgent: bool) -> bool:
        if len(self.pending) > PENDING_BYTES:
            return False
        second = self.clock.now() // 1000
        if second != self.second:
            self.second = second
            self.lines_in_second = 0
        self.lines_in_second += 1
        return urgent or self.lines_in_second <= self.lines_per_s

    def flush(self) -> None:
        """Write as much of the buffer as the output accepts."""
        while self.pending:
            try:
                written = os.write(self.descriptor, bytes(self.pending[:WRITE_BYTES]))
            except BlockingIOError:
                return
            except OSError:
                self.pending.clear()
                return
            del self.pending[:written]


def _encoded(line: dict[str, Any]) -> bytes:
    """Return a line as JSON, also with unencodable values."""
    try:
        return msgspec.json.encode(line)
    except (UnicodeEncodeError, TypeError):
        return json.dumps(line, default=repr).encode()
