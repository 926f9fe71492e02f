"""Counts of endpoints by data centre where these lie in several regions.

Pure functions over what the plan knows: what is needed, what runs or is coming, what was refused.
"""

import math
from collections.abc import Mapping

from plumarch.core import traffic
from plumarch.fleet import engine_places, engine_reserve, region_demand


def spot_counts(
    scaling: traffic.Scaling,
    regions: region_demand.RegionView,
    needed: int,
    lost: float,
    refused: frozenset[str],
) -> dict[str, int]:
    """Return reclaimable endpoints by data centre, what is needed and a reserve.

    While some data centres have none, the others hold what is needed and a reserve among
    themselves: these come as soon as firm ones would, and cost a fraction of them.

    Args:
      lost: data centres that may be lost at once.
      refused: data centres that had no reclaimable ones lately.
    """
    counts = dict(_placed(scaling, regions, needed, lost, frozenset()).counts)
    if refused and len(refused) < len(scaling.prices):
        for name, count in _placed(scaling, regions, needed, lost, refused).counts:
            counts[name] = max(counts[name], count)
    return counts


def _placed(
    scaling: traffic.Scaling,
    regions: region_demand.RegionView,
    needed: int,
    lost: float,
    without: frozenset[str],
) -> engine_reserve.Placement:
    prices = {name: price for name, price in scaling.prices.items() if name not in without}
    shares = regions.shares_of(prices)
    sites = tuple(
        engine_reserve.Site(
            name,
            regions.of(name),
            price * scaling.spot_price,
            shares[regions.of(name)],
            scaling.minimum,
            scaling.maximum,
        )
        for name, price in sorted(prices.items())
    )
    return engine_reserve.placement(sites, needed, lost, regions.way)


def holds(
    regions: region_demand.RegionView,
    counts: Mapping[str, int],
    spot: bool,
    ready: Mapping[engine_places.Place, int],
    given: Mapping[engine_places.Place, engine_places.Given],
) -> dict[str, int]:
    """Return counts that let nothing go in regions that are heard in part.

    What was ordered there last is kept as well, so that it comes back after a reclaim.

    Args:
      spot: which kind they are of.
    """
    held = dict(counts)
    for name in counts:
        if regions.of(name) not in regions.in_part:
            continue
        place = engine_places.Place(name, spot)
        ordered = given[place].count if spot and place in given else 0
        held[name] = max(counts[name], ready.get(place, 0), ordered)
    return held


def let_go_last(
    counts: Mapping[str, int], ready: Mapping[engine_places.Place, int]
) -> dict[str, int]:
    """Return reclaimable counts that let none go before its replacement elsewhere runs."""
    run = {name: ready.get(engine_places.Place(name, True), 0) for name in counts}
    if sum(run.values()) >= sum(counts.values()):
        return dict(counts)
    return {name: max(count, run[name]) for name, count in counts.items()}


def lacking(
    scaling: traffic.Scaling,
    regions: region_demand.RegionView,
    needed: int,
    here: Mapping[str, int],
) -> dict[str, int]:
    """Return how many endpoints each region lacks of what its callers ask for.

    Args:
      here: endpoints by data centre.
    """
    found = {}
    for region, share in regions.shares_of(scaling.prices).items():
        own = sum(count for name, count in here.items() if regions.of(name) == region)
        found[region] = math.floor(engine_reserve.LOCAL_PART * needed * share) - own
    return found


def firm_cost(
    regions: region_demand.RegionView, data_centre: str, price: float, lacks: Mapping[str, int]
) -> float:
    """Return what a firm endpoint costs, with the way of the requests that it serves.

    Args:
      lacks: how many endpoints each region lacks.
    """
    if max(lacks.values(), default=0) <= 0 or lacks.get(regions.of(data_centre), 0) > 0:
        return price
    if regions.way > engine_reserve.WAY_OF_TARGET:
        return math.inf
    return price * (1.0 + regions.way)
