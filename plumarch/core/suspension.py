"""Detection of suspensions of this process, across which a timeout says nothing about the peer."""

import dataclasses

from plumarch.core import clock

CHECK_INTERVAL_MS = 100
"""Interval between checks."""

MIN_MS = 400
"""Shortest gap that counts as a suspension; load alone causes shorter ones. Longer than the connect
timeout within a region, which a suspension must not turn into a failure of the endpoint."""


@dataclasses.dataclass(slots=True)
class Suspensions:
    """Suspensions of this process.

    Attributes:
      resumed_ms: when the last suspension was noticed, or None.
    """

    clock: clock.Clock
    checked_ms: int | None = None
    resumed_ms: int | None = None
    count: int = 0
    total_ms: int = 0

    def check(self) -> None:
        """Record that the process runs."""
        now = self.clock.now()
        if self.checked_ms is not None and now - self.checked_ms >= MIN_MS:
            self.resumed_ms = now
            self.count += 1
            self.total_ms += now - self.checked_ms
        self.checked_ms = now

    def since(self, at_ms: float) -> bool:
        """Return whether the process was suspended since at_ms; False before the first check."""
        if self.checked_ms is None:
            return False
        self.check()
        return self.resumed_ms is not None and self.resumed_ms > at_ms
