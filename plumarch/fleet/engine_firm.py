"""Where firm endpoints go: where one runs already, else where it costs least, within the limits."""

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
    """Return a number of firm endpoints by data centre, as far as there is room.

    Args:
      needed: endpoints of both kinds that all callers need.
      spot: reclaimable endpoints that run or are coming, by data centre.
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
        # The limit holds for both kinds together, and the platform doesn't say what it holds
        # back: what is ordered beyond the room would be waited for in vain.
        running = ready.get(engine_pools.Pool(name, False), 0)
        room = max(running, scaling.maximum - ready.get(engine_pools.Pool(name, True), 0))
        if counts[name] >= room:
            continue
        runs_already = running > counts[name]
        cost = engine_regions.firm_cost(regions, name, price, lacks)
        # Firm ones are not reclaimed: over regions their price counts before even spreading.
        rank = (cost, counts[name]) if over_regions else (counts[name], cost)
        open_pools.append((not runs_already, *rank, name))
    return min(open_pools)[3] if open_pools else None
