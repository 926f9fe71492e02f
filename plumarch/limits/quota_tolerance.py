"""How much of the excess that a deployment tolerates beyond an allotment is used, and for what."""

import dataclasses

from plumarch.core import traffic

REFILL_FRACTION = 0.35
"""The part of the tolerated excess by which buckets refill faster, where news is as young as
FRESH_INTERVAL_MS."""

CAPACITY_FRACTION = 0.3
"""The part of it by which buckets hold more than the burst: a large prompt that follows others
finds room for it. What is left covers nodes that admit at the same moment."""

OVERDRAFT_FRACTION = 0.2
"""The part of it by which all groups of nodes that don't hear each other may overdraw their parts
together with one large request each. Without this limit 24 nodes that were each cut off alone
admitted twice their parts, a request of 9,000 units where 435 were left, and the fleet 1.02 of what
is tolerated."""

FRESH_INTERVAL_MS = 250.0
"""Where heartbeats are rarer than this, less of the excess is used."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """What a deployment tolerates beyond an allotment.

    Attributes:
      window_ms: the window in which it is counted.
      ratio: tolerated excess, as a part of what the allotment gives in a window.
      units: tolerated excess besides.
    """

    window_ms: int = 8_000
    ratio: float = 0.0
    units: float = 0.0

    def excess(self, workspace: traffic.Workspace) -> float:
        """Return the tolerated excess of a workspace in a window."""
        allotted = workspace.rate * self.window_ms / 1000.0 + workspace.burst
        return self.ratio * allotted + self.units

    def refill(self, workspace: traffic.Workspace, update_age_ms: float) -> float:
        """Return the units a second by which a workspace's bucket refills over all nodes.

        Args:
          update_age_ms: time between heartbeats.
        """
        used = REFILL_FRACTION * self._freshness(update_age_ms)
        return workspace.rate + used * self.excess(workspace) * 1000.0 / self.window_ms

    def overdraft(self, workspace: traffic.Workspace) -> float:
        """Return the units by which one request on each side of a cut may overdraw, together."""
        return OVERDRAFT_FRACTION * self.excess(workspace)

    def capacity(self, workspace: traffic.Workspace, update_age_ms: float) -> float:
        """Return the most units that a workspace's bucket holds over all nodes."""
        used = CAPACITY_FRACTION * self._freshness(update_age_ms)
        return workspace.burst + used * self.excess(workspace)

    @staticmethod
    def _freshness(update_age_ms: float) -> float:
        """Return the part of the excess that may be used by the age of news."""
        return min(1.0, FRESH_INTERVAL_MS / max(1.0, update_age_ms))
