"""Serves the TCP connections of other nodes: snapshots and tunnels."""

import asyncio

import msgspec

from plumarch.core import decoding, errors
from plumarch.gateway.gossip import snapshots, tunnel_server
from plumarch.peers import frames, gossip, tunnels

REQUEST_TIMEOUT_MS = 1_500


class PeerServer:
    """Reads a connection's request and lets its part answer."""

    def __init__(
        self,
        snapshot_exchange: snapshots.SnapshotExchange,
        tunnels_here: tunnel_server.TunnelServer,
    ) -> None:
        self.snapshots = snapshot_exchange
        self.tunnels = tunnels_here

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_MS / 1000.0):
                request = decode(await frames.read(reader, gossip.FRAME_LIMIT))
            if isinstance(request, tunnels.TunnelRequest):
                await self.tunnels.serve(request, reader, writer)
            else:
                await self.snapshots.answer(request, writer)
        except (OSError, TimeoutError, EOFError, msgspec.DecodeError, errors.PeerProtocolError):
            pass
        except asyncio.CancelledError:
            # Cancelled at shutdown only; asyncio would log the cancelled task as an error.
            pass
        finally:
            writer.close()


def new_server(exchange: snapshots.SnapshotExchange) -> PeerServer:
    """Return a server for the state of a snapshot exchange."""
    return PeerServer(exchange, tunnel_server.TunnelServer(exchange.state, lambda: False))


def decode(request: bytes) -> gossip.SnapshotRequest | tunnels.TunnelRequest:
    """Decode a request; a snapshot's has no tag, for earlier builds.

    Raises:
      msgspec.DecodeError: it can't be decoded.
    """
    try:
        return decoding.message(gossip.request_decoder, request)
    except msgspec.DecodeError:
        return decoding.message(tunnels.request_decoder, request)
