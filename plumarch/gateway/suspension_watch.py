"""Detects suspensions of the process, and restarts gossip after one."""

import asyncio
from collections.abc import Callable

from plumarch.core import clock, suspension
from plumarch.gateway import fleet_state


class SuspensionWatch:
    """Checks for suspensions at an interval.

    Attributes:
      logged_ms: total duration of those logged.
    """

    def __init__(self, state: fleet_state.FleetState, start_bootstrap: Callable[[], None]) -> None:
        """Create a watch.

        Args:
          start_bootstrap: sends the complete state to the other nodes again.
        """
        self.state = state
        self.start_bootstrap = start_bootstrap
        self.logged = 0
        self.logged_ms = 0
        self.machine_suspended_ms = self._machine_suspended_ms()

    async def watch_forever(self) -> None:
        """Run a step at each interval, forever."""
        while True:
            self.step()
            await asyncio.sleep(suspension.CHECK_INTERVAL_MS / 1000.0)

    def step(self) -> None:
        """Check, and handle suspensions found anywhere in the process."""
        known = self.state.suspensions
        known.check()
        if known.count == self.logged:
            return
        machine_suspended_ms = self._machine_suspended_ms()
        self.state.log.write(
            "suspended",
            urgent=True,
            for_ms=known.total_ms - self.logged_ms,
            machine_ms=machine_suspended_ms - self.machine_suspended_ms,
            count=known.count,
        )
        self.state.measures.suspended.set(known.total_ms / 1000.0)
        self.logged, self.logged_ms, self.machine_suspended_ms = (
            known.count,
            known.total_ms,
            machine_suspended_ms,
        )
        self.start_bootstrap()

    def _machine_suspended_ms(self) -> int:
        """Return how long the VM has been suspended, where the system counts it."""
        return clock.MonotonicClock().now() - clock.RunningClock().now()
