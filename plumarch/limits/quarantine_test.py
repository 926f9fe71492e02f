"""Requests are quarantined alike on all nodes, whatever the order of reports."""

import itertools
import random

import hypothesis
import pytest
from hypothesis import strategies

from plumarch.core import clock
from plumarch.limits import quarantine, recent_answers

START_MS = 1_700_000_000_000
EARLY, LATE = quarantine.EARLY_POINTS, quarantine.LATE_POINTS


def new(at_ms: int = START_MS) -> tuple[quarantine.Quarantine, clock.ManualClock]:
    wall = clock.ManualClock(at_ms)
    return quarantine.Quarantine(wall), wall


def quarantine_request(known: quarantine.Quarantine, fingerprint: str = "f") -> None:
    for number in range(3):
        known.record_crash(fingerprint, f"e{number}", EARLY)


def test_a_request_is_quarantined_once_three_endpoints_crashed_as_it_began():
    known, _ = new()
    assert [known.record_crash("f", f"e{number}", EARLY) for number in range(4)] == [
        False,
        False,
        True,
        False,
    ]
    held = known.find_quarantined("f")
    assert held is not None and held.back_in_ms == quarantine.FIRST_TRIAL_MS
    assert known.find_quarantined("g") is None


def test_a_crash_that_several_nodes_see_counts_once():
    known, wall = new()
    for _ in range(3):
        known.record_crash("f", "e", EARLY)
        wall.time_ms += 20
    assert known.points("f") == EARLY


def test_a_restarted_endpoint_that_crashes_again_counts_again():
    known, wall = new()
    for _ in range(3):
        known.record_crash("f", "e", EARLY)
        wall.time_ms += 4_000
    assert known.find_quarantined("f") is not None


def test_a_long_stream_that_outlives_several_endpoints_is_not_quarantined():
    known, _ = new()
    for number in range(8):
        assert not known.record_crash("stream", f"e{number}", LATE)
    assert known.record_crash("stream", "e9", LATE)


def test_an_answer_voids_only_earlier_crashes():
    known, wall = new()
    quarantine_request(known)
    wall.time_ms += 1_000
    assert known.record_answer("f")
    assert known.find_quarantined("f") is None and not known.record_answer("f")
    wall.time_ms += 1_000
    known.record_crash("f", "e7", EARLY)
    assert known.points("f") == quarantine.LATE_POINTS
    wall.time_ms += recent_answers.RETENTION_MS
    known.record_crash("f", "e8", EARLY)
    assert known.points("f") == quarantine.LATE_POINTS + EARLY


def test_a_request_cleared_without_an_answer_gets_full_points_again():
    known, wall = new()
    quarantine_request(known)
    wall.time_ms += 1_000
    assert known.clear_suspect("f")
    wall.time_ms += 1_000
    known.record_crash("f", "e7", EARLY)
    assert known.points("f") == EARLY


def test_pauses_between_trials_grow():
    known, wall = new()
    quarantine_request(known)
    pauses = []
    for trial in range(1, 7):
        held = known.find_quarantined("f")
        assert held is not None
        pauses.append(held.back_in_ms)
        wall.time_ms += held.back_in_ms
        again = known.find_quarantined("f")
        assert again is not None and again.back_in_ms == 0
        known.record_trial("f", trial)
        known.record_crash("f", f"t{trial}", EARLY)
    assert pauses[:3] == [60_000, 240_000, 960_000]
    assert pauses == sorted(pauses) and pauses[-1] == quarantine.MAX_PAUSE_MS


def test_expired_records_are_dropped():
    known, wall = new()
    known.record_crash("seldom", "e1", EARLY)
    quarantine_request(known)
    wall.time_ms += quarantine.SUSPECT_RETENTION_MS + 1
    known.record_crash("other", "e2", EARLY)
    assert sorted(known.suspects) == ["f", "other"]
    wall.time_ms += quarantine.QUARANTINE_RETENTION_MS
    known.record_crash("last", "e3", EARLY)
    assert sorted(known.suspects) == ["last"]


def test_beyond_the_maximum_the_least_suspect_are_dropped_first():
    known, wall = new()
    quarantine_request(known)
    for number in range(quarantine.MAX_SUSPECTS + 50):
        wall.time_ms += 1
        known.record_crash(f"bystander-{number}", "e", EARLY)
    assert len(known.suspects) == quarantine.MAX_SUSPECTS
    assert known.find_quarantined("f") is not None


def test_a_clock_that_is_ahead_voids_no_later_crash():
    known, wall = new()
    known.merge([quarantine.Suspect("f", cleared_ms=START_MS + 3_600_000)])
    wall.time_ms += 1
    quarantine_request(known)
    assert known.find_quarantined("f") is not None


def test_lifting_drops_all_records():
    known, _ = new()
    quarantine_request(known)
    assert known.lift() == 1
    assert known.find_quarantined("f") is None


def facts() -> list[quarantine.Suspect]:
    """Return observations of one request by several nodes, one each."""
    crashes = [
        quarantine.Crash(f"e{number}", START_MS + 3_000 * number + 7 * seen_by, EARLY + seen_by - 1)
        for number in range(4)
        for seen_by in range(2)
    ]
    reported = [quarantine.Suspect("f", (crash,)) for crash in crashes]
    reported.append(quarantine.Suspect("f", trials=1, tried_ms=START_MS + 80_000))
    reported.append(quarantine.Suspect("f", trials=2, tried_ms=START_MS + 400_000))
    reported.append(quarantine.Suspect("f", cleared_ms=START_MS + 1_500))
    return reported


