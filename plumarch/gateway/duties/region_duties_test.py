"""Duties over regions: takeover when a region is partitioned, and no shrinking of unreachable ones.

Six data centres in three regions on virtual time; a region may be cut off from the other regions,
from the platform, or from both.
"""

import contextlib
from collections.abc import Mapping

import hypothesis
import pytest
from hypothesis import strategies

from plumarch.config import routing_table
from plumarch.core import errors, records, traffic
from plumarch.gateway.duties import duty_holder
from plumarch.membership import tiers
from plumarch.routing import distance, engine_speed
from plumarch.standins import gossip_fleet

SCHEDULE = duty_holder.UsageSchedule(5_000, 1_500, 7_500)
REGIONS = {f"dc-{letter}": "nnssww"[number] for number, letter in enumerate("abcdef")}
PRICES = dict.fromkeys(REGIONS, 1.0)
SIZE = gossip_fleet.Size(6, 5)
RUN_EACH = 8
"""Engines that run in each data centre, far more than the demand needs."""

DEMAND_KNOWN_MS = 16_000
"""Time after which the plans of all coordinators know the demand and may shrink."""

TAKEOVER_MS = 6_000
"""Time limit of a takeover from an unreachable holder."""

SPACE = traffic.Workspace("w", ("k",), counts_tokens=True, rate=1e6, burst=1e6)
SERVICE = traffic.Service("s", scaling=traffic.Scaling(1, 20, 4_000.0, 0.18, PRICES))


class Platform:
    """The store and the cloud behind it.

    Attributes:
      out_of_reach: names of nodes that reach neither.
      without_store: whether the store is down for all nodes.
      fence: the highest token of a call so far.
      holders: the node that made calls under each token.
      orders: accepted orders, with the node that sent each.
    """

    def __init__(self) -> None:
        self.record: records.Record | None = None
        self.revision = 0
        self.out_of_reach: set[str] = set()
        self.without_store = False
        self.fence = 0
        self.holders: dict[int, str] = {}
        self.orders: list[tuple[str, records.EngineOrder]] = []

    def reach(self, node: str) -> None:
        if node in self.out_of_reach:
            raise errors.PlatformUnavailable("out of reach")

    def reach_store(self, node: str) -> None:
        self.reach(node)
        if self.without_store:
            raise errors.PlatformUnavailable("the store is down")

    def act(self, node: str, token: int) -> None:
        self.reach(node)
        assert self.holders.setdefault(token, node) == node
        if token < self.fence:
            raise errors.StaleToken("older")
        self.fence = token


class PlatformClient:
    """One process's client of the platform."""

    def __init__(self, platform: Platform, node: gossip_fleet.Node) -> None:
        self.platform = platform
        self.name = node.name
        self.process = f"{node.name}#{node.view.incarnation}"

    async def read_record(self, kind: str, name: str) -> records.Record | None:
        self.platform.reach_store(self.name)
        return self.platform.record

    async def write_record(self, kind: str, record: records.Record) -> records.Record:
        platform = self.platform
        platform.reach_store(self.name)
        if record.revision != (platform.record.revision if platform.record else 0):
            raise errors.PlatformConflict("changed")
        platform.revision += 1
        platform.record = records.Record(record.name, record.value, platform.revision)
        return platform.record

    async def report_usage(
        self, lease: records.Lease, window: int, counts: Mapping[str, int]
    ) -> None:
        self.platform.act(self.name, lease.token)

    async def order(self, lease: records.Lease, order: records.EngineOrder) -> None:
        self.platform.act(self.name, lease.token)
        self.platform.orders.append((self.name, order))


