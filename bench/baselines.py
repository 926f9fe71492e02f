"""Baseline load-balancing policies for comparison."""

from plumarch.core import data
from plumarch.routing import placement

Choice = tuple[data.Endpoint | None, tuple[data.Considered, ...]]


class Baseline(placement.Placement):
    """Policy among endpoints that serve the target and have capacity by this node's counts."""

    turn = 0

    def eligible(self, request: data.Request, tried: frozenset[str]) -> list[data.Endpoint]:
        """Return the endpoints to choose from, untried ones if there are any."""
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
        """Choose an endpoint, or none without candidates."""
        found = self.eligible(request, tried)
        return (self.pick(found) if found else None), ()

    def pick(self, found: list[data.Endpoint]) -> data.Endpoint:
        """Return the policy's choice among candidates, at least one."""
        raise NotImplementedError

    def least_loaded(self, found: list[data.Endpoint]) -> data.Endpoint:
        """Return the endpoint with the fewest requests of this node in flight."""
        return min(found, key=lambda e: (self.stats[e.name].in_flight, e.name))


class RoundRobin(Baseline):
    """Endpoints in turn."""

    def pick(self, found: list[data.Endpoint]) -> data.Endpoint:
        """Choose the next endpoint in turn."""
        self.turn += 1
        return found[self.turn % len(found)]


class LeastOutstanding(Baseline):
    """The endpoint with the fewest requests of this node in flight."""

    def pick(self, found: list[data.Endpoint]) -> data.Endpoint:
        """Choose the endpoint with the fewest requests in flight."""
        return self.least_loaded(found)


class TwoChoices(Baseline):
    """The less loaded of two random endpoints, by this node's counts."""

    def pick(self, found: list[data.Endpoint]) -> data.Endpoint:
        """Choose the less loaded of two random endpoints."""
        return self.least_loaded(self.ctx.rng.sample(found, min(2, len(found))))


POLICIES: dict[str, type[placement.Placement]] = {
    "plumarch": placement.Placement,
    "round robin": RoundRobin,
    "least outstanding": LeastOutstanding,
    "two choices": TwoChoices,
}
