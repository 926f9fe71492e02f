"""Exponential backoff with jitter. Platform calls cost money even when rejected."""

import dataclasses
import random

from plumarch.core import clock

MAX_DOUBLINGS = 8
"""Limit of the doublings of a pause."""

MIN_JITTER = 0.5
"""Lower bound of the jitter: nodes that failed together must not call again together."""


@dataclasses.dataclass(frozen=True, slots=True)
class Backoff:
    """Pauses after consecutive failures.

    Attributes:
      first_ms: upper bound of the first pause; doubles with each failure.
      max_ms: cap on that bound.
    """

    first_ms: float
    max_ms: float

    def pause_ms(self, failures: int, rng: random.Random) -> float:
        """Draw the pause after this many consecutive failures (at least 1)."""
        doublings = min(failures - 1, MAX_DOUBLINGS)
        pause = min(self.max_ms, self.first_ms * (1 << doublings))
        return pause * rng.uniform(MIN_JITTER, 1.0)


@dataclasses.dataclass(slots=True)
class Retries:
    """Independent retry state by kind of work.

    Attributes:
      failures: consecutive failures by kind.
      not_before_ms: earliest next try by kind.
    """

    clock: clock.Clock
    rng: random.Random
    backoff: Backoff
    failures: dict[str, int] = dataclasses.field(default_factory=dict)
    not_before_ms: dict[str, float] = dataclasses.field(default_factory=dict)

    def is_due(self, kind: str) -> bool:
        """Return whether this work may be tried now."""
        return self.clock.now() >= self.not_before_ms.get(kind, 0)

    def failed(self, kind: str) -> None:
        """Record a failure and schedule the next try."""
        self.failures[kind] = self.failures.get(kind, 0) + 1
        pause_ms = self.backoff.pause_ms(self.failures[kind], self.rng)
        self.not_before_ms[kind] = self.clock.now() + pause_ms

    def done(self, kind: str) -> None:
        """Reset the backoff after a success."""
        self.failures.pop(kind, None)
        self.not_before_ms.pop(kind, None)
