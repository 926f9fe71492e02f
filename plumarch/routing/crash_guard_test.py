"""Detection of endpoint crashes, and the admission of their load."""

import dataclasses
import random

from plumarch.core import clock
from plumarch.routing import concurrency_limit, crash_guard

SLOTS = 8


def guard() -> tuple[crash_guard.CrashGuard, clock.ManualClock]:
    time = clock.ManualClock()
    return crash_guard.CrashGuard(time), time


def crash(
    running: int, weight: float = 0.0, elsewhere: int = 0, at_ms: int = 0
) -> crash_guard.Crash:
    return crash_guard.Crash("e0", at_ms, running, weight, SLOTS, elsewhere)


def test_two_connections_lost_together_are_a_crash_but_one_is_not():
    found, _ = guard()
    assert found.lost("e0", 12, 0.0) is None
    losses = found.lost("e0", 11, 0.0)
    assert losses is not None
    assert losses.running == 12
    assert found.lost("e0", 10, 0.0) is None


def test_losses_with_an_answer_or_a_pause_between_are_no_crash():
    found, time = guard()
    found.lost("e0", 12, 0.0)
    found.note_answer("e0")
    assert found.lost("e0", 12, 0.0) is None
    time.advance_to(crash_guard.LOSS_WINDOW_MS + 1)
    assert found.lost("e0", 12, 0.0) is None


def test_a_failed_connect_just_after_a_loss_is_a_crash():
    found, time = guard()
    assert found.connect_failed("e0") is None
    found.lost("e0", 12, 0.0)
    assert found.connect_failed("e0") is not None
    assert found.connect_failed("e0") is None
    found.lost("e1", 12, 0.0)
    time.advance_to(crash_guard.LOSS_WINDOW_MS + 1)
    assert found.connect_failed("e1") is None


def test_a_crash_limits_other_endpoints_but_not_below_their_slots():
    found, time = guard()
    found.crashed("s", crash(20))
    assert found.per_slot("s") == concurrency_limit.DECREASE * 20 / SLOTS
    assert found.per_slot("other") is None
    found.crashed("s", crash(9))
    assert found.per_slot("s") == 1.0
    time.advance_to(concurrency_limit.CRASH_RETENTION_MS)
    assert found.per_slot("s") is None


def test_a_crash_with_free_slots_and_light_load_sets_no_limit():
    found, _ = guard()
    found.observe_load("s", 5_000.0)
    found.crashed("s", crash(5, weight=4_000.0))
    assert found.recent("s") is None
    assert found.per_slot("s") is None
    assert found.weight("s") is None


def test_a_crash_under_unprecedented_weight_sets_a_weight_limit():
    found, _ = guard()
    found.observe_load("s", 5_000.0)
    found.crashed("s", crash(5, weight=20_000.0))
    assert found.per_slot("s") is None
    assert found.weight("s") == concurrency_limit.DECREASE * 20_000.0
    found.crashed("s", crash(5, weight=5_100.0))
    assert found.weight("s") == 5_000.0


def test_the_lost_load_is_admitted_gradually_urgent_ranks_first():
    found, time = guard()
    found.crashed("s", crash(20, elsewhere=40))
    assert found.wait_ms("s", 44, 16, 0) == 0.0
    assert found.wait_ms("s", 45, 16, 0) > 0.0
    assert found.wait_ms("s", 44, 16, 3) > 0.0
    wait_ms = found.wait_ms("s", 50, 16, 0)
    time.advance_to(round(wait_ms) + 1)
    assert found.wait_ms("s", 50, 16, 0) == 0.0
    time.advance_to(crash_guard.RAMP_MS)
    assert found.wait_ms("s", 1_000, 16, 9) == 0.0


def test_no_rank_waits_while_other_endpoints_run_no_more_than_before_the_crash():
    found, _ = guard()
    found.crashed("s", crash(SLOTS + 1, elsewhere=840))
    for rank in range(10):
        assert found.wait_ms("s", 839, 792, rank) == 0.0
        assert found.wait_ms("s", 845, 792, rank) > 0.0


def test_free_slots_are_open_to_all_ranks_after_a_crash():
    found, _ = guard()
    found.crashed("s", crash(20, elsewhere=0))
    assert found.wait_ms("s", 15, 16, 9) == 0.0


def test_the_wait_ends_when_the_request_is_admitted():
    rng = random.Random(3)
    for _ in range(200):
        found, time = guard()
        found.crashed("s", crash(rng.randrange(SLOTS + 1, 60), elsewhere=rng.randrange(100)))
        time.advance_to(rng.randrange(crash_guard.RAMP_MS))
        running, rank = rng.randrange(200), rng.randrange(10)
        wait_ms = found.wait_ms("s", running, 16, rank)
        time.advance_to(time.now() + round(wait_ms) + 1)
        assert found.wait_ms("s", running, 16, rank) == 0.0


def test_an_endpoint_that_lives_takes_back_its_crash_only():
    found, time = guard()
    found.crashed("s", crash(20))
    time.advance_to(5_000)
    found.crashed("s", dataclasses.replace(crash(9, at_ms=5_000), endpoint="e1"))
    assert found.per_slot("s") == 1.0
    assert not found.retract("s", "e0", 5_000)
    assert found.retract("s", "e1", 5_000)
    assert found.per_slot("s") == concurrency_limit.DECREASE * 20 / SLOTS
    assert found.recent("s") is None
    assert found.retract("s", "e0", 0)
    assert found.per_slot("s") is None


def test_the_number_of_crashes_that_are_kept_is_bounded():
    found, _ = guard()
    for running in range(9, 9 + 2 * crash_guard.MAX_LESSONS):
        found.crashed("s", crash(running))
    assert len(found.services["s"].lessons) == crash_guard.MAX_LESSONS
