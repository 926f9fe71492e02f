"""Bytes on their way to a peer: counted while it doesn't read them, ended when it reads nothing.

asyncio's transports take any amount of bytes and keep what the socket doesn't accept. Here that
rest is counted in the node's account of memory; bytes for which there is no room are not kept.
"""

import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import Callable

from plumarch.gateway.connections import keepalive
from plumarch.limits import memory_account, read_progress

CHECK_MS = 1_000.0
"""How often a peer with bytes to read is looked at; well below the times that it is allowed, and
below the one after which the kernel ends a peer that has no room."""

KERNEL_UNSENT_BYTES = 65_536
"""Unsent bytes that the kernel takes over for a connection. More would be memory that is not
counted here, and is not needed: what is on its way already is bounded by TCP itself."""


class Outgoing:
    """The bytes written to one connection.

    Attributes:
      written: bytes since the start.
      empty: set while all bytes were accepted by the socket.
      extra_timeout_ms: how much longer the kernel waits for the peer than for others.
      stalled: called when the peer took none for too long.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        memory: memory_account.MemoryAccount,
        reservation: memory_account.Reservation,
        stall_ms: float,
        stalled: Callable[[], None],
    ) -> None:
        self.transport = transport
        self.memory = memory
        self.reservation = reservation
        self.progress = read_progress.ReadProgress(stall_ms, min(CHECK_MS, stall_ms))
        self.stalled = stalled
        self.written = 0
        self.extra_timeout_ms = 0
        self.timer: asyncio.TimerHandle | None = None
        self.empty = asyncio.Event()
        self.empty.set()
        # The transport tells of each time that its buffer is empty again, whatever its size was.
        transport.set_write_buffer_limits(0)

    def write(self, data: bytes) -> bool:
        """Write.

        Returns:
          False if what the socket didn't accept may not be held: the connection must be aborted.
        """
        if self.transport.is_closing():
            return True
        self.transport.write(data)
        return self.track(len(data))

    def track(self, size: int) -> bool:
        """Count bytes that were just written, and look later whether the peer takes them.

        Returns:
          False if what the socket didn't accept may not be held.
        """
        if self.timer is None:
            # Nothing was under way: the peer has taken all that was written before.
            self.progress.begin(self.written, _now_ms())
            self._check_later()
        self.written += size
        return self.count()

    def count(self) -> bool:
        """Count what the socket didn't accept yet.

        Returns:
          False if so much may not be held.
        """
        unread = self.unread()
        if not unread and not self.reservation.size:
            return True
        if not self.memory.resize(self.reservation, unread):
            return False
        if unread:
            self.empty.clear()
        else:
            self.empty.set()
        return True

    def unread(self) -> int:
        """Return the bytes that the socket didn't accept."""
        return self.transport.get_write_buffer_size()

    def acknowledged(self) -> int:
        """Return the bytes that the peer acknowledged, as far as the system tells."""
        return self.written - self.unread() - _unacknowledged_bytes(self.transport)

    def end(self) -> None:
        """Stop counting: the connection is over, and its buffers are gone."""
        self._stop_timer()
        self.memory.resize(self.reservation, 0)
        self.empty.set()

    def _check(self) -> None:
        self.timer = None
        self.count()
        acknowledged = self.acknowledged()
        if acknowledged == self.written:
            self._extend_timeout(0)
            return
        # The kernel must not end the peer before its time to read is over.
        self._extend_timeout(round(self.progress.limit_ms))
        if self.progress.stalled(acknowledged, _now_ms()):
            self.stalled()
        else:
            self._check_later()

    def _extend_timeout(self, more_ms: int) -> None:
        if more_ms != self.extra_timeout_ms:
            self.extra_timeout_ms = more_ms
            keepalive.extend_timeout(self.transport, more_ms)

    def _check_later(self) -> None:
        delay_s = self.progress.check_interval_ms / 1000.0
        self.timer = asyncio.get_running_loop().call_later(delay_s, self._check)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


def limit_kernel_buffer(transport: asyncio.BaseTransport) -> None:
    """Bound the unsent bytes that the kernel keeps for a connection."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, KERNEL_UNSENT_BYTES)


def _unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the bytes in the kernel that the peer did not acknowledge.

    The kernel asks for more bytes only after a large part of its buffer is free. A slow peer
    would look like one that reads nothing by that alone.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    return int(struct.unpack("i", answer)[0])


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * 1000.0
