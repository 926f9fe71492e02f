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

    known: dict[str, set[exchange.Exchange]] = dataclasses.field(default_factory=dict)

    def begin(self, endpoint: str, connection: exchange.Exchange) -> None:
        """Note a connection on which a request was sent."""
        self.known.setdefault(endpoint, set()).add(connection)

    def end(self, endpoint: str, connection: exchange.Exchange) -> None:
        """Forget a connection that is over."""
        there = self.known.get(endpoint)
        if there is None:
            return
        there.discard(connection)
        if not there:
            del self.known[endpoint]

    def ended_with(self, endpoint: str) -> int:
        """End all that runs at an endpoint whose process is no more.

        Returns:
          How many requests ran there.
        """
        there = self.known.pop(endpoint, set())
        for connection in there:
            connection.end_with_peer("the endpoint has started again")
        return len(there)
