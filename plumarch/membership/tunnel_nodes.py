"""Chooses the nodes that open tunnels to endpoints for this one."""

import dataclasses
import random
from collections.abc import Callable, Iterable

from plumarch.core import clock
from plumarch.membership import fleet_view, peer_node, tiers

MAX_CHOSEN = 8
"""Nodes that may be asked for one connect; those that are cut off decline at once."""

MAX_REPORTED = 4
"""Nodes of a data centre that a coordinator reports."""

MAX_FOR_MEMBERS = 8
"""Nodes of the fleet that a coordinator reports to its members."""

RETENTION_MS = 5_000
"""Time for which a reported list is used; some reports are lost."""

UNAVAILABLE_MS = 1_000
"""Time for which a node that opened no tunnel is asked last."""

RESPONSIVE_MS = 500
"""Time for which a node that opened a tunnel counts as responding."""

MEMBERS_LIST = ""
"""Key of the list for members; the others are by data centre."""


@dataclasses.dataclass(frozen=True, slots=True)
class TunnelNode:
    """A node that opens tunnels."""

    name: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedNodes:
    """A coordinator's list of nodes that open tunnels."""

    nodes: tuple[TunnelNode, ...]
    received_ms: int


@dataclasses.dataclass(slots=True)
class TunnelNodes:
    """The known nodes that open tunnels.

    Attributes:
      reported: coordinators' lists, by data centre or MEMBERS_LIST.
      unavailable_ms: when a node opened no tunnel, by address.
      opened_ms: when a node last opened a tunnel, by address.
    """

    clock: clock.Clock
    view: fleet_view.FleetView
    rng: random.Random
    is_in_region: Callable[[str], bool]
    reported: dict[str, ReportedNodes] = dataclasses.field(default_factory=dict)
    unavailable_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    opened_ms: dict[str, int] = dataclasses.field(default_factory=dict)

    def choose(self) -> list[str]:
        """Return addresses of nodes to ask, in this order: near ones, spread over all."""
        near: list[str] = []
        far: list[str] = []
        reported = self._addresses_reported()
        # Coordinators report to members only by lists, so their own state there is old.
        for peer in [] if MEMBERS_LIST in reported else self._live():
            (near if self.is_in_region(peer.data_centre) else far).append(peer.address)
        for name, addresses in reported.items():
            # A list for members holds distant nodes only if there are no others.
            is_near = name == MEMBERS_LIST or self.is_in_region(name)
            (near if is_near else far).extend(addresses)
        self.rng.shuffle(near)
        self.rng.shuffle(far)
        found = [one for one in dict.fromkeys(near + far) if one != self.view.address]
        oldest = self.clock.now() - UNAVAILABLE_MS
        found.sort(key=lambda one: self.unavailable_ms.get(one, 0) > oldest)
        return found[:MAX_CHOSEN]

    def _live(self) -> list[peer_node.Peer]:
        return [one for one in self.view.live() if one.opens_tunnels]

    def _addresses_reported(self) -> dict[str, list[str]]:
        is_member = self.view.role is tiers.Role.MEMBER
        oldest = self.clock.now() - RETENTION_MS
        return {
            name: [node.address for node in report.nodes]
            for name, report in self.reported.items()
            if report.received_ms >= oldest and (name == MEMBERS_LIST) is is_member
        }

    def note_unavailable(self, address: str) -> None:
        """Record that a node opened no tunnel."""
        self.unavailable_ms = self._with_recent(self.unavailable_ms, address, UNAVAILABLE_MS)
        self.opened_ms.pop(address, None)

    def note_opened(self, address: str) -> None:
        """Record that a node opened a tunnel."""
        self.opened_ms = self._with_recent(self.opened_ms, address, RESPONSIVE_MS)

    def _with_recent(self, known: dict[str, int], address: str, for_ms: int) -> dict[str, int]:
        """Return the recent times with that of an address set to now."""
        now = self.clock.now()
        return {one: at for one, at in known.items() if now - at < for_ms} | {address: now}

    def is_responsive(self, address: str) -> bool:
        """Return whether a node recently opened a tunnel."""
        opened_ms = self.opened_ms.get(address)
        return opened_ms is not None and self.clock.now() - opened_ms < RESPONSIVE_MS

    def apply_report(self, source: str, nodes: Iterable[TunnelNode]) -> None:
        """Apply a coordinator's list, unless it is empty: most messages hold none.

        Args:
          source: the data centre, or MEMBERS_LIST.
        """
        found = tuple(nodes)
        if found:
            self.reported[source] = ReportedNodes(found, self.clock.now())

    def in_own_centre(self, opens_tunnels: bool) -> list[TunnelNode]:
        """Return some nodes of the own data centre, for coordinators elsewhere.

        Args:
          opens_tunnels: whether this node does.
        """
        found = [
            TunnelNode(one.name, one.address)
            for one in self._live()
            if one.data_centre == self.view.data_centre
        ]
        if opens_tunnels:
            found.append(TunnelNode(self.view.node, self.view.address))
        return self.rng.sample(found, min(MAX_REPORTED, len(found)))

    def for_members(self, opens_tunnels: bool) -> list[TunnelNode]:
        """Return some nodes for the own data centre's members, distant ones only without others.

        Args:
          opens_tunnels: whether this node does.
        """
        near = self.in_own_centre(opens_tunnels)
        far: list[TunnelNode] = []
        oldest = self.clock.now() - RETENTION_MS
        for name, report in self.reported.items():
            if name != MEMBERS_LIST and report.received_ms >= oldest:
                (near if self.is_in_region(name) else far).extend(report.nodes)
        found = near or far
        return self.rng.sample(found, min(MAX_FOR_MEMBERS, len(found)))
