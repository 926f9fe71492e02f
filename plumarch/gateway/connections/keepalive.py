"""Keep-alive probes: how a connection that fell silent is noticed.

A peer that lost power, lies behind a cut, or whose connection a box on the way forgot says nothing
at all. Bytes that it does not acknowledge show that; while only an answer is awaited, nothing but
probes does. Without them the caller of a stream that may not be repeated, whose engine went dark,
hears nothing until its deadline.
"""

import asyncio
import socket

USER_TIMEOUT_MS = 3_000
"""Bytes or probes unacknowledged for this long mean that the peer is unreachable. A judgement:
longer than a resumable stream's patience, and than a lost packet and its second try."""

IDLE_S = 1
INTERVAL_S = 1
PROBES = 2
"""A connection is probed after a second without bytes, each second, and is over after two probes
in a row without an answer: three seconds after the peer was heard last."""


def enable_probes(transport: asyncio.BaseTransport) -> None:
    """Let the kernel probe a connection, and end it when the peer stays silent."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)


def extend_timeout(transport: asyncio.BaseTransport, more_ms: int) -> None:
    """Let the kernel wait longer for a peer that has no room for bytes.

    It counts the time of a peer that answers its probes but has no room for more like that of a
    silent one.

    Args:
      more_ms: on top of the time that a silent peer is waited for; 0 for that time again.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        limit_ms = USER_TIMEOUT_MS + more_ms
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)
