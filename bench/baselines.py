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
            if e.name not in self.leaving and self.stats[e.name].in_flight < e.capacity
        ]
        return [e for e in found if e.name not in tried] or found

    def choose(
        self, request: data.Request, allowed: frozenset[str], tried: frozenset[str] = frozenset()
    ) -> Choice:
        """Choose an endpoint, or none if none may be chosen."""
        found = self.fitting(request, tried)
        return (self.pick(found) if found else None), ()

    def pick(self, found: list[data.Endpoint]) -> data.Endpoint:
        """Return the policy's choice among at least one endpoint."""
        raise NotImplementedError

    def least_loaded(self, found: list[data.Endpoint]) -> data.Endpoint:
        """Return the endpoint with the fewest of this node's own requests."""
        return min(found, key=lambda e: (self.stats[e.name].in_flight, e.name))


class RoundRobin(Simple):
    """One after the other."""

    def pick(self, found: list[data.Endpoint]) -> data.Endpoint:
        """Choose the next endpoint in turn."""
        self.turn += 1
        return found[self.turn % len(found)]


class LeastOutstanding(Simple):
    """The one with the fewest of this node's own requests."""

    def pick(self, found: list[data.Endpoint]) -> data.Endpoint:
        """Choose the endpoint with the fewest requests in flight."""
        return self.least_loaded(found)


class TwoChoices(Simple):
    """The better of two at random, by own counts."""

    def pick(self, found: list[data.Endpoint]) -> data.Endpoint:
        """Choose the less loaded of two random endpoints."""
        return self.least_loaded(self.ctx.rng.sample(found, min(2, len(found))))


POLICIES: dict[str, type[placement.Placement]] = {
    "plumarch": placement.Placement,
    "round robin": RoundRobin,
    "least outstanding": LeastOutstanding,
    "two choices": TwoChoices,
}
