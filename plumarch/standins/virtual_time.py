"""An event loop on virtual time: pauses cost nothing, and each run takes the same course."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class VirtualSelector(selectors.DefaultSelector):
    """Lets time pass where a real one would wait.

    Attributes:
      now_s: seconds of virtual time that have passed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready, after the time for which a real one would wait.

        Raises:
          RuntimeError: nothing is left that could ever happen.
        """
        if timeout is None:
            raise RuntimeError("All tasks wait for each other.")
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is that of its selector."""

    def __init__(self) -> None:
        self.virtual = VirtualSelector()
        super().__init__(self.virtual)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.virtual.now_s


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine to its end on virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main)
