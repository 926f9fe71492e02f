"""Fleets on virtual time: nodes know at which software version a stream began elsewhere."""

import collections
import dataclasses
import random
from collections.abc import Iterable
from typing import Any, cast

import msgspec
import pytest

from plumarch.config import routing_table
from plumarch.core import traffic
from plumarch.gateway.gossip import stream_exchange
from plumarch.peers import gossip
from plumarch.routing import stream_origins
from plumarch.standins import gossip_fleet

SMALL = gossip_fleet.Size(3, 3, counts=(3, 3, 2))
MEDIUM = gossip_fleet.Size(3, 6, counts=(6, 6, 6))
LARGE = gossip_fleet.Size(6, 33, counts=(33, 33, 33, 32, 32, 32), regions=3)

SETTLE_MS = 4_000
ANSWER_MS = 150
"""Time that a resumption waits for other nodes."""

VERSIONS = ("v1", "v2")
SPLIT = ("s", "t")
"""Services between which a route is split."""


def route(name: str, *services: str) -> traffic.Route:
    shares = tuple(traffic.ServiceShare(one, 1.0) for one in services)
    kind = traffic.RouteKind.STREAMING
    return traffic.Route(name, "h", f"/{name}/", kind, 15_000, 500, shares, resumable=True)


TABLE = routing_table.build(
    routing_table.Configuration(
        2, (route("chat", "s"), route("split", *SPLIT)), (), (), traffic.CallerLimits()
    )
)


