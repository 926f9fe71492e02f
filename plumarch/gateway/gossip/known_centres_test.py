"""Data centres of a large fleet discover each other, whatever their seeds."""

import dataclasses
import random

import hypothesis
import pytest
from hypothesis import strategies

from plumarch.membership import fleet_view, tiers
from plumarch.standins import gossip_fleet

CONTACT_MS = 5_000
"""Maximum time until a node knows all others."""

STEP_MS = 100
START_MS = 2_000
"""Time within which all processes start, in any order."""

LATE_MS = 3_000
LOSE = 0.03

SIZE = gossip_fleet.Size(6, 12, counts=(13, 12, 12, 12, 12, 12), regions=3)
"""Six data centres in three regions, 73 nodes."""

SEEDS = tuple(gossip_fleet.address_of(0, centre) for centre in ("dc-a", "dc-b", "dc-c"))
"""One node in one data centre of each region."""

STALE = ("10.9.9.9:7600", "10.9.9.8:7600")
"""Addresses of nodes that no longer exist."""


def unreached(fleet: gossip_fleet.GossipFleet) -> list[str]:
    """Return the data centres and peers that nodes do not reach.

    A seed that never answered counts as an unreachable node.
    """
    centres = {node.data_centre for node in fleet.live()}
    never = len(set(fleet.starts.seeds) & set(STALE))
    expected = len(fleet.live()) / (len(fleet.live()) + never)
    found = []
    for node in fleet.live():
        view = node.view
        missing = centres - {node.data_centre, *view.live_centres()}
        if view.role is tiers.Role.COORDINATOR and missing:
            found.append(f"{node.name} does not reach {sorted(missing)}")
        peers = {peer.name for peer in view.live()}
        unknown = {other.name for other in fleet.live()} - {node.name, *peers}
        if view.role is tiers.Role.FLAT and unknown:
            found.append(f"{node.name} does not reach {sorted(unknown)}")
        if view.reachable_fraction() < expected:
            found.append(f"{node.name} ({view.role.value}) reaches {view.reachable_fraction():.3f}")
    return found


