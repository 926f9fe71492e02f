"""Requests that wait for permits."""

import asyncio
import collections
import dataclasses


@dataclasses.dataclass(slots=True)
class PermitWaiters:
    """One event by endpoint identifier.

    Attributes:
      counts: waiting requests, by endpoint identifier.
    """

    events: dict[str, asyncio.Event] = dataclasses.field(default_factory=dict)
    counts: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)

    def waiting(self, endpoint: str) -> int:
        """Return the number of requests that wait for an endpoint."""
        return self.counts[endpoint]

    async def wait(self, endpoint: str, timeout_ms: float) -> bool:
        """Wait for an allocator's answer, and return whether it came in time."""
        event = self.events.setdefault(endpoint, asyncio.Event())
        self.counts[endpoint] += 1
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                await event.wait()
        except TimeoutError:
            return False
        finally:
            self.counts[endpoint] -= 1
            if not self.counts[endpoint]:
                del self.counts[endpoint]
        return True

    def answered(self, endpoint: str) -> None:
        """Wake all requests that wait for an endpoint."""
        event = self.events.pop(endpoint, None)
        if event is not None:
            event.set()
