"""Gauges and log fields of engines by region."""

import collections
from typing import Any

from plumarch.core import traffic
from plumarch.fleet import engine_plan, engine_pools
from plumarch.gateway import fleet_state


def show(
    state: fleet_state.FleetState, plan: engine_plan.EnginePlan, scaling: traffic.Scaling
) -> None:
    """Set a service's gauges on a node that knows the fleet's demand."""
    regions, measures = plan.regions, state.measures
    for region, share in regions.demand_shares(scaling.prices).items():
        measures.engine_demand.set(plan.demand * share, plan.service, region)
    counts: collections.Counter[tuple[str, bool]] = collections.Counter()
    ready = engine_pools.ready(plan.service, state.registry.endpoints.values())
    for pool, count in ready.items():
        counts[regions.of(pool.data_centre), pool.spot] += count
    for region in {regions.of(name) for name in scaling.prices}:
        for spot in (False, True):
            kind = "spot" if spot else "firm"
            measures.engines.set(counts[region, spot], plan.service, region, kind)
        measures.partially_reachable_regions.set(region in regions.partially_reachable, region)


def clear(state: fleet_state.FleetState) -> None:
    """Remove all values on a node that no longer knows the fleet's demand."""
    for gauge in (
        state.measures.engine_demand,
        state.measures.engines,
        state.measures.partially_reachable_regions,
    ):
        gauge.values.clear()


def order_fields(
    plan: engine_plan.EnginePlan, scaling: traffic.Scaling, data_centre: str
) -> dict[str, Any]:
    """Return a data centre's region as log fields, or none with only one region."""
    regions = plan.regions
    if not regions.are_several(scaling.prices):
        return {}
    region = regions.of(data_centre)
    share = regions.demand_shares(scaling.prices)[region]
    needed = plan.needed(scaling) * share
    placed = sum(count for name, count in plan.spot_placement.items() if regions.of(name) == region)
    return {
        "region": region,
        "region_demand": round(plan.demand * share, 2),
        "region_needed": round(needed, 2),
        "region_reserve": round(placed - needed, 2),
        "in_part": region in regions.partially_reachable,
        "way": round(regions.latency_fraction, 3),
    }
