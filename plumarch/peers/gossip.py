"""Heartbeats and notices between the nodes of a fleet, and what they carry.

A heartbeat is one MessagePack datagram. It names the versions that a node holds; a peer that
holds older ones fetches the newer ones over TCP from the same port.
"""

import msgspec

from plumarch.config import routing_table
from plumarch.core import traffic

DATAGRAM_LIMIT = 1_400
FRAME_LIMIT = 16 * 1024 * 1024


class Spending(msgspec.Struct, array_like=True, frozen=True):
    """What a node admitted of a workspace's allotment since its start, and its level.

    The level is settled if it rests on more than the sender's own short life.
    """

    workspace: str
    spent: float
    level: float
    settled: bool


class EndpointLoad(msgspec.Struct, array_like=True, frozen=True):
    """What a node has at an endpoint: requests running, prompt tokens not read."""

    endpoint: str
    running: int
    prompt_tokens: int


class WindowUsage(msgspec.Struct, array_like=True, frozen=True):
    """Requests that began in a window, by workspace, as one node counted them."""

    window: int
    counts: dict[str, int]


class KnownPeer(msgspec.Struct, array_like=True, frozen=True):
    """A node that the sender hears."""

    name: str
    address: str


class Heartbeat(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A sign of life.

    Attributes:
      incarnation: time of day at which the process started, in ms.
      registry_revision: of the last change of endpoints that the sender knows.
      token: the fencing token under which it holds the duties, or 0.
      candidate: whether it could take the duties over now.
      reported: the newest usage window that the holder reported, or 0.
      spending: of the workspaces in which it changed lately, in some heartbeats of all.
      reaches_store: whether the platform's store answered the sender's last call.
    """

    node: str
    incarnation: int
    address: str
    data_centre: str
    leaving: bool
    configuration: int
    registry_revision: int
    token: int
    candidate: bool
    reported: int
    spending: list[Spending] = []
    loads: list[EndpointLoad] = []
    usage: list[WindowUsage] = []
    peers: list[KnownPeer] = []
    reaches_store: bool = True


class LoadNotice(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """A node's load at one endpoint, told at once as it grows by a long prompt.

    Attributes:
      incarnation: as in its heartbeats; a notice of another one is dropped.
    """

    node: str
    incarnation: int
    load: EndpointLoad


class SnapshotRequest(msgspec.Struct, array_like=True, frozen=True):
    """Asks for what is newer than what the asking node holds."""

    configuration: int
    registry_revision: int


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """What is newer, or None for what is not."""

    node: str
    configuration: routing_table.Configuration | None
    endpoints: tuple[traffic.Endpoint, ...] | None
    registry_revision: int


encoder = msgspec.msgpack.Encoder()
datagram_decoder = msgspec.msgpack.Decoder(Heartbeat | LoadNotice)
request_decoder = msgspec.msgpack.Decoder(SnapshotRequest)
snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)
