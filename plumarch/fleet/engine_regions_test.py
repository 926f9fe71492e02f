"""Tests of plans over several regions."""

import dataclasses

from plumarch.core import clock, records, traffic
from plumarch.fleet import engine_firm, engine_plan, engine_pools, engine_regions, region_demand

REGION_OF = {"n1": "n", "n2": "n", "s1": "s", "s2": "s", "w1": "w", "w2": "w"}
PRICES = {"n1": 1.0, "n2": 0.9, "s1": 1.1, "s2": 1.0, "w1": 0.85, "w2": 1.1}
SCALING = traffic.Scaling(1, 20, 4_000.0, 0.18, PRICES)
EVEN = {"n": 0.34, "s": 0.33, "w": 0.33}
REGIONS = region_demand.RegionView(REGION_OF, EVEN, frozenset(), 0.12)


def engines(spot: dict[str, int], firm: dict[str, int] | None = None) -> list[traffic.Endpoint]:
    """Return ready engines by data centre."""
    return [
        traffic.Endpoint(
            f"{name}-{is_spot}-{number}",
            "s",
            "1:1",
            name,
            8,
            traffic.EndpointState.READY,
            is_spot,
        )
        for is_spot, counts in ((True, spot), (False, firm or {}))
        for name, count in counts.items()
        for number in range(count)
    ]


def plan_of(
    time: clock.ManualClock, demand: float, regions: region_demand.RegionView
) -> engine_plan.EnginePlan:
    """Return the plan of a holder that knows the demand."""
    plan = engine_plan.EnginePlan(time, "s", regions=regions)
    plan.observe_endpoints([])
    for _ in range(2 * engine_plan.NO_SHRINK_SAMPLES):
        plan.sample_demand(demand)
    time.advance_to(time.now() + engine_plan.INITIAL_WINDOW_MS)
    return plan


def spot_orders(plan: engine_plan.EnginePlan, run: list[traffic.Endpoint]) -> dict[str, int]:
    return {one.data_centre: one.count for one in plan.orders(SCALING, run) if one.spot}


def partially_reachable(*regions: str) -> region_demand.RegionView:
    return dataclasses.replace(REGIONS, partially_reachable=frozenset(regions))


def test_a_partially_reachable_region_does_not_shrink():
    plan = plan_of(clock.ManualClock(), 3.0, partially_reachable("s"))
    run = engines(dict.fromkeys(PRICES, 8), {"s1": 2})
    orders = plan.orders(SCALING, run)
    assert {one.data_centre for one in orders} == {"n1", "n2", "w1", "w2"}
    plan.regions = REGIONS
    shrunk = spot_orders(plan, run)
    assert shrunk["s1"] < 8 and shrunk["s2"] < 8


def test_a_partially_reachable_region_replaces_reclaimed_endpoints():
    time = clock.ManualClock()
    plan = plan_of(time, 3.0, partially_reachable("s"))
    plan.ordered(records.EngineOrder("s", "s1", 8, True), refused=False)
    time.advance_to(time.now() + 60_000)
    run = engines({"n1": 2, "n2": 2, "s2": 8, "w1": 2, "w2": 2})
    assert spot_orders(plan, run)["s1"] == 8


def test_endpoints_are_released_only_after_their_replacements_run():
    time = clock.ManualClock()
    before = dataclasses.replace(REGIONS, shares={"n": 0.8, "s": 0.1, "w": 0.1})
    plan = plan_of(time, 12.0, before)
    wanted = plan.wanted(SCALING, {})
    run = engines({pool.data_centre: count for pool, count in wanted.items() if pool.spot})
    for order in plan.orders(SCALING, run):
        plan.ordered(order, refused=False)
    plan.regions = dataclasses.replace(REGIONS, shares={"n": 0.1, "s": 0.8, "w": 0.1})
    moved = spot_orders(plan, run)
    assert moved and all(name.startswith("s") for name in moved)
    for name, count in moved.items():
        plan.ordered(records.EngineOrder("s", name, count, True), refused=False)
    time.advance_to(time.now() + round(SCALING.boot_ms))
    now_run = {name: plan.spot_placement[name] for name in PRICES} | moved
    later = spot_orders(plan, engines(now_run))
    assert later and all(name.startswith("n") for name in later)
    assert all(count < now_run[name] for name, count in later.items())


def test_while_a_data_centre_refuses_the_others_hold_the_reserve():
    full = engine_regions.spot_counts(SCALING, REGIONS, 12, 1.5)
    found = engine_regions.spot_counts(SCALING, REGIONS, 12, 1.5, frozenset({"n1"}))
    assert found["n1"] == full["n1"]
    others = [count for name, count in found.items() if name != "n1"]
    assert sum(sorted(others)[:-1]) >= 12
    assert engine_regions.spot_counts(SCALING, REGIONS, 12, 1.5, frozenset(PRICES)) == full


def test_no_firm_endpoints_are_ordered_beside_replacement_spot_ones():
    time = clock.ManualClock()
    plan = plan_of(time, 12.0, REGIONS)
    run = engines(dict.fromkeys(PRICES, 3))
    for order in plan.orders(SCALING, run):
        plan.ordered(order, refused=False)
    placed = dict(plan.spot_placement)
    without = engines({name: count for name, count in placed.items() if name != "n1"})
    plan.ordered(records.EngineOrder("s", "n1", placed["n1"], True), refused=True)
    orders = plan.orders(SCALING, without)
    assert any(one.spot for one in orders)
    assert not any(not one.spot and one.count for one in orders)
    for order in orders:
        plan.ordered(order, refused=True)
    refused = plan.orders(SCALING, engines({"s1": 1, "s2": 1}))
    assert any(not one.spot and one.count for one in refused)


def test_firm_endpoints_go_to_the_short_region_unless_remote_ones_are_cheaper():
    short_south = {"n1": 4, "n2": 4, "s1": 0, "s2": 0, "w1": 4, "w2": 4}
    found = engine_firm.spread(SCALING, REGIONS, 12, 2, {}, short_south)
    assert found["w1"] == 2
    below_limit = dataclasses.replace(REGIONS, latency_fraction=0.19)
    found = engine_firm.spread(SCALING, below_limit, 12, 2, {}, short_south)
    assert found["s2"] == 2
    above_limit = dataclasses.replace(REGIONS, latency_fraction=0.5)
    assert engine_firm.spread(SCALING, above_limit, 12, 2, {}, short_south)["s2"] == 2


def test_one_region_is_spread_evenly():
    one_region = region_demand.RegionView(
        dict.fromkeys(PRICES, "n"), {"n": 1.0}, latency_fraction=0.0
    )
    ready = {engine_pools.Pool(name, True): 3 for name in PRICES}
    for demand in (1.0, 7.0, 30.0):
        plans = [
            plan_of(clock.ManualClock(), demand, regions)
            for regions in (region_demand.ONE_REGION, one_region)
        ]
        assert plans[0].wanted(SCALING, ready) == plans[1].wanted(SCALING, ready)
