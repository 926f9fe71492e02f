"""Ejects endpoints for a while, judged by answers to real requests.

At most half of a service's endpoints are ejected: beyond that, the cause is likely elsewhere. One
that fails only some requests is avoided while better ones are free.
"""

import dataclasses
import math
from collections.abc import Callable, Sequence

from plumarch.core import clock, suspension, traffic
from plumarch.routing import relative_latency

FAILURES_IN_ROW = 2
DECAY = 0.75
"""Weight of the past in the failure rate, at each answer."""

MAX_FAILURE_RATE = 0.5
FIRST_EJECTION_MS = 2_000
MAX_EJECTION_MS = 15_000

RECORD_DECAY = 0.95
"""Weight of the past in the record, at each answer; some twenty answers distinguish an endpoint
that fails one in seven from a sound one."""

RECORD_HALF_LIFE_MS = 20_000.0
"""Half-life of a record, so that a repaired endpoint is tried again."""

NEGLIGIBLE = 0.01
"""A record with a smaller fraction of failures is dropped."""

WORSE_MARGIN = 0.06
"""First attempts avoid an endpoint whose record is worse than the best by this fraction: one or two
failures in twenty answers."""

ABSENT_MS = 10_000
"""How long an endpoint that is not at its address is left out: the lease of its entry."""

SILENCE_MS = 2_000
"""Timeouts of an endpoint that answers nothing in between count as one silence for this long."""

EQUAL_MARGIN = 0.02
"""Records that differ by less count as equal."""


@dataclasses.dataclass(slots=True)
class Health:
    """State of one endpoint.

    Attributes:
      rate: decayed fraction of its answers that failed.
      record: the same over more answers; all failures weigh alike.
      recorded_ms: when it last answered.
      silent_ms: when its silence began: it answered nothing since; None if it answers.
    """

    in_row: int = 0
    rate: float = 0.0
    ejected_until_ms: int = 0
    ejections: int = 0
    record: float = 0.0
    recorded_ms: int = 0
    silent_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Absence:
    """An address where an endpoint was not found, and until when that is assumed."""

    address: str
    until_ms: int


@dataclasses.dataclass(slots=True)
class EndpointHealth:
    """Failures and ejections by endpoint identifier."""

    clock: clock.Clock
    suspensions: suspension.Suspensions
    known: dict[str, Health] = dataclasses.field(default_factory=dict)
    absences: dict[str, Absence] = dataclasses.field(default_factory=dict)
    latencies: relative_latency.Latencies = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.latencies = relative_latency.Latencies(self.clock, self.suspensions)

    def success(self, endpoint: str) -> None:
        """Count a successful answer."""
        health = self.known.get(endpoint)
        if health is None:
            return
        health.in_row = 0
        health.rate *= DECAY
        if health.silent_ms is not None:
            # Its silence is over, so there is no reason left to eject it.
            health.silent_ms = None
            health.ejected_until_ms = self.clock.now()
        self._record(health, failed=False)
        if health.rate < 0.05 and health.record < NEGLIGIBLE:
            del self.known[endpoint]

    def begins_silence(self, endpoint: str) -> bool:
        """Return whether a timeout of an endpoint would begin another silence."""
        health = self.known.get(endpoint)
        if health is None or health.silent_ms is None:
            return True
        return self.clock.now() - health.silent_ms >= SILENCE_MS

    def failure(self, endpoint: str, weight: float = 1.0, is_silent: bool = False) -> bool:
        """Count a failure.

        Args:
          weight: below 1 for a failure that may not be the endpoint's fault.
          is_silent: whether the endpoint did not respond at all.
        Returns:
          Whether the endpoint is ejected now.
        """
        counts = not is_silent or self.begins_silence(endpoint)
        health = self.known.setdefault(endpoint, Health())
        if not is_silent:
            health.silent_ms = None
        elif counts:
            health.silent_ms = self.clock.now()
        health.rate = health.rate * DECAY + weight * (1.0 - DECAY)
        if counts:
            self._record(health, failed=True)
        if weight >= 1.0:
            health.in_row += 1
        if health.in_row < FAILURES_IN_ROW and health.rate < MAX_FAILURE_RATE:
            return False
        now = self.clock.now()
        if now < health.ejected_until_ms:
            return False
        ejection_ms = min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2**health.ejections)
        health.ejections = min(health.ejections + 1, 8)
        health.ejected_until_ms = now + ejection_ms
        health.in_row = 0
        health.rate = 0.25
        return True

    def _record(self, health: Health, failed: bool) -> None:
        now = self.clock.now()
        before = _decayed(health, now)
        health.record = before * RECORD_DECAY + (1.0 - RECORD_DECAY if failed else 0.0)
        health.recorded_ms = now

    def record(self, endpoint: str) -> float:
        """Return the decayed fraction of an endpoint's answers that failed."""
        health = self.known.get(endpoint)
        return _decayed(health, self.clock.now()) if health is not None else 0.0

    def best(
        self,
        endpoints: Sequence[traffic.Endpoint],
        running: Callable[[str], int],
        repeated: bool,
    ) -> list[traffic.Endpoint]:
        """Return the endpoints with the better records.

        Args:
          running: requests at an endpoint.
          repeated: whether the request failed already: then only the best count. Otherwise much
            worse ones are left out while a better one has a free slot.
        """
        if not self.known:
            return list(endpoints)
        records = {
            one.id: self.record(one.id) if one.id in self.known else 0.0 for one in endpoints
        }
        bound = min(records.values(), default=0.0) + (EQUAL_MARGIN if repeated else WORSE_MARGIN)
        better = [one for one in endpoints if records[one.id] <= bound]
        if repeated or any(running(one.id) < one.slots for one in better):
            return better
        return list(endpoints)

    def absent(self, endpoint: traffic.Endpoint) -> None:
        """Record that another process answered at an endpoint's address."""
        until_ms = self.clock.now() + ABSENT_MS
        self.absences[endpoint.id] = Absence(endpoint.address, until_ms)

    def usable(self, endpoints: Sequence[traffic.Endpoint]) -> list[traffic.Endpoint]:
        """Return the endpoints that are not ejected, or all present ones if too many would be."""
        now = self.clock.now()
        present = [one for one in endpoints if not self._is_absent(one, now)]
        found = [one for one in present if not self._is_ejected(one.id, now)]
        return found if 2 * len(found) >= len(present) else present

    def _is_absent(self, endpoint: traffic.Endpoint, now: int) -> bool:
        absence = self.absences.get(endpoint.id)
        if absence is None:
            return False
        return absence.address == endpoint.address and now < absence.until_ms

    def _is_ejected(self, endpoint: str, now: int) -> bool:
        health = self.known.get(endpoint)
        return health is not None and now < health.ejected_until_ms

    def retain(self, endpoints: set[str]) -> None:
        """Forget endpoints that no longer exist."""
        for name in [name for name in self.known if name not in endpoints]:
            del self.known[name]
        for name in [name for name in self.absences if name not in endpoints]:
            del self.absences[name]
        self.latencies.retain(endpoints)


def _decayed(health: Health, now: int) -> float:
    return health.record * math.pow(0.5, (now - health.recorded_ms) / RECORD_HALF_LIFE_MS)
