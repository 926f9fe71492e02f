"""Accepted work respects the request rate that an engine announces to all nodes.

An engine may start 1.5 times the announced requests, plus 5, in a window of 4 s.
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


def send_chat(world: virtual.World, number: int) -> invariants.CallerView:
    node = sorted(NODES)[number % len(NODES)]
    return world.call(node, virtual.request(world, node, data.RequestClass.CHAT, f"chat-{number}"))


def starts(world: virtual.World, engine: virtual.FakeEndpoint, from_ms: int) -> list[int]:
    return [
        one.at_ms
        for one in world.journal.executions
        if one.endpoint == engine.info.name and one.at_ms >= from_ms
    ]


def max_starts_in_window(at: list[int]) -> int:
    return max((sum(first <= one < first + WINDOW_MS for one in at) for first in at), default=0)


def test_all_nodes_together_respect_an_announced_rate():
    world = virtual.build(NODES, engines_each=2)
    limited = engines(world)[:2]
    for engine in limited:
        engine.announced_rate = 1.0
    known_ms = world.clock.now() + KNOWN_AFTER_MS
    for number in range(160):
        send_chat(world, number)
        world.run(PAUSE_MS)
    for engine in limited:
        assert max_starts_in_window(starts(world, engine, known_ms)) <= 11


def test_withdrawn_rate_is_no_longer_enforced():
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
    withdrawn_ms = world.clock.now()
    for number in range(6):
        world.call("a1", virtual.request(world, "a1", data.RequestClass.CHAT, f"free-{number}"))
    world.run(500)
    assert len(starts(world, engine, withdrawn_ms)) == 6


def test_requests_wait_for_the_rate_and_complete():
    world = virtual.build({"a1": "a"}, engines_each=1)
    [engine] = engines(world)
    engine.announced_rate = 4.0
    callers = [
        world.call("a1", virtual.request(world, "a1", data.RequestClass.CHAT, f"chat-{number}"))
        for number in range(12)
    ]
    world.run(8_000)
    assert all(one.ends == [data.Outcome.DONE] for one in callers)
    assert max_starts_in_window(starts(world, engine, 0)) <= 1.5 * 4.0 * 4 + 5
