"""Whether a peer that has bytes to read takes any of them."""

import dataclasses
import math

LATE_FACTOR = 3.0
"""A look that comes this many times later than the one after the last finds that this process did
not run meanwhile: the peer had nothing on its way to it, and is given its time anew."""


@dataclasses.dataclass(slots=True)
class ReadProgress:
    """How far a peer has read, and since when it hasn't read further.

    Attributes:
      limit_ms: how long it may read nothing.
      check_interval_ms: the time between two looks.
      taken: bytes that it took since the start.
      since_ms: when it took the last of them, or when there was first something to read.
    """

    limit_ms: float
    check_interval_ms: float = math.inf
    bytes_read: int = 0
    since_ms: float = 0.0
    checked_ms: float = 0.0

    def begin(self, bytes_read: int, now_ms: float) -> None:
        """Note that there is something to read from now on."""
        self.bytes_read = bytes_read
        self.since_ms = self.checked_ms = now_ms

    def stalled(self, bytes_read: int, now_ms: float) -> bool:
        """Note how much was taken so far.

        Returns:
          Whether nothing was taken for longer than the limit.
        """
        is_late = now_ms - self.checked_ms >= LATE_FACTOR * self.check_interval_ms
        if bytes_read > self.bytes_read or is_late:
            self.begin(bytes_read, now_ms)
        self.checked_ms = now_ms
        return now_ms - self.since_ms >= self.limit_ms
