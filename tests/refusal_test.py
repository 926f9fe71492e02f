"""A request whose refusal is being recorded must not be dispatched any more."""

import dataclasses

from plumarch.core import data, events, messages
from plumarch.node import dispatch
from plumarch.proof import invariants
from plumarch.recovery import inquiries, keys
from plumarch.standins import virtual

LONG_MS = 300
"""Duration of the call that occupies the endpoint; longer than the queue limit of 100 ms."""


def world_with_one_place() -> virtual.World:
    """Build a world with a single plain service of capacity 1."""
    world = virtual.build({"a1": "a", "b1": "b", "c1": "c"}, services_each=1)
    for name in ("b-tickets-0", "c-tickets-0"):
        world.kill_endpoint(name)
    service = world.endpoints["a-tickets-0"]
    service.info = dataclasses.replace(service.info, capacity=1)
    service.slow = LONG_MS / virtual.SERVICE_MS
    world.publish_endpoints()
    world.run(100)
    return world


def key_owned_elsewhere(world: virtual.World) -> str:
    """Return a key whose slot is not owned by a1."""
    mine = {slot for slot, _ in world.hosts["a1"].node.ledger.owned_list()}
    return next(key for key in map(str, range(100)) if keys.slot_of("okefenokee", key) not in mine)


def test_request_is_not_dispatched_while_its_refusal_is_being_recorded():
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


def settles_of(world: virtual.World, request_id: str) -> list[data.KeyState]:
    """Return a list that collects the states reported to slot owners for a request."""
    states: list[data.KeyState] = []

    def note_settles(_: virtual.Host, action: events.Action) -> bool:
        message = action.message if isinstance(action, events.Send) else None
        if isinstance(message, messages.Settle) and message.request_id == request_id:
            states.append(message.state)
        return True

    world.interfere = note_settles
    return states


def test_draft_that_was_never_accepted_is_not_settled_as_run():
    """After a late grant, a retry must get "not run"."""
    world = virtual.build({"a1": "a", "b1": "b", "c1": "c"})
    key = key_owned_elsewhere(world)
    slot = keys.slot_of("okefenokee", key)
    owner = next(name for name in ("b1", "c1") if slot in world.hosts[name].node.ledger.owned)
    world.store.faults.down = True
    world.pause(owner)
    draft = virtual.request(world, "a1", data.RequestClass.DRAFT, key, repeatable=False)
    states = settles_of(world, draft.id)
    given_up = world.call("a1", draft)
    world.run(inquiries.GIVE_UP_MS + 100)
    assert given_up.ends == [data.Outcome.UNKNOWN]
    world.resume(owner)
    world.run(2_000)
    world.store.faults.down = False
    again = world.reattach("a1", given_up)
    world.run(10_000)
    assert again.ends == [data.Outcome.NOT_RUN]
    assert set(states) == {data.KeyState.REFUSED}


def test_draft_with_a_conflicting_key_settles_nothing():
    world = virtual.build({"a1": "a", "b1": "b", "c1": "c"})
    key = key_owned_elsewhere(world)
    world.call("b1", virtual.request(world, "b1", data.RequestClass.DRAFT, key))
    world.run(50)
    other = virtual.request(world, "a1", data.RequestClass.DRAFT, key)
    other = dataclasses.replace(other, fingerprint=2)
    states = settles_of(world, other.id)
    refused = world.call("a1", other)
    world.run(5_000)
    assert refused.reasons == [data.Reason.KEY_CONFLICT]
    assert states == []
