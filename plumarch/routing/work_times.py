"""How long plain services work on a request, without the way and without waiting.

It says how long a request waits behind others. So it must not grow with the very waiting, or a
busy region would look ever slower than others.
"""

import dataclasses

from plumarch.routing import engine_speed

START_WORK_MS = 50.0
"""Work on a plain request before any was seen; a judgement on the low side, since too high a one
would send requests to another region in vain."""

MIN_MS = 1.0
MAX_MS = 60_000.0
"""Between these a learned time stays: the clock's step, and the longest deadline in use."""


def _work() -> engine_speed.RunningMedian:
    return engine_speed.RunningMedian(START_WORK_MS, MIN_MS, MAX_MS)


@dataclasses.dataclass(slots=True)
class WorkTimes:
    """Typical times, by service."""

    by_service: dict[str, engine_speed.RunningMedian] = dataclasses.field(default_factory=dict)

    def answered(self, service: str, took_ms: float, capacity_wait_ms: float) -> None:
        """Take in an answer.

        Args:
          took_ms: from the request being sent, without the way.
          capacity_wait_ms: how long it was expected to wait for a place; one that waited says
            nothing about the work.
        """
        if capacity_wait_ms > 0:
            return
        known = self.by_service.get(service)
        if known is None:
            known = self.by_service[service] = _work()
        known.observe(max(MIN_MS, took_ms))

    def expected_ms(self, service: str) -> float:
        """Return how long a service is expected to work on a request."""
        known = self.by_service.get(service)
        return known.value if known is not None else START_WORK_MS
