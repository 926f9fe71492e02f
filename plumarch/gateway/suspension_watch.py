"""What a node does when it goes on after a suspension."""

import asyncio
from collections.abc import Callable

from plumarch.core import clock, suspension
from plumarch.gateway import fleet_state


class SuspensionWatch:
    """Looks whether the process runs, and tells once it runs again.

    Attributes:
      told: suspensions that were told.
    """

    def __init__(self, state: fleet_state.FleetState, start_bootstrap: Callable[[], None]) -> None:
        """Keep what is needed.

        Args:
          start_bootstrap: tells the other nodes all, as at the start of contact.
        """
        self.state = state
        self.start_bootstrap = start_bootstrap
        self.logged = 0
        self.logged_ms = 0
        self.halted_ms = self._halted_ms()

    async def watch_forever(self) -> None:
        """Look, forever."""
        while True:
            self.step()
            await asyncio.sleep(suspension.LOOK_MS / 1000.0)

    def step(self) -> None:
        """Look, and tell what was found here or by another part."""
        known = self.state.suspensions
        known.look()
        if known.count == self.logged:
            return
        halted_ms = self._halted_ms()
        self.state.log.write(
            "suspended",
            urgent=True,
            for_ms=known.total_ms - self.logged_ms,
            machine_ms=halted_ms - self.halted_ms,
            count=known.count,
        )
        self.state.measures.suspended.set(known.total_ms / 1000.0)
        self.logged, self.logged_ms, self.halted_ms = known.count, known.total_ms, halted_ms
        self.start_bootstrap()

    def _halted_ms(self) -> int:
        """Return how long the machine has been suspended since its start, where that is counted."""
        return clock.MonotonicClock().now() - clock.RunningClock().now()
