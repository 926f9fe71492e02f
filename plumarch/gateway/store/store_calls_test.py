"""Store calls of a whole fleet: few, within the store's limits, and no node misses a change."""

from collections.abc import Awaitable, Callable

import pytest

from plumarch.core import traffic
from plumarch.gateway.store import follower
from plumarch.membership import store_followers
from plumarch.standins import gossip_fleet, store_replay, virtual_time

LARGEST = gossip_fleet.Size(20, 15)
CENTRES = 6
SIZE = gossip_fleet.Size(CENTRES, 12)
WRITES_PER_S = 1_200
READS_PER_S = 6_000
START_MS = 2_250
"""Time until a fleet has made all calls of its start; nodes write their records after 2 s."""

SETTLE_MS = 4_000
REACHED_MS = 2_500
"""Maximum time until a change reaches all nodes; the requirement is 2 to 4 s."""


def endpoint(state: traffic.EndpointState = traffic.EndpointState.READY) -> traffic.Endpoint:
    return traffic.Endpoint("e", "s", "10.0.0.9:80", "dc-a", 8, state)


def play(
    size: gossip_fleet.Size,
    test: Callable[[store_replay.StoreReplay, store_replay.CountedStore], Awaitable[None]],
    seed: int = 1,
) -> store_replay.CountedStore:
    stores = []

    async def run() -> None:
        store = store_replay.CountedStore()
        stores.append(store)
        replay = store_replay.StoreReplay(size, store, seed)
        try:
            await test(replay, store)
        finally:
            replay.stop()

    virtual_time.run(run())
    return stores[0]


def assert_within_limits(store: store_replay.CountedStore) -> None:
    assert max(store.reads.values()) < READS_PER_S
    assert max(store.writes.values(), default=0) < WRITES_PER_S


def test_a_fleet_whose_nodes_all_start_and_restart_at_once_makes_few_calls():
    async def test(replay: store_replay.StoreReplay, store: store_replay.CountedStore) -> None:
        for _ in range(2):
            await replay.run(START_MS)
            assert replay.stale_nodes() == []
            replay.restart_all()

    store = play(LARGEST, test)
    assert_within_limits(store)
    started = 2 * LARGEST.data_centres * LARGEST.nodes_each
    assert store.by_call["write record"] <= LARGEST.data_centres
    assert store.reads.total() < 3.2 * started


def test_a_store_that_recovers_after_ten_seconds_is_not_overloaded():
    async def test(replay: store_replay.StoreReplay, store: store_replay.CountedStore) -> None:
        await replay.run(1_500)
        before = store.calls()
        store.down = True
        await replay.run(10_000)
        nodes = len(replay.fleet.live())
        assert store.calls() - before < 5 * nodes
        store.down = False
        store.configure()
        await replay.run(REACHED_MS)
        assert replay.stale_nodes() == []
        assert len(replay.followers()) <= 2 * store_followers.MAX_PER_CENTRE * LARGEST.data_centres

    assert_within_limits(play(LARGEST, test))


def freeze(replay: store_replay.StoreReplay, node: gossip_fleet.Node) -> None:
    node.frozen = True


def kill(replay: store_replay.StoreReplay, node: gossip_fleet.Node) -> None:
    replay.kill(node)


def refuse(replay: store_replay.StoreReplay, node: gossip_fleet.Node) -> None:
    replay.store.refused.add(node.name)


def silence(replay: store_replay.StoreReplay, node: gossip_fleet.Node) -> None:
    replay.store.unresponsive.add(node.name)


FAULTS = [freeze, kill, refuse, silence]
Fault = Callable[[store_replay.StoreReplay, gossip_fleet.Node], None]


async def change_all(replay: store_replay.StoreReplay) -> None:
    """Change the configuration and an endpoint, and assert that all running nodes learn both."""
    replay.store.configure()
    replay.store.put(endpoint(traffic.EndpointState.DRAINING))
    await replay.run(REACHED_MS)
    frozen = {node.name for node in replay.fleet.live() if node.frozen}
    assert set(replay.stale_nodes()) <= frozen


def test_one_node_of_each_of_many_data_centres_follows_the_store():
    async def test(replay: store_replay.StoreReplay, store: store_replay.CountedStore) -> None:
        await replay.run(SETTLE_MS)
        following = replay.followers()
        assert len(following) == len({node.data_centre for node in following}) == CENTRES
        await change_all(replay)

    play(SIZE, test)


@pytest.mark.parametrize("fault", FAULTS)
def test_a_change_reaches_all_nodes_when_a_data_centre_loses_its_only_follower(fault: Fault):
    async def test(replay: store_replay.StoreReplay, store: store_replay.CountedStore) -> None:
        store.put(endpoint())
        await replay.run(SETTLE_MS)
        [lost] = [node for node in replay.followers() if node.data_centre == "dc-c"]
        fault(replay, lost)
        await change_all(replay)
        await replay.run(SETTLE_MS)
        following = [node for node in replay.followers() if node.data_centre == "dc-c"]
        assert [node for node in following if node is not lost]
        assert len(following) <= 2
        await change_all(replay)

    play(SIZE, test)


@pytest.mark.parametrize("fault", [freeze, kill, refuse])
def test_a_change_reaches_all_nodes_when_all_followers_but_one_are_lost(fault: Fault):
    async def test(replay: store_replay.StoreReplay, store: store_replay.CountedStore) -> None:
        store.put(endpoint())
        await replay.run(SETTLE_MS)
        for node in replay.followers()[1:]:
            fault(replay, node)
        await change_all(replay)

    play(SIZE, test)


def test_a_node_rejected_since_its_start_serves_and_gets_changes_from_its_peers():
    async def test(replay: store_replay.StoreReplay, store: store_replay.CountedStore) -> None:
        alone = {"dc-a-0", "dc-b-3", "dc-c-11"}
        store.refused |= alone
        store.put(endpoint())
        await replay.run(SETTLE_MS)
        assert replay.stale_nodes() == []
        for name in alone:
            assert replay.fleet.nodes[name].state.table_source != follower.STORE
        await change_all(replay)

    play(SIZE, test)


def test_a_partitioned_data_centre_has_two_followers_again():
    async def test(replay: store_replay.StoreReplay, store: store_replay.CountedStore) -> None:
        await replay.run(SETTLE_MS)
        replay.fleet.cut = lambda one, other: one.data_centre != other.data_centre
        await replay.run(SETTLE_MS)
        following = [node for node in replay.followers() if node.data_centre == "dc-c"]
        assert len(following) == store_followers.MAX_PER_CENTRE
        await change_all(replay)

    play(SIZE, test)
