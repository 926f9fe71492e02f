"""Exception hierarchy."""


class PlumarchError(Exception):
    """Base class of plumarch's errors."""


class SettingsError(PlumarchError):
    """Settings or configuration files are invalid; the message lists all problems."""


class PlatformError(PlumarchError):
    """A platform call failed."""


class PlatformUnavailable(PlatformError):
    """The call never reached the platform. Retry later."""


class PlatformAnswerLost(PlatformError):
    """The call may have taken effect. Read the object back before acting."""


class PlatformConflict(PlatformError):
    """The object changed since it was read. Read it again."""


class PlatformRolledBack(PlatformConflict):
    """The store came back from an older copy since the object was read. Read it again."""


class PlatformAbsent(PlatformError):
    """No object has this name."""


class PlatformRevisionExpired(PlatformError):
    """The platform no longer keeps that revision's changes. List again, then watch."""


class BudgetExceeded(PlatformError):
    """The process used up its budget of platform calls. Wait for the next interval."""


class PeerProtocolError(PlumarchError):
    """A peer sent a frame that is too large, not authentic, or of another version."""


class EndpointError(PlumarchError):
    """An endpoint call failed."""


class NotDelivered(EndpointError):
    """The call failed before its first byte, or was rejected: it can't have run.

    Attributes:
      backoff_ms: backoff requested with a rejection; 0 if none.
    """

    def __init__(self, why: str, backoff_ms: float = 0.0) -> None:
        super().__init__(why)
        self.backoff_ms = backoff_ms


class DeliveryUnknown(EndpointError):
    """The call failed after bytes were written: it may have run."""


class PlatformNonsense(PlatformError):
    """The platform's answer can't be parsed. The last valid state stays in force."""


class StaleToken(PlatformError):
    """A higher fencing token was used. Read who holds the duty."""


class NoneToBeHad(PlatformError):
    """The data centre has no reclaimable VMs. Order others, or wait."""
