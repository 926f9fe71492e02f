"""How many requests may be sent to a further endpoint, as one node's part of the fleet's budget.

The fleet's budget in a window is a ratio of the first sends, plus a fixed extra. Ratios of
each node's own first sends add up by themselves; the extra is parted by a number of nodes
that is never less than those that may exist. A node starts with no history, so that what its
predecessor spent is not spent twice.
"""

import collections
import dataclasses

from plumarch.core import clock

SAFETY = 0.8
"""The part of the budget that is used; the rest covers differences in when a send is counted."""


@dataclasses.dataclass(slots=True)
class ServiceWindow:
    """Times of first sends and of repeats at one service, oldest first."""

    firsts: collections.deque[int] = dataclasses.field(default_factory=collections.deque)
    repeats: collections.deque[int] = dataclasses.field(default_factory=collections.deque)


@dataclasses.dataclass(slots=True)
class AttemptBudget:
    """Repeats that this node may make at each service.

    Attributes:
      ratio: repeats allowed for each first send.
      extra: repeats allowed besides, for the whole fleet in a window.
      nodes: among how many nodes the extra is parted.
    """

    clock: clock.Clock
    window_ms: int
    ratio: float
    extra: float
    nodes: int = 8
    services: dict[str, ServiceWindow] = dataclasses.field(default_factory=dict)

    def record_first_send(self, service: str) -> None:
        """Count a first send."""
        self._window(service).firsts.append(self.clock.now())

    def take(self, service: str) -> bool:
        """Spend a repeat, if there is one left."""
        window = self._window(service)
        allowed = SAFETY * (self.ratio * len(window.firsts) + self.extra / self.nodes)
        if len(window.repeats) + 1 > allowed:
            return False
        window.repeats.append(self.clock.now())
        return True

    def _window(self, service: str) -> ServiceWindow:
        window = self.services.setdefault(service, ServiceWindow())
        oldest = self.clock.now() - self.window_ms
        for times in (window.firsts, window.repeats):
            while times and times[0] < oldest:
                times.popleft()
        return window
