"""Another node, as its heartbeats tell of it."""

import dataclasses

from plumarch.membership import tiers


@dataclasses.dataclass(slots=True)
class Peer:
    """Another node.

    Attributes:
      incarnation: time of day at which its process started, in ms; 0 if never heard.
      address: IP:port of its heartbeats.
      last_seen_ms: when it was heard last, by this node's clock.
      token: the fencing token that it holds, or 0.
      candidate: whether it could take the duties over now.
      reaches_store: whether the platform's store answers it.
      nodes: how many nodes it counts in the fleet.
      build: of the product, as it tells; "" if it doesn't.
    """

    name: str
    address: str
    learned_ms: int
    incarnation: int = 0
    data_centre: str = ""
    last_seen_ms: int | None = None
    leaving: bool = False
    token: int = 0
    candidate: bool = True
    reaches_store: bool = True
    nodes: int = 0
    build: str = ""

    def seniority(self) -> tiers.Seniority:
        """Return what nodes are ordered by."""
        return tiers.Seniority(self.incarnation, self.name)
