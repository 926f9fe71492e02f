"""Ejection of endpoints by the answers to real requests."""

import dataclasses
import random

from plumarch.core import clock, suspension, traffic
from plumarch.routing import endpoint_choice, endpoint_health


def endpoints(count: int) -> list[traffic.Endpoint]:
    return [
        traffic.Endpoint(f"e{number}", "s", "1:1", "a", 8, traffic.EndpointState.READY)
        for number in range(count)
    ]


def new_health(time: clock.Clock) -> endpoint_health.EndpointHealth:
    return endpoint_health.EndpointHealth(time, suspension.Suspensions(time))


def ids(found: list[traffic.Endpoint]) -> list[str]:
    return [one.id for one in found]


def test_two_failures_in_a_row_eject_an_endpoint():
    time = clock.ManualClock()
    health = new_health(time)
    assert not health.failure("e0")
    assert health.failure("e0")
    assert ids(health.usable(endpoints(3))) == ["e1", "e2"]
    time.advance_to(endpoint_health.FIRST_EJECTION_MS)
    assert len(health.usable(endpoints(3))) == 3


def test_a_repeated_ejection_lasts_longer():
    time = clock.ManualClock()
    health = new_health(time)
    health.failure("e0")
    health.failure("e0")
    time.advance_to(endpoint_health.FIRST_EJECTION_MS)
    health.failure("e0")
    health.failure("e0")
    time.advance_to(2 * endpoint_health.FIRST_EJECTION_MS)
    assert ids(health.usable(endpoints(3))) == ["e1", "e2"]


def test_a_success_between_failures_prevents_ejection():
    health = new_health(clock.ManualClock())
    for _ in range(3):
        health.failure("e0")
        health.success("e0")
    assert len(health.usable(endpoints(3))) == 3


def test_failures_of_low_weight_eject_nothing():
    health = new_health(clock.ManualClock())
    for _ in range(50):
        assert not health.failure("e0", 0.3)


def test_no_endpoint_is_ejected_when_most_fail():
    health = new_health(clock.ManualClock())
    for name in ("e0", "e1"):
        health.failure(name)
        health.failure(name)
    assert len(health.usable(endpoints(3))) == 3


def idle(_: str) -> int:
    return 0


def test_a_repeated_request_goes_to_the_best_record():
    health = new_health(clock.ManualClock())
    health.failure("e0", 0.3)
    assert ids(health.best(endpoints(3), idle, repeated=False)) == ["e0", "e1", "e2"]
    assert ids(health.best(endpoints(3), idle, repeated=True)) == ["e1", "e2"]


def test_first_attempts_avoid_a_partly_failing_endpoint_while_another_is_free():
    health = new_health(clock.ManualClock())
    for _ in range(3):
        health.failure("e0", 0.3)
        health.success("e0")
    assert ids(health.best(endpoints(3), idle, repeated=False)) == ["e1", "e2"]
    full = {"e1": 8, "e2": 8}
    found = health.best(endpoints(3), lambda name: full.get(name, 0), repeated=False)
    assert len(found) == 3


def test_no_endpoint_is_avoided_when_all_fail_equally():
    health = new_health(clock.ManualClock())
    for name in ("e0", "e1", "e2"):
        health.failure(name, 0.3)
        health.failure(name, 0.3)
    assert len(health.best(endpoints(3), idle, repeated=True)) == 3


def test_a_partly_failing_endpoint_is_tried_again_later():
    time = clock.ManualClock()
    health = new_health(time)
    for _ in range(20):
        health.failure("e0", 0.3)
        health.success("e0")
    assert len(health.best(endpoints(3), idle, repeated=False)) == 2
    time.advance_to(5 * round(endpoint_health.RECORD_HALF_LIFE_MS))
    assert len(health.best(endpoints(3), idle, repeated=False)) == 3


@dataclasses.dataclass
class Replay:
    """Requests of at most two attempts to endpoints that fail a fraction of theirs."""

    parts: tuple[float, ...]
    by_record: bool
    apart_ms: int = 20
    lasts: int = 100

    def failed(self, seed: int, requests: int = 3_000) -> int:
        """Return how many requests ended with a failure."""
        time = clock.ManualClock()
        rng = random.Random(seed)
        health = new_health(time)
        chooser = endpoint_choice.EndpointChooser(time, "a")
        failing = {f"e{number}": part for number, part in enumerate(self.parts)}
        running: list[tuple[int, endpoint_choice.Choice]] = []
        count = 0
        for _ in range(requests):
            time.advance_to(time.now() + self.apart_ms)
            while running and running[0][0] <= time.now():
                chooser.end(running.pop(0)[1], True)
            tried: set[str] = set()
            for _ in range(2):
                found = health.usable([one for one in endpoints(3) if one.id not in tried])
                if self.by_record:
                    found = health.best(found, chooser.running, bool(tried))
                choice = chooser.choose_plain(found, rng.randrange(1 << 30))
                tried.add(choice.endpoint.id)
                chooser.begin(choice)
                running.append((time.now() + self.lasts, choice))
                if rng.random() >= failing[choice.endpoint.id]:
                    health.success(choice.endpoint.id)
                    break
                health.failure(choice.endpoint.id, 0.3)
            else:
                count += 1
        return count


def test_fewer_requests_fail_twice_when_records_are_used():
    for parts in ((0.14, 0.01, 0.01), (0.4, 0.01, 0.01), (0.14, 0.14, 0.01), (0.4, 0.3, 0.01)):
        before = sum(Replay(parts, False).failed(seed) for seed in range(5))
        after = sum(Replay(parts, True).failed(seed) for seed in range(5))
        assert after < 0.6 * before, (parts, before, after)
