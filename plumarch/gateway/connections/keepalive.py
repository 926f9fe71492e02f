"""TCP keep-alive probes, which detect an unreachable peer while only an answer is awaited."""

import asyncio
import socket

USER_TIMEOUT_MS = 3_000
"""The kernel closes a connection whose bytes or probes are unacknowledged for this long.

Longer than a lost packet and its retransmission take.
"""

IDLE_S = 1
INTERVAL_S = 1
PROBES = 2
"""An idle connection is probed each second. USER_TIMEOUT_MS decides when unanswered probes close
it, whatever PROBES says; without it, two of them would."""


def enable_probes(transport: asyncio.BaseTransport) -> None:
    """Let the kernel probe a connection."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)


def extend_timeout(transport: asyncio.BaseTransport, more_ms: int) -> None:
    """Extend the kernel's timeout for a peer that is slow to read.

    TCP_USER_TIMEOUT also closes a connection whose peer answers probes but whose window is full.

    Args:
      more_ms: added to USER_TIMEOUT_MS.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        limit_ms = USER_TIMEOUT_MS + more_ms
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)
