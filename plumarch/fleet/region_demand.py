"""Shares of the fleet's demand by region.

Total demand is one figure for the fleet, so that opposite waves in two regions cancel out. Shares
change only by a margin, since moving an engine leaves a gap while one boots.
"""

import dataclasses
from collections.abc import Mapping

from plumarch.core import regions

PAST_WEIGHT = 0.8
"""Weight of the past in a region's rate, per sample of a second."""

SHARE_MARGIN = 0.1
"""Change of a region's share from which on the shares are updated."""


@dataclasses.dataclass(frozen=True, slots=True)
class RegionView:
    """The regions of a service's data centres.

    Attributes:
      region_of: by data centre; empty if there is one region.
      shares: of the demand, by region; the sum is 1.
      partially_reachable: regions with too few reachable nodes to release endpoints there.
      latency_fraction: latency to another region as a fraction of the tightest target.
    """

    region_of: Mapping[str, str] = dataclasses.field(default_factory=dict)
    shares: Mapping[str, float] = dataclasses.field(default_factory=dict)
    partially_reachable: frozenset[str] = frozenset()
    latency_fraction: float = 0.0

    def of(self, data_centre: str) -> str:
        """Return a data centre's region; an unlisted one is a region of its own."""
        return regions.region_of(self.region_of, data_centre)

    def are_several(self, data_centres: Mapping[str, float]) -> bool:
        """Return whether data centres belong to more than one region."""
        return bool(self.region_of) and len({self.of(name) for name in data_centres}) > 1

    def without_shares(self) -> "RegionView":
        """Return a view without shares."""
        return dataclasses.replace(self, shares={})

    def demand_shares(self, data_centres: Mapping[str, float]) -> dict[str, float]:
        """Return the shares by region; until known, in proportion to the data centres."""
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
    """Demand by region, smoothed.

    Attributes:
      rates: units per second by region; that of a partially reachable region does not fall.
      shares: those in force.
      partially_reachable: as of the last sample.
    """

    rates: dict[str, float] = dataclasses.field(default_factory=dict)
    shares: dict[str, float] = dataclasses.field(default_factory=dict)
    partially_reachable: frozenset[str] = frozenset()

    def sample(
        self, units_per_s: Mapping[str, float], partially_reachable: frozenset[str]
    ) -> float:
        """Add a sample of the last second.

        Args:
          units_per_s: by region.
          partially_reachable: regions whose rate may not fall.
        Returns:
          The demand of the fleet in units per second.
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
        """Drop all samples, since this node no longer receives the fleet's reports."""
        self.rates.clear()
        self.shares.clear()
        self.partially_reachable = frozenset()

    def view(self, region_of: Mapping[str, str], latency_fraction: float) -> RegionView:
        """Return the present view."""
        return RegionView(region_of, dict(self.shares), self.partially_reachable, latency_fraction)
