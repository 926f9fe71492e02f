"""Falls of endpoints: how they are noticed, and what their load does next."""

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


def test_one_lost_connection_is_no_fall_and_two_together_are_one():
    found, _ = guard()
    assert found.lost("e0", 12, 0.0) is None
    losses = found.lost("e0", 11, 0.0)
    assert losses is not None
    assert losses.running == 12
    assert found.lost("e0", 10, 0.0) is None


def test_losses_with_an_answer_or_a_pause_between_are_no_fall():
    found, time = guard()
    found.lost("e0", 12, 0.0)
    found.note_answer("e0")
    assert found.lost("e0", 12, 0.0) is None
    time.advance_to(crash_guard.LOSS_WINDOW_MS + 1)
    assert found.lost("e0", 12, 0.0) is None


def test_a_refused_connect_just_after_a_loss_is_a_fall():
    found, time = guard()
    assert found.connect_failed("e0") is None
    found.lost("e0", 12, 0.0)
    assert found.connect_failed("e0") is not None
    assert found.connect_failed("e0") is None
    found.lost("e1", 12, 0.0)
    time.advance_to(crash_guard.LOSS_WINDOW_MS + 1)
    assert found.connect_failed("e1") is None


def test_what_made_one_fall_is_kept_from_the_others_but_not_their_slots():
    found, time = guard()
    found.crashed("s", crash(20))
    assert found.per_slot("s") == concurrency_limit.DECREASE * 20 / SLOTS
    assert found.per_slot("other") is None
    found.crashed("s", crash(9))
    assert found.per_slot("s") == 1.0
    time.advance_to(concurrency_limit.CRASH_RETENTION_MS)
    assert found.per_slot("s") is None


def test_an_endpoint_lost_with_free_places_and_light_work_teaches_nothing():
    found, _ = guard()
    found.observe_load("s", 5_000.0)
    found.crashed("s", crash(5, weight=4_000.0))
    assert found.recent("s") is None
    assert found.per_slot("s") is None
    assert found.weight("s") is None


def test_heavier_work_than_any_borne_lowers_what_others_are_given_by_weight():
    found, _ = guard()
    found.observe_load("s", 5_000.0)
    found.crashed("s", crash(5, weight=20_000.0))
    assert found.per_slot("s") is None
    assert found.weight("s") == concurrency_limit.DECREASE * 20_000.0
    found.crashed("s", crash(5, weight=5_100.0))
    assert found.weight("s") == 5_000.0


def test_the_lost_load_is_let_in_by_parts_the_urgent_first():
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


def test_no_rank_waits_while_the_others_hold_no_more_than_before_the_fall():
    found, _ = guard()
    found.crashed("s", crash(SLOTS + 1, elsewhere=840))
    for rank in range(10):
        assert found.wait_ms("s", 839, 792, rank) == 0.0
        assert found.wait_ms("s", 845, 792, rank) > 0.0


def test_free_places_are_open_to_all_ranks_after_a_fall():
    found, _ = guard()
    found.crashed("s", crash(20, elsewhere=0))
    assert found.wait_ms("s", 15, 16, 9) == 0.0


def test_the_time_named_is_when_the_request_is_let_in():
    rng = random.Random(3)
    for _ in range(200):
        found, time = guard()
        found.crashed("s", crash(rng.randrange(SLOTS + 1, 60), elsewhere=rng.randrange(100)))
        time.advance_to(rng.randrange(crash_guard.RAMP_MS))
        running, rank = rng.randrange(200), rng.randrange(10)
        wait_ms = found.wait_ms("s", running, 16, rank)
        time.advance_to(time.now() + round(wait_ms) + 1)
        assert found.wait_ms("s", running, 16, rank) == 0.0
