"""Simulated fleet that sends to endpoints while faults are injected."""

import random

from plumarch.core import traffic
from plumarch.membership import tiers
from plumarch.standins import gossip_fleet

JOIN_MS = 3_000
"""Time in which the nodes of a new fleet find each other."""


class FaultSession:
    """A fleet, its endpoints, and the faults of its nodes.

    Attributes:
      fault_ms: when a node last had a fault, by name.
    """

    def __init__(
        self, size: gossip_fleet.Size, seed: int, endpoints: list[traffic.Endpoint]
    ) -> None:
        self.fleet = gossip_fleet.GossipFleet(size, seed)
        self.rng = random.Random(seed)
        self.endpoints = endpoints
        self.fault_ms: dict[str, int] = {}
        self.fleet.run(JOIN_MS)
        for node in self.fleet.live():
            self.list_endpoints(node)

    def list_endpoints(self, node: gossip_fleet.Node) -> None:
        """Have a node know the endpoints."""
        node.state.registry.replace(self.endpoints, 1, "store")

    def mark_faulty(self, nodes: list[gossip_fleet.Node]) -> None:
        """Record that nodes have a fault now."""
        now = self.fleet.time.now()
        self.fault_ms |= {node.name: now for node in nodes}

    def restart(self, node: gossip_fleet.Node) -> gossip_fleet.Node:
        """Kill a node's process and start another one."""
        self.mark_faulty([node])
        started = self.fleet.start(node.number, node.data_centre)
        self.list_endpoints(started)
        return started

    def cut(self, data_centre: str) -> None:
        """Partition a data centre from the others."""
        self.fleet.cut = lambda one, other: (
            (one.data_centre == data_centre) != (other.data_centre == data_centre)
        )

    def is_cut(self, node: gossip_fleet.Node) -> bool:
        """Return whether a node is partitioned from any other."""
        return any(self.fleet.cut(node, other) for other in self.fleet.live())

    def heal(self) -> None:
        """End all faults of the network, and resume frozen nodes."""
        self.fleet.cut = lambda one, other: False
        self.fleet.loss_fraction, self.fleet.late_ms = 0.0, 0
        for node in self.fleet.live():
            if node.frozen:
                self.mark_faulty([node])
                self.fleet.thaw(node)

    def inject(self, kind: str, pick: int) -> None:
        """Inject one fault, or heal; other kinds are left to the test.

        Args:
          pick: selects the nodes.
        """
        fleet, nodes = self.fleet, self.fleet.live()
        node = nodes[pick % len(nodes)]
        if kind == "cut":
            self.cut(node.data_centre)
        elif kind == "cut node":
            fleet.cut = lambda one, other: node in (one, other)
        elif kind == "kill one":
            found = fleet.with_role(tiers.Role.COORDINATOR) or nodes
            self.restart(found[pick % len(found)])
        elif kind == "kill some":
            for other in nodes[pick % 3 :: 3]:
                self.restart(other)
        elif kind == "freeze":
            node.frozen = True
        elif kind == "lose":
            fleet.loss_fraction, fleet.late_ms = 0.1, 100
        elif kind == "heal":
            self.heal()
