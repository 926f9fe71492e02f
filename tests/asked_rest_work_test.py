"""Accepted work respects the backoff (Retry-After) of engines that reject requests."""

from plumarch.core import data
from plumarch.proof import invariants
from plumarch.standins import virtual

NODES = {"a1": "a", "b1": "b"}
BACKOFF_MS = 10_000
CHATS = 20
PAUSE_MS = 300


def engines(world: virtual.World, data_centre: str) -> list[virtual.FakeEndpoint]:
    return [
        one
        for one in world.endpoints.values()
        if one.info.data_centre == data_centre and one.info.kind is data.EndpointKind.ENGINE
    ]


def send_chat(world: virtual.World, key: str) -> invariants.CallerView:
    return world.call("a1", virtual.request(world, "a1", data.RequestClass.CHAT, key))


def test_no_request_is_sent_to_an_engine_during_its_backoff():
    world = virtual.build(NODES, engines_each=2)
    rejecting = engines(world, "a")
    for engine in rejecting:
        engine.backoff_ms = BACKOFF_MS
    callers = []
    for number in range(CHATS):
        callers.append(send_chat(world, f"chat-{number}"))
        world.run(PAUSE_MS)
    assert [one.refused for one in rejecting] == [1, 1]
    world.run(BACKOFF_MS)
    assert all(one.ends == [data.Outcome.DONE] for one in callers)


def test_request_waits_until_the_backoff_of_all_engines_is_over():
    world = virtual.build({"a1": "a"}, engines_each=2)
    for engine in engines(world, "a"):
        engine.backoff_ms = 1_500
    caller = send_chat(world, "chat")
    world.run(500)
    for engine in engines(world, "a"):
        engine.backoff_ms = None
    world.run(900)
    assert caller.ends == []
    world.run(3_000)
    assert caller.ends == [data.Outcome.DONE]
    assert [one.refused for one in engines(world, "a")] == [1, 1]
