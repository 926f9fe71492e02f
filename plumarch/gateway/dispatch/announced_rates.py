"""Applies the request rates that endpoints announce."""

from plumarch.core import request_rate, traffic
from plumarch.gateway import fleet_state
from plumarch.gateway.dispatch import endpoint_signals
from plumarch.limits import rate_allocator

PERMIT_WAIT_MS = 150.0
"""Time that a request waits for permits: a round trip to another region, with a stop at a
coordinator."""

MAX_WAITS = 3
"""Permit waits per request: others may use the permits that arrive."""


def observe(
    state: fleet_state.FleetState,
    endpoint: traffic.Endpoint,
    signals: endpoint_signals.Signals,
    sent_ms: int,
    has_run: bool,
) -> None:
    """Set the rate limit that an answer announces, or lift it if a run's answer announces none.

    An invalid value, or a rejection without a rate, changes nothing.

    Args:
      has_run: whether the endpoint ran the request.
    """
    if signals.rate_limit:
        per_s = request_rate.per_second(signals.rate_limit)
        if per_s is None:
            return
        alive_ms = state.wall.now() - state.clock.now() + sent_ms
        changed = state.permits.announced(endpoint, alive_ms, per_s)
    else:
        changed = has_run and state.permits.not_announced(endpoint, sent_ms)
    if not changed:
        return
    state.rate_changed(endpoint, state.node)
    report = state.permits.report(endpoint)
    if report is not None:
        _send_request(state, endpoint, report)


def may_send(state: fleet_state.FleetState, endpoint: traffic.Endpoint) -> bool:
    """Return whether a request may be sent; request permits if not."""
    if state.permits.may_send(endpoint):
        return True
    request_permits(state, endpoint)
    return state.permits.may_send(endpoint)


def request_permits(
    state: fleet_state.FleetState, endpoint: traffic.Endpoint, is_needed: bool = True
) -> None:
    """Request permits, unless a request is pending or not due.

    Args:
      is_needed: as for `RatePermits.request`.
    """
    request = state.permits.request(endpoint, is_needed)
    if request is not None:
        _send_request(state, endpoint, request)


def _send_request(
    state: fleet_state.FleetState,
    endpoint: traffic.Endpoint,
    request: rate_allocator.PermitRequest,
) -> None:
    if state.request_permits is not None:
        state.request_permits(endpoint, request)
        return
    answer = state.allocator.allocate(request, 1.0)
    state.permits.answered(endpoint, answer)


async def wait_for_answer(
    state: fleet_state.FleetState, endpoint: traffic.Endpoint, time_left_ms: float
) -> bool:
    """Wait for pending permits and return whether a request may be sent now."""
    if state.permits.is_request_pending(endpoint):
        await state.permit_answers.wait(endpoint.id, max(0.0, min(PERMIT_WAIT_MS, time_left_ms)))
    return state.permits.may_send(endpoint)
