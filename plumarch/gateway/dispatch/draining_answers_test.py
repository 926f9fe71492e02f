"""Endpoints that report in their answers that they drain, while the store lists them as ready."""

import asyncio
from collections.abc import Awaitable, Callable
from unittest import mock

from plumarch.gateway import relay_test
from plumarch.gateway.connections import exchange
from plumarch.standins import scripted_endpoint as scripted

DRAINING = relay_test.answers(headers=("x-leaving: 1",))
READY = relay_test.answers()


def play(test: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), 30))


def test_a_draining_endpoint_gets_no_more_requests():
    async def test() -> None:
        async with relay_test.Gateway(DRAINING, READY) as gateway:
            answers = [await gateway.ask("/safe/x") for _ in range(5)]
            assert [one.status for one in answers] == [200] * 5
            assert [len(one.received) for one in gateway.endpoints] == [1, 4]

    play(test)


def test_the_drain_header_is_applied_in_answers_of_every_kind():
    drain_header = ("x-leaving: 1",)
    kinds = {
        "a server error": relay_test.answers("500 Oops", headers=drain_header),
        "a rejection": relay_test.answers("503 Full", headers=(*drain_header, "x-not-run: 1")),
        "a rejection that may have run": relay_test.answers("503 Full", headers=drain_header),
        "an answer": relay_test.answers(headers=drain_header),
    }

    async def test() -> None:
        for kind, answering in kinds.items():
            async with relay_test.Gateway(answering, READY) as gateway:
                await gateway.ask("/safe/x")
                assert [one.id for one in gateway.state.registry.ready("s")] == ["e1"], kind

    play(test)


def test_the_drain_header_of_a_stream_is_applied():
    async def answering(request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        head = scripted.stream_head(request).removesuffix(scripted.HEAD_END)
        writer.write(head + b"\r\nx-leaving: 1" + scripted.HEAD_END)
        writer.write(scripted.chunk(scripted.event(1)) + scripted.chunk(b""))

    async def test() -> None:
        async with relay_test.Gateway(answering, relay_test.streams(1, 1)) as gateway:
            assert [(await gateway.ask("/chat/x")).whole for _ in range(3)] == [True] * 3
            assert [len(one.received) for one in gateway.endpoints] == [1, 2]

    play(test)


def test_a_misdirected_answer_does_not_drain_the_endpoint():
    misdirected = relay_test.answers("421 Misdirected Request", headers=("x-leaving: 1",))

    async def test() -> None:
        async with relay_test.Gateway(misdirected, READY) as gateway:
            await gateway.ask("/safe/x")
            assert len(gateway.state.registry.ready("s")) == 2

    play(test)


def test_if_all_endpoints_drain_requests_are_rejected_unrun():
    async def test() -> None:
        async with relay_test.Gateway(DRAINING, DRAINING) as gateway:
            found = [await gateway.ask("/safe/x") for _ in range(4)]
            assert [one.status for one in found] == [200, 200, 503, 503]
            assert float(found[-1].headers["retry-after"]) > 0
            assert gateway.sends() == 2

    play(test)


def test_a_request_that_is_connecting_to_a_draining_endpoint_goes_elsewhere():
    async def test() -> None:
        async with relay_test.Gateway(READY, READY) as gateway:
            first = gateway.state.registry.endpoints["e0"]
            connect = exchange.connect

            async def slowly(address: str, timeout_ms: float) -> exchange.Exchange:
                found = await connect(address, timeout_ms)
                gateway.state.registry.note_draining(first, 1)
                return found

            with mock.patch.object(exchange, "connect", slowly):
                assert (await gateway.ask("/safe/x")).status == 200
            assert [len(one.received) for one in gateway.endpoints] == [0, 1]
            assert gateway.state.health.record("e0") == 0.0

    play(test)
