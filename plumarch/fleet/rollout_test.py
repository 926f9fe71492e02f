"""Tests of the stages of a roll-out."""

import dataclasses

import pytest

from plumarch.core import clock, rollouts
from plumarch.fleet import rollout, version_tally
from plumarch.fleet.rollout import Stage

START_MS = 1_000_000
DURATION_MS = 20_000
ORDER = rollouts.RolloutOrder("s", "v2", DURATION_MS, 7)
EXPOSURE = rollout.Exposure(0.1, 50.0)


def answers(new: tuple[int, int], old: tuple[int, int]) -> dict[str, version_tally.VersionPair]:
    pair = version_tally.VersionPair(version_tally.Tally(*new), version_tally.Tally(*old))
    return {"r": pair}


GOOD = rollout.Observation(10, 10, 5, 100.0, answers((120, 1), (1_200, 12)))
BAD = dataclasses.replace(GOOD, by_route=answers((40, 20), (400, 4)))
OPEN = dataclasses.replace(GOOD, by_route=answers((2, 0), (400, 4)))


class PlanDriver:
    """A plan and its clock."""

    def __init__(self, stage: Stage = Stage.WAITING, share: float = 0.0) -> None:
        self.time = clock.ManualClock(START_MS)
        self.plan = rollout.RolloutPlan(self.time, ORDER, EXPOSURE, START_MS)
        self.plan.stage, self.plan.share = stage, share

    def at(self, elapsed: float, observation: rollout.Observation) -> tuple[Stage, float]:
        self.time.advance_to(START_MS + round(elapsed * DURATION_MS))
        self.plan.step(observation)
        return self.plan.stage, self.plan.share


def test_a_version_gets_no_requests_before_its_endpoints_are_ready():
    driver = PlanDriver()
    none_yet = dataclasses.replace(GOOD, ready_new=0, by_route={})
    assert driver.at(0.1, none_yet) == (Stage.WAITING, 0.0)
    assert driver.at(0.2, dataclasses.replace(GOOD, by_route={}))[0] is Stage.FEW


def test_the_canary_share_stays_within_the_tolerated_exposure():
    for requests_per_s in (0.1, 1.0, 10.0, 100.0, 16_000.0):
        driver = PlanDriver()
        observation = dataclasses.replace(GOOD, by_route={}, requests_per_s=requests_per_s)
        _, share = driver.at(0.05, observation)
        expected = requests_per_s * DURATION_MS / 1_000
        assert 0 < share * expected <= EXPOSURE.share * expected + EXPOSURE.extra_requests
        assert share <= rollout.MAX_CANARY


def test_a_good_version_passes_all_steps_in_order():
    driver = PlanDriver()
    few = driver.at(0.1, GOOD)
    assert few[0] is Stage.FEW
    assert driver.at(0.45, GOOD) == few
    shares = [driver.at(0.9, GOOD)[1] for _ in rollout.STEPS]
    assert shares == [share for _, share in rollout.STEPS]
    assert driver.plan.stage is Stage.ALL


def test_steps_are_not_taken_early():
    driver = PlanDriver()
    for elapsed in (0.1, 0.3, 0.499):
        assert driver.at(elapsed, GOOD)[0] is Stage.FEW
    for from_part, share in rollout.STEPS:
        assert driver.at(from_part, GOOD)[1] == share


def test_completion_waits_for_old_endpoints_to_drain_or_the_deadline():
    driver = PlanDriver(Stage.ALL, 1.0)
    assert driver.at(0.7, GOOD)[0] is Stage.ALL
    assert driver.at(0.71, dataclasses.replace(GOOD, running_old=0))[0] is Stage.COMPLETED
    driver = PlanDriver(Stage.ALL, 1.0)
    assert driver.at(rollout.COMPLETED_BY, GOOD)[0] is Stage.COMPLETED


@pytest.mark.parametrize("stage", [Stage.FEW, Stage.MORE, Stage.ALL])
def test_a_bad_version_is_rolled_back_at_any_stage(stage: Stage):
    driver = PlanDriver(stage, 0.3)
    assert driver.at(0.55, BAD) == (Stage.ROLLED_BACK, 0.0)
    assert driver.at(0.6, GOOD) == (Stage.ROLLED_BACK, 0.0)


def test_a_vetoed_version_is_rolled_back():
    driver = PlanDriver(Stage.FEW, 0.08)
    vetoed = dataclasses.replace(GOOD, vetoed=True)
    assert driver.at(0.2, vetoed) == (Stage.ROLLED_BACK, 0.0)
    assert driver.plan.reason == "vetoed"


def test_an_open_verdict_at_the_deadline_is_rolled_back():
    driver = PlanDriver(Stage.FEW, 0.08)
    assert driver.at(rollout.JUDGED_BY - 0.01, OPEN)[0] is Stage.FEW
    assert driver.at(rollout.JUDGED_BY, OPEN)[0] is Stage.ROLLED_BACK


def test_too_few_new_endpoints_stop_the_steps():
    driver = PlanDriver(Stage.FEW, 0.08)
    small = dataclasses.replace(GOOD, ready_new=7)
    assert driver.at(0.6, small)[0] is Stage.FEW
    assert driver.at(rollout.JUDGED_BY, small)[0] is Stage.ROLLED_BACK
    assert "too few" in driver.plan.reason


def test_a_version_without_ready_endpoints_is_rolled_back():
    driver = PlanDriver()
    none = dataclasses.replace(GOOD, ready_new=0, by_route={})
    assert driver.at(0.7, none)[0] is Stage.WAITING
    assert driver.at(rollout.JUDGED_BY, none)[0] is Stage.ROLLED_BACK


def test_a_fault_of_both_versions_is_not_rolled_back():
    driver = PlanDriver(Stage.FEW, 0.08)
    troubled = dataclasses.replace(GOOD, by_route=answers((120, 24), (1_200, 240)))
    assert driver.at(0.3, troubled)[0] is Stage.FEW


def test_states_that_operators_see():
    assert {stage: stage.state().value for stage in Stage if stage.is_over()} == {
        Stage.COMPLETED: "completed",
        Stage.ROLLED_BACK: "rolled_back",
    }
    assert Stage.ALL.state() is rollouts.RolloutState.RUNNING
