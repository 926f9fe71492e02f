"""A request that ended whole, and whose answer is lost with its home, is run again on demand."""

import dataclasses

from plumarch.core import data
from plumarch.standins import virtual


def forget_answers(world: virtual.World) -> None:
    """Leave the records of ended requests without their answers, as the platform's object does."""
    for host in world.hosts.values():
        ledger = host.node.ledger
        for slot in (*ledger.owned.values(), *ledger.held.values()):
            for record in slot.table.listing():
                slot.table.put(dataclasses.replace(record, reply=None), world.clock.now())


def test_a_caller_that_asks_again_gets_the_answer_though_its_home_is_lost():
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
