"""Plumarch's own objects in the platform's store."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """An object of plumarch's own.

    Attributes:
      revision: revision of its last change; 0 if it does not exist.
    """

    name: str
    value: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unreadable:
    """An object that can't be parsed and is ignored.

    Attributes:
      name: its name; "" if unreadable.
      revision: revision of its last change, or 0.
    """

    kind: str
    name: str
    revision: int
    why: str


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOrder:
    """Desired number of firm or reclaimable endpoints of a service."""

    service: str
    data_centre: str
    count: int
    spot: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A duty's holder and fencing token."""

    holder: str
    token: int
