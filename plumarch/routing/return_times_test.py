"""Return times of rejected requests."""

import random

from plumarch.routing import return_times


def test_the_wait_for_a_queue_is_its_excess_over_the_target():
    assert return_times.when_drained(1_900.0, 1_200.0) == 700.0


def test_the_wait_at_a_full_service_ends_with_the_first_request():
    assert return_times.when_slot_is_free(24, 24, 2_400.0) == 100.0
    assert return_times.when_slot_is_free(36, 24, 2_400.0) == 1_300.0
    assert return_times.when_slot_is_free(0, 0, 80.0) == 80.0


def test_times_are_bounded_and_randomized():
    rng = random.Random(1)
    found = [return_times.spread(1_000.0, rng) for _ in range(50)]
    assert all(1_000.0 <= one <= 1_300.0 for one in found)
    assert len(set(found)) > 25
    assert return_times.spread(-5.0, rng) >= return_times.MIN_MS
    assert return_times.spread(1e9, rng) <= return_times.MAX_MS * (1 + return_times.MAX_SPREAD)
