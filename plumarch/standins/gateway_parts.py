"""Gateway state without a process, for tests."""

import random

from plumarch.core import clock, suspension
from plumarch.fleet import engine_demand, usage, version_tally
from plumarch.gateway import decision_log, dialect, fleet_state, measures
from plumarch.limits import (
    attempt_budget,
    memory_account,
    memory_admission,
    quarantine,
    workspace_quota,
)
from plumarch.membership import registry
from plumarch.routing import (
    answer_times,
    data_centre_reach,
    distance,
    endpoint_choice,
    endpoint_health,
    endpoint_limits,
    version_split,
)

USAGE_WINDOW_MS = 5_000
SETTLED_MS = 100_000
MEMORY_MB = 200


def new_state(
    steady: clock.Clock, node: str = "n", wall: clock.Clock | None = None
) -> fleet_state.FleetState:
    """Build the state of a node that started long ago and has ample budgets.

    Args:
      wall: the wall clock; defaults to the steady clock.
    """
    distances = distance.Distances(steady, "a")
    suspensions = suspension.Suspensions(steady)
    return fleet_state.FleetState(
        node=node,
        data_centre="a",
        clock=steady,
        wall=wall or steady,
        rng=random.Random(1),
        names=dialect.Dialect(),
        log=decision_log.DecisionLog(steady, node, descriptor=-1),
        measures=measures.Measures(),
        registry=registry.Registry(steady),
        chooser=endpoint_choice.EndpointChooser(steady, "a", distances=distances),
        health=endpoint_health.EndpointHealth(steady, suspensions),
        reach=data_centre_reach.DataCentreReach(steady, "a"),
        quota=workspace_quota.WorkspaceQuota(steady, steady.now() - SETTLED_MS),
        budget=attempt_budget.AttemptBudget(steady, 60_000, 1.0, 1_000.0),
        work=engine_demand.SentWork(steady),
        usage=usage.UsageCounter(USAGE_WINDOW_MS),
        splits=version_split.VersionSplits(steady),
        answers=version_tally.TallyBook(),
        answer_times=answer_times.AnswerTimes(),
        distances=distances,
        memory=memory_account.from_limit(MEMORY_MB),
        pressure=memory_admission.MemoryAdmission(steady),
        limits=endpoint_limits.EndpointLimits(steady),
        quarantine=quarantine.Quarantine(wall or steady),
        suspensions=suspensions,
    )
