"""Endpoints that reject requests without Retry-After despite free capacity are not preferred."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable

from plumarch.gateway import relay_test
from plumarch.standins import scripted_endpoint as scripted

REQUESTS = 30


def rejecting(of_three: int) -> scripted.Answering:
    """Return an endpoint that rejects so many of each three requests."""
    numbers = itertools.count()

    async def answering(request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if next(numbers) % 3 < of_three:
            rejection = scripted.answer(request, "503 Full", headers=("x-not-run: 1",))
            writer.write(rejection)
        else:
            writer.write(scripted.answer(request))

    return answering


def play(test: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), 30))


def test_a_rejecting_endpoint_is_avoided_while_another_is_free():
    async def test() -> None:
        async with relay_test.Gateway(rejecting(2), relay_test.answers()) as gateway:
            answers = [await gateway.ask("/safe/x") for _ in range(REQUESTS)]
            assert {one.status for one in answers} == {200}
            # After two failures in twenty answers the healthier endpoint is preferred.
            assert len(gateway.endpoints[0].received) <= 4

    play(test)


def test_if_all_reject_some_requests_each_still_gets_some():
    async def test() -> None:
        async with relay_test.Gateway(rejecting(1), rejecting(1)) as gateway:
            answers = [await gateway.ask("/safe/x") for _ in range(REQUESTS)]
            served = [one for one in answers if one.status == 200]
            assert len(served) >= REQUESTS * 2 // 3
            assert all(one.received for one in gateway.endpoints)

    play(test)
