"""In which regions callers ask, as shares of what the whole fleet is asked for.

The demand in engines is one figure for the fleet (fleet/engine_plan): waves of regions that are out
of phase cancel out in it, and would not if each region rose fast and fell slowly by itself. Shares
say where it arises. They are adopted by a margin, since an engine that is let go here and ordered
there is missing for a boot.
"""

import dataclasses
from collections.abc import Mapping

from plumarch.core import regions

PAST_WEIGHT = 0.8
"""Weight of the past in a region's rate, at each sample of a second: callers that move are followed
within 5 s, and a second of few requests does not move engines. A judgement."""

SHARE_MARGIN = 0.1
"""A region's share is adopted anew once it is off by this part of the whole. Smaller moves are
taken by what engines have in hand (engine_demand.MAX_READ_FRACTION)."""


@dataclasses.dataclass(frozen=True, slots=True)
class RegionView:
    """The regions of a service's data centres at one moment.

    Attributes:
      region_of: by data centre; empty where all are of one region.
      shares: part of the demand that arises in each region; they add up to 1.
      partially_reachable: regions of which too few nodes are heard to let anything go there.
      way: what a request to another region costs, as a part of the tightest target.
    """

    region_of: Mapping[str, str] = dataclasses.field(default_factory=dict)
    shares: Mapping[str, float] = dataclasses.field(default_factory=dict)
    partially_reachable: frozenset[str] = frozenset()
    latency_fraction: float = 0.0

    def of(self, data_centre: str) -> str:
        """Return a data centre's region; one that is not named is a region of its own."""
        return regions.region_of(self.region_of, data_centre)

    def are_several(self, data_centres: Mapping[str, float]) -> bool:
        """Return whether data centres belong to more than one region."""
        return bool(self.region_of) and len({self.of(name) for name in data_centres}) > 1

    def without_shares(self) -> "RegionView":
        """Return the regions as if it was not known where the demand arises."""
        return dataclasses.replace(self, shares={})

    def demand_shares(self, data_centres: Mapping[str, float]) -> dict[str, float]:
        """Return the shares of the regions of data centres; as these are spread until known."""
        found: dict[str, float] = {}
        for name in data_centres:
            region = self.of(name)
            known = self.shares.get(region, 0.0) if self.shares else 0.0
            found[region] = known if self.shares else found.get(region, 0.0) + 1.0
        total = sum(found.values())
        if total <= 0:
            return dict.fromkeys(found, 1.0 / max(1, len(found)))
        return {region: share / total for region, share in found.items()}


ONE_REGION = RegionView()


@dataclasses.dataclass(slots=True)
class RegionDemand:
    """What callers ask for in each region.

    Attributes:
      rates: units a second by region, smoothed; one that is heard in part does not fall.
      shares: those that are planned by.
      partially_reachable: regions that were heard in part at the last sample.
    """

    rates: dict[str, float] = dataclasses.field(default_factory=dict)
    shares: dict[str, float] = dataclasses.field(default_factory=dict)
    partially_reachable: frozenset[str] = frozenset()

    def sample(
        self, units_per_s: Mapping[str, float], partially_reachable: frozenset[str]
    ) -> float:
        """Take in what the last second asked for.

        Args:
          units_per_s: by region.
          partially_reachable: regions of which too few nodes are heard to take a fall for one.
        Returns:
          What the whole fleet is asked for, in units a second.
        """
        total = 0.0
        for region in {*units_per_s, *self.rates}:
            now = units_per_s.get(region, 0.0)
            known = self.rates.get(region)
            if known is not None and region in partially_reachable:
                now = max(now, known)
            total += now
            smoothed = now if known is None else PAST_WEIGHT * known + (1.0 - PAST_WEIGHT) * now
            self.rates[region] = smoothed
        self.partially_reachable = partially_reachable
        self._adopt()
        return total

    def _adopt(self) -> None:
        total = sum(self.rates.values())
        if total <= 0:
            return
        now = {region: rate / total for region, rate in self.rates.items()}
        if any(abs(now[one] - self.shares.get(one, 0.0)) >= SHARE_MARGIN for one in now):
            self.shares = now

    def reset(self) -> None:
        """Begin anew, since this node does not hear of the fleet's requests any more."""
        self.rates.clear()
        self.shares.clear()
        self.partially_reachable = frozenset()

    def view(self, region_of: Mapping[str, str], latency_fraction: float) -> RegionView:
        """Return the regions as they are planned by now."""
        return RegionView(region_of, dict(self.shares), self.partially_reachable, latency_fraction)
