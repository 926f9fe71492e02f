"""What can go wrong in one exchange with an endpoint, by what is known of the request."""

from plumarch.core import errors


class ExchangeError(errors.EndpointError):
    """An exchange with an endpoint failed."""


class ConnectFailed(errors.NotDelivered, ExchangeError):
    """No connection came up: no byte was sent, so the request did not run."""


class SendBufferFull(ConnectFailed):
    """The request can't be held on its way to an endpoint, whichever that is: no byte was sent."""


class ConnectionBroken(errors.DeliveryUnknown, ExchangeError):
    """The connection ended or carried invalid bytes after the request: it may have run."""


class AnswerTimeout(errors.DeliveryUnknown, ExchangeError):
    """The endpoint stayed silent for longer than the request can wait."""


class NotDispatched(errors.NotDelivered, ExchangeError):
    """A connection came up, but it took no byte of the request, so the request did not run."""


class NoMemory(errors.DeliveryUnknown, ExchangeError):
    """The answer can't be held: this node holds too much already. Ask another node."""
