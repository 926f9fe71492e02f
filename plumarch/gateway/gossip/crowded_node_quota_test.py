"""A workspace keeps its rate when most of its requests begin to come to one node.

Guards against a balancer that sends the new connections of a zone or a region to a single node,
which would refuse what the others' shares of a quota still hold.
"""

import dataclasses

import pytest

from plumarch.gateway.gossip import flat_fleet_quota_test, large_fleet_quota_test
from plumarch.standins import gossip_fleet

LOAD = 0.8
"""Load as a fraction of the workspace's rate."""

CONTACT_MS = 3_000
MIN_SERVED = 0.75
"""Minimum units admitted at the crowded node, as a fraction of those admitted before."""

FLAT = flat_fleet_quota_test.SIZE
LARGE = gossip_fleet.Size(
    3, 12, workspaces=1, rate=flat_fleet_quota_test.RATE, burst=flat_fleet_quota_test.BURST
)


@pytest.mark.parametrize("size", [FLAT, LARGE, dataclasses.replace(LARGE, regions=3)])
@pytest.mark.parametrize("seed", range(2))
def test_requests_within_the_rate_are_admitted_at_a_node_that_suddenly_gets_them_all(
    size: gossip_fleet.Size, seed: int
):
    session = large_fleet_quota_test.Session(size, seed)
    load = LOAD * size.rate
    before = session.offer_load(load, 9_000, max_units=4_000)
    session.offer_load(load, CONTACT_MS, max_units=4_000, nodes=1)
    crowded = session.offer_load(load, 5_000, max_units=4_000, nodes=1)
    admitted = 1.0 - before.refused_units_fraction()
    assert 1.0 - crowded.refused_units_fraction() >= MIN_SERVED * admitted
    assert session.most <= flat_fleet_quota_test.ALLOWED
