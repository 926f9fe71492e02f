"""Endpoints that refused a request with a Retry-After: they get nothing until that time is over.

An endpoint that sheds its load runs little, and so looks like the best choice. Without this each
further request is sent there first, is refused, and costs one of the fleet's repeats.

An endpoint asks each node for this by itself, by what it gets from there. So it is not reported to
other nodes.
"""

import dataclasses
import math
from collections.abc import Iterable

from plumarch.core import clock, traffic

MAX_MS = 600_000
"""The longest backoff that is kept. Endpoints ask for seconds; one that names a day by a fault of
its own is tried again after this, one request for each refusal."""


def bounded_ms(retry_after_ms: float) -> int:
    """Return for how long a Retry-After is kept to."""
    return math.ceil(min(retry_after_ms, MAX_MS))


@dataclasses.dataclass(frozen=True, slots=True)
class Backoff:
    """What an endpoint asked for.

    Attributes:
      id: the incarnation that a request was sent to.
      alive_ms: time of day at which the process that asked for it was alive for certain.
      until_ms: when it ends, by the steady clock.
    """

    id: str
    alive_ms: int
    until_ms: int


@dataclasses.dataclass(slots=True)
class EndpointBackoff:
    """The backoffs that last, by what the endpoints call themselves."""

    clock: clock.Clock
    known: dict[str, Backoff] = dataclasses.field(default_factory=dict)

    def note_retry_after(
        self, endpoint: traffic.Endpoint, alive_ms: int, retry_after_ms: float
    ) -> int:
        """Note that an endpoint refused a request with a Retry-After.

        Args:
          alive_ms: time of day at which the connection to the process that refused came up.
          retry_after_ms: the time that it names.
        Returns:
          How long it gets nothing from now on, in ms.
        """
        now = self.clock.now()
        self.known = {name: one for name, one in self.known.items() if one.until_ms > now}
        until_ms = now + bounded_ms(retry_after_ms)
        before = self.known.get(endpoint.called())
        if before is not None and before.id == endpoint.id:
            until_ms = max(until_ms, before.until_ms)
        self.known[endpoint.called()] = Backoff(endpoint.id, alive_ms, until_ms)
        return until_ms - now

    def left_ms(self, endpoint: traffic.Endpoint) -> int:
        """Return how much longer an endpoint gets nothing; 0 if it takes requests."""
        one = self.known.get(endpoint.called())
        if one is None or not endpoint.is_meant(one.id, one.alive_ms):
            return 0
        return max(0, one.until_ms - self.clock.now())

    def lasting(self, endpoints: Iterable[traffic.Endpoint]) -> dict[str, int]:
        """Return how much longer endpoints get nothing, by identifier, without the others."""
        left = {one.id: self.left_ms(one) for one in endpoints}
        return {name: ms for name, ms in left.items() if ms}

    def without(self, endpoints: list[traffic.Endpoint]) -> list[traffic.Endpoint]:
        """Return the endpoints that take requests."""
        if not self.known:
            return endpoints
        return [one for one in endpoints if not self.left_ms(one)]

    def first_left_ms(self, endpoints: Iterable[traffic.Endpoint]) -> int:
        """Return when the first of endpoints takes requests again; 0 if one of them does."""
        return min((self.left_ms(one) for one in endpoints), default=0)
