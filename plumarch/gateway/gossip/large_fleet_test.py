"""Large fleets: roles, gossip, and both under failures."""

import collections
import dataclasses

import msgspec
import pytest

from plumarch.gateway import fleet_state
from plumarch.gateway.duties import duty_holder
from plumarch.gateway.gossip import gossiper, rounds
from plumarch.membership import fleet_view, store_followers, tiers
from plumarch.peers import gossip
from plumarch.routing import endpoint_choice
from plumarch.standins import gossip_fleet

SETTLE_MS = 4_000
SIZE = gossip_fleet.Size(3, 12)


def settled(size: gossip_fleet.Size = SIZE, seed: int = 1) -> gossip_fleet.GossipFleet:
    fleet = gossip_fleet.GossipFleet(size, seed)
    fleet.run(SETTLE_MS)
    return fleet


def by_seniority(fleet: gossip_fleet.GossipFleet, data_centre: str) -> list[gossip_fleet.Node]:
    found = [node for node in fleet.live() if node.data_centre == data_centre]
    return sorted(found, key=lambda node: node.view.seniority())


@pytest.mark.parametrize("nodes_each", [6, 12, 39])
def test_nodes_that_know_only_seeds_discover_each_other_before_any_acts_alone(nodes_each: int):
    """SETTLE_MS is how long a process waits before it takes duties."""
    fleet = gossip_fleet.GossipFleet(gossip_fleet.Size(5, nodes_each), knows_all=False)
    fleet.run(duty_holder.SETTLE_MS)
    assert len(fleet.with_role(tiers.Role.COORDINATOR)) == 5 * tiers.COORDINATORS
    assert len(fleet.with_role(tiers.Role.MEMBER)) == 5 * (nodes_each - tiers.COORDINATORS)
    assert all(node.view.size() == 5 * nodes_each for node in fleet.live())
    assert len([node for node in fleet.live() if node.view.is_most_senior_candidate()]) == 1
    watching = [node for node in fleet.live() if node.view.watches_store(node.data_centre)]
    assert len(watching) == 5 * store_followers.per_centre(5) == store_followers.MIN_FOLLOWERS


def test_a_small_fleet_stays_flat():
    fleet = settled(gossip_fleet.Size(3, 3))
    assert len(fleet.with_role(tiers.Role.FLAT)) == 9
    assert all(node.state.quota.fraction == 1.0 for node in fleet.live())


@pytest.mark.parametrize("nodes_each", [12, 39])
def test_the_two_most_senior_nodes_of_each_data_centre_coordinate_and_all_are_reachable(
    nodes_each: int,
):
    size = gossip_fleet.Size(3 if nodes_each == 12 else 5, nodes_each)
    fleet = settled(size)
    coordinators = fleet.with_role(tiers.Role.COORDINATOR)
    by_centre = collections.Counter(node.data_centre for node in coordinators)
    assert set(by_centre.values()) == {tiers.COORDINATORS}
    for centre in by_centre:
        assert by_seniority(fleet, centre)[0] in coordinators
    assert len(fleet.with_role(tiers.Role.MEMBER)) == len(fleet.live()) - len(coordinators)
    for node in fleet.live():
        assert node.view.size() == size.data_centres * nodes_each
        assert node.state.quota.fraction == 1.0


def test_spending_and_loads_reach_all_nodes_within_half_a_second():
    fleet = settled()
    nodes = fleet.live()
    space = fleet.table.workspaces["w0"]
    before = space.burst
    for node in nodes[::3]:
        assert node.state.quota.admit(space, 100.0) == 0
        node.state.chooser.own["e"] = endpoint_choice.Load(1, 500.0)
    fleet.run(600)
    spent = 100.0 * len(nodes[::3])
    for node in nodes:
        level = node.state.quota._refill(space).level
        refilled = node.state.quota.tolerance.refill(space, 1.0) * 0.7
        assert before - spent - 2 <= level <= before - spent + refilled
        assert node.state.chooser.load("e") == endpoint_choice.Load(12, 6_000.0)
    for node in nodes:
        node.state.chooser.own.clear()
    fleet.run(600)
    assert all(node.state.chooser.load("e").running == 0 for node in nodes)


def test_the_next_senior_coordinates_after_a_failure_and_members_stay_members():
    fleet = settled()
    first, second, third = by_seniority(fleet, "dc-a")[:3]
    first.alive = False
    roles = set()
    for _ in range(30):
        fleet.run(100)
        roles |= {node.name for node in fleet.with_role(tiers.Role.COORDINATOR)}
    assert third.view.role is tiers.Role.COORDINATOR
    assert {name for name in roles if name.startswith("dc-a")} == {
        first.name,
        second.name,
        third.name,
    } - {first.name}


