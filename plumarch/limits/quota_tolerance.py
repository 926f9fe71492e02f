"""Divides the excess that a deployment tolerates beyond a quota among its uses."""

import dataclasses

from plumarch.core import traffic

REFILL_FRACTION = 0.35
"""Fraction of the tolerated excess by which buckets refill faster, with heartbeats no rarer than
FRESH_INTERVAL_MS."""

CAPACITY_FRACTION = 0.3
"""Fraction of it by which buckets hold more than the burst, so that a large prompt fits after
others."""

OVERDRAFT_FRACTION = 0.2
"""Fraction of it by which all groups of a partition may overdraw their shares together: without a
limit, each of many nodes that are cut off alone could admit one request far larger than its
share."""

FRESH_INTERVAL_MS = 250.0
"""Heartbeat interval beyond which less of the excess is used."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """What a deployment tolerates beyond a quota.

    Attributes:
      window_ms: the window in which it is counted.
      ratio: tolerated excess, as a fraction of the quota of a window.
      units: additional tolerated excess.
    """

    window_ms: int = 8_000
    ratio: float = 0.0
    units: float = 0.0

    def excess(self, workspace: traffic.Workspace) -> float:
        """Return the tolerated excess in a window."""
        quota = workspace.rate * self.window_ms / 1000.0 + workspace.burst
        return self.ratio * quota + self.units

    def refill(self, workspace: traffic.Workspace, update_age_ms: float) -> float:
        """Return the refill of a workspace over all nodes in units per second.

        Args:
          update_age_ms: time between heartbeats.
        """
        used = REFILL_FRACTION * self._freshness(update_age_ms)
        return workspace.rate + used * self.excess(workspace) * 1000.0 / self.window_ms

    def overdraft(self, workspace: traffic.Workspace) -> float:
        """Return the units that all sides of a partition may overdraw together."""
        return OVERDRAFT_FRACTION * self.excess(workspace)

    def capacity(self, workspace: traffic.Workspace, update_age_ms: float) -> float:
        """Return the capacity of a workspace's bucket over all nodes."""
        used = CAPACITY_FRACTION * self._freshness(update_age_ms)
        return workspace.burst + used * self.excess(workspace)

    @staticmethod
    def _freshness(update_age_ms: float) -> float:
        return min(1.0, FRESH_INTERVAL_MS / max(1.0, update_age_ms))
