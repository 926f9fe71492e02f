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
class Unreadable:
    """An object in the store that can't be read; whoever wrote it, it counts for nothing.

    Attributes:
      kind: what operators know such objects as.
      name: of the object; "" if that can't be read either.
      revision: of its last change, or 0.
      why: the field that is wrong, and how.
    """

    kind: str
    name: str
    revision: int
    why: str


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
