"""Opens tunnels to endpoints for nodes that can't connect to them.

Tunnels lead to listed endpoints only, and never through a third node.
"""

import asyncio
import contextlib
from collections.abc import Callable

from plumarch.core import addresses
from plumarch.gateway import fleet_state
from plumarch.gateway.connections import keepalive
from plumarch.limits import memory_account
from plumarch.peers import frames, tunnels

MAX_OPEN = 1_024
"""Limit of open tunnels."""

MAX_CONNECT_MS = 2_000
"""Limit of the connect timeout that another node may ask for."""

READ_BYTES = 16_384

BUFFER_BYTES = 32_768
"""Unsent bytes in each direction from which reading is paused."""

MEMORY_BYTES = 4 * BUFFER_BYTES
"""Memory reserved for a tunnel: read and write buffers in both directions."""

CLIENT_PAUSE_MS = 10_000
"""Added to the kernel's timeout for the other node, whose caller may be slow to read."""


class TunnelServer:
    """The tunnels of one node for others.

    Attributes:
      clients: connections of nodes with an open tunnel.
      is_leaving: whether this process is shutting down.
    """

    def __init__(self, state: fleet_state.FleetState, is_leaving: Callable[[], bool]) -> None:
        self.state = state
        self.clients: set[asyncio.StreamWriter] = set()
        self.is_leaving = is_leaving

    async def serve(
        self,
        request: tunnels.TunnelRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one tunnel until either side ends."""
        reservation = memory_account.Reservation(writer, "", memory_account.Purpose.TUNNELS)
        if not self.accepts(request) or not self.state.memory.resize(reservation, MEMORY_BYTES):
            self._answer(writer, request, tunnels.Outcome.DECLINED)
            return
        self.clients.add(writer)
        try:
            await self._serve(request, reader, writer)
        finally:
            self.clients.discard(writer)
            self.state.memory.resize(reservation, 0)

    def busy(self) -> int:
        """Return the number of open tunnels."""
        return len(self.clients)

    def close(self) -> None:
        """Abort all tunnels."""
        for writer in list(self.clients):
            writer.transport.abort()

    def accepts(self, request: tunnels.TunnelRequest) -> bool:
        """Return whether this node may try to connect for another."""
        endpoint = self.state.registry.endpoints.get(request.endpoint)
        if endpoint is None or endpoint.address != request.address:
            return False
        paths = self.state.paths
        if paths.is_unreachable(endpoint.id) or paths.is_cut_off():
            return False
        return not self.is_leaving() and len(self.clients) < MAX_OPEN

    def _answer(
        self,
        writer: asyncio.StreamWriter,
        request: tunnels.TunnelRequest,
        outcome: tunnels.Outcome,
    ) -> None:
        writer.write(tunnels.pack(tunnels.TunnelAnswer(outcome.value)))
        self.state.measures.tunnels.add("served", outcome.value)
        self.state.log.write(
            "tunnel",
            client=request.node,
            endpoint=request.endpoint,
            outcome=outcome.value,
            open=len(self.clients),
            connect_age_ms=self.state.paths.connect_age_ms(),
        )

    async def _serve(
        self,
        request: tunnels.TunnelRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        timeout_ms = max(1, min(MAX_CONNECT_MS, request.timeout_ms))
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                endpoint_reader, endpoint_writer = await asyncio.open_connection(
                    *addresses.split(request.address), limit=READ_BYTES
                )
        except (OSError, TimeoutError) as error:
            self._answer(writer, request, self.failed(request, error))
            return
        self.state.paths.record_connect(request.endpoint)
        self._answer(writer, request, tunnels.Outcome.CONNECTED)
        _prepare(endpoint_writer.transport, 0)
        _prepare(writer.transport, CLIENT_PAUSE_MS)
        to_endpoint = asyncio.create_task(_copy(reader, endpoint_writer))
        to_client = asyncio.create_task(_copy_in_frames(endpoint_reader, writer))
        try:
            await asyncio.wait({to_endpoint, to_client}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            # The endpoint cancels a request whose connection ends.
            endpoint_writer.transport.abort()
            to_endpoint.cancel()
            to_client.cancel()
            await asyncio.gather(to_endpoint, to_client, return_exceptions=True)

    def failed(self, request: tunnels.TunnelRequest, error: Exception) -> tunnels.Outcome:
        """Return the outcome of a failed connect; declined if the cause may be this node's."""
        paths = self.state.paths
        paths.record_failure(request.endpoint)
        if paths.may_be_cut_off():
            return tunnels.Outcome.DECLINED
        if isinstance(error, ConnectionRefusedError):
            return tunnels.Outcome.REFUSED
        return tunnels.Outcome.NO_ANSWER


def _prepare(transport: asyncio.WriteTransport, extra_timeout_ms: int) -> None:
    """Bound the unsent bytes of a connection, and have it probed."""
    transport.set_write_buffer_limits(BUFFER_BYTES)
    keepalive.enable_probes(transport)
    if extra_timeout_ms:
        keepalive.extend_timeout(transport, extra_timeout_ms)


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Copy the client's bytes until its connection ends.

    An endpoint may answer and close before it has read the whole request.
    """
    while True:
        try:
            data = await reader.read(READ_BYTES)
        except OSError:
            return
        if not data:
            return
        with contextlib.suppress(OSError):
            writer.write(data)
            await writer.drain()


async def _copy_in_frames(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Copy an endpoint's bytes in frames, and tell how its connection ended."""
    ending = tunnels.END
    try:
        while data := await reader.read(READ_BYTES):
            writer.write(frames.pack(data))
            await writer.drain()
    except OSError:
        ending = tunnels.RESET
    if not writer.is_closing():
        writer.write(ending)
