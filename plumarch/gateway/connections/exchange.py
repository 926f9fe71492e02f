"""HTTP/1.1 towards endpoints and platforms: one connection, full control over its bytes.

Framing is h11's; h11 does no I/O, so that this module decides when a byte is sent and whether
a connection is used again. Libraries with connection pools repeat some calls by themselves,
which a request that may run once can't bear.
"""

import asyncio
from collections.abc import Sequence

import h11

from plumarch.core import addresses
from plumarch.gateway import errors
from plumarch.gateway.connections import keepalive, outgoing
from plumarch.limits import memory_account

Headers = Sequence[tuple[bytes, bytes]]

ReceivedEvent = h11.Response | h11.Data | h11.EndOfMessage

READ_BYTES = 16_384
"""Bytes that are read from a connection at once. Many connections are read in one turn of the
loop, before any of the bytes is passed on."""

READ_AHEAD_BYTES = 65_536
"""Bytes that are taken in while nobody asks for them; then the connection is not read."""

REQUEST_STALL_MS = 3_000.0
"""How long an endpoint may take no byte of a request. As long as a silent peer is waited for."""

READ_BUFFER = bytearray(READ_BYTES)
"""Where bytes arrive, for all connections: they are copied out before the next read."""


class Exchange(asyncio.BufferedProtocol):
    """A connection on which requests are sent and answers are read as events.

    Attributes:
      unparsed: bytes that arrived and were not asked for yet, at most.
      is_paused: whether reading waits for resume().
      nothing_accepted: whether the connection was given up before it accepted a byte of a request.
      peer_restarted: whether it was given up because the endpoint is known to have ended.
      outgoing: counts the request while the endpoint reads it, if it is counted.
    """

    def __init__(self) -> None:
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=65_536)
        self.transport: asyncio.Transport | None = None
        self.arrived = asyncio.Event()
        self.fault: str = ""
        self.at_eof = False
        self.unparsed = 0
        self.is_paused = False
        self.nothing_accepted = False
        self.peer_restarted = False
        self.outgoing: outgoing.Outgoing | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; notice a silent peer."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        keepalive.enable_probes(transport)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return where to put the bytes that come next."""
        return READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Take bytes in."""
        try:
            self.http.receive_data(bytes(memoryview(READ_BUFFER)[:nbytes]))
        except (h11.RemoteProtocolError, RuntimeError) as error:
            self.fault = str(error)
        self.unparsed += nbytes
        if self.unparsed > READ_AHEAD_BYTES and self.transport is not None:
            self.transport.pause_reading()
        self.arrived.set()

    def pause(self) -> None:
        """Read nothing from the endpoint until resume()."""
        self.is_paused = True
        if self.transport is not None:
            self.transport.pause_reading()

    def resume(self) -> None:
        """Read again."""
        self.is_paused = False
        if self.transport is not None:
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        """Do nothing: what the endpoint doesn't read is counted at each write."""

    def resume_writing(self) -> None:
        """Note that the endpoint has read all."""
        if self.outgoing is not None:
            self.outgoing.count()

    def eof_received(self) -> bool:
        """Note an orderly end of the peer's bytes."""
        if not self.at_eof:
            self.at_eof = True
            try:
                self.http.receive_data(b"")
            except (h11.RemoteProtocolError, RuntimeError) as error:
                self.fault = str(error)
        self.arrived.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end of the connection; without an orderly end it is a reset."""
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
        """Write a whole request.

        Args:
          memory: where the request counts until the endpoint has read it, if it does.
          workspace: whose request it is.
        Raises:
          ConnectFailed: the connection has ended: no byte is sent.
          SendBufferFull: the request can't be held: no byte is sent.
        """
        if self.transport is None or self.transport.is_closing():
            raise errors.ConnectFailed("The connection ended before the request. Try again.")
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
            raise errors.SendBufferFull("The request can't be held. Ask another node.")
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
        """Give up an endpoint that doesn't read its request."""
        assert self.outgoing is not None
        self.nothing_accepted = self.outgoing.unread() == self.outgoing.written
        self.fault = self.fault or "the endpoint does not read the request"
        self.close()
        self.arrived.set()

    async def next(self) -> ReceivedEvent:
        """Return the next part of the answer; informational answers are skipped.

        Raises:
          NotDispatched: no byte of the request was accepted.
          ConnectionBroken: the answer broke off or is not HTTP.
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
        """Return the next part of the answer if it comes in time.

        Raises:
          ConnectionBroken: the answer broke off or is not HTTP.
          AnswerTimeout: nothing came.
        """
        try:
            async with asyncio.timeout(max(0.001, wait_ms / 1000.0)):
                return await self.next()
        except TimeoutError as error:
            raise errors.AnswerTimeout(f"nothing came for {wait_ms:.0f} ms") from error

    def _broken_error(self) -> errors.ExchangeError:
        if self.nothing_accepted:
            return errors.NotDispatched(self.fault)
        return errors.ConnectionBroken(self.fault or "the connection ended")

    def _continue_reading(self) -> None:
        """Read on: what arrived is parsed as far as it goes."""
        self.unparsed = 0
        if not self.is_paused and self.transport is not None:
            self.transport.resume_reading()

    def _parse(self) -> ReceivedEvent | None:
        try:
            while True:
                event = self.http.next_event()
                if isinstance(event, h11.Response | h11.Data | h11.EndOfMessage):
                    return event
                if not isinstance(event, h11.InformationalResponse):
                    return None
        except h11.RemoteProtocolError as error:
            raise errors.ConnectionBroken(f"the answer is not HTTP: {error}") from error

    async def read_body(self, limit: int) -> bytes:
        """Read the rest of an answer's body.

        Raises:
          ConnectionBroken: it broke off, or is longer than the limit.
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
        """Make ready for another request.

        Returns:
          False if this connection can't serve another one.
        """
        if self.fault or self.at_eof or self.http.trailing_data[0]:
            return False
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        return True

    def close_restarted(self, why: str) -> None:
        """Give the connection up, since the process at its other end is no more."""
        self.peer_restarted = True
        self.fault = self.fault or why
        self.close()
        self.arrived.set()

    def close(self) -> None:
        """End the connection at once; a request in progress is thereby cancelled."""
        if self.transport is not None:
            self.transport.abort()


async def connect(address: str, timeout_ms: float) -> Exchange:
    """Open a connection.

    Args:
      address: IP:port.
      timeout_ms: the longest time to wait.
    Raises:
      ConnectFailed: it did not come up.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_ms / 1000.0):
            _, exchange = await loop.create_connection(Exchange, *addresses.split(address))
    except (OSError, ValueError, TimeoutError) as error:
        raise errors.ConnectFailed(f"No connection to {address}: {error!r}.") from error
    return exchange


async def is_listening(address: str, timeout_ms: float) -> bool | None:
    """Return whether a process takes connections at an address, or None if nothing answered.

    Args:
      address: IP:port.
      timeout_ms: the longest time to wait.
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
