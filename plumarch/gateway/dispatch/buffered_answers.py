"""Answers that are read whole before a caller gets a byte, within the node's memory."""

import asyncio

import h11

from plumarch.gateway import dialect, errors
from plumarch.gateway.callers import admission
from plumarch.gateway.connections import exchange
from plumarch.gateway.dispatch import attempts
from plumarch.limits import memory_account

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""The longest answer that is read whole; a longer one is an endpoint's fault, and would take the
room of many others."""

ROOM_WAIT_MS = 2_000.0
"""How long an answer waits for room. An endpoint cuts one off that stays unread for some seconds,
and what arrived of it is not counted meanwhile."""

HEAD_RESERVATION_BYTES = 2_048
"""Room for the head that goes to the caller with the body."""


def new_reservation(
    attempt: attempts.Attempt, admitted: admission.Admitted
) -> memory_account.Reservation:
    """Return what counts the bytes of an answer, none yet."""
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
    """Read the rest of an answer's body.

    A stated length is reserved at once: answers that reserve bit by bit could all
    wait for each other. An answer to HEAD tells a length without having a body.

    Raises:
      ConnectionBroken: it broke off, or is longer than answers may be.
      NoMemory: there was no room for it in time.
    """
    content_length = int(dialect.header_value(head.headers, b"content-length") or 0)
    if method == b"HEAD":
        content_length = 0
    if content_length > MAX_ANSWER_BYTES:
        raise errors.ConnectionBroken(f"the answer is longer than {MAX_ANSWER_BYTES} bytes")
    await _reserve(memory, source, reservation, content_length + HEAD_RESERVATION_BYTES)
    body = bytearray()
    while True:
        event = await source.next()
        if isinstance(event, h11.EndOfMessage):
            return bytes(body)
        if isinstance(event, h11.Data):
            if len(body) + len(event.data) > MAX_ANSWER_BYTES:
                raise errors.ConnectionBroken(f"the answer is longer than {MAX_ANSWER_BYTES} bytes")
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
    """Hold so many bytes, if need be after others have given some back.

    Raises:
      NoMemory: there was no room in time.
    """
    if _try_reserve(memory, reservation, size):
        return
    source.hold_back()
    try:
        # What arrived already stays here while the answer waits, so it counts.
        if not memory.resize(reservation, reservation.size + source.unparsed):
            raise errors.NoMemory(f"no room for {source.unparsed} bytes that arrived")
        async with asyncio.timeout(ROOM_WAIT_MS / 1000.0):
            while not _try_reserve(memory, reservation, size):
                released = asyncio.Event()
                memory.waiting.append(released.set)
                await released.wait()
    except TimeoutError as error:
        raise errors.NoMemory(f"no room for an answer of {size} bytes") from error
    finally:
        source.resume()


def _try_reserve(
    memory: memory_account.MemoryAccount, reservation: memory_account.Reservation, size: int
) -> bool:
    return memory.answer_fits(reservation, size) and memory.resize(reservation, size)
