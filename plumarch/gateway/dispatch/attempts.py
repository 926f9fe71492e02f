"""One send of a request to one endpoint, and what is known of it afterwards."""

import dataclasses
import math

import h11

from plumarch.core import traffic
from plumarch.gateway import dialect, errors, fleet_state
from plumarch.gateway.callers import admission
from plumarch.gateway.connections import exchange
from plumarch.gateway.dispatch import announced_rates, endpoint_outcomes
from plumarch.routing import endpoint_choice, locality_choice, return_times

CONNECT_TIMEOUT_MS = 250.0
"""Within which a connection comes up inside a region."""

CONNECT_ROUND_TRIPS = 2.0
"""Round trips that are allowed besides to another region: one for the way, one for what varies on
it."""

LOCAL_TARGET_FRACTION = 0.5
"""An answer expected within this part of its target is soon enough to stay in the region: twice the
expected time is still in target."""


@dataclasses.dataclass(slots=True)
class Progress:
    """What happened to a request so far.

    Attributes:
      tried: endpoints that it was sent to or that could not be reached.
      sends: how many endpoints bytes were sent to.
      unresolved: sends of which it is not known that the request did not run.
      last_event_id: of the last event that the caller got, in this answer or by its own word.
      first_ms: when the first byte of the answer was ready, from the request's arrival; or None.
      events: passed on to the caller.
      without_permit: the endpoint that was preferred last but has an announced rate, if no other
        one had room.
      permit_waits: how often permits were waited for.
    """

    tried: set[str] = dataclasses.field(default_factory=set)
    sends: int = 0
    unresolved: int = 0
    last_fault: str = ""
    last_event_id: str = ""
    first_ms: int | None = None
    events: int = 0
    without_permit: traffic.Endpoint | None = None
    permit_waits: int = 0


@dataclasses.dataclass(slots=True)
class Attempt:
    """A connection to an endpoint on which a request was sent.

    Attributes:
      given: what its endpoint was given.
      first_ms: how long after the send its first event came, or None before that.
      round_trip_ms: the way there and back, if it leads to another region.
    """

    choice: endpoint_choice.Choice
    exchange: exchange.Exchange
    sent_request: endpoint_outcomes.SentRequest
    sent_ms: int = 0
    saw_first_token: bool = False
    first_ms: int | None = None
    round_trip_ms: float = 0.0


class NotRun(errors.ExchangeError):
    """An endpoint did not run the request: it said so, or got no byte of it.

    Attributes:
      status: what it said, or None if it got nothing.
    """

    def __init__(self, why: str, status: int | None = None) -> None:
        super().__init__(why)
        self.status = status


def choose(
    state: fleet_state.FleetState, admitted: admission.Admitted, progress: Progress
) -> endpoint_choice.Choice | None:
    """Choose an endpoint that was not tried yet, or None if there is none with room."""
    ready = [one for one in state.registry.ready(admitted.service) if one.id not in progress.tried]
    accepting = state.backoff.without(ready)
    repeated = bool(progress.tried)
    terms = _terms(state, admitted, repeated)
    progress.without_permit = None
    choice = None
    candidates: list[traffic.Endpoint] = []
    for group in state.splits.groups(admitted.service, accepting, admitted.id, repeated):
        available = _with_capacity(state, admitted, group) if choice is None else []
        if available:
            candidates = available
            choice = _choose_permitted(state, admitted, progress, candidates, terms)
    if choice is None:
        state.log.write(
            "no_endpoint",
            request=admitted.id,
            service=admitted.service,
            ready=len(ready),
            resting=len(ready) - len(accepting),
            too_far=len(candidates),
            rate_limited=len(state.permits.lasting(candidates)),
            split=state.splits.of(admitted.service),
            tried=len(progress.tried),
            after_fall_ms=round(endpoint_outcomes.wait_after_crash_ms(state, admitted, ready)),
            registry_revision=state.registry.revision,
            registry_age_ms=state.registry.age_ms(),
            registry_source=state.registry.source,
        )
    return choice


