"""Roll-outs on virtual time, with partitions, restarts and store outages."""

import contextlib
import random
from collections.abc import Mapping

import hypothesis
import msgspec
from hypothesis import strategies

from plumarch.config import routing_table
from plumarch.core import clock, errors, records, revisions, rollouts, traffic
from plumarch.fleet import rollout, version_tally
from plumarch.gateway import ports
from plumarch.gateway.duties import duty_holder
from plumarch.gateway.gossip import gossiper, heartbeats
from plumarch.membership import fleet_view
from plumarch.standins import gateway_parts

START_MS = 1_000_000_000
SCHEDULE = duty_holder.UsageSchedule(5_000, 1_500, 7_500)
EXPOSURE = rollout.Exposure(0.1, 50.0)
DURATION_MS = 20_000
TICK_MS = 100
NODES = 3


class Store:
    """One store for all nodes.

    Attributes:
      down: whether all calls fail.
      changed: how many of the next reports are rejected because the order has changed.
      states: the reported states, in order.
    """

    def __init__(self) -> None:
        self.record: records.Record | None = None
        self.number = 0
        self.era = 0
        self.down = False
        self.changed = 0
        self.states: list[str] = []

    def _reach(self) -> None:
        if self.down:
            raise errors.PlatformUnavailable("down")

    async def read_record(self, kind: str, name: str) -> records.Record | None:
        self._reach()
        return self.record

    async def write_record(self, kind: str, record: records.Record) -> records.Record:
        self._reach()
        if record.revision != (self.record.revision if self.record else 0):
            raise errors.PlatformConflict("changed")
        self.number += 1
        revision = revisions.of(self.era, self.number)
        self.record = records.Record(record.name, record.value, revision)
        return self.record

    def restore(self, number: int, record: records.Record | None) -> None:
        """Return to a copy; its record has the same number in the new era."""
        self.era += 1
        self.number = number
        if record is not None:
            revision = revisions.of(self.era, revisions.number(record.revision))
            record = records.Record(record.name, record.value, revision)
        self.record = record

    async def report_rollout(
        self, order: rollouts.RolloutOrder, state: rollouts.RolloutState
    ) -> None:
        self._reach()
        if self.changed:
            self.changed -= 1
            raise errors.PlatformConflict("changed")
        self.states.append(state.value)

    async def list_rollouts(self) -> ports.RolloutUpdate:
        raise AssertionError("this test passes orders to the nodes itself")

    def kept_share(self) -> float:
        assert self.record is not None
        return msgspec.json.decode(self.record.value)["rollouts"]["s"]["share"]


class Cloud:
    """Accepts reports and orders."""

    def __init__(self) -> None:
        self.orders: list[records.EngineOrder] = []

    async def report_usage(
        self, lease: records.Lease, window: int, counts: Mapping[str, int]
    ) -> None:
        """Accept a report."""

    async def order(self, lease: records.Lease, order: records.EngineOrder) -> None:
        self.orders.append(order)


