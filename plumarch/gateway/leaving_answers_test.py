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

from plumarch.gateway import relay_test

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
