"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

HEAD_END = b"\r\n\r\n"


@dataclasses.dataclass(slots=True)
class Request:
    """A received request."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(slots=True)
class Answer:
    """A received answer."""

    status: int
    headers: dict[str, str]
    body: bytes


def _headers(lines: list[str]) -> dict[str, str]:
    found = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            found[name.strip().lower()] = value.strip()
    return found


async def _body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0].strip(), 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(part[:-2])
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one whole request; EOFError if the connection ends before."""
    head = (await reader.readuntil(HEAD_END)).decode("latin-1")
    first, *rest = head.split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = _headers(rest)
    return Request(method, target, headers, await _body(reader, headers))


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one whole answer; EOFError if the connection ends before."""
    head = (await reader.readuntil(HEAD_END)).decode("latin-1")
    first, *rest = head.split("\r\n")
    headers = _headers(rest)
    return Answer(int(first.split(" ")[1]), headers, await _body(reader, headers))


def message(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encode an answer with a length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + HEAD_END + body


def request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encode a request; one with a body has its length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + HEAD_END + body


class Server:
    """An HTTP server on one address.

    Attributes:
      open: the writers of open connections.
    """

    def __init__(self, serve: Callable[[Request, asyncio.StreamWriter], Awaitable[bool]]) -> None:
        """Create a server.

        Args:
          serve: answers a request; returns whether the connection stays open.
        """
        self.serve = serve
        self.server: asyncio.Server | None = None
        self.open: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, host: str, port: int = 0) -> None:
        """Listen; port 0 takes a free one."""
        self.server = await asyncio.start_server(self._handle, host, port, limit=2**22)
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        try:
            while await self.serve(await read_request(reader), writer):
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    def stop(self) -> None:
        """Stop listening and reset all connections, as a process that ends."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.open):
            writer.transport.abort()
