"""Simulated fleet of gossiping nodes on virtual time."""

import dataclasses
import heapq
import random
from collections.abc import Callable, Mapping
from typing import Any, cast

from plumarch.config import routing_table
from plumarch.core import addresses, clock, traffic
from plumarch.gateway.gossip import gossiper, heartbeats, rounds
from plumarch.membership import fleet_view, tiers
from plumarch.routing import distance
from plumarch.standins import gateway_parts

START_MS = 1_700_000_000_000
PORT = 7600
CENTRE_LATENCY_MS = 1
CROSS_CENTRE_LATENCY_MS = 2
REGION_LATENCY_MS = 30
"""One-way latency between regions."""


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """A fleet to build.

    Attributes:
      counts: nodes of each data centre; if empty, each has nodes_each.
      regions: data centres are assigned to this many regions in turn; with 1, none is named.
    """

    data_centres: int
    nodes_each: int
    workspaces: int = 3
    rate: float = 1_000.0
    burst: float = 2_000.0
    counts: tuple[int, ...] = ()
    regions: int = 1

    def node_locations(self) -> list[tuple[int, str]]:
        """Return the number and the data centre of each node."""
        counts = self.counts or (self.nodes_each,) * self.data_centres
        return [
            (number, name_of(centre))
            for centre, count in enumerate(counts)
            for number in range(count)
        ]

    def region_names(self) -> dict[str, str]:
        """Return the region of each data centre, or an empty dict for a single region."""
        if self.regions == 1:
            return {}
        count = len(self.counts) or self.data_centres
        return {name_of(centre): f"region-{centre % self.regions}" for centre in range(count)}


@dataclasses.dataclass(frozen=True, slots=True)
class Starts:
    """Seeds and start times of the nodes.

    Attributes:
      seeds: seed addresses; by default the first two nodes of the first data centre.
      seeds_of: seed addresses that replace `seeds` in some data centres.
      within_ms: interval over which starts are spread at random.
      late: additional start delay in ms, by node name.
    """

    seeds: tuple[str, ...] = ()
    seeds_of: Mapping[str, tuple[str, ...]] = dataclasses.field(default_factory=dict)
    within_ms: int = 0
    late: Mapping[str, int] = dataclasses.field(default_factory=dict)


SIMULTANEOUS = Starts()


class Transport:
    """Datagram transport of one node into the simulated network."""

    def __init__(self, fleet: "GossipFleet", node: "Node") -> None:
        self.fleet = fleet
        self.node = node

    def sendto(self, datagram: bytes, to: tuple[str, int]) -> None:
        """Send a datagram to an address."""
        self.fleet.carry(self.node, datagram, f"{to[0]}:{to[1]}")

    def close(self) -> None:
        """Do nothing."""


def name_of(centre: int) -> str:
    """Return the name of the data centre with a number."""
    return f"dc-{chr(ord('a') + centre)}"


def address_of(number: int, data_centre: str) -> str:
    """Return the peer address of a node."""
    return f"10.{ord(data_centre[-1])}.{number}.1:{PORT}"


class Node:
    """One process of a node; a restart creates another under the same name."""

    def __init__(self, fleet: "GossipFleet", number: int, data_centre: str, seeds: Any) -> None:
        self.name = f"{data_centre}-{number}"
        self.address = address_of(number, data_centre)
        self.data_centre = data_centre
        self.number = number
        self.alive = True
        self.frozen = False
        self.undelivered: list[tuple[bytes, str]] = []
        state = gateway_parts.new_state(fleet.time, self.name)
        state.data_centre = data_centre
        state.chooser.data_centre = data_centre
        state.distances = distance.Distances(fleet.time, data_centre, fleet.regions)
        state.chooser.distances = state.distances
        incarnation = fleet.time.now() + number % 7
        view = fleet_view.FleetView(fleet.time, self.name, incarnation, self.address, data_centre)
        self.state = state
        self.view = view
        self.gossip = gossiper.Gossiper(state, view, heartbeats.DutyStatus(), seeds)
        self.gossip.transport = cast(Any, Transport(fleet, self))
        self.gossip.learn_seeds(seeds)
        self.fetched: list[str] = []
        cast(Any, self.gossip.snapshots).fetch_from = self.fetched.append
        cast(Any, self.gossip).send_heartbeat_soon = lambda: fleet.send_heartbeat_soon(self)
        self.heartbeat_scheduled = False
        self.gossip_round: Callable[[], None] = self.gossip.step_round
        state.adopt_table(fleet.table, "store")


