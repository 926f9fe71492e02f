"""Engines of accepted work that refuse calls and ask for some seconds of rest.

A node asked an engine that refuses everything again every two seconds: a call that was refused
counted as one that could not be connected to, which makes an engine the last choice for so long,
and the rest that it had asked for was read by nobody. In this session both engines of a data centre
were asked three times within six of their ten seconds.
"""

from plumarch.core import data
from plumarch.proof import invariants
from plumarch.standins import virtual

NODES = {"a1": "a", "b1": "b"}
REST_MS = 10_000
CHATS = 20
PAUSE_MS = 300


def engines(world: virtual.World, data_centre: str) -> list[virtual.FakeEndpoint]:
    return [
        one
        for one in world.endpoints.values()
        if one.info.data_centre == data_centre and one.info.kind is data.EndpointKind.ENGINE
    ]


def ask(world: virtual.World, key: str) -> invariants.CallerView:
    return world.call("a1", virtual.request(world, "a1", data.RequestClass.CHAT, key))


def test_engines_that_asked_for_rest_are_left_alone_for_so_long():
    world = virtual.build(NODES, engines_each=2)
    shedding = engines(world, "a")
    for engine in shedding:
        engine.backoff_ms = REST_MS
    callers = []
    for number in range(CHATS):
        callers.append(ask(world, f"chat-{number}"))
        world.run(PAUSE_MS)
    assert [one.refused for one in shedding] == [1, 1]
    world.run(REST_MS)
    assert all(one.ends == [data.Outcome.DONE] for one in callers)


def test_work_waits_while_all_rest_and_is_done_when_they_have_rested():
    world = virtual.build({"a1": "a"}, engines_each=2)
    for engine in engines(world, "a"):
        engine.backoff_ms = 1_500
    caller = ask(world, "chat")
    world.run(500)
    for engine in engines(world, "a"):
        engine.backoff_ms = None
    world.run(900)
    assert caller.ends == []
    world.run(3_000)
    assert caller.ends == [data.Outcome.DONE]
    assert [one.refused for one in engines(world, "a")] == [1, 1]
