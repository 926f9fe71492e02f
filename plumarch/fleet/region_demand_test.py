"""Tests of demand shares by region."""

import pytest

from plumarch.fleet import region_demand

PRICES = {"n1": 1.0, "n2": 1.0, "s1": 1.0, "s2": 1.0, "w1": 1.0}
REGION_OF = {"n1": "n", "n2": "n", "s1": "s", "s2": "s"}


def test_shares_follow_data_centres_until_requests_arrive():
    view = region_demand.RegionDemand().view(REGION_OF, 0.1)
    assert view.demand_shares(PRICES) == pytest.approx({"n": 0.4, "s": 0.4, "w1": 0.2})


def test_an_unlisted_data_centre_is_a_region_of_its_own():
    view = region_demand.RegionView(REGION_OF)
    assert view.of("w1") == "w1"
    assert view.are_several({"n1": 1.0, "w1": 1.0})
    assert not view.are_several({"n1": 1.0, "n2": 1.0})
    assert not region_demand.ONE_REGION.are_several(PRICES)


def test_shares_follow_callers_within_seconds():
    demand = region_demand.RegionDemand()
    for _ in range(5):
        demand.sample({"n": 900.0, "s": 100.0}, frozenset())
    assert demand.shares["n"] == pytest.approx(0.9)
    for _ in range(8):
        demand.sample({"n": 100.0, "s": 900.0}, frozenset())
    assert demand.shares["s"] > 0.65


def test_small_changes_leave_the_shares_unchanged():
    demand = region_demand.RegionDemand()
    demand.sample({"n": 500.0, "s": 500.0}, frozenset())
    before = demand.shares
    for _ in range(30):
        demand.sample({"n": 590.0, "s": 410.0}, frozenset())
    assert demand.shares is before


def test_the_rate_of_a_partially_reachable_region_does_not_fall():
    demand = region_demand.RegionDemand()
    for _ in range(5):
        demand.sample({"n": 500.0, "s": 500.0}, frozenset())
    for _ in range(60):
        total = demand.sample({"n": 800.0}, frozenset({"s"}))
    assert demand.rates["s"] == pytest.approx(500.0)
    assert total == pytest.approx(1_300.0)
    assert demand.shares["n"] == pytest.approx(8 / 13, abs=0.11)
    for _ in range(5):
        demand.sample({"n": 800.0, "s": 2_000.0}, frozenset({"s"}))
    assert demand.rates["s"] > 1_000.0


def test_reset_drops_all_samples():
    demand = region_demand.RegionDemand()
    demand.sample({"n": 500.0, "s": 100.0}, frozenset({"s"}))
    demand.reset()
    assert not demand.rates and not demand.shares and not demand.partially_reachable
