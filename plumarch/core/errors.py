"""The tree of errors. Each message names the remedy."""


class PlumarchError(Exception):
    """Base of all errors that plumarch raises on purpose."""


class SettingsError(PlumarchError):
    """Settings or configuration files hold problems; the message lists all of them."""


class PlatformError(PlumarchError):
    """The platform did not do what was asked."""


class PlatformUnavailable(PlatformError):
    """The call never reached the platform: nothing was written. Try again later."""


class PlatformAnswerLost(PlatformError):
    """The call may or may not have taken effect. Read the object back before acting."""


class PlatformConflict(PlatformError):
    """The object changed since it was read. Read it again and decide anew."""


class PlatformAbsent(PlatformError):
    """No object has this name."""


class PlatformRevisionExpired(PlatformError):
    """The platform no longer holds the changes since that revision. List, then watch."""


class BudgetExceeded(PlatformError):
    """This process spent its share of platform calls. Wait for the next interval."""


class PeerProtocolError(PlumarchError):
    """A peer sent a frame that is too large, unauthentic, or of another version."""


class EndpointError(PlumarchError):
    """An endpoint call failed."""


class NotDelivered(EndpointError):
    """The call failed before its first byte was written, or was refused: it can't have run.

    Attributes:
      rest_ms: how long the endpoint wants nothing more, if it refused and says so; else 0.
    """

    def __init__(self, why: str, rest_ms: float = 0.0) -> None:
        super().__init__(why)
        self.rest_ms = rest_ms


class DeliveryUnknown(EndpointError):
    """The call failed after bytes were written: it may have run."""


class PlatformNonsense(PlatformError):
    """The platform's answer can't be read. What was known stays in force; see the log."""


class StaleToken(PlatformError):
    """Another node acted under a higher fencing token. Stop acting; read who holds the duty."""


class NoneToBeHad(PlatformError):
    """No reclaimable endpoints are to be had in that data centre now. Order others, or wait."""