def _choose_permitted(
    state: fleet_state.FleetState,
    admitted: admission.Admitted,
    progress: Progress,
    candidates: list[traffic.Endpoint],
    terms: locality_choice.Terms,
) -> endpoint_choice.Choice | None:
    """Choose among endpoints with room, leaving out those that a permit is missing for."""
    choice = _choose_preferred(state, admitted, candidates, terms)
    # An announced rate holds for all nodes together, so no node can tell by its own sends whether
    # the endpoint takes one more.
    if choice is None or announced_rates.may_send(state, choice.endpoint):
        return choice
    state.measures.permits.add(admitted.service, "missing")
    permitted = [one for one in candidates if state.permits.may_send(one)]
    if not permitted and progress.without_permit is None:
        progress.without_permit = choice.endpoint
    return _choose_preferred(state, admitted, permitted, terms)


def _terms(
    state: fleet_state.FleetState, admitted: admission.Admitted, repeated: bool
) -> locality_choice.Terms:
    """Return what a request asks of its endpoint, by its route's target and its deadline."""
    target_ms = admitted.route.target_ms
    return locality_choice.Terms(
        time_left_ms=admitted.ends_ms - state.clock.now(),
        enough_ms=LOCAL_TARGET_FRACTION * target_ms,
        late_ms=target_ms if target_ms > 0 else math.inf,
        repeated=repeated,
    )


def _choose_preferred(
    state: fleet_state.FleetState,
    admitted: admission.Admitted,
    candidates: list[traffic.Endpoint],
    terms: locality_choice.Terms,
) -> endpoint_choice.Choice | None:
    if not candidates:
        return None
    preferred = endpoint_outcomes.preferred(state, candidates, terms.repeated)
    choice = _choose_by_load(state, admitted, preferred, terms)
    if choice is None and len(preferred) < len(candidates):
        # The better ones are too far: one that is worse may still answer in time.
        choice = _choose_by_load(state, admitted, candidates, terms)
    return choice


def _choose_by_load(
    state: fleet_state.FleetState,
    admitted: admission.Admitted,
    candidates: list[traffic.Endpoint],
    terms: locality_choice.Terms,
) -> endpoint_choice.Choice | None:
    seed = state.rng.randrange(1 << 30)
    if admitted.prompt_tokens:
        return state.chooser.choose_engine(
            candidates, admitted.parts, admitted.prompt_tokens, seed, terms
        )
    return state.chooser.choose_plain(candidates, seed, terms)


def _with_capacity(
    state: fleet_state.FleetState, admitted: admission.Admitted, ready: list[traffic.Endpoint]
) -> list[traffic.Endpoint]:
    """Return the endpoints that can be reached, answer well, and have room."""
    reachable = [one for one in ready if not state.reach.is_excluded(one.data_centre)]
    usable = state.health.usable(reachable or ready)
    if endpoint_outcomes.wait_after_crash_ms(state, admitted, usable):
        return []
    demand = endpoint_outcomes.demand_of(admitted)
    return state.limits.with_capacity(admitted.service, usable, state.chooser.running, demand)


def retry_delay_ms(state: fleet_state.FleetState, admitted: admission.Admitted) -> float:
    """Return when a request that no endpoint had room for had better come back, in ms.

    Where endpoints are ready, that is when one of their places is free, in the region if it has
    any, or when the first of them has rested if all of them asked for that, or when a permit is due
    if all of them announce a request rate; where none is ready, or
    all are too far, when those have booted that are ordered in their place.
    """
    time_left_ms = admitted.ends_ms - state.clock.now()
    backoff_ms = backoff_left_ms(state, admitted)
    if backoff_ms:
        return float(backoff_ms)
    all_ready = state.backoff.without(state.registry.ready(admitted.service))
    permit_ms = state.permits.wait_ms(all_ready)
    if permit_ms:
        return float(permit_ms)
    local = [one for one in all_ready if state.distances.is_in_region(one.data_centre)]
    ready = local or [
        one for one in all_ready if state.distances.network_ms(one.data_centre) < time_left_ms
    ]
    if ready:
        running = state.chooser.total_running(ready)
        slots = sum(max(1, one.slots) for one in ready)
        run_ms = state.chooser.speed(admitted.service).run_ms.value
        free_ms = return_times.when_slot_is_free(running, slots, run_ms)
        return max(free_ms, endpoint_outcomes.wait_after_crash_ms(state, admitted, ready))
    service = state.table.services.get(admitted.service) if state.table else None
    if service is not None and service.scaling is not None:
        return return_times.when_booted(service.scaling.boot_ms)
    return return_times.MIN_MS


