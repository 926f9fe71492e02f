"""Streams of several versions are known after all nodes were killed, from the store's segments."""

import random
from collections.abc import Awaitable, Callable

import pytest

from plumarch.core import records, traffic
from plumarch.gateway.store import stream_segments
from plumarch.routing import origin_uses, stream_origins
from plumarch.standins import gossip_fleet, store_replay, virtual_time

SMALL = gossip_fleet.Size(3, 3, counts=(3, 3, 2))
LARGE = gossip_fleet.Size(3, 0, counts=(12, 12, 12))
SETTLE_MS = 4_000
RECORDED_MS = 1_000
ROUTE = "chat"
VERSIONS = ("v1", "v2")
Test = Callable[[store_replay.StoreReplay], Awaitable[None]]


def endpoint(number: int, version: str) -> traffic.Endpoint:
    ready = traffic.EndpointState.READY
    return traffic.Endpoint(f"e{number}", "s", "10.0.0.9:80", "dc-a", 8, ready, version=version)


def origin(number: int) -> stream_origins.Origin:
    return stream_origins.Origin("s", VERSIONS[number % 2])


def stream(number: int) -> stream_origins.Stream:
    return stream_origins.Stream(2 * number + 1, 2 * number + 2)


def play(test: Test, size: gossip_fleet.Size = SMALL) -> None:
    async def run() -> None:
        kind = traffic.RouteKind.STREAMING
        shares = (traffic.ServiceShare("s", 1.0),)
        route = traffic.Route(ROUTE, "h", "/", kind, 15_000, 500, shares, resumable=True)
        store = store_replay.CountedStore(routes=(route,))
        for number in range(4):
            store.put(endpoint(number, VERSIONS[number % 2]))
        replay = store_replay.StoreReplay(size, store)
        try:
            await replay.run(SETTLE_MS)
            await test(replay)
        finally:
            replay.stop()

    virtual_time.run(run())


def begin(node: gossip_fleet.Node, number: int) -> None:
    began = endpoint(number, VERSIONS[number % 2])
    node.state.streams.begin(stream(number), began, ROUTE)
    node.state.stream_began(stream_origins.RouteOrigin(ROUTE, origin(number)))


async def found(replay: store_replay.StoreReplay, numbers: range) -> float:
    """Return the fraction of streams whose origin a random node finds in the store."""
    node = random.Random(1).choice(replay.fleet.live())
    assert node.state.read_origins is not None
    await node.state.read_origins(100.0)
    known = 0
    for number in numbers:
        one = node.state.streams.find(stream(number))
        if one is not None:
            assert one.origin == origin(number)
            known += 1
    return known / len(numbers)


def segments(store: store_replay.CountedStore) -> list[records.Record]:
    kept = [one for (kind, _), one in store.kept.items() if kind == stream_segments.KIND]
    return [one for one in kept if one.name.startswith(stream_segments.PREFIX)]


@pytest.mark.parametrize("size", [SMALL, LARGE])
def test_streams_of_several_versions_are_known_after_all_nodes_were_killed(
    size: gossip_fleet.Size,
):
    """All resumptions were refused, as only the killed nodes knew where the streams began."""

    async def test(replay: store_replay.StoreReplay) -> None:
        live = replay.fleet.live()
        for number in range(200):
            begin(live[number % len(live)], number)
        await replay.run(RECORDED_MS)
        replay.restart_all()
        await replay.run(SETTLE_MS)
        assert await found(replay, range(200)) == 1.0

    play(test, size)


def test_streams_are_recorded_again_after_the_store_came_back_from_an_older_copy():
    async def test(replay: store_replay.StoreReplay) -> None:
        backup = replay.store.back_up()
        live = replay.fleet.live()
        for number in range(200):
            begin(live[number % len(live)], number)
        await replay.run(RECORDED_MS)
        replay.store.restore(backup)
        await replay.run(3 * SETTLE_MS)
        replay.restart_all()
        await replay.run(SETTLE_MS)
        assert await found(replay, range(200)) == 1.0

    play(test)


def test_streams_that_began_while_the_store_was_away_are_recorded_once_it_is_back():
    async def test(replay: store_replay.StoreReplay) -> None:
        replay.store.down = True
        live = replay.fleet.live()
        await replay.run(RECORDED_MS)
        for number in range(100):
            begin(live[number % len(live)], number)
        await replay.run(RECORDED_MS)
        replay.store.down = False
        await replay.run(2 * SETTLE_MS)
        replay.restart_all()
        await replay.run(SETTLE_MS)
        assert await found(replay, range(100)) == 1.0

    play(test)


