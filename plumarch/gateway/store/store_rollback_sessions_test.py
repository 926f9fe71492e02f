"""Random sessions of fleets whose store comes back from older copies, on virtual time.

Beside it nodes are killed, cut off, rejected by the store, and run an earlier build.
"""

import random
from typing import Any, cast

import msgspec
import pytest

from plumarch.core import traffic
from plumarch.gateway.store import store_calls_test
from plumarch.peers import gossip
from plumarch.standins import gossip_fleet, store_replay

SMALL = gossip_fleet.Size(3, 0, counts=(3, 3, 2))
LARGE = gossip_fleet.Size(6, 0, counts=(33, 33, 33, 32, 32, 32))
DRAIN_MS = 2_000
"""Time within which a drain that the store acknowledged is in force."""

SETTLE_MS = 4_000
STARTED_MS = 3_000
AWAY_MS = 600
LOST_WRITES = 500
"""Most writes of other kinds that are lost with the store."""

STEP_MS = 100


def endpoint(number: int, state: traffic.EndpointState) -> traffic.Endpoint:
    return traffic.Endpoint(f"e{number}", "s", "10.0.0.9:80", "dc-a", 8, state)


class Session:
    """A fleet, its store, and endpoints that drain at random."""

    def __init__(
        self, replay: store_replay.StoreReplay, store: store_replay.CountedStore, seed: int
    ) -> None:
        self.replay = replay
        self.store = store
        self.rng = random.Random(seed)
        self.count = 0
        self.draining: dict[str, float] = {}
        self.started: dict[str, float] = {}
        self.away = self.returned = 0.0
        for _ in range(4):
            self.add()

    def now(self) -> float:
        return self.replay.fleet.time.now()

    def add(self) -> None:
        self.store.put(endpoint(self.count, traffic.EndpointState.READY))
        self.count += 1

    def drain(self) -> None:
        number = self.rng.randrange(self.count)
        if f"e{number}" not in self.draining:
            self.store.put(endpoint(number, traffic.EndpointState.DRAINING))
            self.draining[f"e{number}"] = self.now()
            self.add()

    def write_again(self) -> None:
        """Write again what the store lost, as endpoints and operators do."""
        for number in range(self.count):
            state = traffic.EndpointState.READY
            if f"e{number}" in self.draining:
                state = traffic.EndpointState.DRAINING
            wanted = endpoint(number, state)
            if self.store.endpoints.get(wanted.id, (0, None))[1] != wanted:
                self.store.put(wanted)

    async def run(self, for_ms: int) -> None:
        for _ in range(for_ms // STEP_MS):
            await self.replay.run(STEP_MS)
            self.check_drains()

    def check_drains(self) -> None:
        """Assert that nodes in touch don't use endpoints that drain."""
        now = self.now()
        for node in self.replay.fleet.live():
            started = self.started.get(node.name, 0)
            if now - started < STARTED_MS or node.name in self.store.refused:
                continue
            used = {one.id for one in node.state.registry.ready("s")}
            late = {
                name
                for name, at in self.draining.items()
                if now - at > DRAIN_MS and not self.may_be_unknown(at, started)
            }
            assert not used & late, (node.name, used & late)

    def may_be_unknown(self, drained: float, started: float) -> bool:
        """Return whether a node may not know yet of a drain that the store lost."""
        if self.now() - self.returned >= STARTED_MS:
            return False
        return drained > self.away - DRAIN_MS or started > drained

    async def roll_back(self) -> None:
        """Return to a copy 1 to 8 s old, with drains and new endpoints meanwhile."""
        backup = self.store.back_up()
        await self.run(self.rng.randrange(1_000, 8_000))
        self.store.revision += self.rng.randrange(LOST_WRITES)
        self.drain()
        await self.run(self.rng.randrange(0, 1_500) + STEP_MS)
        self.store.down = True
        self.away = self.returned = self.now()
        await self.run(AWAY_MS)
        self.store.down = False
        self.store.restore(backup)
        self.returned = self.now()
        await self.replay.run(self.rng.choice((25, 400)))
        self.write_again()

    def disturb(self) -> None:
        live = self.replay.fleet.live()
        node = self.rng.choice(live)
        match self.rng.randrange(4):
            case 0:
                self.replay.kill(node)
                started = self.replay.fleet.start(node.number, node.data_centre, knows_all=False)
                self.replay.begin(started)
                self.started[node.name] = self.now()
            case 1:
                self.store.refused.add(node.name)
            case 2:
                self.store.refused.clear()
                for one in live:
                    self.started[one.name] = self.now()
            case _:
                pass

    async def play(self, rollbacks: int) -> None:
        await self.run(SETTLE_MS)
        for _ in range(rollbacks):
            self.disturb()
            await self.roll_back()
            await self.run(1_000)
            self.drain()
            await self.run(DRAIN_MS + 1_000)
            if self.rng.random() < 0.3:
                await self.roll_back()
        self.store.refused.clear()
        await self.run(SETTLE_MS)
        assert self.replay.stale_nodes() == []


def play(size: gossip_fleet.Size, seed: int, rollbacks: int) -> store_replay.CountedStore:
    async def test(replay: store_replay.StoreReplay, store: store_replay.CountedStore) -> None:
        await Session(replay, store, seed).play(rollbacks)

    return store_calls_test.play(size, test, seed)


@pytest.mark.parametrize("seed", range(12))
def test_drains_are_in_force_within_their_bound_after_any_rollback(seed: int):
    play(SMALL, seed, rollbacks=4)


def test_a_large_fleet_keeps_drains_and_reads_no_more_than_at_a_start():
    store = play(LARGE, 1, rollbacks=1)
    store_calls_test.assert_within_limits(store)


def without_eras(node: gossip_fleet.Node) -> None:
    """Have a node send what a build sends that knows no eras."""
    send = cast(Any, node.gossip.transport).sendto

    def sendto(datagram: bytes, to: tuple[str, int]) -> None:
        tag, *fields = msgspec.msgpack.decode(datagram)
        if tag == gossip.Heartbeat.__struct_config__.tag:
            fields = fields[: gossip.Heartbeat.__struct_fields__.index("store_era")]
        send(msgspec.msgpack.encode([tag, *fields]), to)

    cast(Any, node.gossip.transport).sendto = sendto


@pytest.mark.parametrize("seed", range(3))
def test_nodes_beside_those_that_report_no_era_follow_the_store_themselves(seed: int):
    """The most senior nodes of each data centre run the earlier build."""
    size = gossip_fleet.Size(3, 6)

    async def test(replay: store_replay.StoreReplay, store: store_replay.CountedStore) -> None:
        store.era = 1
        for node in replay.fleet.live():
            if node.number % 2 == 0:
                without_eras(node)
        await Session(replay, store, seed).play(rollbacks=1)

    store_calls_test.play(size, test, seed)
