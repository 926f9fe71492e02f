"""Detection of times when this process did not run, by the delay of a periodic check.

A timeout that spans a suspension says nothing about the peer.
"""

import dataclasses

from plumarch.core import clock

LOOK_MS = 100
"""Interval between checks; also how late a suspension may be noticed."""

MIN_MS = 400
"""Shortest gap between checks that counts as a suspension; load alone causes shorter ones. Half
of the connect timeout within a data centre."""


@dataclasses.dataclass(slots=True)
class Suspensions:
    """Suspensions of this process.

    Attributes:
      looked_ms: time of the last check, or None.
      woke_ms: when the last suspension was noticed, or None.
      total_ms: total duration of all suspensions.
    """

    clock: clock.Clock
    looked_ms: int | None = None
    woke_ms: int | None = None
    count: int = 0
    total_ms: int = 0

    def look(self) -> None:
        """Record that the process is running."""
        now = self.clock.now()
        if self.looked_ms is not None and now - self.looked_ms >= MIN_MS:
            self.woke_ms = now
            self.count += 1
            self.total_ms += now - self.looked_ms
        self.looked_ms = now

    def since(self, at_ms: float) -> bool:
        """Return whether the process was suspended since at_ms; False before the first check."""
        if self.looked_ms is None:
            return False
        self.look()
        return self.woke_ms is not None and self.woke_ms > at_ms
