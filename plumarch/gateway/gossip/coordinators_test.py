"""What coordinators must not send, and which updates members apply."""

import msgspec

from plumarch.gateway.gossip import member_updates, rounds
from plumarch.membership import tiers
from plumarch.peers import gossip
from plumarch.routing import endpoint_choice
from plumarch.standins import gossip_fleet

SETTLE_MS = 3_000


def settled() -> gossip_fleet.GossipFleet:
    fleet = gossip_fleet.GossipFleet(gossip_fleet.Size(3, 12))
    fleet.run(SETTLE_MS)
    return fleet


def update_from(author: str, incarnation: int, fraction: float) -> gossip.FleetUpdate:
    return gossip.FleetUpdate(
        node=author,
        incarnation=incarnation,
        address="10.97.99.1:7600",
        data_centre="dc-a",
        configuration=1,
        registry_revision=-1,
        nodes=36,
        centre_nodes=12,
        fraction=fraction,
        seniors=[],
        followers=[],
        levels=[],
        loads=[],
        full=True,
    )


def test_a_coordinator_with_a_late_round_sends_nothing_until_it_received_reports_again():
    fleet = settled()
    coordinator = fleet.with_role(tiers.Role.COORDINATOR)[0]
    sent: list[gossip.Datagram] = []
    coordinator.gossip.rounds.send = lambda message, to: sent.append(message)
    coordinator.gossip.rounds.step()
    assert sent
    sent.clear()
    fleet.time.advance_to(fleet.time.now() + rounds.LATE_ROUND_MS + 1)
    coordinator.gossip.rounds.step()
    fleet.time.advance_to(fleet.time.now() + rounds.ROUND_INTERVAL_MS)
    coordinator.gossip.rounds.step()
    assert not sent
    fleet.time.advance_to(fleet.time.now() + round(2 * coordinator.view.interval_ms))
    coordinator.gossip.rounds.step()
    assert sent


def test_a_member_follows_the_coordinator_that_reaches_more_of_the_fleet():
    fleet = settled()
    member = fleet.nodes["dc-a-5"]
    followed = member.view.fleet_update
    assert followed is not None
    other = update_from("dc-a-99", 1, 0.5)
    assert not member.gossip.member.apply_update(other)
    assert member.view.fleet_update == followed
    fleet.time.advance_to(fleet.time.now() + member_updates.FRESH_MS + 100)
    assert member.gossip.member.apply_update(other)
    assert not member.gossip.member.apply_update(update_from("dc-a-98", 2, 0.5))
    assert member.gossip.member.apply_update(update_from("dc-a-98", 2, 0.9))


def test_with_equal_fractions_a_member_follows_the_more_senior_coordinator():
    fleet = settled()
    member = fleet.nodes["dc-a-5"]
    assert member.view.fleet_update is not None
    less_senior = update_from("dc-a-99", member.view.fleet_update.author.incarnation + 5, 1.0)
    assert not member.gossip.member.apply_update(less_senior)
    assert member.gossip.member.apply_update(msgspec.structs.replace(less_senior, incarnation=1))


SLOW = gossip_fleet.Size(3, 12, rate=1.0, burst=100_000.0)
"""Quotas that hardly refill, so that each charge shows in the levels."""


def levels(fleet: gossip_fleet.GossipFleet) -> set[int]:
    space = fleet.table.workspaces["w0"]
    return {round(node.state.quota._refill(space).level, -2) for node in fleet.live()}


def fleet_after_a_change_of_coordinators(for_ms: int = 3_500) -> gossip_fleet.GossipFleet:
    """Return a fleet some ms after the failure of coordinators that know a member's spending."""
    fleet = gossip_fleet.GossipFleet(SLOW)
    fleet.run(SETTLE_MS)
    space = fleet.table.workspaces["w0"]
    assert fleet.nodes["dc-a-5"].state.quota.admit(space, 20_000.0) == 0
    fleet.run(1_000)
    assert levels(fleet) == {80_000}
    for node in fleet.with_role(tiers.Role.COORDINATOR):
        if node.data_centre == "dc-a":
            node.alive = False
    fleet.run(for_ms)
    return fleet


def test_a_member_that_becomes_a_coordinator_charges_no_spending_twice():
    assert levels(fleet_after_a_change_of_coordinators()) == {80_000}


def test_a_new_coordinator_counts_spending_from_its_start():
    fleet = fleet_after_a_change_of_coordinators(1_500)
    space = fleet.table.workspaces["w0"]
    assert fleet.nodes["dc-a-5"].state.quota.admit(space, 5_000.0) == 0
    fleet.run(2_000)
    assert levels(fleet) == {75_000}


def test_an_update_without_a_members_latest_spending_does_not_refund_it():
    fleet = gossip_fleet.GossipFleet(SLOW)
    fleet.run(SETTLE_MS)
    space = fleet.table.workspaces["w0"]
    quota = fleet.nodes["dc-a-5"].state.quota
    assert quota.admit(space, 20_000.0) == 0
    for _ in range(60):
        fleet.nodes["dc-a-6"].state.quota.admit(space, 10.0)
        fleet.run(10)
        assert 79_000 <= quota._refill(space).level <= 80_100


def test_figures_reported_directly_before_roles_settled_are_not_counted_again_in_sums():
    fleet = gossip_fleet.GossipFleet(gossip_fleet.Size(3, 12))
    now = fleet.time.now()
    for node in fleet.live():
        node.state.usage.started("w0", now)
        node.state.chooser.own["e"] = endpoint_choice.Load(1, 0.0)
    fleet.run(1_500)
    for node in fleet.with_role(tiers.Role.COORDINATOR):
        window = node.state.usage.window_at(now)
        assert node.state.usage.total(window) == {"w0": 36}
        assert node.state.chooser.running("e") == 36


def test_no_member_takes_the_duties_without_a_coordinator_as_candidate():
    fleet = settled()
    for node in fleet.with_role(tiers.Role.COORDINATOR):
        node.gossip.duty.candidate = False
    fleet.run(1_000)
    members = fleet.with_role(tiers.Role.MEMBER)
    assert not any(node.view.is_most_senior_candidate() for node in members)
