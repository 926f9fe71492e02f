"""Connections to endpoints through tunnels of other nodes."""

import asyncio

import msgspec

from plumarch.core import addresses, decoding
from plumarch.core import errors as core_errors
from plumarch.gateway import errors
from plumarch.gateway.connections import exchange
from plumarch.peers import tunnels


class TunneledExchange(exchange.Exchange):
    """A client connection to an endpoint through another node.

    Attributes:
      peer: address of the other node.
      outcome: of the other node's connect, or None before its answer.
      endpoint_reset: whether the endpoint's connection was reset.
    """

    is_tunneled = True

    def __init__(self, peer: str) -> None:
        super().__init__()
        self.peer = peer
        self.frames = tunnels.FrameReader()
        self.outcome: tunnels.Outcome | None = None
        self.endpoint_reset = False

    def buffer_updated(self, nbytes: int) -> None:
        """Handle received frames."""
        self.frames.feed(bytes(memoryview(exchange.READ_BUFFER)[:nbytes]))
        try:
            for frame in self.frames.frames(tunnels.DATA_LIMIT):
                self._handle(frame)
        except (core_errors.PeerProtocolError, msgspec.DecodeError) as error:
            self.fault = self.fault or f"invalid tunnel: {error}"
            self.close()
        self.arrived.set()

    def _handle(self, frame: bytes | tunnels.Ending) -> None:
        if self.outcome is None:
            if isinstance(frame, tunnels.Ending):
                raise core_errors.PeerProtocolError("The tunnel ended before its answer.")
            answer = decoding.message(tunnels.answer_decoder, frame)
            self.outcome = tunnels.OUTCOMES.get(answer.outcome, tunnels.Outcome.DECLINED)
        elif frame is tunnels.Ending.CLOSED:
            self.end_answer()
        elif frame is tunnels.Ending.RESET:
            self.endpoint_reset = True
            self.fault = self.fault or "the endpoint reset its connection"
        else:
            self.receive(frame)

    def eof_received(self) -> bool:
        """Record that the other node ended the tunnel, maybe inside an answer."""
        if not self.at_eof:
            self.fault = self.fault or "the tunnel ended"
        self.arrived.set()
        return False

    def ended_by_endpoint(self) -> bool:
        """Return whether the endpoint's connection ended, not just the tunnel."""
        return self.endpoint_reset or self.at_eof

    async def wait_for_answer(self) -> tunnels.Outcome:
        """Wait for the other node's answer."""
        while self.outcome is None:
            if self.fault:
                return tunnels.Outcome.DECLINED
            self.arrived.clear()
            await self.arrived.wait()
        return self.outcome


async def connect(peer: str, request: tunnels.TunnelRequest, timeout_ms: float) -> TunneledExchange:
    """Connect to an endpoint through another node.

    Args:
      peer: address of the other node.
    Raises:
      TunnelUnavailable: the other node opened no tunnel in time.
      ConnectFailed: it could not connect to the endpoint.
    """
    loop = asyncio.get_running_loop()
    opened: TunneledExchange | None = None
    outcome = tunnels.Outcome.DECLINED
    try:
        async with asyncio.timeout(timeout_ms / 1000.0):
            transport, opened = await loop.create_connection(
                lambda: TunneledExchange(peer), *addresses.split(peer)
            )
            transport.write(tunnels.pack(request))
            outcome = await opened.wait_for_answer()
    except (OSError, ValueError, TimeoutError) as error:
        raise errors.TunnelUnavailable(f"No tunnel through {peer}: {error!r}.") from error
    finally:
        if opened is not None and outcome is not tunnels.Outcome.CONNECTED:
            opened.close()
    if outcome is tunnels.Outcome.CONNECTED:
        return opened
    if outcome is tunnels.Outcome.DECLINED:
        raise errors.TunnelUnavailable(f"{peer} declined a tunnel to {request.endpoint}.")
    raise errors.ConnectFailed(
        f"{peer} can't connect to {request.endpoint}: {outcome.value}.",
        outcome is tunnels.Outcome.REFUSED,
    )
