"""What a node keeps of a workspace's allotment, and what other nodes report of it."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Bucket:
    """One workspace's bucket as this node sees it.

    Attributes:
      level: units left of the whole fleet's allotment; negative after a large request.
      part: units left for the nodes that are heard; equals the level while all are.
      spent: units that this process admitted since its start.
      charged: units that were taken off the level, by whomever they were admitted.
      settled: whether the level rests on more than this process's own short life.
      spared: units by which it would have been refilled had it not been full.
      own: units of its share of the refill that this node has not used; negative after more.
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
    """What a bucket had spared at a time."""

    units: float
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedBucket:
    """A bucket as a coordinator told it, which sees all nodes' spending sooner.

    Attributes:
      level: units left, without what this node spent since the coordinator heard of it last.
      part: the same for the nodes that the coordinator hears.
    """

    level: float
    share: float
    settled: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLevel:
    """What another node believes to be left of a workspace's allotment.

    Attributes:
      level: over all nodes.
      overdrawn: units by which the nodes that it hears have less left than their share of that.
    """

    level: float
    overdrawn: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSpending:
    """What a peer says of one workspace: its own spending since its start, and its level.

    Attributes:
      counted: the part of its spending that counts as charged when it is heard for the first time;
        all of it if None.
      overdrawn: units by which the nodes that it hears have less left than their share.
    """

    spent: float
    level: float
    settled: bool = True
    counted: float | None = None
    overdrawn: float = 0.0