def test_a_lost_answer_of_the_store_loses_no_stream():
    async def test(replay: store_replay.StoreReplay) -> None:
        live = replay.fleet.live()
        for number in range(100):
            replay.store.unresponsive = {live[0].name} if number % 20 == 0 else set()
            begin(live[number % len(live)], number)
            await replay.run(50)
        replay.store.unresponsive = set()
        await replay.run(2 * SETTLE_MS)
        replay.restart_all()
        await replay.run(SETTLE_MS)
        assert await found(replay, range(100)) == 1.0

    play(test)


def test_segments_are_used_again_and_do_not_grow_in_number():
    """Nothing in the store runs out by itself, and processes come and go."""

    async def test(replay: store_replay.StoreReplay) -> None:
        most = 0
        for number in range(600):
            live = replay.fleet.live()
            for extra in range(4):
                begin(live[number % len(live)], 4 * number + extra)
                live[number % len(live)].state.streams.end(stream(4 * number + extra))
            await replay.run(500)
            if number % 150 == 149:
                replay.restart_all()
                await replay.run(SETTLE_MS)
            if number == 250:
                most = len(segments(replay.store))
        at_once = 8 * (stream_origins.MIN_RETENTION_MS + origin_uses.CLOCK_TOLERANCE_MS) / 1_000
        assert len(segments(replay.store)) <= 2 * at_once / stream_segments.SEGMENT_STREAMS + 8
        assert len(segments(replay.store)) <= most + 4

    play(test)


def test_two_nodes_that_take_one_segment_lose_no_stream():
    async def test(replay: store_replay.StoreReplay) -> None:
        one, other = replay.fleet.live()[:2]
        written = records.Record("segment-old", stream_segments.encode([], 0), 0)
        key = (stream_segments.KIND, written.name)
        replay.store.revision += 1
        old = records.Record(written.name, written.value, replay.store.revision)
        replay.store.kept[key] = old
        for node in (one, other):
            assert node.state.read_origins is not None
            await node.state.read_origins(100.0)
            reports = [stream_origins.Report(stream(n), origin(n)) for n in (0, 1)]
            node.state.record_streams(reports[node is one :][:1])
        await replay.run(RECORDED_MS)
        replay.restart_all()
        await replay.run(SETTLE_MS)
        assert await found(replay, range(2)) == 1.0

    play(test)


def test_the_calls_to_the_store_are_bounded_however_many_streams_begin():
    async def test(replay: store_replay.StoreReplay) -> None:
        live = replay.fleet.live()
        for number in (0, 1):
            begin(live[0], number)
        await replay.run(3 * RECORDED_MS)
        before = replay.store.by_call["write record"]
        for number in range(2, 402):
            begin(live[number % len(live)], number)
            await replay.run(25)
        made = replay.store.by_call["write record"] - before
        assert made <= 10_000 / stream_segments.FLUSH_MS + 400 / stream_segments.SEGMENT_STREAMS + 1

    play(test)


def test_a_segment_survives_encoding_and_a_malformed_one_is_passed_over():
    reports = [stream_origins.Report(stream(n), origin(n)) for n in range(5)]
    reports.append(stream_origins.Report(stream(9), None))
    value = stream_segments.decode(stream_segments.encode(reports, 5))
    assert value is not None and value.at == 5
    for text in (
        "",
        "[]",
        '{"at":1,"origins":[["s","v1","AAAA"]]}',
        '{"at":1,"origins":[["s","v1","%"]]}',
        '{"at":1,"origins":[["s","v1","\u00e9"]]}',
    ):
        assert stream_segments.decode(text) is None


def test_a_stream_that_no_segment_can_hold_keeps_no_other_from_being_recorded():
    async def test(replay: store_replay.StoreReplay) -> None:
        node = replay.fleet.live()[0]
        odd = [stream_origins.Stream(-1, 5), stream_origins.Stream(5, 2**64)]
        node.state.record_streams(stream_origins.Report(one, origin(0)) for one in odd)
        node.state.record_streams([stream_origins.Report(stream(0), origin(0))])
        await replay.run(RECORDED_MS)
        replay.restart_all()
        await replay.run(SETTLE_MS)
        assert await found(replay, range(1)) == 1.0

    play(test)


def test_no_stream_waits_without_bound_for_the_store():
    async def test(replay: store_replay.StoreReplay) -> None:
        node = replay.fleet.live()[0]
        replay.store.down = True
        node.state.record_streams(
            stream_origins.Report(stream(n), origin(n))
            for n in range(2 * stream_segments.MAX_PENDING)
        )
        assert len(replay.segments[node.name].pending) == stream_segments.MAX_PENDING

    play(test)
