"""Detection of suspensions by late checks."""

from plumarch.core import clock, suspension


def test_only_a_late_check_counts_as_a_suspension_and_adds_its_duration():
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


def test_no_suspension_is_reported_before_the_first_check():
    time = clock.ManualClock(1_000)
    known = suspension.Suspensions(time)
    time.advance_to(60_000)
    assert not known.since(1_000)
    known.check()
    assert not known.since(1_000) and known.count == 0
