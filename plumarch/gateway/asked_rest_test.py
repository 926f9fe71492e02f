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
