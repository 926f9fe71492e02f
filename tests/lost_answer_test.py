"""A repeatable request whose answer was lost with its home runs again when the caller retries."""

import dataclasses

from plumarch.core import data
from plumarch.standins import virtual


def forget_answers(world: virtual.World) -> None:
    """Remove the answers from all records, as in the platform's slot objects."""
    for host in world.hosts.values():
        ledger = host.node.ledger
        for slot in (*ledger.owned.values(), *ledger.held.values()):
            for record in slot.table.listing():
                slot.table.put(dataclasses.replace(record, reply=None), world.clock.now())


def test_retry_gets_an_answer_after_the_home_was_lost():
    world = virtual.build({"a1": "a", "b1": "b", "c1": "c"})
    review = virtual.request(world, "c1", data.RequestClass.REVIEW, "r7")
    first = world.call("c1", review)
    world.run(5_000)
    assert first.ends == [data.Outcome.DONE]
    forget_answers(world)
    world.kill("c1")
    world.run(8_000)
    again = world.reattach("a1", first)
    again.tokens.clear()
    world.run(40_000)
    assert again.ends == [data.Outcome.DONE]