def backoff_left_ms(state: fleet_state.FleetState, admitted: admission.Admitted) -> int:
    """Return when the first endpoint of a service takes requests again; 0 if one does now."""
    return state.backoff.first_left_ms(state.registry.ready(admitted.service))


async def send(
    state: fleet_state.FleetState,
    admitted: admission.Admitted,
    progress: Progress,
    choice: endpoint_choice.Choice,
) -> Attempt:
    """Send a request to an endpoint over a fresh connection.

    It counts as the endpoint's load from now on: requests that come while this one connects
    would all choose the same endpoint otherwise.

    Raises:
      ConnectFailed: no byte was sent.
      TimeoutError: nor was one, since the caller's time is over.
    """
    check_time(state, admitted)
    state.chooser.begin(choice)
    try:
        return await _send(state, admitted, progress, choice)
    except BaseException:
        state.chooser.end(choice, saw_first_token=False)
        raise


async def _send(
    state: fleet_state.FleetState,
    admitted: admission.Admitted,
    progress: Progress,
    choice: endpoint_choice.Choice,
) -> Attempt:
    endpoint = choice.endpoint
    progress.tried.add(endpoint.id)
    has_permit = state.permits.use(endpoint)
    if has_permit:
        state.measures.permits.add(admitted.service, "used")
        announced_rates.request_permits(state, endpoint, is_needed=False)
    state.reach.begin_probe(endpoint.data_centre)
    _log_choice(state, admitted, progress, choice)
    time_left = admitted.ends_ms - state.clock.now()
    began_ms = state.clock.now()
    try:
        opened = await exchange.connect(
            endpoint.address, min(connect_timeout_ms(state, endpoint), time_left)
        )
    except errors.ConnectFailed:
        if has_permit:
            state.permits.return_permit(endpoint)
        if not state.suspensions.since(began_ms):
            state.health.failure(endpoint.id)
            endpoint_outcomes.connect_failed(state, endpoint)
            _record_connect_failure(state, endpoint)
        state.measures.attempts.add(admitted.service, "no_connection")
        raise
    state.reach.connected(endpoint.data_centre)
    if not state.suspensions.since(began_ms):
        connect_ms = state.clock.now() - began_ms
        state.distances.connected(endpoint.data_centre, connect_ms)
        state.health.latencies.connected(endpoint.id, connect_ms)
    try:
        check_time(state, admitted)
        _check_accepts_requests(state, endpoint, has_permit)
    except (TimeoutError, errors.ConnectFailed):
        opened.close()
        raise
    headers = _headers(state, admitted, progress, endpoint)
    request = admitted.request
    try:
        opened.send(
            request.method,
            request.target,
            headers,
            request.body,
            state.memory,
            admitted.workspace_name(),
        )
    except errors.ConnectFailed:
        opened.close()
        raise
    locality = state.distances.locality(endpoint.data_centre)
    state.measures.sends.add(admitted.service, locality.label())
    progress.sends += 1
    progress.unresolved += 1
    if progress.sends == 1:
        state.budget.record_first_send(admitted.service)
    state.chooser.remember(choice, admitted.parts)
    if admitted.prompt_tokens:
        state.work.sent(admitted.service, admitted.units, choice.unread_tokens)
        if state.announce_prompt is not None:
            state.announce_prompt(
                fleet_state.SentPrompt(
                    choice.endpoint.id,
                    choice.unread_tokens,
                    admitted.workspace_name(),
                    admitted.units,
                )
            )
    state.runs.begin(endpoint.id, opened)
    sent_request = endpoint_outcomes.record_send(state, admitted, choice)
    beyond_ms = state.distances.beyond_region_ms(endpoint.data_centre)
    return Attempt(choice, opened, sent_request, state.clock.now(), round_trip_ms=beyond_ms)


