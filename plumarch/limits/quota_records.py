"""Records of a workspace's quota: this node's bucket and what other nodes report."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Bucket:
    """One workspace's bucket as this node sees it.

    Attributes:
      level: units left of the fleet's quota; negative after a large request.
      share: units left for the reachable nodes; the level while all are reachable.
      spent: units that this process admitted since its start.
      charged: units taken off the level, whichever node admitted them.
      settled: whether the level rests on more than this process's short lifetime.
      overflow: units of refill that did not fit.
      own_share: unused units of this node's share of the refill; negative after overuse.
    """

    level: float
    share: float
    updated_ms: int
    settled: bool
    spent: float = 0.0
    charged: float = 0.0
    overflow: float = 0.0
    own_share: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Overflow:
    """A bucket's overflow at a time."""

    units: float
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedBucket:
    """A bucket as reported by a coordinator.

    Attributes:
      level: units left, without this node's spending since its last report to the coordinator.
      share: the same for the nodes that the coordinator reaches.
    """

    level: float
    share: float
    settled: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLevel:
    """A workspace's level as reported by another node.

    Attributes:
      level: over all nodes.
      overdrawn: units by which the nodes reachable from it have less left than their share.
    """

    level: float
    overdrawn: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSpending:
    """A peer's report on one workspace: its spending since its start, and its level.

    Attributes:
      counted: portion of its spending that counts as charged at the first report; None: all.
      overdrawn: as in PeerLevel.
    """

    spent: float
    level: float
    settled: bool = True
    counted: float | None = None
    overdrawn: float = 0.0
