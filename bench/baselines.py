"""What a team would otherwise run: three simple ways to choose an endpoint."""

from plumarch.core import data
from plumarch.routing import placement

Choice = tuple[data.Endpoint | None, tuple[data.Considered, ...]]


class Simple(placement.Placement):
    """Base: endpoints that serve the target and are not full by this node's own count."""

    turn = 0

    def fitting(self, request: data.Request, tried: frozenset[str]) -> list[data.Endpoint]:
        """Return the endpoints that may be chosen."""
        serving = self.by_target.get((request.kind, request.target), [])
        found = [
            e
            for e in serving
            if e.name not in self.leaving and self.seen[e.name].in_flight < e.capacity
        ]
        return [e for e in found if e.name not in tried] or found


class RoundRobin(Simple):
    """One after the other."""

    def choose(
        self, request: data.Request, allowed: frozenset[str], tried: frozenset[str] = frozenset()
    ) -> Choice:
        """Choose the next endpoint in turn."""
        found = self.fitting(request, tried)
        if not found:
            return None, ()
        self.turn += 1
        return found[self.turn % len(found)], ()


class LeastOutstanding(Simple):
    """The one with the fewest of this node's own requests."""

    def choose(
        self, request: data.Request, allowed: frozenset[str], tried: frozenset[str] = frozenset()
    ) -> Choice:
        """Choose the endpoint with the fewest requests in flight."""
        found = self.fitting(request, tried)
        if not found:
            return None, ()
        return min(found, key=lambda e: (self.seen[e.name].in_flight, e.name)), ()


class TwoChoices(Simple):
    """The better of two at random, by own counts."""

    def choose(
        self, request: data.Request, allowed: frozenset[str], tried: frozenset[str] = frozenset()
    ) -> Choice:
        """Choose the less loaded of two random endpoints."""
        found = self.fitting(request, tried)
        if not found:
            return None, ()
        pair = self.ctx.rng.sample(found, min(2, len(found)))
        return min(pair, key=lambda e: (self.seen[e.name].in_flight, e.name)), ()


POLICIES: dict[str, type[placement.Placement]] = {
    "plumarch": placement.Placement,
    "round robin": RoundRobin,
    "least outstanding": LeastOutstanding,
    "two choices": TwoChoices,
}