def check_time(state: fleet_state.FleetState, admitted: admission.Admitted) -> None:
    """Send nothing for a caller whose time is over, also where no timer has told so yet.

    Raises:
      TimeoutError: it is.
    """
    if admitted.ends_ms - state.clock.now() < 1:
        raise TimeoutError


def _check_accepts_requests(
    state: fleet_state.FleetState, endpoint: traffic.Endpoint, has_permit: bool
) -> None:
    """Send nothing to an endpoint that said so to another request while the connection came up.

    Args:
      has_permit: whether a permit was used for this send.
    Raises:
      ConnectFailed: it leaves, rests, or announced a rate under which there is no permit.
    """
    listed = state.registry.endpoints.get(endpoint.id)
    if listed is not None and listed.state is traffic.EndpointState.DRAINING:
        raise errors.ConnectFailed(f"{endpoint.id} leaves. Ask another one.")
    if state.backoff.left_ms(endpoint):
        raise errors.ConnectFailed(f"{endpoint.id} asked for rest. Ask another one.")
    limited = not has_permit and state.permits.rate(endpoint) is not None
    if limited and not state.permits.use(endpoint):
        raise errors.ConnectFailed(f"{endpoint.id} announced a rate limit. Ask another one.")


def was_suspended(state: fleet_state.FleetState, attempt: Attempt) -> bool:
    """Return whether this process was suspended since an attempt was sent.

    Then how long it took, and that it failed, says nothing about the endpoint.
    """
    return state.suspensions.since(attempt.sent_ms)


def connect_timeout_ms(state: fleet_state.FleetState, endpoint: traffic.Endpoint) -> float:
    """Return how long a connection may take to come up; longer to another region."""
    beyond_ms = state.distances.beyond_region_ms(endpoint.data_centre)
    return CONNECT_TIMEOUT_MS + CONNECT_ROUND_TRIPS * beyond_ms


def _record_connect_failure(state: fleet_state.FleetState, endpoint: traffic.Endpoint) -> None:
    """Note that an endpoint could not be connected to, and perhaps its whole data centre."""
    beyond_ms = CONNECT_ROUND_TRIPS * state.distances.beyond_region_ms(endpoint.data_centre)
    if state.reach.failed(endpoint.data_centre, endpoint.id, beyond_ms):
        reach = state.reach.known[endpoint.data_centre]
        state.log.write(
            "data_centre_out",
            data_centre=endpoint.data_centre,
            for_ms=reach.excluded_until_ms - state.clock.now(),
            failed=sorted(reach.failed),
        )


def _headers(
    state: fleet_state.FleetState,
    admitted: admission.Admitted,
    progress: Progress,
    endpoint: traffic.Endpoint,
) -> list[tuple[bytes, bytes]]:
    names = state.names
    request = admitted.request
    headers = admission.forwarded_headers(names, request.headers, admitted.workspace)
    time_left = admitted.ends_ms - state.clock.now()
    # The request and its answer take a round trip; what the endpoint does after that is in vain.
    time_left = max(1, int(time_left - state.distances.beyond_region_ms(endpoint.data_centre)))
    headers.append((names.deadline_ms, str(time_left).encode()))
    headers.append((names.instance, endpoint.called().encode()))
    if admitted.prompt_tokens:
        headers.append((names.urgency, str(admission.urgency(admitted)).encode()))
    if progress.last_event_id:
        headers.append((names.last_event_id, progress.last_event_id.encode()))
    if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
        headers.append((b"content-length", str(len(request.body)).encode()))
    headers.append((b"connection", b"close"))
    return headers


