"""Where reclaimable endpoints go if data centres lie in several regions, and what that costs.

A data centre's reclaimable endpoints are lost all at once. More of them in it replace none of
them, so that the reserve lies in its sister data centres or in other regions. Which is cheaper
follows from prices, and from what the way to another region takes of the callers' target.
"""

import collections
import dataclasses
import functools
import math
from collections.abc import Iterable, Mapping

MAX_LATENCY_FRACTION = 0.2
"""Part of a first token's target that the way to another region may take, so that endpoints there
are a reserve. A judgement: reading and waiting take four fifths and more."""

LOCAL_FRACTION = 0.85
"""Part of what a region's callers ask for that is placed in it at least. Needs hold a margin (half
of the time is for reading at most), so that in calm times the rest is served there as well."""


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """A data centre in which reclaimable endpoints may be ordered.

    Attributes:
      price: a second of one.
      share: part of the demand that arises in its region.
      least: how many there are at least.
      most: how many there may be.
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
      cost: of a second of all, with what ways between regions take.
      survivors: endpoints that are left after the loss that was to be covered.
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
      needed: endpoints that all regions need together.
      lost: data centres that may be lost at once, the largest ones.
      way: what a request to another region costs, as a part of the tightest target. Beyond
        MAX_LATENCY_FRACTION each region is a reserve for itself only.
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
    """Return how many endpoints are left once the largest data centres are lost.

    Args:
      lost: how many of them; of the last one a part, if it is no whole number.
    """
    largest = sorted(counts, reverse=True)
    lost = min(lost, max(0, len(largest) - 1))
    whole = int(lost)
    partly = (lost - whole) * largest[whole] if whole < len(largest) else 0.0
    return sum(largest[whole:]) - partly


def _local_minimum(sites: tuple[Site, ...], needed: int) -> dict[str, int]:
    """Return how many endpoints each region holds at least, without rounding up for each."""
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
    """Return a placement whose largest data centre is as small as can be: it is what gets lost."""
    base = _base(sites, local)
    lost = min(lost, len(sites) - 1.0)
    level = max(math.ceil(needed / (len(sites) - lost)), *base.values())
    return _fill(sites, base, level, needed, lost, latency_fraction)


def _base(sites: tuple[Site, ...], local: Mapping[str, int]) -> dict[str, int]:
    """Return what each region holds itself, spread evenly over its data centres."""
    counts = {site.name: site.minimum for site in sites}
    for region, wanted in local.items():
        own = [site for site in sites if site.region == region]
        while sum(counts[site.name] for site in own) < wanted:
            open_sites = [site for site in own if counts[site.name] < site.maximum]
            if not open_sites:
                break
            least = min(open_sites, key=lambda one: (counts[one.name], one.price, one.name))
            counts[least.name] += 1
    return counts


def _fill(
    sites: tuple[Site, ...],
    base: Mapping[str, int],
    level: int,
    needed: int,
    lost: float,
    latency_fraction: float,
) -> Placement:
    """Add endpoints up to a level in each data centre, the cheapest first, until enough are left.

    The demand of other regions gets to an endpoint over a way, which makes it worth less.
    """
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
