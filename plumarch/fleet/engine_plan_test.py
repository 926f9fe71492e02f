"""Tests of the engine plan: spreading, reclaims, refusals and repeated orders."""

import dataclasses

from plumarch.core import clock, records, traffic
from plumarch.fleet import engine_plan, engine_pools

PRICES = {"a": 0.85, "b": 1.2, "c": 1.0}
SCALING = traffic.Scaling(1, 3, 4_000.0, 0.22, PRICES)


def engines(*pools: tuple[str, bool, int]) -> list[traffic.Endpoint]:
    found = []
    for name, spot, count in pools:
        for number in range(count):
            kind = "spot" if spot else "firm"
            one = traffic.Endpoint(
                f"{name}-{kind}-{number}", "s", "1:1", name, 8, traffic.EndpointState.READY, spot
            )
            found.append(one)
    return found


FIRM_AT_FIRST = engines(("a", False, 2), ("b", False, 1), ("c", False, 2))
ALL_SPOT = engines(("a", True, 2), ("b", True, 2), ("c", True, 1))


def settled(time: clock.ManualClock) -> engine_plan.EnginePlan:
    plan = engine_plan.EnginePlan(time, "s", first_start=True)
    plan.observe_endpoints(FIRM_AT_FIRST)
    assert plan.orders(SCALING, FIRM_AT_FIRST) == []
    time.advance_to(time.now() + engine_plan.SETTLE_MS)
    plan.first_start = False
    return plan


def by_pool(orders: list[records.EngineOrder]) -> dict[tuple[str, bool], int]:
    return {(one.data_centre, one.spot): one.count for one in orders}


def test_spot_endpoints_are_ordered_in_all_data_centres_before_firm_ones_are_released():
    plan = settled(clock.ManualClock())
    wanted = by_pool(plan.orders(SCALING, FIRM_AT_FIRST))
    # The initial number, spread evenly; the reserve follows once demand is known.
    assert wanted == {("a", True): 2, ("c", True): 2, ("b", True): 2}


def test_first_start_releases_firm_endpoints_at_once_unless_spot_orders_are_refused():
    plan = settled(clock.ManualClock())
    plan.first_start = True
    orders = plan.orders(SCALING, FIRM_AT_FIRST)
    assert [(one.data_centre, one.count) for one in orders if not one.spot] == [("a", 1), ("c", 1)]
    assert not orders[0].spot
    for order in orders:
        plan.ordered(order, refused=False)
    left = engines(("a", False, 1), ("b", False, 1), ("c", False, 1))
    last = plan.orders(SCALING, left)
    assert [one.count for one in last] == [0, 0, 0]
    for order in last:
        plan.ordered(order, refused=False)
    for order in orders:
        plan.ordered(order, refused=order.spot)
    assert any(not one.spot and one.count for one in plan.orders(SCALING, []))


def test_draining_endpoints_that_register_late_count_at_the_first_start():
    time = clock.ManualClock()
    plan = engine_plan.EnginePlan(time, "s", first_start=True)
    plan.observe_endpoints(FIRM_AT_FIRST[:1])
    time.advance_to(time.now() + engine_plan.SETTLE_MS)
    plan.observe_endpoints(
        [dataclasses.replace(one, state=traffic.EndpointState.DRAINING) for one in FIRM_AT_FIRST]
    )
    plan.observe_endpoints(ALL_SPOT)
    assert plan.initial_count == len(FIRM_AT_FIRST)


def test_first_start_orders_nothing_while_endpoints_register():
    time = clock.ManualClock()
    plan = engine_plan.EnginePlan(time, "s", first_start=True)
    registered = []
    for one in FIRM_AT_FIRST:
        registered.append(one)
        plan.observe_endpoints(registered)
        assert plan.orders(SCALING, registered) == []
        time.advance_to(time.now() + engine_plan.REGISTRATION_QUIET_MS - 200)
    assert plan.orders(SCALING, registered) == []
    time.advance_to(time.now() + 200)
    assert plan.orders(SCALING, registered) != []
    assert plan.initial_count == len(FIRM_AT_FIRST)


def test_demand_rises_faster_than_it_falls():
    plan = engine_plan.EnginePlan(clock.ManualClock(), "s")
    plan.sample_demand(10.0)
    assert plan.demand >= 2.5
    risen = plan.demand
    plan.sample_demand(0)
    assert plan.demand > 0.8 * risen


def test_firm_endpoints_are_released_once_spot_ones_are_ready():
    time = clock.ManualClock()
    plan = settled(time)
    for order in plan.orders(SCALING, FIRM_AT_FIRST):
        plan.ordered(order, refused=False)
    time.advance_to(time.now() + round(SCALING.boot_ms))
    ready_now = FIRM_AT_FIRST + engines(("a", True, 3), ("b", True, 3), ("c", True, 3))
    wanted = by_pool(plan.orders(SCALING, ready_now))
    assert wanted == {("a", False): 0, ("b", False): 0, ("c", False): 0}