class GossipFleet:
    """Nodes, the network between them, and injected faults.

    Attributes:
      late_ms: maximum additional delay of a datagram.
      cut: returns whether two nodes are partitioned.
      datagrams: number sent, by whether they left the data centre.
      bytes: bytes sent, by whether they left the data centre.
    """

    def __init__(
        self, size: Size, seed: int = 1, knows_all: bool = True, starts: Starts = SIMULTANEOUS
    ) -> None:
        """Start all nodes.

        Args:
          knows_all: whether a node knows those started before it, not just the seeds.
        """
        self.time = clock.ManualClock(START_MS)
        self.rng = random.Random(seed)
        self.table = table_of(size)
        self.loss_fraction = 0.0
        self.duplicate_fraction = 0.0
        self.late_ms = 0
        self.cut: Callable[[Node, Node], bool] = lambda one, other: False
        self.queue: list[tuple[float, int, Callable[[], object]]] = []
        self.count = 0
        self.datagrams = {True: 0, False: 0}
        self.bytes = {True: 0, False: 0}
        self.region_bytes = 0
        self.regions = size.region_names()
        self.nodes: dict[str, Node] = {}
        self.by_address: dict[str, Node] = {}
        self.starts = starts
        self.seeds = starts.seeds or (address_of(0, "dc-a"), address_of(1, "dc-a"))
        for number, data_centre in size.node_locations():
            after_ms = starts.late.get(f"{data_centre}-{number}", 0)
            if starts.within_ms:
                after_ms += self.rng.randrange(starts.within_ms)
            if after_ms:
                self._start_later(number, data_centre, after_ms, knows_all)
            else:
                self.start(number, data_centre, knows_all)

    def _start_later(self, number: int, data_centre: str, after_ms: int, knows_all: bool) -> None:
        self.schedule(after_ms, lambda: self.start(number, data_centre, knows_all))

    def start(self, number: int, data_centre: str, knows_all: bool = True) -> Node:
        """Start a node, replacing a former process of the same name."""
        node = Node(self, number, data_centre, self.starts.seeds_of.get(data_centre, self.seeds))
        before = self.nodes.get(node.name)
        if before is not None:
            before.alive = False
        if knows_all:
            for other in self.nodes.values():
                node.view.learn(other.name, other.address, other.data_centre)
        self.nodes[node.name] = node
        self.by_address[node.address] = node
        self.schedule(self.rng.uniform(0, 50), lambda: self._tick(node))
        self.schedule(self.rng.uniform(0, 50), lambda: self._round(node))
        return node

    def schedule(self, after_ms: float, act: Callable[[], object]) -> None:
        """Schedule a callback after a delay."""
        self.count += 1
        heapq.heappush(self.queue, (self.time.now() + after_ms, self.count, act))

    def _tick(self, node: Node) -> None:
        if not node.alive:
            return
        if not node.frozen:
            node.gossip.tick()
        self.schedule(node.gossip.interval_ms(), lambda: self._tick(node))

    def send_heartbeat_soon(self, node: Node) -> None:
        """Schedule a heartbeat of a node without delay."""
        if node.heartbeat_scheduled:
            return
        node.heartbeat_scheduled = True
        self.schedule(0, lambda: self._send_heartbeat(node))

    def _send_heartbeat(self, node: Node) -> None:
        node.heartbeat_scheduled = False
        if node.alive and not node.frozen:
            node.gossip.tick()

    def _round(self, node: Node) -> None:
        if not node.alive:
            return
        if not node.frozen:
            node.gossip_round()
        self.schedule(rounds.ROUND_INTERVAL_MS, lambda: self._round(node))

    def carry(self, sender: Node, datagram: bytes, address: str) -> None:
        """Deliver a datagram after the network latency, subject to injected faults."""
        found = self.by_address.get(address)
        leaves_centre = found is None or found.data_centre != sender.data_centre
        self.datagrams[leaves_centre] += 1
        self.bytes[leaves_centre] += len(datagram)
        if found is None:
            return
        leaves_region = self.region_of(found) != self.region_of(sender)
        self.region_bytes += len(datagram) * leaves_region
        if self.cut(sender, found) or self.rng.random() < self.loss_fraction:
            return
        network_ms = (
            REGION_LATENCY_MS
            if leaves_region
            else CROSS_CENTRE_LATENCY_MS
            if leaves_centre
            else CENTRE_LATENCY_MS
        )
        for _ in range(1 + (self.rng.random() < self.duplicate_fraction)):
            self.schedule(
                network_ms + self.rng.uniform(0, self.late_ms),
                lambda: self._arrive(found, datagram, sender.address),
            )

    def region_of(self, node: Node) -> str:
        """Return the region of a node, or "" in a fleet of one region."""
        return self.regions.get(node.data_centre, "")

    def _arrive(self, node: Node, datagram: bytes, sender: str) -> None:
        if not node.alive:
            return
        if node.frozen:
            node.undelivered.append((datagram, sender))
            return
        node.gossip.datagram_received(datagram, addresses.split(sender))

    def thaw(self, node: Node) -> None:
        """Resume a frozen process and deliver the datagrams received meanwhile."""
        node.frozen = False
        for datagram, sender in node.undelivered:
            node.gossip.datagram_received(datagram, addresses.split(sender))
        node.undelivered.clear()

    def run(self, for_ms: float) -> None:
        """Advance virtual time and run what is due."""
        end = self.time.now() + for_ms
        while self.queue and self.queue[0][0] <= end:
            at, _, act = heapq.heappop(self.queue)
            self.time.advance_to(round(at))
            act()
        self.time.advance_to(round(end))

    def live(self) -> list[Node]:
        """Return the running nodes."""
        return [node for node in self.nodes.values() if node.alive]

    def with_role(self, role: tiers.Role) -> list[Node]:
        """Return the live nodes that hold a role in their own view."""
        return [node for node in self.live() if node.view.role is role]


def table_of(size: Size) -> routing_table.RoutingTable:
    """Build a routing table with the workspaces and rates of a size."""
    spaces = tuple(
        traffic.Workspace(f"w{number}", (f"k{number}",), rate=size.rate, burst=size.burst)
        for number in range(size.workspaces)
    )
    return routing_table.build(
        routing_table.Configuration(1, (), (), spaces, traffic.CallerLimits())
    )
