"""Tells endpoints that are down from endpoints that this node can't connect to but others can.

A node cut off from endpoints reaches them through tunnels of other nodes, and tries direct connects
again with its requests.
"""

import dataclasses
import enum

from plumarch.core import clock

RETRY_MS = 500
"""Time after which a direct connect to an unreachable endpoint is tried again."""

MIN_UNREACHABLE = 2
"""Unreachable endpoints in a row from which a node counts as cut off."""


class ConnectPlan(enum.Enum):
    """How to connect to an endpoint.

    DIRECT_FIRST: through a tunnel only if the direct connect fails.
    """

    DIRECT_FIRST = "direct first"
    BOTH = "both"
    TUNNEL_ONLY = "tunnel only"


@dataclasses.dataclass(slots=True)
class DirectPaths:
    """This node's own connects to endpoints, and tunnels to them.

    Attributes:
      connected_ms: when the last direct connect succeeded, to any endpoint; None before the first.
      failed: endpoints that direct connects failed to since their last success.
      tunneled: endpoints that a tunnel reached since their last direct connect.
      failed_in_row: endpoints that direct connects failed to since `connected_ms`.
      unreachable_in_row: those of them that a tunnel reached.
      retry_ms: when a direct connect is tried again, by unreachable endpoint.
    """

    clock: clock.Clock
    connected_ms: int | None = None
    failed: set[str] = dataclasses.field(default_factory=set)
    tunneled: set[str] = dataclasses.field(default_factory=set)
    failed_in_row: set[str] = dataclasses.field(default_factory=set)
    unreachable_in_row: set[str] = dataclasses.field(default_factory=set)
    retry_ms: dict[str, int] = dataclasses.field(default_factory=dict)

    def record_connect(self, endpoint: str) -> None:
        """Record a successful direct connect."""
        self.connected_ms = self.clock.now()
        self.failed.discard(endpoint)
        self.tunneled.discard(endpoint)
        self.retry_ms.pop(endpoint, None)
        self.failed_in_row.clear()
        self.unreachable_in_row.clear()

    def record_failure(self, endpoint: str) -> bool:
        """Record a failed direct connect; return whether this makes the endpoint unreachable."""
        self.failed.add(endpoint)
        self.failed_in_row.add(endpoint)
        return self._note_unreachable(endpoint)

    def record_tunnel(self, endpoint: str) -> bool:
        """Record a tunnel that reached an endpoint; return whether this makes it unreachable."""
        self.tunneled.add(endpoint)
        return self._note_unreachable(endpoint)

    def _note_unreachable(self, endpoint: str) -> bool:
        if endpoint not in self.failed or endpoint not in self.tunneled:
            return False
        if endpoint in self.failed_in_row:
            self.unreachable_in_row.add(endpoint)
        if endpoint in self.retry_ms:
            return False
        self.retry_ms[endpoint] = self.clock.now() + RETRY_MS
        return True

    def is_unreachable(self, endpoint: str) -> bool:
        """Return whether only other nodes reach an endpoint."""
        return endpoint in self.retry_ms

    def is_cut_off(self) -> bool:
        """Return whether this node seems to be cut off from all endpoints."""
        return len(self.unreachable_in_row) >= MIN_UNREACHABLE

    def may_be_cut_off(self) -> bool:
        """Return whether direct connects fail so that a cut can't be ruled out."""
        return len(self.failed_in_row) >= MIN_UNREACHABLE

    def plan(self, endpoint: str) -> ConnectPlan:
        """Return how to connect to an endpoint; a due retry counts as begun."""
        retry_ms = self.retry_ms.get(endpoint)
        if retry_ms is None:
            return ConnectPlan.BOTH if self.is_cut_off() else ConnectPlan.DIRECT_FIRST
        now = self.clock.now()
        if now < retry_ms:
            return ConnectPlan.TUNNEL_ONLY
        self.retry_ms[endpoint] = now + RETRY_MS
        return ConnectPlan.BOTH

    def connect_age_ms(self) -> int | None:
        """Return the time since the last direct connect, or None before the first."""
        return None if self.connected_ms is None else self.clock.now() - self.connected_ms

    def retain(self, endpoints: set[str]) -> None:
        """Forget endpoints that no longer exist."""
        for known in (self.failed, self.tunneled, self.failed_in_row, self.unreachable_in_row):
            known &= endpoints
        self.retry_ms = {name: at for name, at in self.retry_ms.items() if name in endpoints}
