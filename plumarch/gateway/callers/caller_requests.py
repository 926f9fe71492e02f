"""Interfaces of requests, replies and handlers."""

import dataclasses
from collections.abc import Sequence
from typing import Protocol

from plumarch.gateway import dialect

Headers = Sequence[tuple[bytes, bytes]]

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
"""Reason phrases of the gateway's own statuses."""


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """A completely received request.

    Attributes:
      body: emptied once the request can't be sent to another endpoint.
      headers: names in lower case.
      began_ms: when its first byte arrived.
    """

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    began_ms: int

    def header(self, name: bytes) -> str:
        """Return a header's value, or ""."""
        return dialect.header_value(self.headers, name)


class Reply(Protocol):
    """The answer to one request.

    Attributes:
      disconnect_reason: why the gateway disconnected the caller, or "".
    """

    started: bool
    disconnect_reason: str

    def assign(self, workspace: str) -> bool:
        """Charge reserved memory to a workspace; False if over its limit."""
        ...

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        ...

    def start(self, status: int, headers: Headers) -> None:
        """Start an answer of unknown length."""
        ...

    def release_body(self) -> None:
        """Release the request's body."""
        ...

    def send_chunk(self, data: bytes) -> None:
        """Send a chunk of the answer's body."""
        ...

    def has_room(self, size: int) -> bool:
        """Return whether size more bytes stay within the limit of unread bytes."""
        ...

    async def drained(self) -> None:
        """Wait until the send buffer is empty."""
        ...

    def disconnect(self, reason: str) -> None:
        """Disconnect a caller that doesn't read its answer."""
        ...

    def finish(self) -> None:
        """Complete the answer."""
        ...

    def abort(self) -> None:
        """Abort the connection, so that the caller sees an incomplete answer."""
        ...


class RequestHandler(Protocol):
    """Serves requests."""

    async def handle(self, request: CallerRequest, reply: Reply) -> None:
        """Answer one request; cancelled if the caller disconnects."""
        ...


def reason(status: int) -> bytes:
    """Return a status's reason phrase, or b"" if there is none."""
    return REASONS.get(status, b"")
