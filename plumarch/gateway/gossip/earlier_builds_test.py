"""Nodes of earlier builds are sent only the kinds of datagrams that they read."""

from typing import Any, cast

import msgspec

from plumarch.gateway.gossip import permit_exchange_test, slot_exchange_test
from plumarch.peers import gossip, message_compat_test
from plumarch.standins import gossip_fleet

SMALL = gossip_fleet.Size(3, 0, counts=(3, 3, 2))
LARGE = gossip_fleet.Size(3, 0, counts=(12, 12, 12))

NEWEST_TAGS = {"25ff8f1": 6, "2026.12.03.2": 9}
"""Highest tag of the datagrams that a build reads; neither build reports it."""

SAMPLES = message_compat_test.samples_of("2026.12.03.2")
"""Both builds' messages have the same fields."""

PER_S = 60.0


def field_count(name: str) -> int:
    return len(msgspec.msgpack.decode(SAMPLES[name]))


FIELDS = {
    one.__struct_config__.tag: field_count(one.__name__)
    for one in (gossip.Heartbeat, gossip.CentreSummary)
}
MEMBER_UPDATE = gossip.MemberUpdate.__struct_config__.tag


class EarlierTransport(gossip_fleet.Transport):
    """Transport of a node of an earlier build, which sends fewer kinds and fields."""

    def __init__(self, fleet: gossip_fleet.GossipFleet, node: gossip_fleet.Node, build: str):
        super().__init__(fleet, node)
        self.newest_tag = NEWEST_TAGS[build]

    def sendto(self, datagram: bytes, to: tuple[str, int]) -> None:
        tag, *fields = msgspec.msgpack.decode(datagram)
        if tag > self.newest_tag:
            return
        if tag == MEMBER_UPDATE:
            fields[1] = fields[1][: field_count("FleetUpdate")]
        parts = [tag, *fields][: FIELDS.get(tag)]
        super().sendto(msgspec.msgpack.encode(parts), to)


def downgrade(fleet: gossip_fleet.GossipFleet, node: gossip_fleet.Node, build: str) -> list[int]:
    """Have a node run an earlier build; return the list to which unreadable tags are appended."""
    node.gossip.transport = cast(Any, EarlierTransport(fleet, node, build))
    receive = node.gossip.datagram_received
    unreadable: list[int] = []

    def datagram_received(data: bytes, addr: tuple[str | Any, int]) -> None:
        tag = msgspec.msgpack.decode(data)[0]
        if tag > NEWEST_TAGS[build]:
            unreadable.append(tag)
        else:
            receive(data, addr)

    cast(Any, node.gossip).datagram_received = datagram_received
    return unreadable


Session = permit_exchange_test.Session | slot_exchange_test.Session


def replace_nodes(session: Session, build: str) -> list[list[int]]:
    """Start all nodes again: two of three with an earlier build first, then the others."""
    nodes = session.fleet.live()
    earlier = [node for index, node in enumerate(nodes) if index % 3 < 2]
    unreadable = []
    for node in earlier:
        unreadable.append(downgrade(session.fleet, session.restart(node), build))
    session.fleet.run(500)
    for node in nodes:
        if node not in earlier:
            session.restart(node)
    session.fleet.run(6_000)
    return unreadable


def unreadable_tags(session: Session, build: str) -> set[int]:
    """Return the unreadable tags that nodes of an earlier build are sent under load."""
    unreadable = replace_nodes(session, build)
    session.serve(PER_S, 5_000)
    return {tag for received in unreadable for tag in received}


def test_earlier_builds_are_sent_no_unreadable_messages():
    found = {}
    for build in NEWEST_TAGS:
        for size in (SMALL, LARGE):
            rates = unreadable_tags(permit_exchange_test.Session(size, 1, "2"), build)
            slots = unreadable_tags(slot_exchange_test.Session(size, 1), build)
            found[build, sum(size.counts)] = rates | slots
    assert not any(found.values()), found
