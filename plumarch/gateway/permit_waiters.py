"""Requests that wait for the answer to a request for permits, since no other endpoint has room."""

import asyncio
import dataclasses


@dataclasses.dataclass(slots=True)
class PermitWaiters:
    """One event for each endpoint that is waited for, by its identifier."""

    events: dict[str, asyncio.Event] = dataclasses.field(default_factory=dict)

    async def wait(self, endpoint: str, timeout_ms: float) -> bool:
        """Wait for an answer.

        Returns:
          Whether one came in time.
        """
        event = self.events.setdefault(endpoint, asyncio.Event())
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                await event.wait()
        except TimeoutError:
            return False
        return True

    def answered(self, endpoint: str) -> None:
        """Let all go on that wait for an endpoint's answer."""
        event = self.events.pop(endpoint, None)
        if event is not None:
            event.set()
