"""Clocks in milliseconds, injected so that tests can run nodes on virtual time."""

import time
from typing import Protocol


class Clock(Protocol):
    """A source of the current time."""

    def now(self) -> int:
        """Return milliseconds since an arbitrary fixed origin; never decreases."""
        ...


COUNTS_SUSPENSIONS = hasattr(time, "CLOCK_BOOTTIME")
"""Whether the host has a clock that includes time spent suspended."""

CLOCK_ID = time.CLOCK_BOOTTIME if COUNTS_SUSPENSIONS else time.CLOCK_MONOTONIC


class MonotonicClock:
    """The host's monotonic clock, including time spent suspended where the host supports it.

    Leases, deadlines and the age of received state must expire as they do on other machines.
    """

    def now(self) -> int:
        """Return milliseconds of the host's monotonic clock."""
        return time.clock_gettime_ns(CLOCK_ID) // 1_000_000


class RunningClock:
    """The host's monotonic clock without time spent suspended."""

    def now(self) -> int:
        """Return milliseconds, excluding suspensions."""
        return time.monotonic_ns() // 1_000_000


class ManualClock:
    """A clock that is advanced explicitly, for tests and virtual time."""

    def __init__(self, start_ms: int = 0) -> None:
        self.time_ms = start_ms

    def now(self) -> int:
        """Return the current virtual time in milliseconds."""
        return self.time_ms

    def advance_to(self, time_ms: int) -> None:
        """Advance to time_ms; earlier times are ignored."""
        self.time_ms = max(self.time_ms, time_ms)


class WallClock:
    """Time of day, comparable between machines; it may jump."""

    def now(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000
