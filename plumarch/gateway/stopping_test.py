"""What a stopping node still takes: only requests that it can answer before it ends."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator

import pytest

from plumarch.config import routing_table
from plumarch.core import clock, traffic
from plumarch.gateway import relay_test
from plumarch.gateway.callers import admission, caller_requests
from plumarch.standins import gateway_parts
from plumarch.standins import scripted_endpoint as scripted

GRACE_MS = 7_500
CLOSES_MS = 2_600


class HeldStream:
    """An endpoint whose streams go on until they are released, and that answers all else."""

    def __init__(self) -> None:
        self.began = asyncio.Event()
        self.released = asyncio.Event()

    async def answer(self, request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if "/chat/" not in request.line:
            writer.write(scripted.answer(request))
            return
        writer.write(scripted.stream_head(request) + scripted.chunk(scripted.event(1)))
        self.began.set()
        await self.released.wait()
        writer.write(scripted.chunk(scripted.event(2)) + scripted.chunk(b""))


@contextlib.asynccontextmanager
async def stopping_gateway(
    ahead: bytes = b"",
) -> AsyncIterator[tuple[relay_test.Gateway, asyncio.StreamReader, asyncio.StreamWriter]]:
    """Play a stop while a caller reads a stream whose head was sent before it.

    Args:
      ahead: bytes of a further request that the caller sends before the stream has ended.
    """
    held = HeldStream()
    async with relay_test.Gateway(held.answer) as gateway:
        reader, writer = await gateway.connect()
        writer.write(relay_test.request_bytes("/chat/"))
        await held.began.wait()
        await reader.readuntil(b"word-1\n\n")
        writer.write(ahead)
        await writer.drain()
        gateway.callers.draining = True
        gateway.state.stops_at_ms = gateway.state.clock.now() + GRACE_MS - CLOSES_MS
        gateway.callers.close_idle()
        held.released.set()
        await reader.readuntil(b"0\r\n\r\n")
        yield gateway, reader, writer
        writer.close()


def test_a_connection_that_is_busy_when_idle_ones_are_closed_takes_no_request_after_it():
    """A request on it was passed on and cut at the end of the grace period."""

    async def test() -> None:
        async with stopping_gateway() as (gateway, reader, writer):
            with contextlib.suppress(ConnectionError):
                writer.write(relay_test.request_bytes("/unsafe/"))
                assert await reader.read() == b""
            assert gateway.sends() == 1

    relay_test.play(test)


def test_a_request_received_behind_a_stream_is_answered_before_its_connection_closes():
    async def test() -> None:
        late = relay_test.request_bytes("/unsafe/")
        async with stopping_gateway(late) as (gateway, reader, _):
            found = await relay_test.read_answer(reader)
            assert (found.status, found.headers["connection"]) == (503, "close")
            assert await reader.read() == b""
            assert gateway.sends() == 1

    relay_test.play(test)


def admit(
    arrived_ms: int, kind: traffic.RouteKind, timeout_ms: int, deadline_ms: int
) -> admission.Admitted | admission.Refusal:
    """Admit a request so long after a SIGTERM, at a node that ends GRACE_MS after it."""
    now = clock.ManualClock(100_000)
    state = gateway_parts.new_state(now)
    route = traffic.Route(
        "r", "h", "/r/", kind, timeout_ms, 100, (traffic.ServiceShare("s", 1.0),), public=True
    )
    state.adopt_table(
        routing_table.build(
            routing_table.Configuration(
                1, (route,), (traffic.Service("s"),), (), traffic.CallerLimits()
            )
        ),
        "store",
    )
    if arrived_ms >= CLOSES_MS:
        state.stops_at_ms = now.now() + GRACE_MS
    now.advance_to(now.now() + arrived_ms)
    headers = ((b"host", b"h"), (b"x-deadline-ms", str(deadline_ms).encode()))
    request = caller_requests.CallerRequest(b"GET", b"/r/x", headers, b"", now.now())
    return admission.admit(state, request)


@pytest.mark.parametrize("kind", list(traffic.RouteKind))
def test_no_request_is_taken_whose_time_ends_after_the_process(kind: traffic.RouteKind):
    """Plain requests were taken until 1.5 s before the end, whatever their timeouts."""
    taken = refused = 0
    times = itertools.product(range(0, GRACE_MS, 100), (500, 3_000, 6_000), (200, 2_000, 9_000))
    for arrived_ms, timeout_ms, deadline_ms in times:
        found = admit(arrived_ms, kind, timeout_ms, deadline_ms)
        fits = arrived_ms + min(timeout_ms, deadline_ms) < GRACE_MS
        if isinstance(found, admission.Admitted):
            assert arrived_ms < CLOSES_MS or fits
            taken += 1
        else:
            assert (found.status, found.reason) == (503, "stopping")
            assert arrived_ms >= CLOSES_MS
            assert arrived_ms + min(timeout_ms, deadline_ms) > GRACE_MS - 200
            refused += 1
    assert taken and refused


def test_a_short_request_is_taken_until_its_time_no_longer_fits():
    safe = traffic.RouteKind.SAFE
    assert isinstance(admit(GRACE_MS - 1_000, safe, 600, 9_000), admission.Admitted)
    assert isinstance(admit(GRACE_MS - 500, safe, 600, 9_000), admission.Refusal)
