"""Simulates suspensions of a VM: time advances while no code runs.

A suspension occurs just before a coroutine resumes, when its data is stale and no timer has fired.
"""

import asyncio
import dataclasses
from collections.abc import Coroutine, Generator
from typing import Any

from plumarch.core import clock


@dataclasses.dataclass(slots=True)
class ShiftedClock:
    """A clock that includes simulated suspensions."""

    running: clock.Clock
    suspended_ms: int = 0

    def now(self) -> int:
        """Return the time in milliseconds, including suspensions."""
        return self.running.now() + self.suspended_ms


@dataclasses.dataclass(slots=True)
class Suspender:
    """Simulates one suspension at a given coroutine step.

    Attributes:
      at_step: step, counted over all coroutines, before which it occurs; 0 for never.
    """

    time: ShiftedClock
    at_step: int
    for_ms: int
    steps: int = 0

    def step(self) -> None:
        """Count a coroutine step and suspend if it is the chosen one."""
        self.steps += 1
        if self.steps == self.at_step:
            self.time.suspended_ms += self.for_ms

    def new_task(
        self, loop: asyncio.AbstractEventLoop, work: Coroutine[Any, Any, Any], **options: Any
    ) -> asyncio.Task[Any]:
        """Create a task whose steps are counted; usable as the task factory of an event loop."""
        return asyncio.Task(_counted(self, work), loop=loop, **options)


async def _counted(suspender: Suspender, work: Coroutine[Any, Any, Any]) -> Any:
    return await Counted(suspender, work)


@dataclasses.dataclass(slots=True)
class Counted:
    """A coroutine whose steps are counted."""

    suspender: Suspender
    work: Coroutine[Any, Any, Any]

    def __await__(self) -> Generator[Any, Any, Any]:
        """Drive the wrapped coroutine, counting each step."""
        resume = self.work.send
        sent: Any = None
        while True:
            self.suspender.step()
            try:
                awaited = resume(sent)
            except StopIteration as end:
                return end.value
            try:
                sent = yield awaited
                resume = self.work.send
            except BaseException as error:
                sent, resume = error, self.work.throw
