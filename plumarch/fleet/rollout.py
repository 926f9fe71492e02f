"""Plan of a roll-out: a canary share, larger shares in steps, then completion or rollback.

A version that is not judged good in time is rolled back: a bad one in full use costs far more than
repeating the order for a good one.
"""

import dataclasses
import enum
from collections.abc import Mapping

from plumarch.core import clock, rollouts
from plumarch.fleet import version_tally, version_verdict

EXPOSURE_FRACTION = 0.8
"""Fraction of the tolerated share used for the canary; hashing makes the actual share vary."""

EXTRA_REQUESTS_FRACTION = 0.5
"""Fraction of the tolerated extra requests used for the canary."""

MAX_CANARY = 0.3

ENOUGH_ANSWERS = 250.0
"""Answers of the new version that suffice for a verdict: they show an excess of 5 in 100 in 99 of
100 cases. The rest of the exposure is left for the later steps."""

STEPS = ((0.5, 0.2), (0.55, 0.4), (0.6, 0.7), (0.66, 1.0))
"""Pairs of elapsed fraction and share; gradual, since some faults show only under load."""

JUDGED_BY = 0.75
"""Elapsed fraction at which a version that is not judged good is rolled back."""

COMPLETED_BY = 0.92
"""Elapsed fraction from which on it completes even if requests run on old endpoints."""

MIN_CAPACITY = 0.8
"""Fraction of the old endpoints' number from which the new ones carry the load."""


class Stage(enum.Enum):
    """Stages of a roll-out."""

    WAITING = "waiting"
    FEW = "few"
    MORE = "more"
    ALL = "all"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    def is_over(self) -> bool:
        """Return whether the roll-out has ended."""
        return self in (Stage.COMPLETED, Stage.ROLLED_BACK)

    def state(self) -> rollouts.RolloutState:
        """Return the state that operators see."""
        return {
            Stage.COMPLETED: rollouts.RolloutState.COMPLETED,
            Stage.ROLLED_BACK: rollouts.RolloutState.ROLLED_BACK,
        }.get(self, rollouts.RolloutState.RUNNING)


@dataclasses.dataclass(frozen=True, slots=True)
class Exposure:
    """Tolerated exposure to a bad version.

    Attributes:
      share: fraction of the requests between the order and its deadline.
      extra_requests: requests beyond that fraction.
    """

    share: float
    extra_requests: float


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Input of a roll-out decision.

    Attributes:
      ready_new: endpoints of the version.
      ready_old: endpoints of other versions.
      running_old: requests that run on those.
      requests_per_s: of the service, over all nodes.
      by_route: answers of both since the order.
      vetoed: whether some node judged the version bad.
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
      began_ms: wall-clock time at which the order was first seen.
      share: fraction of the requests that the version gets.
      reason: of the stage, with figures.
      periods: split at changes of the share.
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
        """Decide on the stage and share.

        Returns:
          Whether either changed.
        """
        before = (self.stage, self.share)
        if not self.stage.is_over():
            self._decide(observation)
            self.periods = self.periods.with_period(self.share, observation.by_route)
        return (self.stage, self.share) != before

    def elapsed(self) -> float:
        """Return the elapsed fraction of the duration."""
        return (self.wall.now() - self.began_ms) / max(1.0, self.order.duration_ms)

    def _decide(self, observation: Observation) -> None:
        periods = self.periods.per_period(observation.by_route)
        verdict, figures = version_verdict.judge_all(self.rule, *periods)
        if observation.vetoed or verdict is version_verdict.Verdict.BAD:
            self._enter(Stage.ROLLED_BACK, 0.0, figures if not observation.vetoed else "vetoed")
            return
        if not observation.ready_new:
            if self.elapsed() >= JUDGED_BY:
                self._enter(Stage.ROLLED_BACK, 0.0, "no endpoint of the version became ready")
            return
        if self.stage is Stage.WAITING:
            self._enter(
                Stage.FEW, self._canary_share(observation), "endpoints of the version are ready"
            )
        good = verdict is version_verdict.Verdict.GOOD
        carries = observation.ready_new >= MIN_CAPACITY * observation.ready_old
        if self.stage in (Stage.FEW, Stage.MORE):
            self._advance(good, carries, figures)
        elif self.stage is Stage.ALL:
            drained = not observation.running_old
            if good and (drained or self.elapsed() >= COMPLETED_BY):
                self._enter(Stage.COMPLETED, 1.0, figures)

    def _advance(self, good: bool, carries: bool, figures: str) -> None:
        """Move to the next larger share that is due, one at a time."""
        elapsed = self.elapsed()
        larger = [step for step in STEPS if step[1] > self.share]
        if good and carries and larger and larger[0][0] <= elapsed < COMPLETED_BY:
            share = larger[0][1]
            self._enter(Stage.ALL if share >= 1.0 else Stage.MORE, share, figures)
        elif elapsed >= JUDGED_BY:
            why = figures if carries else "too few endpoints of the version became ready"
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
