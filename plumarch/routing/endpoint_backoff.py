"""Keeps requests away from endpoints that rejected one with a Retry-After.

An endpoint that sheds load runs few requests, and would look like the best choice. A backoff
applies only to the node that received it.
"""

import dataclasses
import math
from collections.abc import Iterable

from plumarch.core import clock, traffic

MAX_MS = 600_000
"""Maximum backoff, against excessive ones named by mistake."""


def bounded_ms(retry_after_ms: float) -> int:
    """Return a Retry-After limited to MAX_MS."""
    return math.ceil(min(retry_after_ms, MAX_MS))


@dataclasses.dataclass(frozen=True, slots=True)
class Backoff:
    """Backoff of an endpoint.

    Attributes:
      id: the incarnation that a request was sent to.
      alive_ms: time of day at which the process that sent it was certainly alive.
      until_ms: when it ends, by the steady clock.
    """

    id: str
    alive_ms: int
    until_ms: int


@dataclasses.dataclass(slots=True)
class EndpointBackoff:
    """Current backoffs, by endpoint name."""

    clock: clock.Clock
    known: dict[str, Backoff] = dataclasses.field(default_factory=dict)

    def note_retry_after(
        self, endpoint: traffic.Endpoint, alive_ms: int, retry_after_ms: float
    ) -> int:
        """Record a rejection with a Retry-After.

        Args:
          alive_ms: time of day at which the connection to the rejecting process was established.
        Returns:
          The remaining backoff in ms.
        """
        now = self.clock.now()
        self.known = {name: one for name, one in self.known.items() if one.until_ms > now}
        until_ms = now + bounded_ms(retry_after_ms)
        before = self.known.get(endpoint.stable_name())
        if before is not None and before.id == endpoint.id:
            until_ms = max(until_ms, before.until_ms)
        self.known[endpoint.stable_name()] = Backoff(endpoint.id, alive_ms, until_ms)
        return until_ms - now

    def left_ms(self, endpoint: traffic.Endpoint) -> int:
        """Return the remaining backoff of an endpoint in ms; 0 if it takes requests."""
        one = self.known.get(endpoint.stable_name())
        if one is None or not endpoint.may_have_answered(one.id, one.alive_ms):
            return 0
        return max(0, one.until_ms - self.clock.now())

    def lasting(self, endpoints: Iterable[traffic.Endpoint]) -> dict[str, int]:
        """Return the remaining backoffs in ms, by identifier of the endpoint."""
        left = {one.id: self.left_ms(one) for one in endpoints}
        return {name: ms for name, ms in left.items() if ms}

    def without(self, endpoints: list[traffic.Endpoint]) -> list[traffic.Endpoint]:
        """Return the endpoints that take requests."""
        if not self.known:
            return endpoints
        return [one for one in endpoints if not self.left_ms(one)]

    def first_left_ms(self, endpoints: Iterable[traffic.Endpoint]) -> int:
        """Return the shortest remaining backoff in ms; 0 if an endpoint takes requests."""
        return min((self.left_ms(one) for one in endpoints), default=0)
