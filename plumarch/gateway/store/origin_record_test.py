"""Where streams begin is known after all nodes were killed, by the store's record."""

from collections.abc import Awaitable, Callable

import pytest

from plumarch.core import records, traffic
from plumarch.gateway.store import origin_record
from plumarch.routing import origin_uses, stream_origins
from plumarch.standins import gossip_fleet, store_replay, virtual_time

SMALL = gossip_fleet.Size(3, 3, counts=(3, 3, 2))
LARGE = gossip_fleet.Size(3, 0, counts=(12, 12, 12))
SETTLE_MS = 4_000
RECORDED_MS = 2_000
"""Time within which an origin is recorded and read by those that use it."""

ROUTE = "chat"
V1, V2 = stream_origins.Origin("s", "v1"), stream_origins.Origin("s", "v2")
Test = Callable[[store_replay.StoreReplay], Awaitable[None]]


def route(service: str = "s") -> traffic.Route:
    shares = (traffic.ServiceShare(service, 1.0),)
    kind = traffic.RouteKind.STREAMING
    return traffic.Route(ROUTE, "h", "/chat/", kind, 15_000, 500, shares, resumable=True)


def endpoint(number: int, version: str, service: str = "s") -> traffic.Endpoint:
    ready = traffic.EndpointState.READY
    return traffic.Endpoint(f"e{number}", service, "10.0.0.9:80", "dc-a", 8, ready, version=version)


def play(test: Test, size: gossip_fleet.Size = SMALL) -> None:
    async def run() -> None:
        store = store_replay.CountedStore(routes=(route(),))
        for number in range(4):
            store.put(endpoint(number, "v1"))
        replay = store_replay.StoreReplay(size, store)
        try:
            await replay.run(SETTLE_MS)
            await test(replay)
        finally:
            replay.stop()

    virtual_time.run(run())


def begin(node: gossip_fleet.Node, origin: stream_origins.Origin = V1) -> None:
    """Have a node relay the first event of a stream."""
    node.state.stream_began(stream_origins.RouteOrigin(ROUTE, origin))


async def origins(
    replay: store_replay.StoreReplay, service: str = "s"
) -> set[stream_origins.Origin | None]:
    """Return the sole origin of the route by each node, after it has read the record."""
    for node in replay.fleet.live():
        assert node.state.read_origins is not None
        await node.state.read_origins(100.0)
    return {node.state.sole_origin(service, ROUTE) for node in replay.fleet.live()}


@pytest.mark.parametrize("size", [SMALL, LARGE])
def test_a_sole_version_is_known_soon_after_all_nodes_were_killed(size: gossip_fleet.Size):
    """Resumptions were refused for 30 s, as each new process had to see for itself."""

    async def test(replay: store_replay.StoreReplay) -> None:
        begin(replay.fleet.live()[-1])
        await replay.run(RECORDED_MS)
        replay.restart_all()
        await replay.run(SETTLE_MS)
        assert await origins(replay) == {V1}

    play(test, size)


def test_a_version_that_was_used_before_the_kill_is_not_forgotten_with_its_endpoints():
    async def test(replay: store_replay.StoreReplay) -> None:
        begin(replay.fleet.live()[0])
        replay.store.put(endpoint(9, "v2"))
        await replay.run(RECORDED_MS)
        for node in replay.fleet.live():
            replay.kill(node)
        replay.store.withdraw("e9")
        replay.restart_all()
        await replay.run(SETTLE_MS)
        assert await origins(replay) == {None}
        await replay.run(stream_origins.MIN_RETENTION_MS + 2 * origin_uses.CLOCK_TOLERANCE_MS)
        assert await origins(replay) == {V1}

    play(test)


def test_streams_go_on_after_a_kill_of_all_nodes_though_a_release_follows():
    """Streams of a sole version are not recorded one by one, and two versions leave none sole."""

    async def test(replay: store_replay.StoreReplay) -> None:
        begin(replay.fleet.live()[0])
        await replay.run(RECORDED_MS)
        replay.restart_all()
        await replay.run(SETTLE_MS)
        replay.store.put(endpoint(9, "v2"))
        await replay.run(RECORDED_MS)
        assert await origins(replay) == {V1}

    play(test)


