"""Accounts for the bytes that a node buffers for callers and endpoints, with limits.

Slow readers make buffers grow; the node aborts a few connections instead of running out of memory.
"""

import dataclasses
import enum
from collections.abc import Callable, Hashable
from typing import TypeVar

BUDGET_FRACTION = 0.6
"""Fraction of the process's memory limit that buffers may use; the rest is for the interpreter with
its code (some 20 MB), tables, logs and uncollected garbage."""

CONNECTION_FRACTION = 1 / 6
"""Maximum fraction of the budget for one connection: a few large answers fit, and one caller alone
never brings the node near the load at which others are rejected."""

WORKSPACE_FRACTION = 1 / 2
"""Maximum fraction of the budget for one workspace; not less, since a node may serve only one."""

ANSWERS_FRACTION = 1 / 5
"""Fraction of the budget for answers, which callers may leave unread for long. Request bodies,
which arrive before anything ran, get the rest."""

ANSWERS_WORKSPACE_FRACTION = 3 / 4
"""Maximum fraction of the answers' memory for one workspace."""

SMALL_ANSWER_BYTES = 65_536
"""Complete answers up to this length are bounded by the budget only, so that slow readers of large
ones don't block them."""

STREAM_FRACTION = 1 / 8
"""Fraction of the free answers' memory that one stream may use, so that all streams together never
fill it: 3 MB on an idle node with a budget of 120 MB, 48 KB each with 500 slow readers."""

BYTES_PER_MB = 2**20

DEFAULT_LIMIT_MB = 512.0
"""Memory limit of a process whose settings have none."""

Key = TypeVar("Key", bound=Hashable)


class Purpose(enum.Enum):
    """What buffered bytes are for."""

    REQUEST_BODIES = "request_bodies"
    KEPT_BODIES = "kept_bodies"
    UNREAD_ANSWERS = "unread_answers"
    UNSENT_REQUESTS = "unsent_requests"
    TUNNELS = "tunnels"


@dataclasses.dataclass(slots=True)
class Reservation:
    """Bytes reserved for one purpose on one connection.

    Attributes:
      connection: of a caller or to an endpoint.
      workspace: "" while unknown, or for a public route.
    """

    connection: Hashable
    workspace: str
    purpose: Purpose
    size: int = 0


@dataclasses.dataclass(slots=True)
class MemoryAccount:
    """Bytes reserved by purpose, connection and workspace, within the budget.

    Attributes:
      budget: in bytes.
      released: bytes, since the start.
      waiting: callbacks, each called once when bytes are released.
    """

    budget: int
    held: dict[Purpose, int] = dataclasses.field(default_factory=lambda: dict.fromkeys(Purpose, 0))
    by_connection: dict[Hashable, int] = dataclasses.field(default_factory=dict)
    by_workspace: dict[str, int] = dataclasses.field(default_factory=dict)
    answers_by_workspace: dict[str, int] = dataclasses.field(default_factory=dict)
    released: int = 0
    waiting: list[Callable[[], None]] = dataclasses.field(default_factory=list)

    def total(self) -> int:
        """Return the bytes reserved for all purposes."""
        return sum(self.held.values())

    def resize(self, reservation: Reservation, size: int) -> bool:
        """Change a reservation; smaller sizes are always accepted.

        Args:
          size: new size in bytes; 0 ends the reservation.
        Returns:
          False if a limit would be exceeded: the caller must not keep the bytes.
        """
        more = size - reservation.size
        if not more:
            return True
        if more > 0 and not self._may_grow(reservation, more):
            return False
        self._record_change(reservation, more)
        reservation.size = size
        if more < 0:
            self.released -= more
            self._notify_waiting()
        return True

    def assign(self, reservation: Reservation, workspace: str) -> bool:
        """Set the workspace of a reservation.

        Returns:
          False if the workspace's limit would be exceeded: the reservation is unchanged.
        """
        if not reservation.size or workspace == reservation.workspace:
            reservation.workspace = workspace
            return True
        if not self._workspace_fits(workspace, reservation.size):
            return False
        self._record_change(reservation, -reservation.size)
        reservation.workspace = workspace
        self._record_change(reservation, reservation.size)
        return True

    def change_purpose(self, reservation: Reservation, purpose: Purpose) -> None:
        """Move a reservation to another purpose."""
        if reservation.size:
            self._record_change(reservation, -reservation.size)
            self._record_change(dataclasses.replace(reservation, purpose=purpose), reservation.size)
        reservation.purpose = purpose

    def answer_fits(self, reservation: Reservation, size: int) -> bool:
        """Return whether a complete answer fits into the memory for answers.

        An answer larger than this memory is accepted if it is the only one.
        """
        others = self.held[Purpose.UNREAD_ANSWERS] - reservation.size
        if not others or size <= SMALL_ANSWER_BYTES:
            return True
        return size - reservation.size <= self._free_for_answers(reservation.workspace)

    def stream_bound(self, workspace: str) -> int:
        """Return how many unread bytes a stream may buffer now.

        It falls with the total of all answers (the dynamic threshold of shared buffers), so that
        slow streams share the memory equally.
        """
        return max(0, round(STREAM_FRACTION * self._free_for_answers(workspace)))

    def _free_for_answers(self, workspace: str) -> float:
        max_answers = ANSWERS_FRACTION * self.budget
        free = max_answers - self.held[Purpose.UNREAD_ANSWERS]
        if not workspace:
            return free
        held = self.answers_by_workspace.get(workspace, 0)
        return min(free, ANSWERS_WORKSPACE_FRACTION * max_answers - held)

    def _record_change(self, reservation: Reservation, more: int) -> None:
        self.held[reservation.purpose] += more
        _add_size(self.by_connection, reservation.connection, more)
        _add_size(self.by_workspace, reservation.workspace, more)
        if reservation.purpose is Purpose.UNREAD_ANSWERS:
            _add_size(self.answers_by_workspace, reservation.workspace, more)

    def _may_grow(self, reservation: Reservation, more: int) -> bool:
        if self.total() + more > self.budget:
            return False
        connection = self.by_connection.get(reservation.connection, 0)
        if connection + more > CONNECTION_FRACTION * self.budget:
            return False
        return self._workspace_fits(reservation.workspace, more)

    def _workspace_fits(self, workspace: str, more: int) -> bool:
        held = self.by_workspace.get(workspace, 0)
        return not workspace or held + more <= WORKSPACE_FRACTION * self.budget

    def _notify_waiting(self) -> None:
        waiting, self.waiting = self.waiting, []
        for wake in waiting:
            wake()


def _add_size(sizes: dict[Key, int], key: Key, more: int) -> None:
    size = sizes.get(key, 0) + more
    if size:
        sizes[key] = size
    else:
        sizes.pop(key, None)


def from_limit(limit_mb: float) -> MemoryAccount:
    """Return the account of a process.

    Args:
      limit_mb: the process's memory limit.
    """
    return MemoryAccount(round(BUDGET_FRACTION * limit_mb * BYTES_PER_MB))
