"""Stale, duplicate and misdirected replies are dropped and counted."""

import pytest

from plumarch.core import data, events
from plumarch.proof import invariants
from plumarch.standins import model, virtual

NODES = {"a1": "a", "b1": "b", "c1": "c"}


def running(max_tokens: int = 10) -> tuple[virtual.World, invariants.CallerView, str, int]:
    """Build a world with a chat in progress that was moved once, so that attempt 1 is stale."""
    world = virtual.build(NODES)
    request = virtual.request(world, "a1", data.RequestClass.CHAT, max_tokens=max_tokens)
    caller = world.call("a1", request)
    world.run(100)
    run = world.hosts["a1"].node.table.active[request.id]
    world.reclaim((run.endpoint,), 1_100, ("a1",))
    world.run(100)
    return world, caller, request.id, run.attempt()


def late_events(request_id: str, attempt: int) -> list[events.Event]:
    return [
        events.EndpointTokens(request_id, attempt, 5, ("wrong ",)),
        events.EndpointDone(request_id, attempt, data.Reply()),
        events.EndpointFailed(request_id, attempt, True, "late"),
    ]


@pytest.mark.parametrize("number", range(3))
def test_reply_for_an_earlier_attempt_is_dropped(number: int) -> None:
    world, caller, request_id, attempt = running(60)
    assert attempt == 1_002
    before = world.counts["stale_replies"]
    world.deliver(world.hosts["a1"], late_events(request_id, attempt - 1)[number])
    assert world.counts["stale_replies"] == before + 1
    world.run(5_000)
    assert caller.ends == [data.Outcome.DONE]
    assert invariants.violations(world.journal) == []


def test_reply_for_a_former_incarnation_is_dropped() -> None:
    world, _, request_id, attempt = running(60)
    world.kill("a1")
    world.restart("a1")
    before = world.counts["stale_replies"]
    world.deliver(world.hosts["a1"], late_events(request_id, attempt)[0])
    assert world.counts["stale_replies"] == before + 1


def test_duplicate_tokens_are_sent_once() -> None:
    world, caller, request_id, attempt = running(60)
    seed = caller.request.seed if caller.request else 0
    for _ in range(3):
        doubled = events.EndpointTokens(request_id, attempt, 0, (model.token(seed, 0),))
        world.deliver(world.hosts["a1"], doubled)
    world.run(5_000)
    assert caller.ends == [data.Outcome.DONE]
    assert invariants.violations(world.journal) == []


def test_gap_in_tokens_causes_a_retry() -> None:
    world, caller, request_id, attempt = running(60)
    world.deliver(world.hosts["a1"], events.EndpointTokens(request_id, attempt, 50, ("wrong ",)))
    world.run(8_000)
    assert caller.ends == [data.Outcome.DONE]
    assert world.counts["retries"] == 1
    assert invariants.violations(world.journal) == []


def test_tokens_lost_between_nodes_are_sent_again() -> None:
    world = virtual.build(NODES)
    request = virtual.request(world, "a1", data.RequestClass.CHAT, "k", max_tokens=60)
    world.call("a1", request)
    world.run(300)
    other = world.reattach("b1", world.callers["caller0"])
    world.run(300)
    world.cut("a", "b")
    world.run(400)
    world.heal()
    world.run(5_000)
    assert other.ends == [data.Outcome.DONE]
    assert invariants.violations(world.journal) == []


def test_not_run_is_not_reported_after_bytes_were_written() -> None:
    """The first try reached an engine, the last one failed before its first byte."""
    world = virtual.build(NODES)
    request = virtual.request(world, "a1", data.RequestClass.CHAT, "k", max_tokens=60)
    caller = world.call("a1", request)
    world.run(100)
    host = world.hosts["a1"]
    host.node.dispatch.budget.saved["okefenokee"] = 1.0
    for delivered in (True, False):
        attempt = host.node.table.active[request.id].attempt()
        failed = events.EndpointFailed(request.id, attempt, delivered, "broken")
        world.deliver(host, failed)
        world.run(60)
    assert caller.ends == [data.Outcome.UNKNOWN]
    assert invariants.violations(world.journal) == []


def test_not_run_is_reported_if_every_try_failed_before_its_first_byte() -> None:
    world = virtual.build(NODES)
    for endpoint in world.endpoints.values():
        endpoint.alive = False
    request = virtual.request(world, "a1", data.RequestClass.LOOKUP, "k", repeatable=False)
    caller = world.call("a1", request)
    world.run(5_000)
    assert world.counts["retries"] > 1
    assert caller.ends == [data.Outcome.NOT_RUN]
    assert world.journal.executions == []
