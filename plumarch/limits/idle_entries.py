"""Bounds the entries that an allocator keeps for endpoints."""

from typing import Protocol, TypeVar

IDLE_MS = 60_000
"""Time without requests after which an endpoint is dropped."""

MAX_ENDPOINTS = 8_192


class Entry(Protocol):
    """State of one endpoint.

    Attributes:
      last_request_ms: time of the last request for it.
    """

    last_request_ms: int


One = TypeVar("One", bound=Entry)


def without_idle(known: dict[str, One], now: int) -> dict[str, One]:
    """Return the entries in use, with room for one more."""
    recent = {name: one for name, one in known.items() if now - one.last_request_ms <= IDLE_MS}
    while len(recent) >= MAX_ENDPOINTS:
        del recent[next(iter(recent))]
    return recent
