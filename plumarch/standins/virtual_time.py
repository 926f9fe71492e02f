"""Event loop on virtual time: sleeps take no real time and runs are deterministic."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class VirtualSelector(selectors.DefaultSelector):
    """Selector that advances virtual time instead of blocking."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance virtual time by the timeout and return the ready events.

        Raises:
          RuntimeError: no timer is pending, so all tasks are deadlocked.
        """
        if timeout is None:
            raise RuntimeError("deadlock: all tasks are waiting and no timer is pending")
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that reads the time of its selector."""

    def __init__(self) -> None:
        self.virtual = VirtualSelector()
        super().__init__(self.virtual)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.virtual.now_s


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine to completion on virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main)
