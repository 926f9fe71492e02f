"""HTTP/1.1 towards callers: limits, keep-alive, and answers that break visibly.

Framing is h11's. uvicorn offers neither limits on a header's size and time nor a say in how
an answer ends, so the callers' side of the gateway is a protocol of its own.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable, Sequence
from typing import Protocol

import h11

from plumarch.core import clock, traffic
from plumarch.gateway import dialect, keepalive

Headers = Sequence[tuple[bytes, bytes]]

LINGER_S = 1.0
"""How long unread bytes are taken in after a final answer, so that it is not lost in a reset."""

READ_AHEAD_BYTES = 262_144
"""Bytes of later requests that are taken in while one is served."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request read whole.

    Attributes:
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
    """The answer to one request."""

    started: bool

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        ...

    def start(self, status: int, headers: Headers) -> None:
        """Begin an answer whose length is not known."""
        ...

    async def chunk(self, data: bytes) -> None:
        """Send a part of its body; waits while the caller does not read."""
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


@dataclasses.dataclass(slots=True)
class CallerServer:
    """What all connections of callers share.

    Attributes:
      limits: of the configuration in force.
      draining: whether each answer ends its connection.
    """

    clock: clock.Clock
    handler: RequestHandler
    limits: traffic.CallerLimits = dataclasses.field(default_factory=traffic.CallerLimits)
    draining: bool = False
    connections: set["CallerConnection"] = dataclasses.field(default_factory=set)

    def connection(self) -> "CallerConnection":
        """Return the protocol for a new connection."""
        return CallerConnection(self)

    def busy(self) -> int:
        """Return how many connections have a request in progress."""
        return sum(1 for connection in self.connections if connection.task is not None)

    def close_idle(self) -> None:
        """End the connections on which no request has begun."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def close_all(self) -> None:
        """End all connections, and with them the requests in progress."""
        for connection in list(self.connections):
            connection.abort()


class CallerConnection(asyncio.Protocol):
    """One connection of a caller; serves one request at a time."""

    def __init__(self, server: CallerServer) -> None:
        self.server = server
        self.http = self._new_http()
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.head: h11.Request | None = None
        self.body: list[bytes] = []
        self.body_size = 0
        self.began_ms = -1
        self.started = False
        self.lingering = False
        self.writable = asyncio.Event()
        self.writable.set()

    def _new_http(self) -> h11.Connection:
        limit = self.server.limits.header_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=limit)

    # Events of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for a request."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        keepalive.watch(transport)
        self.server.connections.add(self)
        self._await_request()

    def data_received(self, data: bytes) -> None:
        """Take bytes in, and go on as far as they allow."""
        if self.lingering:
            return
        if self.began_ms < 0 and self.task is None:
            self.began_ms = self.server.clock.now()
            self._set_timer(self.server.limits.header_timeout_ms, self._head_too_slow)
        self.http.receive_data(data)
        if self.task is None:
            self._advance()
        elif len(self.http.trailing_data[0]) > READ_AHEAD_BYTES and self.transport is not None:
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """Treat a caller that closed its side as gone."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop work for a caller that left."""
        self.server.connections.discard(self)
        self._stop_timer()
        self.writable.set()
        if self.task is not None:
            self.task.cancel()

    def pause_writing(self) -> None:
        """Hold back chunks while the caller does not read."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Let chunks go on."""
        self.writable.set()

    # Reading a request.

    def _await_request(self) -> None:
        self.head = None
        self.body = []
        self.body_size = 0
        self.began_ms = -1
        self.started = False
        self._set_timer(self.server.limits.idle_timeout_ms, self.close_if_idle)

    def _advance(self) -> None:
        try:
            while self.task is None and not self.lingering:
                event = self.http.next_event()
                if isinstance(event, h11.Request):
                    self._take_head(event)
                elif isinstance(event, h11.Data):
                    self._take_body(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    self._serve()
                else:
                    return
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint)

    def _take_head(self, head: h11.Request) -> None:
        self.head = head
        self._stop_timer()
        size = sum(len(name) + len(value) + 4 for name, value in head.headers)
        if size + len(head.target) > self.server.limits.header_bytes:
            self._reject(431)
            return
        if self.http.they_are_waiting_for_100_continue:
            informed = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self.http.send(informed))

    def _take_body(self, data: bytes) -> None:
        self.body.append(data)
        self.body_size += len(data)
        if self.body_size > self.server.limits.body_bytes:
            self._reject(413)

    def _head_too_slow(self) -> None:
        if self.head is None:
            self._reject(408)

    def _reject(self, status: int) -> None:
        """Refuse what can't be read as a request, and end the connection."""
        self.send(status, [(b"connection", b"close")], b"")
        self._linger()

    # Serving it.

    def _serve(self) -> None:
        assert self.head is not None
        request = CallerRequest(
            bytes(self.head.method),
            bytes(self.head.target),
            tuple((bytes(name), bytes(value)) for name, value in self.head.headers),
            b"".join(self.body),
            self.began_ms,
        )
        self.body = []
        self.task = asyncio.get_running_loop().create_task(self._run(request))

    async def _run(self, request: CallerRequest) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            await self.server.handler.handle(request, self)
        self.task = None
        self._next_request()

    def _next_request(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            self._await_request()
            self.transport.resume_reading()
            if self.http.trailing_data[0]:
                self.data_received(b"")
        elif self.http.our_state is h11.MUST_CLOSE:
            self._linger()
        else:
            self.transport.abort()

    # The Reply.

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        sized = [*headers, (b"content-length", str(len(body)).encode())]
        self.start(status, sized)
        if body and not self._is_head():
            self._write(self.http.send(h11.Data(data=body)))
        self.finish()

    def start(self, status: int, headers: Headers) -> None:
        """Begin an answer."""
        self.started = True
        named = list(headers)
        if self.server.draining:
            named.append((b"connection", b"close"))
        response = h11.Response(status_code=status, headers=named, reason=_reason(status))
        with contextlib.suppress(h11.LocalProtocolError):
            self._write(self.http.send(response))

    async def chunk(self, data: bytes) -> None:
        """Send a part of the body."""
        self._write(self.http.send(h11.Data(data=data)))
        if not self.writable.is_set():
            await self.writable.wait()

    def finish(self) -> None:
        """End the answer as complete."""
        with contextlib.suppress(h11.LocalProtocolError):
            self._write(self.http.send(h11.EndOfMessage()))

    def abort(self) -> None:
        """End the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    # The end of a connection.

    def close_if_idle(self) -> None:
        """End the connection unless a request has begun."""
        if self.began_ms < 0 and self.task is None and self.transport is not None:
            self.transport.close()

    def _linger(self) -> None:
        """Close, but first take in what the caller still sends."""
        if self.transport is None or self.lingering:
            return
        self.lingering = True
        self._set_timer(LINGER_S * 1000.0, self.abort)
        if self.transport.can_write_eof():
            with contextlib.suppress(OSError):
                self.transport.write_eof()

    # Small things.

    def _is_head(self) -> bool:
        return self.head is not None and bytes(self.head.method) == b"HEAD"

    def _write(self, data: bytes | None) -> None:
        if data and self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def _set_timer(self, delay_ms: float, action: Callable[[], None]) -> None:
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(delay_ms / 1000.0, action)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


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


def _reason(status: int) -> bytes:
    return REASONS.get(status, b"")
