"""Objects of the product's own in the platform's store, and orders under a fencing token."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """An object of the product's own, encoded as the product likes.

    Attributes:
      revision: of its last change; 0 for one that does not exist yet.
    """

    name: str
    value: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOrder:
    """A wanted number of endpoints of a service in a data centre, firm or reclaimable."""

    service: str
    data_centre: str
    count: int
    spot: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Who acts, and the fencing token that it acts under."""

    holder: str
    token: int
