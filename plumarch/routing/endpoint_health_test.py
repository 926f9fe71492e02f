"""Ejection of endpoints by the answers to real requests."""

from plumarch.core import clock, traffic
from plumarch.routing import endpoint_health


def endpoints(count: int) -> list[traffic.Endpoint]:
    return [
        traffic.Endpoint(f"e{number}", "s", "1:1", "a", 8, traffic.EndpointState.READY)
        for number in range(count)
    ]


def ids(found: list[traffic.Endpoint]) -> list[str]:
    return [one.id for one in found]


def test_two_failures_in_a_row_leave_an_endpoint_out_for_a_while():
    time = clock.ManualClock()
    health = endpoint_health.EndpointHealth(time)
    assert not health.failure("e0")
    assert health.failure("e0")
    assert ids(health.usable(endpoints(3))) == ["e1", "e2"]
    time.advance_to(endpoint_health.FIRST_EJECTION_MS)
    assert len(health.usable(endpoints(3))) == 3


def test_a_relapse_leaves_it_out_for_longer():
    time = clock.ManualClock()
    health = endpoint_health.EndpointHealth(time)
    health.failure("e0")
    health.failure("e0")
    time.advance_to(endpoint_health.FIRST_EJECTION_MS)
    health.failure("e0")
    health.failure("e0")
    time.advance_to(2 * endpoint_health.FIRST_EJECTION_MS)
    assert ids(health.usable(endpoints(3))) == ["e1", "e2"]


def test_a_success_between_failures_keeps_it():
    health = endpoint_health.EndpointHealth(clock.ManualClock())
    for _ in range(3):
        health.failure("e0")
        health.success("e0")
    assert len(health.usable(endpoints(3))) == 3


def test_doubtful_failures_alone_leave_nothing_out():
    health = endpoint_health.EndpointHealth(clock.ManualClock())
    for _ in range(50):
        assert not health.failure("e0", 0.3)


def test_when_most_endpoints_fail_none_is_left_out():
    health = endpoint_health.EndpointHealth(clock.ManualClock())
    for name in ("e0", "e1"):
        health.failure(name)
        health.failure(name)
    assert len(health.usable(endpoints(3))) == 3
