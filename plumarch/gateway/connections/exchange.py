"""HTTP/1.1 client connections to endpoints and platforms, on h11.

HTTP clients with pools retry some requests by themselves; a request here may run once.
"""

import asyncio
from collections.abc import Sequence

import h11

from plumarch.core import addresses, answer_limits
from plumarch.gateway import errors
from plumarch.gateway.connections import keepalive, outgoing
from plumarch.limits import memory_account

Headers = Sequence[tuple[bytes, bytes]]

ReceivedEvent = h11.Response | h11.Data | h11.EndOfMessage

READ_BYTES = 16_384
"""Maximum bytes of one read; small, as one loop iteration reads many connections."""

READ_AHEAD_BYTES = 65_536
"""Unparsed bytes above which reading is paused."""

STATUS_LINE_BYTES = 17
"""Bytes of a status line without its reason, and of the blank line that ends a head."""

REQUEST_STALL_MS = 3_000.0
"""An endpoint that accepts no byte of a request for this long is given up."""

READ_BUFFER = bytearray(READ_BYTES)
"""Shared by all connections; bytes are copied out before the next read."""


class Exchange(asyncio.BufferedProtocol):
    """A client connection that yields answers as events.

    Attributes:
      is_tunneled: whether it goes through another node.
      unparsed: upper bound of received, unparsed bytes.
      interim_bytes: size of the interim answers before the final one.
      nothing_accepted: whether it was closed before the endpoint accepted a byte of the request.
      peer_restarted: whether it was closed because the endpoint has restarted.
    """

    is_tunneled = False

    def __init__(self) -> None:
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=65_536)
        self.transport: asyncio.Transport | None = None
        self.arrived = asyncio.Event()
        self.fault: str = ""
        self.at_eof = False
        self.unparsed = 0
        self.is_paused = False
        self.interim_bytes = 0
        self.nothing_accepted = False
        self.peer_restarted = False
        self.first_sent_ms: int | None = None
        self.outgoing: outgoing.Outgoing | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and enable keep-alive probes."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        keepalive.enable_probes(transport)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the shared read buffer."""
        return READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Handle received bytes."""
        self.receive(bytes(memoryview(READ_BUFFER)[:nbytes]))

    def receive(self, data: bytes) -> None:
        """Pass bytes to the parser."""
        try:
            self.http.receive_data(data)
        except (h11.RemoteProtocolError, RuntimeError) as error:
            self.fault = str(error)
        self.unparsed += len(data)
        if self.unparsed > READ_AHEAD_BYTES and self.transport is not None:
            self.transport.pause_reading()
        self.arrived.set()

    def pause(self) -> None:
        """Pause reading until resume()."""
        self.is_paused = True
        if self.transport is not None:
            self.transport.pause_reading()

    def resume(self) -> None:
        """Resume reading."""
        self.is_paused = False
        if self.transport is not None:
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        """Do nothing: unread bytes are counted at each write."""

    def resume_writing(self) -> None:
        """Update the count of unread bytes."""
        if self.outgoing is not None:
            self.outgoing.count()

    def eof_received(self) -> bool:
        """Record an orderly end of the peer's data."""
        self.end_answer()
        return False

    def end_answer(self) -> None:
        """Record that the endpoint closed its connection in order."""
        if not self.at_eof:
            self.at_eof = True
            try:
                self.http.receive_data(b"")
            except (h11.RemoteProtocolError, RuntimeError) as error:
                self.fault = str(error)
        self.arrived.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the connection's end; without a preceding EOF it is a fault."""
        if not self.at_eof:
            self.fault = self.fault or f"connection lost: {exc or 'closed'}"
        if self.outgoing is not None:
            self.outgoing.end()
        self.arrived.set()

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        memory: memory_account.MemoryAccount | None = None,
        workspace: str = "",
    ) -> None:
        """Write a complete request.

        Args:
          memory: account to charge until the endpoint has read the request.
          workspace: name of the request's workspace.
        Raises:
          ConnectFailed: the connection has ended; no byte was sent.
          SendBufferFull: there is no memory for the request; no byte was sent.
        """
        if self.transport is None or self.transport.is_closing():
            raise errors.ConnectFailed("The connection closed before the request. Try again.")
        try:
            parts = [
                self.http.send(h11.Request(method=method, target=target, headers=list(headers)))
            ]
            if body:
                parts.append(self.http.send(h11.Data(data=body)))
            parts.append(self.http.send(h11.EndOfMessage()))
        except h11.LocalProtocolError as error:
            raise errors.ConnectFailed(f"The request can't be framed: {error}.") from error
        request = b"".join(part for part in parts if part)
        if memory is None:
            self.transport.write(request)
        else:
            self._write_counted(request, memory, workspace)

    def _write_counted(
        self, request: bytes, memory: memory_account.MemoryAccount, workspace: str
    ) -> None:
        assert self.transport is not None
        purpose = memory_account.Purpose.UNSENT_REQUESTS
        reservation = memory_account.Reservation(self, workspace, purpose)
        if not memory.resize(reservation, len(request)):
            raise errors.SendBufferFull("No memory to send the request. Try another node.")
        if len(request) > outgoing.KERNEL_UNSENT_BYTES:
            outgoing.limit_kernel_buffer(self.transport)
        self.transport.write(request)
        if not self.transport.get_write_buffer_size():
            memory.resize(reservation, 0)
            return
        self.outgoing = outgoing.Outgoing(
            self.transport, memory, reservation, REQUEST_STALL_MS, self._handle_stall
        )
        self.outgoing.track(len(request))

    def _handle_stall(self) -> None:
        """Close the connection to an endpoint that doesn't read its request."""
        assert self.outgoing is not None
        self.nothing_accepted = self.outgoing.unread() == self.outgoing.written
        self.fault = self.fault or "the endpoint does not read the request"
        self.close()
        self.arrived.set()

    async def next(self) -> ReceivedEvent:
        """Return the next event of the answer; informational answers are skipped.

        Raises:
          NotDispatched: the endpoint accepted no byte of the request.
          ConnectionBroken: the answer is incomplete or not HTTP.
        """
        while True:
            event = self._parse()
            if event is not None:
                return event
            self._continue_reading()
            if self.fault or self.at_eof:
                raise self._broken_error()
            self.arrived.clear()
            await self.arrived.wait()

    async def next_within(self, wait_ms: float) -> ReceivedEvent:
        """Return the next event of the answer.

        Raises:
          ConnectionBroken: the answer is incomplete or not HTTP.
          AnswerTimeout: nothing was received within wait_ms.
        """
        try:
            async with asyncio.timeout(max(0.001, wait_ms / 1000.0)):
                return await self.next()
        except TimeoutError as error:
            raise errors.AnswerTimeout(f"nothing received for {wait_ms:.0f} ms") from error

    def _broken_error(self) -> errors.ExchangeError:
        if self.nothing_accepted:
            return errors.NotDispatched(self.fault)
        return errors.ConnectionBroken(self.fault or "the peer closed the connection")

    def _continue_reading(self) -> None:
        """Resume reading once all bytes are parsed."""
        self.unparsed = 0
        if not self.is_paused and self.transport is not None:
            self.transport.resume_reading()

    def _parse(self) -> ReceivedEvent | None:
        try:
            while True:
                event = self.http.next_event()
                if isinstance(event, h11.InformationalResponse):
                    self._count_interim(event)
                    continue
                if isinstance(event, h11.Response):
                    self._check_status(event)
                if isinstance(event, h11.Response | h11.Data | h11.EndOfMessage):
                    return event
                return None
        except h11.RemoteProtocolError as error:
            raise errors.ConnectionBroken(f"the answer is not HTTP: {error}") from error

    def _count_interim(self, head: h11.InformationalResponse) -> None:
        headers = sum(len(name) + len(value) + 4 for name, value in head.headers)
        self.interim_bytes += STATUS_LINE_BYTES + len(head.reason) + headers
        if self.interim_bytes > answer_limits.MAX_INTERIM_BYTES:
            raise errors.ConnectionBroken("the endpoint sends interim answers without end")

    def _check_status(self, head: h11.Response) -> None:
        self.interim_bytes = 0
        if head.status_code not in answer_limits.FINAL_STATUSES:
            raise errors.ConnectionBroken(f"{head.status_code} is no status of HTTP")

    async def read_body(self, limit: int) -> bytes:
        """Read the rest of an answer's body.

        Raises:
          ConnectionBroken: it is incomplete, or longer than limit bytes.
        """
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self.next()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > limit:
                    raise errors.ConnectionBroken(f"the answer is longer than {limit} bytes")

    def reuse(self) -> bool:
        """Prepare for another request; False if the connection can't be reused."""
        if self.fault or self.at_eof or self.http.trailing_data[0]:
            return False
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        return True

    def close_restarted(self, why: str) -> None:
        """Close the connection to a restarted process."""
        self.peer_restarted = True
        self.fault = self.fault or why
        self.close()
        self.arrived.set()

    def ended_by_endpoint(self) -> bool:
        """Return whether the endpoint's connection ended, as opposed to an invalid answer."""
        return self.transport is None or self.transport.is_closing()

    def close(self) -> None:
        """Abort the connection, which cancels a request in progress."""
        if self.transport is not None:
            self.transport.abort()


async def connect(address: str, timeout_ms: float) -> Exchange:
    """Open a connection.

    Args:
      address: IP:port.
      timeout_ms: maximum time to wait.
    Raises:
      ConnectFailed: no connection within the timeout.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_ms / 1000.0):
            _, exchange = await loop.create_connection(Exchange, *addresses.split(address))
    except (OSError, ValueError, TimeoutError) as error:
        is_refused = isinstance(error, ConnectionRefusedError)
        raise errors.ConnectFailed(f"No connection to {address}: {error!r}.", is_refused) from error
    return exchange


async def is_listening(address: str, timeout_ms: float) -> bool | None:
    """Return whether a process accepts connections at an address, or None if unknown.

    Args:
      address: IP:port.
      timeout_ms: maximum time to wait.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_ms / 1000.0):
            transport, _ = await loop.create_connection(asyncio.Protocol, *addresses.split(address))
    except ConnectionRefusedError:
        return False
    except (OSError, ValueError, TimeoutError):
        return None
    transport.abort()
    return True
