"""Callers that read slowly or not at all, with real sockets: buffered bytes are bounded."""

import asyncio
import dataclasses
import gc
import socket
from collections.abc import Callable

import pytest

from plumarch.gateway import relay_test
from plumarch.gateway.connections import exchange, keepalive, outgoing
from plumarch.gateway.dispatch import attempts, buffered_answers
from plumarch.limits import memory_account
from plumarch.standins import scripted_endpoint as scripted

CALLERS = 500
EVENTS = 24
EVENT_BYTES = 16_384
MIN_BUFFER = 4_096
"""Buffer size of callers' sockets, so that unread bytes stay in the gateway, not in the kernel."""

CONNECT_MS = 10_000.0
"""Long enough for the stand-in endpoint to accept 500 connections on a busy event loop."""

MAX_BUFFERED_BYTES = 40 * 2**20
"""For a node whose process may use 200 MB."""


def padded(number: int, size: int = EVENT_BYTES) -> bytes:
    head = f"id: {number}\ndata: ".encode()
    return head + b"x" * (size - len(head) - 2) + b"\n\n"


class Flood:
    """An endpoint that writes an answer as fast as it is read, and counts ended requests."""

    def __init__(self, whole_bytes: int = 0) -> None:
        self.chunks = [scripted.chunk(padded(number)) for number in range(1, EVENTS + 1)]
        self.whole = b"x" * whole_bytes
        self.ended = 0
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
            self.ended += 1
            self.changed.set()

    async def wait_ended(self, count: int) -> None:
        """Wait until count requests have ended."""
        while self.ended < count:
            self.changed.clear()
            await self.changed.wait()


async def non_reading_caller(gateway: relay_test.Gateway, path: str) -> socket.socket:
    """Send a request and read nothing."""
    return await connect_without_reading(gateway.port, path)


async def connect_without_reading(port: int, path: str) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, MIN_BUFFER)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, ("127.0.0.1", port))
    await loop.sock_sendall(sock, relay_test.request_bytes(path))
    return sock


def shrink_socket_buffers(gateway: relay_test.Gateway) -> None:
    """Shrink the send buffers of callers' sockets, which inherit the listening socket's."""
    shrink_send_buffer(gateway.listener.sockets[0])


def shrink_send_buffer(listening: socket.socket) -> None:
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, MIN_BUFFER)


def buffered_bytes(gateway: relay_test.Gateway) -> int:
    """Return the bytes in all write buffers of callers and read buffers of endpoints."""
    buffered = sum(
        one.transport.get_write_buffer_size()
        for one in gateway.callers.connections
        if one.transport is not None
    )
    exchanges = [one for one in gc.get_objects() if isinstance(one, exchange.Exchange)]
    return buffered + sum(len(one.http.trailing_data[0]) for one in exchanges)


@pytest.mark.parametrize(
    ("path", "whole_bytes"), [("/chat/", 0), ("/safe/", 200_000)], ids=["streams", "whole"]
)
def test_memory_is_bounded_with_500_callers_that_read_nothing(
    path: str, whole_bytes: int, monkeypatch: pytest.MonkeyPatch
):
    monkeypatch.setattr(attempts, "CONNECT_TIMEOUT_MS", CONNECT_MS)

    async def test() -> None:
        flood = Flood(whole_bytes)
        async with relay_test.Gateway(flood.answer) as gateway:
            shrink_socket_buffers(gateway)
            raise_capacity(gateway)
            callers = [await non_reading_caller(gateway, path) for _ in range(CALLERS)]
            await flood.wait_ended(CALLERS)
            buffered = buffered_bytes(gateway)
            memory = gateway.state.memory
            assert memory.total() <= memory.budget
            assert buffered < MAX_BUFFERED_BYTES
            for sock in callers:
                sock.close()

    relay_test.play(test)


def raise_capacity(gateway: relay_test.Gateway) -> None:
    """Give the endpoint capacity for all callers."""
    endpoints = gateway.state.registry.endpoints
    endpoints["e0"] = dataclasses.replace(endpoints["e0"], slots=10 * CALLERS)


# A single slow caller


class SlowCaller:
    """A caller that reads on demand."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock

    async def read_answer(self) -> relay_test.Answer:
        """Read the complete answer."""
        reader, writer = await asyncio.open_connection(sock=self.sock, limit=2**20)
        found = await relay_test.read_answer(reader)
        writer.close()
        return found


async def slow_caller(gateway: relay_test.Gateway, path: str) -> SlowCaller:
    shrink_socket_buffers(gateway)
    return SlowCaller(await non_reading_caller(gateway, path))


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition is true; bounded by the test's timeout."""
    while not condition():
        await asyncio.sleep(0.001)


def logged(gateway: relay_test.Gateway, word: bytes) -> bool:
    return word in bytes(gateway.state.log.pending)


def all_released(gateway: relay_test.Gateway) -> bool:
    state = gateway.state
    return state.chooser.own == {} and state.memory.total() == 0 and not state.memory.by_connection


ALL_EVENTS = b"".join(padded(number) for number in range(1, EVENTS + 1))
SMALL_BUDGET = 2 * 2**20
"""A single stream may use about 52 KB of it."""


def test_a_stalled_caller_is_disconnected_and_its_run_cancelled():
    async def test() -> None:
        flood = Flood()
        async with relay_test.Gateway(flood.answer) as gateway:
            gateway.callers.stall_ms = 30.0
            caller = await slow_caller(gateway, "/chat/")
            await flood.wait_ended(1)
            await until(lambda: all_released(gateway) and not gateway.callers.connections)
            assert logged(gateway, b'"reason":"caller_stalled"')
            assert not (await caller.read_answer()).whole

    relay_test.play(test)


