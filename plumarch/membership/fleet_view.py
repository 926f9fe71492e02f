"""The other nodes of a fleet, as their heartbeats tell.

Silence decides only when others act and how much of a workspace's allotment may be used;
safety rests on fencing tokens and on parts that never add up to more than the whole.
"""

import dataclasses
from collections.abc import Iterable

from plumarch.core import clock

HEARD_MS = 1_200
"""A node whose heartbeat is younger than this counts as heard, if heartbeats are frequent."""

HEARD_BEATS = 4.5
"""Where heartbeats are rarer, a node is heard for this many intervals."""

FORGET_MS = 30_000
"""A node silent for this long is no longer counted among the fleet."""


SMALL_FLEET = 12
"""Up to this size each node follows the store."""

WATCHERS = 2
"""Nodes of each data centre that follow the store in a larger fleet."""


@dataclasses.dataclass(slots=True)
class Peer:
    """Another node.

    Attributes:
      incarnation: time of day at which its process started, in ms; 0 if never heard.
      address: IP:port of its heartbeats.
      heard_ms: when it was heard last, by this node's clock.
      token: the fencing token that it holds, or 0.
      candidate: whether it could take the duties over now.
      reaches_store: whether the platform's store answers it.
    """

    name: str
    address: str
    learned_ms: int
    incarnation: int = 0
    data_centre: str = ""
    heard_ms: int | None = None
    leaving: bool = False
    token: int = 0
    candidate: bool = True
    reaches_store: bool = True


@dataclasses.dataclass(slots=True)
class FleetView:
    """All peers by name; those known by address only stand under their address.

    Attributes:
      interval_ms: the time between two heartbeats of a node.
    """

    clock: clock.Clock
    node: str
    incarnation: int
    address: str
    interval_ms: float = 0.0
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)

    def learn(self, name: str, address: str) -> None:
        """Note that a node may exist, from a seed list, the store, or a peer.

        Args:
          name: its name, or its address if only that is known.
        """
        if name == self.node or address == self.address or name in self.peers:
            return
        if any(peer.address == address for peer in self.peers.values()):
            return
        self.peers[name] = Peer(name, address, self.clock.now())

    def heard(self, name: str, incarnation: int, address: str, data_centre: str) -> Peer | None:
        """Take in a sign of life.

        Returns:
          The peer, or None if the sign is of an incarnation that was replaced.
        """
        if name == self.node:
            return None
        now = self.clock.now()
        for key, other in list(self.peers.items()):
            if other.address == address and key != name and other.incarnation <= incarnation:
                del self.peers[key]
        peer = self.peers.get(name)
        if peer is not None and peer.incarnation > incarnation:
            return None
        if peer is None:
            peer = self.peers[name] = Peer(name, address, now)
        peer.incarnation = incarnation
        peer.address = address
        peer.data_centre = data_centre
        peer.heard_ms = now
        return peer

    def tick(self) -> list[Peer]:
        """Forget peers that are silent for long.

        Returns:
          Those forgotten now.
        """
        now = self.clock.now()
        gone = [
            peer
            for peer in self.peers.values()
            if now - (peer.heard_ms if peer.heard_ms is not None else peer.learned_ms) > FORGET_MS
        ]
        for peer in gone:
            del self.peers[peer.name]
        return gone

    def is_heard(self, peer: Peer) -> bool:
        """Return whether a peer was heard lately."""
        limit = max(HEARD_MS, HEARD_BEATS * self.interval_ms)
        return peer.heard_ms is not None and self.clock.now() - peer.heard_ms <= limit

    def live(self) -> list[Peer]:
        """Return the peers that are heard and not leaving, by name."""
        found = [one for one in self.peers.values() if self.is_heard(one) and not one.leaving]
        return sorted(found, key=lambda peer: peer.name)

    def size(self) -> int:
        """Return how many nodes there may be, this one included."""
        return 1 + len([one for one in self.peers.values() if not self._left(one)])

    def _left(self, peer: Peer) -> bool:
        return peer.leaving and not self.is_heard(peer)

    def heard_fraction(self) -> float:
        """Return the part of all nodes that is heard, this one included."""
        heard = 1 + len([one for one in self.peers.values() if self.is_heard(one)])
        return heard / max(self.size(), heard)

    def is_oldest_candidate(self) -> bool:
        """Return whether this node is the oldest live one that could take the duties over."""
        mine = (self.incarnation, self.node)
        others = [peer for peer in self.live() if peer.candidate]
        return all(mine < (peer.incarnation, peer.name) for peer in others)

    def watches_store(self, data_centre: str) -> bool:
        """Return whether this node follows the store itself.

        In a small fleet each node does. In a large one some of each data centre do, and the
        others fetch from them what is newer. One that the store does not answer counts for
        nothing here: another one follows the store in its place.
        """
        if self.size() <= SMALL_FLEET:
            return True
        mine = (self.incarnation, self.node)
        older = [
            peer
            for peer in self.live()
            if peer.data_centre == data_centre
            and peer.reaches_store
            and (peer.incarnation, peer.name) < mine
        ]
        return len(older) < WATCHERS

    def holder(self) -> Peer | None:
        """Return the live peer that says it holds the duties under the highest token."""
        holders = [peer for peer in self.live() if peer.token > 0]
        return max(holders, key=lambda peer: peer.token, default=None)

    def addresses(self) -> Iterable[str]:
        """Return where heartbeats are sent."""
        return [peer.address for peer in self.peers.values()]
