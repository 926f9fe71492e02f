"""How much crashes count against prompt segments."""

from plumarch.core import clock
from plumarch.limits import quarantine, recent_answers, segment_crashes

START_MS = 1_700_000_000_000


def new() -> tuple[segment_crashes.SegmentCrashes, clock.ManualClock]:
    wall = clock.ManualClock(START_MS)
    return segment_crashes.SegmentCrashes(wall), wall


def test_a_segment_without_an_answer_gets_full_points():
    known, _ = new()
    assert known.points("s", is_repeat=False) == quarantine.EARLY_POINTS


def test_a_segment_that_was_just_answered_gets_no_points():
    known, wall = new()
    known.answers.note("s")
    wall.time_ms += segment_crashes.JUST_ANSWERED_MS - 1
    assert known.points("s", is_repeat=False) == 0
    assert known.points("t", is_repeat=False) == quarantine.EARLY_POINTS


def test_a_segment_that_was_answered_lately_gets_fewer_points():
    known, wall = new()
    known.answers.note("s")
    wall.time_ms += segment_crashes.JUST_ANSWERED_MS
    assert known.points("s", is_repeat=False) == segment_crashes.EXPLAINED_POINTS
    wall.time_ms += recent_answers.RETENTION_MS
    assert known.points("s", is_repeat=False) == quarantine.EARLY_POINTS


def test_a_request_that_crashes_three_endpoints_quarantines_none_of_its_segments():
    known, _ = new()
    points = [known.points("s", is_repeat) for is_repeat in (False, True, True)]
    assert sum(points) < quarantine.QUARANTINE_POINTS


def test_a_segment_is_quarantined_by_the_fifth_crash_even_if_it_was_answered_before():
    assert 5 * segment_crashes.EXPLAINED_POINTS >= quarantine.QUARANTINE_POINTS