def test_firm_endpoints_are_ordered_when_too_few_are_ready():
    time = clock.ManualClock()
    plan = settled(time)
    left = engines(("b", True, 1))
    time.advance_to(time.now() + engine_plan.INITIAL_WINDOW_MS)
    wanted = by_pool(plan.orders(SCALING, left))
    assert sum(count for (_, spot), count in wanted.items() if not spot) == 4
    assert wanted[("a", True)] == 2


def test_firm_endpoints_stay_until_ordered_spot_ones_are_ready():
    time = clock.ManualClock()
    plan = settled(time)
    time.advance_to(time.now() + engine_plan.INITIAL_WINDOW_MS)
    for order in plan.orders(SCALING, FIRM_AT_FIRST):
        plan.ordered(order, refused=False)
    assert plan.orders(SCALING, FIRM_AT_FIRST) == []
    some_came = FIRM_AT_FIRST + engines(("a", True, 3))
    firm = {one.data_centre: one.count for one in plan.orders(SCALING, some_came) if not one.spot}
    assert firm == {"a": 1, "b": 0, "c": 1}


def test_firm_endpoints_are_kept_while_spot_orders_are_refused():
    time = clock.ManualClock()
    plan = settled(time)
    time.advance_to(time.now() + engine_plan.INITIAL_WINDOW_MS)
    ready_now = engines(("b", True, 3), ("c", True, 3))
    for order in plan.orders(SCALING, ready_now):
        plan.ordered(order, refused=order.spot)
    firm = [one for one in plan.orders(SCALING, ready_now) if not one.spot]
    assert [(one.data_centre, one.count) for one in firm] == [("a", 3)]
    time.advance_to(time.now() + 10 * engine_plan.REPEAT_MS)
    assert all(one.count == 0 for one in plan.orders(SCALING, ready_now) if not one.spot)


def test_no_firm_endpoints_are_ordered_while_spot_ones_boot():
    time = clock.ManualClock()
    plan = settled(time)
    time.advance_to(time.now() + engine_plan.INITIAL_WINDOW_MS)
    left = engines(("b", True, 1))
    for order in plan.orders(SCALING, left):
        if order.spot:
            plan.ordered(order, refused=False)
    assert all(one.spot for one in plan.orders(SCALING, left))
    time.advance_to(time.now() + round(SCALING.boot_ms + engine_plan.BOOT_MARGIN_MS))
    assert any(not one.spot for one in plan.orders(SCALING, left))


def test_draining_endpoints_do_not_count():
    plan = settled(clock.ManualClock())
    leaving = [
        dataclasses.replace(one, state=traffic.EndpointState.DRAINING) for one in ALL_SPOT[:2]
    ]
    assert ("a", True) in by_pool(plan.orders(SCALING, leaving + ALL_SPOT[2:]))


def test_refused_orders_are_repeated_early_and_accepted_ones_after_the_boot_time():
    time = clock.ManualClock()
    plan = settled(time)
    refused, accepted = plan.orders(SCALING, FIRM_AT_FIRST)[:2]
    for order in plan.orders(SCALING, FIRM_AT_FIRST):
        plan.ordered(order, refused=order == refused)
    assert all(not one.spot for one in plan.orders(SCALING, FIRM_AT_FIRST))
    time.advance_to(time.now() + engine_plan.REPEAT_MS)
    assert [one for one in plan.orders(SCALING, FIRM_AT_FIRST) if one.spot] == [refused]
    plan.ordered(refused, refused=True)
    time.advance_to(time.now() + round(SCALING.boot_ms + engine_plan.BOOT_MARGIN_MS))
    assert accepted in plan.orders(SCALING, FIRM_AT_FIRST)


def test_the_plan_shrinks_only_by_a_margin():
    plan = settled(clock.ManualClock())
    for _ in range(100):
        plan.sample_demand(7.6)
    assert plan.needed(SCALING) == 8
    for _ in range(100):
        plan.sample_demand(6.6)
    assert plan.needed(SCALING) == 8
    for _ in range(200):
        plan.sample_demand(0)
    assert plan.needed(SCALING) == len(PRICES) * SCALING.minimum


def test_the_initial_size_is_kept_until_demand_is_known():
    plan = settled(clock.ManualClock())
    for _ in range(engine_plan.DEMAND_SAMPLES - 1):
        plan.sample_demand(0.5)
    assert plan.needed(SCALING) == len(FIRM_AT_FIRST)
    plan.sample_demand(0.5)
    assert plan.needed(SCALING) == len(PRICES) * SCALING.minimum


