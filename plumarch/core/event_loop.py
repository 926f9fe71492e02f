"""An event loop whose timers include suspensions, which would otherwise extend every timeout."""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

from plumarch.core import clock

Result = TypeVar("Result")


class SteadyEventLoop(asyncio.SelectorEventLoop):
    """Selector event loop on a clock that includes suspensions."""

    def time(self) -> float:
        """Return seconds."""
        return time.clock_gettime(clock.CLOCK_ID)


def run(work: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine on a new loop."""
    with asyncio.Runner(loop_factory=SteadyEventLoop) as runner:
        return runner.run(work)
