"""Requests, answers and heartbeats between nodes of different builds."""

import asyncio

import msgspec

from plumarch.core import build, clock, traffic
from plumarch.gateway.gossip import (
    gossiper,
    heartbeats,
    load_reports,
    peer_server,
    snapshots,
    unreadable_messages,
)
from plumarch.gateway.relay_test import TABLE
from plumarch.membership import fleet_view
from plumarch.peers import frames, gossip
from plumarch.routing import endpoint_choice
from plumarch.standins import gateway_parts

ENDPOINT = traffic.Endpoint(
    "e.0000a", "s", "10.0.0.1:80", "a", 8, traffic.EndpointState.READY, born_ms=10, name="e"
)


async def served(exchange: snapshots.SnapshotExchange, request: gossip.SnapshotRequest) -> bytes:
    server = await asyncio.start_server(peer_server.new_server(exchange).serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(frames.pack(gossip.encoder.encode(request)))
    answer = await frames.read(reader, gossip.FRAME_LIMIT)
    writer.close()
    server.close()
    return answer


def new_exchange(steady: clock.ManualClock | None = None) -> snapshots.SnapshotExchange:
    state = gateway_parts.new_state(steady or clock.ManualClock(1_000))
    state.adopt_table(TABLE, "store")
    state.registry.replace([ENDPOINT], 5, "store")
    return snapshots.SnapshotExchange(state)


def test_a_requester_that_accepts_parts_always_gets_them():
    async def test() -> None:
        exchange = new_exchange()
        request = gossip.SnapshotRequest(-1, -1, accepts_parts=True)
        for _ in range(3):
            answer = gossip.snapshot_decoder.decode(await served(exchange, request))
            assert len(answer.endpoints) == 1

    asyncio.run(test())


def test_a_repeated_request_of_an_unknown_build_gets_the_other_format():
    """It could not decode the first answer, so it repeats the request."""

    async def test() -> None:
        exchange = new_exchange()
        request = gossip.SnapshotRequest(-1, -1)
        gossip.snapshot_decoder.decode(await served(exchange, request))
        full = gossip.full_snapshot_decoder.decode(await served(exchange, request))
        assert full.configuration == TABLE.configuration
        assert full.endpoints == (ENDPOINT,) and full.registry_revision == 5
        gossip.snapshot_decoder.decode(await served(exchange, request))
        up_to_date = gossip.SnapshotRequest(1, 5)
        for _ in range(3):
            gossip.snapshot_decoder.decode(await served(exchange, up_to_date))
        newer = gossip.SnapshotRequest(1, 4)
        assert gossip.snapshot_decoder.decode(await served(exchange, newer)).configuration == []

    asyncio.run(test())


def test_a_restarted_process_gets_the_format_that_the_previous_one_could_decode():
    """Guards against mistaking a restarted process's request for a repeated one.

    A process that could not decode its answer repeats its request within 750 ms.
    """

    async def test() -> None:
        steady = clock.ManualClock(1_000)
        exchange = new_exchange(steady)
        request = gossip.SnapshotRequest(-1, -1)
        for _ in range(3):
            gossip.snapshot_decoder.decode(await served(exchange, request))
            steady.advance_to(steady.now() + 751)

    asyncio.run(test())


def test_a_load_reported_by_an_endpoints_name_applies_to_its_incarnation():
    reports = [load_reports.to_message("e", endpoint_choice.Load(3, 100.0))]
    reports.append(load_reports.to_message("f.0000b", endpoint_choice.Load(1, 0.0)))
    found = load_reports.from_messages(reports, {"e": ENDPOINT.id})
    assert {name: one.running for name, one in found.items()} == {"e.0000a": 3, "f.0000b": 1}


def test_an_unknown_message_kind_is_counted_each_time_and_logged_once():
    state = gateway_parts.new_state(clock.ManualClock(1_000))
    view = fleet_view.FleetView(state.clock, "n", 1, "10.0.0.9:7", "a")
    peer = view.mark_seen("m", 5, "10.0.0.8:7", "a")
    assert peer is not None
    peer.build = "later"
    unreadable = unreadable_messages.UnreadableMessages(state, view)
    for data in (b"\x92\x63\x01", b"\x92\x63\x01", b"", b"\xc1", b"\x91\xcd\xff\xff", b"\x01"):
        unreadable.note("10.0.0.8", data, msgspec.DecodeError("x" * 1_000))
    counts = state.measures.unreadable_messages.counts
    assert counts == {("99", "later"): 2.0, ("none", "later"): 4.0}
    lines = bytes(state.log.pending).splitlines()
    assert len(lines) == 2 and all(len(line) < 500 for line in lines)
    for number in range(1_000):
        unreadable.note(f"10.0.1.{number}", b"", msgspec.DecodeError("no"))
    assert len(unreadable.logged) == unreadable_messages.MAX_LOGGED


def test_a_nodes_build_is_reported_in_some_heartbeats_and_forgotten_with_its_process():
    node = gossiper.Gossiper(
        gateway_parts.new_state(clock.ManualClock(1_000), "one"),
        fleet_view.FleetView(clock.ManualClock(1_000), "one", 1, "10.0.0.1:7"),
        heartbeats.DutyStatus(),
        (),
    )
    other = heartbeats.HeartbeatComposer(
        gateway_parts.new_state(clock.ManualClock(1_000), "two"),
        fleet_view.FleetView(clock.ManualClock(1_000), "two", 5, "10.0.0.2:7"),
        heartbeats.DutyStatus(),
    )
    beats = [other.next(leaving=False) for _ in range(heartbeats.PEERS_INTERVAL)]
    assert [one.build for one in beats].count(build.NAME) == 1
    for beat in beats:
        node.apply_heartbeat(beat)
    assert node.view.peers["two"].build == build.NAME
    again = msgspec.structs.replace(beats[-1], incarnation=9, build="")
    node.apply_heartbeat(again)
    assert node.view.peers["two"].build == ""
