"""Pauses between failed calls: exponential back-off with jitter."""

import dataclasses
import random

MOST_DOUBLINGS = 8
LEAST_PART = 0.5
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
        doublings = min(failures - 1, MOST_DOUBLINGS)
        pause = min(self.longest_ms, self.first_ms * (1 << doublings))
        return pause * rng.uniform(LEAST_PART, 1.0)
