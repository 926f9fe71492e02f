"""Errors of an exchange with an endpoint, by whether the request may have run."""

from plumarch.core import errors


class ExchangeError(errors.EndpointError):
    """An exchange with an endpoint failed."""


class ConnectFailed(errors.NotDelivered, ExchangeError):
    """No connection was established, so the request did not run.

    Attributes:
      is_refused: whether the peer's machine answered that nothing listens there.
    """

    def __init__(self, why: str, is_refused: bool = False) -> None:
        super().__init__(why)
        self.is_refused = is_refused


class TunnelUnavailable(ConnectFailed):
    """Another node opened no tunnel; this says nothing about the endpoint."""


class SendBufferFull(ConnectFailed):
    """This node has no memory to buffer the request; no byte was sent."""


class ConnectionBroken(errors.DeliveryUnknown, ExchangeError):
    """The connection broke or carried invalid bytes; the request may have run."""


class AnswerTimeout(errors.DeliveryUnknown, ExchangeError):
    """The endpoint did not answer in time."""


class NotDispatched(errors.NotDelivered, ExchangeError):
    """The connection accepted no byte, so the request did not run."""


class NoMemory(errors.DeliveryUnknown, ExchangeError):
    """This node has no memory to buffer the answer. Try another."""
