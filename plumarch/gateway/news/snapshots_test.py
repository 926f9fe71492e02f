"""Snapshots handed to peers: compressed where that pays, and not put together for each of them."""

import asyncio
import zlib

import msgspec
import pytest

from plumarch.config import routing_table
from plumarch.core import clock, errors, traffic
from plumarch.gateway.news import snapshots
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


NOTHING_HELD = gossip.SnapshotRequest(-1, -1, takes_compressed=True)


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
    held = one._answer(gossip.SnapshotRequest(5, -1, takes_compressed=True))
    assert snapshots._unpack(held).configuration == []
    one.state.registry.replace([], 9, "store")
    assert one._answer(NOTHING_HELD) != first


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
