"""When a caller that is turned away had better come back, by what turned it away.

The times are expectations, not promises: a caller that comes back sooner is likely to be turned
away again, and one that comes back much later waits for nothing. They are spread, so that callers
that were turned away together don't come back together.
"""

import math
import random

MIN_MS = 50.0
"""A caller's way to another node and back takes some ms; sooner it finds the same load. A
judgement: half a typical plain request's run on the sheets."""

MAX_MS = 5_000.0
"""What is expected later than this is not known well enough to name it; a judgement: a booted
engine and its first queue."""

MAX_SPREAD = 0.3
"""Part by which return times are lengthened at random at most; a judgement: a third of a queue's
drain spreads those who wait for it over as long as it takes to serve some of them."""


def when_drained(expected_ms: float, target_ms: float) -> float:
    """Return when a queue is expected to be short enough.

    Args:
      expected_ms: when the first token is expected by a request sent now.
      target_ms: within which time it is wanted.
    """
    return expected_ms - target_ms


def when_slot_is_free(running: int, slots: int, run_ms: float) -> float:
    """Return when the first of those that run at endpoints that are full is expected to end.

    Args:
      running: requests sent to the endpoints and not finished.
      slots: requests that they work on at once.
      run_ms: how long a request holds a place, on average.
    """
    ahead = max(1, running - slots + 1)
    return run_ms * ahead / max(1, slots)


def when_booted(boot_ms: float) -> float:
    """Return when endpoints are expected that are only being ordered now."""
    return boot_ms


def spread(wait_ms: float, rng: random.Random) -> float:
    """Return a return time within its bounds, lengthened at random, in whole ms."""
    bounded = min(MAX_MS, max(MIN_MS, wait_ms))
    return float(math.ceil(bounded * (1.0 + rng.uniform(0.0, MAX_SPREAD))))