def test_a_slow_caller_gets_its_complete_answer_while_the_gateway_drains():
    async def test() -> None:
        flood = Flood(whole_bytes=300_000)
        async with relay_test.Gateway(flood.answer) as gateway:
            gateway.callers.draining = True
            caller = await slow_caller(gateway, "/safe/")
            await until(lambda: logged(gateway, b'"answered"'))
            [connection] = gateway.callers.connections
            await until(lambda: connection.lingering)
            connection._end_linger()
            found = await caller.read_answer()
            assert (found.whole, found.body) == (True, flood.whole)
            await until(lambda: all_released(gateway))

    relay_test.play(test)


@pytest.mark.parametrize("second", ["200 OK", "500 Oops"])
def test_a_failed_answer_reserves_memory_until_its_retry_has_ended(second: str):
    async def test() -> None:
        requested, go_on = asyncio.Event(), asyncio.Event()
        kept = b"x" * 100_000

        async def last(request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            requested.set()
            await go_on.wait()
            writer.write(scripted.answer(request, second, body=kept))

        first = relay_test.answers("500 Oops", body=kept)
        async with relay_test.Gateway(first, last) as gateway:
            answer = asyncio.create_task(gateway.ask("/safe/"))
            await requested.wait()
            reserved = gateway.state.memory.held
            assert reserved[memory_account.Purpose.UNREAD_ANSWERS] >= len(kept)
            go_on.set()
            found = await answer
            assert (found.status, found.body) == (int(second[:3]), kept)
            await until(lambda: all_released(gateway))

    relay_test.play(test)


def test_an_answer_to_a_slow_caller_is_counted_once():
    async def test() -> None:
        flood = Flood(whole_bytes=300_000)
        async with relay_test.Gateway(flood.answer) as gateway:
            memory = gateway.state.memory
            memory.budget = SMALL_BUDGET
            # The workspace's memory limit allows the answer once, but not twice.
            for number in range(2):
                other = memory_account.Reservation(number, "w", memory_account.Purpose.KEPT_BODIES)
                assert memory.resize(other, 270_000)
            caller = await slow_caller(gateway, "/safe/")
            await until(lambda: logged(gateway, b'"answered"'))
            found = await caller.read_answer()
            assert (found.whole, found.body) == (True, flood.whole)

    relay_test.play(test)


def test_a_plain_answer_waits_until_other_callers_free_memory(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(buffered_answers, "ROOM_WAIT_MS", 20_000.0)

    async def test() -> None:
        flood = Flood(whole_bytes=300_000)
        async with relay_test.Gateway(flood.answer) as gateway:
            gateway.state.memory.budget = SMALL_BUDGET
            first = await slow_caller(gateway, "/safe/")
            await until(lambda: logged(gateway, b'"answered"'))
            second = await slow_caller(gateway, "/safe/")
            await until(lambda: bool(gateway.state.memory.waiting))
            assert (await first.read_answer()).body == flood.whole
            assert (await second.read_answer()).body == flood.whole

    relay_test.play(test)


def test_a_plain_answer_without_memory_fails_without_retry_after(
    monkeypatch: pytest.MonkeyPatch,
):
    monkeypatch.setattr(buffered_answers, "ROOM_WAIT_MS", 20.0)

    async def test() -> None:
        flood = Flood(whole_bytes=300_000)
        async with relay_test.Gateway(flood.answer) as gateway:
            gateway.state.memory.budget = SMALL_BUDGET
            stalled = await slow_caller(gateway, "/safe/")
            await until(lambda: logged(gateway, b'"answered"'))
            found = await gateway.ask("/unsafe/")
            stalled.sock.close()
            assert (found.status, "retry-after" in found.headers) == (502, False)
            assert logged(gateway, b'"reason":"no_memory"')
            usable = gateway.state.health.usable(list(gateway.state.registry.endpoints.values()))
            assert len(usable) == 1

    relay_test.play(test)


def test_an_answer_to_head_reserves_no_memory_for_its_content_length():
    async def test() -> None:
        async with relay_test.Gateway(relay_test.answers(body=b"", length=10**9)) as gateway:
            reader, writer = await gateway.connect()
            writer.write(relay_test.request_bytes("/safe/").replace(b"GET", b"HEAD"))
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
            writer.close()

    relay_test.play(test)


def test_the_kernels_timeout_is_extended_only_while_a_caller_has_unread_bytes(
    monkeypatch: pytest.MonkeyPatch,
):
    monkeypatch.setattr(outgoing, "CHECK_MS", 5.0)

    async def test() -> None:
        flood = Flood(whole_bytes=60_000)
        is_checked = asyncio.Event()

        async def answer_once_checked(
            request: scripted.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await is_checked.wait()
            await flood.answer(request, writer)

        async with relay_test.Gateway(answer_once_checked) as gateway:
            # The complete answer fits the kernel's default socket buffer.
            caller = SlowCaller(await non_reading_caller(gateway, "/safe/"))
            await until(lambda: bool(gateway.callers.connections))
            [connection] = gateway.callers.connections
            assert connection.transport is not None
            sock = connection.transport.get_extra_info("socket")

            def limit_ms() -> int:
                found = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
                assert isinstance(found, int)
                return found

            assert limit_ms() == keepalive.USER_TIMEOUT_MS
            is_checked.set()
            extended_ms = keepalive.USER_TIMEOUT_MS + round(gateway.callers.stall_ms)
            await until(lambda: limit_ms() == extended_ms)
            reader, writer = await asyncio.open_connection(sock=caller.sock, limit=2**20)
            assert (await relay_test.read_answer(reader)).body == flood.whole
            await until(lambda: limit_ms() == keepalive.USER_TIMEOUT_MS)
            writer.close()

    relay_test.play(test)
