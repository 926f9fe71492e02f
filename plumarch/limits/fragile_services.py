"""Services whose endpoints announce that they crash if they reject too many requests.

All endpoints of a service announce it for as long as it holds, in each answer.
"""

import dataclasses

from plumarch.core import clock

RETENTION_MS = 5_000
"""Time after the last announcement for which a service counts as fragile."""

MAX_SERVICES = 256
"""Limit of the kept services."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fragility:
    """What a service's endpoints announce.

    Attributes:
      rejections_per_s: rejections that an endpoint bears in a second.
      observed_ms: when the announcing answer came, to whichever node.
    """

    rejections_per_s: float
    observed_ms: int


@dataclasses.dataclass(slots=True)
class FragileServices:
    """The last announcements, by service."""

    clock: clock.Clock
    known: dict[str, Fragility] = dataclasses.field(default_factory=dict)

    def announced(self, service: str, rejections_per_s: float, age_ms: int = 0) -> bool:
        """Record an announcement.

        Args:
          age_ms: time since the answer, which another node may have received.
        Returns:
          Whether the service becomes fragile by it.
        """
        observed_ms = self.clock.now() - max(0, age_ms)
        before = self.known.get(service)
        if before is not None and before.observed_ms >= observed_ms:
            return False
        was_fragile = self.is_fragile(service)
        if before is None and len(self.known) >= MAX_SERVICES:
            self._drop_old()
        self.known[service] = Fragility(rejections_per_s, observed_ms)
        return self.is_fragile(service) and not was_fragile

    def _drop_old(self) -> None:
        ordered = sorted(self.known.items(), key=lambda one: one[1].observed_ms)
        self.known = dict(ordered[MAX_SERVICES // 2 :])

    def is_fragile(self, service: str) -> bool:
        """Return whether a service's endpoints must not be made to reject requests."""
        return self.rejections_per_s(service) is not None

    def rejections_per_s(self, service: str) -> float | None:
        """Return how many rejections an endpoint bears in a second, or None."""
        if not self.known:
            return None
        one = self.known.get(service)
        if one is None or self.clock.now() - one.observed_ms > RETENTION_MS:
            return None
        return one.rejections_per_s

    def current(self) -> dict[str, Fragility]:
        """Return the announcements that hold, by service."""
        return {name: one for name, one in self.known.items() if self.is_fragile(name)}
