"""Tests snapshots served to peers: their compression, reuse and tolerance of invalid parts."""

import asyncio
import socket
import zlib

import msgspec
import pytest

from plumarch.config import routing_table
from plumarch.core import addresses, clock, errors, traffic
from plumarch.gateway.gossip import gossiper, heartbeats, peer_server, snapshots
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


FIRST_REQUEST = gossip.SnapshotRequest(-1, -1, accepts_compressed=True)


def test_large_snapshot_is_compressed_and_reused():
    one = exchange(ROUTES)
    answer = one._answer(FIRST_REQUEST)
    plain = one._answer(gossip.SnapshotRequest(-1, -1))
    assert len(answer) * 10 < len(plain)
    assert snapshots._unpack(answer) == snapshots._unpack(plain)
    assert one._answer(FIRST_REQUEST) is answer


def test_small_snapshot_is_sent_uncompressed():
    answer = exchange(2)._answer(FIRST_REQUEST)
    [encoded] = gossip.snapshot_decoder.decode(answer).configuration
    assert gossip.configuration_decoder.decode(encoded).version == 5


def test_answer_is_not_reused_after_a_change():
    one = exchange(2)
    first = one._answer(FIRST_REQUEST)
    later = one._answer(gossip.SnapshotRequest(5, -1, accepts_compressed=True))
    assert snapshots._unpack(later).configuration == []
    one.state.registry.replace([], 9, "store")
    assert one._answer(FIRST_REQUEST) != first


def test_reused_answer_is_not_encoded_again(monkeypatch: pytest.MonkeyPatch):
    """Encoding per request would block a coordinator that many peers contact at once."""
    one = exchange(ROUTES)
    first = one._answer(FIRST_REQUEST)

    def fail(_: object) -> msgspec.Raw:
        raise AssertionError("encoded again")

    monkeypatch.setattr(gossip, "raw", fail)
    assert one._answer(FIRST_REQUEST) == first
    assert one._guess_in_parts("10.0.0.1", FIRST_REQUEST)


def test_invalid_or_oversized_compressed_snapshot_is_rejected(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(gossip, "FRAME_LIMIT", 10_000)
    with pytest.raises(errors.PeerProtocolError, match="larger"):
        snapshots._unpack(zlib.compress(bytes(20_000)))
    with pytest.raises(errors.PeerProtocolError, match="inflated"):
        snapshots._unpack(b"\x78nonsense")


def test_shutdown_during_an_answer_logs_no_error():
    found = []

    async def cancel_while_serving() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: found.append(context["message"]))
        before = asyncio.all_tasks()
        server = await asyncio.start_server(
            peer_server.new_server(exchange(1)).serve, "127.0.0.1", 0
        )
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

    asyncio.run(cancel_while_serving())
    assert found == []


def test_unreadable_part_of_a_snapshot_does_not_affect_the_others():
    one = exchange(1)
    valid = traffic.Endpoint("e1", "s", "10.0.0.1:80", "a", 4, traffic.EndpointState.READY)
    encode = gossip.encoder.encode
    invalid = [msgspec.Raw(encode(wrong)) for wrong in (5, {"id": "e2"}, {"id": 7, "slots": "x"})]
    endpoints = [invalid[0], msgspec.Raw(encode(valid)), *invalid[1:]]
    snapshot = gossip.Snapshot("peer", [msgspec.Raw(encode("none"))], endpoints, True, 9)
    one._adopt(snapshots._unpack(encode(snapshot)))
    assert list(one.state.registry.endpoints) == ["e1"]
    assert one.state.registry.revision == 9
    assert one.state.configuration_version() == 5


NODES_AT_ONCE = 300
CONNECT_S = 0.2
"""A connect over loopback that the backlog takes is immediate; else it is retried after 1 s."""


def test_backlog_takes_connects_from_all_nodes_of_a_data_centre():
    """A full backlog drops the SYN; its retransmission delays the fetch of a change by seconds."""

    async def connect_while_busy() -> int:
        with socket.create_server(("127.0.0.1", 0)) as probe:
            address = f"127.0.0.1:{probe.getsockname()[1]}"
        state = gateway_parts.new_state(clock.ManualClock())
        view = fleet_view.FleetView(state.clock, "n", 1, address)
        node = gossiper.Gossiper(state, view, heartbeats.DutyStatus(), ())
        await node.start()
        opened = []
        try:
            # The node's event loop does not run meanwhile.
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
