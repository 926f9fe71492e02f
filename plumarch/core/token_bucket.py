"""Token bucket that starts empty."""

import dataclasses


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """A token bucket whose level may go negative.

    Attributes:
      per_s: refill rate, tokens per second.
      filled_ms: time of the last refill.
    """

    per_s: float
    max_level: float
    filled_ms: int
    level: float = 0.0

    def fill(self, now_ms: int) -> float:
        """Refill up to now_ms and return the level."""
        came = (now_ms - self.filled_ms) * self.per_s / 1000.0
        self.level = min(self.max_level, self.level + came)
        self.filled_ms = now_ms
        return self.level

    def take(self, count: float) -> None:
        """Remove tokens."""
        self.level -= count

    def next_ms(self) -> float:
        """Return ms from the last refill until one token is available."""
        return max(0.0, 1.0 - self.level) * 1000.0 / self.per_s
