"""Records of node addresses in the platform's store, for bootstrap.

In a small fleet each node writes its own; in a large one each data centre's most senior
coordinator writes its seniors.
"""

import msgspec

from plumarch.core import addresses, decoding, records

KIND = "plumarch-members"
CENTRE_PREFIX = "centre-"
"""Prefix of the name of a data centre's record."""


class NodeRecord(msgspec.Struct, frozen=True):
    """A node's address.

    Attributes:
      address: IP:port to which heartbeats are sent.
    """

    address: str
    data_centre: str


def encode(nodes: list[NodeRecord]) -> str:
    """Return the text of a record."""
    return msgspec.json.encode(nodes).decode()


def decode(found: records.Record) -> list[NodeRecord] | None:
    """Return a record's nodes that have a valid address, or None if it can't be decoded."""
    try:
        nodes = decoding.json_text(found.value, list[NodeRecord])
    except msgspec.DecodeError:
        return None
    return [node for node in nodes if addresses.is_ip_port(node.address)]
