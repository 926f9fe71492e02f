"""Streams whose callers read slowly: abandoned and resumed, paused, or aborted."""

import asyncio
import gc
import socket

import pytest

from plumarch.gateway import relay_test
from plumarch.gateway.callers import slow_callers_test
from plumarch.gateway.connections import exchange
from plumarch.gateway.dispatch import request_run, stream_relay
from plumarch.standins import scripted_endpoint as scripted

CHAT_ATTEMPTS = 3
"""Send limit of a request of the chat route."""


def test_a_resumable_stream_is_abandoned_and_resumed_in_the_same_answer():
    async def test() -> None:
        flood = slow_callers_test.Flood()
        async with relay_test.Gateway(flood.answer) as gateway:
            gateway.state.memory.budget = slow_callers_test.SMALL_BUDGET
            caller = await slow_callers_test.slow_caller(gateway, "/chat/")
            await flood.wait_ended(1)
            await slow_callers_test.until(lambda: gateway.state.chooser.own == {})
            assert (
                gateway.state.memory.total()
                <= slow_callers_test.SMALL_BUDGET // 32 + 2 * slow_callers_test.EVENT_BYTES
            )
            assert slow_callers_test.logged(gateway, b"stream_let_go")
            assert not slow_callers_test.logged(gateway, b"stream_resumed")
            found = await caller.read_answer()
            assert (found.whole, found.body) == (True, slow_callers_test.ALL_EVENTS)
            resumed = [int(one.headers.get("last-event-id", 0)) for one in received(gateway)]
            assert resumed == sorted(set(resumed))
            assert 1 < len(resumed) <= CHAT_ATTEMPTS
            assert len(gateway.state.budget.services["s"].repeats) == len(resumed) - 1
            assert gateway.began() == 1
            await slow_callers_test.until(lambda: slow_callers_test.all_released(gateway))
            counts = gateway.state.measures.streams.counts
            assert counts[("let_go",)] == counts[("resumed",)] == len(resumed) - 1

    relay_test.play(test)


def received(gateway: relay_test.Gateway) -> list[scripted.ReceivedRequest]:
    return [one for endpoint in gateway.endpoints for one in endpoint.received]


def test_an_abandoned_stream_without_an_endpoint_is_aborted(
    monkeypatch: pytest.MonkeyPatch,
):
    monkeypatch.setattr(request_run, "RESUME_WAIT_MS", 20.0)
    monkeypatch.setattr(request_run, "RESUME_CHECK_MS", 1.0)

    async def test() -> None:
        flood = slow_callers_test.Flood()
        async with relay_test.Gateway(flood.answer) as gateway:
            gateway.state.memory.budget = slow_callers_test.SMALL_BUDGET
            caller = await slow_callers_test.slow_caller(gateway, "/chat/")
            await flood.wait_ended(1)
            await slow_callers_test.until(
                lambda: slow_callers_test.logged(gateway, b"stream_let_go")
            )
            gateway.state.registry.replace([], 2, "store")
            found = await caller.read_answer()
            assert not found.whole
            assert slow_callers_test.ALL_EVENTS.startswith(found.body)
            await slow_callers_test.until(lambda: slow_callers_test.all_released(gateway))

    relay_test.play(test)


def test_an_abandoned_stream_waits_for_capacity_when_its_caller_reads_again(
    monkeypatch: pytest.MonkeyPatch,
):
    monkeypatch.setattr(request_run, "RESUME_WAIT_MS", 20_000.0)
    monkeypatch.setattr(request_run, "RESUME_CHECK_MS", 1.0)

    async def test() -> None:
        flood = slow_callers_test.Flood()
        async with relay_test.Gateway(flood.answer) as gateway:
            gateway.state.memory.budget = slow_callers_test.SMALL_BUDGET
            caller = await slow_callers_test.slow_caller(gateway, "/chat/")
            await slow_callers_test.until(
                lambda: slow_callers_test.logged(gateway, b"stream_let_go")
            )
            endpoints = list(gateway.state.registry.endpoints.values())
            gateway.state.registry.replace([], 2, "store")
            reading = asyncio.get_running_loop().create_task(caller.read_answer())
            await slow_callers_test.until(
                lambda: slow_callers_test.logged(gateway, b'"no_endpoint"')
            )
            gateway.state.registry.replace(endpoints, 3, "store")
            found = await reading
            assert (found.whole, found.body) == (True, slow_callers_test.ALL_EVENTS)

    relay_test.play(test)


