"""Roll-outs of good and bad versions on virtual time: how many are judged right, and at what cost.

    python -m bench.rollout_trials [--seeds 400]

Each seed draws a service (2 to 4 routes, 10 to 200 requests a second, 10 to 40 s to roll out, 0.3 %
to 2 % of the old version's answers bad, in some seeds 10 % for a while on both versions) and a
version: good, or bad in one of the ways of KINDS. The plan sees counts that are 0.5 s old.
"""

import argparse
import collections
import dataclasses
import random

import tabulate

from plumarch.core import clock, rollouts
from plumarch.fleet import rollout, version_tally, version_verdict

TICK_MS = 250
NEWS_TICKS = 2
EXPOSURE = rollout.Exposure(0.1, 50)
BAD_LIMIT = 50
ROLL_BACK_MS = 5_000
KINDS = ("good", "fails", "rarely", "later", "one route", "under load")


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A service and a version.

    Attributes:
      rates: requests a second of each route.
      old_bad: part of the old version's answers that are bad.
      trouble: from when to when, as parts of the time, a tenth more is bad on both.
      new_bad: further part of the new version's that are bad, where and when it is bad at all.
    """

    kind: str
    duration_ms: int
    rates: tuple[float, ...]
    old_bad: float
    trouble: tuple[float, float]
    new_bad: float
    bad_from: float
    come_ms: int


@dataclasses.dataclass
class Result:
    """How a roll-out went.

    Attributes:
      got: requests that the new version got, and how many it may get.
      late_ms: time from its 50th bad answer to the last request that it got.
    """

    scenario: Scenario
    stage: rollout.Stage
    got: int
    allowed: float
    found_after: int
    late_ms: int


def draw(seed: int) -> Scenario:
    """Draw a scenario; every second one is good."""
    rng = random.Random(seed)
    kind = "good" if seed % 2 == 0 else KINDS[1 + seed // 2 % (len(KINDS) - 1)]
    duration = rng.choice((10_000, 12_000, 20_000, 40_000))
    total = rng.choice((10.0, 50.0, 130.0, 200.0))
    weights = [rng.uniform(0.2, 1.0) for _ in range(rng.randint(2, 4))]
    rates = tuple(total * one / sum(weights) for one in weights)
    begin = rng.random()
    trouble = (begin, begin + 0.3) if rng.random() < 0.3 else (2.0, 2.0)
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
        kind, duration, rates, rng.uniform(0.003, 0.02), trouble, new_bad, bad_from, come
    )


def play(scenario: Scenario, rule: version_verdict.VerdictRule, seed: int) -> Result:
    """Play a roll-out until its time is over."""
    rng = random.Random(seed + 1_000_000)
    time = clock.ManualClock(1_000_000)
    order = rollouts.RolloutOrder("s", "v2", scenario.duration_ms, 1)
    plan = rollout.RolloutPlan(time, order, EXPOSURE, time.now(), rule)
    routes = [f"r{number}" for number in range(len(scenario.rates))]
    pairs = {
        route: version_tally.VersionPair(version_tally.Tally(), version_tally.Tally())
        for route in routes
    }
    seen = [dict(pairs)] * (NEWS_TICKS + 1)
    shares = [0.0] * (NEWS_TICKS + 1)
    got = total = bad = found = 0
    bad_at = last_at = -1
    running_old = 100.0
    for tick in range(scenario.duration_ms // TICK_MS):
        elapsed = tick * TICK_MS / scenario.duration_ms
        share = shares.pop(0)
        for route, rate in zip(routes, scenario.rates, strict=True):
            count = _poisson(rng, rate * TICK_MS / 1_000)
            new = sum(rng.random() < share for _ in range(count))
            total, got = total + count, got + new
            if new:
                last_at = tick
            p_old, p_new = _bad_parts(scenario, route, elapsed, share)
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
        new_ready = 10 if tick * TICK_MS >= scenario.come_ms else 0
        sight = rollout.Observation(
            new_ready, 10, int(running_old), sum(scenario.rates), seen.pop(0)
        )
        was_over = plan.stage.is_over()
        plan.step(sight)
        if plan.stage.is_over() and not was_over:
            found = got
        shares.append(plan.share)
    late = (last_at - bad_at) * TICK_MS if bad_at >= 0 else 0
    allowed = EXPOSURE.share * total + EXPOSURE.extra_requests
    return Result(scenario, plan.stage, got, allowed, found, late)


def _bad_parts(scenario: Scenario, route: str, elapsed: float, share: float) -> tuple[float, float]:
    old = scenario.old_bad
    if scenario.trouble[0] <= elapsed < scenario.trouble[1]:
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
    """Play all seeds with a rule."""
    return [play(draw(seed), rule, seed) for seed in range(seeds)]


def rows(results: list[Result]) -> list[list[str]]:
    """Return a row for each kind of version."""
    by_kind: dict[str, list[Result]] = collections.defaultdict(list)
    for one in results:
        by_kind[one.scenario.kind].append(one)
    table = []
    for kind in KINDS:
        found = by_kind[kind]
        completed = sum(one.stage is rollout.Stage.COMPLETED for one in found)
        back = sum(one.stage is rollout.Stage.ROLLED_BACK for one in found)
        is_bad = kind != "good"
        over = sum(one.got > one.allowed for one in found) if is_bad else 0
        late = sum(one.late_ms > ROLL_BACK_MS for one in found) if is_bad else 0
        after = sorted(one.found_after for one in found if one.stage is rollout.Stage.ROLLED_BACK)
        median = str(after[len(after) // 2]) if after else "-"
        worst = max((one.got / one.allowed for one in found), default=0.0)
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
    """Print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=400)
    seeds = parser.parse_args().seeds
    print(tabulate.tabulate(rows(run(version_verdict.ProbabilityRule(), seeds)), HEAD, "github"))


if __name__ == "__main__":
    main()
