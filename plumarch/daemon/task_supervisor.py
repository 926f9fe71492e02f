"""Keeps the gateway's tasks running: an unforeseen error is logged, counted, and ends no task.

A task keeps what it knows in the shared state, and starts again with a list of all entries or with
its next step; see docs/design/following-tasks.md.
"""

import asyncio
import pathlib
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

from plumarch.gateway import fleet_state

RESTART_PAUSE_MS = 500.0
"""Callers are served from the last known state meanwhile."""

MAX_ERROR_CHARS = 300
"""Maximum characters of a logged error, which may quote other writers' text."""

EVENT_LOOP = "event loop"
"""Label of errors in callbacks and in tasks that nobody awaits."""


class TaskSupervisor:
    """Starts tasks, and restarts those that end by an error."""

    def __init__(self, state: fleet_state.FleetState) -> None:
        self.state = state
        self.tasks: list[asyncio.Task[None]] = []

    def start(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run a task until it returns or is cancelled."""
        name = getattr(work, "__name__", "")
        self.tasks.append(asyncio.get_running_loop().create_task(self._run(work, name)))

    async def _run(self, work: Callable[[], Awaitable[None]], name: str) -> None:
        while True:
            try:
                await work()
                return
            except Exception as error:
                self.record(name, error, urgent=True)
                await asyncio.sleep(RESTART_PAUSE_MS / 1000.0)

    def record(self, part: str, error: BaseException, urgent: bool) -> None:
        """Log and count an unforeseen error.

        Args:
          urgent: whether the line is written beyond the log's limit; only for errors whose rate is
            bounded.
        """
        self.state.measures.faults.add(part)
        self.state.log.write(
            "fault",
            urgent=urgent,
            part=part,
            error=f"{type(error).__name__}: {error}"[:MAX_ERROR_CHARS],
            raised_at=_raised_at(error),
        )

    def handle_loop_error(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Handle an error that the event loop caught, as its exception handler."""
        error = context.get("exception") or RuntimeError(context.get("message", "unknown"))
        self.record(EVENT_LOOP, error, urgent=False)

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self.tasks:
            task.cancel()


def _raised_at(error: BaseException) -> str:
    """Return the module and line that raised an error."""
    frames = traceback.extract_tb(error.__traceback__)
    return f"{pathlib.Path(frames[-1].filename).stem}:{frames[-1].lineno}" if frames else ""
