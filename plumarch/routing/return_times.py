"""Retry-After times, randomized so that callers rejected together don't come back together."""

import math
import random

MIN_MS = 50.0

MAX_MS = 5_000.0
"""Bounds of a return time."""

MAX_SPREAD = 0.3
"""Maximum fraction by which return times are lengthened."""


def when_drained(expected_ms: float, target_ms: float) -> float:
    """Return in how many ms a queue is expected to be short enough.

    Args:
      expected_ms: time to the first token of a request sent now.
      target_ms: wanted time to the first token.
    """
    return expected_ms - target_ms


def when_slot_is_free(running: int, slots: int, run_ms: float) -> float:
    """Return in how many ms a request at full endpoints is expected to end.

    Args:
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