def test_with_unknown_engine_speed_the_size_never_falls_below_the_initial_one():
    plan = settled(clock.ManualClock())
    for _ in range(50):
        plan.sample_demand(1.0, speed_known=False)
    assert plan.needed(SCALING) == len(FIRM_AT_FIRST)
    for _ in range(50):
        plan.sample_demand(7.6, speed_known=False)
    assert plan.needed(SCALING) == 8


def test_a_new_holder_keeps_the_previous_size_until_demand_is_known():
    plan = engine_plan.EnginePlan(clock.ManualClock(), "s")
    plan.take_over(7)
    assert plan.needed(SCALING) == 7
    for _ in range(engine_plan.DEMAND_SAMPLES + 40):
        plan.sample_demand(3.9)
    assert plan.needed(SCALING) == 4
    assert plan.size() == 4


def test_half_the_needed_endpoints_survive_the_loss_of_two_data_centres():
    for centres in (3, 4, 5):
        prices = {f"dc{number}": 1.0 for number in range(centres)}
        scaling = traffic.Scaling(1, 40, 4_000.0, 0.22, prices)
        plan = engine_plan.EnginePlan(clock.ManualClock(), "s", initial_count=30)
        counts = sorted(engine_pools.spread(plan.spot_wanted(scaling), scaling).values())
        assert sum(counts) >= 30
        assert sum(counts[: centres - 2]) >= 15


def test_all_needed_endpoints_survive_the_loss_of_one_data_centre():
    for centres in (2, 3, 4, 5):
        prices = {f"dc{number}": 1.0 for number in range(centres)}
        scaling = traffic.Scaling(1, 40, 4_000.0, 0.22, prices)
        plan = engine_plan.EnginePlan(clock.ManualClock(), "s", initial_count=30)
        counts = sorted(engine_pools.spread(plan.spot_wanted(scaling), scaling).values())
        assert sum(counts[: centres - 1]) >= 30


def test_more_data_centres_need_a_smaller_reserve():
    wanted = []
    for centres in (3, 4, 5):
        prices = {f"dc{number}": 1.0 for number in range(centres)}
        scaling = traffic.Scaling(1, 60, 4_000.0, 0.22, prices)
        plan = engine_plan.EnginePlan(clock.ManualClock(), "s", initial_count=60)
        wanted.append(plan.spot_wanted(scaling))
    assert wanted == [120, 96, 90]


def test_no_spot_endpoint_is_released_while_spot_orders_are_refused():
    time = clock.ManualClock()
    plan = settled(time)
    for _ in range(60):
        plan.sample_demand(2.0)
    ready = {engine_pools.Pool("b", True): 3, engine_pools.Pool("c", True): 3}
    plan.ordered(records.EngineOrder("s", "a", 2, True), refused=True)
    wanted = plan.wanted(SCALING, ready)
    assert wanted[engine_pools.Pool("b", True)] == 3
    time.advance_to(time.now() + 2 * engine_plan.REPEAT_MS)
    assert plan.wanted(SCALING, ready)[engine_pools.Pool("b", True)] == 2


def test_minimum_and_maximum_are_respected():
    plan = settled(clock.ManualClock())
    for _ in range(300):
        plan.sample_demand(1e9)
    assert plan.needed(SCALING) == 9
    assert engine_pools.spread(50, SCALING) == {"a": 3, "b": 3, "c": 3}


MANY = traffic.Scaling(1, 20, 4_000.0, 0.22, PRICES)
"""Limits of a larger service that runs 30 needed endpoints and a reserve of 15."""

MANY_RUN = engines(("a", True, 15), ("b", True, 15), ("c", True, 15))


def later_start(time: clock.ManualClock, run: list[traffic.Endpoint]) -> engine_plan.EnginePlan:
    plan = engine_plan.EnginePlan(time, "s")
    plan.observe_endpoints(run)
    time.advance_to(time.now() + engine_plan.SETTLE_MS)
    return plan


def test_no_endpoint_is_released_while_demand_is_unknown():
    mixed = MANY_RUN + engines(("b", False, 4))
    for samples in range(engine_plan.DEMAND_SAMPLES):
        plan = later_start(clock.ManualClock(), mixed)
        for _ in range(samples):
            plan.sample_demand(2.5)
        ready = {("a", True): 15, ("b", True): 15, ("c", True): 15, ("b", False): 4}
        for pool, count in by_pool(plan.orders(MANY, mixed)).items():
            assert count >= ready.get(pool, 0)


def test_the_reserve_is_ordered_once_demand_is_known():
    plan = settled(clock.ManualClock())
    assert plan.spot_wanted(SCALING) == 6
    for _ in range(engine_plan.DEMAND_SAMPLES):
        plan.sample_demand(5.0)
    assert plan.spot_wanted(SCALING) == 9


