"""Connections with a request in progress, closed when their endpoint has restarted.

A VM that loses power resets no connection: requests would wait for their deadline.
"""

import dataclasses

from plumarch.gateway.connections import exchange


@dataclasses.dataclass(slots=True)
class OpenRuns:
    """Connections with a request in progress, by endpoint identifier."""

    by_endpoint: dict[str, set[exchange.Exchange]] = dataclasses.field(default_factory=dict)

    def begin(self, endpoint: str, connection: exchange.Exchange) -> None:
        """Add a connection on which a request was sent."""
        self.by_endpoint.setdefault(endpoint, set()).add(connection)

    def end(self, endpoint: str, connection: exchange.Exchange) -> None:
        """Remove a connection."""
        connections = self.by_endpoint.get(endpoint)
        if connections is None:
            return
        connections.discard(connection)
        if not connections:
            del self.by_endpoint[endpoint]

    def close_all(self, endpoint: str) -> int:
        """Close all connections to a restarted endpoint; return their number."""
        connections = self.by_endpoint.pop(endpoint, set())
        for connection in connections:
            connection.close_restarted("the endpoint has restarted")
        return len(connections)
