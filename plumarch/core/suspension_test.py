"""Suspensions are told by looks that come late."""

from plumarch.core import clock, suspension


def test_looks_in_time_tell_nothing_and_late_ones_tell_how_long():
    time = clock.ManualClock(1_000)
    known = suspension.Suspensions(time)
    for _ in range(20):
        known.check()
        time.advance_to(time.now() + suspension.CHECK_INTERVAL_MS)
    assert known.count == 0 and not known.since(0)
    time.advance_to(time.now() + 20_000)
    assert known.since(time.now() - 20_000)
    assert known.count == 1 and known.total_ms >= 20_000
    assert not known.since(time.now())


def test_a_part_that_nobody_has_look_tells_nothing():
    time = clock.ManualClock(1_000)
    known = suspension.Suspensions(time)
    time.advance_to(60_000)
    assert not known.since(1_000)
    known.check()
    assert not known.since(1_000) and known.count == 0
