"""Reports outcomes to the endpoint statistics in `routing`."""

import dataclasses
from collections.abc import Sequence

import h11

from plumarch.core import revisions, traffic
from plumarch.gateway import fleet_state
from plumarch.gateway.callers import admission
from plumarch.gateway.dispatch import announced_rates, endpoint_signals, fragile_endpoints
from plumarch.routing import (
    answer_times,
    crash_guard,
    endpoint_choice,
    endpoint_limits,
    locality_choice,
)

PROMISED_NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses that may promise that the request did not run."""

OVERLOADED = frozenset({429, 503})
"""Statuses of a rejection for load."""

SERVER_ERRORS = 500
"""First status of an endpoint's own failure."""

MISDIRECTED = 421
"""Status of a process that is not the endpoint named, and did not run the request."""

REJECTION_WEIGHT = 0.3
"""Weight of a rejection as a failure if capacity seems free: reports of other nodes lag."""

MIN_COMPARED = 2
"""Minimum endpoints of a region to compare without remote ones."""


@dataclasses.dataclass(frozen=True, slots=True)
class SentRequest:
    """A request that was sent to an endpoint.

    Attributes:
      number: from `Latencies.sent`, or None if the expected latency is unknown.
    """

    endpoint: traffic.Endpoint
    demand: endpoint_limits.Demand
    number: int | None


def demand_of(admitted: admission.Admitted) -> endpoint_limits.Demand:
    """Return the load that a request adds."""
    return endpoint_limits.demand(
        admitted.prompt_tokens,
        admitted.max_output_tokens,
        len(admitted.request.body),
        admission.urgency(admitted),
    )


def preferred(
    state: fleet_state.FleetState, endpoints: Sequence[traffic.Endpoint], repeated: bool
) -> list[traffic.Endpoint]:
    """Return the preferred endpoints with free capacity.

    Args:
      repeated: whether the request failed elsewhere already.
    """
    quick = _without_slow(state, endpoints)
    return state.health.best(quick, state.chooser.running, repeated)


def _without_slow(
    state: fleet_state.FleetState, endpoints: Sequence[traffic.Endpoint]
) -> list[traffic.Endpoint]:
    """Return the endpoints without their region's slow outliers.

    Remote endpoints are mostly idle, and would make local ones look slow.
    """
    latencies, running = state.health.latencies, state.chooser.running
    local, remote = locality_choice.local_and_remote(endpoints, state.distances)
    if len(local) < MIN_COMPARED:
        return latencies.without_slow(endpoints, running)
    return latencies.without_slow(local, running) + latencies.without_slow(remote, running)


def wait_after_crash_ms(
    state: fleet_state.FleetState,
    admitted: admission.Admitted,
    endpoints: Sequence[traffic.Endpoint],
) -> float:
    """Return how long a request waits after a crash in its service, in ms; 0 without one."""
    crash = state.limits.crashes.recent(admitted.service)
    if crash is None:
        return 0.0
    others = [one for one in endpoints if one.id != crash.endpoint]
    if len(others) >= crash_guard.UNLIMITED_PEERS:
        return 0.0
    running = state.chooser.total_running(others)
    slots = sum(max(1, one.slots) for one in others)
    rank = admission.urgency(admitted)
    return state.limits.crashes.wait_ms(admitted.service, running, slots, rank)


def record_send(
    state: fleet_state.FleetState,
    admitted: admission.Admitted,
    choice: endpoint_choice.Choice,
) -> SentRequest:
    """Record a request that was sent."""
    demand = demand_of(admitted)
    endpoint = choice.endpoint
    state.limits.sent(endpoint, demand)
    expected_ms = _expected_ms(state, admitted, choice)
    number = None
    if expected_ms is not None:
        number = state.health.latencies.sent(endpoint.id, expected_ms)
    return SentRequest(endpoint, demand, number)


def _expected_ms(
    state: fleet_state.FleetState,
    admitted: admission.Admitted,
    choice: endpoint_choice.Choice,
) -> float | None:
    """Return the expected time to the first byte, with network latency; None if unknown."""
    network_ms = state.distances.beyond_region_ms(choice.endpoint.data_centre)
    if admitted.prompt_tokens:
        speed = state.chooser.speed(admitted.service)
        return network_ms + speed.expect_ms(choice.tokens_to_read(), choice.capacity_wait_ms)
    mean = state.answer_times.by_route.get(admitted.route.name)
    if mean is None or mean.seen < answer_times.KNOWN_AFTER:
        return None
    return network_ms + mean.value


