"""Tests how soon all nodes quarantine a request that crashes endpoints, under faults."""

import pytest

from plumarch.limits import quarantine
from plumarch.membership import tiers
from plumarch.peers import gossip
from plumarch.standins import gossip_fleet

SMALL = gossip_fleet.Size(3, 3)
LARGE = gossip_fleet.Size(3, 12)
REGIONS = gossip_fleet.Size(6, 12, regions=3)
SETTLE_MS = 4_000
AT_ONCE_MS = 150
"""Two forwards over links between regions, and an earlier heartbeat."""

WITH_LOSSES_MS = 1_500


def settled(size: gossip_fleet.Size, seed: int = 1) -> gossip_fleet.GossipFleet:
    fleet = gossip_fleet.GossipFleet(size, seed)
    fleet.run(SETTLE_MS)
    return fleet


def observe_crashes(
    node: gossip_fleet.Node, fingerprint: str = "f", first: int = 0, count: int = 3
):
    """Let a node observe that endpoints crashed under a request."""
    for number in range(first, first + count):
        node.state.quarantine.record_crash(fingerprint, f"e{number}", quarantine.EARLY_POINTS)
        assert node.state.publish_suspects is not None
        node.state.publish_suspects([fingerprint])


def without_quarantine(fleet: gossip_fleet.GossipFleet, fingerprint: str = "f") -> list[str]:
    return [
        one.name
        for one in fleet.live()
        if one.state.quarantine.find_quarantined(fingerprint) is None
    ]


def some_node(fleet: gossip_fleet.GossipFleet, role: tiers.Role) -> gossip_fleet.Node:
    return sorted(fleet.with_role(role), key=lambda node: node.name)[0]


@pytest.mark.parametrize(
    ("size", "role"),
    [
        (SMALL, tiers.Role.FLAT),
        (LARGE, tiers.Role.MEMBER),
        (LARGE, tiers.Role.COORDINATOR),
        (REGIONS, tiers.Role.MEMBER),
    ],
)
def test_all_nodes_quarantine_a_request_at_once(size, role):
    fleet = settled(size)
    observe_crashes(some_node(fleet, role))
    fleet.run(AT_ONCE_MS)
    assert without_quarantine(fleet) == []


def test_crashes_observed_by_different_nodes_add_up():
    fleet = settled(LARGE)
    members = sorted(fleet.with_role(tiers.Role.MEMBER), key=lambda node: node.name)
    for number, node in enumerate((members[0], members[-1], members[len(members) // 2])):
        observe_crashes(node, first=number, count=1)
        assert len(without_quarantine(fleet)) == len(fleet.live())
    fleet.run(AT_ONCE_MS)
    assert without_quarantine(fleet) == []


@pytest.mark.parametrize("size", [SMALL, LARGE])
@pytest.mark.parametrize("seed", range(4))
def test_all_nodes_learn_despite_lost_late_and_duplicate_datagrams(size, seed):
    fleet = settled(size, seed)
    fleet.loss_fraction, fleet.duplicate_fraction, fleet.late_ms = 0.2, 0.1, 100
    observe_crashes(fleet.rng.choice(fleet.live()))
    fleet.run(WITH_LOSSES_MS)
    assert without_quarantine(fleet) == []


def test_all_nodes_learn_when_one_coordinator_is_killed():
    fleet = settled(LARGE)
    member = some_node(fleet, tiers.Role.MEMBER)
    coordinators = [
        node
        for node in fleet.with_role(tiers.Role.COORDINATOR)
        if node.data_centre == member.data_centre
    ]
    coordinators[0].alive = False
    observe_crashes(member)
    fleet.run(AT_ONCE_MS)
    assert without_quarantine(fleet) == []


@pytest.mark.parametrize("size", [SMALL, LARGE])
def test_nodes_that_were_cut_off_or_started_later_learn(size):
    fleet = settled(size)
    fleet.cut = lambda one, other: (one.data_centre == "dc-c") != (other.data_centre == "dc-c")
    observe_crashes(next(node for node in fleet.live() if node.data_centre == "dc-a"))
    fleet.run(3_000)
    assert {name.rpartition("-")[0] for name in without_quarantine(fleet)} == {"dc-c"}
    fleet.cut = lambda one, other: False
    fleet.start(1, "dc-b")
    fleet.run(9_000)
    assert without_quarantine(fleet) == []


def test_successful_answer_clears_the_quarantine_on_all_nodes():
    fleet = settled(LARGE)
    observe_crashes(some_node(fleet, tiers.Role.MEMBER))
    fleet.run(1_000)
    other = some_node(fleet, tiers.Role.COORDINATOR)
    assert other.state.quarantine.record_answer("f") and other.state.publish_suspects is not None
    other.state.publish_suspects(["f"])
    fleet.run(AT_ONCE_MS)
    assert len(without_quarantine(fleet)) == len(fleet.live())


def test_updates_are_sent_only_after_crashes_and_stay_within_bounds():
    fleet = settled(LARGE)
    sizes: list[int] = []

    def carry(sender: gossip_fleet.Node, datagram: bytes, address: str) -> None:
        if isinstance(gossip.datagram_decoder.decode(datagram), gossip.SuspectUpdate):
            sizes.append(len(datagram))

    fleet.carry = carry
    fleet.run(1_000)
    assert sizes == []
    node = some_node(fleet, tiers.Role.MEMBER)
    for number in range(500):
        node.state.quarantine.record_crash(f"{number:016x}", f"i-{number // 50:010x}", 3)
        node.gossip.suspects.due[f"{number:016x}"] = 2
    fleet.run(250)
    assert max(sizes) <= gossip.DATAGRAM_LIMIT
    assert len(sizes) <= 2 * 3 * tiers.COORDINATORS
