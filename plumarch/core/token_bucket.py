"""A token bucket that fills at a rate and starts empty."""

import dataclasses


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Tokens that came at a rate and were not taken.

    Attributes:
      per_s: tokens that come in a second.
      most: tokens that it holds at most.
      filled_ms: as of when `level` tokens were there.
    """

    per_s: float
    most: float
    filled_ms: int
    level: float = 0.0

    def fill(self, now_ms: int) -> float:
        """Add what came until now, and return how many tokens there are."""
        came = (now_ms - self.filled_ms) * self.per_s / 1000.0
        self.level = min(self.most, self.level + came)
        self.filled_ms = now_ms
        return self.level

    def take(self, count: float) -> None:
        """Take tokens out; the bucket may owe some then."""
        self.level -= count

    def next_ms(self) -> float:
        """Return how long after the last filling a whole token is there."""
        return max(0.0, 1.0 - self.level) * 1000.0 / self.per_s
