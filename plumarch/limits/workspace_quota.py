"""Allotments of workspaces, kept over all nodes without a write per request.

Every node holds the same token bucket for each workspace and charges it with what it admits
itself and with what its peers' heartbeats say that they admitted. While some nodes are
silent, the bucket refills and holds only the part of the nodes that are heard, so that groups
of nodes that don't hear each other never add up to more than the whole. A node that starts
has an empty bucket: it can't know what its predecessor spent.
"""

import dataclasses
from collections.abc import Mapping

from plumarch.core import clock, traffic

SETTLED_MS = 8_000
"""From this age of the process on, a workspace that is new starts with a full bucket."""


@dataclasses.dataclass(slots=True)
class Bucket:
    """One workspace's bucket as this node sees it.

    Attributes:
      level: units left; negative after a request larger than what was left.
      spent: units that this process admitted since its start.
    """

    level: float
    updated_ms: int
    spent: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSpending:
    """What a peer says of one workspace: its own spending since its start, and its level."""

    spent: float
    level: float


@dataclasses.dataclass(slots=True)
class WorkspaceQuota:
    """The buckets of all workspaces.

    Attributes:
      fraction: the part of all nodes that is heard now, this one included.
    """

    clock: clock.Clock
    started_ms: int
    fraction: float = 1.0
    buckets: dict[str, Bucket] = dataclasses.field(default_factory=dict)
    heard: dict[tuple[str, str], float] = dataclasses.field(default_factory=dict)

    def admit(self, workspace: traffic.Workspace, units: float) -> float:
        """Charge a request.

        Returns:
          0 if it is admitted; otherwise the milliseconds after which it may be.
        """
        if workspace.rate <= 0:
            return 0.0
        bucket = self._refill(workspace)
        capacity = workspace.burst * self.fraction
        needed = min(units, capacity)
        if bucket.level < needed:
            refill = max(workspace.rate * self.fraction, 1e-9)
            return max(1.0, (needed - bucket.level) / refill * 1000.0)
        bucket.level -= units
        bucket.spent += units
        return 0.0

    def refund(self, workspace: traffic.Workspace, units: float) -> None:
        """Give back what a request was charged that did not run."""
        bucket = self.buckets.get(workspace.name)
        if bucket is not None and workspace.rate > 0:
            bucket.level += units
            bucket.spent -= units

    def report(self) -> dict[str, PeerSpending]:
        """Return this node's spending, for its heartbeat."""
        return {
            name: PeerSpending(bucket.spent, bucket.level) for name, bucket in self.buckets.items()
        }

    def heard_from(self, node: str, spending: Mapping[str, PeerSpending]) -> None:
        """Charge what a peer admitted since it was heard last.

        Args:
          node: the peer's incarnation.
          spending: by workspace.
        """
        for name, told in spending.items():
            bucket = self.buckets.get(name)
            if bucket is None:
                continue
            known = self.heard.get((node, name))
            self.heard[(node, name)] = told.spent
            if known is None:
                bucket.level = min(bucket.level, told.level)
            else:
                bucket.level -= told.spent - known

    def total_spent(self) -> float:
        """Return what all nodes admitted, as far as heard; it may fall when one is forgotten."""
        own = sum(bucket.spent for bucket in self.buckets.values())
        return own + sum(self.heard.values())

    def forget(self, node: str) -> None:
        """Drop what is known of an incarnation that is gone."""
        for key in [key for key in self.heard if key[0] == node]:
            del self.heard[key]

    def _refill(self, workspace: traffic.Workspace) -> Bucket:
        now = self.clock.now()
        bucket = self.buckets.get(workspace.name)
        if bucket is None:
            settled = now - self.started_ms >= SETTLED_MS
            bucket = Bucket(workspace.burst * self.fraction if settled else 0.0, now)
            self.buckets[workspace.name] = bucket
        gained = workspace.rate * self.fraction * (now - bucket.updated_ms) / 1000.0
        capacity = workspace.burst * self.fraction
        bucket.level = min(max(capacity, 0.0), bucket.level + gained)
        bucket.updated_ms = now
        return bucket

    def keep_only(self, workspaces: Mapping[str, traffic.Workspace]) -> None:
        """Bring all buckets up to date, and drop those of workspaces that no longer exist."""
        for name in [name for name in self.buckets if name not in workspaces]:
            del self.buckets[name]
        for workspace in workspaces.values():
            if workspace.rate > 0:
                self._refill(workspace)
