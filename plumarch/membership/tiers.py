"""Who coordinates in a large fleet, as each node believes it.

In a small fleet each node tells each other one all it knows. In a large one that makes every belief
old and costs each node a datagram from each other node for each round of news. There the oldest
live nodes of each data centre are its coordinators: the others (members) tell their news to them,
coordinators exchange sums between data centres, and members get the sums of the whole fleet.

Nothing is elected or agreed. Each node decides for itself by whom it hears, and two beliefs at
once only mean that figures are told twice or a little later: safety rests on none of it.
"""

import dataclasses
import enum
from collections.abc import Iterable, Mapping

FLAT_FLEET = 24
"""Up to this many nodes, each tells each other one. At that size a node sends and takes in some
hundred heartbeats a second, as a coordinator of 24 nodes would."""

COORDINATORS = 2
"""Coordinators of each data centre: one, and one in its place at once."""

SENIORS = 4
"""How many of a data centre's oldest nodes its members know, for when coordinators fall silent."""

RECENTLY_LOST_TIMEOUTS = 4
"""A node counts as one that fell silent until it was silent for this many times the time for which
it counts as heard; longer ago it was just not one to be heard."""


class Role(enum.Enum):
    """What a node is to the others."""

    FLAT = "flat"
    MEMBER = "member"
    COORDINATOR = "coordinator"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Seniority:
    """What nodes are ordered by: the time of day of their start in ms, then their name."""

    incarnation: int
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Senior:
    """One of the oldest live nodes of a data centre."""

    seniority: Seniority
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class CentreView:
    """What the coordinators of another data centre told last.

    Attributes:
      nodes: how many nodes there may be.
      reachable_nodes: how many of them they hear.
      seniors: its oldest live nodes, the oldest first.
      token: the highest fencing token that one of its live nodes holds, or 0.
      candidate: the oldest of its live nodes that could take the duties over, or None.
      reported: the newest usage window reported, as far as known there.
      usage_age_ms: how old the oldest of its nodes' news was when it was told.
      received_ms: when it was told, by this node's clock.
      usage_reported_ms: as of when usage windows were told, by this node's clock and by window.
      senior_received_ms: when its oldest coordinator told, by this node's clock; 0 if it never did.
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
    """What a coordinator of the own data centre told its members last.

    Attributes:
      author: the coordinator that told it.
      nodes: how many nodes there may be in the fleet.
      centre_nodes: how many of them are in the own data centre.
      fraction: the part of them that the author hears or is told to be heard.
      seniors: the oldest live nodes of the own data centre, the oldest first.
      followers: names of those of its nodes that follow the store.
      received_ms: when it was told, by this node's clock.
    """

    author: Seniority
    nodes: int
    centre_nodes: int
    fraction: float
    seniors: tuple[Senior, ...]
    followers: tuple[str, ...]
    received_ms: int


def role_of(
    mine: Seniority, nodes: int, older: Iterable[Seniority], has_fresh_update: bool
) -> Role:
    """Return what a node is.

    Args:
      mine: the node's own age.
      nodes: how many nodes there may be in the fleet.
      older: live nodes of its data centre that are known to it; younger ones are passed over.
      has_fresh_update: whether a coordinator's news reaches it.
    """
    if nodes <= FLAT_FLEET:
        return Role.FLAT
    if len([age for age in set(older) if age < mine]) < COORDINATORS:
        return Role.COORDINATOR
    return Role.MEMBER if has_fresh_update else Role.FLAT
