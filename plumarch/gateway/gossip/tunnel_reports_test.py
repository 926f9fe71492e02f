"""Nodes of a large fleet know others that open tunnels, and who is cut off from endpoints."""

import pytest

from plumarch.membership import tiers
from plumarch.standins import gossip_fleet

LARGE = gossip_fleet.Size(4, 9)
REPORTED_MS = 4_000
"""Time in which reports reach all nodes; coordinators send them at intervals."""


def cut_off(node: gossip_fleet.Node) -> None:
    """Have a node find that it is cut off from all endpoints."""
    for endpoint in ("e1", "e2"):
        node.state.paths.record_failure(endpoint)
        node.state.paths.record_tunnel(endpoint)


def asked(node: gossip_fleet.Node) -> set[str]:
    """Return the names of the nodes that a node asks for tunnels."""
    found = [address for _ in range(20) for address in node.state.tunnel_peers.choose()]
    return {f"dc-{chr(int(one.split('.')[1]))}-{one.split('.')[2]}" for one in found}


def started() -> gossip_fleet.GossipFleet:
    fleet = gossip_fleet.GossipFleet(LARGE)
    fleet.run(3_000)
    assert fleet.with_role(tiers.Role.MEMBER)
    return fleet


def test_all_nodes_of_a_large_fleet_know_some_that_open_tunnels():
    fleet = started()
    fleet.run(REPORTED_MS)
    assert all(len(asked(node)) >= 3 for node in fleet.live())
    assert not any(node.name in asked(node) for node in fleet.live())


@pytest.mark.parametrize("data_centre", ["dc-a", "dc-c"])
def test_nodes_of_a_data_centre_that_is_cut_off_ask_those_elsewhere(data_centre: str):
    fleet = started()
    inside = [node for node in fleet.live() if node.data_centre == data_centre]
    for node in inside:
        cut_off(node)
    fleet.run(REPORTED_MS + 5_000)
    for node in fleet.live():
        names = asked(node)
        assert names
        assert not any(name.startswith(data_centre) for name in names), (node.name, names)
