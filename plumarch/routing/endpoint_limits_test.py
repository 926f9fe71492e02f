"""Configured and learned limits of endpoints."""

import random

from plumarch.core import clock, traffic
from plumarch.routing import concurrency_limit, crash_guard, endpoint_limits

SLOTS = 8
PROMPT = endpoint_limits.demand(2_000, 200, 0)


def endpoint(name: str = "e0") -> traffic.Endpoint:
    return traffic.Endpoint(name, "s", "1:1", "a", SLOTS, traffic.EndpointState.READY)


def limits(service: traffic.Service | None = None) -> endpoint_limits.EndpointLimits:
    found = endpoint_limits.EndpointLimits(clock.ManualClock())
    if service is not None:
        found.services = {service.name: service}
    return found


def has_capacity(
    found: endpoint_limits.EndpointLimits,
    running: int,
    demand: endpoint_limits.Demand = endpoint_limits.PLAIN,
    name: str = "e0",
) -> bool:
    return bool(found.with_capacity("s", [endpoint(name)], lambda _: running, demand))


def advance(found: endpoint_limits.EndpointLimits, to_ms: int) -> None:
    assert isinstance(found.clock, clock.ManualClock)
    found.clock.advance_to(to_ms)


def test_without_overload_the_limit_is_a_multiple_of_the_slots():
    found = limits()
    rng = random.Random(1)
    for now in range(0, 30_000, 10):
        advance(found, now)
        running = rng.randrange(SLOTS + 1)
        found.observe_load(endpoint(), running)
        found.answered(endpoint(), running, rng.expovariate(1.0), False)
        assert has_capacity(found, 23)
        assert not has_capacity(found, 24)
    assert has_capacity(found, 11, PROMPT)
    assert not has_capacity(found, 12, PROMPT)


def test_the_connection_limit_applies():
    found = limits(traffic.Service("s", connection_limit=10))
    assert has_capacity(found, 9)
    assert not has_capacity(found, 10)


def test_queued_prompts_and_answers_stay_within_the_cache_limit():
    model = traffic.EngineModel(SLOTS, 18_000)
    found = limits(traffic.Service("s", engine=model))
    assert has_capacity(found, 0, endpoint_limits.demand(50_000, 0, 0))
    for _ in range(SLOTS + 4):
        running = found.own_load.get("e0", endpoint_limits.NO_OWN_LOAD).requests
        assert has_capacity(found, running, PROMPT)
        found.sent(endpoint(), PROMPT)
    assert not has_capacity(found, SLOTS + 4, PROMPT)
    for _ in range(2):
        found.sent(endpoint(), endpoint_limits.demand(4_000, 0, 0))
        found.ended(endpoint(), PROMPT)
    assert not has_capacity(found, SLOTS + 3, PROMPT)
    found.ended(endpoint(), PROMPT)
    found.ended(endpoint(), PROMPT)
    assert has_capacity(found, SLOTS + 2, PROMPT)


def test_a_free_slot_is_used_whatever_the_total_weight():
    """Prompts share parts, which the cache holds once."""
    model = traffic.EngineModel(SLOTS, 8_000)
    found = limits(traffic.Service("s", engine=model))
    for running in range(SLOTS):
        assert has_capacity(found, running, PROMPT)
        found.sent(endpoint(), PROMPT)
    assert not has_capacity(found, SLOTS, PROMPT)


def test_requests_of_other_nodes_count_with_the_mean_weight():
    found = limits()
    found.sent(endpoint("e1"), PROMPT)
    assert found.weight_at(endpoint(), 3) == 3 * PROMPT.weight
    found.sent(endpoint(), endpoint_limits.demand(10_000, 0, 0))
    assert found.weight_at(endpoint(), 1) == 10_000


def test_a_rejection_lowers_the_limit_which_recovers_within_seconds():
    found = limits()
    found.rejected(endpoint(), 15, False)
    assert has_capacity(found, 11)
    assert not has_capacity(found, 12)
    assert found.changed(endpoint()) == 12.0
    assert found.changed(endpoint()) is None
    assert found.lowered({"e0": endpoint()}) == {"e0": 12.0}
    advance(found, round(concurrency_limit.RECOVERY_MS))
    assert has_capacity(found, 23)
    assert found.lowered({"e0": endpoint()}) == {}


def test_a_rejection_with_free_slots_does_not_change_the_limit():
    found = limits()
    found.rejected(endpoint(), SLOTS - 1, False)
    assert has_capacity(found, 23)


def test_a_crash_is_returned_once_and_limits_its_peers():
    found = limits()
    assert found.lost(endpoint(), 15, 30) is None
    crash = found.lost(endpoint(), 14, 30)
    assert crash == crash_guard.Crash("e0", 0, 15, 0.0, SLOTS, 30)
    assert found.lost(endpoint(), 13, 30) is None
    assert has_capacity(found, 11, name="e1")
    assert not has_capacity(found, 12, name="e1")


def test_a_crash_under_heavy_prompts_limits_the_weight_at_its_peers():
    found = limits()
    light, heavy = endpoint_limits.demand(500, 0, 0), endpoint_limits.demand(6_000, 0, 0)
    for _ in range(4):
        found.sent(endpoint("e1"), light)
    found.observe_load(endpoint("e1"), 4)
    for _ in range(3):
        found.sent(endpoint(), heavy)
    found.lost(endpoint(), 3, 4)
    assert found.lost(endpoint(), 2, 4) is not None
    bears = concurrency_limit.DECREASE * 18_000
    assert found.bounds("s", True).weight == bears
    assert has_capacity(found, 4, heavy, "e1")
    for _ in range(2):
        found.sent(endpoint("e1"), heavy)
    assert not has_capacity(found, 6, heavy, "e1")
    assert not has_capacity(found, 6, light, "e1")
    found.ended(endpoint("e1"), heavy)
    assert has_capacity(found, 5, light, "e1")


def test_losses_of_a_draining_endpoint_are_no_crash():
    found = limits()
    leaving = traffic.Endpoint("e0", "s", "1:1", "a", SLOTS, traffic.EndpointState.DRAINING)
    for _ in range(3):
        assert found.lost(leaving, 15, 30) is None
    assert has_capacity(found, 23, name="e1")


def test_removed_endpoints_are_forgotten():
    found = limits()
    found.rejected(endpoint(), 15, False)
    found.changed(endpoint())
    found.lost(endpoint(), 15, 30)
    found.retain(set())
    assert not found.learned and not found.logged and not found.crashes.losses
