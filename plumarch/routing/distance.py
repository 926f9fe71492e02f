"""Estimates the distance of data centres: their region and the round trip to them.

Regions come from the settings, round trips from regular connects; until then a prior by locality is
used.
"""

import collections
import dataclasses
import enum
from collections.abc import Mapping

from plumarch.core import clock, regions


class Locality(enum.IntEnum):
    """Locality of a data centre, the nearest first."""

    SAME_DATA_CENTRE = 0
    SAME_REGION = 1
    OTHER_REGION = 2

    def label(self) -> str:
        """Return the name in logs and metrics."""
        return self.name.lower()


PRIOR_ROUND_TRIP_MS = {
    Locality.SAME_DATA_CENTRE: 0.3,
    Locality.SAME_REGION: 2.0,
    Locality.OTHER_REGION: 60.0,
}
"""Assumed round trips in ms until enough connects were measured."""

FRESH_CONNECTION_ROUND_TRIPS = 2
"""Round trips until the first byte: connect and request."""

CONNECT_SAMPLES = 16
"""Recent connects that an estimate is made from."""

MIN_CONNECTS = 3
"""Connects before the prior is replaced: a first one may have waited for a busy process."""

ESTIMATE_RANK = 1
"""Rank of the connect used as the estimate, the shortest being 0: waiting only adds to a round
trip, and one implausibly short connect, as to a reused address nearby, is skipped."""


@dataclasses.dataclass(slots=True)
class RoundTripEstimate:
    """Recent connects to the endpoints of a data centre.

    Attributes:
      connects_ms: durations, the oldest first.
      round_trip_ms: the estimate, or None while there are too few.
    """

    connects_ms: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=CONNECT_SAMPLES)
    )
    round_trip_ms: float | None = None

    def connected(self, connect_ms: float) -> None:
        """Record the duration of a connect."""
        self.connects_ms.append(connect_ms)
        if len(self.connects_ms) >= MIN_CONNECTS:
            self.round_trip_ms = sorted(self.connects_ms)[ESTIMATE_RANK]


@dataclasses.dataclass(slots=True)
class Distances:
    """The data centres as seen from one of them.

    Attributes:
      regions: the region of each data centre; empty where all are of one region.
      measured: by data centre.
      unnamed: data centres without a region that `is_first_unnamed` reported.
    """

    clock: clock.Clock
    own: str
    regions: Mapping[str, str] = dataclasses.field(default_factory=dict)
    measured: dict[str, RoundTripEstimate] = dataclasses.field(default_factory=dict)
    unnamed: set[str] = dataclasses.field(default_factory=set)

    def region_of(self, data_centre: str) -> str:
        """Return a data centre's region; an unnamed one is a region of its own."""
        return regions.region_of(self.regions, data_centre)

    def own_region(self) -> str:
        """Return the region of this node."""
        return self.region_of(self.own)

    def locality(self, data_centre: str) -> Locality:
        """Return the locality of a data centre."""
        if data_centre == self.own:
            return Locality.SAME_DATA_CENTRE
        if self.region_of(data_centre) == self.own_region():
            return Locality.SAME_REGION
        return Locality.OTHER_REGION

    def is_in_region(self, data_centre: str) -> bool:
        """Return whether a data centre is in this node's region."""
        return self.region_of(data_centre) == self.own_region()

    def is_first_unnamed(self, data_centre: str) -> bool:
        """Return whether a data centre without a region is seen for the first time."""
        if not self.regions or data_centre in self.regions or data_centre in self.unnamed:
            return False
        self.unnamed.add(data_centre)
        return True

    def connected(self, data_centre: str, connect_ms: float) -> None:
        """Record the duration of a connect to an endpoint: one round trip."""
        estimate = self.measured.get(data_centre)
        if estimate is None:
            estimate = self.measured[data_centre] = RoundTripEstimate()
        estimate.connected(connect_ms)

    def round_trip_ms(self, data_centre: str) -> float:
        """Return the expected round trip in ms."""
        estimate = self.measured.get(data_centre)
        if estimate is not None and estimate.round_trip_ms is not None:
            return estimate.round_trip_ms
        return PRIOR_ROUND_TRIP_MS[self.locality(data_centre)]

    def beyond_region_ms(self, data_centre: str) -> float:
        """Return the round trip to a data centre of another region; 0 within the region.

        Time limits and learned times grow by it.
        """
        return 0.0 if self.is_in_region(data_centre) else self.round_trip_ms(data_centre)

    def network_ms(self, data_centre: str) -> float:
        """Return the network latency of a request to another region on a fresh connection."""
        return FRESH_CONNECTION_ROUND_TRIPS * self.beyond_region_ms(data_centre)
