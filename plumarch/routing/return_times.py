"""Retry-After times for rejected requests, by the cause of the rejection.

They are randomized, so that callers rejected together don't come back together.
"""

import math
import random

MIN_MS = 50.0
"""A caller that comes back sooner finds the same load."""

MAX_MS = 5_000.0
"""Later times can't be predicted well enough."""

MAX_SPREAD = 0.3
"""Greatest fraction by which return times are lengthened at random."""


def when_drained(expected_ms: float, target_ms: float) -> float:
    """Return in how many ms a queue is expected to be short enough.

    Args:
      expected_ms: time to the first token expected by a request sent now.
      target_ms: the time to the first token that is wanted.
    """
    return expected_ms - target_ms


def when_slot_is_free(running: int, slots: int, run_ms: float) -> float:
    """Return in how many ms a request at full endpoints is expected to end.

    Args:
      running: requests sent to the endpoints and not finished.
      slots: requests that they work on at once.
      run_ms: mean time that a request occupies a slot.
    """
    ahead = max(1, running - slots + 1)
    return run_ms * ahead / max(1, slots)


def when_booted(boot_ms: float) -> float:
    """Return in how many ms endpoints ordered now are expected."""
    return boot_ms


def spread(wait_ms: float, rng: random.Random) -> float:
    """Return a bounded return time, lengthened at random, in whole ms."""
    bounded = min(MAX_MS, max(MIN_MS, wait_ms))
    return float(math.ceil(bounded * (1.0 + rng.uniform(0.0, MAX_SPREAD))))
