"""Which nodes are asked for tunnels."""

import random

from plumarch.core import clock
from plumarch.membership import fleet_view, tiers, tunnel_nodes


def new_nodes() -> tuple[tunnel_nodes.TunnelNodes, clock.ManualClock]:
    now = clock.ManualClock(1_000_000)
    view = fleet_view.FleetView(now, "me", 1, "10.0.0.1:1", "near-a")
    known = tunnel_nodes.TunnelNodes(
        now, view, random.Random(1), lambda name: name.startswith("near")
    )
    return known, now


def see(known: tunnel_nodes.TunnelNodes, name: str, centre: str, opens: bool = True) -> str:
    address = f"10.0.0.{name}:1"
    peer = known.view.mark_seen(f"n{name}", 1, address, centre)
    assert peer is not None
    peer.opens_tunnels = opens
    return address


def listed(*names: str) -> list[tunnel_nodes.TunnelNode]:
    return [tunnel_nodes.TunnelNode(name, f"10.1.0.{name}:1") for name in names]


def test_nodes_that_are_cut_off_or_of_an_earlier_build_are_not_asked():
    known, _ = new_nodes()
    see(known, "2", "near-a", opens=False)
    good = see(known, "3", "near-b")
    assert known.choose() == [good]


def test_near_nodes_are_asked_first_and_those_that_declined_last():
    known, now = new_nodes()
    far = see(known, "2", "far")
    near = see(known, "3", "near-b")
    assert known.choose() == [near, far]
    known.note_unavailable(near)
    assert known.choose() == [far, near]
    now.advance_to(now.now() + tunnel_nodes.UNAVAILABLE_MS)
    see(known, "2", "far")
    see(known, "3", "near-b")
    assert known.choose() == [near, far]


def test_requests_are_spread_over_all_nodes():
    known, _ = new_nodes()
    addresses = {see(known, str(number), "near-a") for number in range(2, 12)}
    assert {known.choose()[0] for _ in range(200)} == addresses


def test_a_lost_node_is_not_asked():
    known, now = new_nodes()
    see(known, "2", "near-a")
    now.advance_to(now.now() + fleet_view.ALIVE_TIMEOUT_MS + 1)
    assert known.choose() == []


def test_a_member_asks_the_nodes_that_its_coordinator_reports():
    known, now = new_nodes()
    known.apply_report(tunnel_nodes.MEMBERS_LIST, listed("7", "8"))
    known.apply_report("near-b", listed("9"))
    known.view.role = tiers.Role.MEMBER
    assert sorted(known.choose()) == ["10.1.0.7:1", "10.1.0.8:1"]
    known.apply_report(tunnel_nodes.MEMBERS_LIST, [])
    assert len(known.choose()) == 2
    now.advance_to(now.now() + tunnel_nodes.RETENTION_MS + 1)
    assert known.choose() == []


def test_a_coordinator_whose_data_centre_is_cut_off_reports_nodes_elsewhere():
    known, _ = new_nodes()
    see(known, "2", "near-a", opens=False)
    known.apply_report("near-b", listed("7", "8"))
    known.apply_report("far", listed("9"))
    assert {one.name for one in known.for_members(opens_tunnels=False)} == {"7", "8"}
    assert known.in_own_centre(opens_tunnels=False) == []
    assert {one.name for one in known.for_members(opens_tunnels=True)} == {"7", "8", "me"}


def test_a_node_that_opens_no_more_tunnels_does_not_count_as_responding():
    """Its silence would count against the endpoint."""
    known, now = new_nodes()
    address = see(known, "2", "near-a")
    assert not known.is_responsive(address)
    known.note_opened(address)
    assert known.is_responsive(address)
    now.advance_to(now.now() + tunnel_nodes.RESPONSIVE_MS)
    assert not known.is_responsive(address)
    known.note_opened(address)
    known.note_unavailable(address)
    assert not known.is_responsive(address)
