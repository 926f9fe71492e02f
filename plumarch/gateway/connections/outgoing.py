"""Write buffers of connections, counted in the node's memory account.

asyncio's transports buffer any number of bytes that the socket doesn't accept.
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
"""Interval of the checks for a stalled peer; must be below keepalive.USER_TIMEOUT_MS."""

KERNEL_UNSENT_BYTES = 65_536
"""Limit of a connection's unsent bytes in the kernel, whose memory is not counted here."""


class Outgoing:
    """The bytes written to one connection.

    Attributes:
      extra_timeout_ms: added to the kernel's timeout of the connection.
      stalled: called when the peer has read nothing for too long.
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
        # With a limit of 0 the transport calls resume_writing whenever its buffer is empty.
        transport.set_write_buffer_limits(0)

    def write(self, data: bytes) -> bool:
        """Write bytes; False if memory is short: abort the connection then."""
        if self.transport.is_closing():
            return True
        self.transport.write(data)
        return self.track(len(data))

    def track(self, size: int) -> bool:
        """Count written bytes and schedule stall checks; False if memory is short."""
        if self.timer is None:
            # The peer has acknowledged all earlier bytes.
            self.progress.begin(self.written, _now_ms())
            self._check_later()
        self.written += size
        return self.count()

    def count(self) -> bool:
        """Reserve memory for unsent bytes; False if there is none."""
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
        """Return the number of unsent bytes."""
        return self.transport.get_write_buffer_size()

    def acknowledged(self) -> int:
        """Return the number of acknowledged bytes."""
        return self.written - self.unread() - _unacknowledged_bytes(self.transport)

    def end(self) -> None:
        """Stop tracking and release the reserved memory."""
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
        # The kernel must not close the connection before the stall limit.
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
    """Limit the unsent bytes that the kernel buffers for a connection."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, KERNEL_UNSENT_BYTES)


def _unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the number of unacknowledged bytes in the kernel.

    Writability alone would make slow peers look stalled: it needs much of the buffer to be free.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    pending = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    return int(struct.unpack("i", pending)[0])


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * 1000.0
