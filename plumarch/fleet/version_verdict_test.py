"""Tests of verdicts on versions."""

import pytest

from plumarch.fleet import version_tally, version_verdict
from plumarch.fleet.version_verdict import Verdict

RULE = version_verdict.ProbabilityRule()


def pair(new: tuple[int, int], old: tuple[int, int]) -> version_tally.VersionPair:
    return version_tally.VersionPair(version_tally.Tally(*new), version_tally.Tally(*old))


@pytest.mark.parametrize(
    ("new", "old", "expected"),
    [
        ((0, 0), (1_000, 10), Verdict.OPEN),
        ((5, 0), (1_000, 10), Verdict.OPEN),
        ((100, 1), (1_000, 10), Verdict.GOOD),
        ((20, 8), (1_000, 10), Verdict.BAD),
        ((8, 4), (1_000, 10), Verdict.BAD),
        ((20, 4), (1_000, 200), Verdict.OPEN),
        ((400, 80), (4_000, 800), Verdict.GOOD),
        ((400, 160), (4_000, 800), Verdict.BAD),
        ((1, 1), (1_000, 10), Verdict.OPEN),
    ],
)
def test_a_version_is_judged_against_the_old_one(
    new: tuple[int, int], old: tuple[int, int], expected: Verdict
):
    assert RULE.judge(pair(new, old)) is expected


def test_one_bad_route_makes_a_version_bad():
    by_route = {"good": pair((500, 3), (5_000, 50)), "bad": pair((30, 12), (300, 3))}
    verdict, why = version_verdict.judge_all(RULE, by_route)
    assert verdict is Verdict.BAD
    assert "route bad" in why


def test_a_version_is_good_by_the_sum_of_routes():
    by_route = {f"r{number}": pair((20, 0), (400, 4)) for number in range(5)}
    assert all(RULE.judge(one) is not Verdict.BAD for one in by_route.values())
    assert version_verdict.judge_all(RULE, by_route)[0] is Verdict.GOOD


def test_no_answers_leave_the_verdict_open():
    assert version_verdict.judge_all(RULE, {})[0] is Verdict.OPEN


def test_probability_rises_with_bad_answers_and_falls_with_good_ones():
    found = [version_verdict.bad_probability(pair((40, bad), (1_000, 10))) for bad in range(6)]
    assert found == sorted(found)
    found = [version_verdict.bad_probability(pair((n, 0), (1_000, 10))) for n in (1, 10, 100)]
    assert found == sorted(found, reverse=True)


EARLY, LATE = pair((50, 0), (2_000, 20)), pair((70, 8), (30, 3))
"""Both versions fail more often in a period in which the new one serves most requests."""


def test_a_fault_of_both_versions_at_a_large_share_is_not_bad():
    assert RULE.judge(EARLY.plus(LATE)) is Verdict.BAD
    assert RULE.judge_periods([EARLY, LATE]) is not Verdict.BAD
    assert version_verdict.judge_all(RULE, {"r": EARLY}, {"r": LATE})[0] is not Verdict.BAD


def test_the_latest_period_alone_shows_a_version_that_turns_bad():
    good, bad = pair((900, 9), (9_000, 90)), pair((25, 7), (60, 1))
    assert RULE.judge(good.plus(bad)) is not Verdict.BAD
    verdict, why = version_verdict.judge_all(RULE, {"r": good}, {"r": bad})
    assert verdict is Verdict.BAD
    assert "7 of 25" in why


def test_without_old_answers_only_a_large_excess_is_bad():
    before = {"r": pair((300, 3), (3_000, 30))}
    little, much = {"r": pair((40, 3), (0, 0))}, {"r": pair((40, 12), (0, 0))}
    assert version_verdict.judge_all(RULE, before, little)[0] is not Verdict.BAD
    assert version_verdict.judge_all(RULE, before, much)[0] is Verdict.BAD


def test_answers_are_split_by_period():
    periods = version_verdict.SharePeriods()
    assert periods.per_period({"r": EARLY}) == [{"r": EARLY}]
    periods = periods.with_period(0.1, {}).with_period(0.1, {"r": EARLY})
    assert periods.per_period({"r": EARLY}) == [{"r": EARLY}]
    periods = periods.with_period(0.4, {"r": EARLY})
    both = {"r": EARLY.plus(LATE), "s": LATE}
    assert periods.per_period(both) == [{"r": EARLY}, {"r": LATE, "s": LATE}]
