"""How many requests one endpoint is given at once, when it shows that it bears fewer.

Additive increase, multiplicative decrease, without I/O: the limit comes down at refusals, falls and
answers that are far too late, and grows again with time. It goes neither below the places that the
endpoint is known to have, nor above what it is given in calm times. The test compares it with a
rule that follows the gradient of the time to the first byte (docs/design/pressure-endpoints.md).
"""

import dataclasses
from typing import Protocol

DECREASE = 0.8
"""Part of what an endpoint held that it is given after it refused or fell: the next request must
not bring it there again, and a fifth is as much as nodes differ in what they know of each other."""

LATE_DECREASE = 0.95
"""The same after an answer that was far too late, which costs its caller less than a fall."""

LATE_FACTOR = 3.0
"""Answers that take this many times the usual time are late; a queue of twice the places, which
calm times allow, makes them take up to three times as long."""

LATE_INTERVAL_MS = 200
"""Late answers lower the limit once in this time: those that were sent together come together."""

RECOVERY_MS = 4_000.0
"""The limit grows from its lowest to its highest in this time: callers that were turned away are
back within seconds, and find what was found too much only once in that time."""

CRASH_RETENTION_MS = 60_000
"""What made an endpoint fall isn't tried again for this long: a fall costs all that it held, a
refusal one send."""

USUAL_WEIGHT = 0.02
"""Weight of an answer in the usual time; some fifty answers are what an endpoint usually takes."""

RECENT_WEIGHT = 0.2
"""Weight of an answer in the recent time; five answers show what callers get now."""


class ConcurrencyLimit(Protocol):
    """How much an endpoint may hold.

    Attributes:
      most: what it may hold in calm times.
    """

    maximum: float

    def value(self, now: int) -> float:
        """Return how much it may hold now."""
        ...

    def answered(self, running: float, took: float, now: int) -> None:
        """Take in how long a first byte took.

        Args:
          held: how many the endpoint held when it came.
          took: the time, in multiples of what was expected of an endpoint of the service.
        """
        ...

    def refused(self, running: float, now: int) -> None:
        """Take in that it refused a request as too much, while it held so many."""
        ...

    def crashed(self, running: float, now: int) -> None:
        """Take in that it fell over, while it held so many."""
        ...


@dataclasses.dataclass(slots=True)
class TimeMeans:
    """The usual and the recent time to the first byte, in multiples of what is expected."""

    usual: float = 1.0
    recent: float = 1.0

    def observe(self, took: float) -> None:
        """Take in a time; the usual one learns little from late answers, or it would follow."""
        bounded = min(took, LATE_FACTOR * self.usual)
        self.usual += USUAL_WEIGHT * (bounded - self.usual)
        self.recent += RECENT_WEIGHT * (took - self.recent)

    def are_late(self) -> bool:
        """Return whether recent answers were late."""
        return self.recent > LATE_FACTOR * self.usual


@dataclasses.dataclass(slots=True)
class AdditiveIncrease:
    """Comes down by a part at bad signs, and grows evenly with time.

    Attributes:
      least: it never goes below this.
      most: what it may hold in calm times.
      low: what it came down to when it last did.
      lowered_ms: when that was, or None before.
      ceiling: what it may hold at most until `ceiling_until_ms`, after a fall.
    """

    minimum: float
    maximum: float
    low: float = 0.0
    lowered_ms: int | None = None
    ceiling: float = 0.0
    ceiling_until_ms: int = 0
    times: TimeMeans = dataclasses.field(default_factory=TimeMeans)

    def value(self, now: int) -> float:
        """Return how much it may hold now."""
        top = min(self.maximum, self.ceiling) if now < self.ceiling_until_ms else self.maximum
        if self.lowered_ms is None or self.low >= top:
            return top
        grown = min(1.0, (now - self.lowered_ms) / RECOVERY_MS)
        return self.low + (top - self.low) * grown

    def answered(self, running: float, took: float, now: int) -> None:
        """Come down a little while answers are late and more requests are held than places."""
        self.times.observe(took)
        if running <= self.minimum or not self.times.are_late():
            return
        if self.lowered_ms is None or now - self.lowered_ms >= LATE_INTERVAL_MS:
            self._decrease_to(LATE_DECREASE * self.value(now), now)

    def refused(self, running: float, now: int) -> None:
        """Come down below what it held."""
        self._decrease_to(min(self.value(now), DECREASE * running), now)

    def crashed(self, running: float, now: int) -> None:
        """Come down below what it held, and stay there for long."""
        self.ceiling = max(self.minimum, DECREASE * running)
        self.ceiling_until_ms = now + CRASH_RETENTION_MS
        self._decrease_to(DECREASE * self.ceiling, now)

    def _decrease_to(self, value: float, now: int) -> None:
        self.low = max(self.minimum, value)
        self.lowered_ms = now
