"""Minimal HTTP/1.1 clients and servers on asyncio streams."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

HEAD_END = b"\r\n\r\n"


@dataclasses.dataclass
class Request:
    """A received request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass
class Answer:
    """An answer as a client saw it.

    Attributes:
      is_whole: whether it was complete by its framing.
      closes: whether it said that the connection closes.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool

    @property
    def closes(self) -> bool:
        """Return whether it carried Connection: close."""
        return self.headers.get("connection", "").lower() == "close"


def _parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    line, *rest = head.decode("latin-1").split("\r\n")
    pairs = (text.partition(":") for text in rest if text)
    return line, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request with a Content-Length or no body."""
    line, headers = _parse_head(await reader.readuntil(HEAD_END))
    method, target, _ = line.split()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer, as far as it comes; a connection without any raises EOFError."""
    line, headers = _parse_head(await reader.readuntil(HEAD_END))
    status = int(line.split()[1])
    body = b""
    try:
        if headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    return Answer(status, headers, body, True)
                body += data[:-2]
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return Answer(status, headers, body, True)
    except (EOFError, OSError):
        return Answer(status, headers, body, False)


def encode_request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a request's bytes."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + HEAD_END + body


def encode_answer(
    request: Request, body: bytes, status: str = "200 OK", headers: tuple[str, ...] = ()
) -> bytes:
    """Return a signed answer's bytes."""
    lines = [
        f"HTTP/1.1 {status}",
        f"Request-Id: {request.headers.get('request-id', '')}",
        "Response-Signature: signed",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    return "\r\n".join(lines).encode() + HEAD_END + body


def encode_stream_head(request: Request) -> bytes:
    """Return the head of a chunked event stream."""
    lines = [
        "HTTP/1.1 200 OK",
        f"Request-Id: {request.headers.get('request-id', '')}",
        "Response-Signature: signed",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
    ]
    return "\r\n".join(lines).encode() + HEAD_END


def encode_chunk(data: bytes) -> bytes:
    """Return a chunk; an empty one ends the answer."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def encode_event(number: int) -> bytes:
    """Return a server-sent event."""
    return f"id: {number}\ndata: piece-{number}\n\n".encode()


Serving = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


def _retrieve(task: "asyncio.Future[bytes]") -> None:
    """Take a reset of the connection as read."""
    if not task.cancelled():
        task.exception()


class Server:
    """A worker on loopback that drops a request when its connection closes."""

    def __init__(self, serving: Serving) -> None:
        self.serving = serving
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self, host: str = "127.0.0.1") -> "Server":
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_request(reader)
                task = asyncio.ensure_future(self.serving(request, writer))
                closed = asyncio.ensure_future(reader.read(1))
                closed.add_done_callback(_retrieve)
                await asyncio.wait({task, closed}, return_when=asyncio.FIRST_COMPLETED)
                if not task.done():
                    task.cancel()
                    return
                closed.cancel()
                task.result()
                await writer.drain()
                if request.headers.get("connection", "").lower() == "close":
                    return
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def stop(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()
