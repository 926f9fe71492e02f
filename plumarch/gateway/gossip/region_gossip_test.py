"""Gossip between regions under failures."""

import pytest

from plumarch.gateway.gossip import rounds
from plumarch.membership import fleet_view, tiers
from plumarch.standins import gossip_fleet

SETTLE_MS = 4_000
SIZE = gossip_fleet.Size(4, 7, regions=2)
REGION = "region-0"
STANDBY_MS = rounds.STANDBY_ROUNDS * rounds.ROUND_INTERVAL_MS
"""Interval of a second coordinator's rounds while the first one is alive."""


def settled(size: gossip_fleet.Size = SIZE) -> gossip_fleet.GossipFleet:
    fleet = gossip_fleet.GossipFleet(size, knows_all=False)
    fleet.run(SETTLE_MS)
    return fleet


def coordinators_of(fleet: gossip_fleet.GossipFleet, region: str) -> list[gossip_fleet.Node]:
    found = fleet.with_role(tiers.Role.COORDINATOR)
    return [node for node in found if fleet.region_of(node) == region]


def min_reachable(
    fleet: gossip_fleet.GossipFleet, for_ms: int, by: list[gossip_fleet.Node] | None = None
) -> float:
    """Return the minimum fraction of the fleet that live nodes reached in a period."""
    lowest = 1.0
    for _ in range(for_ms // 100):
        fleet.run(100)
        nodes = by if by is not None else fleet.live()
        lowest = min([lowest, *(one.view.reachable_fraction() for one in nodes)])
    return lowest


def longest_below(
    fleet: gossip_fleet.GossipFleet,
    for_ms: int,
    by: list[gossip_fleet.Node],
    fraction: float,
) -> int:
    """Return the longest period in ms in which a node reached less than a fraction of the fleet."""
    longest = 0
    since = {one.name: 0 for one in by}
    for _ in range(for_ms // 50):
        fleet.run(50)
        for one in by:
            is_below = one.view.reachable_fraction() < fraction
            since[one.name] = since[one.name] + 50 if is_below else 0
        longest = max(longest, *since.values())
    return longest


def test_remote_coordinators_forward_summaries_to_second_coordinators():
    one_region, two_regions = settled(gossip_fleet.Size(4, 7)), settled()
    sent = []
    for fleet in (one_region, two_regions):
        fleet.bytes = {True: 0, False: 0}
        fleet.run(3_000)
        sent.append(fleet.bytes[True])
    assert sent[1] < 0.8 * sent[0]
    for node in two_regions.with_role(tiers.Role.COORDINATOR):
        for centre in node.view.centres.values():
            assert (
                two_regions.time.now() - centre.received_ms
                <= 2 * rounds.ROUND_INTERVAL_MS + gossip_fleet.REGION_LATENCY_MS
            )


def test_in_one_region_summaries_go_to_all_coordinators_in_each_round():
    fleet = settled(gossip_fleet.Size(3, 12))
    node = fleet.with_role(tiers.Role.COORDINATOR)[0]
    assert not node.gossip.rounds._remote_seconds()


def test_the_first_coordinators_of_a_region_freeze_and_thaw():
    """Second coordinators also receive summaries directly, often enough that one may be lost."""
    fleet = settled()
    fleet.loss_fraction = 0.03
    coordinators = fleet.with_role(tiers.Role.COORDINATOR)
    region = coordinators_of(fleet, REGION)
    frozen = [one for one in region if one.view.seniors()[0].seniority.name == one.name]
    assert len(frozen) == 2
    for node in frozen:
        node.frozen = True
    others = len(fleet.live()) - len(frozen)
    awake = [one for one in coordinators if one not in frozen]
    assert longest_below(fleet, 3_000, awake, others / len(fleet.live())) <= STANDBY_MS
    for node in frozen:
        fleet.thaw(node)
    fleet.loss_fraction = 0.0
    fleet.run(3_000)
    assert min_reachable(fleet, 1_000) == 1.0


def test_all_coordinators_of_a_region_fail_and_others_take_over():
    fleet = settled()
    for node in coordinators_of(fleet, REGION):
        node.alive = False
    fleet.run(5_000)
    assert len(coordinators_of(fleet, REGION)) == 4
    left = len(fleet.live()) / (len(fleet.live()) + 4)
    assert min_reachable(fleet, 1_000) == pytest.approx(left)


def test_both_sides_of_a_partition_of_regions_keep_their_reachable_fractions():
    fleet = settled()
    fleet.cut = lambda one, two: fleet.region_of(one) != fleet.region_of(two)
    fleet.run(fleet_view.ALIVE_TIMEOUT_MS + 1_000)
    assert all(node.view.reachable_fraction() == pytest.approx(0.5) for node in fleet.live())
    fleet.cut = lambda one, two: False
    fleet.run(3_000)
    assert min_reachable(fleet, 500) == 1.0


def test_duplicate_and_stale_summaries_are_ignored():
    fleet = settled()
    fleet.duplicate_fraction, fleet.late_ms = 0.2, 150
    assert min_reachable(fleet, 3_000) == 1.0
    node = coordinators_of(fleet, REGION)[0]
    other = next(one for one in fleet.live() if one.data_centre == "dc-b")
    first = other.gossip.coordination.summary()
    second = other.gossip.coordination.summary()
    sums = node.gossip.coordination
    assert sums.handle_summary(second)
    assert not sums.handle_summary(first)
    assert not sums.handle_summary(second)
