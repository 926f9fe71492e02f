"""Endpoint that sends raw bytes chosen by a test.

Sends answers that an HTTP library would not: truncated, late, surplus or misdirected.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

HEAD_END = b"\r\n\r\n"


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A parsed request; header names are in lower case."""

    line: str
    headers: dict[str, str]
    body: bytes


Answering = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]


class ScriptedEndpoint:
    """Server on loopback that handles one request per connection."""

    def __init__(self, answering: Answering) -> None:
        self.answering = answering
        self.received: list[ReceivedRequest] = []
        self.callers_left = 0
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> "ScriptedEndpoint":
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            request = await read_request(reader)
            self.received.append(request)
            await self.answering(request, writer)
            await writer.drain()
        except (OSError, EOFError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()

    async def stop(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()


async def read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    """Read one request whose body has a Content-Length.

    Raises:
      EOFError: the connection closed before the request was complete.
    """
    head = (await reader.readuntil(HEAD_END)).decode("latin-1")
    line, *rest = head.split("\r\n")
    headers = {}
    for text in rest:
        name, _, value = text.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return ReceivedRequest(line, headers, body)


def answer(
    request: ReceivedRequest,
    status: str = "200 OK",
    body: bytes = b"whole",
    headers: tuple[str, ...] = (),
    length: int | None = None,
) -> bytes:
    """Return a valid response to a request.

    Args:
      headers: additional header lines.
      length: Content-Length to send instead of the actual one.
    """
    lines = [
        f"HTTP/1.1 {status}",
        f"x-request-id: {request.headers.get('x-request-id', '')}",
        "x-signature: signed",
        f"content-length: {len(body) if length is None else length}",
        *headers,
    ]
    return "\r\n".join(lines).encode() + HEAD_END + body


def stream_head(request: ReceivedRequest, signature: str = "signed") -> bytes:
    """Return the head of a chunked event stream."""
    lines = [
        "HTTP/1.1 200 OK",
        f"x-request-id: {request.headers.get('x-request-id', '')}",
        f"x-signature: {signature}",
        "content-type: text/event-stream",
        "transfer-encoding: chunked",
    ]
    return "\r\n".join(lines).encode() + HEAD_END


def unframed_stream_head(request: ReceivedRequest) -> bytes:
    """Return the head of an event stream that ends with its connection."""
    framing = b"\r\ntransfer-encoding: chunked"
    return stream_head(request).replace(framing, b"")


def chunk(data: bytes) -> bytes:
    """Encode an HTTP chunk; an empty one ends the response."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def event(number: int) -> bytes:
    """Encode a server-sent event with an id."""
    return f"id: {number}\ndata: word-{number}\n\n".encode()