@pytest.mark.parametrize("seed", range(20))
def test_merging_in_any_order_with_duplicates_gives_the_same_records(seed: int):
    rng = random.Random(seed)
    expected, _ = new(START_MS + 500_000)
    expected.merge(facts())
    reported = facts() + rng.sample(facts(), 5)
    rng.shuffle(reported)
    known, _ = new(START_MS + 500_000)
    for first in range(0, len(reported), 3):
        known.merge(reported[first : first + 3])
    assert known.suspects == expected.suspects


@hypothesis.settings(max_examples=60, derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 2), strategies.integers(0, 11)), max_size=30
    )
)
def test_whoever_exchanges_with_whom_all_agree_once_all_exchanged(steps: list[tuple[int, int]]):
    nodes = [new(START_MS + 500_000)[0] for _ in range(3)]
    saw = facts()
    for node, what in steps:
        if what < len(saw):
            nodes[node].merge([saw[what]])
        else:
            nodes[node].merge(nodes[(node + 1) % 3].suspects.values())
    for one, other in itertools.permutations(range(3), 2):
        nodes[one].merge(nodes[other].suspects.values())
    assert nodes[0].suspects == nodes[1].suspects == nodes[2].suspects


def hold_segment(known: quarantine.Quarantine, name: str, *endpoints: str) -> str:
    fingerprint = quarantine.SEGMENT_PREFIX + name
    for endpoint in endpoints or ("e0", "e1", "e2"):
        known.record_crash(fingerprint, endpoint, EARLY)
    return fingerprint


def back_in_ms(known: quarantine.Quarantine, *fingerprints: str) -> int:
    held = known.find_quarantined(*fingerprints)
    assert held is not None
    return held.back_in_ms


def test_a_segment_has_two_early_trials_if_they_crash_endpoints():
    known, wall = new()
    segment = hold_segment(known, "p")
    pauses = []
    for number in range(4):
        pauses.append(back_in_ms(known, segment))
        wall.time_ms += pauses[-1]
        assert back_in_ms(known, segment) == 0
        known.record_trial(segment, number + 1)
        wall.time_ms += 300
        known.record_crash(segment, f"t{number}", EARLY)
    first, second = quarantine.EARLY_TRIAL_MS
    minute = quarantine.FIRST_TRIAL_MS
    assert pauses == [first, second, minute, quarantine.TRIAL_FACTOR * minute]


def test_a_trial_without_a_result_is_repeated_soon_twice():
    """A crash may stay unknown: an endpoint that holds its port looks alive."""
    known, wall = new()
    segment = hold_segment(known, "p")
    pauses = []
    for number in range(4):
        pauses.append(back_in_ms(known, segment))
        wall.time_ms += pauses[-1]
        known.record_trial(segment, number + 1)
    first, second = quarantine.EARLY_TRIAL_MS
    assert pauses[:3] == [first, second, second]
    assert pauses[3] >= quarantine.FIRST_TRIAL_MS


def test_a_request_with_all_segments_of_the_crashes_gets_no_early_trial():
    known, _ = new()
    poison, shared = hold_segment(known, "p"), hold_segment(known, "a")
    assert back_in_ms(known, poison, shared) == quarantine.FIRST_TRIAL_MS
    assert back_in_ms(known, shared, "other") == quarantine.EARLY_TRIAL_MS[0]
    unrelated = hold_segment(known, "u", "e7", "e8", "e9")
    assert back_in_ms(known, poison, shared) == quarantine.FIRST_TRIAL_MS
    assert back_in_ms(known, shared, unrelated) == quarantine.EARLY_TRIAL_MS[0]


def test_a_request_has_no_early_trial_for_its_segments():
    known, wall = new()
    quarantine_request(known)
    segment = hold_segment(known, "p")
    wall.time_ms += quarantine.EARLY_TRIAL_MS[-1]
    assert known.find_quarantined(segment).back_in_ms == 0
    assert back_in_ms(known, "f", segment) > 0


def test_a_request_that_other_callers_were_just_answered_is_refused_for_a_minute():
    """Another node, which saw no answer, reports three crashes at once."""
    known, wall = new()
    known.record_answer("f")
    wall.time_ms += 2_000
    crashes = tuple(quarantine.Crash(f"e{number}", wall.time_ms, EARLY) for number in range(3))
    known.merge([quarantine.Suspect("f", crashes)])
    assert back_in_ms(known, "f") == quarantine.EARLY_TRIAL_MS[0]
    other, _ = new(wall.time_ms)
    other.merge([quarantine.Suspect("f", crashes)])
    assert back_in_ms(other, "f") == quarantine.FIRST_TRIAL_MS


def test_a_segment_that_was_exonerated_twice_is_refused_for_a_minute_the_third_time():
    known, wall = new()
    for _ in range(3):
        segment = hold_segment(known, "a")
        assert back_in_ms(known, segment) == quarantine.EARLY_TRIAL_MS[0]
        wall.time_ms += back_in_ms(known, segment)
        known.record_trial(segment, known.suspects[segment].trials + 1)
        wall.time_ms += 300
        assert known.clear_suspect(segment)
        wall.time_ms += 5_000
