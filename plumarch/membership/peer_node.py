"""Another node of the fleet, by its heartbeats."""

import dataclasses

from plumarch.membership import tiers


@dataclasses.dataclass(slots=True)
class Peer:
    """Another node.

    Attributes:
      address: IP:port to which heartbeats are sent.
      incarnation: start time of its process by the time of day, in ms; 0 if never seen.
      last_seen_ms: by this node's clock; None if never seen.
      token: the fencing token that it holds, or 0.
      candidate: whether it can take over the duties.
      reaches_store: whether it reaches the platform's store.
      nodes: the size of the fleet by its own count.
      build: the build that it reports, or "".
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
        """Return its seniority."""
        return tiers.Seniority(self.incarnation, self.name)
