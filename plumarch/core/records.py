"""Plumarch's own objects in the platform's store, and orders under a fencing token."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """An object of plumarch's own, opaque to the platform.

    Attributes:
      revision: revision of its last change; 0 if it does not exist yet.
    """

    name: str
    value: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unreadable:
    """An object in the store that can't be parsed and is ignored.

    Attributes:
      name: name of the object; "" if unreadable too.
      revision: revision of its last change, or 0.
    """

    kind: str
    name: str
    revision: int
    why: str


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOrder:
    """Desired number of firm or reclaimable endpoints of a service in a data centre."""

    service: str
    data_centre: str
    count: int
    spot: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """The holder of a duty and its fencing token."""

    holder: str
    token: int