def assert_acquainted(fleet: gossip_fleet.GossipFleet) -> None:
    """Run the fleet until all nodes know each other."""
    for _ in range(CONTACT_MS // STEP_MS):
        fleet.run(STEP_MS)
        if not unreached(fleet):
            return
    raise AssertionError(unreached(fleet))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_data_centres_without_seeds_discover_each_other(seed: int):
    starts = gossip_fleet.Starts(seeds=SEEDS, within_ms=1_000)
    fleet = gossip_fleet.GossipFleet(SIZE, seed, knows_all=False, starts=starts)
    fleet.run(starts.within_ms + CONTACT_MS)
    assert not unreached(fleet)


# Any fleet, any seeds, any order of starts.


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """A fleet and the seeds and order of its start."""

    counts: tuple[int, ...]
    regions: int
    seeds: str
    number: int

    def fleet(self) -> gossip_fleet.GossipFleet:
        """Return the fleet before the start of its processes."""
        size = gossip_fleet.Size(len(self.counts), 0, counts=self.counts, regions=self.regions)
        fleet = gossip_fleet.GossipFleet(size, self.number, False, self._starts())
        fleet.loss_fraction = LOSE
        return fleet

    def _starts(self) -> gossip_fleet.Starts:
        rng = random.Random(self.number)
        names = [gossip_fleet.name_of(centre) for centre in range(len(self.counts))]
        first = [gossip_fleet.address_of(0, name) for name in names]
        of_one = rng.randrange(len(names))
        some = tuple(
            gossip_fleet.address_of(number, names[of_one])
            for number in range(min(3, self.counts[of_one]))
        )
        if self.seeds == "one data centre":
            return gossip_fleet.Starts(some, within_ms=START_MS)
        if self.seeds == "one each":
            return gossip_fleet.Starts(tuple(first), within_ms=START_MS)
        if self.seeds == "late":
            late = {f"{names[of_one]}-0": START_MS + LATE_MS}
            return gossip_fleet.Starts(some[:1], within_ms=START_MS, late=late)
        if self.seeds == "stale":
            return gossip_fleet.Starts((*STALE, *some[:1]), within_ms=START_MS)
        assert self.seeds == "the one before"
        chain = {
            name: (first[number], first[max(0, number - 1)]) for number, name in enumerate(names)
        }
        return gossip_fleet.Starts(seeds_of=chain, within_ms=START_MS)

    def started_ms(self) -> int:
        """Return when the last process has started."""
        return START_MS + (LATE_MS if self.seeds == "late" else 0)


KINDS = ["one data centre", "one each", "late", "stale", "the one before"]

WITHOUT_SHRINKING = [hypothesis.Phase.explicit, hypothesis.Phase.generate]
"""Cases are small, and shrinking one takes minutes."""

CASES = strategies.builds(
    Case,
    strategies.lists(strategies.integers(1, 12), min_size=2, max_size=9).map(tuple),
    strategies.integers(1, 4),
    strategies.sampled_from(KINDS),
    strategies.integers(0, 10_000),
)

LARGE_CASES = [
    Case((5,) * 21, 8, "one data centre", 1),
    Case((4,) * 21, 8, "the one before", 2),
    Case((1,) * 21, 8, "stale", 3),
    Case((40, 1, 40), 3, "late", 4),
    Case((1, 40), 2, "one each", 5),
    Case((1,) * 13 + (6, 7), 5, "the one before", 6),
]


@pytest.mark.parametrize("case", LARGE_CASES, ids=lambda case: f"{case.number}")
def test_nodes_of_large_and_uneven_fleets_discover_each_other(case: Case):
    fleet = case.fleet()
    fleet.run(case.started_ms())
    assert_acquainted(fleet)


@hypothesis.settings(max_examples=25, derandomize=True, deadline=None, phases=WITHOUT_SHRINKING)
@hypothesis.given(CASES)
def test_any_fleet_gets_acquainted(case: Case):
    fleet = case.fleet()
    fleet.run(case.started_ms())
    assert_acquainted(fleet)


# Partitions that heal.


CUTS = strategies.tuples(
    strategies.sampled_from(["a region", "a data centre", "two data centres", "some nodes"]),
    strategies.integers(0, 1_000),
    strategies.sampled_from([1_000, 4_000]),
)


def cut(fleet: gossip_fleet.GossipFleet, kind: str, pick: int) -> None:
    """Partition a fleet."""
    nodes = fleet.live()
    node, other = nodes[pick % len(nodes)], nodes[(pick * 7 + 3) % len(nodes)]
    if kind == "a region":
        apart = {one.name for one in nodes if fleet.region_of(one) == fleet.region_of(node)}
    elif kind == "a data centre":
        apart = {one.name for one in nodes if one.data_centre == node.data_centre}
    elif kind == "some nodes":
        apart = {one.name for one in nodes[pick % 3 :: 3]}
    else:
        pair = {node.data_centre, other.data_centre}
        fleet.cut = lambda one, two: {one.data_centre, two.data_centre} == pair
        return
    fleet.cut = lambda one, two: (one.name in apart) != (two.name in apart)


def heal(fleet: gossip_fleet.GossipFleet) -> None:
    fleet.cut = lambda one, two: False


@hypothesis.settings(max_examples=12, derandomize=True, deadline=None, phases=WITHOUT_SHRINKING)
@hypothesis.given(CASES, strategies.lists(CUTS, min_size=1, max_size=3))
def test_any_fleet_is_acquainted_again_after_a_cut_heals(case: Case, cuts: list):
    fleet = case.fleet()
    fleet.run(case.started_ms() + CONTACT_MS)
    for kind, pick, for_ms in cuts:
        cut(fleet, kind, pick)
        fleet.run(for_ms)
    heal(fleet)
    assert_acquainted(fleet)


@pytest.mark.parametrize("kind", ["a region", "a data centre", "some nodes"])
@pytest.mark.parametrize("counts", [(3, 2, 2, 2), (8, 7, 7, 8)], ids=["small", "large"])
def test_a_partition_longer_than_the_retention_of_peers_heals(counts, kind: str):
    """Neither side counts the other one any more when the partition heals."""
    fleet = Case(counts, 2, "one data centre", 3).fleet()
    fleet.run(START_MS + CONTACT_MS)
    cut(fleet, kind, 1)
    fleet.run(2 * fleet_view.RETENTION_MS + CONTACT_MS)
    assert unreached(fleet)
    heal(fleet)
    assert_acquainted(fleet)


def test_two_halves_of_a_data_centre_discover_each_other_after_a_partition_from_the_start():
    fleet = gossip_fleet.GossipFleet(gossip_fleet.Size(3, 12), 1, knows_all=False)
    halves = {f"dc-a-{number}" for number in range(6)}
    fleet.cut = lambda one, two: (
        one.data_centre == two.data_centre == "dc-a"
        and ((one.name in halves) != (two.name in halves))
    )
    fleet.run(CONTACT_MS)
    heal(fleet)
    assert_acquainted(fleet)
    coordinators = [one.name for one in fleet.with_role(tiers.Role.COORDINATOR)]
    assert len([name for name in coordinators if name.startswith("dc-a")]) == tiers.COORDINATORS
