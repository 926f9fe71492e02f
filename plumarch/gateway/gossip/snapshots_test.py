"""Snapshots handed to peers: compressed where that pays, and not put together for each of them."""

import asyncio
import socket
import zlib

import msgspec
import pytest

from plumarch.config import routing_table
from plumarch.core import addresses, clock, errors, traffic
from plumarch.gateway.gossip import gossiper, heartbeats, snapshots
from plumarch.membership import fleet_view
from plumarch.peers import gossip
from plumarch.standins import gateway_parts

ROUTES = 1_400


def exchange(routes: int) -> snapshots.SnapshotExchange:
    state = gateway_parts.new_state(clock.ManualClock())
    found = tuple(
        traffic.Route(
            f"route-{number}",
            f"maker{number}.example",
            f"/{number}/",
            traffic.RouteKind.SAFE,
            1_000,
            100,
            (traffic.ServiceShare("s", 1.0),),
        )
        for number in range(routes)
    )
    configuration = routing_table.Configuration(
        5, found, (traffic.Service("s"),), (), traffic.CallerLimits()
    )
    state.adopt_table(routing_table.build(configuration), "store")
    return snapshots.SnapshotExchange(state)


NOTHING_HELD = gossip.SnapshotRequest(-1, -1, accepts_compressed=True)


def test_a_large_configuration_is_compressed_and_read_back():
    one = exchange(ROUTES)
    answer = one._answer(NOTHING_HELD)
    plain = one._answer(gossip.SnapshotRequest(-1, -1))
    assert len(answer) * 10 < len(plain)
    assert snapshots._unpack(answer) == snapshots._unpack(plain)
    assert one._answer(NOTHING_HELD) is answer


def test_a_small_one_is_sent_as_it_is():
    answer = exchange(2)._answer(NOTHING_HELD)
    [encoded] = gossip.snapshot_decoder.decode(answer).configuration
    assert gossip.configuration_decoder.decode(encoded).version == 5


def test_an_answer_made_for_older_versions_is_not_given_again():
    one = exchange(2)
    first = one._answer(NOTHING_HELD)
    held = one._answer(gossip.SnapshotRequest(5, -1, accepts_compressed=True))
    assert snapshots._unpack(held).configuration == []
    one.state.registry.replace([], 9, "store")
    assert one._answer(NOTHING_HELD) != first


def test_an_answer_that_is_kept_is_not_encoded_again(monkeypatch: pytest.MonkeyPatch):
    """100 askers cost as many encodings of 3,000 endpoints: 224 ms of processor time."""
    one = exchange(ROUTES)
    first = one._answer(NOTHING_HELD)

    def fail(_: object) -> msgspec.Raw:
        raise AssertionError("encoded again")

    monkeypatch.setattr(gossip, "raw", fail)
    assert one._answer(NOTHING_HELD) == first
    assert one._guess("10.0.0.1", NOTHING_HELD)


def test_what_inflates_beyond_a_frame_is_refused(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(gossip, "FRAME_LIMIT", 10_000)
    with pytest.raises(errors.PeerProtocolError, match="larger"):
        snapshots._unpack(zlib.compress(bytes(20_000)))
    with pytest.raises(errors.PeerProtocolError, match="inflated"):
        snapshots._unpack(b"\x78nonsense")


def test_a_process_that_ends_during_an_answer_prints_no_error():
    found = []

    async def end_while_asked() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: found.append(context["message"]))
        before = asyncio.all_tasks()
        server = await asyncio.start_server(exchange(1).serve, "127.0.0.1", 0)
        _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        while not (serving := asyncio.all_tasks() - before):
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.01)
        for task in serving:
            task.cancel()
        await asyncio.wait(serving)
        await asyncio.sleep(0)
        writer.close()
        server.close()

    asyncio.run(end_while_asked())
    assert found == []


def test_what_a_peer_hands_on_that_cannot_be_read_costs_nothing_else():
    one = exchange(1)
    sound = traffic.Endpoint("e1", "s", "10.0.0.1:80", "a", 4, traffic.EndpointState.READY)
    encode = gossip.encoder.encode
    spoiled = [msgspec.Raw(encode(wrong)) for wrong in (5, {"id": "e2"}, {"id": 7, "slots": "x"})]
    endpoints = [spoiled[0], msgspec.Raw(encode(sound)), *spoiled[1:]]
    told = gossip.Snapshot("peer", [msgspec.Raw(encode("none"))], endpoints, True, 9)
    one._adopt(snapshots._unpack(encode(told)))
    assert list(one.state.registry.endpoints) == ["e1"]
    assert one.state.registry.revision == 9
    assert one.state.configuration_version() == 5


NODES_AT_ONCE = 300
CONNECT_S = 0.2
"""A connect over loopback that the kernel's queue takes is there at once, else after a second."""


def test_all_nodes_of_a_data_centre_may_connect_at_once():
    """A hundred and more fetch from one coordinator at the same moment, and it may be busy then.

    A queue that is full drops the opening packet, which is sent again after a second or three. Of a
    fleet of 300 one node sent to an endpoint 3.4 s after that had said that it leaves.
    """

    async def connect_while_busy() -> int:
        with socket.create_server(("127.0.0.1", 0)) as probe:
            address = f"127.0.0.1:{probe.getsockname()[1]}"
        state = gateway_parts.new_state(clock.ManualClock())
        view = fleet_view.FleetView(state.clock, "n", 1, address)
        node = gossiper.Gossiper(state, view, heartbeats.DutyStatus(), ())
        await node.start()
        opened = []
        try:
            # The node's own loop stands still meanwhile.
            for _ in range(NODES_AT_ONCE):
                try:
                    opened.append(socket.create_connection(addresses.split(address), CONNECT_S))
                except TimeoutError:
                    break
        finally:
            node.close()
            for one in opened:
                one.close()
        return len(opened)

    assert asyncio.run(connect_while_busy()) == NODES_AT_ONCE
