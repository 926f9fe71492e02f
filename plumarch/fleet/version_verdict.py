"""Verdict on a new version from its answers and those of the old one.

Faults of endpoints or networks affect both versions, so a version is judged only against the
other on the same routes at the same time.
"""

import dataclasses
import enum
import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Protocol

from plumarch.fleet import version_tally

EXCESSES = (0.05, 0.1, 0.2, 0.4, 0.6)
"""Excess rates of bad answers that a bad version may have."""

PRIOR_OLD_BAD = 0.01
PRIOR_OLD_ANSWERS = 50.0
"""Prior of the old version's rate of bad answers, and its weight in answers."""

CERTAINLY_BAD = 0.99
"""Probability of a bad version from which it is rolled back."""

PROBABLY_GOOD = 0.24
"""Probability of a bad version below which it counts as good."""

MIN_RATE = 1e-4
MIN_LIKELIHOOD = 1e-300
"""Lower bounds that keep logarithms finite."""

PERIOD_ANSWERS = 30.0
"""Weight of the usual rate in a period, in answers."""

RATES = tuple(0.0005 * 1.45**step for step in range(19))
"""Rates of bad answers considered for a period, evenly spaced by logarithm."""


def _logs(rate: float) -> tuple[float, float]:
    bounded = min(1.0 - MIN_RATE, rate)
    return math.log(bounded), math.log(1.0 - bounded)


_EXCESS_LOGS = tuple(tuple(_logs(rate + excess) for rate in RATES) for excess in (0.0, *EXCESSES))
"""Logs of the fractions of bad and good answers, by excess and rate."""


class Verdict(enum.Enum):
    """Verdict on a version."""

    BAD = "bad"
    OPEN = "open"
    GOOD = "good"


class VerdictRule(Protocol):
    """Judges a version."""

    def judge(self, pair: version_tally.VersionPair) -> Verdict:
        """Judge by one route, or all."""
        return self.judge_periods([pair])

    def judge_periods(self, pairs: Sequence[version_tally.VersionPair]) -> Verdict:
        """Judge by one route, or all, by period."""
        ...


def bad_probability(*pairs: version_tally.VersionPair) -> float:
    """Return the probability that a version is bad, with even prior odds.

    Args:
      pairs: answers by period of constant share, since a disturbance of both versions may fall
        into one in which the new version had a larger share.
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
    """Return the log likelihood of the new version's answers in a period, by excess.

    The common rate in the period is unknown: its prior is near the usual one, updated by the old
    version's answers.
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
        row_max = max(logs)
        mean = sum(w * math.exp(one - row_max) for w, one in zip(weights, logs, strict=True))
        found.append(row_max + math.log(max(mean / total, MIN_LIKELIHOOD)))
    return found


@dataclasses.dataclass(frozen=True, slots=True)
class ProbabilityRule:
    """Judges by the probability of a bad version."""

    bad_from: float = CERTAINLY_BAD
    good_below: float = PROBABLY_GOOD

    def judge(self, pair: version_tally.VersionPair) -> Verdict:
        """Judge by one route, or all."""
        return self.judge_periods([pair])

    def judge_periods(self, pairs: Sequence[version_tally.VersionPair]) -> Verdict:
        """Judge by one route, or all, by period."""
        if not any(pair.new.answers for pair in pairs):
            return Verdict.OPEN
        probability = bad_probability(*pairs)
        if probability >= self.bad_from:
            return Verdict.BAD
        return Verdict.GOOD if probability < self.good_below else Verdict.OPEN


ByRoute = Mapping[str, version_tally.VersionPair]


@dataclasses.dataclass(frozen=True, slots=True)
class SharePeriods:
    """Periods of a roll-out with a constant share of the version.

    Attributes:
      share: of the present period.
      period_starts: counts at the start of each period but the first.
    """

    share: float = 0.0
    period_starts: tuple[ByRoute, ...] = ()

    def with_period(self, share: float, by_route: ByRoute) -> "SharePeriods":
        """Return the periods, with a new one if the share changed."""
        if share == self.share:
            return self
        period_starts = (*self.period_starts, by_route) if self.share > 0.0 else self.period_starts
        return SharePeriods(share, period_starts)

    def per_period(self, by_route: ByRoute) -> list[ByRoute]:
        """Return the counts of each period."""
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
    """Judge a version by each route and by all together.

    The latest period alone suffices for a bad verdict: the version may turn bad late or under load.

    Args:
      periods: answers by route, the latest last.
    Returns:
      The verdict and its figures.
    """
    for route in sorted({route for period in periods for route in period}):
        pairs = [period[route] for period in periods if route in period]
        for some in (pairs, pairs[-1:]):
            if rule.judge_periods(some) is Verdict.BAD:
                return Verdict.BAD, f"route {route}: {_figures(some)}"
    totals = [_sum(period.values()) for period in periods]
    if rule.judge_periods(totals[-1:]) is Verdict.BAD:
        return Verdict.BAD, f"all routes, latest period: {_figures(totals[-1:])}"
    return rule.judge_periods(totals), f"all routes: {_figures(totals)}"


def _sum(pairs: Iterable[version_tally.VersionPair]) -> version_tally.VersionPair:
    total = version_tally.NOTHING_COUNTED
    for pair in pairs:
        total = total.plus(pair)
    return total


def _figures(pairs: Sequence[version_tally.VersionPair]) -> str:
    both = _sum(pairs)
    return f"{both.new.bad} of {both.new.answers} bad, old {both.old.bad} of {both.old.answers}"
