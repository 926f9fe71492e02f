"""Learns how long plain services work on a request, without network latency and queueing.

The times predict queueing, so they must not include it.
"""

import dataclasses

from plumarch.routing import engine_speed

START_WORK_MS = 50.0
"""Assumed time before any observation."""

MIN_MS = 1.0
MAX_MS = 60_000.0


def _work() -> engine_speed.RunningMedian:
    return engine_speed.RunningMedian(START_WORK_MS, MIN_MS, MAX_MS)


@dataclasses.dataclass(slots=True)
class WorkTimes:
    """Typical times, by service."""

    by_service: dict[str, engine_speed.RunningMedian] = dataclasses.field(default_factory=dict)

    def answered(self, service: str, took_ms: float, capacity_wait_ms: float) -> None:
        """Record the time of an answer.

        Args:
          took_ms: since the request was sent, without network latency.
          capacity_wait_ms: expected wait for a slot; requests that had to wait are ignored.
        """
        if capacity_wait_ms > 0:
            return
        known = self.by_service.get(service)
        if known is None:
            known = self.by_service[service] = _work()
        known.observe(max(MIN_MS, took_ms))

    def expected_ms(self, service: str) -> float:
        """Return the expected time of a service."""
        known = self.by_service.get(service)
        return known.value if known is not None else START_WORK_MS
