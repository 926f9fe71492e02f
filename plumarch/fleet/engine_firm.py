"""Placement of firm endpoints: where they run already, else where they are cheapest."""

from collections.abc import Mapping

from plumarch.core import traffic
from plumarch.fleet import engine_pools, engine_regions, region_demand


def spread(
    scaling: traffic.Scaling,
    regions: region_demand.RegionView,
    needed: int,
    total: int,
    ready: Mapping[engine_pools.Pool, int],
    spot: Mapping[str, int],
) -> dict[str, int]:
    """Spread firm endpoints over the data centres, within the limits.

    Args:
      needed: endpoints of both kinds.
      total: firm endpoints to place.
      spot: spot endpoints that run or boot, by data centre.
    """
    counts = dict.fromkeys(scaling.prices, 0)
    for _ in range(total):
        name = _next(scaling, regions, needed, ready, spot, counts)
        if name is None:
            break
        counts[name] += 1
    return counts


def _next(
    scaling: traffic.Scaling,
    regions: region_demand.RegionView,
    needed: int,
    ready: Mapping[engine_pools.Pool, int],
    spot: Mapping[str, int],
    counts: Mapping[str, int],
) -> str | None:
    open_pools: list[tuple[bool, float, float, str]] = []
    over_regions = regions.are_several(scaling.prices)
    both = {name: count + spot[name] for name, count in counts.items()}
    lacks = engine_regions.shortages(scaling, regions, needed, both) if over_regions else {}
    for name, price in scaling.prices.items():
        # The maximum covers both kinds, and the platform accepts orders beyond it without
        # fulfilling them.
        running = ready.get(engine_pools.Pool(name, False), 0)
        limit = max(running, scaling.maximum - ready.get(engine_pools.Pool(name, True), 0))
        if counts[name] >= limit:
            continue
        runs_already = running > counts[name]
        cost = engine_regions.firm_cost(regions, name, price, lacks)
        # Firm endpoints are not reclaimed, so over regions price comes before even spreading.
        rank = (cost, counts[name]) if over_regions else (counts[name], cost)
        open_pools.append((not runs_already, *rank, name))
    return min(open_pools)[3] if open_pools else None
