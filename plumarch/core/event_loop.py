"""An event loop whose timers include time spent suspended.

With asyncio's default loop a suspension would extend every timeout. Here overdue timers fire when
the loop first wakes after the machine resumes.
"""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

from plumarch.core import clock

Result = TypeVar("Result")


class SteadyEventLoop(asyncio.SelectorEventLoop):
    """Selector event loop on a clock that includes suspensions."""

    def time(self) -> float:
        """Return seconds of the host's monotonic clock."""
        return time.clock_gettime(clock.CLOCK_ID)


def run(work: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine to completion on a new loop."""
    with asyncio.Runner(loop_factory=SteadyEventLoop) as runner:
        return runner.run(work)
