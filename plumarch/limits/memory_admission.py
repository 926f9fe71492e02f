"""Which new requests are turned away while much of a node's memory is held.

Load pattern: callers or endpoints of many connections get slow within seconds, and requests come
on at their usual rate, with bodies of some KB to some MB. What is held shrinks only as fast as
they read. A request that is turned away before anything ran can go to another node; one that is
ended later costs its caller the work done. So the node refuses early, more of them the more is
held: the least urgent and the largest first.

One connection or one workspace never holds as much as START: see the bounds of memory_account.
"""

import dataclasses

from plumarch.core import clock

START = 0.7
"""Part of the budget from which on some are turned away: above what one workspace and one more
connection hold at most, so that none of these turns others away alone."""

FULL = 0.9
"""Part of the budget from which on all are: the rest is for answers to requests that run."""

RANKS = 10
"""Ranks of urgency, 0 the most urgent."""

LARGEST_SHARE = 1 / 16
"""Part of the budget that a body may have just above START; it falls to none at FULL."""

RATE_WINDOW_MS = 2_000.0
"""Time over which the rate is taken at which bytes are given back: some bodies and answers come to
their end in it, and an older rate says little about readers now."""

MIN_BACK_MS = 200.0
MAX_BACK_MS = 5_000.0
"""Return times are between these: another request's answer, and half the time after which a caller
that reads nothing is ended and gives all back."""


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryUsage:
    """What a node holds.

    Attributes:
      total: bytes.
      budget: the most bytes it may hold.
    """

    total: int
    budget: int

    def pressure(self) -> float:
        """Return 0 up to START, and 1 from FULL on."""
        share = self.total / max(1, self.budget)
        return min(1.0, max(0.0, (share - START) / (FULL - START)))


def is_refused(held: MemoryUsage, size: int, rank: int) -> bool:
    """Return whether a request is turned away.

    Args:
      size: bytes of its body.
      rank: how urgent it is, 0 first.
    """
    pressure = held.pressure()
    if pressure <= 0.0:
        return False
    if pressure >= 1.0:
        return True
    room = 1.0 - pressure
    return rank > room * (RANKS - 1) or size > room * LARGEST_SHARE * held.budget


@dataclasses.dataclass(slots=True)
class MemoryAdmission:
    """Turns requests away, and says when to come back.

    Attributes:
      released: bytes that the account had given back when it was looked at last.
      looked_ms: when that was.
      rate: bytes given back for each ms, lately.
    """

    clock: clock.Clock
    released: int = 0
    looked_ms: int = -1
    rate: float = 0.0

    def refuse(self, held: MemoryUsage, size: int, rank: int, released: int) -> float | None:
        """Return in how many ms a request may come back, or None if it is taken on.

        Args:
          released: bytes that were given back since the start.
        """
        self.update_rate(released)
        if not is_refused(held, size, rank):
            return None
        over = held.total + size - round(START * held.budget)
        return self.back_in_ms(over)

    def back_in_ms(self, over: int) -> float:
        """Return how long it takes to give so many bytes back."""
        if self.rate <= 0.0:
            return MAX_BACK_MS
        return min(MAX_BACK_MS, max(MIN_BACK_MS, over / self.rate))

    def update_rate(self, released: int) -> None:
        """Take in how many bytes were given back since the start."""
        now = self.clock.now()
        if self.looked_ms < 0:
            self.released, self.looked_ms = released, now
            return
        passed_ms = now - self.looked_ms
        if passed_ms <= 0:
            return
        # An average whose weight for the past falls with the time that has passed.
        weight = min(1.0, passed_ms / RATE_WINDOW_MS)
        self.rate += weight * ((released - self.released) / passed_ms - self.rate)
        self.released, self.looked_ms = released, now
