"""Two builds side by side: what is asked, answered and heard between them."""

import asyncio

import msgspec

from plumarch.core import build, clock, traffic
from plumarch.gateway.gossip import (
    gossiper,
    heartbeats,
    load_reports,
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


async def served(exchange: snapshots.SnapshotExchange, asked: gossip.SnapshotRequest) -> bytes:
    server = await asyncio.start_server(exchange.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(frames.pack(gossip.encoder.encode(asked)))
    answer = await frames.read(reader, gossip.FRAME_LIMIT)
    writer.close()
    server.close()
    return answer


def new_exchange(steady: clock.ManualClock | None = None) -> snapshots.SnapshotExchange:
    state = gateway_parts.new_state(steady or clock.ManualClock(1_000))
    state.adopt_table(TABLE, "store")
    state.registry.replace([ENDPOINT], 5, "store")
    return snapshots.SnapshotExchange(state)


def test_an_asker_that_takes_parts_gets_them_each_time():
    async def test() -> None:
        exchange = new_exchange()
        asked = gossip.SnapshotRequest(-1, -1, accepts_parts=True)
        for _ in range(3):
            told = gossip.snapshot_decoder.decode(await served(exchange, asked))
            assert len(told.endpoints) == 1

    asyncio.run(test())


def test_an_asker_that_does_not_tell_gets_the_other_shape_if_it_asks_once_more():
    """It could not read the first one, so it still asks for the same."""

    async def test() -> None:
        exchange = new_exchange()
        asked = gossip.SnapshotRequest(-1, -1)
        gossip.snapshot_decoder.decode(await served(exchange, asked))
        whole = gossip.full_snapshot_decoder.decode(await served(exchange, asked))
        assert whole.configuration == TABLE.configuration
        assert whole.endpoints == (ENDPOINT,) and whole.registry_revision == 5
        gossip.snapshot_decoder.decode(await served(exchange, asked))
        nothing_new = gossip.SnapshotRequest(1, 5)
        for _ in range(3):
            gossip.snapshot_decoder.decode(await served(exchange, nothing_new))
        newer = gossip.SnapshotRequest(1, 4)
        assert gossip.snapshot_decoder.decode(await served(exchange, newer)).configuration == []

    asyncio.run(test())


def test_a_process_that_starts_again_gets_the_shape_that_the_one_before_could_read():
    """A killed process and the next one at its IP ask for all there is: twice the same question.

    The second one was given the shape of a still earlier build: "Expected `array` of at least
    length 5, got 4". One that could not read its answer asks again within 750 ms.
    """

    async def test() -> None:
        steady = clock.ManualClock(1_000)
        exchange = new_exchange(steady)
        asked = gossip.SnapshotRequest(-1, -1)
        for _ in range(3):
            gossip.snapshot_decoder.decode(await served(exchange, asked))
            steady.advance_to(steady.now() + 751)

    asyncio.run(test())


def test_a_load_told_by_an_endpoints_name_is_its_incarnations():
    told = [load_reports.to_message("e", endpoint_choice.Load(3, 100.0))]
    told.append(load_reports.to_message("f.0000b", endpoint_choice.Load(1, 0.0)))
    found = load_reports.from_messages(told, {"e": ENDPOINT.id})
    assert {name: one.running for name, one in found.items()} == {"e.0000a": 3, "f.0000b": 1}


def test_a_kind_that_is_not_known_is_counted_each_time_and_told_once():
    state = gateway_parts.new_state(clock.ManualClock(1_000))
    view = fleet_view.FleetView(state.clock, "n", 1, "10.0.0.9:7", "a")
    peer = view.heard("m", 5, "10.0.0.8:7", "a")
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
    assert len(unreadable.told) == unreadable_messages.MAX_TOLD


def test_a_nodes_build_is_told_in_some_heartbeats_and_ends_with_its_process():
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
    beats = [other.next(leaving=False) for _ in range(heartbeats.PEERS_EVERY)]
    assert [one.build for one in beats].count(build.NAME) == 1
    for beat in beats:
        node.take_in(beat)
    assert node.view.peers["two"].build == build.NAME
    again = msgspec.structs.replace(beats[-1], incarnation=9, build="")
    node.take_in(again)
    assert node.view.peers["two"].build == ""
