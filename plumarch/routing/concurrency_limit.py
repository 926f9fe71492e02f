"""Limits the concurrent requests of an endpoint that shows signs of overload.

Additive increase, multiplicative decrease: it drops at rejections, crashes and late answers, and
grows back with time.
"""

import dataclasses
from typing import Protocol

DECREASE = 0.8
"""Factor on the load at a rejection or crash, so that the next request doesn't repeat it; nodes
differ by about a fifth in what they know of each other's requests."""

LATE_DECREASE = 0.95
"""Factor on the limit after a late answer, which costs its caller less than a crash does."""

LATE_FACTOR = 3.0
"""Answers are late above this multiple of the usual time: a queue of twice the slots, which is
allowed in calm times, makes them take up to three times as long."""

LATE_INTERVAL_MS = 200
"""Late answers lower the limit once per this time: requests sent together are late together."""

RECOVERY_MS = 4_000.0
"""Time in which the limit grows from its minimum to its maximum."""

CRASH_RETENTION_MS = 60_000
"""A load that crashed an endpoint is not tried again for this long; a crash costs all its
requests."""

USUAL_WEIGHT = 0.02
"""Weight of an answer in the usual time."""

RECENT_WEIGHT = 0.2
"""Weight of an answer in the recent time."""


class ConcurrencyLimit(Protocol):
    """Limit of an endpoint.

    Attributes:
      maximum: the limit without overload.
    """

    maximum: float

    def value(self, now: int) -> float:
        """Return the current limit."""
        ...

    def answered(self, running: float, took: float, now: int) -> None:
        """Handle a first byte.

        Args:
          running: requests at the endpoint then.
          took: its time, in multiples of what was expected.
        """
        ...

    def rejected(self, running: float, now: int) -> None:
        """Handle a rejection while so many requests ran."""
        ...

    def crashed(self, running: float, now: int) -> None:
        """Handle a crash while so many requests ran."""
        ...


@dataclasses.dataclass(slots=True)
class TimeMeans:
    """The usual and the recent time to the first byte, in multiples of what is expected."""

    usual: float = 1.0
    recent: float = 1.0

    def observe(self, took: float) -> None:
        """Add a time, capped in the usual time, which must not follow late answers."""
        bounded = min(took, LATE_FACTOR * self.usual)
        self.usual += USUAL_WEIGHT * (bounded - self.usual)
        self.recent += RECENT_WEIGHT * (took - self.recent)

    def are_late(self) -> bool:
        """Return whether recent answers were late."""
        return self.recent > LATE_FACTOR * self.usual


@dataclasses.dataclass(slots=True)
class AdditiveIncrease:
    """Multiplicative decrease at signs of overload, linear increase with time.

    Attributes:
      maximum: the limit without overload.
      low: the limit after the last decrease.
      lowered_ms: when that was, or None.
      ceiling: upper bound until `ceiling_until_ms`, after a crash.
    """

    minimum: float
    maximum: float
    low: float = 0.0
    lowered_ms: int | None = None
    ceiling: float = 0.0
    ceiling_until_ms: int = 0
    times: TimeMeans = dataclasses.field(default_factory=TimeMeans)

    def value(self, now: int) -> float:
        """Return the current limit."""
        top = min(self.maximum, self.ceiling) if now < self.ceiling_until_ms else self.maximum
        if self.lowered_ms is None or self.low >= top:
            return top
        grown = min(1.0, (now - self.lowered_ms) / RECOVERY_MS)
        return self.low + (top - self.low) * grown

    def answered(self, running: float, took: float, now: int) -> None:
        """Lower the limit slightly while answers are late."""
        self.times.observe(took)
        if running <= self.minimum or not self.times.are_late():
            return
        if self.lowered_ms is None or now - self.lowered_ms >= LATE_INTERVAL_MS:
            self._decrease_to(LATE_DECREASE * self.value(now), now)

    def rejected(self, running: float, now: int) -> None:
        """Lower the limit below the load at the rejection."""
        self._decrease_to(min(self.value(now), DECREASE * running), now)

    def crashed(self, running: float, now: int) -> None:
        """Lower the limit below the load at the crash, for CRASH_RETENTION_MS."""
        self.ceiling = max(self.minimum, DECREASE * running)
        self.ceiling_until_ms = now + CRASH_RETENTION_MS
        self._decrease_to(DECREASE * self.ceiling, now)

    def _decrease_to(self, value: float, now: int) -> None:
        self.low = max(self.minimum, value)
        self.lowered_ms = now
