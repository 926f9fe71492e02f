"""How many engines the requests of a service keep busy, from what is observed of both.

Reading prompts and holding places bind apart. An engine that reads prompts most of the time lets
first tokens wait, and one whose places are all taken lets requests wait, so that only a part of
either is used.
"""

import dataclasses
import math

from plumarch.core import clock
from plumarch.routing import engine_speed

MAX_READ_FRACTION = 0.5
"""Part of the time that engines spend on reading prompts at most, by the speed of idle ones. The
first tokens of long prompts wait for each other beyond it. 0.38 to 0.6 were tried
(docs/design/shifted-work.md)."""

MAX_CAPACITY_FRACTION = 0.6
"""Part of the engines' places that is taken on average at most; bursts take the rest.
0.55 and 0.65 were tried as well (docs/design/capacity-plan.md)."""

HALF_LIFE_MS = 8_000.0
"""Age at which what was sent counts half in the mix of requests; a judgement: some hundred
requests of one node."""


def engines_for(
    read_tokens_per_s: float, ms_per_token: float, running: float, capacity: int
) -> float:
    """Return how many engines are needed.

    Args:
      read_tokens_per_s: prompt tokens that engines have to read, over all nodes.
      ms_per_token: how long a token typically takes to be read.
      running: requests that hold a place, over all nodes.
      slots: places of an engine.
    """
    by_reading = read_tokens_per_s * ms_per_token / 1_000.0 / MAX_READ_FRACTION
    by_capacity = running / (MAX_CAPACITY_FRACTION * max(1, capacity))
    return max(by_reading, by_capacity)


@dataclasses.dataclass(slots=True)
class SentWork:
    """What this node sent to the engines of a service lately, old sends counting less.

    Attributes:
      units: charged to allotments, over all services.
      unread: prompt tokens that engines were expected to read, by service. Those of requests
        that were refused since the engines were busy count as well: they are asked for.
    """

    clock: clock.Clock
    units: float = 0.0
    unread: dict[str, float] = dataclasses.field(default_factory=dict)
    updated_ms: int = 0

    def sent(self, service: str, units: float, unread_tokens: float) -> None:
        """Take in a request that was sent."""
        self._age()
        self.units += units
        self.unread[service] = self.unread.get(service, 0.0) + unread_tokens

    def rejected(self, service: str, unread_tokens: float) -> None:
        """Take in a request that was refused since the engines were too busy."""
        self._age()
        self.unread[service] = self.unread.get(service, 0.0) + unread_tokens

    def reading(self, service: str) -> engine_speed.ReadingWork:
        """Return what engines of a service were given to read lately."""
        self._age()
        return engine_speed.ReadingWork(self.units, self.unread.get(service, 0.0))

    def unread_per_s(self, service: str) -> float:
        """Return the prompt tokens a second that this node gave engines to read lately."""
        self._age()
        return self.unread.get(service, 0.0) * math.log(2) * 1_000.0 / HALF_LIFE_MS

    def _age(self) -> None:
        now = self.clock.now()
        kept = 0.5 ** ((now - self.updated_ms) / HALF_LIFE_MS)
        self.updated_ms = now
        self.units *= kept
        for name in self.unread:
            self.unread[name] *= kept
