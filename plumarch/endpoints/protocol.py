"""What plumarch needs of endpoints."""

from collections.abc import Callable
from typing import Protocol

from plumarch.core import data, events

Sink = Callable[[events.Event], None]


class EndpointClient(Protocol):
    """Calls one kind of endpoint.

    run() tells all that happens to the sink, ends with exactly one EndpointDone or
    EndpointFailed, and is cancelled to cancel the call at the endpoint.
    """

    async def run(self, order: events.HandOver, sink: Sink) -> None:
        """Hand a request over and report on it."""
        ...

    async def load(self, endpoint: data.Endpoint) -> data.LoadReport:
        """Read an endpoint's load. Raises EndpointError."""
        ...
