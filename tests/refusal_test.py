"""A refusal under way is final: what waits for its record is not handed over any more."""

import dataclasses

from plumarch.core import data, events
from plumarch.node import dispatch
from plumarch.proof import invariants
from plumarch.recovery import keys
from plumarch.standins import virtual

LONG_MS = 300
"""How long the only place is taken: longer than a call waits for one (100 ms)."""


def world_with_one_place() -> virtual.World:
    """Return a world with a single plain service that runs one call at a time."""
    world = virtual.build({"a1": "a", "b1": "b", "c1": "c"}, services_each=1)
    for name in ("b-tickets-0", "c-tickets-0"):
        world.kill_endpoint(name)
    service = world.endpoints["a-tickets-0"]
    service.info = dataclasses.replace(service.info, capacity=1)
    service.slow = LONG_MS / virtual.SERVICE_MS
    world.tell_list()
    world.run(100)
    return world


def key_owned_elsewhere(world: virtual.World) -> str:
    """Return a key whose slot another node than a1 owns."""
    mine = {slot for slot, _ in world.hosts["a1"].node.ledger.owned_list()}
    return next(key for key in map(str, range(100)) if keys.slot_of("okefenokee", key) not in mine)


def test_a_call_whose_refusal_waits_for_its_record_is_not_handed_over():
    world = world_with_one_place()
    key = key_owned_elsewhere(world)
    world.call("a1", virtual.request(world, "a1", data.RequestClass.LOOKUP, "first", False))
    world.run(50)
    refused = world.call("a1", virtual.request(world, "a1", data.RequestClass.LOOKUP, key, False))
    world.run(50)

    def settles_are_late(host: virtual.Host, action: events.Action) -> bool:
        return not (isinstance(action, events.Send) and "Settle" in type(action.message).__name__)

    world.interfere = settles_are_late
    world.run(dispatch.QUEUE_WAIT_MS[data.RequestClass.LOOKUP] + 200)
    world.interfere = None
    world.run(20_000)
    again = world.reattach("b1", refused)
    world.run(5_000)
    assert invariants.violations(world.journal) == []
    ran = [one for one in world.journal.executions if one.key == key]
    assert not ran
    assert data.Outcome.NOT_RUN in again.ends
