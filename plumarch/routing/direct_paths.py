"""Tells endpoints that are down from endpoints that this node alone can't connect to."""

import dataclasses

from plumarch.core import clock


@dataclasses.dataclass(slots=True)
class DirectPaths:
    """This node's own connects to endpoints.

    Attributes:
      connected_ms: when the last connect succeeded, to any endpoint; None before the first.
      failed: endpoints that connects failed to since then.
    """

    clock: clock.Clock
    connected_ms: int | None = None
    failed: set[str] = dataclasses.field(default_factory=set)

    def record_connect(self, endpoint: str) -> None:
        """Record a successful connect."""
        self.connected_ms = self.clock.now()
        self.failed.clear()

    def record_failure(self, endpoint: str) -> None:
        """Record a failed connect."""
        self.failed.add(endpoint)

    def connect_age_ms(self) -> int | None:
        """Return the time since the last successful connect, or None before the first."""
        return None if self.connected_ms is None else self.clock.now() - self.connected_ms
