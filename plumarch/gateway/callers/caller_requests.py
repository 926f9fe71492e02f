"""A caller's request, its answer, and who serves it, as the parts of the gateway see them."""

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
"""Words beside the statuses that the gateway itself answers with."""


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """A request read whole.

    Attributes:
      body: emptied once it is certain that it isn't sent again.
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
      started: whether its head was sent.
      disconnect_reason: why it was cut short by the gateway, or "".
    """

    started: bool
    disconnect_reason: str

    def assign(self, workspace: str) -> bool:
        """Say whose request it is; False if the workspace may not hold as much as it does."""
        ...

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        ...

    def start(self, status: int, headers: Headers) -> None:
        """Begin an answer whose length is not known."""
        ...

    def release_body(self) -> None:
        """Give back the request's body, which is not sent again."""
        ...

    def send_chunk(self, data: bytes) -> None:
        """Send a part of its body."""
        ...

    def has_room(self, size: int) -> bool:
        """Return whether the caller has read enough to be sent so many bytes more."""
        ...

    async def drained(self) -> None:
        """Wait until the caller has read all that it was sent."""
        ...

    def disconnect(self, reason: str) -> None:
        """End the answer so, because the caller does not read it."""
        ...

    def finish(self) -> None:
        """End the answer as complete."""
        ...

    def abort(self) -> None:
        """End the answer so that the caller sees that it is not complete."""
        ...


class RequestHandler(Protocol):
    """Serves requests."""

    async def handle(self, request: CallerRequest, reply: Reply) -> None:
        """Answer one request; cancelled if the caller leaves."""
        ...


def reason(status: int) -> bytes:
    """Return the words beside a status, or b"" for one that the gateway gives none."""
    return REASONS.get(status, b"")
