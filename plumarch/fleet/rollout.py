"""How a roll-out goes on: first a few requests, then more, then all, or none any more.

A new version gets a small part of the requests for most of the time: a version may turn bad late.
Only one that was judged good by then gets more, first some, to see it under load, then all. It is
completed once what ran on the old endpoints has ended, since they stop at once. What isn't judged
good in time is rolled back: a bad version that serves all requests costs far more than a good one
that has to be ordered again.
"""

import dataclasses
import enum
from collections.abc import Mapping

from plumarch.core import clock, rollouts
from plumarch.fleet import version_tally, version_verdict

EXPOSURE_FRACTION = 0.8
"""Part of the tolerated share that a version gets before it is judged good: requests are chosen by
hashing, so that the share itself varies."""

EXTRA_REQUESTS_FRACTION = 0.5
"""Part of the tolerated number of requests besides that is given to services with few requests."""

MAX_CANARY = 0.3
"""A version that was not judged yet gets no more than this part, whatever is tolerated."""

ENOUGH_ANSWERS = 250.0
"""Answers of the new version after which more of them hardly change a verdict: they show an excess
of 5 in 100 in 99 of 100 cases. What is left of the exposure is for the steps that follow."""

STEPS = ((0.5, 0.2), (0.55, 0.4), (0.6, 0.7), (0.66, 1.0))
"""From which part of the time on it gets which share, if it is judged good all the while. Less than
all first: a version that is bad only under load gets half as much until that is seen, and news of
answers are half a second old. Later steps leave less time to what runs on the old endpoints."""

JUDGED_BY = 0.75
"""A version that isn't judged good by this part of the time is rolled back."""

COMPLETED_BY = 0.92
"""By this part of the time it is completed though requests still run on old endpoints."""

MIN_CAPACITY = 0.8
"""Part of the old endpoints' number from which on the new ones can carry the load: fleets are
sized with a reserve of a third or more."""


class Stage(enum.Enum):
    """How far a roll-out is."""

    WAITING = "waiting"
    FEW = "few"
    MORE = "more"
    ALL = "all"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    def is_over(self) -> bool:
        """Return whether nothing is decided any more."""
        return self in (Stage.COMPLETED, Stage.ROLLED_BACK)

    def state(self) -> rollouts.RolloutState:
        """Return what operators are told."""
        return {
            Stage.COMPLETED: rollouts.RolloutState.COMPLETED,
            Stage.ROLLED_BACK: rollouts.RolloutState.ROLLED_BACK,
        }.get(self, rollouts.RolloutState.RUNNING)


@dataclasses.dataclass(frozen=True, slots=True)
class Exposure:
    """What a bad version may get.

    Attributes:
      share: of the requests between the order and its deadline.
      slack: requests besides.
    """

    share: float
    extra_requests: float


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """What a roll-out is decided by.

    Attributes:
      ready_new: endpoints of the version that take work.
      ready_old: the others of the service.
      running_old: requests that run on those.
      requests_per_s: of the service, over all nodes.
      by_route: answers of both since the order.
      vetoed: whether some node saw that the version is bad.
    """

    ready_new: int
    ready_old: int
    running_old: int
    requests_per_s: float
    by_route: Mapping[str, version_tally.VersionPair]
    vetoed: bool = False


@dataclasses.dataclass(slots=True)
class RolloutPlan:
    """The plan of one roll-out.

    Attributes:
      began_ms: when the order was first seen, by the time of day.
      share: the part of the requests that the version gets now.
      reason: why the stage is what it is, with figures.
      periods: when its share changed; a plan that was taken over begins with one.
    """

    wall: clock.Clock
    order: rollouts.RolloutOrder
    exposure: Exposure
    began_ms: int
    rule: version_verdict.VerdictRule = dataclasses.field(
        default_factory=version_verdict.ProbabilityRule
    )
    stage: Stage = Stage.WAITING
    share: float = 0.0
    reason: str = "ordered"
    periods: version_verdict.SharePeriods = version_verdict.SharePeriods()

    def step(self, observation: Observation) -> bool:
        """Decide anew.

        Returns:
          Whether something changed.
        """
        before = (self.stage, self.share)
        if not self.stage.is_over():
            self._decide(observation)
            self.periods = self.periods.with_period(self.share, observation.by_route)
        return (self.stage, self.share) != before

    def elapsed(self) -> float:
        """Return the part of the roll-out's time that is over."""
        return (self.wall.now() - self.began_ms) / max(1.0, self.order.duration_ms)

    def _decide(self, observation: Observation) -> None:
        periods = self.periods.per_period(observation.by_route)
        verdict, figures = version_verdict.judge_all(self.rule, *periods)
        if observation.vetoed or verdict is version_verdict.Verdict.BAD:
            self._enter(Stage.ROLLED_BACK, 0.0, figures if not observation.vetoed else "vetoed")
            return
        if not observation.ready_new:
            if self.elapsed() >= JUDGED_BY:
                self._enter(Stage.ROLLED_BACK, 0.0, "no endpoint of the version came")
            return
        if self.stage is Stage.WAITING:
            self._enter(Stage.FEW, self._canary_share(observation), "endpoints of the version came")
        good = verdict is version_verdict.Verdict.GOOD
        carries = observation.ready_new >= MIN_CAPACITY * observation.ready_old
        if self.stage in (Stage.FEW, Stage.MORE):
            self._advance(good, carries, figures)
        elif self.stage is Stage.ALL:
            drained = not observation.running_old
            if good and (drained or self.elapsed() >= COMPLETED_BY):
                self._enter(Stage.COMPLETED, 1.0, figures)

    def _advance(self, good: bool, carries: bool, figures: str) -> None:
        """Give the version the next larger share that its time has come for, one at a time."""
        elapsed = self.elapsed()
        larger = [step for step in STEPS if step[1] > self.share]
        if good and carries and larger and larger[0][0] <= elapsed < COMPLETED_BY:
            share = larger[0][1]
            self._enter(Stage.ALL if share >= 1.0 else Stage.MORE, share, figures)
        elif elapsed >= JUDGED_BY:
            why = figures if carries else "too few endpoints of the version came"
            self._enter(Stage.ROLLED_BACK, 0.0, why)

    def _canary_share(self, observation: Observation) -> float:
        expected = max(1.0, observation.requests_per_s * self.order.duration_ms / 1_000.0)
        share = (
            EXPOSURE_FRACTION * self.exposure.share
            + EXTRA_REQUESTS_FRACTION * self.exposure.extra_requests / expected
        )
        return min(MAX_CANARY, share, ENOUGH_ANSWERS / (STEPS[0][0] * expected))

    def _enter(self, stage: Stage, share: float, reason: str) -> None:
        self.stage, self.share, self.reason = stage, share, reason
