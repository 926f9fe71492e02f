"""When this process did not run: its machine was suspended, or the process was stopped.

A look is taken every LOOK_MS. One that comes much later than that tells that nothing ran between,
whatever the cause. What was awaited over that time says nothing about those it was awaited of.
"""

import dataclasses

from plumarch.core import clock

LOOK_MS = 100
"""Time between two looks: a timer that was set before a suspension may be late by this."""

MIN_MS = 400
"""Looks that are further apart tell of a suspension: a busy process is late by less. Half of what
an endpoint in the same data centre is given to accept a connection."""


@dataclasses.dataclass(slots=True)
class Suspensions:
    """The suspensions of this process.

    Attributes:
      looked_ms: when the last look was taken; None before the first one.
      woke_ms: when the last suspension was noticed; None without any.
      count: how many there were.
      total_ms: how long they were together.
    """

    clock: clock.Clock
    looked_ms: int | None = None
    woke_ms: int | None = None
    count: int = 0
    total_ms: int = 0

    def look(self) -> None:
        """Note that the process runs."""
        now = self.clock.now()
        if self.looked_ms is not None and now - self.looked_ms >= MIN_MS:
            self.woke_ms = now
            self.count += 1
            self.total_ms += now - self.looked_ms
        self.looked_ms = now

    def since(self, at_ms: float) -> bool:
        """Return whether the process was suspended since a time; never before the first look."""
        if self.looked_ms is None:
            return False
        self.look()
        return self.woke_ms is not None and self.woke_ms > at_ms
