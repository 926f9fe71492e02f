"""What nodes write of themselves into the platform's store, for those that start later.

In a small fleet each node writes itself. In a large one the oldest coordinator of each data centre
writes the elders of it: with one of them a node that starts finds all others.
"""

import msgspec

from plumarch.core import records

KIND = "plumarch-members"
CENTRE_PREFIX = "centre-"
"""Before the name of a data centre, in the name of its elders' record."""


class NodeRecord(msgspec.Struct, frozen=True):
    """Where a node is.

    Attributes:
      address: IP:port of its heartbeats.
    """

    address: str
    data_centre: str


def encode(nodes: list[NodeRecord]) -> str:
    """Return nodes as the store keeps them."""
    return msgspec.json.encode(nodes).decode()


def decode(found: records.Record) -> list[NodeRecord] | None:
    """Return the nodes that a record names, or None if it can't be read."""
    try:
        return msgspec.json.decode(found.value, type=list[NodeRecord])
    except msgspec.DecodeError:
        return None
