"""How soon all nodes hear of a request that ends its endpoints, whatever fails meanwhile."""

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
"""Two tellings on, each over a link between regions at most, and a heartbeat that comes first."""

WITH_LOSSES_MS = 1_500


def settled(size: gossip_fleet.Size, seed: int = 1) -> gossip_fleet.GossipFleet:
    fleet = gossip_fleet.GossipFleet(size, seed)
    fleet.run(SETTLE_MS)
    return fleet


def observe_crashes(
    node: gossip_fleet.Node, fingerprint: str = "f", first: int = 0, count: int = 3
):
    """Let a node see that endpoints ended under a request."""
    for number in range(first, first + count):
        node.state.quarantine.record_crash(fingerprint, f"e{number}", quarantine.EARLY_POINTS)
        assert node.state.publish_suspect is not None
        node.state.publish_suspect(fingerprint)


def without_hold(fleet: gossip_fleet.GossipFleet, fingerprint: str = "f") -> list[str]:
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
def test_all_nodes_hold_a_request_back_as_soon_as_one_saw_it(size, role):
    fleet = settled(size)
    observe_crashes(some_node(fleet, role))
    fleet.run(AT_ONCE_MS)
    assert without_hold(fleet) == []


def test_ends_that_different_nodes_saw_add_up():
    fleet = settled(LARGE)
    members = sorted(fleet.with_role(tiers.Role.MEMBER), key=lambda node: node.name)
    for number, node in enumerate((members[0], members[-1], members[len(members) // 2])):
        observe_crashes(node, first=number, count=1)
        assert len(without_hold(fleet)) == len(fleet.live())
    fleet.run(AT_ONCE_MS)
    assert without_hold(fleet) == []


@pytest.mark.parametrize("size", [SMALL, LARGE])
@pytest.mark.parametrize("seed", range(4))
def test_lost_late_and_doubled_datagrams_keep_it_from_nobody(size, seed):
    fleet = settled(size, seed)
    fleet.lose, fleet.double, fleet.late_ms = 0.2, 0.1, 100
    observe_crashes(fleet.rng.choice(fleet.live()))
    fleet.run(WITH_LOSSES_MS)
    assert without_hold(fleet) == []


def test_a_coordinator_that_is_killed_as_it_hears_keeps_it_from_nobody():
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
    assert without_hold(fleet) == []


@pytest.mark.parametrize("size", [SMALL, LARGE])
def test_nodes_that_were_cut_off_or_started_since_hear_of_it_later(size):
    fleet = settled(size)
    fleet.cut = lambda one, other: (one.data_centre == "dc-c") != (other.data_centre == "dc-c")
    observe_crashes(next(node for node in fleet.live() if node.data_centre == "dc-a"))
    fleet.run(3_000)
    assert {name.rpartition("-")[0] for name in without_hold(fleet)} == {"dc-c"}
    fleet.cut = lambda one, other: False
    fleet.start(1, "dc-b")
    fleet.run(9_000)
    assert without_hold(fleet) == []


def test_an_answer_after_all_clears_it_on_all_nodes():
    fleet = settled(LARGE)
    observe_crashes(some_node(fleet, tiers.Role.MEMBER))
    fleet.run(1_000)
    other = some_node(fleet, tiers.Role.COORDINATOR)
    assert other.state.quarantine.record_answer("f") and other.state.publish_suspect is not None
    other.state.publish_suspect("f")
    fleet.run(AT_ONCE_MS)
    assert len(without_hold(fleet)) == len(fleet.live())


def test_nothing_is_told_while_no_endpoint_ends_and_a_mass_of_ends_stays_within_bounds():
    fleet = settled(LARGE)
    told: list[int] = []

    def carry(sender: gossip_fleet.Node, datagram: bytes, address: str) -> None:
        if isinstance(gossip.datagram_decoder.decode(datagram), gossip.SuspectUpdate):
            told.append(len(datagram))

    fleet.carry = carry
    fleet.run(1_000)
    assert told == []
    node = some_node(fleet, tiers.Role.MEMBER)
    for number in range(500):
        node.state.quarantine.record_crash(f"{number:016x}", f"i-{number // 50:010x}", 3)
        node.gossip.suspects.due[f"{number:016x}"] = 2
    fleet.run(250)
    assert max(told) <= gossip.DATAGRAM_LIMIT
    assert len(told) <= 2 * 3 * tiers.COORDINATORS
