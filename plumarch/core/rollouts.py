"""Roll-outs of service versions; times in milliseconds, shares as fractions of requests."""

import dataclasses
import enum


class RolloutState(enum.Enum):
    """Progress of a roll-out."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order to move a service to a version.

    Attributes:
      duration_ms: time limit, after which it is rolled back.
      state: last reported state; None for a new order.
    """

    service: str
    version: str
    duration_ms: float
    revision: int
    state: RolloutState | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutChange:
    """A new, changed or deleted (order None) order."""

    service: str
    order: RolloutOrder | None


@dataclasses.dataclass(frozen=True, slots=True)
class VersionSplit:
    """The share of a service's requests for a version.

    Attributes:
      token: the duty holder's fencing token; a higher one takes precedence.
      step: sequence number under that token.
      vetoed: whether a node found the version bad; it gets no more requests.
    """

    service: str
    version: str
    state: RolloutState
    share: float
    token: int
    step: int
    vetoed: bool = False

    def is_later_than(self, other: "VersionSplit") -> bool:
        """Return whether this supersedes another decision."""
        return (self.token, self.step) > (other.token, other.step)

    def may_use(self) -> bool:
        """Return whether the version may get requests."""
        return not self.vetoed and self.state is not RolloutState.ROLLED_BACK
