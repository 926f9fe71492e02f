"""Connections with a request in progress, closed when their endpoint has restarted.

A VM that loses power resets no connection: requests would wait for their deadline. A run belongs to
the process that its connection was opened to, which may have started before its entry says so.
"""

import dataclasses

from plumarch.core import traffic
from plumarch.gateway.connections import exchange

CLOCK_SKEW_MS = 1_000
"""How far the clocks of a node and an endpoint may differ."""


@dataclasses.dataclass(slots=True)
class OpenRuns:
    """Connections with a request in progress.

    Attributes:
      by_endpoint: by endpoint identifier.
      endpoints: the identifier of each connection's endpoint.
    """

    by_endpoint: dict[str, set[exchange.Exchange]] = dataclasses.field(default_factory=dict)
    endpoints: dict[exchange.Exchange, str] = dataclasses.field(default_factory=dict)

    def begin(self, endpoint: str, connection: exchange.Exchange, now_ms: int) -> None:
        """Add a connection on which a request was sent.

        Args:
          now_ms: time of day.
        """
        if connection.first_sent_ms is None:
            connection.first_sent_ms = now_ms
        self._add(endpoint, connection)

    def _add(self, endpoint: str, connection: exchange.Exchange) -> None:
        self.by_endpoint.setdefault(endpoint, set()).add(connection)
        self.endpoints[connection] = endpoint

    def end(self, connection: exchange.Exchange) -> None:
        """Remove a connection."""
        endpoint = self.endpoints.pop(connection, None)
        if endpoint is None:
            return
        connections = self.by_endpoint[endpoint]
        connections.discard(connection)
        if not connections:
            del self.by_endpoint[endpoint]

    def close_former(self, endpoint: str, successor: traffic.Endpoint) -> int:
        """Close connections to the former process of a restarted endpoint.

        Args:
          endpoint: identifier of the former incarnation.
        Returns:
          The number of connections closed.
        """
        closed = 0
        for connection in self.by_endpoint.pop(endpoint, set()):
            del self.endpoints[connection]
            if _may_be_to(successor, connection):
                self._add(successor.id, connection)
            else:
                connection.close_restarted("the endpoint has restarted")
                closed += 1
        return closed


def _may_be_to(successor: traffic.Endpoint, connection: exchange.Exchange) -> bool:
    """Return whether a connection may have been opened to the new process."""
    if not successor.born_ms or connection.first_sent_ms is None:
        return True
    return connection.first_sent_ms >= successor.born_ms - CLOCK_SKEW_MS
