"""Counts answers by version while a roll-out runs."""

from plumarch.core import rollouts, traffic
from plumarch.fleet import version_tally
from plumarch.gateway import fleet_state
from plumarch.gateway.callers import admission
from plumarch.gateway.dispatch import attempts
from plumarch.routing import answer_times


def is_on_trial(state: fleet_state.FleetState, endpoint: traffic.Endpoint) -> bool:
    """Return whether an endpoint runs a roll-out's new version.

    Its latency is kept out of the others' estimates.
    """
    split = state.splits.of(endpoint.service)
    if split is None or split.state is not rollouts.RolloutState.RUNNING:
        return False
    return endpoint.version == split.version


def note(
    state: fleet_state.FleetState,
    admitted: admission.Admitted,
    attempt: attempts.Attempt,
    failed: bool,
) -> None:
    """Count an outcome, unless this process was suspended meanwhile."""
    if attempts.was_suspended(state, attempt):
        return
    endpoint = attempt.choice.endpoint
    took_ms = state.clock.now() - attempt.sent_ms - attempt.round_trip_ms
    is_slow = False
    if admitted.prompt_tokens:
        tokens = admitted.prompt_tokens + attempt.choice.waiting_tokens
        speed = state.chooser.speed(endpoint.service)
        first_ms = took_ms
        if attempt.first_ms is not None:
            first_ms = attempt.first_ms - attempt.round_trip_ms
        is_slow = answer_times.is_slow_first_event(
            speed, tokens, attempt.choice.capacity_wait_ms, first_ms
        )
    elif not failed:
        is_slow = state.answer_times.is_slow(admitted.route.name, took_ms)
        if not is_on_trial(state, endpoint):
            state.answer_times.observe(admitted.route.name, took_ms)
    split = state.splits.of(endpoint.service)
    if split is not None and split.state is rollouts.RolloutState.RUNNING:
        key = version_tally.TallyKey(endpoint.service, endpoint.version, admitted.route.name)
        state.answers.count(key, failed or is_slow)
