"""Endpoints that refuse requests and ask for some seconds of rest.

Two of six engines turned every request away for nine seconds, each time with a Retry-After of three
seconds. A node sent them a further request 0.1 to 1.4 s later, again and again, since an engine
that runs nothing is the cheapest choice; each such request cost a repeat, and its caller an answer
once no repeat was left. A refusal was taken as one request's only, and its Retry-After was read by
nobody. What settled it were these lines of one node, with the refusal at 6.061 s:

    6.06 sent endpoint=i-de cost=27.8 candidates=6 attempt=1
    6.06 sent endpoint=i-bf cost=26.1 candidates=5 attempt=2 after=not_run
    7.16 sent endpoint=i-de cost=17.8 candidates=6 attempt=1
    7.36 sent endpoint=i-de cost=18.0 candidates=6 attempt=1
    7.47 sent endpoint=i-de cost=8.4 candidates=6 attempt=1

The later ones are first attempts of requests that came long after the refusal, among all six.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

from plumarch.gateway import relay_test

STAYS = relay_test.answers()


def resting(seconds: str, status: str = "503 Service Unavailable"):
    """Return what refuses all requests and asks for rest."""
    return relay_test.answers(status, headers=("x-not-run: 1", f"retry-after: {seconds}"))


def play(test: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), 30))


def test_an_endpoint_that_asked_for_rest_gets_nothing_in_that_time():
    async def test() -> None:
        async with relay_test.Gateway(resting("300"), STAYS) as gateway:
            answers = [await gateway.ask("/safe/x") for _ in range(6)]
            assert [one.status for one in answers] == [200] * 6
            assert [len(one.received) for one in gateway.endpoints] == [1, 6]

    play(test)


def test_a_rest_that_is_over_ends():
    async def test() -> None:
        async with relay_test.Gateway(resting("0.2"), STAYS) as gateway:
            await gateway.ask("/safe/x")
            [rest] = gateway.state.backoff.known.values()
            gateway.state.backoff.known["e0"] = dataclasses.replace(
                rest, until_ms=gateway.state.clock.now()
            )
            await gateway.ask("/safe/x")
            assert [len(one.received) for one in gateway.endpoints] == [2, 2]

    play(test)


def test_what_is_no_time_asks_for_none():
    async def test() -> None:
        for value in ("-3", "nan", "inf", "Wed, 21 Oct 2015 07:28:00 GMT", "soon", "0"):
            async with relay_test.Gateway(resting(value), STAYS) as gateway:
                assert (await gateway.ask("/safe/x")).status == 200
                assert gateway.state.backoff.known == {}, value

    play(test)


def test_only_a_refusal_asks_for_rest():
    async def test() -> None:
        answering = relay_test.answers(headers=("retry-after: 300",))
        async with relay_test.Gateway(answering, STAYS) as gateway:
            await gateway.ask("/safe/x")
            assert gateway.state.backoff.known == {}

    play(test)


def test_a_refusal_that_promises_nothing_asks_for_it_as_well():
    async def test() -> None:
        answering = relay_test.answers("503 Full", headers=("retry-after: 300",))
        async with relay_test.Gateway(answering, STAYS) as gateway:
            await gateway.ask("/safe/x")
            assert list(gateway.state.backoff.known) == ["e0"]

    play(test)


def test_when_all_rest_callers_are_told_at_once_when_the_first_one_has_rested():
    async def test() -> None:
        async with relay_test.Gateway(resting("300"), resting("3")) as gateway:
            found = [await gateway.ask("/unsafe/x") for _ in range(4)]
            assert [one.status for one in found] == [503] * 4
            assert [len(one.received) for one in gateway.endpoints] == [1, 1]
            assert all(2.9 < float(one.headers["retry-after"]) < 4 for one in found)

    play(test)


def test_of_many_that_come_at_once_none_is_sent_after_the_first_refusal():
    """The connections of all of them come up before the first one is refused."""

    async def test() -> None:
        async with relay_test.Gateway(resting("300"), STAYS) as gateway:
            refused = asyncio.Event()
            with gateway.delay_connects(refused):
                asked = [asyncio.create_task(gateway.ask("/safe/x")) for _ in range(6)]
                first = await asyncio.wait(asked, return_when=asyncio.FIRST_COMPLETED)
                assert first[0]
                refused.set()
                assert [(await one).status for one in asked] == [200] * 6
            assert len(gateway.endpoints[0].received) == 1
            assert len(gateway.endpoints[1].received) == 6

    play(test)
