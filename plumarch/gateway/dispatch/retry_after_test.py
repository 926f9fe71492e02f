"""Endpoints that reject requests with a Retry-After get no request until it has passed."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

from plumarch.gateway import relay_test

ANSWERS = relay_test.answers()


def backing_off(seconds: str, status: str = "503 Service Unavailable"):
    """Return an endpoint that rejects all requests with a Retry-After."""
    return relay_test.answers(status, headers=("x-not-run: 1", f"retry-after: {seconds}"))


def play(test: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), 30))


def test_an_endpoint_gets_no_request_during_its_backoff():
    async def test() -> None:
        async with relay_test.Gateway(backing_off("300"), ANSWERS) as gateway:
            answers = [await gateway.ask("/safe/x") for _ in range(6)]
            assert [one.status for one in answers] == [200] * 6
            assert [len(one.received) for one in gateway.endpoints] == [1, 6]

    play(test)


def test_an_endpoint_gets_requests_after_its_backoff():
    async def test() -> None:
        async with relay_test.Gateway(backing_off("0.2"), ANSWERS) as gateway:
            await gateway.ask("/safe/x")
            [backoff] = gateway.state.backoff.known.values()
            gateway.state.backoff.known["e0"] = dataclasses.replace(
                backoff, until_ms=gateway.state.clock.now()
            )
            await gateway.ask("/safe/x")
            assert [len(one.received) for one in gateway.endpoints] == [2, 2]

    play(test)


def test_an_invalid_retry_after_starts_no_backoff():
    async def test() -> None:
        for value in ("-3", "nan", "inf", "Wed, 21 Oct 2015 07:28:00 GMT", "soon", "0"):
            async with relay_test.Gateway(backing_off(value), ANSWERS) as gateway:
                assert (await gateway.ask("/safe/x")).status == 200
                assert gateway.state.backoff.known == {}, value

    play(test)


def test_retry_after_of_a_successful_answer_starts_no_backoff():
    async def test() -> None:
        answering = relay_test.answers(headers=("retry-after: 300",))
        async with relay_test.Gateway(answering, ANSWERS) as gateway:
            await gateway.ask("/safe/x")
            assert gateway.state.backoff.known == {}

    play(test)


def test_a_rejection_that_may_have_run_starts_a_backoff():
    async def test() -> None:
        answering = relay_test.answers("503 Full", headers=("retry-after: 300",))
        async with relay_test.Gateway(answering, ANSWERS) as gateway:
            await gateway.ask("/safe/x")
            assert list(gateway.state.backoff.known) == ["e0"]

    play(test)


def test_if_all_back_off_callers_get_the_time_left_of_the_first_backoff():
    async def test() -> None:
        async with relay_test.Gateway(backing_off("300"), backing_off("3")) as gateway:
            found = [await gateway.ask("/unsafe/x") for _ in range(4)]
            assert [one.status for one in found] == [503] * 4
            assert [len(one.received) for one in gateway.endpoints] == [1, 1]
            assert all(2.9 < float(one.headers["retry-after"]) < 4 for one in found)

    play(test)


def test_concurrent_requests_are_not_sent_after_the_first_rejection():
    """All connections come up before the first request is rejected."""

    async def test() -> None:
        async with relay_test.Gateway(backing_off("300"), ANSWERS) as gateway:
            rejected = asyncio.Event()
            with gateway.delay_connects(rejected):
                requests = [asyncio.create_task(gateway.ask("/safe/x")) for _ in range(6)]
                first = await asyncio.wait(requests, return_when=asyncio.FIRST_COMPLETED)
                assert first[0]
                rejected.set()
                assert [(await one).status for one in requests] == [200] * 6
            assert len(gateway.endpoints[0].received) == 1
            assert len(gateway.endpoints[1].received) == 6

    play(test)
