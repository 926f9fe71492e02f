"""Growth, cap and jitter of backoff pauses."""

import random

from plumarch.core import backoff, clock

BACKOFF = backoff.Backoff(100.0, 1_000.0)


def test_pauses_double_up_to_the_maximum():
    rng = random.Random(1)
    for failures, longest in ((1, 100.0), (2, 200.0), (4, 800.0), (5, 1_000.0), (10_000, 1_000.0)):
        for _ in range(100):
            pause = BACKOFF.pause_ms(failures, rng)
            assert backoff.MIN_JITTER * longest <= pause <= longest


def test_jitter_spreads_retries_of_simultaneous_failures():
    pauses = {round(BACKOFF.pause_ms(1, random.Random(seed))) for seed in range(100)}
    assert len(pauses) > 30


def test_kinds_back_off_independently_and_a_success_resets():
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
