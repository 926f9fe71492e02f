"""The connections on which requests run, by endpoint: they are over once it has started again.

A machine that ends without a word leaves its connections silent. The word that its process was born
anew is proof that all that ran at the old one is lost; without it a request waits for its time
limit.
"""

import dataclasses

from plumarch.gateway.connections import exchange


@dataclasses.dataclass(slots=True)
class OpenRuns:
    """The open connections of requests, by identifier of the endpoint."""

    by_endpoint: dict[str, set[exchange.Exchange]] = dataclasses.field(default_factory=dict)

    def begin(self, endpoint: str, connection: exchange.Exchange) -> None:
        """Note a connection on which a request was sent."""
        self.by_endpoint.setdefault(endpoint, set()).add(connection)

    def end(self, endpoint: str, connection: exchange.Exchange) -> None:
        """Forget a connection that is over."""
        there = self.by_endpoint.get(endpoint)
        if there is None:
            return
        there.discard(connection)
        if not there:
            del self.by_endpoint[endpoint]

    def close_all(self, endpoint: str) -> int:
        """End all that runs at an endpoint whose process is no more.

        Returns:
          How many requests ran there.
        """
        there = self.by_endpoint.pop(endpoint, set())
        for connection in there:
            connection.close_restarted("the endpoint has started again")
        return len(there)
