"""Endpoints that refused a request and asked for some time of rest: they get nothing meanwhile.

An endpoint that sheds its load runs little, and so looks like the best choice. Without this each
further request is sent there first, is refused, and costs one of the fleet's repeats.

The rest is one node's: an endpoint asks each caller of its own for it, by what it gets from there.
So nothing of it is told to other nodes, and no request of theirs is held back by it.
"""

import dataclasses
import math
from collections.abc import Iterable

from plumarch.core import clock, traffic

LONGEST_MS = 600_000
"""The longest rest that is kept. Endpoints ask for seconds; one that names a day by a fault of its
own is tried again after this, one request for each refusal."""


def kept_ms(asked_ms: float) -> int:
    """Return how long a rest that was asked for is kept."""
    return math.ceil(min(asked_ms, LONGEST_MS))


@dataclasses.dataclass(frozen=True, slots=True)
class Rest:
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
class EndpointRests:
    """The rests that last, by what the endpoints call themselves."""

    clock: clock.Clock
    known: dict[str, Rest] = dataclasses.field(default_factory=dict)

    def ask(self, endpoint: traffic.Endpoint, alive_ms: int, rest_ms: float) -> int:
        """Take in that an endpoint refused a request and asks for rest.

        Args:
          alive_ms: time of day at which the connection to the process that refused came up.
          rest_ms: as it asks for it.
        Returns:
          How long it rests from now on, in ms.
        """
        now = self.clock.now()
        self.known = {name: one for name, one in self.known.items() if one.until_ms > now}
        until_ms = now + kept_ms(rest_ms)
        before = self.known.get(endpoint.called())
        if before is not None and before.id == endpoint.id:
            until_ms = max(until_ms, before.until_ms)
        self.known[endpoint.called()] = Rest(endpoint.id, alive_ms, until_ms)
        return until_ms - now

    def left_ms(self, endpoint: traffic.Endpoint) -> int:
        """Return how much longer an endpoint rests; 0 if it doesn't."""
        rest = self.known.get(endpoint.called())
        if rest is None or not endpoint.is_meant(rest.id, rest.alive_ms):
            return 0
        return max(0, rest.until_ms - self.clock.now())

    def lasting(self, endpoints: Iterable[traffic.Endpoint]) -> dict[str, int]:
        """Return how much longer endpoints rest, by identifier, without those that don't."""
        left = {one.id: self.left_ms(one) for one in endpoints}
        return {name: ms for name, ms in left.items() if ms}

    def without(self, endpoints: list[traffic.Endpoint]) -> list[traffic.Endpoint]:
        """Return endpoints without those that rest."""
        if not self.known:
            return endpoints
        return [one for one in endpoints if not self.left_ms(one)]

    def all_rest_ms(self, endpoints: Iterable[traffic.Endpoint]) -> int:
        """Return when the first of endpoints has rested; 0 if one of them doesn't rest."""
        return min((self.left_ms(one) for one in endpoints), default=0)
