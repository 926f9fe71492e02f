"""The body of a caller's request while it arrives: bounded in bytes, time and pauses."""

from collections.abc import Hashable

from plumarch.core import traffic
from plumarch.limits import memory_account

TOO_LARGE = 413
NO_MEMORY = 503
"""Statuses to refuse with: the body is over the caller's limit, or this node can't hold it."""


class IncomingBody:
    """A body that arrives, and is kept until its request is answered.

    Attributes:
      reservation: what counts its bytes in the node's account of memory.
      data: what has arrived; emptied once the body is whole.
      limits: what the caller may send.
      last_seen_ms: when bytes came last.
      ends_ms: when the request is given up.
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
        """Expect a body."""
        self.limits = limits
        self.last_seen_ms = now
        self.ends_ms = ends_ms

    def note_received(self, now: int) -> None:
        """Note that bytes came."""
        self.last_seen_ms = now

    def take(self, data: bytes) -> int:
        """Take bytes in.

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
        """Return whether nothing came for too long, or the request's time is over."""
        return now >= self.ends_ms or now - self.last_seen_ms >= self.limits.idle_timeout_ms

    def next_check_ms(self, now: int) -> float:
        """Return in which time the body may first be too slow."""
        return max(1.0, min(self.ends_ms, self.last_seen_ms + self.limits.idle_timeout_ms) - now)

    def whole(self) -> bytes:
        """Return the body, which is counted until the end of its request."""
        found = bytes(self.data)
        self.data.clear()
        self.memory.change_purpose(self.reservation, memory_account.Purpose.KEPT_BODIES)
        return found

    def end(self) -> None:
        """Give back what was held."""
        self.data.clear()
        self.memory.resize(self.reservation, 0)
        self.memory.assign(self.reservation, "")
        self.memory.change_purpose(self.reservation, memory_account.Purpose.REQUEST_BODIES)