def _log_choice(
    state: fleet_state.FleetState,
    admitted: admission.Admitted,
    progress: Progress,
    choice: endpoint_choice.Choice,
) -> None:
    state.log.write(
        "sent",
        request=admitted.id,
        endpoint=choice.endpoint.id,
        service=admitted.service,
        cost=round(choice.cost, 2),
        expected_ms=round(choice.expected_ms),
        unread_tokens=round(choice.unread_tokens),
        candidates=choice.considered,
        attempt=progress.sends + 1,
        after=progress.last_fault,
        registry_revision=state.registry.revision,
        registry_age_ms=state.registry.age_ms(),
        configuration=admitted.version,
        workspace=admitted.workspace_name(),
        units=round(admitted.units),
        quota=state.quota.seen(admitted.workspace_name()),
        time_left_ms=round(admitted.ends_ms - state.clock.now()),
        locality=state.distances.locality(choice.endpoint.data_centre).label(),
        round_trip_ms=round(state.distances.round_trip_ms(choice.endpoint.data_centre), 1),
        leaves_region=_leave_reason(progress, choice),
        endpoint_per_s=state.permits.rate(choice.endpoint),
    )


def _leave_reason(progress: Progress, choice: endpoint_choice.Choice) -> str:
    """Return why a request leaves its region, or "" if it stays."""
    if choice.leave_reason is None:
        return ""
    return "repeat" if progress.tried - {choice.endpoint.id} else choice.leave_reason.value


async def read_head(
    state: fleet_state.FleetState, admitted: admission.Admitted, attempt: Attempt, wait_ms: float
) -> h11.Response:
    """Wait for the head of the answer.

    Raises:
      NotRun: the endpoint did not run the request.
      ConnectionBroken: the answer broke off, is another request's, or can't be trusted.
      AnswerTimeout: nothing came.
    """
    try:
        head = await attempt.exchange.next_within(wait_ms)
    except errors.NotDispatched as error:
        state.health.failure(attempt.choice.endpoint.id)
        raise NotRun(str(error)) from error
    if not isinstance(head, h11.Response):
        raise errors.ConnectionBroken("the answer has no head")
    names = state.names
    endpoint_outcomes.answered(state, admitted, attempt.sent_request, attempt.sent_ms, head)
    if head.status_code in endpoint_outcomes.PROMISED_NOT_RUN:
        if _is_promise(head, names):
            raise NotRun(f"endpoint answered {head.status_code}, not run", head.status_code)
        raise errors.ConnectionBroken(f"endpoint answered {head.status_code} without a promise")
    if dialect.header_value(head.headers, names.request_id) not in ("", admitted.id):
        raise errors.ConnectionBroken("the answer is another request's")
    if 200 <= head.status_code < 300 and not dialect.header_value(head.headers, names.signature):
        raise errors.ConnectionBroken("the answer has no signature")
    return head


def _is_promise(head: h11.Response, names: dialect.Dialect) -> bool:
    is_misdirected = head.status_code == endpoint_outcomes.MISDIRECTED
    return is_misdirected or bool(dialect.header_value(head.headers, names.not_run))


def answer_headers(head: h11.Response, names: dialect.Dialect) -> list[tuple[bytes, bytes]]:
    """Return an endpoint's headers as the caller may see them."""
    dropped = dialect.not_for_callers(names)
    return [(bytes(name), bytes(value)) for name, value in head.headers if name not in dropped]


def count_began(state: fleet_state.FleetState, admitted: admission.Admitted) -> None:
    """Count the request as one that began to run."""
    if admitted.workspace is not None:
        state.usage.started(admitted.workspace.name, state.wall.now())


def was_disconnected(attempt: Attempt) -> bool:
    """Return whether the endpoint ended the connection, and did not only answer badly."""
    transport = attempt.exchange.transport
    return transport is None or transport.is_closing()


def end(state: fleet_state.FleetState, attempt: Attempt) -> None:
    """Close the connection, which cancels the request if it still runs."""
    attempt.exchange.close()
    state.runs.end(attempt.choice.endpoint.id, attempt.exchange)
    if attempt.saw_first_token and not was_suspended(state, attempt):
        run_ms = state.clock.now() - attempt.sent_ms - attempt.round_trip_ms
        state.chooser.speed(attempt.choice.endpoint.service).ended(max(0.0, run_ms))
    state.chooser.end(attempt.choice, attempt.saw_first_token)
    endpoint_outcomes.ended(state, attempt.sent_request)
