"""Exception hierarchy."""


class PlumarchError(Exception):
    """Base class of plumarch's errors."""


class SettingsError(PlumarchError):
    """Settings or configuration files are invalid; the message lists every problem."""


class PlatformError(PlumarchError):
    """A platform call failed."""


class PlatformUnavailable(PlatformError):
    """The call never reached the platform; nothing was written. Retry later."""


class PlatformAnswerLost(PlatformError):
    """The call may or may not have taken effect. Read the object back before acting."""


class PlatformConflict(PlatformError):
    """The object changed since it was read. Read it again before retrying."""


class PlatformAbsent(PlatformError):
    """No object has this name."""


class PlatformRevisionExpired(PlatformError):
    """The platform no longer keeps changes since that revision. List again, then watch."""


class BudgetExceeded(PlatformError):
    """This process used up its budget of platform calls. Wait for the next interval."""


class PeerProtocolError(PlumarchError):
    """A peer sent a frame that is too large, not authentic, or of another version."""


class EndpointError(PlumarchError):
    """An endpoint call failed."""


class NotDelivered(EndpointError):
    """The call failed before its first byte was written, or was rejected: it can't have run.

    Attributes:
      backoff_ms: backoff requested by an endpoint that rejects the call; 0 if none.
    """

    def __init__(self, why: str, backoff_ms: float = 0.0) -> None:
        super().__init__(why)
        self.backoff_ms = backoff_ms


class DeliveryUnknown(EndpointError):
    """The call failed after bytes were written: it may have run."""


class PlatformNonsense(PlatformError):
    """The platform's answer can't be parsed. The last valid state stays in force; see the log."""


class StaleToken(PlatformError):
    """A higher fencing token was used. Stop acting and read who holds the duty."""


class NoneToBeHad(PlatformError):
    """No reclaimable VMs are available in that data centre. Order others, or wait."""
