"""The interface of endpoint clients."""

from collections.abc import Callable
from typing import Protocol

from plumarch.core import data, events

Sink = Callable[[events.Event], None]


class EndpointClient(Protocol):
    """Calls one kind of endpoint.

    run() reports events to the sink, the last of them exactly one EndpointDone or EndpointFailed.
    Cancelling run() cancels the call at the endpoint.
    """

    async def run(self, order: events.HandOver, sink: Sink) -> None:
        """Send a request and report its progress to the sink."""
        ...

    async def load(self, endpoint: data.Endpoint) -> data.LoadReport:
        """Return an endpoint's load. Raises EndpointError."""
        ...
