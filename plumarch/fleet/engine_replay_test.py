"""Replays of demand that compare cost and shortage of regional plans and even spreading."""

import dataclasses
import math
from collections.abc import Callable, Mapping

import pytest

from plumarch.core import clock, traffic
from plumarch.fleet import engine_plan, region_demand
from plumarch.standins import engine_cloud

REGION_OF = {"n1": "n", "n2": "n", "s1": "s", "s2": "s", "w1": "w", "w2": "w"}
PRICES = {"n1": 1.0, "n2": 0.9, "s1": 1.15, "s2": 1.0, "w1": 0.85, "w2": 1.1}
SCALING = traffic.Scaling(1, 20, 4_000.0, 0.18, PRICES)
START_MS = 1_000_000
DAY_S = 60
STEP_MS = 250
LATENCY_FRACTION = 0.12
LATEST_FIRST_REQUEST_S = 6

Demand = Callable[[int], Mapping[str, float]]


@dataclasses.dataclass(frozen=True)
class Reclaim:
    at_s: float
    data_centre: str
    none_for_s: float = 12.0


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Result of a replay.

    Attributes:
      paid: weighted engine seconds.
      firm: those of firm engines.
      missing: engine seconds below MIN_READY_FRACTION of the demand, over all regions.
      remote: engine seconds demanded in a region beyond those that ran in it.
      asked: all engine seconds demanded.
      started: engines started.
    """

    cost: float
    firm: float
    missing: float
    remote: float
    asked: float
    started: int


def replay(
    demand: Demand, reclaims: tuple[Reclaim, ...], by_region: bool, first: int = 4
) -> Outcome:
    """Replay a day.

    Args:
      demand: engines needed by region, at a second of the day.
      first: firm engines in each data centre at the start.
    """
    time = clock.ManualClock(START_MS)
    cloud = engine_cloud.EngineCloud(time, "s", SCALING)
    cloud.begin(dict.fromkeys(PRICES, first))
    plan = engine_plan.EnginePlan(time, "s", first_start=True)
    regions = region_demand.RegionDemand()
    missing = remote = asked = 0.0
    open_reclaims = sorted(reclaims, key=lambda one: one.at_s)
    for step in range(DAY_S * 1_000 // STEP_MS):
        second = step * STEP_MS / 1_000.0
        while open_reclaims and open_reclaims[0].at_s <= second:
            one = open_reclaims.pop(0)
            cloud.reclaim(one.data_centre, round(one.none_for_s * 1_000))
        now = demand(int(second)) if second >= LATEST_FIRST_REQUEST_S else {}
        if step % 4 == 0 and now:
            rate = regions.sample({one: 1_000.0 * many for one, many in now.items()}, frozenset())
            plan.sample_demand(rate / 1_000.0)
        if by_region:
            plan.regions = regions.view(REGION_OF, LATENCY_FRACTION)
        plan.observe_endpoints(cloud.endpoints())
        for order in plan.orders(SCALING, cloud.endpoints()):
            plan.ordered(order, cloud.order(order))
        run: dict[str, float] = dict.fromkeys("nsw", 0.0)
        for endpoint in cloud.endpoints():
            if endpoint.state is traffic.EndpointState.READY:
                run[REGION_OF[endpoint.data_centre]] += 1
        step_s = STEP_MS / 1_000.0
        asked += sum(now.values()) * step_s
        missing += (
            max(0.0, sum(now.values()) * engine_plan.MIN_READY_FRACTION - sum(run.values()))
            * step_s
        )
        remote += sum(max(0.0, many - run[region]) for region, many in now.items()) * step_s
        cloud.advance(STEP_MS)
    return Outcome(cloud.cost, cloud.firm_cost, missing, remote, asked, cloud.started)


def waves(total: float, swing: float) -> Demand:
    """Return a demand whose regions oscillate out of phase."""

    def at(second: int) -> dict[str, float]:
        return {
            region: total / 3 * (1 + swing * math.sin(2 * math.pi * (second / 40 + number / 3)))
            for number, region in enumerate("nsw")
        }

    return at


def moving(total: float) -> Demand:
    """Return a demand that shifts mostly from one region to another within 5 s."""

    def at(second: int) -> dict[str, float]:
        moved = min(1.0, max(0.0, (second - 25) / 5))
        return {
            "n": total * (0.6 - 0.4 * moved),
            "s": total * (0.2 + 0.4 * moved),
            "w": total * 0.2,
        }

    return at


NO_RECLAIMS: tuple[Reclaim, ...] = ()
ONE = (Reclaim(20, "n1"), Reclaim(40, "w2"))
SEVERAL = (
    Reclaim(15, "n1"),
    Reclaim(16.5, "s2"),
    Reclaim(18.5, "w1"),
    Reclaim(40, "s1"),
    Reclaim(42, "n2"),
)

DAYS = {
    "quiet-6": (waves(6.0, 0.3), NO_RECLAIMS),
    "quiet-10": (waves(10.0, 0.4), NO_RECLAIMS),
    "quiet-24": (waves(24.0, 0.4), NO_RECLAIMS),
    "moving-12": (moving(12.0), NO_RECLAIMS),
    "one-10": (waves(10.0, 0.4), ONE),
    "one-24": (waves(24.0, 0.4), ONE),
    "several-10": (waves(10.0, 0.4), SEVERAL),
    "several-24": (waves(24.0, 0.4), SEVERAL),
    "moving-several-12": (moving(12.0), SEVERAL),
}


def both(day: str) -> tuple[Outcome, Outcome]:
    demand, reclaims = DAYS[day]
    return replay(demand, reclaims, False), replay(demand, reclaims, True)


@pytest.mark.parametrize("day", DAYS)
def test_regional_plans_cost_less_than_even_spreading(day: str):
    evenly, by_region = both(day)
    assert by_region.cost < evenly.cost, (evenly, by_region)


@pytest.mark.parametrize("day", DAYS)
def test_shortage_is_limited_to_three_losses_within_a_boot(day: str):
    _, by_region = both(day)
    least = 0.005 * by_region.asked if "several" in day else 0.0
    assert by_region.missing <= least, by_region


@pytest.mark.parametrize("day", [day for day in DAYS if day.startswith("quiet")])
def test_calm_regions_serve_their_callers_locally(day: str):
    _, by_region = both(day)
    assert by_region.remote <= 0.04 * by_region.asked, by_region


def test_remote_spot_endpoints_replace_firm_ones():
    evenly, by_region = both("several-10")
    assert by_region.firm < 0.5 * evenly.firm
