"""Simulates roll-outs of good and bad versions and counts right decisions and exposed requests.

    python -m bench.rollout_trials [--seeds 400]

Each seed draws a service and a version of one of KINDS. Some
seeds add an incident that raises the error rate of both versions by 0.1. Counts arrive 0.5 s late.
"""

import argparse
import collections
import dataclasses
import random

import tabulate

from plumarch.core import clock, rollouts
from plumarch.fleet import rollout, version_tally, version_verdict

TICK_MS = 250
REPORT_DELAY_TICKS = 2
EXPOSURE = rollout.Exposure(0.1, 50)
BAD_LIMIT = 50
ROLL_BACK_MS = 5_000
KINDS = ("good", "fails", "rarely", "later", "one route", "under load")


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A service and a version.

    Attributes:
      rates: requests a second of each route.
      old_bad: error rate of the old version, 0 to 1.
      incident: begin and end, as fractions of the duration, of additional errors of both.
      new_bad: additional error rate of the new version while it is bad.
      bad_from: fraction of the duration after which the new version is bad.
      startup_ms: time until endpoints of the new version are ready.
    """

    kind: str
    duration_ms: int
    rates: tuple[float, ...]
    old_bad: float
    incident: tuple[float, float]
    new_bad: float
    bad_from: float
    startup_ms: int


@dataclasses.dataclass
class Result:
    """Outcome of a roll-out.

    Attributes:
      received: requests that the new version received.
      allowed: exposure limit, in requests.
      found_after: requests that it had received when the plan ended, 0 if it did not.
      late_ms: time from its 50th error (BAD_LIMIT) to the last request that it received.
    """

    scenario: Scenario
    stage: rollout.Stage
    received: int
    allowed: float
    found_after: int
    late_ms: int


def draw(seed: int) -> Scenario:
    """Draw a scenario; even seeds have a good version."""
    rng = random.Random(seed)
    kind = "good" if seed % 2 == 0 else KINDS[1 + seed // 2 % (len(KINDS) - 1)]
    duration = rng.choice((10_000, 12_000, 20_000, 40_000))
    total = rng.choice((10.0, 50.0, 130.0, 200.0))
    weights = [rng.uniform(0.2, 1.0) for _ in range(rng.randint(2, 4))]
    rates = tuple(total * one / sum(weights) for one in weights)
    begin = rng.random()
    incident = (begin, begin + 0.3) if rng.random() < 0.3 else (2.0, 2.0)
    new_bad = {
        "good": 0.0,
        "fails": rng.uniform(0.2, 0.6),
        "rarely": rng.uniform(0.02, 0.2),
        "later": rng.uniform(0.2, 0.6),
        "one route": rng.uniform(0.3, 0.9),
        "under load": rng.uniform(0.2, 0.6),
    }[kind]
    bad_from = rng.uniform(0.1, 0.6) if kind == "later" else 0.0
    come = rng.randint(500, 4_000)
    return Scenario(
        kind, duration, rates, rng.uniform(0.003, 0.02), incident, new_bad, bad_from, come
    )


def play(scenario: Scenario, rule: version_verdict.VerdictRule, seed: int) -> Result:
    """Simulate a roll-out for its whole duration."""
    rng = random.Random(seed + 1_000_000)
    time = clock.ManualClock(1_000_000)
    order = rollouts.RolloutOrder("s", "v2", scenario.duration_ms, 1)
    plan = rollout.RolloutPlan(time, order, EXPOSURE, time.now(), rule)
    routes = [f"r{number}" for number in range(len(scenario.rates))]
    pairs = {
        route: version_tally.VersionPair(version_tally.Tally(), version_tally.Tally())
        for route in routes
    }
    seen = [dict(pairs)] * (REPORT_DELAY_TICKS + 1)
    shares = [0.0] * (REPORT_DELAY_TICKS + 1)
    received = total = bad = found = 0
    bad_at = last_at = -1
    running_old = 100.0
    for tick in range(scenario.duration_ms // TICK_MS):
        elapsed = tick * TICK_MS / scenario.duration_ms
        share = shares.pop(0)
        for route, rate in zip(routes, scenario.rates, strict=True):
            count = _poisson(rng, rate * TICK_MS / 1_000)
            new = sum(rng.random() < share for _ in range(count))
            total, received = total + count, received + new
            if new:
                last_at = tick
            p_old, p_new = _error_rates(scenario, route, elapsed, share)
            bad_new = sum(rng.random() < p_new for _ in range(new))
            bad_old = sum(rng.random() < p_old for _ in range(count - new))
            bad += bad_new
            if bad >= BAD_LIMIT and bad_at < 0:
                bad_at = tick
            pairs[route] = version_tally.VersionPair(
                pairs[route].new.plus(version_tally.Tally(new, bad_new)),
                pairs[route].old.plus(version_tally.Tally(count - new, bad_old)),
            )
        seen.append(dict(pairs))
        running_old = running_old * 0.8 if share >= 1.0 else 100.0
        time.advance_to(1_000_000 + (tick + 1) * TICK_MS)
        new_ready = 10 if tick * TICK_MS >= scenario.startup_ms else 0
        observation = rollout.Observation(
            new_ready, 10, int(running_old), sum(scenario.rates), seen.pop(0)
        )
        was_over = plan.stage.is_over()
        plan.step(observation)
        if plan.stage.is_over() and not was_over:
            found = received
        shares.append(plan.share)
    late = (last_at - bad_at) * TICK_MS if bad_at >= 0 else 0
    allowed = EXPOSURE.share * total + EXPOSURE.extra_requests
    return Result(scenario, plan.stage, received, allowed, found, late)


def _error_rates(
    scenario: Scenario, route: str, elapsed: float, share: float
) -> tuple[float, float]:
    old = scenario.old_bad
    if scenario.incident[0] <= elapsed < scenario.incident[1]:
        old += 0.1
    is_bad = elapsed >= scenario.bad_from
    if scenario.kind == "one route":
        is_bad = route == "r0"
    if scenario.kind == "under load":
        is_bad = share > rollout.MAX_CANARY
    new = old + (scenario.new_bad if is_bad else 0.0)
    return min(1.0, old), min(1.0, new)


def _poisson(rng: random.Random, mean: float) -> int:
    count, left = 0, rng.expovariate(1.0)
    while left < mean:
        count += 1
        left += rng.expovariate(1.0)
    return count


def run(rule: version_verdict.VerdictRule, seeds: int) -> list[Result]:
    """Simulate a roll-out for each seed."""
    return [play(draw(seed), rule, seed) for seed in range(seeds)]


def rows(results: list[Result]) -> list[list[str]]:
    """Return a row of the table for each kind of version."""
    by_kind: dict[str, list[Result]] = collections.defaultdict(list)
    for one in results:
        by_kind[one.scenario.kind].append(one)
    table = []
    for kind in KINDS:
        found = by_kind[kind]
        completed = sum(one.stage is rollout.Stage.COMPLETED for one in found)
        back = sum(one.stage is rollout.Stage.ROLLED_BACK for one in found)
        is_bad = kind != "good"
        over = sum(one.received > one.allowed for one in found) if is_bad else 0
        late = sum(one.late_ms > ROLL_BACK_MS for one in found) if is_bad else 0
        after = sorted(one.found_after for one in found if one.stage is rollout.Stage.ROLLED_BACK)
        median = str(after[len(after) // 2]) if after else "-"
        worst = max((one.received / one.allowed for one in found), default=0.0)
        table.append(
            [kind, *map(str, (len(found), completed, back, over, late)), median]
            + ([f"{worst:.2f}"] if is_bad else ["-"])
        )
    return table


HEAD = (
    "version",
    "roll-outs",
    "completed",
    "rolled back",
    "over the exposure",
    "over 5 s late",
    "requests until found, median",
    "most exposure used",
)


def main() -> None:
    """Simulate all seeds and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=400)
    seeds = parser.parse_args().seeds
    print(tabulate.tabulate(rows(run(version_verdict.ProbabilityRule(), seeds)), HEAD, "github"))


if __name__ == "__main__":
    main()
