"""Suspensions of a machine, for tests: its time goes on, and nothing in it runs.

A suspension strikes where a coroutine goes on after it waited: what it was told before has aged by
then, and no timer has fired yet.
"""

import asyncio
import dataclasses
from collections.abc import Coroutine, Generator
from typing import Any

from plumarch.core import clock


@dataclasses.dataclass(slots=True)
class ShiftedClock:
    """A clock that also counts the time for which the machine was suspended."""

    running: clock.Clock
    suspended_ms: int = 0

    def now(self) -> int:
        """Return milliseconds, with those of suspensions."""
        return self.running.now() + self.suspended_ms


@dataclasses.dataclass(slots=True)
class Suspender:
    """Suspends the machine once, at a step of all coroutines together.

    Attributes:
      at_step: the step before which that happens; 0 for never.
      for_ms: for how long.
      steps: how many were taken.
    """

    time: ShiftedClock
    at_step: int
    for_ms: int
    steps: int = 0

    def step(self) -> None:
        """Count a step that a coroutine is about to take."""
        self.steps += 1
        if self.steps == self.at_step:
            self.time.suspended_ms += self.for_ms

    def new_task(
        self, loop: asyncio.AbstractEventLoop, work: Coroutine[Any, Any, Any], **options: Any
    ) -> asyncio.Task[Any]:
        """Return a task whose steps are counted; a task factory of the event loop."""
        return asyncio.Task(_counted(self, work), loop=loop, **options)


async def _counted(suspender: Suspender, work: Coroutine[Any, Any, Any]) -> Any:
    return await Counted(suspender, work)


@dataclasses.dataclass(slots=True)
class Counted:
    """A coroutine whose steps are counted."""

    suspender: Suspender
    work: Coroutine[Any, Any, Any]

    def __await__(self) -> Generator[Any, Any, Any]:
        """Pass on what the coroutine waits for, and what it is told."""
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
