"""Roll-outs, which move a service's requests to another version.

Times are in milliseconds; shares are fractions of the service's requests.
"""

import dataclasses
import enum


class RolloutState(enum.Enum):
    """Progress of a roll-out, as shown to operators."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order to move a service to a version.

    Attributes:
      version: version to move to; its endpoints start beside the current ones.
      duration_ms: time limit for completing it, after which it is rolled back.
      state: last reported state of this version; None for a new order.
    """

    service: str
    version: str
    duration_ms: float
    revision: int
    state: RolloutState | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutChange:
    """A new, changed or deleted (order None) roll-out order."""

    service: str
    order: RolloutOrder | None


@dataclasses.dataclass(frozen=True, slots=True)
class VersionSplit:
    """The share of a service's requests for a version, as decided by the duty holder.

    Attributes:
      token: the duty holder's fencing token; a higher one takes precedence.
      step: sequence number of the decision under that token.
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
        """Return whether this decision supersedes another one."""
        return (self.token, self.step) > (other.token, other.step)

    def may_use(self) -> bool:
        """Return whether the version may get requests."""
        return not self.vetoed and self.state is not RolloutState.ROLLED_BACK
