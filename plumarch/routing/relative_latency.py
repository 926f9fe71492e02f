"""Detects endpoints that are slow compared to their peers.

Failure counts miss them. Pending requests count too, so that a hang is noticed before its request
times out; waits while this process was suspended don't count.
"""

import dataclasses
import math
import statistics
from collections.abc import Callable, Sequence

from plumarch.core import clock, suspension, traffic

SLOW_RATIO = 2.5
"""An endpoint is slow above this multiple of its peers' time."""

HANG_RATIO = 4.0
"""A pending request marks its endpoint as slow above this multiple of the expected time."""

SLOW_CONNECT_RATIO = 4.0
"""A connect counts as slow above this multiple of the shortest one plus SLOW_CONNECT_MARGIN_MS."""

SLOW_CONNECT_MARGIN_MS = 30.0
"""Delay that a busy process may add to a connect."""

WEIGHT = 0.25
"""Weight of an answer, so that a single slow one is not enough."""

MAX_RATIO = 6.0
"""Cap on a single observation, in multiples of the expected time."""

HALF_LIFE_MS = 3_000.0
"""Half-life of the mean without answers, so that a slow endpoint is tried again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Awaited:
    """A request whose first byte is pending."""

    sent_ms: int
    expected_ms: float


@dataclasses.dataclass(slots=True)
class EndpointLatency:
    """State of one endpoint.

    Attributes:
      mean: time of its answers, in multiples of the expected time.
      at_ms: when the mean was last changed; it decays from then on.
      shortest_connect_ms: of all its connects.
      awaited: by the number that `Latencies.sent` gave, the oldest first.
    """

    mean: float = 1.0
    at_ms: int = 0
    shortest_connect_ms: float | None = None
    awaited: dict[int, Awaited] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Latencies:
    """Relative latencies of endpoints.

    Attributes:
      known: by endpoint identifier.
      last: number of the last request sent.
    """

    clock: clock.Clock
    suspensions: suspension.Suspensions
    known: dict[str, EndpointLatency] = dataclasses.field(default_factory=dict)
    last: int = 0

    def connected(self, endpoint: str, took_ms: float) -> None:
        """Record the duration of a connect."""
        latency = self.known.setdefault(endpoint, EndpointLatency(at_ms=self.clock.now()))
        shortest = latency.shortest_connect_ms
        if shortest is None or took_ms < shortest:
            latency.shortest_connect_ms = took_ms
        elif took_ms > SLOW_CONNECT_MARGIN_MS + SLOW_CONNECT_RATIO * shortest:
            self._observe(latency, SLOW_CONNECT_RATIO)

    def sent(self, endpoint: str, expected_ms: float) -> int:
        """Count a request sent and return its number."""
        latency = self.known.setdefault(endpoint, EndpointLatency(at_ms=self.clock.now()))
        self.last += 1
        latency.awaited[self.last] = Awaited(self.clock.now(), max(1.0, expected_ms))
        return self.last

    def answered(self, endpoint: str, number: int) -> float | None:
        """Record a first byte.

        Returns:
          Its time in multiples of the expected time, or None if it is not pending.
        """
        latency = self.known.get(endpoint)
        awaited = latency.awaited.pop(number, None) if latency is not None else None
        if latency is None or awaited is None or self.suspensions.since(awaited.sent_ms):
            return None
        ratio = (self.clock.now() - awaited.sent_ms) / awaited.expected_ms
        self._observe(latency, ratio)
        return ratio

    def ended(self, endpoint: str, number: int) -> None:
        """Remove a finished request; an unanswered one above HANG_RATIO counts as slow."""
        latency = self.known.get(endpoint)
        awaited = latency.awaited.pop(number, None) if latency is not None else None
        if latency is not None and awaited is not None:
            waited = self._waited_ms(awaited) / awaited.expected_ms
            if waited > HANG_RATIO:
                self._observe(latency, waited)

    def _waited_ms(self, awaited: Awaited) -> float:
        since_ms = awaited.sent_ms
        if self.suspensions.since(since_ms) and self.suspensions.resumed_ms is not None:
            since_ms = self.suspensions.resumed_ms
        return self.clock.now() - since_ms

    def _observe(self, latency: EndpointLatency, ratio: float) -> None:
        now = self.clock.now()
        before = self._decayed(latency, now)
        latency.mean = before + WEIGHT * (min(MAX_RATIO, ratio) - before)
        latency.at_ms = now

    def _decayed(self, latency: EndpointLatency, now: int) -> float:
        return 1.0 + (latency.mean - 1.0) * math.pow(0.5, (now - latency.at_ms) / HALF_LIFE_MS)

    def score(self, endpoint: str) -> float:
        """Return an endpoint's latency in multiples of the expected time."""
        latency = self.known.get(endpoint)
        if latency is None:
            return 1.0
        score = latency.mean
        if not latency.awaited and score <= SLOW_RATIO:
            return score
        now = self.clock.now()
        if score > 1.0:
            score = self._decayed(latency, now)
        for oldest in latency.awaited.values():
            waited = self._waited_ms(oldest) / oldest.expected_ms
            if waited > HANG_RATIO:
                score = max(score, min(MAX_RATIO, waited))
            break
        return score

    def slow(self, endpoints: Sequence[traffic.Endpoint]) -> dict[str, float]:
        """Return the slow outliers and their time in multiples of the median.

        The median cancels causes that slow all endpoints.
        """
        known = self.known
        scores = {one.id: self.score(one.id) if one.id in known else 1.0 for one in endpoints}
        if len(scores) < 2 or max(scores.values()) <= SLOW_RATIO:
            return {}
        median = max(1.0, statistics.median_low(scores.values()))
        return {
            name: score / median for name, score in scores.items() if score > SLOW_RATIO * median
        }

    def without_slow(
        self, endpoints: Sequence[traffic.Endpoint], running: Callable[[str], int]
    ) -> list[traffic.Endpoint]:
        """Return the endpoints without slow outliers.

        If no other has a free slot, a slow endpoint is used for a fraction of its slots according
        to its relative latency, so that no request queues there.

        Args:
          running: requests at an endpoint.
        """
        slow = self.slow(endpoints)
        if not slow:
            return list(endpoints)
        quick = [one for one in endpoints if one.id not in slow]
        if any(running(one.id) < one.slots for one in quick):
            return quick
        usable_slow = [
            one
            for one in endpoints
            if one.id in slow and running(one.id) < one.slots / slow[one.id]
        ]
        return quick + usable_slow

    def retain(self, endpoints: set[str]) -> None:
        """Forget endpoints that no longer exist."""
        for name in [name for name in self.known if name not in endpoints]:
            del self.known[name]
