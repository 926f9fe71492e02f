"""Engines of accepted work that announce how many requests a second they take from all nodes.

A node handed accepted work to such an engine as to any other: the header was read by nobody, and an
engine that is spared looks idle. In this session three nodes gave an engine that announces one
request a second 27 chats in 4 s, where one and a half times the rate and five more are 11.
"""

from plumarch.core import data
from plumarch.proof import invariants
from plumarch.standins import virtual

NODES = {"a1": "a", "a2": "a", "b1": "b"}
WINDOW_MS = 4_000
KNOWN_AFTER_MS = 1_000
PAUSE_MS = 50


def engines(world: virtual.World) -> list[virtual.FakeEndpoint]:
    return [one for one in world.endpoints.values() if one.info.kind is data.EndpointKind.ENGINE]


def ask(world: virtual.World, number: int) -> invariants.CallerView:
    node = sorted(NODES)[number % len(NODES)]
    return world.call(node, virtual.request(world, node, data.RequestClass.CHAT, f"chat-{number}"))


def starts(world: virtual.World, engine: virtual.FakeEndpoint, from_ms: int) -> list[int]:
    return [
        one.at_ms
        for one in world.journal.executions
        if one.endpoint == engine.info.name and one.at_ms >= from_ms
    ]


def most_in_a_window(at: list[int]) -> int:
    return max((sum(first <= one < first + WINDOW_MS for one in at) for first in at), default=0)


def test_all_nodes_together_keep_to_the_rate_of_an_engine():
    world = virtual.build(NODES, engines_each=2)
    limited = engines(world)[:2]
    for engine in limited:
        engine.announced_rate = 1.0
    known_ms = world.clock.now() + KNOWN_AFTER_MS
    for number in range(160):
        ask(world, number)
        world.run(PAUSE_MS)
    for engine in limited:
        assert most_in_a_window(starts(world, engine, known_ms)) <= 11


def test_a_limit_that_is_over_ends():
    world = virtual.build({"a1": "a"}, engines_each=1)
    [engine] = engines(world)
    engine.announced_rate = 1.0
    world.call("a1", virtual.request(world, "a1", data.RequestClass.CHAT, "first"))
    world.run(500)
    for number in range(8):
        world.call("a1", virtual.request(world, "a1", data.RequestClass.CHAT, f"chat-{number}"))
    world.run(2_500)
    assert 2 <= len(starts(world, engine, 0)) <= 5
    engine.announced_rate = None
    world.call("a1", virtual.request(world, "a1", data.RequestClass.CHAT, "last under the limit"))
    world.run(1_500)
    over_ms = world.clock.now()
    for number in range(6):
        world.call("a1", virtual.request(world, "a1", data.RequestClass.CHAT, f"free-{number}"))
    world.run(500)
    assert len(starts(world, engine, over_ms)) == 6


def test_work_waits_for_the_rate_and_is_done():
    world = virtual.build({"a1": "a"}, engines_each=1)
    [engine] = engines(world)
    engine.announced_rate = 4.0
    callers = [
        world.call("a1", virtual.request(world, "a1", data.RequestClass.CHAT, f"chat-{number}"))
        for number in range(12)
    ]
    world.run(8_000)
    assert all(one.ends == [data.Outcome.DONE] for one in callers)
    assert most_in_a_window(starts(world, engine, 0)) <= 1.5 * 4.0 * 4 + 5