def endpoint(version: str, service: str = "s") -> traffic.Endpoint:
    return traffic.Endpoint(
        f"e-{service}-{version}",
        service,
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
        node.state.adopt_table(TABLE, "store")
        node.state.registry.replace([endpoint(version) for version in VERSIONS], 1, "store")

    def begin(self, node: gossip_fleet.Node, number: int) -> stream_origins.Stream:
        """Relay the first event of a stream at a node."""
        stream = stream_origins.Stream(2 * number + 1, 2 * number + 2)
        node.state.streams.begin(stream, endpoint(VERSIONS[number % 2]), "chat")
        return stream

    def origin(
        self, node: gossip_fleet.Node, stream: stream_origins.Stream, route: str = "chat"
    ) -> stream_origins.Origin | None:
        """Return where a stream began, as a node finds out within the time of a resumption."""
        if node.state.streams.find(stream) is None and node.state.ask_origin is not None:
            node.state.ask_origin(stream, "s", route)
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


def test_streams_of_a_split_route_are_known_after_their_node_was_killed():
    """Each service had one version, so they were not reported; nor can a split be deduced."""
    fleet = Fleet(SMALL, seed=1)
    for number in range(2 * stream_origins.MIN_RETENTION_MS // 1_000):
        fleet.run(1_000)
        for node in fleet.live():
            listed = [endpoint("v1", service) for service in SPLIT]
            node.state.registry.replace(listed, 2 + number, "store")
    began = fleet.live()[0]
    streams = {}
    for number in range(20):
        stream = stream_origins.Stream(2 * number + 1, 2 * number + 2)
        service = SPLIT[number % 2]
        began.state.streams.begin(stream, endpoint("v1", service), "split")
        streams[stream] = stream_origins.Origin(service, "v1")
    fleet.run(150)
    began.alive = False
    taker = fleet.live()[-1]
    assert {one: fleet.origin(taker, one, "split") for one in streams} == streams


@pytest.mark.parametrize("seed", range(3))
def test_streams_of_a_killed_data_centre_are_known_in_the_others(seed: int):
    fleet = Fleet(LARGE, seed)
    killed = [node for node in fleet.live() if node.data_centre == "dc-c"]
    streams = {number: fleet.begin(node, number) for number, node in enumerate(killed)}
    fleet.run(400)
    for node in killed:
        node.alive = False
    for node in fleet.rng.sample(fleet.live(), 12):
        for stream in streams.values():
            assert node.state.ask_origin is not None
            node.state.ask_origin(stream, "s", "chat")
        fleet.run(ANSWER_MS)
        found = {number: fleet.origin(node, stream) for number, stream in streams.items()}
        assert found == {number: expected(number) for number in streams}


@dataclasses.dataclass(frozen=True)
class Trouble:
    """What happens beside the kills of nodes that relay streams.

    Attributes:
      kills: probability for each stream that another node is killed with its own.
      losses: fractions of datagrams lost, one is drawn.
      late_ms: additional delays of datagrams, one is drawn.
      cuts: probability for each stream that the own node is cut off instead of killed.
    """

    kills: float = 0.0
    losses: tuple[float, ...] = (0.0,)
    late_ms: tuple[int, ...] = (0,)
    cuts: float = 0.0


CALM = Trouble()
TROUBLED = Trouble(kills=0.2, losses=(0.0, 0.05), late_ms=(0, 40), cuts=0.2)


def found_fraction(size: gossip_fleet.Size, seed: int, trouble: Trouble, streams: int) -> float:
    """Return the fraction of streams whose origin is found at a random other node.

    Streams begin at random nodes, three in ten of which are killed or cut off, and are resumed
    right after that.
    """
    fleet = Fleet(size, seed)
    rng = random.Random(seed)
    fleet.loss_fraction = rng.choice(trouble.losses)
    fleet.late_ms = rng.choice(trouble.late_ms)
    found = 0
    for number in range(streams):
        began = rng.choice(fleet.live())
        stream = fleet.begin(began, number)
        fleet.run(rng.uniform(150, 400))
        if rng.random() < trouble.cuts:
            fleet.cut = lambda one, other, apart=began: apart in (one, other)
        elif rng.random() < 0.3:
            began.alive = False
        if rng.random() < trouble.kills and len(fleet.live()) > len(fleet.nodes) / 2:
            rng.choice(fleet.live()).alive = False
        taker = rng.choice([node for node in fleet.live() if node is not began])
        origin = fleet.origin(taker, stream)
        assert origin in (None, expected(number))
        found += origin is not None
        fleet.cut = lambda one, other: False
        for node in list(fleet.nodes.values()):
            if not node.alive and rng.random() < 0.5:
                fleet.list_endpoints(fleet.start(node.number, node.data_centre))
    return found / streams


@pytest.mark.parametrize("seed", [174, *range(20)])
def test_no_stream_has_two_versions_while_nodes_are_killed_cut_and_lose_datagrams(seed: int):
    assert found_fraction(SMALL, seed, TROUBLED, streams=60) >= 0.9


@pytest.mark.parametrize("seed", [101, *range(5)])
def test_nearly_all_streams_go_on_where_only_their_own_nodes_are_killed(seed: int):
    assert found_fraction(SMALL, seed, CALM, streams=60) >= 0.98


def test_streams_of_a_large_fleet_go_on_while_nodes_are_killed_and_cut():
    assert found_fraction(LARGE, 1, TROUBLED, streams=20) >= 0.9


@pytest.mark.parametrize("size", [SMALL, MEDIUM])
def test_a_node_that_is_cut_off_does_not_conclude_that_there_is_one_version(
    size: gossip_fleet.Size,
):
    """Other nodes may use endpoints of a version that it has never been sent."""
    fleet = Fleet(size, seed=1)
    node = fleet.live()[-1]
    fleet.cut = lambda one, other: node in (one, other)
    node.state.registry.replace([endpoint("v1")], 2, "store")
    fleet.run(2 * node.state.streams.retention_ms)
    node.state.registry.replace([endpoint("v1")], 3, "store")
    assert node.state.sole_version("s") == "v1"
    node.state.reaches_store = False
    assert node.state.sole_version("s") is None
    node.state.reaches_store = True
    fleet.run(stream_exchange.SHARED_REGISTRY_AGE_MS + 1)
    assert node.state.sole_version("s") is None


class RecordingTransport(gossip_fleet.Transport):
    """Counts the kinds of datagrams that a node sends, and can stand for an earlier build's."""

    def __init__(self, fleet: gossip_fleet.GossipFleet, node: gossip_fleet.Node, newest_tag: int):
        super().__init__(fleet, node)
        self.newest_tag = newest_tag
        self.tags: collections.Counter[int] = collections.Counter()

    def sendto(self, datagram: bytes, to: tuple[str, int]) -> None:
        tag, *fields = msgspec.msgpack.decode(datagram)
        if tag > self.newest_tag:
            return
        if tag == gossip.Heartbeat.__struct_config__.tag:
            fields[gossip.Heartbeat.__struct_fields__.index("newest_tag")] = self.newest_tag
        self.tags[tag] += 1
        super().sendto(msgspec.msgpack.encode([tag, *fields]), to)


def record(node: gossip_fleet.Node, fleet: Fleet, newest_tag: int) -> RecordingTransport:
    transport = RecordingTransport(fleet, node, newest_tag)
    node.gossip.transport = cast(Any, transport)
    return transport


def test_nodes_of_the_build_before_are_sent_nothing_that_they_cannot_read():
    """What such a node began is not known, and what it is asked is not answered."""
    newest = 11
    fleet = Fleet(SMALL, seed=1)
    earlier = fleet.live()[::2]
    unreadable: list[int] = []
    for node in earlier:
        fleet.list_endpoints(fleet.start(node.number, node.data_centre))
    earlier = [fleet.nodes[node.name] for node in earlier]
    for node in earlier:
        record(node, fleet, newest)
        receive = node.gossip.datagram_received

        def received(data: bytes, addr: Any, receive: Any = receive) -> None:
            tag = msgspec.msgpack.decode(data)[0]
            if tag > newest:
                unreadable.append(tag)
            else:
                receive(data, addr)

        cast(Any, node.gossip).datagram_received = received
    fleet.run(SETTLE_MS)
    recent = [node for node in fleet.live() if node not in earlier]
    for number, node in enumerate(recent):
        stream = fleet.begin(node, number)
        fleet.run(150)
        for other in recent:
            assert fleet.origin(other, stream) == expected(number)
        unknown = fleet.begin(earlier[0], 1_000 + number)
        fleet.run(150)
        assert fleet.origin(node, unknown) is None
    assert not unreadable


def test_streams_are_recorded_by_the_most_senior_node_that_can():
    """Nodes of an earlier build can't, nor can those that the store rejects."""
    fleet = Fleet(SMALL, seed=1)
    by_seniority = sorted(fleet.live(), key=lambda node: node.view.seniority())
    earlier, rejected, recorder = by_seniority[:3]
    fleet.list_endpoints(fleet.start(earlier.number, earlier.data_centre))
    earlier = fleet.nodes[earlier.name]
    earlier.view.incarnation = by_seniority[0].view.incarnation - 1
    record(earlier, fleet, 14)
    rejected.state.reaches_store = False
    fleet.run(SETTLE_MS)
    recorded: dict[str, list[stream_origins.Stream]] = collections.defaultdict(list)
    for node in fleet.live():

        def keep(reports: Iterable[stream_origins.Report], name: str = node.name) -> None:
            recorded[name] += [one.stream for one in reports]

        node.state.record_streams = keep
    began = [fleet.begin(node, number) for number, node in enumerate(by_seniority[2:])]
    fleet.run(300)
    assert set(recorded) == {recorder.name}
    assert sorted(recorded[recorder.name], key=began.index) == began


def test_services_of_one_version_cost_no_reports():
    fleet = Fleet(SMALL, seed=1)
    for node in fleet.live():
        node.state.registry.replace([endpoint("v1")], 2, "store")
    fleet.run(2 * stream_origins.MIN_RETENTION_MS)
    transports = [record(node, fleet, gossip.NEWEST_TAG) for node in fleet.live()]
    for number in range(100):
        for node in fleet.live():
            # A node confirms its registry with each answer of the store.
            node.state.registry.replace([endpoint("v1")], 3 + number, "store")
        fleet.begin(fleet.rng.choice(fleet.live()), 2 * number)
        fleet.run(100)
    tag = gossip.StreamReport.__struct_config__.tag
    assert sum(transport.tags[tag] for transport in transports) == 0
