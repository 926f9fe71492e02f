"""Pauses between failed calls: exponential back-off with jitter.

Calls to the platform are priced, those that it refuses too.
"""

import dataclasses
import random

from plumarch.core import clock

MAX_DOUBLINGS = 8
"""Bounds the power of two after thousands of failures; by then the pauses in use have
grown to their longest."""

MIN_PART = 0.5
"""Each pause is drawn from this part of its length up, so that nodes that failed together don't
call again together."""


@dataclasses.dataclass(frozen=True, slots=True)
class Backoff:
    """How long to wait after failures that follow one another.

    Attributes:
      first_ms: the longest pause after the first one; it doubles with each further one.
      longest_ms: what it grows to.
    """

    first_ms: float
    longest_ms: float

    def pause_ms(self, failures: int, rng: random.Random) -> float:
        """Return how long to wait before the next call.

        Args:
          failures: how many calls in a row failed, the last one included.
        """
        doublings = min(failures - 1, MAX_DOUBLINGS)
        pause = min(self.longest_ms, self.first_ms * (1 << doublings))
        return pause * rng.uniform(MIN_PART, 1.0)


@dataclasses.dataclass(slots=True)
class Retries:
    """When work of several kinds, each of which fails by itself, may be tried again.

    Attributes:
      backoff: how long to wait after failures of one kind.
      failures: how often each kind failed in a row.
      not_before_ms: when each kind that failed last may be tried again.
    """

    clock: clock.Clock
    rng: random.Random
    backoff: Backoff
    failures: dict[str, int] = dataclasses.field(default_factory=dict)
    not_before_ms: dict[str, float] = dataclasses.field(default_factory=dict)

    def is_due(self, kind: str) -> bool:
        """Return whether a kind of work may be tried now."""
        return self.clock.now() >= self.not_before_ms.get(kind, 0)

    def failed(self, kind: str) -> None:
        """Note that a kind of work failed just now."""
        self.failures[kind] = self.failures.get(kind, 0) + 1
        pause_ms = self.backoff.pause_ms(self.failures[kind], self.rng)
        self.not_before_ms[kind] = self.clock.now() + pause_ms

    def done(self, kind: str) -> None:
        """Note that a kind of work was done."""
        self.failures.pop(kind, None)
        self.not_before_ms.pop(kind, None)
