"""Callers that read slowly or not at all, with real sockets: what is held for them is bounded."""

import asyncio
import dataclasses
import gc
import socket
import tracemalloc

import pytest

from plumarch.gateway import exchange, relay_test
from plumarch.standins import scripted_endpoint as scripted

CALLERS = 500
EVENTS = 40
EVENT_BYTES = 16_384
LEAST_BUFFER = 4_096
"""Of callers' sockets, so that what they don't read stays in the gateway, not in the kernel."""

MOST_HELD = 40 * 2**20
"""Of a node whose process may take 200 MB."""


def padded(number: int, size: int = EVENT_BYTES) -> bytes:
    head = f"id: {number}\ndata: ".encode()
    return head + b"x" * (size - len(head) - 2) + b"\n\n"


class Flood:
    """An endpoint that writes an answer as fast as it is read, and counts its runs."""

    def __init__(self, whole_bytes: int = 0) -> None:
        self.chunks = [scripted.chunk(padded(number)) for number in range(1, EVENTS + 1)]
        self.whole = b"x" * whole_bytes
        self.over = 0
        self.changed = asyncio.Event()

    async def answer(self, request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.transport.set_write_buffer_limits(0)
        try:
            if self.whole:
                writer.write(scripted.answer(request, body=self.whole))
                await writer.drain()
                return
            begin = int(request.headers.get("last-event-id", "0"))
            writer.write(scripted.stream_head(request))
            for chunk in self.chunks[begin:]:
                writer.write(chunk)
                await writer.drain()
            writer.write(scripted.chunk(b""))
            await writer.drain()
        finally:
            self.over += 1
            self.changed.set()

    async def wait_over(self, count: int) -> None:
        """Wait until so many runs have ended."""
        while self.over < count:
            self.changed.clear()
            await self.changed.wait()


async def silent_caller(gateway: relay_test.Gateway, path: str) -> socket.socket:
    """Connect, ask, and read nothing."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, LEAST_BUFFER)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, ("127.0.0.1", gateway.port))
    await loop.sock_sendall(sock, relay_test.request_bytes(path))
    return sock


def small_socket_buffers(gateway: relay_test.Gateway) -> None:
    """Let callers' sockets keep little, as accepted ones take it over."""
    listening = gateway.listener.sockets[0]
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, LEAST_BUFFER)


def bytes_held(gateway: relay_test.Gateway) -> int:
    """Return the bytes in all buffers towards callers and from endpoints."""
    held = sum(
        one.transport.get_write_buffer_size()
        for one in gateway.callers.connections
        if one.transport is not None
    )
    exchanges = [one for one in gc.get_objects() if isinstance(one, exchange.Exchange)]
    return held + sum(len(one.http.trailing_data[0]) for one in exchanges)


@pytest.mark.parametrize(
    ("path", "whole_bytes"), [("/chat/", 0), ("/safe/", 200_000)], ids=["streams", "whole"]
)
def test_500_callers_that_read_nothing_leave_the_node_within_bounds(path: str, whole_bytes: int):
    async def test() -> None:
        flood = Flood(whole_bytes)
        async with relay_test.Gateway(flood.answer) as gateway:
            small_socket_buffers(gateway)
            widen(gateway)
            tracemalloc.start()
            callers = [await silent_caller(gateway, path) for _ in range(CALLERS)]
            await flood.wait_over(CALLERS)
            held = bytes_held(gateway)
            _, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            print(f"held {held / 2**20:.1f} MB, peak {peak / 2**20:.1f} MB")
            assert held < MOST_HELD
            assert peak < 2 * MOST_HELD
            for sock in callers:
                sock.close()

    relay_test.play(test)


def widen(gateway: relay_test.Gateway) -> None:
    """Let the endpoint have places for all callers."""
    endpoints = gateway.state.registry.endpoints
    endpoints["e0"] = dataclasses.replace(endpoints["e0"], slots=10 * CALLERS)
