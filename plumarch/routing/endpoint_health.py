"""Which endpoints to leave out for a while, judged by answers to real requests.

An endpoint is left out after several failures in a row, or when most of its recent answers
failed, for a time that doubles with each relapse. Never more than half of a service's
endpoints are left out: beyond that the failures are likely not the endpoints' own.
"""

import dataclasses
from collections.abc import Sequence

from plumarch.core import clock, traffic

FAILURES_IN_ROW = 2
DECAY = 0.75
"""Weight of the past in the failure rate, at each answer."""

WORST_RATE = 0.5
FIRST_EJECTION_MS = 2_000
LONGEST_EJECTION_MS = 15_000


@dataclasses.dataclass(slots=True)
class Health:
    """What is known of one endpoint.

    Attributes:
      rate: decayed part of its answers that failed.
      out_until_ms: it gets no work before then.
    """

    in_row: int = 0
    rate: float = 0.0
    out_until_ms: int = 0
    ejections: int = 0


@dataclasses.dataclass(slots=True)
class EndpointHealth:
    """Failures and ejections by endpoint identifier."""

    clock: clock.Clock
    known: dict[str, Health] = dataclasses.field(default_factory=dict)

    def success(self, endpoint: str) -> None:
        """Count a sound answer."""
        health = self.known.get(endpoint)
        if health is None:
            return
        health.in_row = 0
        health.rate *= DECAY
        if health.rate < 0.05:
            del self.known[endpoint]

    def failure(self, endpoint: str, weight: float = 1.0) -> bool:
        """Count a failure.

        Args:
          weight: below 1 for a failure that may not be the endpoint's fault.
        Returns:
          Whether it is left out from now on.
        """
        health = self.known.setdefault(endpoint, Health())
        health.rate = health.rate * DECAY + weight * (1.0 - DECAY)
        if weight >= 1.0:
            health.in_row += 1
        if health.in_row < FAILURES_IN_ROW and health.rate < WORST_RATE:
            return False
        now = self.clock.now()
        if now < health.out_until_ms:
            return False
        time_out = min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS * 2**health.ejections)
        health.ejections = min(health.ejections + 1, 8)
        health.out_until_ms = now + time_out
        health.in_row = 0
        health.rate = 0.25
        return True

    def usable(self, endpoints: Sequence[traffic.Endpoint]) -> list[traffic.Endpoint]:
        """Return the endpoints that are not left out, or all if too many would be."""
        now = self.clock.now()
        found = [one for one in endpoints if not self._out(one.id, now)]
        return found if 2 * len(found) >= len(endpoints) else list(endpoints)

    def _out(self, endpoint: str, now: int) -> bool:
        health = self.known.get(endpoint)
        return health is not None and now < health.out_until_ms

    def keep_only(self, endpoints: set[str]) -> None:
        """Forget endpoints that no longer exist."""
        for name in [name for name in self.known if name not in endpoints]:
            del self.known[name]