class World:
    """A few nodes that get random requests and choose a version for each."""

    def __init__(self, seed: int = 1, new_bad: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.time = clock.ManualClock(START_MS)
        self.store = Store()
        self.cloud = Cloud()
        self.group = [0] * NODES
        self.alive = [True] * NODES
        self.new_bad = new_bad
        self.new_count = 10
        self.got = self.total = self.bad = 0
        self.got_after_limit = 0
        self.limit_ms: int | None = None
        self.order: rollouts.RolloutOrder | None = None
        self.nodes = [Node(self, number) for number in range(NODES)]

    def pass_time(self, milliseconds: int, per_tick: int = 10) -> None:
        for _ in range(milliseconds // TICK_MS):
            self.time.advance_to(self.time.now() + TICK_MS)
            self._exchange()
            for number, node in enumerate(self.nodes):
                if self.alive[number]:
                    node.step()
            for _ in range(per_tick):
                self._request()

    def _exchange(self) -> None:
        sent = [
            (number, node.gossiper.composer.next(leaving=False))
            for number, node in enumerate(self.nodes)
            if self.alive[number]
        ]
        for number, node in enumerate(self.nodes):
            for sender, heartbeat in sent:
                if sender != number and self.group[sender] == self.group[number]:
                    node.gossiper.apply_heartbeat(heartbeat)

    def _request(self) -> None:
        number = self.rng.randrange(NODES)
        if not self.alive[number]:
            return
        state = self.nodes[number].state
        ready = state.registry.ready("s")
        request = f"{self.rng.random()}"
        [chosen, *_] = state.splits.groups("s", ready, request, repeated=False)
        if not chosen:
            return
        is_new = chosen[0].version == "v2"
        is_bad = self.rng.random() < (self.new_bad if is_new else 0.01)
        self.total += 1
        self.got += is_new
        self.bad += is_new and is_bad
        if self.bad >= 50 and self.limit_ms is None:
            self.limit_ms = self.time.now()
        if is_new and self.limit_ms is not None and self.time.now() - self.limit_ms > 5_000:
            self.got_after_limit += 1
        if state.splits.running():
            key = version_tally.TallyKey("s", chosen[0].version, "r")
            state.answers.count(key, is_bad)

    def begin(self, version: str = "v2") -> None:
        """Order a roll-out."""
        self.order = rollouts.RolloutOrder("s", version, DURATION_MS, 5)
        for number in range(NODES):
            self.show_versions(self.nodes[number])

    def show_versions(self, node: "Node") -> None:
        old, new = endpoints("v1", 10), endpoints("v2", self.new_count)
        node.state.registry.replace(old + new, node.state.registry.revision + 1, "store")

    def roll_back(self, number: int, record: records.Record | None) -> None:
        """Have the store come back from a copy, which all nodes notice."""
        self.store.restore(number, record)
        for node in self.nodes:
            node.state.note_store_era(revisions.of(self.store.era, 1), "store")

    def restart(self, number: int) -> None:
        self.nodes[number] = Node(self, number)
        self.alive[number] = True
        if self.order is not None:
            self.show_versions(self.nodes[number])

    def holder(self) -> "Node":
        live = [node for number, node in enumerate(self.nodes) if self.alive[number]]
        return next(node for node in live if node.duties.status.token)

    def shares(self) -> set[float]:
        splits = [
            node.state.splits.of("s")
            for number, node in enumerate(self.nodes)
            if self.alive[number]
        ]
        return {split.share if split and split.may_use() else 0.0 for split in splits}


def endpoints(version: str, count: int) -> list[traffic.Endpoint]:
    ready = traffic.EndpointState.READY
    return [
        traffic.Endpoint(
            f"{version}-{n}", "s", "1:1", "abc"[n % 3], 8, ready, True, version=version
        )
        for n in range(count)
    ]


class Node:
    """One process; a restart makes a new one under the same name."""

    def __init__(self, world: World, number: int) -> None:
        self.world = world
        name = f"n{number}"
        time = world.time
        self.state = gateway_parts.new_state(time, name)
        prices = {"a": 1.0, "b": 1.0, "c": 1.0}
        service = traffic.Service("s", scaling=traffic.Scaling(1, 20, 4_000.0, 0.22, prices))
        configuration = routing_table.Configuration(1, (), (service,), (), traffic.CallerLimits())
        self.state.adopt_table(routing_table.build(configuration), "store")
        self.state.registry.replace(endpoints("v1", 10), 1, "store")
        self.state.splits.groups("s", self.state.registry.ready("s"), "q", repeated=False)
        self.view = fleet_view.FleetView(time, name, time.now() + number, f"10.0.0.{number}:7")
        status = heartbeats.DutyStatus()
        self.gossiper = gossiper.Gossiper(self.state, self.view, status, ())
        self.duties = duty_holder.Duties(
            self.state,
            self.view,
            status,
            world.store,  # type: ignore[arg-type]
            world.cloud,
            SCHEDULE,
            exposure=EXPOSURE,
        )

    def step(self) -> None:
        """Run one step; the holder first gets the order, as from the store."""
        order = self.world.order
        if self.duties.status.token and order is not None and not self.world.store.down:
            self.duties.rollouts.apply_change(rollouts.RolloutChange("s", order))
        elif not self.duties.status.token:
            self.duties.rollouts.resign()
        step = self.duties.step()
        with contextlib.suppress(StopIteration):
            step.send(None)
            raise AssertionError("the step waits for something")


def settled(new_bad: float = 0.0, seed: int = 1) -> World:
    world = World(seed, new_bad)
    world.pass_time(3_000)
    world.begin()
    return world


def allowed(world: World) -> float:
    return EXPOSURE.share * world.total + EXPOSURE.extra_requests


def test_a_good_version_is_completed_in_time_and_all_nodes_end_with_it():
    world = settled(new_bad=0.01)
    world.pass_time(DURATION_MS)
    assert world.store.states == ["running", "completed"]
    assert world.shares() == {1.0}


def test_a_bad_version_is_rolled_back_on_all_nodes_for_good():
    world = settled(new_bad=0.5)
    world.pass_time(8_000)
    assert world.store.states == ["running", "rolled_back"]
    assert world.shares() == {0.0}
    got = world.got
    world.pass_time(20_000)
    assert world.got == got
    assert world.got <= allowed(world)


def test_a_version_stays_rolled_back_after_the_store_lost_the_verdict_and_the_holder_crashed():
    world = World(new_bad=0.5)
    world.pass_time(4_000)
    world.begin()
    world.pass_time(2_000)
    copy = world.store.number, world.store.record
    world.pass_time(DURATION_MS)
    assert world.shares() == {0.0}
    holder = world.holder()
    world.alive[world.nodes.index(holder)] = False
    world.roll_back(*copy)
    got = world.got
    world.pass_time(DURATION_MS)
    assert world.holder() is not holder
    assert (world.got, world.shares()) == (got, {0.0})


def test_a_version_stays_completed_after_the_store_lost_the_verdict_and_the_holder_crashed():
    world = World()
    world.pass_time(4_000)
    world.begin()
    world.pass_time(4_000)
    copy = world.store.number, world.store.record
    world.pass_time(DURATION_MS)
    assert world.shares() == {1.0}
    world.alive[world.nodes.index(world.holder())] = False
    world.roll_back(*copy)
    for _ in range(DURATION_MS // TICK_MS):
        world.pass_time(TICK_MS)
        assert world.shares() == {1.0}
    assert world.store.states[-1] == "completed"


def test_a_holder_records_a_roll_out_again_that_the_store_lost():
    world = World()
    world.pass_time(4_000)
    copy = world.store.number, world.store.record
    world.begin()
    world.pass_time(DURATION_MS // 2)
    token = world.holder().duties.status.token
    share = world.store.kept_share()
    world.roll_back(*copy)
    world.pass_time(1_000)
    assert world.holder().duties.status.token > token
    assert world.store.kept_share() >= share > 0.0


def test_a_larger_share_is_recorded_before_any_node_uses_it():
    world = settled(new_bad=0.01)
    for _ in range(DURATION_MS // TICK_MS):
        world.pass_time(TICK_MS)
        if world.store.record is not None and any(world.shares()):
            assert max(world.shares()) <= world.store.kept_share()


def test_a_successor_resumes_with_the_share_and_start_time_of_its_predecessor():
    world = settled(new_bad=0.01)
    world.pass_time(6_000)
    first = world.holder()
    began = first.duties.rollouts.plans["s"].began_ms
    [share] = world.shares()
    world.alive[world.nodes.index(first)] = False
    world.pass_time(3_000)
    second = world.holder()
    assert second is not first
    assert second.duties.rollouts.plans["s"].began_ms == began
    assert world.shares() == {share}
    world.pass_time(DURATION_MS)
    assert world.store.states[-1] == "completed"


def test_while_the_store_is_down_the_share_does_not_grow_and_a_bad_version_is_stopped():
    world = settled(new_bad=0.01)
    world.pass_time(6_000)
    [share] = world.shares()
    world.store.down = True
    world.pass_time(6_000)
    assert world.shares() == {share}
    world.new_bad = 0.6
    world.pass_time(4_000)
    assert world.shares() == {0.0}
    world.store.down = False
    world.pass_time(12_000)
    assert world.store.states[-1] == "rolled_back"


def test_without_a_holder_the_other_nodes_stop_a_bad_version():
    world = settled(new_bad=0.01)
    world.pass_time(6_000)
    world.store.down = True
    holder = world.holder()
    world.alive[world.nodes.index(holder)] = False
    world.new_bad = 0.6
    world.pass_time(5_000)
    assert world.shares() == {0.0}


def test_the_holder_does_not_resign_when_a_report_conflicts_with_a_changed_order():
    world = settled(new_bad=0.01)
    world.store.changed = 2
    holder = world.holder()
    world.pass_time(3_000)
    assert world.holder() is holder
    assert world.store.states == ["running"]


def test_no_service_shrinks_during_a_roll_out():
    world = settled(new_bad=0.01)
    world.pass_time(10_000)
    assert all(order.count >= 3 for order in world.cloud.orders)


def test_a_node_restarted_during_a_roll_out_starts_with_the_old_version():
    world = settled(new_bad=0.01)
    world.pass_time(5_000)
    world.restart(0)
    state = world.nodes[0].state
    for n in range(100):
        [chosen, *_] = state.splits.groups("s", state.registry.ready("s"), f"{n}", repeated=False)
        assert all(one.version == "v1" for one in chosen)


ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["pass", "pass", "pass", "cut", "heal", "kill", "restart", "down", "up"]
        ),
        strategies.integers(0, NODES - 1),
    ),
    min_size=10,
    max_size=40,
)


@hypothesis.given(ACTIONS, strategies.integers(0, 10_000), strategies.floats(0.2, 0.9))
@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
def test_a_bad_version_never_gets_more_than_it_may(
    actions: list[tuple[str, int]], seed: int, new_bad: float
):
    world = settled(new_bad, seed)
    for name, number in actions:
        if name == "cut":
            world.group[number] = 1 - world.group[number]
        elif name == "heal":
            world.group = [0] * NODES
        elif name == "kill":
            world.alive[number] = False
        elif name == "restart":
            world.restart(number)
        elif name == "down":
            world.store.down = True
        elif name == "up":
            world.store.down = False
        world.pass_time(400)
    assert world.got <= allowed(world)
    world.group = [0] * NODES
    world.store.down = False
    for number in range(NODES):
        if not world.alive[number]:
            world.restart(number)
    world.pass_time(DURATION_MS)
    assert world.got <= allowed(world)
    assert "completed" not in world.store.states
