"""Another node of the fleet."""

import dataclasses

from plumarch.membership import tiers


@dataclasses.dataclass(slots=True)
class Peer:
    """Another node, by its heartbeats.

    Attributes:
      address: IP:port to which heartbeats are sent.
      incarnation: start of its process (time of day in ms); 0 if never seen.
      last_seen_ms: by this node's clock; None if never seen.
      token: its fencing token, or 0.
      candidate: whether it can take over the duties.
      nodes: size of the fleet by its own count.
      build: as reported, or "".
      opens_tunnels: whether it reaches endpoints and opens tunnels to them.
      store_era: of the endpoints that it knows; 0 from builds that don't send it.
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
    opens_tunnels: bool = False
    store_era: int = 0

    def seniority(self) -> tiers.Seniority:
        """Return its seniority key."""
        return tiers.Seniority(self.incarnation, self.name)
