"""HTTP/1.1 server for callers, on h11.

uvicorn can't limit a header's size and time, nor abort an answer so that the caller notices.
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
"""Bytes are read this long after a final answer, which a reset could discard."""

READ_AHEAD_BYTES = 65_536
"""Maximum bytes of pipelined requests read while one is served."""

BODY_TIME_MS = 30_000.0
"""Default time limit for receiving a body."""

CALLER_STALL_MS = 10_000.0
"""A caller that reads nothing for this long is disconnected; longer than a lost network or a busy
caller lasts."""

RETRY_AFTER_MS = 1_000.0
"""Default Retry-After of a request whose body exceeds the memory budget."""


@dataclasses.dataclass(slots=True)
class CallerServer:
    """State shared by callers' connections.

    Attributes:
      draining: whether answers that begin now close their connections.
      closes_idle: whether a connection is closed as soon as it has no request.
      on_disconnect: called with the reason and the number of unread bytes.
      back_in_ms: returns the expected time until so many bytes are free.
    """

    clock: clock.Clock
    handler: caller_requests.RequestHandler
    limits: traffic.CallerLimits = dataclasses.field(default_factory=traffic.CallerLimits)
    draining: bool = False
    closes_idle: bool = False
    connections: set["CallerConnection"] = dataclasses.field(default_factory=set)
    memory: memory_account.MemoryAccount = dataclasses.field(
        default_factory=lambda: memory_account.from_limit(memory_account.DEFAULT_LIMIT_MB)
    )
    time_allowed_ms: Callable[[caller_requests.Headers], float] = lambda _: BODY_TIME_MS
    on_disconnect: Callable[[str, int], None] = lambda _, __: None
    back_in_ms: Callable[[int], float] = lambda _: RETRY_AFTER_MS
    stall_ms: float = CALLER_STALL_MS

    def connection(self) -> "CallerConnection":
        """Return a protocol for a new connection."""
        return CallerConnection(self)

    def busy(self) -> int:
        """Count connections with a request in progress or an unread answer."""
        return sum(1 for one in self.connections if one.task is not None or one.unread.size)

    def close_idle(self) -> None:
        """Close idle connections, and busy ones once they are idle."""
        self.closes_idle = True
        for connection in list(self.connections):
            connection.close_if_idle()

    def close_all(self) -> None:
        """Abort all connections and their requests."""
        for connection in list(self.connections):
            connection.abort()


class CallerConnection(asyncio.Protocol):
    """A caller's connection; serves one request at a time."""

    def __init__(self, server: CallerServer) -> None:
        self.server = server
        self.parsed_bytes = server.limits.header_bytes
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
        return h11.Connection(h11.SERVER, max_incomplete_event_size=self.parsed_bytes)

    def _follow_header_limit(self) -> None:
        """Have the parser take the limit in force, once no bytes of a request are in it."""
        limit = self.server.limits.header_bytes
        if limit == self.parsed_bytes or self.http.their_state is not h11.IDLE:
            return
        if self.http.our_state is h11.IDLE and not self.http.trailing_data[0]:
            self.parsed_bytes = limit
            self.http = self._new_http()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the transport and wait for a request."""
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
        """Parse received bytes."""
        if self.lingering:
            return
        self._follow_header_limit()
        self.http.receive_data(data)
        self._process_received()

    def _process_received(self) -> None:
        """Process buffered bytes."""
        if self.began_ms < 0 and self.task is None:
            self.began_ms = self.server.clock.now()
            self._set_timer(self.server.limits.header_timeout_ms, self._head_timed_out)
        self.body.note_received(self.server.clock.now())
        if self.task is None:
            self._advance()
        self._count_ahead()

    def _count_ahead(self) -> None:
        """Reserve memory for unparsed bytes."""
        ahead = len(self.http.trailing_data[0])
        if not self.server.memory.resize(self.ahead, ahead):
            self.disconnect("no_memory")
        elif ahead > READ_AHEAD_BYTES and self.task is not None and self.transport is not None:
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """Cancel the request; the transport closes once its buffer is empty."""
        if self.task is not None:
            self.task.cancel()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request and release the connection's memory."""
        self.server.connections.discard(self)
        self._stop_timer()
        if self.output is not None:
            self.output.end()
        self.body.end()
        self.server.memory.resize(self.ahead, 0)
        if self.task is not None:
            self.task.cancel()

    def pause_writing(self) -> None:
        """Do nothing: unread bytes are counted at each write."""

    def resume_writing(self) -> None:
        """Update the count of unread bytes."""
        if self.output is not None:
            self.output.count()

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
        refused = self.body.add(data)
        if refused:
            self._reject(refused)

    def _schedule_body_check(self) -> None:
        if self.head is not None and self.timer is None:
            self._set_timer(self.body.next_check_ms(self.server.clock.now()), self._check_body)

    def _check_body(self) -> None:
        """Reject a body that timed out; none of it was sent to an endpoint."""
        self._stop_timer()
        if self.body.timed_out(self.server.clock.now()):
            self._reject(408)
        else:
            self._schedule_body_check()

    def _head_timed_out(self) -> None:
        if self.head is None:
            self._reject(408)

    def _reject(self, status: int) -> None:
        """Reject a request before it is handled, and close the connection."""
        headers = [(b"connection", b"close")]
        if status == incoming_body.NO_MEMORY:
            back_in_ms = self.server.back_in_ms(self.body.reservation.size)
            headers.append((b"retry-after", f"{back_in_ms / 1000.0:.3f}".encode()))
        self.body.end()
        self.send(status, headers, b"")
        self._linger()

    def _serve(self) -> None:
        assert self.head is not None
        request = caller_requests.CallerRequest(
            bytes(self.head.method),
            bytes(self.head.target),
            tuple((bytes(name), bytes(value)) for name, value in self.head.headers),
            self.body.complete(),
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
            elif self.server.closes_idle:
                self.close_if_idle()
        elif self.http.our_state is h11.MUST_CLOSE:
            self._linger()
        else:
            self.transport.abort()

    # caller_requests.Reply

    def send(self, status: int, headers: caller_requests.Headers, body: bytes) -> None:
        """Send a complete answer."""
        sized = [*headers, (b"content-length", str(len(body)).encode())]
        self.start(status, sized)
        if body and not self._is_head():
            self._write(self.http.send(h11.Data(data=body)))
        self.finish()

    def start(self, status: int, headers: caller_requests.Headers) -> None:
        """Start an answer."""
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
        """Charge reserved memory to a workspace; False if over its limit."""
        memory = self.server.memory
        return memory.assign(self.unread, workspace) and memory.assign(
            self.body.reservation, workspace
        )

    def release_body(self) -> None:
        """Release the request's body."""
        if self.request is not None:
            self.request.body = b""
        self.body.end()

    def send_chunk(self, data: bytes) -> None:
        """Send a chunk of the answer's body."""
        self._write(self.http.send(h11.Data(data=data)))

    def has_room(self, size: int) -> bool:
        """Return whether size more bytes stay within the limit of unread bytes."""
        unread = self.output.unread() if self.output is not None else 0
        if not unread:
            return True
        return unread + size <= self.server.memory.stream_bound(self.unread.workspace)

    async def drained(self) -> None:
        """Wait until the send buffer is empty."""
        if self.output is not None:
            await self.output.empty.wait()

    def finish(self) -> None:
        """Complete the answer."""
        with contextlib.suppress(h11.LocalProtocolError):
            self._write(self.http.send(h11.EndOfMessage()))

    def abort(self) -> None:
        """Abort the connection; unread bytes are dropped."""
        if self.transport is not None:
            self.transport.abort()

    def disconnect(self, reason: str) -> None:
        """Disconnect the caller."""
        if not self.disconnect_reason:
            self.disconnect_reason = reason
            self.server.on_disconnect(reason, self.unread.size)
        self.abort()

    def close_if_idle(self) -> None:
        """Close the connection unless a request has begun."""
        if self.began_ms < 0 and self.task is None and self.transport is not None:
            self.transport.close()

    def _linger(self) -> None:
        """Close the sending side, and discard received bytes for a while."""
        if self.transport is None or self.lingering:
            return
        self.lingering = True
        self._set_timer(LINGER_S * 1000.0, self._end_linger)
        if self.transport.can_write_eof():
            with contextlib.suppress(OSError):
                self.transport.write_eof()

    def _end_linger(self) -> None:
        """Abort the connection once the caller has read its answer."""
        if self.output is not None and self.output.unread():
            self._set_timer(LINGER_S * 1000.0, self._end_linger)
        else:
            self.abort()

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
    """Return the Content-Length, validated by h11."""
    return int(dialect.header_value(head.headers, b"content-length") or 0)
