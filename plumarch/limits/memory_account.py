"""How many bytes a node holds on behalf of callers and endpoints, and how many it may.

What callers or endpoints are slow to read stays here until they do. The account says who holds
how much for what purpose, so that a node ends a few of them instead of running out of memory
with all of its requests.
"""

import dataclasses
import enum
from collections.abc import Callable, Hashable
from typing import TypeVar

BUDGET_SHARE = 0.6
"""Part of the process's limit that is held for requests at most. The rest is the interpreter with
its code (some 20 MB), tables, logs, and garbage that is not collected yet."""

CONNECTION_SHARE = 1 / 6
"""Part of the budget that one connection holds at most: a few large answers fit, and one caller
alone never brings the node near the load at which others are turned away."""

WORKSPACE_SHARE = 1 / 2
"""Part of the budget that one workspace holds at most; as above, but a node may well serve one
workspace only."""

ANSWERS_SHARE = 1 / 5
"""Part of the budget for answers. Unread answers last for as long as callers please; request
bodies, which arrive before anything ran, get what is left."""

ANSWERS_WORKSPACE_SHARE = 3 / 4
"""Part of the room for answers that one workspace holds at most, so that its slow readers leave
some to others."""

SMALL_ANSWER_BYTES = 65_536
"""A whole answer up to this length doesn't wait for room among answers, only the budget bounds it:
most callers read theirs at once, and slow readers of large ones must not hold them up."""

STREAM_PART = 1 / 8
"""A stream may hold this part of the room for answers that nobody uses: 3 MB on a free node with
a budget of 120 MB, some 48 KB each with 500 slow readers. All streams together never fill it."""

BYTES_PER_MB = 2**20

DEFAULT_LIMIT_MB = 512.0
"""Memory of a process whose settings don't name any."""

Key = TypeVar("Key", bound=Hashable)


class Purpose(enum.Enum):
    """What bytes are held for."""

    REQUEST_BODIES = "request_bodies"
    KEPT_BODIES = "kept_bodies"
    UNREAD_ANSWERS = "unread_answers"
    UNSENT_REQUESTS = "unsent_requests"


@dataclasses.dataclass(slots=True)
class Reservation:
    """What is held for one purpose on one connection.

    Attributes:
      connection: of a caller or to an endpoint.
      workspace: "" while it is not known, or for a public route.
    """

    connection: Hashable
    workspace: str
    purpose: Purpose
    size: int = 0


@dataclasses.dataclass(slots=True)
class MemoryAccount:
    """Bytes held by purpose, connection and workspace; never more than the budget.

    Attributes:
      budget: the most bytes that may be held.
      released: bytes given back since the start.
      waiting: called once when bytes are given back.
    """

    budget: int
    held: dict[Purpose, int] = dataclasses.field(default_factory=lambda: dict.fromkeys(Purpose, 0))
    by_connection: dict[Hashable, int] = dataclasses.field(default_factory=dict)
    by_workspace: dict[str, int] = dataclasses.field(default_factory=dict)
    answers_by_workspace: dict[str, int] = dataclasses.field(default_factory=dict)
    released: int = 0
    waiting: list[Callable[[], None]] = dataclasses.field(default_factory=list)

    def total(self) -> int:
        """Return the bytes held for all purposes."""
        return sum(self.held.values())

    def resize(self, reservation: Reservation, size: int) -> bool:
        """Change what is held; less is always accepted.

        Args:
          size: bytes held from now on; 0 ends the holding.
        Returns:
          False if so much may not be held: the holding is as it was, and the caller must not keep
          the bytes.
        """
        more = size - reservation.size
        if not more:
            return True
        if more > 0 and not self._may_grow(reservation, more):
            return False
        self._add_up(reservation, more)
        reservation.size = size
        if more < 0:
            self.released -= more
            self._wake()
        return True

    def assign(self, reservation: Reservation, workspace: str) -> bool:
        """Say whose the bytes of a holding are, once it is known.

        Returns:
          False if the workspace may not hold so much: the holding is as it was.
        """
        if not reservation.size or workspace == reservation.workspace:
            reservation.workspace = workspace
            return True
        if not self._workspace_has_room(workspace, reservation.size):
            return False
        self._add_up(reservation, -reservation.size)
        reservation.workspace = workspace
        self._add_up(reservation, reservation.size)
        return True

    def change_purpose(self, reservation: Reservation, purpose: Purpose) -> None:
        """Say that bytes are held for another purpose from now on."""
        if reservation.size:
            self._add_up(reservation, -reservation.size)
            self._add_up(dataclasses.replace(reservation, purpose=purpose), reservation.size)
        reservation.purpose = purpose

    def answer_fits(self, reservation: Reservation, size: int) -> bool:
        """Return whether a whole answer fits into the room for answers.

        One that is larger than this room is let in when it is the only one.
        """
        others = self.held[Purpose.UNREAD_ANSWERS] - reservation.size
        if not others or size <= SMALL_ANSWER_BYTES:
            return True
        return size - reservation.size <= self._answers_room(reservation.workspace)

    def stream_bound(self, workspace: str) -> int:
        """Return how many unread bytes a stream may hold now.

        It falls with what all answers hold (the dynamic threshold of shared buffers): a stream
        that is unread alone may hold much, and many such streams share the room equally.
        """
        return max(0, round(STREAM_PART * self._answers_room(workspace)))

    def _answers_room(self, workspace: str) -> float:
        """Return the room that answers of a workspace still have."""
        room = ANSWERS_SHARE * self.budget
        free = room - self.held[Purpose.UNREAD_ANSWERS]
        if not workspace:
            return free
        held = self.answers_by_workspace.get(workspace, 0)
        return min(free, ANSWERS_WORKSPACE_SHARE * room - held)

    def _add_up(self, reservation: Reservation, more: int) -> None:
        self.held[reservation.purpose] += more
        _add(self.by_connection, reservation.connection, more)
        _add(self.by_workspace, reservation.workspace, more)
        if reservation.purpose is Purpose.UNREAD_ANSWERS:
            _add(self.answers_by_workspace, reservation.workspace, more)

    def _may_grow(self, reservation: Reservation, more: int) -> bool:
        if self.total() + more > self.budget:
            return False
        connection = self.by_connection.get(reservation.connection, 0)
        if connection + more > CONNECTION_SHARE * self.budget:
            return False
        return self._workspace_has_room(reservation.workspace, more)

    def _workspace_has_room(self, workspace: str, more: int) -> bool:
        held = self.by_workspace.get(workspace, 0)
        return not workspace or held + more <= WORKSPACE_SHARE * self.budget

    def _wake(self) -> None:
        waiting, self.waiting = self.waiting, []
        for wake in waiting:
            wake()


def _add(sizes: dict[Key, int], key: Key, more: int) -> None:
    size = sizes.get(key, 0) + more
    if size:
        sizes[key] = size
    else:
        sizes.pop(key, None)


def from_limit(limit_mb: float) -> MemoryAccount:
    """Return the account of a process.

    Args:
      limit_mb: the memory that the process may take.
    """
    return MemoryAccount(round(BUDGET_SHARE * limit_mb * BYTES_PER_MB))
