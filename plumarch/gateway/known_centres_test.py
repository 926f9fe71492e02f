"""Data centres of a large fleet come to know each other, whatever seeds their nodes are given."""

import pytest

from plumarch.membership import tiers
from plumarch.standins import gossip_fleet

CONTACT_MS = 5_000
"""Within this time a node comes to know the others by default."""

SIZE = gossip_fleet.Size(6, 12, counts=(13, 12, 12, 12, 12, 12), regions=3)
"""Six data centres in three regions, 73 nodes."""

SEEDS = tuple(gossip_fleet.address_of(0, centre) for centre in ("dc-a", "dc-b", "dc-c"))
"""One node in one data centre of each region."""


def assert_all_know_each_other(fleet: gossip_fleet.GossipFleet) -> None:
    centres = {node.data_centre for node in fleet.live()}
    for node in fleet.live():
        if node.view.role is tiers.Role.COORDINATOR:
            assert node.view.live_centres().keys() == centres - {node.data_centre}, node.name
        assert node.view.heard_fraction() == 1.0, (node.name, node.view.role)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_data_centres_without_seeds_hear_each_other(seed: int):
    starts = gossip_fleet.Starts(seeds=SEEDS, within_ms=1_000)
    fleet = gossip_fleet.GossipFleet(SIZE, seed, knows_all=False, starts=starts)
    fleet.run(starts.within_ms + CONTACT_MS)
    assert_all_know_each_other(fleet)
