"""Whether a new version is good, from its answers beside those of the old one.

Grey endpoints, cut data centres and lost answers strike both versions alike, so that a version is
only judged against what the other one does on the same routes at the same time.

Compared were fixed limits, a sequential likelihood ratio, and the probabilities used here
(bench.rollout_trials, docs/design/rollouts.md).
"""

import dataclasses
import enum
import math
from collections.abc import Mapping
from typing import Protocol

from plumarch.fleet import version_tally

EXCESSES = (0.05, 0.1, 0.2, 0.4, 0.6)
"""By how much more often a bad version's answers are bad: from the least that some hundred answers
show, to more than half. A judgement."""

PRIOR_OLD_BAD = 0.01
PRIOR_OLD_ANSWERS = 50.0
"""What is held of the old version before it was seen: one bad answer in a hundred, with the weight
of 50 answers, so that a few of its answers don't count as a certainty. A judgement."""

CERTAINLY_BAD = 0.99
"""Probability of a bad version from which on it is rolled back at once."""

PROBABLY_GOOD = 0.2
"""Probability of a bad version below which it gets more requests than a bad one may. By these two,
8 of 200 bad versions get more than they may and 145 of 200 good ones are completed
(bench.rollout_trials, 400 seeds)."""

LEAST_RATE = 1e-4


class Verdict(enum.Enum):
    """What is known of a version."""

    BAD = "bad"
    OPEN = "open"
    GOOD = "good"


class VerdictRule(Protocol):
    """A way to judge a version."""

    def judge(self, pair: version_tally.VersionPair) -> Verdict:
        """Judge by the answers of one route, or of all."""
        ...


def bad_probability(pair: version_tally.VersionPair) -> float:
    """Return how probable it is that a version is bad, from even odds before its first answer."""
    old = pair.old
    weight = old.answers + PRIOR_OLD_ANSWERS
    rate = (old.bad + PRIOR_OLD_BAD * PRIOR_OLD_ANSWERS) / weight
    good = _log_likelihood(pair.new, rate)
    bad = [_log_likelihood(pair.new, rate + excess) for excess in EXCESSES]
    highest = max(good, *bad)
    bad_weight = sum(math.exp(one - highest) for one in bad) / len(bad)
    return bad_weight / (bad_weight + math.exp(good - highest))


def _log_likelihood(tally: version_tally.Tally, rate: float) -> float:
    rate = min(1.0 - LEAST_RATE, max(LEAST_RATE, rate))
    return tally.bad * math.log(rate) + (tally.answers - tally.bad) * math.log(1.0 - rate)


@dataclasses.dataclass(frozen=True, slots=True)
class ProbabilityRule:
    """Judges by the probability that the version is bad."""

    bad_from: float = CERTAINLY_BAD
    good_below: float = PROBABLY_GOOD

    def judge(self, pair: version_tally.VersionPair) -> Verdict:
        """Judge by the answers of one route, or of all."""
        if not pair.new.answers:
            return Verdict.OPEN
        probability = bad_probability(pair)
        if probability >= self.bad_from:
            return Verdict.BAD
        return Verdict.GOOD if probability < self.good_below else Verdict.OPEN


def judge_all(
    rule: VerdictRule, by_route: Mapping[str, version_tally.VersionPair]
) -> tuple[Verdict, str]:
    """Judge a version by each route and by all of them together.

    Returns:
      The verdict, and what it rests on, for a log line.
    """
    new, old = version_tally.Tally(), version_tally.Tally()
    for route, pair in by_route.items():
        new, old = new.plus(pair.new), old.plus(pair.old)
        if rule.judge(pair) is Verdict.BAD:
            return Verdict.BAD, f"route {route}: {_figures(pair)}"
    both = version_tally.VersionPair(new, old)
    return rule.judge(both), f"all routes: {_figures(both)}"


def _figures(pair: version_tally.VersionPair) -> str:
    return f"{pair.new.bad} of {pair.new.answers} bad, old {pair.old.bad} of {pair.old.answers}"
