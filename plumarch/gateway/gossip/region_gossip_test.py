"""News over regions: what failures change of it, and that one region stays as it was."""

import pytest

from plumarch.gateway.gossip import rounds
from plumarch.membership import fleet_view, tiers
from plumarch.standins import gossip_fleet

SETTLE_MS = 4_000
SIZE = gossip_fleet.Size(4, 7, regions=2)
REGION = "region-0"
STANDBY_MS = rounds.STANDBY_ROUNDS * rounds.ROUND_INTERVAL_MS
"""How often a second coordinator tells while the oldest one of its data centre counts as live."""


def settled(size: gossip_fleet.Size = SIZE) -> gossip_fleet.GossipFleet:
    fleet = gossip_fleet.GossipFleet(size, knows_all=False)
    fleet.run(SETTLE_MS)
    return fleet


def coordinators_of(fleet: gossip_fleet.GossipFleet, region: str) -> list[gossip_fleet.Node]:
    found = fleet.with_role(tiers.Role.COORDINATOR)
    return [node for node in found if fleet.region_of(node) == region]


def least_heard(
    fleet: gossip_fleet.GossipFleet, for_ms: int, by: list[gossip_fleet.Node] | None = None
) -> float:
    """Return the least part of the fleet that live nodes, some or all, heard while time passed."""
    least = 1.0
    for _ in range(for_ms // 100):
        fleet.run(100)
        nodes = by if by is not None else fleet.live()
        least = min([least, *(one.view.reachable_fraction() for one in nodes)])
    return least


def longest_below(
    fleet: gossip_fleet.GossipFleet,
    for_ms: int,
    by: list[gossip_fleet.Node],
    part: float,
) -> int:
    """Return for how long at a stretch, in ms, a node heard less than a part of the fleet."""
    longest = 0
    since = {one.name: 0 for one in by}
    for _ in range(for_ms // 50):
        fleet.run(50)
        for one in by:
            hears_less = one.view.reachable_fraction() < part
            since[one.name] = since[one.name] + 50 if hears_less else 0
        longest = max(longest, *since.values())
    return longest


def test_far_coordinators_pass_on_what_the_second_ones_are_told_seldom():
    near, far = settled(gossip_fleet.Size(4, 7)), settled()
    sent = []
    for fleet in (near, far):
        fleet.bytes = {True: 0, False: 0}
        fleet.run(3_000)
        sent.append(fleet.bytes[True])
    assert sent[1] < 0.8 * sent[0]
    for node in far.with_role(tiers.Role.COORDINATOR):
        for centre in node.view.centres.values():
            assert (
                far.time.now() - centre.received_ms
                <= 2 * rounds.ROUND_INTERVAL_MS + gossip_fleet.REGION_MS
            )


def test_in_one_region_all_coordinators_are_told_in_each_round():
    fleet = settled(gossip_fleet.Size(3, 12))
    node = fleet.with_role(tiers.Role.COORDINATOR)[0]
    assert not node.gossip.rounds._remote_seconds()


def test_the_oldest_coordinators_of_a_region_freeze_and_thaw():
    """The second ones are told directly, often enough that they hear all others though one is lost.

    Those that coordinate in place of the frozen ones hear less at first, and members pass over
    their news for as long.
    """
    fleet = settled()
    fleet.lose = 0.03
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
    fleet.lose = 0.0
    fleet.run(3_000)
    assert least_heard(fleet, 1_000) == 1.0


def test_all_coordinators_of_a_region_die_and_others_follow_them():
    fleet = settled()
    for node in coordinators_of(fleet, REGION):
        node.alive = False
    fleet.run(5_000)
    assert len(coordinators_of(fleet, REGION)) == 4
    left = len(fleet.live()) / (len(fleet.live()) + 4)
    assert least_heard(fleet, 1_000) == pytest.approx(left)


def test_a_region_cut_from_the_others_keeps_its_part_and_they_theirs():
    fleet = settled()
    fleet.cut = lambda one, two: fleet.region_of(one) != fleet.region_of(two)
    fleet.run(fleet_view.ALIVE_TIMEOUT_MS + 1_000)
    assert all(node.view.reachable_fraction() == pytest.approx(0.5) for node in fleet.live())
    fleet.cut = lambda one, two: False
    fleet.run(3_000)
    assert least_heard(fleet, 500) == 1.0


def test_of_summaries_that_come_twice_or_late_the_newest_counts():
    fleet = settled()
    fleet.double, fleet.late_ms = 0.2, 150
    assert least_heard(fleet, 3_000) == 1.0
    node = coordinators_of(fleet, REGION)[0]
    other = next(one for one in fleet.live() if one.data_centre == "dc-b")
    first = other.gossip.coordination.summary()
    second = other.gossip.coordination.summary()
    sums = node.gossip.coordination
    assert sums.handle_summary(second)
    assert not sums.handle_summary(first)
    assert not sums.handle_summary(second)