def answered(
    state: fleet_state.FleetState,
    admitted: admission.Admitted,
    one: SentRequest,
    sent_ms: int,
    head: h11.Response,
) -> None:
    """Apply the signals of an answer to its endpoint.

    Args:
      sent_ms: when the request was sent; the answering process was running by then.
    """
    signals = endpoint_signals.of(head, state.names)
    if head.status_code != MISDIRECTED:
        has_run = head.status_code not in PROMISED_NOT_RUN
        announced_rates.observe(state, one.endpoint, signals, sent_ms, has_run)
        fragile_endpoints.observe(state, one.endpoint, signals)
    if not signals.concerns_requests() and head.status_code not in PROMISED_NOT_RUN:
        return
    endpoint, now = one.endpoint, state.clock.now()
    alive_ms = state.wall.now() - now + sent_ms
    backoff_ms = 0
    if signals.backoff_ms and head.status_code in OVERLOADED:
        # A rejecting endpoint looks idle, and would be chosen first again.
        backoff_ms = state.backoff.note_retry_after(endpoint, alive_ms, signals.backoff_ms)
        state.measures.backoffs.add(endpoint.service)
    listed = state.registry.endpoints.get(endpoint.id)
    state.log.write(
        "endpoint_said",
        request=admitted.id,
        endpoint=endpoint.id,
        status=head.status_code,
        leaving=signals.draining,
        retry_after=signals.retry_after,
        rests_ms=backoff_ms,
        rate_limit=signals.rate_limit,
        rejection_limit=signals.rejection_limit,
        after_ms=now - sent_ms,
        listed_as=listed.state.value if listed else "gone",
        registry_revision=revisions.shown(state.registry.revision),
        registry_age_ms=state.registry.age_ms(),
    )
    if head.status_code == MISDIRECTED:
        # Another process has the address: its drain signal isn't the endpoint's.
        return
    # The store may be unreachable while an endpoint drains.
    if signals.draining and state.registry.note_draining(endpoint, alive_ms):
        state.measures.leaving_announced.add(endpoint.service)


def first_byte(state: fleet_state.FleetState, one: SentRequest) -> None:
    """Record the first byte of an answer."""
    running = state.chooser.running(one.endpoint.id)
    state.limits.observe_load(one.endpoint, running)
    if one.number is None:
        return
    took = state.health.latencies.answered(one.endpoint.id, one.number)
    if took is not None:
        state.limits.answered(one.endpoint, running, took, one.demand.is_engine)
        _log_limit(state, one.endpoint)


def rejected(state: fleet_state.FleetState, one: SentRequest, status: int) -> None:
    """Record that an endpoint did not run a request."""
    if status == MISDIRECTED:
        # The entry outlived its process, and would attract requests that can only fail.
        state.health.absent(one.endpoint)
        state.log.write("endpoint_absent", endpoint=one.endpoint.id, address=one.endpoint.address)
    if status not in OVERLOADED:
        return
    if fragile_endpoints.is_fragile(state, one.endpoint):
        state.slots.rejected(one.endpoint.id)
    running = max(0, state.chooser.running(one.endpoint.id) - 1)
    if running < one.endpoint.slots:
        # It rejects below its capacity, looks idle and would be preferred.
        state.health.failure(one.endpoint.id, REJECTION_WEIGHT)
    state.limits.rejected(one.endpoint, running, one.demand.is_engine)
    _log_limit(state, one.endpoint)


def lost(state: fleet_state.FleetState, one: SentRequest) -> None:
    """Record a connection that ended during its run."""
    running = state.chooser.running(one.endpoint.id)
    elsewhere = _elsewhere(state, one.endpoint)
    endpoint = _current(state, one.endpoint)
    _note_crash(state, endpoint, state.limits.lost(endpoint, running, elsewhere))


def connect_failed(state: fleet_state.FleetState, endpoint: traffic.Endpoint) -> None:
    """Record a failed connection."""
    elsewhere = _elsewhere(state, endpoint)
    endpoint = _current(state, endpoint)
    _note_crash(state, endpoint, state.limits.connect_failed(endpoint, elsewhere))


def lives(state: fleet_state.FleetState, endpoint: traffic.Endpoint, lost_ms: int) -> bool:
    """Take back that an endpoint crashed; return whether it counted as crashed.

    Args:
      lost_ms: when its connections were lost.
    """
    return state.limits.retract_crash(endpoint, lost_ms - crash_guard.LOSS_WINDOW_MS)


def ended(state: fleet_state.FleetState, one: SentRequest) -> None:
    """Record the end of a request at an endpoint."""
    state.limits.ended(one.endpoint, one.demand)
    if one.number is not None:
        state.health.latencies.ended(one.endpoint.id, one.number)


def _current(state: fleet_state.FleetState, endpoint: traffic.Endpoint) -> traffic.Endpoint:
    """Return an endpoint's current state.

    An unlisted one counts as draining, unless its entry lapsed or its name is listed again.
    """
    listed = state.registry.endpoints.get(endpoint.id)
    if listed is not None:
        return listed
    if endpoint.id in state.registry.lapsed or endpoint.stable_name() in state.registry.by_name:
        return endpoint
    return dataclasses.replace(endpoint, state=traffic.EndpointState.DRAINING)


def _elsewhere(state: fleet_state.FleetState, endpoint: traffic.Endpoint) -> int:
    ready = state.registry.ready(endpoint.service)
    return state.chooser.total_running(one for one in ready if one.id != endpoint.id)


def _note_crash(
    state: fleet_state.FleetState, endpoint: traffic.Endpoint, crash: crash_guard.Crash | None
) -> None:
    if crash is None:
        return
    state.measures.crashes.add(endpoint.service)
    state.log.write(
        "endpoint_fell",
        endpoint=endpoint.id,
        service=endpoint.service,
        held=crash.running,
        weight=round(crash.weight),
        slots=crash.slots,
        elsewhere=crash.elsewhere,
        others_bear_per_slot=state.limits.crashes.per_slot(endpoint.service),
        others_bear_weight=state.limits.crashes.weight(endpoint.service),
    )


def _log_limit(state: fleet_state.FleetState, endpoint: traffic.Endpoint) -> None:
    changed = state.limits.changed(endpoint)
    if changed is not None:
        state.log.write(
            "endpoint_limit",
            endpoint=endpoint.id,
            service=endpoint.service,
            limit=round(changed, 1),
            running=state.chooser.running(endpoint.id),
        )
