"""Cheapest placement of spot endpoints over several regions.

All spot endpoints of a data centre may be reclaimed at once, so the reserve lies in other ones.
"""

import collections
import dataclasses
import functools
import math
from collections.abc import Iterable, Mapping

MAX_LATENCY_FRACTION = 0.2
"""Fraction of the first-token target that latency to a reserve may take."""

LOCAL_FRACTION = 0.85
"""Minimum fraction of a region's demand that is placed in it; the need includes headroom."""


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """A data centre in which spot endpoints may be ordered.

    Attributes:
      price: of one endpoint for a second.
      share: fraction of the demand that arises in its region.
    """

    name: str
    region: str
    price: float
    share: float
    minimum: int
    maximum: int


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Endpoints by data centre, as pairs of name and count.

    Attributes:
      cost: price of a second, weighted by latency.
      survivors: endpoints left after the loss to be covered.
    """

    counts: tuple[tuple[str, int], ...]
    cost: float
    survivors: float


@functools.lru_cache(maxsize=64)
def placement(
    sites: tuple[Site, ...], needed: int, lost: float, latency_fraction: float
) -> Placement:
    """Return the cheapest placement that leaves what is needed after a loss.

    Args:
      needed: over all regions.
      lost: number of data centres lost at once, the largest ones.
      latency_fraction: latency to another region as a fraction of the tightest target; beyond
        MAX_LATENCY_FRACTION each region covers its own loss.
    """
    if latency_fraction <= MAX_LATENCY_FRACTION:
        return _cheapest(sites, _local_minimum(sites, needed), needed, lost, latency_fraction)
    found = []
    for region in sorted({site.region for site in sites}):
        own = tuple(site for site in sites if site.region == region)
        need = math.ceil(needed * own[0].share)
        found.append(_cheapest(own, {region: need}, need, lost, 0.0))
    return Placement(
        tuple(pair for one in found for pair in one.counts),
        sum(one.cost for one in found),
        sum(one.survivors for one in found),
    )


def survivors(counts: Iterable[int], lost: float) -> float:
    """Return the endpoints left once the largest data centres are lost.

    Args:
      lost: number of data centres; of the last one a fraction, if it is not an integer.
    """
    largest = sorted(counts, reverse=True)
    lost = min(lost, max(0, len(largest) - 1))
    complete = int(lost)
    partly = (lost - complete) * largest[complete] if complete < len(largest) else 0.0
    return sum(largest[complete:]) - partly


def _local_minimum(sites: tuple[Site, ...], needed: int) -> dict[str, int]:
    """Return the minimum of each region, rounded so that the sum stays exact."""
    shares = {site.region: site.share for site in sites}
    total = max(sum(shares.values()), 1e-9)
    exact = {one: LOCAL_FRACTION * needed * share / total for one, share in shares.items()}
    found = {region: int(count) for region, count in exact.items()}
    left = round(LOCAL_FRACTION * needed) - sum(found.values())
    by_remainder = sorted(exact, key=lambda region: (found[region] - exact[region], region))
    for region in by_remainder[: max(0, left)]:
        found[region] += 1
    return found


def _cheapest(
    sites: tuple[Site, ...],
    local: Mapping[str, int],
    needed: int,
    lost: float,
    latency_fraction: float,
) -> Placement:
    """Return the placement whose largest data centre is smallest."""
    base = _base(sites, local)
    lost = min(lost, len(sites) - 1.0)
    level = max(math.ceil(needed / (len(sites) - lost)), *base.values())
    return _fill(sites, base, level, needed, lost, latency_fraction)


def _base(sites: tuple[Site, ...], local: Mapping[str, int]) -> dict[str, int]:
    """Return the local minimums, spread evenly over the data centres."""
    counts = {site.name: site.minimum for site in sites}
    for region, wanted in local.items():
        own = [site for site in sites if site.region == region]
        while sum(counts[site.name] for site in own) < wanted:
            open_sites = [site for site in own if counts[site.name] < site.maximum]
            if not open_sites:
                break
            smallest = min(open_sites, key=lambda one: (counts[one.name], one.price, one.name))
            counts[smallest.name] += 1
    return counts


def _fill(
    sites: tuple[Site, ...],
    base: Mapping[str, int],
    level: int,
    needed: int,
    lost: float,
    latency_fraction: float,
) -> Placement:
    """Add endpoints up to a level, cheapest first, until enough survive a loss."""
    counts = collections.Counter(base)
    ranked = sorted(sites, key=lambda one: (_cost(one, latency_fraction), one.name))
    while survivors(counts.values(), lost) < needed:
        site = next((one for one in ranked if counts[one.name] < min(level, one.maximum)), None)
        if site is None:
            break
        counts[site.name] += 1
    return Placement(
        tuple((site.name, counts[site.name]) for site in sites),
        sum(counts[site.name] * _cost(site, latency_fraction) for site in sites),
        survivors(counts.values(), lost),
    )


def _cost(site: Site, latency_fraction: float) -> float:
    return site.price * (1.0 + latency_fraction * (1.0 - site.share))
