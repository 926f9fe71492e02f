"""Quotas in large fleets are kept through partitions, restarts and frozen nodes.

In any window the fleet admits at most rate and burst times a tolerated factor, plus a fixed excess.
"""

import collections
import dataclasses
import random

import hypothesis
import pytest
from hypothesis import strategies

from plumarch.core import traffic
from plumarch.gateway import fleet_state
from plumarch.limits import quota_tolerance, workspace_quota
from plumarch.membership import tiers
from plumarch.routing import endpoint_choice
from plumarch.standins import gossip_fleet

WINDOW_MS = 8_000
TOLERANCE = quota_tolerance.Tolerance(WINDOW_MS, 0.1, 72_000.0)
RATE = 20_000.0
BURST = 30_000.0
STEP_MS = 50
OFFERED = 8.0
"""Load of random sessions in multiples of the rate."""


@dataclasses.dataclass(slots=True)
class LoadResult:
    """Result of a load.

    Attributes:
      units: units of all requests.
      steps: units admitted in each step.
    """

    requests: int = 0
    refused: int = 0
    units: float = 0.0
    steps: list[float] = dataclasses.field(default_factory=list)

    def refused_fraction(self) -> float:
        """Return the fraction of the requests that was refused."""
        return self.refused / max(1, self.requests)

    def refused_units_fraction(self) -> float:
        """Return the fraction of the units that was refused."""
        return 1.0 - sum(self.steps) / self.units


class Session:
    """A fleet under load that counts the units admitted in any window."""

    def __init__(self, size: gossip_fleet.Size, seed: int, knows_all: bool = True) -> None:
        self.fleet = gossip_fleet.GossipFleet(size, seed, knows_all)
        self.offered = OFFERED
        self.pending_units = 0.0
        self.rng = random.Random(seed)
        self.space: traffic.Workspace = self.fleet.table.workspaces["w0"]
        for node in self.fleet.live():
            self.reset_quota(node)
        self.admitted: collections.deque[tuple[int, float]] = collections.deque()
        self.total = 0.0
        self.most = 0.0
        self.fleet.run(3_000)

    def reset_quota(self, node: gossip_fleet.Node) -> None:
        """Reset a node's quota to that of a new process."""
        now = self.fleet.time.now()
        node.state.quota = workspace_quota.WorkspaceQuota(self.fleet.time, now, TOLERANCE)
        node.state.quota.retain(self.fleet.table.workspaces)

    def serve(self, for_ms: int) -> None:
        """Offer the session's load to nodes chosen at random."""
        for _ in range(for_ms // STEP_MS):
            self.fleet.run(STEP_MS)
            self.pending_units += self.offered * RATE * STEP_MS / 1000.0
            while self.pending_units > 0:
                units = self.rng.uniform(200, 9_000)
                self.pending_units -= units
                node = self.rng.choice(self.fleet.live())
                if not node.frozen and node.state.quota.admit(self.space, units) == 0:
                    self.record(units)
                    self.send(node, units)

    def offer_load(
        self,
        units_per_s: float,
        for_ms: int,
        max_units: float = 9_000.0,
        nodes: int = 0,
        step_ms: int = STEP_MS,
    ) -> LoadResult:
        """Offer a load in units a second.

        Args:
          max_units: units of the largest request.
          nodes: how many nodes receive requests; all if 0.
        """
        result, pending_units = LoadResult(), 0.0
        chosen = self.fleet.live()[: nodes or None]
        for _ in range(for_ms // step_ms):
            self.fleet.run(step_ms)
            pending_units += units_per_s * step_ms / 1000.0
            admitted = 0.0
            while pending_units > 0:
                units = self.rng.uniform(200, max_units)
                pending_units -= units
                node = self.rng.choice(chosen)
                result.requests += 1
                result.units += units
                if node.state.quota.admit(self.space, units) == 0:
                    self.record(units)
                    self.send(node, units)
                    admitted += units
                else:
                    result.refused += 1
            result.steps.append(admitted)
        return result

    def send(self, node: gossip_fleet.Node, units: float) -> None:
        """Send a prompt to an engine that reads it at once."""
        node.state.chooser.own["e"] = endpoint_choice.Load(1, units)
        prompt = fleet_state.SentPrompt("e", units, self.space.name, units)
        assert node.state.announce_prompt is not None
        node.state.announce_prompt(prompt)
        del node.state.chooser.own["e"]

    def record(self, units: float) -> None:
        """Count admitted units in the last window."""
        now = self.fleet.time.now()
        self.admitted.append((now, units))
        self.total += units
        while self.admitted[0][0] <= now - WINDOW_MS:
            self.total -= self.admitted.popleft()[1]
        self.most = max(self.most, self.total)

    def restart(self, node: gossip_fleet.Node) -> None:
        """Kill a process and start another one in its place, with an unknown quota level."""
        self.reset_quota(self.fleet.start(node.number, node.data_centre))


ALLOWED = (RATE * WINDOW_MS / 1000.0 + BURST) * 1.1 + 72_000.0
SIZE = gossip_fleet.Size(3, 10, workspaces=1, rate=RATE, burst=BURST)


@pytest.mark.parametrize("nodes_each", [10, 39])
def test_without_faults_a_fleet_admits_the_quota_and_no_more(nodes_each: int):
    size = gossip_fleet.Size(3, nodes_each, workspaces=1, rate=RATE, burst=BURST)
    session = Session(size, 1)
    session.serve(10_000)
    assert RATE * WINDOW_MS / 1000.0 <= session.most <= ALLOWED


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("with_coordinators", [False, True])
def test_quotas_are_kept_with_a_third_of_the_nodes_isolated(seed: int, with_coordinators: bool):
    """24 of 69 nodes are isolated at half of the rate, and then the load is six times the rate."""
    size = gossip_fleet.Size(3, 23, workspaces=1, rate=RATE, burst=BURST)
    session = Session(size, seed, knows_all=False)
    session.offered = 0.5
    session.serve(9_000)
    fleet = session.fleet
    cut = set(session.rng.sample([node.name for node in fleet.live()], 24))
    if with_coordinators:
        cut |= {node.name for node in fleet.with_role(tiers.Role.COORDINATOR)}
    fleet.cut = lambda one, other: one.name in cut or other.name in cut
    session.serve(2_000)
    session.offered = 6.0
    session.serve(10_000)
    fleet.cut = lambda one, other: False
    session.serve(4_000)
    assert session.most <= ALLOWED, session.most / ALLOWED


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["cut centre", "cut node", "kill coordinator", "kill some", "freeze", "lose", "heal"]
        ),
        strategies.integers(0, 1_000),
        strategies.integers(2, 30),
    ),
    min_size=3,
    max_size=8,
)