class Session:
    """A fleet whose nodes all take part in the duties."""

    def __init__(self, seed: int = 1, size: gossip_fleet.Size = SIZE) -> None:
        self.fleet = gossip_fleet.GossipFleet(size, seed)
        self.fleet.late_ms = 60
        self.platform = Platform()
        self.duties: dict[gossip_fleet.Node, duty_holder.Duties] = {}
        for node in self.fleet.live():
            self.equip(node)

    def equip(self, node: gossip_fleet.Node) -> None:
        """Set up a process with duties, configuration and endpoints."""
        state, time = node.state, self.fleet.time
        state.distances = distance.Distances(time, node.data_centre, REGIONS)
        configuration = routing_table.Configuration(
            2, (), (SERVICE,), (SPACE,), traffic.CallerLimits()
        )
        state.adopt_table(routing_table.build(configuration), "store")
        run = [
            traffic.Endpoint(
                f"{name}-{number}", "s", "1:1", name, 96, traffic.EndpointState.READY, True
            )
            for name in PRICES
            for number in range(RUN_EACH)
        ]
        state.registry.replace(run, 1, "store")
        for _ in range(2 * engine_speed.KNOWN_AFTER):
            state.chooser.speed("s").first_token(2_000.0, 400.0)
        client = PlatformClient(self.platform, node)
        self.duties[node] = duty_holder.Duties(
            state,
            node.view,
            node.gossip.duty,
            client,  # type: ignore[arg-type]
            client,  # type: ignore[arg-type]
            SCHEDULE,
        )

    def run(self, for_ms: int) -> None:
        """Let time pass with a small load on each node."""
        for _ in range(for_ms // duty_holder.TICK_MS):
            self.fleet.run(duty_holder.TICK_MS)
            for node in self.fleet.live():
                if node.frozen:
                    continue
                node.state.quota.admit(SPACE, 100.0)
                step = self.duties[node].step()
                with contextlib.suppress(StopIteration):
                    step.send(None)
                    raise AssertionError("the step waits for something")

    def holders(self) -> list[gossip_fleet.Node]:
        return [node for node in self.fleet.live() if self.duties[node].status.token]

    def cut_off(self, region: str, from_platform: bool = False) -> None:
        """Partition a region from the others."""
        self.fleet.cut = lambda one, other: (
            (region_of(one) == region) != (region_of(other) == region)
        )
        names = {node.name for node in self.fleet.live() if region_of(node) == region}
        self.platform.out_of_reach = names if from_platform else set()

    def heal(self) -> None:
        """End all partitions."""
        self.fleet.cut = lambda one, other: False
        self.platform.out_of_reach = set()

    def restart(self, node: gossip_fleet.Node) -> None:
        """Kill a process and start another one under its name."""
        del self.duties[node]
        self.equip(self.fleet.start(node.number, node.data_centre))


def region_of(node: gossip_fleet.Node) -> str:
    return REGIONS[node.data_centre]


def shrunk(orders: list[tuple[str, records.EngineOrder]]) -> set[str]:
    """Return the regions in which fewer engines were ordered than run."""
    return {
        REGIONS[order.data_centre] for _, order in orders if order.spot and order.count < RUN_EACH
    }


def test_one_node_holds_the_duties_and_shrinks_all_reachable_regions():
    session = Session()
    session.run(20_000)
    [holder] = session.holders()
    assert holder.view.role is tiers.Role.COORDINATOR
    assert shrunk(session.platform.orders) == set(REGIONS.values())


@pytest.mark.parametrize("from_platform", [False, True])
def test_another_region_takes_over_when_the_holders_region_is_cut_off(from_platform: bool):
    session = Session()
    session.run(DEMAND_KNOWN_MS)
    [before] = session.holders()
    region = region_of(before)
    session.platform.orders.clear()
    session.cut_off(region, from_platform)
    session.run(TAKEOVER_MS)
    after = [node for node in session.holders() if region_of(node) != region]
    assert len(after) == 1
    session.run(20_000)
    outside = [one for one in session.platform.orders if one[0] == after[0].name]
    assert region not in shrunk(outside)
    session.heal()
    session.run(2 * duty_holder.DISPLACED_PAUSE_MS)
    assert len(session.holders()) == 1


def test_a_region_cut_off_with_the_platform_in_reach_does_not_take_the_duties_back():
    session = Session()
    session.run(DEMAND_KNOWN_MS)
    [before] = session.holders()
    region = region_of(before)
    session.cut_off(region)
    session.run(TAKEOVER_MS)
    [after] = session.holders()
    assert region_of(after) != region
    token = session.duties[after].status.token
    session.run(25_000)
    assert session.holders() == [after]
    assert session.duties[after].status.token == token


def test_the_holder_stays_when_all_regions_are_cut_off_from_each_other():
    session = Session()
    session.run(DEMAND_KNOWN_MS)
    holders = session.holders()
    session.fleet.cut = lambda one, other: region_of(one) != region_of(other)
    session.run(25_000)
    assert session.holders() == holders


@pytest.mark.parametrize("with_usage", [False, True])
@pytest.mark.parametrize("counts", [(6, 6, 5, 5, 5, 3), (6, 6, 6, 5, 5, 2)])
def test_the_holder_stays_when_a_tenth_of_the_nodes_or_less_is_cut_off(
    counts: tuple[int, ...], with_usage: bool
):
    session = Session(size=gossip_fleet.Size(6, 5, counts=counts))
    for node in session.duties.values():
        node.tasks = duty_holder.DutyTasks(usage=with_usage, scaling=True)
    session.run(DEMAND_KNOWN_MS)
    [holder] = session.holders()
    assert holder.data_centre != "dc-f"
    session.fleet.cut = lambda one, other: (
        (one.data_centre == "dc-f") != (other.data_centre == "dc-f")
    )
    for _ in range(25):
        session.run(1_000)
        assert session.holders() == [holder]


def test_the_last_live_region_takes_the_duties_over():
    session = Session()
    session.run(DEMAND_KNOWN_MS)
    [before] = session.holders()
    last = next(region for region in "nsw" if region != region_of(before))
    for node in session.fleet.live():
        node.alive = region_of(node) == last
    session.run(duty_holder.HOLDER_GONE_MS + TAKEOVER_MS)
    assert len(session.holders()) == 1


def test_the_holder_does_not_resign_when_renewals_fail():
    session = Session()
    for node in session.duties.values():
        node.tasks = duty_holder.DutyTasks(usage=False, scaling=True)
    session.run(DEMAND_KNOWN_MS)
    [holder] = session.holders()
    session.fleet.cut = lambda one, other: region_of(one) != region_of(other)
    session.platform.without_store = True
    session.run(10_000)
    assert session.holders() == [holder]


def test_a_holder_cut_off_from_other_regions_shrinks_none_of_their_engines():
    session = Session()
    session.run(DEMAND_KNOWN_MS)
    [holder] = session.holders()
    session.platform.orders.clear()
    session.cut_off(region_of(holder))
    session.run(20_000)
    inside = [one for one in session.platform.orders if region_of_name(one[0]) == region_of(holder)]
    assert shrunk(inside) <= {region_of(holder)}


def region_of_name(node: str) -> str:
    return REGIONS[node.rpartition("-")[0]]


def test_a_region_cut_off_only_from_the_platform_hands_the_duties_over():
    session = Session()
    session.run(8_000)
    [before] = session.holders()
    region = region_of(before)
    session.platform.out_of_reach = {
        node.name for node in session.fleet.live() if region_of(node) == region
    }
    session.run(12_000)
    holders = session.holders()
    assert len(holders) == 1
    assert region_of(holders[0]) != region


ACTIONS = ("pass", "pass", "cut", "cut both", "platform", "heal", "kill holder", "freeze", "thaw")
STEPS = strategies.lists(
    strategies.tuples(strategies.sampled_from(ACTIONS), strategies.integers(0, 1_000)),
    min_size=4,
    max_size=9,
)


@hypothesis.settings(max_examples=5, derandomize=True, deadline=None)
@hypothesis.given(STEPS, strategies.integers(0, 1_000))
def test_never_two_holders_under_one_token_whatever_is_cut(steps: list[tuple[str, int]], seed: int):
    """The platform asserts it at each call; once all is well one node holds the duties."""
    session = Session(seed)
    session.run(4_000)
    for name, pick in steps:
        play(session, name, pick)
        session.run(1_500)
    session.heal()
    for node in session.fleet.live():
        if node.frozen:
            session.fleet.thaw(node)
    session.run(2 * duty_holder.DISPLACED_PAUSE_MS)
    assert len(session.holders()) == 1


def play(session: Session, name: str, pick: int) -> None:
    """Apply one action to a fleet."""
    region = "nsw"[pick % 3]
    nodes = session.fleet.live()
    node = (session.holders() or nodes)[0]
    if name in ("cut", "cut both"):
        session.cut_off(region, from_platform=name == "cut both")
    elif name == "platform":
        session.platform.out_of_reach = {one.name for one in nodes if region_of(one) == region}
    elif name == "heal":
        session.heal()
    elif name == "kill holder":
        session.restart(node)
    elif name == "freeze":
        node.frozen = True
    elif name == "thaw":
        for one in nodes:
            if one.frozen:
                session.fleet.thaw(one)
