"""What each node writes of itself into the platform's store, for those that start later."""

import msgspec

from plumarch.core import records

KIND = "plumarch-members"


class NodeRecord(msgspec.Struct, frozen=True):
    """Where a node is.

    Attributes:
      address: IP:port of its heartbeats.
    """

    address: str
    data_centre: str


def encode(node: NodeRecord) -> str:
    """Return a node's record as the store keeps it."""
    return msgspec.json.encode(node).decode()


def decode(found: records.Record) -> NodeRecord | None:
    """Return what a record says, or None if it can't be read."""
    try:
        return msgspec.json.decode(found.value, type=NodeRecord)
    except msgspec.DecodeError:
        return None
