"""Rejects new requests while much of a node's memory is reserved.

It rejects early, since an aborted request loses the work done: the least urgent and the largest
requests first.
"""

import dataclasses

from plumarch.core import clock

REFUSAL_START = 0.7
"""Fraction of the budget from which some requests are rejected: above the limits of one workspace
plus one connection."""

REFUSE_ALL = 0.9
"""Fraction of the budget from which all are rejected; the rest is for answers."""

RANKS = 10
"""Ranks of urgency; 0 is the most urgent."""

MAX_BODY_FRACTION = 1 / 16
"""Maximum body as a fraction of the budget at REFUSAL_START; it falls to 0 at REFUSE_ALL."""

RATE_WINDOW_MS = 2_000.0
"""Averaging time of the rate at which bytes are released."""

MIN_RETRY_AFTER_MS = 200.0
MAX_RETRY_AFTER_MS = 5_000.0
"""Bounds of the return time."""


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryUsage:
    """Reserved bytes of a node, and their maximum."""

    total: int
    budget: int

    def pressure(self) -> float:
        """Return 0 up to REFUSAL_START, rising to 1 at REFUSE_ALL."""
        share = self.total / max(1, self.budget)
        return min(1.0, max(0.0, (share - REFUSAL_START) / (REFUSE_ALL - REFUSAL_START)))


def is_refused(usage: MemoryUsage, size: int, rank: int) -> bool:
    """Return whether a request is rejected.

    Args:
      size: bytes of its body.
      rank: 0 is the most urgent.
    """
    pressure = usage.pressure()
    if pressure <= 0.0:
        return False
    if pressure >= 1.0:
        return True
    headroom = 1.0 - pressure
    return rank > headroom * (RANKS - 1) or size > headroom * MAX_BODY_FRACTION * usage.budget


@dataclasses.dataclass(slots=True)
class MemoryAdmission:
    """Rejects requests and estimates when they can be retried.

    Attributes:
      released: bytes released up to the last update.
      rate: bytes released per ms, averaged.
    """

    clock: clock.Clock
    released: int = 0
    updated_ms: int = -1
    rate: float = 0.0

    def refuse(self, usage: MemoryUsage, size: int, rank: int, released: int) -> float | None:
        """Return the ms after which a request may be retried, or None if it is accepted.

        Args:
          released: bytes released since the start.
        """
        self.update_rate(released)
        if not is_refused(usage, size, rank):
            return None
        over = usage.total + size - round(REFUSAL_START * usage.budget)
        return self.back_in_ms(over)

    def back_in_ms(self, over: int) -> float:
        """Return the estimated ms until so many bytes are released."""
        if self.rate <= 0.0:
            return MAX_RETRY_AFTER_MS
        return min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, over / self.rate))

    def update_rate(self, released: int) -> None:
        """Update the release rate.

        Args:
          released: bytes released since the start.
        """
        now = self.clock.now()
        if self.updated_ms < 0:
            self.released, self.updated_ms = released, now
            return
        passed_ms = now - self.updated_ms
        if passed_ms <= 0:
            return
        # Exponential moving average, weighted by the time since the last update.
        weight = min(1.0, passed_ms / RATE_WINDOW_MS)
        self.rate += weight * ((released - self.released) / passed_ms - self.rate)
        self.released, self.updated_ms = released, now
