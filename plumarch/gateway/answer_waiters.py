"""Requests that wait for an answer of another node."""

import asyncio
import collections
import dataclasses


@dataclasses.dataclass(slots=True)
class AnswerWaiters:
    """One event by subject: the endpoint or the stream that was asked about.

    Attributes:
      counts: waiting requests, by subject.
    """

    events: dict[str, asyncio.Event] = dataclasses.field(default_factory=dict)
    counts: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)

    def waiting(self, subject: str) -> int:
        """Return the number of requests that wait."""
        return self.counts[subject]

    async def wait(self, subject: str, timeout_ms: float) -> bool:
        """Wait for an answer, and return whether it came in time."""
        event = self.events.setdefault(subject, asyncio.Event())
        self.counts[subject] += 1
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                await event.wait()
        except TimeoutError:
            return False
        finally:
            self.counts[subject] -= 1
            if not self.counts[subject]:
                del self.counts[subject]
                self.events.pop(subject, None)
        return True

    def answered(self, subject: str) -> None:
        """Wake all requests that wait."""
        event = self.events.pop(subject, None)
        if event is not None:
            event.set()
