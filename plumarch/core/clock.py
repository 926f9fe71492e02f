"""Clocks in milliseconds, injected so that tests can run nodes on virtual time."""

import time
from typing import Protocol


class Clock(Protocol):
    """A source of time."""

    def now(self) -> int:
        """Return milliseconds since an arbitrary fixed origin; never decreases."""
        ...


COUNTS_SUSPENSIONS = hasattr(time, "CLOCK_BOOTTIME")
"""Whether a host clock includes suspensions."""

CLOCK_ID = time.CLOCK_BOOTTIME if COUNTS_SUSPENSIONS else time.CLOCK_MONOTONIC


class MonotonicClock:
    """The host's monotonic clock, including suspensions where the host supports it.

    Leases and deadlines must expire as they do on other machines.
    """

    def now(self) -> int:
        """Return milliseconds."""
        return time.clock_gettime_ns(CLOCK_ID) // 1_000_000


class RunningClock:
    """The host's monotonic clock without suspensions."""

    def now(self) -> int:
        """Return milliseconds."""
        return time.monotonic_ns() // 1_000_000


class ManualClock:
    """A clock that is advanced explicitly."""

    def __init__(self, start_ms: int = 0) -> None:
        self.time_ms = start_ms

    def now(self) -> int:
        """Return virtual milliseconds."""
        return self.time_ms

    def advance_to(self, time_ms: int) -> None:
        """Advance to time_ms, ignoring earlier times."""
        self.time_ms = max(self.time_ms, time_ms)


class WallClock:
    """Time of day, comparable between machines; it may jump."""

    def now(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000