@hypothesis.settings(max_examples=12, derandomize=True, deadline=None)
@hypothesis.given(STEPS, strategies.integers(0, 1_000))
def test_the_rule_holds_in_random_sessions(steps, seed):
    session = Session(SIZE, seed)
    fleet = session.fleet
    for kind, pick, length in steps:
        harm(session, kind, pick)
        session.serve(length * 100)
    fleet.cut = lambda one, other: False
    session.serve(2_000)
    assert session.most <= ALLOWED, session.most / ALLOWED


def harm(session: Session, kind: str, pick: int) -> None:
    """Apply one fault to a fleet, or heal all."""
    fleet = session.fleet
    nodes = fleet.live()
    node = nodes[pick % len(nodes)]
    if kind == "cut centre":
        name = node.data_centre
        fleet.cut = lambda one, other: (one.data_centre == name) != (other.data_centre == name)
    elif kind == "cut node":
        fleet.cut = lambda one, other: node in (one, other)
    elif kind == "kill coordinator":
        found = fleet.with_role(tiers.Role.COORDINATOR) or nodes
        session.restart(found[pick % len(found)])
    elif kind == "kill some":
        for other in nodes[pick % 3 :: 3]:
            session.restart(other)
    elif kind == "freeze":
        node.frozen = True
    elif kind == "lose":
        fleet.loss_fraction, fleet.late_ms = 0.1, 100
    else:
        fleet.cut = lambda one, other: False
        fleet.loss_fraction, fleet.late_ms = 0.0, 0
        for other in nodes:
            if other.frozen:
                fleet.thaw(other)


OVER_REGIONS = gossip_fleet.Size(4, 7, workspaces=1, rate=RATE, burst=BURST, regions=2)

REGION_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["cut region", "cut centre", "kill coordinator", "kill some", "freeze", "lose", "heal"]
        ),
        strategies.integers(0, 1_000),
        strategies.integers(2, 30),
    ),
    min_size=3,
    max_size=8,
)


@pytest.mark.parametrize("with_coordinators", [False, True])
def test_quotas_are_kept_through_the_partition_of_a_region(with_coordinators: bool):
    session = Session(OVER_REGIONS, 1, knows_all=False)
    session.serve(3_000)
    harm_region(session, 0)
    if with_coordinators:
        for node in session.fleet.with_role(tiers.Role.COORDINATOR):
            session.restart(node)
    session.serve(8_000)
    session.fleet.cut = lambda one, other: False
    session.serve(5_000)
    assert session.most <= ALLOWED, session.most / ALLOWED


@hypothesis.settings(max_examples=8, derandomize=True, deadline=None)
@hypothesis.given(REGION_STEPS, strategies.integers(0, 1_000))
def test_the_rule_holds_in_random_sessions_over_regions(steps, seed):
    session = Session(OVER_REGIONS, seed)
    for kind, pick, length in steps:
        if kind == "cut region":
            harm_region(session, pick)
        else:
            harm(session, kind, pick)
        session.serve(length * 100)
    session.fleet.cut = lambda one, other: False
    session.serve(2_000)
    assert session.most <= ALLOWED, session.most / ALLOWED


def harm_region(session: Session, pick: int) -> None:
    """Partition a region from the others."""
    fleet = session.fleet
    region = sorted(set(fleet.regions.values()))[pick % OVER_REGIONS.regions]
    fleet.cut = lambda one, other: (
        (fleet.region_of(one) == region) != (fleet.region_of(other) == region)
    )