def test_a_node_adds_a_version_that_the_most_senior_one_never_saw():
    async def test(replay: store_replay.StoreReplay) -> None:
        begin(replay.fleet.live()[0])
        await replay.run(RECORDED_MS)
        begin(replay.fleet.live()[-1], V2)
        await replay.run(RECORDED_MS)
        replay.restart_all()
        await replay.run(SETTLE_MS)
        assert await origins(replay) == {None}

    play(test)


def test_a_route_that_led_to_another_service_has_no_sole_origin():
    async def test(replay: store_replay.StoreReplay) -> None:
        begin(replay.fleet.live()[0])
        await replay.run(RECORDED_MS)
        for node in replay.fleet.live():
            replay.kill(node)
        replay.store.put(endpoint(9, "v1", "t"))
        replay.store.routes = (route("t"),)
        replay.store.configure()
        replay.restart_all()
        await replay.run(SETTLE_MS)
        begin(replay.fleet.live()[0], stream_origins.Origin("t", "v1"))
        await replay.run(RECORDED_MS)
        assert await origins(replay, "t") == {None}

    play(test)


def test_a_fleet_that_did_not_start_with_the_record_trusts_it_only_once_it_is_old():
    """Streams may have begun anywhere before, at nodes of an earlier build for instance."""

    async def test(replay: store_replay.StoreReplay) -> None:
        replay.restart_all()
        await replay.run(SETTLE_MS)
        begin(replay.fleet.live()[0])
        await replay.run(RECORDED_MS)
        assert await origins(replay) == {None}

    play(test)


def test_a_record_from_an_older_copy_of_the_store_is_not_trusted():
    async def test(replay: store_replay.StoreReplay) -> None:
        begin(replay.fleet.live()[0])
        await replay.run(RECORDED_MS)
        backup = replay.store.back_up()
        replay.store.put(endpoint(9, "v2"))
        await replay.run(RECORDED_MS)
        replay.store.withdraw("e9")
        await replay.run(RECORDED_MS)
        for node in replay.fleet.live():
            replay.kill(node)
        replay.store.restore(backup)
        replay.restart_all()
        await replay.run(SETTLE_MS)
        assert await origins(replay) == {None}
        begin(replay.fleet.live()[0])
        await replay.run(RECORDED_MS)
        assert await origins(replay) == {None}

    play(test)


def test_an_undecodable_record_is_replaced_and_trusted_once_it_is_old():
    async def test(replay: store_replay.StoreReplay) -> None:
        begin(replay.fleet.live()[0])
        await replay.run(RECORDED_MS)
        key = (origin_record.KIND, origin_record.NAME)
        replay.store.revision += 1
        spoiled = records.Record(origin_record.NAME, "[" * 3_000, replay.store.revision)
        replay.store.kept[key] = spoiled
        replay.restart_all()
        await replay.run(SETTLE_MS)
        assert await origins(replay) == {None}
        begin(replay.fleet.live()[0])
        await replay.run(RECORDED_MS)
        assert origin_record.decode(replay.store.kept[key].value) is not None
        assert await origins(replay) == {None}

    play(test)


def test_a_record_survives_encoding():
    uses = origin_uses.OriginUses(5, 2)
    uses = uses.with_begun([stream_origins.RouteOrigin(ROUTE, V1)])
    uses = uses.with_ended([stream_origins.RouteOrigin("other", V2)], 7)
    assert origin_record.decode(origin_record.encode(uses)) == uses
    assert origin_record.decode('{"since": "soon"}') is None


def test_a_calm_fleet_writes_the_record_once_and_hardly_reads_it():
    async def test(replay: store_replay.StoreReplay) -> None:
        before = dict(replay.store.by_call)
        for _ in range(60):
            for node in replay.fleet.live():
                begin(node)
            await replay.run(1_000)
        made = {name: replay.store.by_call[name] - before.get(name, 0) for name in before}
        assert made["write record"] <= 2
        assert made["list records"] <= len(replay.fleet.live()) + 60_000 / origin_record.REFRESH_MS

    play(test)
