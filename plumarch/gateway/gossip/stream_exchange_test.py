"""Fleets on virtual time: nodes know at which software version a stream began elsewhere."""

from plumarch.core import traffic
from plumarch.routing import stream_origins
from plumarch.standins import gossip_fleet

SMALL = gossip_fleet.Size(3, 3, counts=(3, 3, 2))
LARGE = gossip_fleet.Size(6, 33, counts=(33, 33, 33, 32, 32, 32), regions=3)

SETTLE_MS = 4_000
ANSWER_MS = 150
"""Time that a resumption waits for other nodes."""

VERSIONS = ("v1", "v2")


def endpoint(version: str) -> traffic.Endpoint:
    return traffic.Endpoint(
        f"e-{version}",
        "s",
        "10.0.0.1:80",
        "dc-a",
        8,
        traffic.EndpointState.READY,
        version=version,
    )


class Fleet(gossip_fleet.GossipFleet):
    """A fleet before a service whose endpoints run two software versions."""

    def __init__(self, size: gossip_fleet.Size, seed: int) -> None:
        super().__init__(size, seed)
        for node in self.nodes.values():
            self.list_endpoints(node)
        self.run(SETTLE_MS)

    def list_endpoints(self, node: gossip_fleet.Node) -> None:
        node.state.registry.replace([endpoint(version) for version in VERSIONS], 1, "store")

    def begin(self, node: gossip_fleet.Node, number: int) -> stream_origins.Stream:
        """Relay the first event of a stream at a node."""
        stream = stream_origins.Stream(2 * number + 1, 2 * number + 2)
        node.state.streams.begin(stream, endpoint(VERSIONS[number % 2]))
        return stream

    def origin(
        self, node: gossip_fleet.Node, stream: stream_origins.Stream
    ) -> stream_origins.Origin | None:
        """Return where a stream began, as a node finds out within the time of a resumption."""
        if node.state.streams.find(stream) is None and node.state.ask_origin is not None:
            node.state.ask_origin(stream, "s")
            self.run(ANSWER_MS)
        known = node.state.streams.find(stream)
        return known.origin if known is not None else None


def expected(number: int) -> stream_origins.Origin:
    return stream_origins.Origin("s", VERSIONS[number % 2])


def test_a_stream_is_known_at_all_nodes_after_its_own_was_killed():
    fleet = Fleet(SMALL, seed=1)
    for name in list(fleet.nodes):
        number = len(name) * 1_000 + ord(name[3]) * 10 + int(name[-1])
        began = fleet.nodes[name]
        stream = fleet.begin(began, number)
        fleet.run(150)
        began.alive = False
        for node in fleet.live():
            assert fleet.origin(node, stream) == expected(number)
        fleet.list_endpoints(fleet.start(began.number, began.data_centre))
        fleet.run(SETTLE_MS)
