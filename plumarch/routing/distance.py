"""How far a data centre is from this one: its region, and the round trip to it.

Regions come from the settings. A data centre that they don't name is a region of its own, since
nothing is known of the way to it. Round trips are measured by connections that are opened anyway;
before the first one a prior by locality stands in.
"""

import collections
import dataclasses
import enum
from collections.abc import Mapping

from plumarch.core import clock, regions


class Locality(enum.IntEnum):
    """How near a data centre is; the nearest first."""

    SAME_DATA_CENTRE = 0
    SAME_REGION = 1
    OTHER_REGION = 2

    def label(self) -> str:
        """Return its name in logs and metrics."""
        return self.name.lower()


PRIOR_ROUND_TRIP_MS = {
    Locality.SAME_DATA_CENTRE: 0.3,
    Locality.SAME_REGION: 2.0,
    Locality.OTHER_REGION: 60.0,
}
"""Round trips in ms before one was measured, as operators state them for links inside a data
centre, between those of a region, and between regions some hundred kilometres apart."""

FRESH_CONNECTION_ROUND_TRIPS = 2
"""Round trips until the first byte of an answer: one opens the connection, one carries the request;
no connection is used twice."""

CONNECT_SAMPLES = 16
"""Connections to a data centre that its round trip is judged by: few enough that another way
there shows after a dozen sends, enough that a busy minute doesn't look like distance."""

MIN_CONNECTS = 3
"""Connections before which the prior stands: a first one may have waited for a busy process."""

ESTIMATE_RANK = 1
"""Which of the kept connections is taken for the way, the shortest being 0: waiting only ever adds
to a way, and one that is too short to be true (an address that an endpoint nearer by has taken
over) is passed over."""


@dataclasses.dataclass(slots=True)
class RoundTripEstimate:
    """The last connections to the endpoints of a data centre.

    Attributes:
      connects_ms: how long each took, the oldest first.
      round_trip_ms: what follows from them, or None while they are too few.
    """

    connects_ms: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=CONNECT_SAMPLES)
    )
    round_trip_ms: float | None = None

    def connected(self, connect_ms: float) -> None:
        """Take in a connection that came up."""
        self.connects_ms.append(connect_ms)
        if len(self.connects_ms) >= MIN_CONNECTS:
            self.round_trip_ms = sorted(self.connects_ms)[ESTIMATE_RANK]


@dataclasses.dataclass(slots=True)
class Distances:
    """The data centres as seen from one of them.

    Attributes:
      own: the data centre of this node.
      regions: the region of each data centre; empty where all are of one region.
      measured: ways to data centres that endpoints were connected to, by data centre.
      unnamed: data centres without a region that were told by `is_first_unnamed`.
    """

    clock: clock.Clock
    own: str
    regions: Mapping[str, str] = dataclasses.field(default_factory=dict)
    measured: dict[str, RoundTripEstimate] = dataclasses.field(default_factory=dict)
    unnamed: set[str] = dataclasses.field(default_factory=set)

    def region_of(self, data_centre: str) -> str:
        """Return a data centre's region; one that is not named is a region of its own."""
        return regions.region_of(self.regions, data_centre)

    def own_region(self) -> str:
        """Return the region of this node."""
        return self.region_of(self.own)

    def locality(self, data_centre: str) -> Locality:
        """Return how near a data centre is."""
        if data_centre == self.own:
            return Locality.SAME_DATA_CENTRE
        if self.region_of(data_centre) == self.own_region():
            return Locality.SAME_REGION
        return Locality.OTHER_REGION

    def is_in_region(self, data_centre: str) -> bool:
        """Return whether a data centre is of this node's region."""
        return self.region_of(data_centre) == self.own_region()

    def is_first_unnamed(self, data_centre: str) -> bool:
        """Return whether a data centre without a region is met for the first time."""
        if not self.regions or data_centre in self.regions or data_centre in self.unnamed:
            return False
        self.unnamed.add(data_centre)
        return True

    def connected(self, data_centre: str, connect_ms: float) -> None:
        """Take in how long a connection to an endpoint took to come up: one round trip."""
        estimate = self.measured.get(data_centre)
        if estimate is None:
            estimate = self.measured[data_centre] = RoundTripEstimate()
        estimate.connected(connect_ms)

    def round_trip_ms(self, data_centre: str) -> float:
        """Return the expected time there and back, in ms."""
        estimate = self.measured.get(data_centre)
        if estimate is not None and estimate.round_trip_ms is not None:
            return estimate.round_trip_ms
        return PRIOR_ROUND_TRIP_MS[self.locality(data_centre)]

    def beyond_region_ms(self, data_centre: str) -> float:
        """Return the round trip to a data centre of another region; 0 within the region.

        Time limits and learned times grow by it. Inside a region the ways are shorter than what a
        busy process adds to them, and nothing depends on them.
        """
        return 0.0 if self.is_in_region(data_centre) else self.round_trip_ms(data_centre)

    def network_ms(self, data_centre: str) -> float:
        """Return what a request on a fresh connection spends on the way to another region."""
        return FRESH_CONNECTION_ROUND_TRIPS * self.beyond_region_ms(data_centre)
