"""Whether a new version is good, from its answers beside those of the old one.

Grey endpoints, cut data centres and lost answers strike both versions alike, so that a version is
only judged against what the other one does on the same routes at the same time.

The other rules that were weighed: docs/design/rollouts.md.
"""

import dataclasses
import enum
import math
from collections.abc import Iterable, Mapping, Sequence
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

PROBABLY_GOOD = 0.24
"""Probability of a bad version below which it gets more requests than a bad one may. A lower one
rolls more good versions back, a higher one lets more bad ones through (docs/design/rollouts.md)."""

MIN_RATE = 1e-4
MIN_LIKELIHOOD = 1e-300
"""What stands for 0 where a logarithm is taken."""

PERIOD_ANSWERS = 30.0
"""Weight of the usual rate in a period, in answers: a trouble of a tenth more that strikes both is
believed once some thirty answers of the old version show it. A judgement."""

RATES = tuple(0.0005 * 1.45**step for step in range(19))
"""Rates of bad answers that a period may have, from 1 in 2,000 to 2 in 5, evenly by their logs."""


def _logs(rate: float) -> tuple[float, float]:
    bounded = min(1.0 - MIN_RATE, rate)
    return math.log(bounded), math.log(1.0 - bounded)


_EXCESS_LOGS = tuple(tuple(_logs(rate + excess) for rate in RATES) for excess in (0.0, *EXCESSES))
"""Logs of the parts of answers that are bad and good, by excess and rate."""


class Verdict(enum.Enum):
    """What is known of a version."""

    BAD = "bad"
    OPEN = "open"
    GOOD = "good"


class VerdictRule(Protocol):
    """A way to judge a version."""

    def judge(self, pair: version_tally.VersionPair) -> Verdict:
        """Judge by the answers of one route, or of all."""
        return self.judge_periods([pair])

    def judge_periods(self, pairs: Sequence[version_tally.VersionPair]) -> Verdict:
        """Judge by the answers of one route, or of all, in each period of one share."""
        ...


def bad_probability(*pairs: version_tally.VersionPair) -> float:
    """Return how probable it is that a version is bad, from even odds before its first answer.

    Args:
      pairs: the answers of each period in which the version had one share. Trouble that strikes
        both versions comes in one period, in which the new one may have had more of the requests
        than in all of them together.
    """
    both = _sum(pairs)
    weight = both.old.answers + PRIOR_OLD_ANSWERS
    usual = (both.old.bad + PRIOR_OLD_BAD * PRIOR_OLD_ANSWERS) / weight
    logs = [0.0] * (1 + len(EXCESSES))
    for pair in pairs:
        if pair.new.answers:
            for at, found in enumerate(_period_logs(pair, usual)):
                logs[at] += found
    highest = max(logs)
    good, *bad = (math.exp(one - highest) for one in logs)
    bad_weight = sum(bad) / len(bad)
    return bad_weight / (bad_weight + good)


def _period_logs(pair: version_tally.VersionPair, usual: float) -> list[float]:
    """Return the log likelihood of the new version's answers in a period, by its excess.

    The rate of both in the period isn't known; it is near the usual one, as far as the old
    version's answers of the period don't tell another. Where there are none, as once the new one
    serves all, a trouble of both is thereby told from a bad version by its size alone.
    """
    bad_before = usual * PERIOD_ANSWERS + pair.old.bad
    good_before = (1.0 - usual) * PERIOD_ANSWERS + pair.old.answers - pair.old.bad
    rates = [bad_before * log + good_before * rest for log, rest in _EXCESS_LOGS[0]]
    highest = max(rates)
    weights = [math.exp(one - highest) for one in rates]
    total = sum(weights)
    bad, good = pair.new.bad, pair.new.answers - pair.new.bad
    found = []
    for row in _EXCESS_LOGS:
        logs = [bad * log + good * rest for log, rest in row]
        most = max(logs)
        mean = sum(w * math.exp(one - most) for w, one in zip(weights, logs, strict=True))
        found.append(most + math.log(max(mean / total, MIN_LIKELIHOOD)))
    return found


@dataclasses.dataclass(frozen=True, slots=True)
class ProbabilityRule:
    """Judges by the probability that the version is bad."""

    bad_from: float = CERTAINLY_BAD
    good_below: float = PROBABLY_GOOD

    def judge(self, pair: version_tally.VersionPair) -> Verdict:
        """Judge by the answers of one route, or of all."""
        return self.judge_periods([pair])

    def judge_periods(self, pairs: Sequence[version_tally.VersionPair]) -> Verdict:
        """Judge by the answers of one route, or of all, in each period of one share."""
        if not any(pair.new.answers for pair in pairs):
            return Verdict.OPEN
        probability = bad_probability(*pairs)
        if probability >= self.bad_from:
            return Verdict.BAD
        return Verdict.GOOD if probability < self.good_below else Verdict.OPEN


ByRoute = Mapping[str, version_tally.VersionPair]


@dataclasses.dataclass(frozen=True, slots=True)
class SharePeriods:
    """The periods of a roll-out in which its version had one share.

    Attributes:
      share: of the present period.
      begins: what was counted when each period but the first began.
    """

    share: float = 0.0
    period_starts: tuple[ByRoute, ...] = ()

    def with_period(self, share: float, by_route: ByRoute) -> "SharePeriods":
        """Return the periods with a further one if the share changed.

        Args:
          by_route: what was counted until now.
        """
        if share == self.share:
            return self
        period_starts = (*self.period_starts, by_route) if self.share > 0.0 else self.period_starts
        return SharePeriods(share, period_starts)

    def per_period(self, by_route: ByRoute) -> list[ByRoute]:
        """Return what was counted in each period."""
        found = []
        until = by_route
        for begin in reversed(self.period_starts):
            nothing = version_tally.NOTHING_COUNTED
            found.append(
                {route: pair.since(begin.get(route, nothing)) for route, pair in until.items()}
            )
            until = begin
        return [until, *reversed(found)]


def judge_all(rule: VerdictRule, *periods: ByRoute) -> tuple[Verdict, str]:
    """Judge a version by each route and by all of them together.

    It is bad as well if the latest period alone shows it: one that turns bad late or under load
    was good in all periods before.

    Args:
      periods: the answers by route in each period of one share, the latest one last.
    Returns:
      The verdict, and what it rests on, for a log line.
    """
    for route in sorted({route for period in periods for route in period}):
        pairs = [period[route] for period in periods if route in period]
        for some in (pairs, pairs[-1:]):
            if rule.judge_periods(some) is Verdict.BAD:
                return Verdict.BAD, f"route {route}: {_figures(some)}"
    totals = [_sum(period.values()) for period in periods]
    if rule.judge_periods(totals[-1:]) is Verdict.BAD:
        return Verdict.BAD, f"all routes lately: {_figures(totals[-1:])}"
    return rule.judge_periods(totals), f"all routes: {_figures(totals)}"


def _sum(pairs: Iterable[version_tally.VersionPair]) -> version_tally.VersionPair:
    total = version_tally.NOTHING_COUNTED
    for pair in pairs:
        total = total.plus(pair)
    return total


def _figures(pairs: Sequence[version_tally.VersionPair]) -> str:
    both = _sum(pairs)
    return f"{both.new.bad} of {both.new.answers} bad, old {both.old.bad} of {both.old.answers}"
