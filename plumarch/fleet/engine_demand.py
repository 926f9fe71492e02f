"""Engines that the requests of a service need, by prompt reading and by capacity."""

import dataclasses
import math

from plumarch.core import clock
from plumarch.routing import engine_speed

MAX_READ_FRACTION = 0.5
"""Maximum fraction of time that engines spend reading prompts, at the speed of idle engines."""

MAX_CAPACITY_FRACTION = 0.6
"""Maximum average fraction of the capacity in use."""

HALF_LIFE_MS = 8_000.0
"""Half-life of the weight of sent requests."""


def engines_for(
    read_tokens_per_s: float, ms_per_token: float, running: float, capacity: int
) -> float:
    """Return how many engines are needed.

    Args:
      read_tokens_per_s: prompt tokens, over all nodes.
      running: concurrent requests, over all nodes.
      capacity: concurrent requests that an engine takes.
    """
    by_reading = read_tokens_per_s * ms_per_token / 1_000.0 / MAX_READ_FRACTION
    by_capacity = running / (MAX_CAPACITY_FRACTION * max(1, capacity))
    return max(by_reading, by_capacity)


@dataclasses.dataclass(slots=True)
class SentWork:
    """Work that this node sent to engines, with exponential decay.

    Attributes:
      units: charged to quotas, over all services.
      unread: prompt tokens to be read, by service, those of rejected requests included.
    """

    clock: clock.Clock
    units: float = 0.0
    unread: dict[str, float] = dataclasses.field(default_factory=dict)
    updated_ms: int = 0

    def sent(self, service: str, units: float, unread_tokens: float) -> None:
        """Count a request that was sent."""
        self._age()
        self.units += units
        self.unread[service] = self.unread.get(service, 0.0) + unread_tokens

    def rejected(self, service: str, unread_tokens: float) -> None:
        """Count a request that busy engines rejected."""
        self._age()
        self.unread[service] = self.unread.get(service, 0.0) + unread_tokens

    def reading(self, service: str) -> engine_speed.ReadingWork:
        """Return the recent reading work of a service's engines."""
        self._age()
        return engine_speed.ReadingWork(self.units, self.unread.get(service, 0.0))

    def unread_per_s(self, service: str) -> float:
        """Return the prompt tokens per second that this node sent recently."""
        self._age()
        return self.unread.get(service, 0.0) * math.log(2) * 1_000.0 / HALF_LIFE_MS

    def _age(self) -> None:
        now = self.clock.now()
        kept = 0.5 ** ((now - self.updated_ms) / HALF_LIFE_MS)
        self.updated_ms = now
        self.units *= kept
        for name in self.unread:
            self.unread[name] *= kept
