"""A fleet of gossipers on virtual time, joined by a network that loses, delays and cuts."""

import dataclasses
import heapq
import random
from collections.abc import Callable
from typing import Any, cast

from plumarch.config import routing_table
from plumarch.core import addresses, clock, traffic
from plumarch.gateway import gossiper, heartbeats, rounds
from plumarch.membership import fleet_view, tiers
from plumarch.standins import gateway_parts

START_MS = 1_700_000_000_000
PORT = 7600
NEAR_MS = 1
FAR_MS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """A fleet to build."""

    data_centres: int
    nodes_each: int
    workspaces: int = 3
    rate: float = 1_000.0
    burst: float = 2_000.0


class Transport:
    """Where one node's datagrams go."""

    def __init__(self, fleet: "GossipFleet", node: "Node") -> None:
        self.fleet = fleet
        self.node = node

    def sendto(self, datagram: bytes, to: tuple[str, int]) -> None:
        """Send a datagram."""
        self.fleet.carry(self.node, datagram, f"{to[0]}:{to[1]}")

    def close(self) -> None:
        """Do nothing."""


class Node:
    """One process; a restart makes a new one under the same name."""

    def __init__(self, fleet: "GossipFleet", number: int, data_centre: str, seeds: Any) -> None:
        self.name = f"{data_centre}-{number}"
        self.address = f"10.{ord(data_centre[-1])}.{number}.1:{PORT}"
        self.data_centre = data_centre
        self.number = number
        self.alive = True
        self.frozen = False
        self.held: list[tuple[bytes, str]] = []
        state = gateway_parts.new_state(fleet.time, self.name)
        state.data_centre = data_centre
        state.chooser.data_centre = data_centre
        state.distances.own = data_centre
        incarnation = fleet.time.now() + number % 7
        view = fleet_view.FleetView(fleet.time, self.name, incarnation, self.address, data_centre)
        self.state = state
        self.view = view
        self.gossip = gossiper.Gossiper(state, view, heartbeats.DutyStatus(), seeds)
        self.gossip.transport = cast(Any, Transport(fleet, self))
        self.gossip.learn_seeds(seeds)
        self.fetched: list[str] = []
        cast(Any, self.gossip.snapshots).fetch_from = self.fetched.append
        cast(Any, self.gossip).beat_soon = lambda: fleet.beat_soon(self)
        self.asked_to_beat = False
        self.tell_round: Callable[[], None] = self.gossip.rounds.step
        state.adopt_table(fleet.table, "store")


class GossipFleet:
    """Nodes, the network between them, and what may go wrong.

    Attributes:
      lose: part of all datagrams that is lost.
      double: part of them that arrives twice.
      late_ms: the longest further delay of a datagram.
      cut: says whether datagrams between two nodes are lost now.
      sent: datagrams and bytes sent, by whether they left the data centre.
    """

    def __init__(self, size: Size, seed: int = 1, knows_all: bool = True) -> None:
        """Start all nodes at once.

        Args:
          knows_all: whether the store tells each node who started before it; otherwise all that
            they know are the seeds.
        """
        self.time = clock.ManualClock(START_MS)
        self.rng = random.Random(seed)
        self.table = table_of(size)
        self.lose = 0.0
        self.double = 0.0
        self.late_ms = 0
        self.cut: Callable[[Node, Node], bool] = lambda one, other: False
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.datagrams = {True: 0, False: 0}
        self.bytes = {True: 0, False: 0}
        self.nodes: dict[str, Node] = {}
        self.seeds = (f"10.{ord('a')}.0.1:{PORT}", f"10.{ord('a')}.1.1:{PORT}")
        for centre in range(size.data_centres):
            for number in range(size.nodes_each):
                self.start(number, f"dc-{chr(ord('a') + centre)}", knows_all)

    def start(self, number: int, data_centre: str, knows_all: bool = True) -> Node:
        """Start a process, in place of one that bore the name before.

        Args:
          knows_all: whether the store tells it who there is.
        """
        node = Node(self, number, data_centre, self.seeds)
        before = self.nodes.get(node.name)
        if before is not None:
            before.alive = False
        if knows_all:
            for other in self.nodes.values():
                node.view.learn(other.name, other.address, other.data_centre)
        self.nodes[node.name] = node
        self._schedule(self.rng.uniform(0, 50), lambda: self._beat(node))
        self._schedule(self.rng.uniform(0, 50), lambda: self._round(node))
        return node

    def _schedule(self, after_ms: float, act: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.queue, (self.time.now() + after_ms, self.count, act))

    def _beat(self, node: Node) -> None:
        if not node.alive:
            return
        if not node.frozen:
            node.gossip.tick()
        self._schedule(node.gossip.interval_ms(), lambda: self._beat(node))

    def beat_soon(self, node: Node) -> None:
        """Let a node send its next heartbeat at once."""
        if node.asked_to_beat:
            return
        node.asked_to_beat = True
        self._schedule(0, lambda: self._beat_now(node))

    def _beat_now(self, node: Node) -> None:
        node.asked_to_beat = False
        if node.alive and not node.frozen:
            node.gossip.tick()

    def _round(self, node: Node) -> None:
        if not node.alive:
            return
        if not node.frozen:
            node.tell_round()
        self._schedule(rounds.NEWS_MS, lambda: self._round(node))

    def carry(self, sender: Node, datagram: bytes, address: str) -> None:
        """Carry a datagram to where it is sent, unless something is in its way."""
        found = [one for one in self.nodes.values() if one.address == address]
        far = not found or found[0].data_centre != sender.data_centre
        self.datagrams[far] += 1
        self.bytes[far] += len(datagram)
        if not found or self.cut(sender, found[0]) or self.rng.random() < self.lose:
            return
        for _ in range(1 + (self.rng.random() < self.double)):
            delay = (FAR_MS if far else NEAR_MS) + self.rng.uniform(0, self.late_ms)
            self._schedule(delay, lambda: self._arrive(found[0], datagram, sender.address))

    def _arrive(self, node: Node, datagram: bytes, sender: str) -> None:
        if not node.alive:
            return
        if node.frozen:
            node.held.append((datagram, sender))
            return
        node.gossip.datagram_received(datagram, addresses.split(sender))

    def thaw(self, node: Node) -> None:
        """Let a frozen process go on; what arrived meanwhile is taken in first."""
        node.frozen = False
        for datagram, sender in node.held:
            node.gossip.datagram_received(datagram, addresses.split(sender))
        node.held.clear()

    def run(self, for_ms: float) -> None:
        """Let time pass."""
        end = self.time.now() + for_ms
        while self.queue and self.queue[0][0] <= end:
            at, _, act = heapq.heappop(self.queue)
            self.time.advance_to(round(at))
            act()
        self.time.advance_to(round(end))

    def live(self) -> list[Node]:
        """Return the processes that run."""
        return [node for node in self.nodes.values() if node.alive]

    def with_role(self, role: tiers.Role) -> list[Node]:
        """Return the live nodes that believe to have a role."""
        return [node for node in self.live() if node.view.role is role]


def table_of(size: Size) -> routing_table.RoutingTable:
    """Return a configuration with workspaces of a rate each."""
    spaces = tuple(
        traffic.Workspace(f"w{number}", (f"k{number}",), rate=size.rate, burst=size.burst)
        for number in range(size.workspaces)
    )
    return routing_table.build(
        routing_table.Configuration(1, (), (), spaces, traffic.CallerLimits())
    )
