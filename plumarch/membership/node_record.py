"""Records of node addresses in the platform's store, by which new nodes bootstrap.

In a small fleet each node writes its own; in a large one the most senior coordinator of each data
centre writes the seniors of it.
"""

import msgspec

from plumarch.core import records

KIND = "plumarch-members"
CENTRE_PREFIX = "centre-"
"""Prefix of a data centre's name in the name of its seniors' record."""


class NodeRecord(msgspec.Struct, frozen=True):
    """Address of a node.

    Attributes:
      address: IP:port to which heartbeats are sent.
    """

    address: str
    data_centre: str


def encode(nodes: list[NodeRecord]) -> str:
    """Return the text of a record."""
    return msgspec.json.encode(nodes).decode()


def decode(found: records.Record) -> list[NodeRecord] | None:
    """Return the nodes in a record, or None if it can't be decoded."""
    try:
        return msgspec.json.decode(found.value, type=list[NodeRecord])
    except msgspec.DecodeError:
        return None