def test_all_coordinators_of_a_data_centre_fail_at_once():
    fleet = settled()
    dead = by_seniority(fleet, "dc-a")[:2]
    for node in dead:
        node.alive = False
    fleet.run(3_500)
    left = by_seniority(fleet, "dc-a")
    assert [node.view.role for node in left[:2]] == [tiers.Role.COORDINATOR] * 2
    assert {node.view.role for node in left[2:]} == {tiers.Role.MEMBER}
    expected = (36 - 2) / 36
    for node in fleet.live():
        assert node.state.quota.fraction == pytest.approx(expected)


def test_members_whose_seniors_all_fail_do_not_take_a_few_nodes_for_the_fleet():
    fleet = gossip_fleet.GossipFleet(SIZE, knows_all=False)
    fleet.run(2 * SETTLE_MS)
    for centre in ("dc-a", "dc-b", "dc-c"):
        for node in by_seniority(fleet, centre)[: 2 * tiers.SENIORS]:
            node.alive = False
    survivors = fleet.live()
    for at in range(0, 3_000, 100):
        fleet.run(100)
        for node in survivors:
            assert node.view.size() == 36
            if at > fleet_view.ALIVE_TIMEOUT_MS + gossiper.HEARTBEAT_INTERVAL_MS:
                assert node.state.quota.fraction <= 12 / 36
            assert node.view.role is not tiers.Role.FLAT or not node.view.is_most_senior_candidate()


def test_both_sides_of_a_partition_keep_their_quota_shares():
    fleet = settled()
    fleet.cut = lambda one, other: (one.data_centre == "dc-a") != (other.data_centre == "dc-a")
    fleet.run(1_600)
    fractions = {node.data_centre: node.state.quota.fraction for node in fleet.live()}
    assert fractions["dc-a"] == pytest.approx(1 / 3)
    assert fractions["dc-b"] == pytest.approx(2 / 3)
    fleet.cut = lambda one, other: False
    fleet.run(1_000)
    assert all(node.state.quota.fraction == 1.0 for node in fleet.live())


def test_an_isolated_node_has_the_quota_share_of_one_node():
    fleet = settled()
    alone = by_seniority(fleet, "dc-b")[-1]
    fleet.cut = lambda one, other: alone in (one, other)
    fleet.run(2_000)
    assert alone.state.quota.fraction == pytest.approx(1 / 36)
    others = [node for node in fleet.live() if node is not alone]
    assert all(node.state.quota.fraction == pytest.approx(35 / 36) for node in others)


def test_a_thawed_coordinator_does_not_lower_the_reachable_fraction():
    fleet = settled()
    first = by_seniority(fleet, "dc-a")[0]
    first.frozen = True
    fleet.run(3_000)
    fleet.thaw(first)
    for _ in range(20):
        fleet.run(100)
        for node in fleet.live():
            if node is not first:
                assert node.state.quota.fraction > 0.9
    assert first.view.role is tiers.Role.COORDINATOR


def test_all_processes_restart_at_once():
    fleet = settled()
    for node in fleet.live():
        node.alive = False
    fleet.run(800)
    for node in list(fleet.nodes.values()):
        fleet.start(node.number, node.data_centre)
    fleet.run(1_500)
    assert all(node.state.quota.fraction > 0.9 for node in fleet.live())
    fleet.run(2_500)
    assert len(fleet.with_role(tiers.Role.COORDINATOR)) == 6
    assert all(node.state.quota.fraction == 1.0 for node in fleet.live())


def test_a_new_node_that_knows_only_a_seed_finds_its_coordinators():
    fleet = settled()
    seed = fleet.nodes["dc-a-0"]
    assert seed is not None
    newcomer = fleet.start(50, "dc-c", knows_all=False)
    fleet.run(3_000)
    assert newcomer.view.role is tiers.Role.MEMBER
    assert newcomer.view.size() == 37
    assert newcomer.state.quota.fraction == 1.0


def test_the_loss_of_the_duty_holder_is_known_within_two_seconds():
    fleet = settled()
    candidates = [node for node in fleet.live() if node.view.is_most_senior_candidate()]
    assert len(candidates) == 1
    holder = candidates[0]
    holder.gossip.duty.token = 7
    fleet.run(500)
    others = [node for node in fleet.with_role(tiers.Role.COORDINATOR) if node is not holder]
    assert all(node.view.has_holder() for node in others)
    holder.alive = False
    fleet.run(1_900)
    assert not any(node.view.has_holder() for node in others)
    assert len([node for node in others if node.view.is_most_senior_candidate()]) == 1


def test_usage_of_all_nodes_is_counted_once():
    fleet = settled()
    coordinator = fleet.with_role(tiers.Role.COORDINATOR)[0]
    now = fleet.time.now()
    for node in fleet.live():
        node.state.usage.started("w0", now)
    fleet.run(2_500)
    window = coordinator.state.usage.window_at(now)
    assert coordinator.state.usage.total(window) == {"w0": 36}


