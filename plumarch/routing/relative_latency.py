"""How slow each endpoint is against the others of its service.

An endpoint that slows down gives sound answers, so that no count of failures shows it. Looked at
are connects, first bytes (writes are part of them), and what is still awaited: an endpoint that
hangs is noticed before its first request is given up. What was awaited while this process was
suspended says nothing.
"""

import dataclasses
import math
import statistics
from collections.abc import Callable, Sequence

from plumarch.core import clock, suspension, traffic

SLOW_RATIO = 2.5
"""Answers that take this many times as long as at the service's other endpoints make one slow;
times of sound ones vary by less than that over a few answers."""

HANG_RATIO = 4.0
"""A request that is awaited for this many times as long as expected makes its endpoint slow. One
request alone may be a long one, and is only avoided while others are free."""

SLOW_CONNECT_RATIO = 4.0
"""A connect counts as slow above this multiple of the shortest one plus SLOW_CONNECT_MARGIN_MS."""

SLOW_CONNECT_MARGIN_MS = 30.0
"""What a busy process may add to a short connect without fault of the endpoint."""

WEIGHT = 0.25
"""Weight of an answer; two or three slow ones make an endpoint slow, one alone never does."""

MAX_RATIO = 6.0
"""The longest time that counts, in multiples of what was expected: one answer proves no more."""

HALF_LIFE_MS = 3_000.0
"""Half of what was found is forgotten in this time without answers, so that a slow endpoint is
tried again with a request in some seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Awaited:
    """A request whose first byte has not come, when it was sent and how long that should take."""

    sent_ms: int
    expected_ms: float


@dataclasses.dataclass(slots=True)
class EndpointLatency:
    """What is known of one endpoint.

    Attributes:
      mean: time of its answers, in multiples of what was expected.
      at_ms: when the mean was last changed; it fades from then on.
      shortest_connect_ms: of all its connects.
      awaited: by the number that `Latencies.sent` gave, the oldest first.
    """

    mean: float = 1.0
    at_ms: int = 0
    shortest_connect_ms: float | None = None
    awaited: dict[int, Awaited] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Latencies:
    """How slow endpoints are.

    Attributes:
      known: by endpoint identifier.
      last: the number given to the last request sent.
    """

    clock: clock.Clock
    suspensions: suspension.Suspensions
    known: dict[str, EndpointLatency] = dataclasses.field(default_factory=dict)
    last: int = 0

    def connected(self, endpoint: str, took_ms: float) -> None:
        """Take in how long a connection took to come up."""
        latency = self.known.setdefault(endpoint, EndpointLatency(at_ms=self.clock.now()))
        shortest = latency.shortest_connect_ms
        if shortest is None or took_ms < shortest:
            latency.shortest_connect_ms = took_ms
        elif took_ms > SLOW_CONNECT_MARGIN_MS + SLOW_CONNECT_RATIO * shortest:
            self._observe(latency, SLOW_CONNECT_RATIO)

    def sent(self, endpoint: str, expected_ms: float) -> int:
        """Count a request sent.

        Returns:
          A number to end it by.
        """
        latency = self.known.setdefault(endpoint, EndpointLatency(at_ms=self.clock.now()))
        self.last += 1
        latency.awaited[self.last] = Awaited(self.clock.now(), max(1.0, expected_ms))
        return self.last

    def answered(self, endpoint: str, number: int) -> float | None:
        """Take in a first byte.

        Returns:
          How long it took, in multiples of what was expected, or None if it is not awaited.
        """
        latency = self.known.get(endpoint)
        awaited = latency.awaited.pop(number, None) if latency is not None else None
        if latency is None or awaited is None or self.suspensions.since(awaited.sent_ms):
            return None
        ratio = (self.clock.now() - awaited.sent_ms) / awaited.expected_ms
        self._observe(latency, ratio)
        return ratio

    def ended(self, endpoint: str, number: int) -> None:
        """Forget a request that is over; one that was given up without an answer was slow."""
        latency = self.known.get(endpoint)
        awaited = latency.awaited.pop(number, None) if latency is not None else None
        if latency is not None and awaited is not None:
            waited = self._waited_ms(awaited) / awaited.expected_ms
            if waited > HANG_RATIO:
                self._observe(latency, waited)

    def _waited_ms(self, awaited: Awaited) -> float:
        """Return how long this process has run and waited for a first byte."""
        since_ms = awaited.sent_ms
        if self.suspensions.since(since_ms) and self.suspensions.woke_ms is not None:
            since_ms = self.suspensions.woke_ms
        return self.clock.now() - since_ms

    def _observe(self, latency: EndpointLatency, ratio: float) -> None:
        now = self.clock.now()
        before = self._decayed(latency, now)
        latency.mean = before + WEIGHT * (min(MAX_RATIO, ratio) - before)
        latency.at_ms = now

    def _decayed(self, latency: EndpointLatency, now: int) -> float:
        return 1.0 + (latency.mean - 1.0) * math.pow(0.5, (now - latency.at_ms) / HALF_LIFE_MS)

    def score(self, endpoint: str) -> float:
        """Return how slow an endpoint is, in multiples of what is expected."""
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
        """Return the endpoints that are slow against the others, and how many times.

        What makes all of them slow is no fault of one, so that each is measured by the middle one.
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
        """Return the endpoints that a request had better go to.

        No request goes to a slow one while another has a free place; then a slow one gets the part
        of its places that its pace allows, and no request waits at it.

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
