"""Whether a peer that has bytes to read takes any of them."""

import dataclasses


@dataclasses.dataclass(slots=True)
class ReadProgress:
    """How far a peer has read, and since when it hasn't read further.

    Attributes:
      limit_ms: how long it may read nothing.
      taken: bytes that it took since the start.
      since_ms: when it took the last of them, or when there was first something to read.
    """

    limit_ms: float
    taken: int = 0
    since_ms: float = 0.0

    def begin(self, taken: int, now_ms: float) -> None:
        """Note that there is something to read from now on."""
        self.taken = taken
        self.since_ms = now_ms

    def stalled(self, taken: int, now_ms: float) -> bool:
        """Note how much was taken so far.

        Returns:
          Whether nothing was taken for longer than the limit.
        """
        if taken > self.taken:
            self.begin(taken, now_ms)
        return now_ms - self.since_ms >= self.limit_ms
