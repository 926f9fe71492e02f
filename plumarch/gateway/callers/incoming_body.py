"""Request bodies, limited in size, time and idle time."""

from collections.abc import Hashable

from plumarch.core import traffic
from plumarch.limits import memory_account

TOO_LARGE = 413
NO_MEMORY = 503
"""Statuses: the body exceeds the size limit, or this node's memory budget."""


class IncomingBody:
    """A request body; its memory stays reserved until the request is answered.

    Attributes:
      data: bytes received; emptied once the body is complete.
      ends_ms: deadline of the request.
    """

    def __init__(self, memory: memory_account.MemoryAccount, connection: Hashable) -> None:
        self.memory = memory
        self.reservation = memory_account.Reservation(
            connection, "", memory_account.Purpose.REQUEST_BODIES
        )
        self.data = bytearray()
        self.limits = traffic.CallerLimits()
        self.last_seen_ms = 0
        self.ends_ms = 0.0

    def begin(self, limits: traffic.CallerLimits, now: int, ends_ms: float) -> None:
        """Start receiving a body."""
        self.limits = limits
        self.last_seen_ms = now
        self.ends_ms = ends_ms

    def note_received(self, now: int) -> None:
        """Record that bytes were received."""
        self.last_seen_ms = now

    def add(self, data: bytes) -> int:
        """Add received bytes.

        Returns:
          0, or the status to refuse the request with.
        """
        size = self.reservation.size + len(data)
        if size > self.limits.body_bytes:
            return TOO_LARGE
        if not self.memory.resize(self.reservation, size):
            return NO_MEMORY
        self.data += data
        return 0

    def timed_out(self, now: int) -> bool:
        """Return whether the idle timeout or the request's deadline has passed."""
        return now >= self.ends_ms or now - self.last_seen_ms >= self.limits.idle_timeout_ms

    def next_check_ms(self, now: int) -> float:
        """Return the time until the body can first time out."""
        return max(1.0, min(self.ends_ms, self.last_seen_ms + self.limits.idle_timeout_ms) - now)

    def complete(self) -> bytes:
        """Return the complete body."""
        found = bytes(self.data)
        self.data.clear()
        self.memory.change_purpose(self.reservation, memory_account.Purpose.KEPT_BODIES)
        return found

    def end(self) -> None:
        """Release the reserved memory."""
        self.data.clear()
        self.memory.resize(self.reservation, 0)
        self.memory.assign(self.reservation, "")
        self.memory.change_purpose(self.reservation, memory_account.Purpose.REQUEST_BODIES)
