"""Compares additive increase with a latency gradient on the same seeded loads."""

import collections
import dataclasses
import random
from collections.abc import Callable

import pytest

from plumarch.routing import concurrency_limit


@dataclasses.dataclass(slots=True)
class LatencyGradient:
    """Limit that follows the usual time to the first byte divided by the recent one.

    Attributes:
      minimum: lower bound of the limit.
      maximum: the limit without overload.
      current: the limit so far.
      ceiling: upper bound until `ceiling_until_ms`, after a crash.
    """

    minimum: float
    maximum: float
    current: float = 0.0
    ceiling: float = 0.0
    ceiling_until_ms: int = 0
    times: concurrency_limit.TimeMeans = dataclasses.field(
        default_factory=concurrency_limit.TimeMeans
    )

    def __post_init__(self) -> None:
        self.current = self.maximum

    def value(self, now: int) -> float:
        """Return the current limit."""
        top = min(self.maximum, self.ceiling) if now < self.ceiling_until_ms else self.maximum
        return min(top, self.current)

    def answered(self, running: float, took: float, now: int) -> None:
        """Follow the gradient, tolerating the queue allowed without overload."""
        self.times.observe(took)
        gradient = concurrency_limit.LATE_FACTOR * self.times.usual / max(0.01, self.times.recent)
        if running <= self.minimum:
            gradient = 1.0
        wanted = self.current * min(1.0, gradient) + self.current**0.5
        moved = self.current + concurrency_limit.RECENT_WEIGHT * (wanted - self.current)
        self.current = min(self.maximum, max(self.minimum, moved))

    def rejected(self, running: float, now: int) -> None:
        """Lower the limit below the load at the rejection."""
        self.current = max(self.minimum, min(self.current, concurrency_limit.DECREASE * running))

    def crashed(self, running: float, now: int) -> None:
        """Lower the limit below the load at the crash, for CRASH_RETENTION_MS."""
        self.ceiling = max(self.minimum, concurrency_limit.DECREASE * running)
        self.ceiling_until_ms = now + concurrency_limit.CRASH_RETENTION_MS
        self.current = max(self.minimum, concurrency_limit.DECREASE * self.ceiling)


SLOTS = 8
MAXIMUM = 24.0
TARGET_MS = 400
RUN_MS = 100.0
STEP_MS = 5
LASTS_MS = 20_000
RESTART_MS = 1_000

Build = Callable[[float, float], concurrency_limit.ConcurrencyLimit]
BOTH: dict[str, Build] = {
    "additive": concurrency_limit.AdditiveIncrease,
    "gradient": LatencyGradient,
}


@dataclasses.dataclass(frozen=True)
class Pattern:
    """A load pattern and the capacity of the endpoint.

    Attributes:
      rate: requests a second, by time.
      run_ms: how long one runs, by time.
      places: requests above which it rejects.
      crashes_at: weight at which it crashes.
      heavy: fraction of the requests that weigh four.
    """

    rate: Callable[[int], float]
    run_ms: Callable[[int], float] = lambda now: RUN_MS
    places: int = 1_000
    crashes_at: float = 1_000.0
    heavy: float = 0.0


PATTERNS = {
    "calm": Pattern(lambda now: 40.0),
    "burst": Pattern(lambda now: 300.0 if now % 4_000 < 800 else 40.0, places=14),
    "slow": Pattern(lambda now: 60.0, lambda now: 400.0 if 5_000 < now < 10_000 else RUN_MS),
    "falls": Pattern(lambda now: 200.0 if now % 3_000 < 500 else 50.0, crashes_at=18.0),
    "heavy": Pattern(lambda now: 90.0 if now % 3_000 < 1_000 else 40.0, crashes_at=32.0, heavy=0.2),
}


@dataclasses.dataclass
class Result:
    """Outcomes of the requests of one pattern."""

    good: int = 0
    late: int = 0
    rejected_by_limit: int = 0
    rejected_by_endpoint: int = 0
    lost: int = 0
    crashes: int = 0


@dataclasses.dataclass
class Running:
    """A request at the endpoint."""

    sent_ms: int
    weight: float
    left_ms: float


