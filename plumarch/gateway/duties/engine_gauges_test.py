"""Gauges and log fields of engines by region."""

from plumarch.core import clock, traffic
from plumarch.fleet import engine_plan, region_demand
from plumarch.gateway.duties import engine_gauges
from plumarch.standins import gateway_parts

PRICES = {"n1": 1.0, "n2": 1.0, "s1": 1.0}
SCALING = traffic.Scaling(0, 20, 4_000.0, 0.18, PRICES)
REGIONS = region_demand.RegionView(
    {"n1": "n", "n2": "n", "s1": "s"}, {"n": 0.75, "s": 0.25}, frozenset({"s"}), 0.12
)


def plan_of(regions: region_demand.RegionView) -> engine_plan.EnginePlan:
    plan = engine_plan.EnginePlan(clock.ManualClock(), "e", regions=regions)
    for _ in range(2 * engine_plan.NO_SHRINK_SAMPLES):
        plan.sample_demand(8.0)
    plan.wanted(SCALING, {})
    return plan


def test_gauges_show_demand_and_engines_of_each_region():
    state = gateway_parts.new_state(clock.ManualClock())
    run = [
        traffic.Endpoint(
            f"e{number}", "e", "1:1", name, 8, traffic.EndpointState.READY, name != "n2"
        )
        for number, name in enumerate(["n1", "n1", "n2", "s1"])
    ]
    state.registry.replace(run, 1, "store")
    engine_gauges.show(state, plan_of(REGIONS), SCALING)
    measures = state.measures
    assert measures.engine_demand.values == {("e", "n"): 6.0, ("e", "s"): 2.0}
    assert measures.engines.values == {
        ("e", "n", "spot"): 2,
        ("e", "n", "firm"): 1,
        ("e", "s", "spot"): 1,
        ("e", "s", "firm"): 0,
    }
    assert measures.partially_reachable_regions.values == {("n",): False, ("s",): True}
    assert 'plumarch_engine_demand{region="n",service="e"} 6.0' in measures.text().decode()
    engine_gauges.clear(state)
    assert not measures.engines.values


def test_log_fields_of_an_order_give_the_regions_demand_need_and_reserve():
    plan = plan_of(REGIONS)
    found = engine_gauges.order_fields(plan, SCALING, "n2")
    placed = plan.spot_placement["n1"] + plan.spot_placement["n2"]
    assert found == {
        "region": "n",
        "region_demand": 6.0,
        "region_needed": 6.0,
        "region_reserve": placed - 6.0,
        "in_part": False,
        "way": 0.12,
    }
    assert engine_gauges.order_fields(plan_of(region_demand.ONE_REGION), SCALING, "n2") == {}
