"""HTTP/1.1 towards callers: limits, keep-alive, and answers that break visibly.

Framing is h11's. uvicorn offers neither limits on a header's size and time nor a say in how
an answer ends, so the callers' side of the gateway is a protocol of its own.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable

import h11

from plumarch.core import clock, traffic
from plumarch.gateway import dialect
from plumarch.gateway.callers import caller_requests, incoming_body
from plumarch.gateway.connections import keepalive, outgoing
from plumarch.limits import memory_account

LINGER_S = 1.0
"""How long unread bytes are taken in after a final answer, so that it is not lost in a reset."""

READ_AHEAD_BYTES = 65_536
"""Bytes of later requests that are taken in while one is served: a head and a short body."""

BODY_TIME_MS = 30_000.0
"""How long a body may take where the request doesn't say how long it may."""

CALLER_STALL_MS = 10_000.0
"""A caller that reads nothing for so long is ended. A judgement: longer than a lost network or a
caller's busy spell lasts, shorter than most requests' own deadlines."""

RETRY_AFTER_MS = 1_000.0
"""When a caller whose body there was no room for had better come back, where nothing is known of
how fast memory is given back."""


@dataclasses.dataclass(slots=True)
class CallerServer:
    """What all connections of callers share.

    Attributes:
      limits: of the configuration in force.
      draining: whether each answer ends its connection.
      memory: what is held for callers.
      time_allowed_ms: returns how long a request may take, by its headers.
      on_disconnect: called when a caller is ended: why, and how many bytes it hasn't read.
      back_in_ms: returns after how long there may be room for so many bytes.
      stall_ms: how long a caller may read nothing.
    """

    clock: clock.Clock
    handler: caller_requests.RequestHandler
    limits: traffic.CallerLimits = dataclasses.field(default_factory=traffic.CallerLimits)
    draining: bool = False
    connections: set["CallerConnection"] = dataclasses.field(default_factory=set)
    memory: memory_account.MemoryAccount = dataclasses.field(
        default_factory=lambda: memory_account.from_limit(memory_account.DEFAULT_LIMIT_MB)
    )
    time_allowed_ms: Callable[[caller_requests.Headers], float] = lambda _: BODY_TIME_MS
    on_disconnect: Callable[[str, int], None] = lambda _, __: None
    back_in_ms: Callable[[int], float] = lambda _: RETRY_AFTER_MS
    stall_ms: float = CALLER_STALL_MS

    def connection(self) -> "CallerConnection":
        """Return the protocol for a new connection."""
        return CallerConnection(self)

    def busy(self) -> int:
        """Return how many connections have a request in progress, or a ready answer to read."""
        return sum(1 for one in self.connections if one.task is not None or one.unread.size)

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
        self.request: caller_requests.CallerRequest | None = None
        self.body = incoming_body.IncomingBody(server.memory, self)
        self.ahead = memory_account.Reservation(self, "", memory_account.Purpose.REQUEST_BODIES)
        self.output: outgoing.Outgoing | None = None
        self.unread = memory_account.Reservation(self, "", memory_account.Purpose.UNREAD_ANSWERS)
        self.began_ms = -1
        self.started = False
        self.lingering = False
        self.disconnect_reason = ""

    def _new_http(self) -> h11.Connection:
        limit = self.server.limits.header_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=limit)

    # Events of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for a request."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        keepalive.enable_probes(transport)
        outgoing.limit_kernel_buffer(transport)
        self.output = outgoing.Outgoing(
            transport,
            self.server.memory,
            self.unread,
            self.server.stall_ms,
            lambda: self.disconnect("caller_stalled"),
        )
        self.server.connections.add(self)
        self._await_request()

    def data_received(self, data: bytes) -> None:
        """Take bytes in, and go on as far as they allow."""
        if self.lingering:
            return
        self.http.receive_data(data)
        self._process_received()

    def _process_received(self) -> None:
        """Go on with what has arrived."""
        if self.began_ms < 0 and self.task is None:
            self.began_ms = self.server.clock.now()
            self._set_timer(self.server.limits.header_timeout_ms, self._head_timed_out)
        self.body.note_received(self.server.clock.now())
        if self.task is None:
            self._advance()
        self._count_ahead()

    def _count_ahead(self) -> None:
        """Count bytes that arrived and can't be read as a request yet."""
        ahead = len(self.http.trailing_data[0])
        if not self.server.memory.resize(self.ahead, ahead):
            self.disconnect("no_memory")
        elif ahead > READ_AHEAD_BYTES and self.task is not None and self.transport is not None:
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """Treat a caller that closed its side as gone.

        The connection itself ends when the caller has read all that it was sent, or is cut.
        """
        if self.task is not None:
            self.task.cancel()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop work for a caller that left."""
        self.server.connections.discard(self)
        self._stop_timer()
        if self.output is not None:
            self.output.end()
        self.body.end()
        self.server.memory.resize(self.ahead, 0)
        if self.task is not None:
            self.task.cancel()

    def pause_writing(self) -> None:
        """Do nothing: what the caller doesn't read is counted at each write."""

    def resume_writing(self) -> None:
        """Note that the caller has read all."""
        if self.output is not None:
            self.output.count()

    # Reading a request.

    def _await_request(self) -> None:
        self.head = None
        self.body.end()
        self.began_ms = -1
        self.started = False
        self._set_timer(self.server.limits.idle_timeout_ms, self.close_if_idle)

    def _advance(self) -> None:
        try:
            while self.task is None and not self.lingering:
                event = self.http.next_event()
                if isinstance(event, h11.Request):
                    self._handle_head(event)
                elif isinstance(event, h11.Data):
                    self._handle_body(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    self._serve()
                else:
                    self._schedule_body_check()
                    return
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint)

    def _handle_head(self, head: h11.Request) -> None:
        self.head = head
        self._stop_timer()
        size = sum(len(name) + len(value) + 4 for name, value in head.headers)
        if size + len(head.target) > self.server.limits.header_bytes:
            self._reject(431)
            return
        now = self.server.clock.now()
        ends_ms = self.began_ms + self.server.time_allowed_ms(head.headers)
        self.body.begin(self.server.limits, now, ends_ms)
        if _declared_size(head) > self.server.limits.body_bytes:
            self._reject(413)
            return
        if self.http.they_are_waiting_for_100_continue:
            informed = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self.http.send(informed))

    def _handle_body(self, data: bytes) -> None:
        refused = self.body.take(data)
        if refused:
            self._reject(refused)

    def _schedule_body_check(self) -> None:
        if self.head is not None and self.timer is None:
            self._set_timer(self.body.next_check_ms(self.server.clock.now()), self._check_body)

    def _check_body(self) -> None:
        """Refuse a body that doesn't come; nothing of it was sent on."""
        self._stop_timer()
        if self.body.timed_out(self.server.clock.now()):
            self._reject(408)
        else:
            self._schedule_body_check()

    def _head_timed_out(self) -> None:
        if self.head is None:
            self._reject(408)

    def _reject(self, status: int) -> None:
        """Refuse what can't be read as a request, and end the connection."""
        headers = [(b"connection", b"close")]
        if status == incoming_body.NO_MEMORY:
            back_in_ms = self.server.back_in_ms(self.body.reservation.size)
            headers.append((b"retry-after", f"{back_in_ms / 1000.0:.3f}".encode()))
        self.body.end()
        self.send(status, headers, b"")
        self._linger()

    # Serving it.

    def _serve(self) -> None:
        assert self.head is not None
        request = caller_requests.CallerRequest(
            bytes(self.head.method),
            bytes(self.head.target),
            tuple((bytes(name), bytes(value)) for name, value in self.head.headers),
            self.body.whole(),
            self.began_ms,
        )
        self._stop_timer()
        self.request = request
        self.task = asyncio.get_running_loop().create_task(self._run(request))

    async def _run(self, request: caller_requests.CallerRequest) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            await self.server.handler.handle(request, self)
        self.task = None
        self.release_body()
        self._next_request()

    def _next_request(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            self._await_request()
            self.transport.resume_reading()
            if self.ahead.size:
                self._process_received()
        elif self.http.our_state is h11.MUST_CLOSE:
            self._linger()
        else:
            self.transport.abort()

    # The Reply.

    def send(self, status: int, headers: caller_requests.Headers, body: bytes) -> None:
        """Send a whole answer."""
        sized = [*headers, (b"content-length", str(len(body)).encode())]
        self.start(status, sized)
        if body and not self._is_head():
            self._write(self.http.send(h11.Data(data=body)))
        self.finish()

    def start(self, status: int, headers: caller_requests.Headers) -> None:
        """Begin an answer."""
        self.started = True
        named = list(headers)
        if self.server.draining:
            named.append((b"connection", b"close"))
        response = h11.Response(
            status_code=status, headers=named, reason=caller_requests.reason(status)
        )
        with contextlib.suppress(h11.LocalProtocolError):
            self._write(self.http.send(response))

    def assign(self, workspace: str) -> bool:
        """Say whose request it is; False if the workspace may not hold as much as it does."""
        memory = self.server.memory
        return memory.assign(self.unread, workspace) and memory.assign(
            self.body.reservation, workspace
        )

    def release_body(self) -> None:
        """Give back the request's body, which is not sent again."""
        if self.request is not None:
            self.request.body = b""
        self.body.end()

    def send_chunk(self, data: bytes) -> None:
        """Send a part of the body."""
        self._write(self.http.send(h11.Data(data=data)))

    def has_room(self, size: int) -> bool:
        """Return whether the caller has read all, or little enough for so many bytes more."""
        unread = self.output.unread() if self.output is not None else 0
        if not unread:
            return True
        return unread + size <= self.server.memory.stream_bound(self.unread.workspace)

    async def drained(self) -> None:
        """Wait until the caller has read all that it was sent."""
        if self.output is not None:
            await self.output.empty.wait()

    def finish(self) -> None:
        """End the answer as complete."""
        with contextlib.suppress(h11.LocalProtocolError):
            self._write(self.http.send(h11.EndOfMessage()))

    def abort(self) -> None:
        """End the connection at once; what was not read is dropped."""
        if self.transport is not None:
            self.transport.abort()

    def disconnect(self, reason: str) -> None:
        """End a caller for what it doesn't read, or for what there is no room for."""
        if not self.disconnect_reason:
            self.disconnect_reason = reason
            self.server.on_disconnect(reason, self.unread.size)
        self.abort()

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
        self._set_timer(LINGER_S * 1000.0, self._end_linger)
        if self.transport.can_write_eof():
            with contextlib.suppress(OSError):
                self.transport.write_eof()

    def _end_linger(self) -> None:
        """End the connection, but not before the caller has read its answer, or is cut."""
        if self.output is not None and self.output.unread():
            self._set_timer(LINGER_S * 1000.0, self._end_linger)
        else:
            self.abort()

    # Small things.

    def _is_head(self) -> bool:
        return self.head is not None and bytes(self.head.method) == b"HEAD"

    def _write(self, data: bytes | None) -> None:
        if data and self.output is not None and not self.output.write(data):
            self.disconnect("no_memory")

    def _set_timer(self, delay_ms: float, action: Callable[[], None]) -> None:
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(delay_ms / 1000.0, action)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


def _declared_size(head: h11.Request) -> int:
    """Return the length that a request's body is said to have; h11 lets only numbers through."""
    return int(dialect.header_value(head.headers, b"content-length") or 0)