def test_two_nodes_of_each_data_centre_that_reach_the_store_follow_it():
    fleet = settled()
    watching = [node for node in fleet.live() if node.view.watches_store(node.data_centre)]
    assert collections.Counter(node.data_centre for node in watching) == {
        "dc-a": 2,
        "dc-b": 2,
        "dc-c": 2,
    }
    refused = by_seniority(fleet, "dc-a")[0]
    refused.state.reaches_store = False
    fleet.run(1_000)
    watching = [node for node in fleet.live() if node.view.watches_store(node.data_centre)]
    assert len([node for node in watching if node.data_centre == "dc-a"]) == 3


@pytest.mark.parametrize("seed", range(1, 9))
def test_lost_duplicate_and_late_datagrams_change_no_role_and_hardly_any_quota(seed: int):
    fleet = settled(seed=seed)
    fleet.loss_fraction, fleet.duplicate_fraction, fleet.late_ms = 0.1, 0.1, 150
    for _ in range(40):
        fleet.run(100)
        assert all(node.state.quota.fraction > 0.9 for node in fleet.live())
    assert len(fleet.with_role(tiers.Role.COORDINATOR)) == 6


@pytest.mark.parametrize("told", [20, 24, 25, 40])
def test_a_role_does_not_oscillate_near_the_maximum_size_of_a_flat_fleet(told: int):
    """Guards against a role that depends on the previous one."""
    fleet = settled()
    for node in (by_seniority(fleet, "dc-a")[0], by_seniority(fleet, "dc-a")[-1]):
        if node.view.fleet_update is not None:
            node.view.fleet_update = dataclasses.replace(node.view.fleet_update, nodes=told)
        node.view.centres = {
            name: dataclasses.replace(one, nodes=told // 3)
            for name, one in node.view.centres.items()
        }
        roles = [node.view.decide_role() for _ in range(4)]
        assert len(set(roles[1:])) == 1


def test_a_large_charge_reaches_the_data_centre_within_a_round():
    fleet = settled()
    space = fleet.table.workspaces["w0"]
    node = by_seniority(fleet, "dc-a")[-1]
    other = by_seniority(fleet, "dc-a")[-2]
    assert node.state.quota.admit(space, 1_800.0) == 0
    node.state.chooser.own["e"] = endpoint_choice.Load(1, 1_700.0)
    node.state.announce_prompt(fleet_state.SentPrompt("e", 1_700.0, "w0", 1_800.0))
    fleet.run(rounds.ROUND_INTERVAL_MS + 10)
    assert other.state.quota._refill(space).level < 400
    assert other.state.chooser.load("e") == endpoint_choice.Load(1, 1_700.0)
    # The node's own charge is not counted twice once an update includes it.
    level = node.state.quota._refill(space).level
    assert other.state.quota._refill(space).level == pytest.approx(level, abs=5)


def test_a_new_incarnation_numbers_its_heartbeats_from_the_start():
    fleet = settled()
    old = by_seniority(fleet, "dc-a")[-1]
    fleet.run(3_000)
    new = fleet.start(old.number, old.data_centre)
    fleet.run(1_000)
    coordinator = by_seniority(fleet, "dc-a")[0]
    acknowledged = coordinator.gossip.coordination.acknowledged[new.name]
    assert 0 < acknowledged <= new.gossip.composer.sequence


def test_undecodable_updates_are_dropped_and_logged():
    fleet = settled()
    member = fleet.with_role(tiers.Role.MEMBER)[0]
    before = member.view.fleet_update
    broken = gossip.MemberUpdate(3, msgspec.Raw(gossip.encoder.encode([1, 2, 3])))
    member.gossip.datagram_received(gossip.encoder.encode(broken), ("10.0.0.9", 1))
    assert member.view.fleet_update is before
    assert b"bad_heartbeat" in bytes(member.state.log.pending)


def test_with_many_data_centres_summaries_are_sent_less_often():
    few, many = settled(gossip_fleet.Size(3, 12)), settled(gossip_fleet.Size(12, 3))
    sent = []
    for fleet in (few, many):
        fleet.datagrams = {True: 0, False: 0}
        fleet.run(2_000)
        leaders = len({node.data_centre for node in fleet.live()})
        sent.append(fleet.datagrams[True] / 2.0 / leaders)
    standby = 1 + 1 / rounds.STANDBY_ROUNDS
    contacts = 2 * gossiper.CONTACTS_PER_ROUND * 1000 / gossiper.HEARTBEAT_INTERVAL_MS
    assert sent[0] <= 4 * 10 * standby + contacts
    assert sent[1] <= tiers.COORDINATORS * rounds.SUMMARIES_PER_SECOND + contacts
    assert all(node.state.quota.fraction == 1.0 for node in many.live())
