"""Roles in a large fleet: each data centre's seniors coordinate, the others are members.

Each node decides its own role, without an election. Conflicting views only duplicate or delay
reports; safety does not depend on roles.
"""

import dataclasses
import enum
from collections.abc import Iterable, Mapping

FLAT_FLEET = 24
"""Maximum size of a fleet in which all nodes send to each other."""

COORDINATORS = 2
"""Coordinators per data centre: one and a standby."""

SENIORS = 4
"""Seniors that members know, as replacements for unresponsive coordinators."""

RECENTLY_LOST_TIMEOUTS = 4
"""Alive timeouts since its last message for which a lost node is not believed to be a senior."""


class Role(enum.Enum):
    """A node's role."""

    FLAT = "flat"
    MEMBER = "member"
    COORDINATOR = "coordinator"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Seniority:
    """Ordering key: start time (time of day in ms), then name; lower is more senior."""

    incarnation: int
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Senior:
    """One of the longest-running live nodes of a data centre."""

    seniority: Seniority
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class CentreView:
    """Another data centre's last summary.

    Attributes:
      reachable_nodes: those of `nodes` that are alive.
      seniors: most senior first.
      token: the highest fencing token of its live nodes, or 0.
      candidate: the most senior live node that can take over the duties, or None.
      reported: the newest usage window known there as reported.
      usage_age_ms: age of its nodes' oldest figures when the summary was sent.
      received_ms: by this node's clock.
      usage_reported_ms: report time by this node's clock, by window.
      senior_received_ms: by this node's clock, from its most senior coordinator; 0 if none.
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
    """The last fleet update of an own coordinator.

    Attributes:
      nodes: size of the fleet.
      centre_nodes: size of the own data centre.
      fraction: reachable fraction of the fleet.
      seniors: of the own data centre, most senior first.
      followers: nodes of the own data centre that follow the store.
      received_ms: by this node's clock.
      store_era: of the endpoints that the coordinator knows.
    """

    author: Seniority
    nodes: int
    centre_nodes: int
    fraction: float
    seniors: tuple[Senior, ...]
    followers: tuple[str, ...]
    received_ms: int
    store_era: int = 0


def role_of(
    mine: Seniority, nodes: int, seniorities: Iterable[Seniority], has_fresh_update: bool
) -> Role:
    """Return a node's role.

    Args:
      mine: its seniority.
      nodes: size of the fleet.
      seniorities: of live nodes in its data centre; less senior ones are ignored.
      has_fresh_update: whether it receives fleet updates.
    """
    if nodes <= FLAT_FLEET:
        return Role.FLAT
    if len([other for other in set(seniorities) if other < mine]) < COORDINATORS:
        return Role.COORDINATOR
    return Role.MEMBER if has_fresh_update else Role.FLAT
