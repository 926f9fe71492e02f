"""Rates that endpoints announce for all nodes together, as requests meet them.

Who may send, and how a rate is divided, is decided by `limits.rate_permits` and
`limits.rate_allocator`; here they are asked.
"""

from plumarch.core import request_rate, traffic
from plumarch.gateway import fleet_state
from plumarch.gateway.dispatch import endpoint_signals
from plumarch.limits import rate_allocator

PERMIT_WAIT_MS = 150.0
"""How long a request that no other endpoint has room for waits for permits: a round trip to a node
of another region and back, with a stop at a coordinator."""

MAX_WAITS = 3
"""How often one request waits for them: others may use what came before it goes on."""


def observe(
    state: fleet_state.FleetState,
    endpoint: traffic.Endpoint,
    signals: endpoint_signals.Signals,
    sent_ms: int,
    has_run: bool,
) -> None:
    """Apply the rate that an answer announces, or that it announces none.

    A value that can't be read neither sets a limit nor ends one; nor does a refusal without one.

    Args:
      sent_ms: when the request was sent.
      has_run: whether the endpoint ran it.
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
    """Return whether a request may be sent, and ask for permits if it may not."""
    if state.permits.may_send(endpoint):
        return True
    request_permits(state, endpoint)
    return state.permits.may_send(endpoint)


def request_permits(
    state: fleet_state.FleetState, endpoint: traffic.Endpoint, is_needed: bool = True
) -> None:
    """Ask for permits, unless that was done or is not due.

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
    """Wait for the answer to a request for permits, if one was sent.

    Returns:
      Whether the endpoint may be sent to by now.
    """
    if state.permits.is_request_pending(endpoint):
        await state.permit_answers.wait(endpoint.id, max(0.0, min(PERMIT_WAIT_MS, time_left_ms)))
    return state.permits.may_send(endpoint)