def test_the_first_sample_counts_in_full():
    plan = settled(clock.ManualClock())
    plan.sample_demand(6.0)
    assert plan.demand == 6.0


def test_a_size_recorded_while_engines_registered_is_no_limit():
    plan = settled(clock.ManualClock())
    plan.take_over(2)
    assert plan.needed(SCALING) == len(FIRM_AT_FIRST)


def test_two_further_losses_are_covered_while_spot_orders_are_refused():
    time = clock.ManualClock()
    plan = engine_plan.EnginePlan(time, "s", initial_count=12)
    for _ in range(engine_plan.NO_SHRINK_SAMPLES):
        plan.sample_demand(12.0)
    plan.observe_endpoints(MANY_RUN)
    time.advance_to(time.now() + engine_plan.SETTLE_MS)
    plan.ordered(records.EngineOrder("s", "c", 6, True), refused=True)

    def firm(*left: tuple[str, bool, int]) -> int:
        orders = plan.orders(MANY, engines(*left))
        return sum(one.count for one in orders if not one.spot)

    assert firm(("a", True, 15), ("b", True, 15)) == 11
    assert firm(("a", True, 6)) == 11
    assert firm(("a", True, 6), ("b", False, 11)) == 0
    assert firm(("a", True, 8), ("b", True, 8), ("c", True, 4)) == 7


def test_without_a_previous_size_the_running_endpoints_determine_it():
    plan = later_start(clock.ManualClock(), MANY_RUN)
    assert plan.needed(MANY) == 22
    left = MANY_RUN[:30]
    assert plan.orders(MANY, left) != []
    assert plan.spot_wanted(MANY) == 45
    plan.take_over(24)
    assert plan.needed(MANY) == 24


def test_demand_is_measured_again_after_an_isolation():
    time = clock.ManualClock()
    plan = settled(time)
    time.advance_to(time.now() + engine_plan.INITIAL_WINDOW_MS)
    for _ in range(2 * engine_plan.DEMAND_SAMPLES):
        plan.sample_demand(1.0)
    plan.reset_demand()
    plan.sample_demand(0.1)
    assert plan.needed(SCALING) == len(FIRM_AT_FIRST)
    assert all(one.count >= 2 for one in plan.orders(SCALING, ALL_SPOT) if one.data_centre != "c")


def test_demand_does_not_fall_while_nodes_are_unreachable():
    plan = settled(clock.ManualClock())
    for _ in range(60):
        plan.sample_demand(8.0)
    for _ in range(60):
        plan.sample_demand(3.0, fleet_reachable=False)
    assert plan.needed(SCALING) == 8
    for _ in range(60):
        plan.sample_demand(8.9, fleet_reachable=False)
    assert plan.needed(SCALING) == 9


def test_endpoints_lost_soon_after_an_order_are_replaced_at_once():
    time = clock.ManualClock()
    plan = later_start(time, MANY_RUN)
    for order in plan.orders(MANY, MANY_RUN[:44]):
        plan.ordered(order, refused=False)
    assert plan.orders(MANY, MANY_RUN[:44]) == []
    time.advance_to(time.now() + 500)
    assert [one.data_centre for one in plan.orders(MANY, MANY_RUN[:30])] == ["c"]
    for order in plan.orders(MANY, MANY_RUN[:30]):
        plan.ordered(order, refused=False)
    assert plan.orders(MANY, MANY_RUN[:30]) == []


def test_firm_orders_respect_the_maximum_of_both_kinds():
    time = clock.ManualClock()
    plan = later_start(time, MANY_RUN)
    full = engines(("a", True, 17), ("b", True, 17))
    plan.ordered(records.EngineOrder("s", "c", 17, True), refused=True)
    firm = {one.data_centre: one.count for one in plan.orders(MANY, full) if not one.spot}
    assert sum(firm.values()) == 19
    assert firm["a"] <= 3 and firm["b"] <= 3 and firm["c"] == 13
    time.advance_to(time.now() + 500)
    half = engines(("a", True, 17))
    firm = {one.data_centre: one.count for one in plan.orders(MANY, half) if not one.spot}
    assert firm["b"] > 3


def test_a_refused_pool_is_not_ordered_again_at_once():
    time = clock.ManualClock()
    plan = later_start(time, MANY_RUN)
    plan.ordered(records.EngineOrder("s", "c", 17, True), refused=True)
    pool = engine_pools.Pool("c", True)
    assert not plan._is_due(pool, 19, 0, MANY)
    assert plan._is_due(pool, 15, 17, MANY)
    time.advance_to(time.now() + engine_plan.REPEAT_MS)
    assert plan._is_due(pool, 19, 0, MANY)
