"""Endpoint counts by data centre for services in several regions."""

import dataclasses
import math
from collections.abc import Mapping

from plumarch.core import traffic
from plumarch.fleet import engine_pools, engine_reserve, region_demand


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """A loss of data centres to be covered.

    Attributes:
      left: endpoints that must survive.
      data_centres: how many are lost at once.
    """

    left: int
    data_centres: float


NO_LOSS = Loss(0, 0.0)


def spot_counts(
    scaling: traffic.Scaling,
    regions: region_demand.RegionView,
    needed: int,
    lost: float,
    refused: frozenset[str] = frozenset(),
    next_loss: Loss = NO_LOSS,
) -> dict[str, int]:
    """Return spot endpoints by data centre: those needed and a reserve.

    While some data centres refuse, the others carry both: spot endpoints boot as fast as firm ones
    and are cheaper.

    Args:
      lost: data centres that may be lost at once.
      refused: data centres that refused spot orders.
      next_loss: what must survive a further loss then.
    """
    counts = dict(_placement(scaling, regions, needed, lost, frozenset()).counts)
    if not refused or len(refused) == len(scaling.prices):
        return counts
    for minimum, lost_centres in ((needed, lost), (next_loss.left, next_loss.data_centres)):
        for name, count in _placement(scaling, regions, minimum, lost_centres, refused).counts:
            counts[name] = max(counts[name], count)
    return counts


def _placement(
    scaling: traffic.Scaling,
    regions: region_demand.RegionView,
    needed: int,
    lost: float,
    without: frozenset[str],
) -> engine_reserve.Placement:
    prices = {name: price for name, price in scaling.prices.items() if name not in without}
    shares = regions.demand_shares(prices)
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
    return engine_reserve.placement(sites, needed, lost, regions.latency_fraction)


def retain_running(
    regions: region_demand.RegionView,
    counts: Mapping[str, int],
    spot: bool,
    ready: Mapping[engine_pools.Pool, int],
    last_orders: Mapping[engine_pools.Pool, engine_pools.LastOrder],
) -> dict[str, int]:
    """Return counts that shrink nothing in partially reachable regions.

    There the last spot orders are kept too, so that reclaimed endpoints are replaced.
    """
    retained = dict(counts)
    for name in counts:
        if regions.of(name) not in regions.partially_reachable:
            continue
        pool = engine_pools.Pool(name, spot)
        ordered = last_orders[pool].count if spot and pool in last_orders else 0
        retained[name] = max(counts[name], ready.get(pool, 0), ordered)
    return retained


def release_after_replacement(
    counts: Mapping[str, int],
    ready: Mapping[engine_pools.Pool, int],
    pending: Mapping[str, int],
) -> dict[str, int]:
    """Return spot counts that release endpoints only once their replacements run elsewhere.

    Args:
      pending: endpoints that run or boot, by data centre.
    """
    run = sum(ready.get(engine_pools.Pool(name, True), 0) for name in counts)
    spare = max(0, run - sum(counts.values()))
    retained_counts = dict(counts)
    for name in sorted(counts, key=lambda name: (counts[name] - pending[name], name)):
        excess = max(0, pending[name] - counts[name])
        retained_counts[name] += max(0, excess - spare)
        spare -= min(excess, spare)
    return retained_counts


def with_new_orders(
    pending: Mapping[str, int],
    wanted: Mapping[str, int],
    last_orders: Mapping[engine_pools.Pool, engine_pools.LastOrder],
) -> dict[str, int]:
    """Return spot endpoints including those about to be ordered.

    Otherwise firm endpoints would be ordered beside them and released right after.

    Args:
      pending: endpoints that run or boot, by data centre.
    """
    found = dict(pending)
    for name, count in wanted.items():
        last = last_orders.get(engine_pools.Pool(name, True))
        if last is None or (last.count < count and not last.refused):
            found[name] = max(found[name], count)
    return found


def shortages(
    scaling: traffic.Scaling,
    regions: region_demand.RegionView,
    needed: int,
    here: Mapping[str, int],
) -> dict[str, int]:
    """Return the endpoints that each region lacks for local demand.

    Args:
      here: endpoints by data centre.
    """
    found = {}
    for region, share in regions.demand_shares(scaling.prices).items():
        own = sum(count for name, count in here.items() if regions.of(name) == region)
        found[region] = math.floor(engine_reserve.LOCAL_FRACTION * needed * share) - own
    return found


def firm_cost(
    regions: region_demand.RegionView, data_centre: str, price: float, lacks: Mapping[str, int]
) -> float:
    """Return the price of a firm endpoint, weighted by latency."""
    if max(lacks.values(), default=0) <= 0 or lacks.get(regions.of(data_centre), 0) > 0:
        return price
    if regions.latency_fraction > engine_reserve.MAX_LATENCY_FRACTION:
        return math.inf
    return price * (1.0 + regions.latency_fraction)
