"""Errors of one exchange with an endpoint, by whether the request may have run."""

from plumarch.core import errors


class ExchangeError(errors.EndpointError):
    """An exchange with an endpoint failed."""


class ConnectFailed(errors.NotDelivered, ExchangeError):
    """No connection was established, so the request did not run."""


class SendBufferFull(ConnectFailed):
    """This node has no memory to buffer the request to any endpoint; no byte was sent."""


class ConnectionBroken(errors.DeliveryUnknown, ExchangeError):
    """The connection broke or carried invalid bytes after the request, which may have run."""


class AnswerTimeout(errors.DeliveryUnknown, ExchangeError):
    """The endpoint did not answer within the time that the request can wait."""


class NotDispatched(errors.NotDelivered, ExchangeError):
    """The connection accepted no byte of the request, so the request did not run."""


class NoMemory(errors.DeliveryUnknown, ExchangeError):
    """This node has no memory to buffer the answer. Try another node."""
