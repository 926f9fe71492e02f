"""Limits requests that are sent to a further endpoint: this node's share of the fleet's budget.

The fixed part is divided by an upper bound on the number of nodes, so that shares never exceed the
budget together.
"""

import collections
import dataclasses

from plumarch.core import clock

USED_FRACTION = 0.8
"""Fraction of the budget that is used; the rest covers differences in when a send is counted."""


@dataclasses.dataclass(slots=True)
class ServiceWindow:
    """Times of first sends and repeats at one service, in order of time."""

    first_sends: collections.deque[int] = dataclasses.field(default_factory=collections.deque)
    repeats: collections.deque[int] = dataclasses.field(default_factory=collections.deque)


@dataclasses.dataclass(slots=True)
class AttemptBudget:
    """Repeats that this node may send to each service.

    Attributes:
      ratio: repeats allowed for each first send.
      extra: additional repeats for the whole fleet in a window.
      nodes: what the extra is divided by.
    """

    clock: clock.Clock
    window_ms: int
    ratio: float
    extra: float
    nodes: int = 8
    services: dict[str, ServiceWindow] = dataclasses.field(default_factory=dict)

    def record_first_send(self, service: str) -> None:
        """Count a first send."""
        self._window(service).first_sends.append(self.clock.now())

    def take(self, service: str) -> bool:
        """Spend a repeat if one is left."""
        window = self._window(service)
        allowed = USED_FRACTION * (self.ratio * len(window.first_sends) + self.extra / self.nodes)
        if len(window.repeats) + 1 > allowed:
            return False
        window.repeats.append(self.clock.now())
        return True

    def _window(self, service: str) -> ServiceWindow:
        window = self.services.setdefault(service, ServiceWindow())
        oldest = self.clock.now() - self.window_ms
        for times in (window.first_sends, window.repeats):
            while times and times[0] < oldest:
                times.popleft()
        return window
