"""Reads complete answers into the node's memory budget before they are relayed."""

import asyncio

import h11

from plumarch.core import answer_limits
from plumarch.gateway import dialect, errors
from plumarch.gateway.callers import admission
from plumarch.gateway.connections import exchange
from plumarch.gateway.dispatch import attempts
from plumarch.limits import memory_account

ROOM_WAIT_MS = 2_000.0
"""Time that an answer waits for memory; endpoints abort unread answers after some seconds."""

HEAD_RESERVATION_BYTES = 2_048
"""Reserved for the head that is sent with the body."""


def new_reservation(
    attempt: attempts.Attempt, admitted: admission.Admitted
) -> memory_account.Reservation:
    """Return an empty reservation for an answer."""
    return memory_account.Reservation(
        attempt.exchange,
        admitted.workspace_name(),
        memory_account.Purpose.UNREAD_ANSWERS,
    )


async def read(
    memory: memory_account.MemoryAccount,
    source: exchange.Exchange,
    head: h11.Response,
    reservation: memory_account.Reservation,
    method: bytes = b"GET",
) -> bytes:
    """Read an answer's body.

    A stated length is reserved at once: reserving in steps could deadlock. An answer to HEAD states
    a length without a body.

    Raises:
      ConnectionBroken: the connection ended early, or the body exceeds its limit.
      NoMemory: no memory became free in time.
    """
    content_length = int(dialect.header_value(head.headers, b"content-length") or 0)
    if method == b"HEAD":
        content_length = 0
    if content_length > answer_limits.MAX_BODY_BYTES:
        raise errors.ConnectionBroken(f"answer exceeds {answer_limits.MAX_BODY_BYTES} bytes")
    await _reserve(memory, source, reservation, content_length + HEAD_RESERVATION_BYTES)
    body = bytearray()
    while True:
        event = await source.next()
        if isinstance(event, h11.EndOfMessage):
            return bytes(body)
        if isinstance(event, h11.Data):
            if len(body) + len(event.data) > answer_limits.MAX_BODY_BYTES:
                raise errors.ConnectionBroken(
                    f"answer exceeds {answer_limits.MAX_BODY_BYTES} bytes"
                )
            needed = len(body) + len(event.data) + HEAD_RESERVATION_BYTES
            if needed > reservation.size:
                await _reserve(memory, source, reservation, needed)
            body += event.data


async def _reserve(
    memory: memory_account.MemoryAccount,
    source: exchange.Exchange,
    reservation: memory_account.Reservation,
    size: int,
) -> None:
    """Reserve memory, waiting for releases if needed.

    Raises:
      NoMemory: no memory became free in time.
    """
    if _try_reserve(memory, reservation, size):
        return
    source.pause()
    try:
        # Bytes that arrived stay in memory while the answer waits.
        if not memory.resize(reservation, reservation.size + source.unparsed):
            raise errors.NoMemory(
                f"no memory for {source.unparsed} bytes received from the endpoint"
            )
        async with asyncio.timeout(ROOM_WAIT_MS / 1000.0):
            while not _try_reserve(memory, reservation, size):
                released = asyncio.Event()
                memory.waiting.append(released.set)
                await released.wait()
    except TimeoutError as error:
        raise errors.NoMemory(f"no memory for an answer of {size} bytes") from error
    finally:
        source.resume()


def _try_reserve(
    memory: memory_account.MemoryAccount, reservation: memory_account.Reservation, size: int
) -> bool:
    return memory.answer_fits(reservation, size) and memory.resize(reservation, size)
