"""Endpoints that say in their answers that they leave, while the store says nothing of it.

The store was silent for 13 s when an endpoint was told to leave, so its own entry could not change;
it said so in each of its answers. A node that had passed one of them on sent it further requests
2.0, 3.4 and 5.9 s later. The header was read by nobody: who leaves was learned from the store's
list alone. What settled it were these lines, the second one two seconds after the first one:

    sent endpoint=i-d7 attempt=1 candidates=6 registry_revision=37 registry_age_ms=2902
    sent endpoint=i-d7 attempt=1 candidates=6 registry_revision=37 registry_age_ms=4938

The revision is the same, so no list had brought the endpoint back, and both requests had just come,
so none of them was under way when the answer came.
"""

import asyncio
from collections.abc import Awaitable, Callable
from unittest import mock

from plumarch.gateway import relay_test
from plumarch.gateway.connections import exchange
from plumarch.standins import scripted_endpoint as scripted

LEAVES = relay_test.answers(headers=("x-leaving: 1",))
STAYS = relay_test.answers()


def play(test: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), 30))


def test_an_endpoint_that_says_it_leaves_gets_nothing_more_though_the_store_lists_it_as_ready():
    async def test() -> None:
        async with relay_test.Gateway(LEAVES, STAYS) as gateway:
            answers = [await gateway.ask("/safe/x") for _ in range(5)]
            assert [one.status for one in answers] == [200] * 5
            assert [len(one.received) for one in gateway.endpoints] == [1, 4]

    play(test)


def test_answers_of_every_kind_say_so():
    says = ("x-leaving: 1",)
    kinds = {
        "a failure": relay_test.answers("500 Oops", headers=says),
        "a refusal": relay_test.answers("503 Full", headers=(*says, "x-not-run: 1")),
        "a refusal that promises nothing": relay_test.answers("503 Full", headers=says),
        "another request's": relay_test.answers(headers=says),
    }

    async def test() -> None:
        for kind, answering in kinds.items():
            async with relay_test.Gateway(answering, STAYS) as gateway:
                await gateway.ask("/safe/x")
                assert [one.id for one in gateway.state.registry.ready("s")] == ["e1"], kind

    play(test)


def test_a_stream_says_so_with_its_first_event():
    async def answering(request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        head = scripted.stream_head(request).removesuffix(scripted.HEAD_END)
        writer.write(head + b"\r\nx-leaving: 1" + scripted.HEAD_END)
        writer.write(scripted.chunk(scripted.event(1)) + scripted.chunk(b""))

    async def test() -> None:
        async with relay_test.Gateway(answering, relay_test.streams(1, 1)) as gateway:
            assert [(await gateway.ask("/chat/x")).whole for _ in range(3)] == [True] * 3
            assert [len(one.received) for one in gateway.endpoints] == [1, 2]

    play(test)


def test_another_process_at_the_address_says_nothing_of_the_endpoint():
    misdirected = relay_test.answers("421 Misdirected Request", headers=("x-leaving: 1",))

    async def test() -> None:
        async with relay_test.Gateway(misdirected, STAYS) as gateway:
            await gateway.ask("/safe/x")
            assert len(gateway.state.registry.ready("s")) == 2

    play(test)


def test_when_all_leave_the_caller_is_told_at_once_that_its_request_has_not_run():
    async def test() -> None:
        async with relay_test.Gateway(LEAVES, LEAVES) as gateway:
            found = [await gateway.ask("/safe/x") for _ in range(4)]
            assert [one.status for one in found] == [200, 200, 503, 503]
            assert float(found[-1].headers["retry-after"]) > 0
            assert gateway.sends() == 2

    play(test)


def test_a_request_that_was_connecting_when_the_word_came_goes_elsewhere():
    async def test() -> None:
        async with relay_test.Gateway(STAYS, STAYS) as gateway:
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
