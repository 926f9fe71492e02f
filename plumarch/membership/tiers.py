"""Roles in a large fleet: the seniors of each data centre coordinate, the others are members.

Each node decides its role from its own view, without an election. Conflicting views only duplicate
or delay reports; safety does not depend on roles.
"""

import dataclasses
import enum
from collections.abc import Iterable, Mapping

FLAT_FLEET = 24
"""Maximum size of a fleet in which each node sends to each other one."""

COORDINATORS = 2
"""Coordinators of each data centre: one and a standby."""

SENIORS = 4
"""Number of seniors that members know, as replacements for unresponsive coordinators."""

RECENTLY_LOST_TIMEOUTS = 4
"""A node counts as recently lost for this many alive timeouts after its last message; later, a
peer's report that it is a senior is believed again."""


class Role(enum.Enum):
    """Role of a node."""

    FLAT = "flat"
    MEMBER = "member"
    COORDINATOR = "coordinator"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Seniority:
    """Ordering key of nodes: start time (time of day in ms), then name; lower is more senior."""

    incarnation: int
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Senior:
    """One of the longest-running live nodes of a data centre."""

    seniority: Seniority
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class CentreView:
    """The last summary of another data centre.

    Attributes:
      nodes: its size.
      reachable_nodes: how many of them are alive.
      seniors: the most senior first.
      token: the highest fencing token that one of its live nodes holds, or 0.
      candidate: the most senior of its live nodes that can take over the duties, or None.
      reported: the newest usage window known there to be reported.
      usage_age_ms: age of the oldest of its nodes' figures when the summary was sent.
      received_ms: by this node's clock.
      usage_reported_ms: as of when usage windows were reported, by window and this node's clock.
      senior_received_ms: when the last summary of its most senior coordinator arrived, by this
        node's clock; 0 if none did.
    """

    nodes: int
    reachable_nodes: int
    seniors: tuple[Senior, ...]
    token: int
    candidate: Seniority | None
    reported: int
    usage_age_ms: int
    received_ms: int
    usage_reported_ms: Mapping[int, int] = dataclasses.field(default_factory=dict)
    senior_received_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedFleetUpdate:
    """The last fleet update from a coordinator of the own data centre.

    Attributes:
      author: the coordinator that sent it.
      nodes: the size of the fleet.
      centre_nodes: the size of the own data centre.
      fraction: the reachable fraction of the fleet.
      seniors: of the own data centre, the most senior first.
      followers: names of the nodes of the own data centre that follow the store.
      received_ms: by this node's clock.
    """

    author: Seniority
    nodes: int
    centre_nodes: int
    fraction: float
    seniors: tuple[Senior, ...]
    followers: tuple[str, ...]
    received_ms: int


def role_of(
    mine: Seniority, nodes: int, seniorities: Iterable[Seniority], has_fresh_update: bool
) -> Role:
    """Return the role of a node.

    Args:
      mine: the node's own seniority.
      nodes: the size of the fleet.
      seniorities: those of live nodes of its data centre; less senior ones are ignored.
      has_fresh_update: whether it receives fleet updates.
    """
    if nodes <= FLAT_FLEET:
        return Role.FLAT
    if len([other for other in set(seniorities) if other < mine]) < COORDINATORS:
        return Role.COORDINATOR
    return Role.MEMBER if has_fresh_update else Role.FLAT
