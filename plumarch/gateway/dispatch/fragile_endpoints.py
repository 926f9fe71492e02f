"""Leased slots at endpoints that crash if they have to reject too many requests."""

from plumarch.core import request_rate, traffic
from plumarch.gateway import fleet_state
from plumarch.gateway.dispatch import endpoint_signals
from plumarch.limits import slot_allocator

ANSWER_WAIT_MS = 150.0
"""Time that a request waits for the allocator's answer; longer than `slot_leases.ANSWER_MS`."""

MAX_UNANSWERED_WAITS = 2
"""Waits without an answer after which a request is given up: one message may be lost."""


def observe(
    state: fleet_state.FleetState, endpoint: traffic.Endpoint, signals: endpoint_signals.Signals
) -> None:
    """Record what an answer announces; an invalid value changes nothing."""
    per_s = request_rate.per_second(signals.rejection_limit) if signals.rejection_limit else None
    if per_s is not None and state.fragile.announced(endpoint.service, per_s):
        state.fragility_changed(endpoint.service, state.node)


def is_fragile(state: fleet_state.FleetState, endpoint: traffic.Endpoint) -> bool:
    """Return whether requests to an endpoint need leased slots."""
    return state.fragile.is_fragile(endpoint.service)


def may_send(state: fleet_state.FleetState, endpoint: traffic.Endpoint) -> bool:
    """Return whether a request may be sent now."""
    return not is_fragile(state, endpoint) or state.slots.may_send(state.slot_use(endpoint))


def without_denied(
    state: fleet_state.FleetState, endpoints: list[traffic.Endpoint]
) -> list[traffic.Endpoint]:
    """Return the endpoints without those whose slots are all in use."""
    if not state.fragile.known:
        return endpoints
    return [
        one
        for one in endpoints
        if not is_fragile(state, one) or not state.slots.is_denied(one.id) or may_send(state, one)
    ]


def request_slot(state: fleet_state.FleetState, endpoint: traffic.Endpoint) -> None:
    """Request a slot for each waiting request, unless an answer is awaited."""
    wanted = 1 + state.slot_answers.waiting(endpoint.id)
    request = state.slots.request(state.slot_use(endpoint), wanted)
    if request is not None:
        _send(state, endpoint, request)


async def wait_for_answer(
    state: fleet_state.FleetState, endpoint: traffic.Endpoint, time_left_ms: float
) -> bool:
    """Wait for the allocator's answer; return whether it came."""
    if may_send(state, endpoint):
        return True
    if not state.slots.is_request_pending(endpoint.id):
        return state.slots.is_denied(endpoint.id)
    wait_ms = max(0.0, min(ANSWER_WAIT_MS, time_left_ms))
    return await state.slot_answers.wait(endpoint.id, wait_ms)


def return_surplus(state: fleet_state.FleetState, endpoint: traffic.Endpoint) -> None:
    """Let waiting requests use free leased slots, or return them."""
    if not is_fragile(state, endpoint):
        return
    use = state.slot_use(endpoint)
    if not state.slots.has_surplus(use):
        return
    if state.slot_answers.waiting(endpoint.id):
        state.slot_answers.answered(endpoint.id)
    else:
        _send(state, endpoint, state.slots.report(use))


def _send(
    state: fleet_state.FleetState,
    endpoint: traffic.Endpoint,
    request: slot_allocator.SlotRequest,
) -> None:
    if state.request_slots is not None:
        state.request_slots(endpoint, request)
        return
    answer = state.slot_allocator.allocate(request, 1.0, 0)
    state.slots.answered(answer, request.running)
