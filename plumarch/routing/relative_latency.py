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

SLOW = 2.5
"""Answers that take this many times as long as at the service's other endpoints make one slow;
times of sound ones vary by less than that over a few answers."""

HANGS = 4.0
"""A request that is awaited for this many times as long as expected makes its endpoint slow. One
request alone may be a long one, and is only avoided while others are free."""

SLOW_CONNECT = 4.0
"""A connect that takes this many times the endpoint's shortest, and SLOW_CONNECT_MS besides, counts
as a slow answer: the endpoint accepts late, or its link loses packets."""

SLOW_CONNECT_MS = 30.0
"""What a busy process may add to a short connect without fault of the endpoint."""

WEIGHT = 0.25
"""Weight of an answer; two or three slow ones make an endpoint slow, one alone never does."""

MOST = 6.0
"""The longest time that counts, in multiples of what was expected: one answer proves no more."""

FORGOTTEN_MS = 3_000.0
"""Half of what was found is forgotten in this time without answers, so that a slow endpoint is
tried again with a request in some seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Awaited:
    """A request whose first byte has not come, when it was sent and how long that should take."""

    sent_ms: int
    expected_ms: float


@dataclasses.dataclass(slots=True)
class Pace:
    """What is known of one endpoint.

    Attributes:
      mean: time of its answers, in multiples of what was expected.
      at_ms: when the mean was last changed; it fades from then on.
      shortest_connect_ms: of all its connects.
      awaited: by the number that `EndpointPaces.sent` gave, the oldest first.
    """

    mean: float = 1.0
    at_ms: int = 0
    shortest_connect_ms: float | None = None
    awaited: dict[int, Awaited] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class EndpointPaces:
    """How slow endpoints are.

    Attributes:
      known: by endpoint identifier.
      last: the number given to the last request sent.
    """

    clock: clock.Clock
    suspensions: suspension.Suspensions
    known: dict[str, Pace] = dataclasses.field(default_factory=dict)
    last: int = 0

    def connected(self, endpoint: str, took_ms: float) -> None:
        """Take in how long a connection took to come up."""
        pace = self.known.setdefault(endpoint, Pace(at_ms=self.clock.now()))
        shortest = pace.shortest_connect_ms
        if shortest is None or took_ms < shortest:
            pace.shortest_connect_ms = took_ms
        elif took_ms > SLOW_CONNECT_MS + SLOW_CONNECT * shortest:
            self._observe(pace, SLOW_CONNECT)

    def sent(self, endpoint: str, expected_ms: float) -> int:
        """Count a request sent.

        Returns:
          A number to end it by.
        """
        pace = self.known.setdefault(endpoint, Pace(at_ms=self.clock.now()))
        self.last += 1
        pace.awaited[self.last] = Awaited(self.clock.now(), max(1.0, expected_ms))
        return self.last

    def answered(self, endpoint: str, number: int) -> float | None:
        """Take in a first byte.

        Returns:
          How long it took, in multiples of what was expected, or None if it is not awaited.
        """
        pace = self.known.get(endpoint)
        awaited = pace.awaited.pop(number, None) if pace is not None else None
        if pace is None or awaited is None or self.suspensions.since(awaited.sent_ms):
            return None
        took = (self.clock.now() - awaited.sent_ms) / awaited.expected_ms
        self._observe(pace, took)
        return took

    def ended(self, endpoint: str, number: int) -> None:
        """Forget a request that is over; one that was given up without an answer was slow."""
        pace = self.known.get(endpoint)
        awaited = pace.awaited.pop(number, None) if pace is not None else None
        if pace is not None and awaited is not None:
            waited = self._waited_ms(awaited) / awaited.expected_ms
            if waited > HANGS:
                self._observe(pace, waited)

    def _waited_ms(self, awaited: Awaited) -> float:
        """Return how long this process has run and waited for a first byte."""
        since_ms = awaited.sent_ms
        if self.suspensions.since(since_ms) and self.suspensions.woke_ms is not None:
            since_ms = self.suspensions.woke_ms
        return self.clock.now() - since_ms

    def _observe(self, pace: Pace, took: float) -> None:
        now = self.clock.now()
        before = self._faded(pace, now)
        pace.mean = before + WEIGHT * (min(MOST, took) - before)
        pace.at_ms = now

    def _faded(self, pace: Pace, now: int) -> float:
        return 1.0 + (pace.mean - 1.0) * math.pow(0.5, (now - pace.at_ms) / FORGOTTEN_MS)

    def score(self, endpoint: str) -> float:
        """Return how slow an endpoint is, in multiples of what is expected."""
        pace = self.known.get(endpoint)
        if pace is None:
            return 1.0
        score = pace.mean
        if not pace.awaited and score <= SLOW:
            return score
        now = self.clock.now()
        if score > 1.0:
            score = self._faded(pace, now)
        for oldest in pace.awaited.values():
            waited = self._waited_ms(oldest) / oldest.expected_ms
            if waited > HANGS:
                score = max(score, min(MOST, waited))
            break
        return score

    def slow(self, endpoints: Sequence[traffic.Endpoint]) -> dict[str, float]:
        """Return the endpoints that are slow against the others, and how many times.

        What makes all of them slow is no fault of one, so that each is measured by the middle one.
        """
        known = self.known
        scores = {one.id: self.score(one.id) if one.id in known else 1.0 for one in endpoints}
        if len(scores) < 2 or max(scores.values()) <= SLOW:
            return {}
        usual = max(1.0, statistics.median_low(scores.values()))
        return {name: score / usual for name, score in scores.items() if score > SLOW * usual}

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
        open_slow = [
            one
            for one in endpoints
            if one.id in slow and running(one.id) < one.slots / slow[one.id]
        ]
        return quick + open_slow

    def retain(self, endpoints: set[str]) -> None:
        """Forget endpoints that no longer exist."""
        for name in [name for name in self.known if name not in endpoints]:
            del self.known[name]
