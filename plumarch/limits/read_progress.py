"""Detects peers that read nothing although bytes are waiting for them."""

import dataclasses
import math

LATE_FACTOR = 3.0
"""A check this many intervals after the last one shows that this process was suspended; the
peer's time starts again."""


@dataclasses.dataclass(slots=True)
class ReadProgress:
    """How far a peer has read, and since when it has not read further.

    Attributes:
      limit_ms: maximum time without reading.
      since_ms: when bytes were last read, or there was first something to read.
    """

    limit_ms: float
    check_interval_ms: float = math.inf
    bytes_read: int = 0
    since_ms: float = 0.0
    checked_ms: float = 0.0

    def begin(self, bytes_read: int, now_ms: float) -> None:
        """Record that there is something to read from now on."""
        self.bytes_read = bytes_read
        self.since_ms = self.checked_ms = now_ms

    def stalled(self, bytes_read: int, now_ms: float) -> bool:
        """Record the bytes read so far.

        Returns:
          Whether nothing was read for longer than the limit.
        """
        is_late = now_ms - self.checked_ms >= LATE_FACTOR * self.check_interval_ms
        if bytes_read > self.bytes_read or is_late:
            self.begin(bytes_read, now_ms)
        self.checked_ms = now_ms
        return now_ms - self.since_ms >= self.limit_ms
