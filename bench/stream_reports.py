"""Cost of stream reports between nodes, on virtual time: python -m bench.stream_reports.

Streams begin at all nodes of a fleet before a service of two software versions; counted is what the
nodes send beyond a fleet without streams.
"""

import collections
import sys
from typing import Any, cast

import msgspec

from plumarch.core import traffic
from plumarch.peers import gossip
from plumarch.routing import stream_origins
from plumarch.standins import gossip_fleet

SIZES = {
    8: gossip_fleet.Size(3, 3, counts=(3, 3, 2)),
    195: gossip_fleet.Size(5, 39, regions=3),
}
STREAMS_PER_S = {8: 2.0, 195: 35.0}
"""Streams a second at each node: of small sites, and at 450 nodes with 16,000 a second."""

SETTLE_MS, MEASURED_MS, STEP_MS = 4_000, 5_000, 100
HEADER_BYTES = 28
"""IP and UDP headers of a datagram."""

VERSIONS = ("v1", "v2")
TAG = gossip.StreamReport.__struct_config__.tag


def endpoint(version: str) -> traffic.Endpoint:
    """Return an endpoint of a version."""
    ready = traffic.EndpointState.READY
    return traffic.Endpoint(version, "s", "10.0.0.1:80", "dc-a", 8, ready, version=version)


class CountingTransport(gossip_fleet.Transport):
    """Counts the bytes of a node's stream reports."""

    def __init__(self, fleet: gossip_fleet.GossipFleet, node: gossip_fleet.Node) -> None:
        super().__init__(fleet, node)
        self.sent: collections.Counter[str] = collections.Counter()

    def sendto(self, datagram: bytes, to: tuple[str, int]) -> None:
        """Send a datagram to an address."""
        if msgspec.msgpack.decode(datagram)[0] == TAG:
            self.sent["datagrams"] += 1
            self.sent["bytes"] += len(datagram) + HEADER_BYTES
        super().sendto(datagram, to)


def measure(nodes: int) -> None:
    """Print what a fleet of a size sends."""
    fleet = gossip_fleet.GossipFleet(SIZES[nodes], 1)
    transports = {}
    for node in fleet.live():
        node.state.registry.replace([endpoint(version) for version in VERSIONS], 1, "store")
        transports[node.name] = CountingTransport(fleet, node)
        node.gossip.transport = cast(Any, transports[node.name])
    fleet.run(SETTLE_MS)
    number = 0
    for _ in range(MEASURED_MS // STEP_MS):
        for node in fleet.live():
            expected = STREAMS_PER_S[nodes] * STEP_MS / 1000.0
            for _ in range(int(expected) + (fleet.rng.random() < expected % 1.0)):
                number += 1
                stream = stream_origins.Stream(fleet.rng.getrandbits(64), fleet.rng.getrandbits(64))
                node.state.streams.begin(stream, endpoint(VERSIONS[number % 2]), "chat")
        fleet.run(STEP_MS)
    by_role: dict[str, list[int]] = {}
    for node in fleet.live():
        by_role.setdefault(node.view.role.value, []).append(transports[node.name].sent["bytes"])
    seconds = MEASURED_MS / 1000.0
    for role, found in sorted(by_role.items()):
        mean, most = sum(found) / len(found) / seconds, max(found) / seconds
        print(f"{nodes} nodes, {role}: {mean:.0f} bytes/s sent in the mean, {most:.0f} at most")


def main() -> None:
    """Measure the sizes named on the command line, or all."""
    for nodes in [int(word) for word in sys.argv[1:]] or SIZES:
        measure(nodes)


if __name__ == "__main__":
    main()
