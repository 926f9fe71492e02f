"""Pauses double up to a limit, and differ between nodes."""

import random

from plumarch.core import backoff, clock

BACKOFF = backoff.Backoff(100.0, 1_000.0)


def test_pauses_double_up_to_the_longest_and_stay_there():
    rng = random.Random(1)
    for failures, longest in ((1, 100.0), (2, 200.0), (4, 800.0), (5, 1_000.0), (10_000, 1_000.0)):
        for _ in range(100):
            pause = BACKOFF.pause_ms(failures, rng)
            assert backoff.MIN_JITTER * longest <= pause <= longest


def test_nodes_that_failed_together_call_again_at_different_times():
    pauses = {round(BACKOFF.pause_ms(1, random.Random(seed))) for seed in range(100)}
    assert len(pauses) > 30


def test_kinds_of_work_wait_for_themselves_only_and_until_they_are_done_once():
    time = clock.ManualClock(5_000)
    retries = backoff.Retries(time, random.Random(1), BACKOFF)
    for _ in range(6):
        retries.failed("one")
    assert not retries.is_due("one")
    assert retries.is_due("other")
    time.advance_to(6_000)
    assert retries.is_due("one")
    retries.done("one")
    retries.failed("one")
    time.advance_to(6_100)
    assert retries.is_due("one")