def test_a_stream_that_is_not_resumable_waits_for_a_slow_caller():
    async def test() -> None:
        flood = slow_callers_test.Flood()
        async with relay_test.Gateway(flood.answer) as gateway:
            gateway.state.memory.budget = slow_callers_test.SMALL_BUDGET
            caller = await slow_callers_test.slow_caller(gateway, "/diff/")
            await slow_callers_test.until(lambda: paused(gateway))
            assert gateway.state.memory.total() <= slow_callers_test.SMALL_BUDGET // 16
            found = await caller.read_answer()
            assert (found.whole, found.body) == (True, slow_callers_test.ALL_EVENTS)
            assert len(received(gateway)) == 1
            await slow_callers_test.until(lambda: slow_callers_test.all_released(gateway))

    relay_test.play(test)


def paused(gateway: relay_test.Gateway) -> bool:
    return any(one.is_paused for one in gc.get_objects() if isinstance(one, exchange.Exchange))


def test_a_stream_that_is_not_resumable_is_aborted_if_its_caller_does_not_read(
    monkeypatch: pytest.MonkeyPatch,
):
    monkeypatch.setattr(stream_relay, "PAUSE_LIMIT_MS", 30.0)

    async def test() -> None:
        flood = slow_callers_test.Flood()
        async with relay_test.Gateway(flood.answer) as gateway:
            gateway.state.memory.budget = slow_callers_test.SMALL_BUDGET
            caller = await slow_callers_test.slow_caller(gateway, "/diff/")
            await flood.wait_ended(1)
            await slow_callers_test.until(lambda: slow_callers_test.all_released(gateway))
            assert slow_callers_test.logged(gateway, b'"caller_cut"')
            assert slow_callers_test.logged(gateway, b'"reason":"caller_too_slow"')
            assert gateway.state.measures.callers_disconnected.counts == {("caller_too_slow",): 1.0}
            assert not (await caller.read_answer()).whole

    relay_test.play(test)


def test_a_caller_that_does_not_read_delays_no_other_caller():
    async def test() -> None:
        requested = asyncio.Event()

        async def one_by_one(
            request: scripted.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(scripted.stream_head(request))
            for number in range(1, slow_callers_test.EVENTS + 1):
                await requested.wait()
                requested.clear()
                writer.write(scripted.chunk(slow_callers_test.padded(number)))
                await writer.drain()
            writer.write(scripted.chunk(b""))

        flood = slow_callers_test.Flood()

        async def either(request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await (one_by_one if "/diff/" in request.line else flood.answer)(request, writer)

        async with relay_test.Gateway(either) as gateway:
            # Slow callers use up the memory for answers first.
            gateway.state.memory.budget = slow_callers_test.SMALL_BUDGET
            slow = [await slow_callers_test.slow_caller(gateway, "/chat/") for _ in range(4)]
            await flood.wait_ended(4)
            reader, writer = await gateway.connect()
            writer.write(relay_test.request_bytes("/diff/"))
            # Each event is sent only after the previous one arrived.
            for number in range(1, slow_callers_test.EVENTS + 1):
                requested.set()
                await reader.readuntil(slow_callers_test.padded(number))
            writer.close()
            for one in slow:
                one.sock.close()

    relay_test.play(test)


@pytest.mark.parametrize("path", ["/chat/", "/diff/"])
def test_a_caller_that_closes_its_side_stops_its_run_despite_unread_bytes(path: str):
    async def test() -> None:
        flood = slow_callers_test.Flood()
        async with relay_test.Gateway(flood.answer) as gateway:
            gateway.state.memory.budget = slow_callers_test.SMALL_BUDGET
            caller = await slow_callers_test.slow_caller(gateway, path)
            await slow_callers_test.until(
                lambda: paused(gateway) or slow_callers_test.logged(gateway, b"stream_let_go")
            )
            caller.sock.shutdown(socket.SHUT_WR)
            await slow_callers_test.until(lambda: slow_callers_test.logged(gateway, b'"answered"'))
            assert slow_callers_test.logged(gateway, b"caller_left")
            assert gateway.state.chooser.own == {}
            caller.sock.close()

    relay_test.play(test)
