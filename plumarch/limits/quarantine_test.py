"""Which requests are held back, whatever the order in which nodes learn of endpoints' ends."""

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


def hold_back(known: quarantine.Quarantine, fingerprint: str = "f") -> None:
    for number in range(3):
        known.record_crash(fingerprint, f"e{number}", EARLY)


def test_a_request_is_held_back_once_three_endpoints_ended_as_it_began_there():
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


def test_the_end_of_an_endpoint_that_two_nodes_see_counts_once():
    known, wall = new()
    for _ in range(3):
        known.record_crash("f", "e", EARLY)
        wall.time_ms += 20
    assert known.points("f") == EARLY


def test_an_endpoint_that_is_back_under_its_name_and_ends_again_counts_again():
    known, wall = new()
    for _ in range(3):
        known.record_crash("f", "e", EARLY)
        wall.time_ms += 4_000
    assert known.find_quarantined("f") is not None


def test_a_long_stream_that_outlives_several_endpoints_is_not_held_back_for_it():
    known, _ = new()
    for number in range(8):
        assert not known.record_crash("stream", f"e{number}", LATE)
    assert known.record_crash("stream", "e9", LATE)


def test_an_answer_clears_it_and_voids_only_what_was_before():
    known, wall = new()
    hold_back(known)
    wall.time_ms += 1_000
    assert known.record_answer("f")
    assert known.find_quarantined("f") is None and not known.record_answer("f")
    wall.time_ms += 1_000
    known.record_crash("f", "e7", EARLY)
    assert known.points("f") == quarantine.LATE_POINTS
    wall.time_ms += recent_answers.RETENTION_MS
    known.record_crash("f", "e8", EARLY)
    assert known.points("f") == quarantine.LATE_POINTS + EARLY


def test_one_that_was_cleared_without_an_answer_counts_as_before():
    known, wall = new()
    hold_back(known)
    wall.time_ms += 1_000
    assert known.clear_suspect("f")
    wall.time_ms += 1_000
    known.record_crash("f", "e7", EARLY)
    assert known.points("f") == EARLY


def test_one_trial_at_a_time_after_pauses_that_grow():
    known, wall = new()
    hold_back(known)
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


def test_what_is_long_past_is_forgotten():
    known, wall = new()
    known.record_crash("seldom", "e1", EARLY)
    hold_back(known)
    wall.time_ms += quarantine.SUSPECT_RETENTION_MS + 1
    known.record_crash("other", "e2", EARLY)
    assert sorted(known.suspects) == ["f", "other"]
    wall.time_ms += quarantine.QUARANTINE_RETENTION_MS
    known.record_crash("last", "e3", EARLY)
    assert sorted(known.suspects) == ["last"]


def test_a_mass_of_ends_forgets_the_least_suspect_first():
    known, wall = new()
    hold_back(known)
    for number in range(quarantine.MAX_SUSPECTS + 50):
        wall.time_ms += 1
        known.record_crash(f"bystander-{number}", "e", EARLY)
    assert len(known.suspects) == quarantine.MAX_SUSPECTS
    assert known.find_quarantined("f") is not None


def test_a_clock_that_is_ahead_voids_no_end_that_comes_later():
    known, wall = new()
    known.merge([quarantine.Suspect("f", cleared_ms=START_MS + 3_600_000)])
    wall.time_ms += 1
    hold_back(known)
    assert known.find_quarantined("f") is not None


def test_operators_lift_all():
    known, _ = new()
    hold_back(known)
    assert known.lift() == 1
    assert known.find_quarantined("f") is None


def facts() -> list[quarantine.Suspect]:
    """Return what several nodes saw of one request, one thing each."""
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
def test_nodes_that_hear_the_same_in_any_order_and_often_know_the_same(seed: int):
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