def replay(build: Build, pattern: Pattern, seed: int = 1) -> Result:
    """Replay a load against an endpoint that runs SLOTS requests at once, oldest first."""
    rng = random.Random(seed)
    limit = build(float(SLOTS), MAXIMUM)
    found = Result()
    running: collections.deque[Running] = collections.deque()
    up_from = 0
    for now in range(0, LASTS_MS, STEP_MS):
        for one in list(running)[:SLOTS]:
            one.left_ms -= STEP_MS
            if one.left_ms <= 0:
                running.remove(one)
                limit.answered(len(running) + 1, (now - one.sent_ms) / RUN_MS, now)
                if now - one.sent_ms <= TARGET_MS:
                    found.good += 1
                else:
                    found.late += 1
        if rng.random() >= pattern.rate(now) * STEP_MS / 1_000.0:
            continue
        weight = 4.0 if rng.random() < pattern.heavy else 1.0
        left_ms = pattern.run_ms(now) * rng.uniform(0.5, 1.5)
        if now < up_from or len(running) >= limit.value(now):
            found.rejected_by_limit += 1
        elif len(running) >= pattern.places:
            found.rejected_by_endpoint += 1
            limit.rejected(len(running), now)
        else:
            running.append(Running(now, weight, left_ms))
        if sum(one.weight for one in running) >= pattern.crashes_at:
            limit.crashed(len(running), now)
            found.crashes += 1
            found.lost += len(running)
            running.clear()
            up_from = now + RESTART_MS
    return found


@pytest.mark.parametrize("name", list(BOTH))
def test_without_overload_the_limit_stays_at_its_maximum(name):
    limit = BOTH[name](float(SLOTS), MAXIMUM)
    rng = random.Random(2)
    for now in range(0, 60_000, 20):
        limit.answered(rng.randrange(SLOTS + 1), rng.expovariate(1.0), now)
        assert limit.value(now) == MAXIMUM


@pytest.mark.parametrize("name", list(BOTH))
def test_the_limit_stays_between_its_bounds(name):
    for seed in range(20):
        rng = random.Random(seed)
        limit = BOTH[name](float(SLOTS), MAXIMUM)
        now = 0
        for _ in range(300):
            now += rng.randrange(500)
            sign = rng.randrange(3)
            if sign == 0:
                limit.answered(rng.uniform(0, 40), rng.expovariate(0.5), now)
            elif sign == 1:
                limit.rejected(rng.uniform(0, 40), now)
            else:
                limit.crashed(rng.uniform(0, 40), now)
            assert SLOTS <= limit.value(now) <= MAXIMUM


def test_the_limit_recovers_with_time_after_a_rejection():
    limit = concurrency_limit.AdditiveIncrease(float(SLOTS), MAXIMUM)
    limit.rejected(12.0, 0)
    assert limit.value(0) == pytest.approx(9.6)
    assert limit.value(round(concurrency_limit.RECOVERY_MS)) == MAXIMUM


def test_a_load_that_caused_a_crash_is_not_tried_again_for_long():
    limit = concurrency_limit.AdditiveIncrease(float(SLOTS), MAXIMUM)
    limit.crashed(18.0, 0)
    recovered = round(concurrency_limit.RECOVERY_MS)
    assert limit.value(recovered) == pytest.approx(14.4)
    assert limit.value(concurrency_limit.CRASH_RETENTION_MS - 1) == pytest.approx(14.4)
    assert limit.value(concurrency_limit.CRASH_RETENTION_MS) == MAXIMUM


def totals(name: str) -> Result:
    found = Result()
    for pattern in PATTERNS.values():
        for seed in range(5):
            for field, count in dataclasses.asdict(replay(BOTH[name], pattern, seed)).items():
                setattr(found, field, getattr(found, field) + count)
    return found


def test_the_default_needs_far_fewer_attempts_for_as_many_good_answers():
    additive, gradient = totals("additive"), totals("gradient")
    assert additive.good >= 0.995 * gradient.good
    assert additive.rejected_by_endpoint < 0.5 * gradient.rejected_by_endpoint
    assert additive.crashes <= gradient.crashes
    assert additive.lost <= gradient.lost


def test_an_endpoint_with_a_hidden_limit_rarely_crashes_under_bursts():
    for name in BOTH:
        found = replay(BOTH[name], PATTERNS["falls"])
        assert found.crashes <= 1, name
