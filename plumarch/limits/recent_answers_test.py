"""Recent answers are known, up to a maximum number."""

from plumarch.core import clock
from plumarch.limits import recent_answers


def test_an_answer_is_remembered_for_a_while():
    time = clock.ManualClock(1_000)
    known = recent_answers.RecentAnswers(time)
    known.note("f")
    time.advance_to(1_000 + recent_answers.RETENTION_MS - 1)
    assert known.has("f") and not known.has("g")
    time.advance_to(1_000 + recent_answers.RETENTION_MS)
    assert not known.has("f")


def test_beyond_the_maximum_the_oldest_are_dropped():
    known = recent_answers.RecentAnswers(clock.ManualClock())
    for number in range(recent_answers.MAX_ENTRIES):
        known.note(f"f{number}")
    known.note("f0")
    known.note("one more")
    assert known.has("f0") and not known.has("f1") and known.has("f2")
    assert len(known.times) == recent_answers.MAX_ENTRIES
