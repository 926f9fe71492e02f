"""Choosing an endpoint for a request and sending the request there."""

import dataclasses
import math

import h11

from plumarch.core import revisions, traffic
from plumarch.gateway import dialect, errors, fleet_state
from plumarch.gateway.callers import admission
from plumarch.gateway.connections import exchange, tunneled
from plumarch.gateway.dispatch import (
    announced_rates,
    endpoint_connects,
    endpoint_outcomes,
    fragile_endpoints,
)
from plumarch.routing import endpoint_choice, locality_choice, return_times, stream_origins

CONNECT_TIMEOUT_MS = 250.0
"""Connect timeout within a region."""

CONNECT_ROUND_TRIPS = 2.0
"""Round trips added to the timeout in another region: one for the distance, one for its
variation."""

LOCAL_TARGET_FRACTION = 0.5
"""Fraction of the target within which a request stays in its region: twice the expected time is
still in target."""


@dataclasses.dataclass(slots=True)
class Progress:
    """State of a request over its attempts.

    Attributes:
      tried: endpoints that it was sent to or that could not be connected to.
      sends: number of endpoints that bytes were sent to.
      unresolved: sends after which it may have run.
      last_event_id: of the caller's last event, here or by its own header.
      stream: the event stream, if it is one.
      origin: where the stream began; None before its first event.
      first_ms: time from arrival to the answer's first byte, or None.
      events: number of events relayed.
      without_permit: the preferred endpoint, if only a permit for it is missing.
    """

    tried: set[str] = dataclasses.field(default_factory=set)
    sends: int = 0
    unresolved: int = 0
    last_fault: str = ""
    last_event_id: str = ""
    stream: stream_origins.Stream = stream_origins.NO_STREAM
    origin: stream_origins.Origin | None = None
    first_ms: int | None = None
    events: int = 0
    without_permit: traffic.Endpoint | None = None
    permit_waits: int = 0


@dataclasses.dataclass(slots=True)
class Attempt:
    """A connection on which a request was sent.

    Attributes:
      first_ms: time from the send to the first event, or None before that.
      round_trip_ms: round trip added by another region.
      outlived_beginning: whether its answer shows that it does not crash its endpoint.
    """

    choice: endpoint_choice.Choice
    exchange: exchange.Exchange
    sent_request: endpoint_outcomes.SentRequest
    sent_ms: int = 0
    saw_first_token: bool = False
    first_ms: int | None = None
    round_trip_ms: float = 0.0
    outlived_beginning: bool = False


class NotRun(errors.ExchangeError):
    """An endpoint rejected the request, or received no byte of it.

    Attributes:
      status: of its answer, or None if it received nothing.
    """

    def __init__(self, why: str, status: int | None = None) -> None:
        super().__init__(why)
        self.status = status


def choose(
    state: fleet_state.FleetState, admitted: admission.Admitted, progress: Progress
) -> endpoint_choice.Choice | None:
    """Choose an untried endpoint with free capacity, or None.

    A stream that has begun goes on at its own software version, whatever a roll-out's split says.
    """
    ready = _untried(state, admitted, progress)
    accepting = state.backoff.without(ready)
    repeated = bool(progress.tried)
    terms = _terms(state, admitted, repeated)
    progress.without_permit = None
    choice = None
    candidates: list[traffic.Endpoint] = []
    groups = [accepting]
    if progress.origin is None:
        groups = state.splits.groups(admitted.service, accepting, admitted.id, repeated)
    for group in groups:
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
            began_at=progress.origin.version if progress.origin is not None else None,
            resting=len(ready) - len(accepting),
            too_far=len(candidates),
            rate_limited=len(state.permits.lasting(candidates)),
            split=state.splits.of(admitted.service),
            tried=len(progress.tried),
            after_fall_ms=round(endpoint_outcomes.wait_after_crash_ms(state, admitted, ready)),
            registry_revision=revisions.shown(state.registry.revision),
            registry_age_ms=state.registry.age_ms(),
            registry_source=state.registry.source,
        )
    return choice


def _untried(
    state: fleet_state.FleetState, admitted: admission.Admitted, progress: Progress
) -> list[traffic.Endpoint]:
    """Return the ready endpoints that a request may still go to."""
    ready = [one for one in state.registry.ready(admitted.service) if one.id not in progress.tried]
    return progress.origin.matching(ready) if progress.origin is not None else ready


def has_untried(
    state: fleet_state.FleetState, admitted: admission.Admitted, progress: Progress
) -> bool:
    """Return whether a request could go to another endpoint once that has free capacity."""
    return bool(_untried(state, admitted, progress))


def _choose_permitted(
    state: fleet_state.FleetState,
    admitted: admission.Admitted,
    progress: Progress,
    candidates: list[traffic.Endpoint],
    terms: locality_choice.Terms,
) -> endpoint_choice.Choice | None:
    """Choose an endpoint, skipping those that a permit is missing for."""
    choice = _choose_preferred(state, admitted, candidates, terms)
    # All nodes share an announced rate, so this node's own sends don't show what is left.
    if choice is None or _may_send(state, choice.endpoint):
        return choice
    state.measures.permits.add(admitted.service, "missing")
    permitted = [
        one
        for one in candidates
        if state.permits.may_send(one) and fragile_endpoints.may_send(state, one)
    ]
    if not permitted and progress.without_permit is None:
        progress.without_permit = choice.endpoint
    return _choose_preferred(state, admitted, permitted, terms)


def _may_send(state: fleet_state.FleetState, endpoint: traffic.Endpoint) -> bool:
    """Return whether a request may be sent; request a permit or a slot if not."""
    if not announced_rates.may_send(state, endpoint):
        return False
    if fragile_endpoints.may_send(state, endpoint):
        return True
    fragile_endpoints.request_slot(state, endpoint)
    return fragile_endpoints.may_send(state, endpoint)


def _terms(
    state: fleet_state.FleetState, admitted: admission.Admitted, repeated: bool
) -> locality_choice.Terms:
    """Return the time limits by the route's target and the deadline."""
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
        # The healthier ones are too distant; a less healthy one may answer in time.
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
    """Return the reachable, healthy endpoints with free capacity."""
    reachable = [one for one in ready if not state.reach.is_excluded(one.data_centre)]
    usable = state.health.usable(reachable or ready)
    usable = fragile_endpoints.without_denied(state, usable)
    if endpoint_outcomes.wait_after_crash_ms(state, admitted, usable):
        return []
    demand = endpoint_outcomes.demand_of(admitted)
    return state.limits.with_capacity(admitted.service, usable, state.chooser.running, demand)


def retry_delay_ms(state: fleet_state.FleetState, admitted: admission.Admitted) -> float:
    """Return the delay in ms after which a caller without an endpoint should try again.

    The first that applies: until a backoff ends if all endpoints back off, until a permit is due if
    all announce a rate, until capacity is free, in the region if it has endpoints; and until new
    endpoints have booted if none is ready or all are too distant.
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
    """Return ms until the first backoff ends; 0 if an endpoint has none."""
    return state.backoff.first_left_ms(state.registry.ready(admitted.service))


async def send(
    state: fleet_state.FleetState,
    admitted: admission.Admitted,
    progress: Progress,
    choice: endpoint_choice.Choice,
) -> Attempt:
    """Send a request over a new connection.

    It counts as load before it connects, so that concurrent requests choose other endpoints.

    Raises:
      ConnectFailed: no byte was sent.
      TimeoutError: the deadline has passed, and no byte was sent.
    """
    check_time(state, admitted)
    state.chooser.begin(choice)
    try:
        return await _send(state, admitted, progress, choice)
    except BaseException:
        state.chooser.end(choice, saw_first_token=False)
        fragile_endpoints.return_surplus(state, choice.endpoint)
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
        opened = await endpoint_connects.connect(
            state, endpoint, admitted.id, min(connect_timeout_ms(state, endpoint), time_left)
        )
    except errors.ConnectFailed as error:
        if has_permit:
            state.permits.return_permit(endpoint)
        _log_connect_failure(state, admitted, endpoint, error, state.clock.now() - began_ms)
        if not state.suspensions.since(began_ms):
            state.health.failure(endpoint.id, is_silent=not error.is_refused)
            endpoint_outcomes.connect_failed(state, endpoint)
            _record_connect_failure(state, endpoint)
        state.measures.attempts.add(admitted.service, "no_connection")
        raise
    state.reach.connected(endpoint.data_centre)
    if not opened.is_tunneled and not state.suspensions.since(began_ms):
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
    state.runs.begin(endpoint.id, opened, state.wall.now())
    sent_request = endpoint_outcomes.record_send(state, admitted, choice)
    beyond_ms = state.distances.beyond_region_ms(endpoint.data_centre)
    return Attempt(choice, opened, sent_request, state.clock.now(), round_trip_ms=beyond_ms)


def check_time(state: fleet_state.FleetState, admitted: admission.Admitted) -> None:
    """Check a request's deadline, whose timer may run late.

    Raises:
      TimeoutError: it has passed.
    """
    if admitted.ends_ms - state.clock.now() < 1:
        raise TimeoutError


def _check_accepts_requests(
    state: fleet_state.FleetState, endpoint: traffic.Endpoint, has_permit: bool
) -> None:
    """Check that a connected endpoint still accepts requests.

    Args:
      has_permit: whether a permit was used for this send.
    Raises:
      ConnectFailed: it drains, backs off, or announced a rate that leaves no permit.
    """
    listed = state.registry.endpoints.get(endpoint.id)
    if listed is not None and listed.state is traffic.EndpointState.DRAINING:
        raise errors.ConnectFailed(f"{endpoint.id} is draining; try another endpoint")
    if state.backoff.left_ms(endpoint):
        raise errors.ConnectFailed(f"{endpoint.id} backs off; try another endpoint")
    limited = not has_permit and state.permits.rate(endpoint) is not None
    if limited and not state.permits.use(endpoint):
        raise errors.ConnectFailed(f"{endpoint.id} announced a rate limit; try another endpoint")


def was_suspended(state: fleet_state.FleetState, attempt: Attempt) -> bool:
    """Return whether this process was suspended since an attempt was sent.

    If so, its duration or failure doesn't count against the endpoint.
    """
    return state.suspensions.since(attempt.sent_ms)


def connect_timeout_ms(state: fleet_state.FleetState, endpoint: traffic.Endpoint) -> float:
    """Return the connect timeout in ms, longer to another region."""
    beyond_ms = state.distances.beyond_region_ms(endpoint.data_centre)
    return CONNECT_TIMEOUT_MS + CONNECT_ROUND_TRIPS * beyond_ms


def _record_connect_failure(state: fleet_state.FleetState, endpoint: traffic.Endpoint) -> None:
    """Record a failed connection, which may exclude the endpoint's data centre."""
    beyond_ms = CONNECT_ROUND_TRIPS * state.distances.beyond_region_ms(endpoint.data_centre)
    if state.reach.failed(endpoint.data_centre, endpoint.id, beyond_ms):
        reach = state.reach.known[endpoint.data_centre]
        state.log.write(
            "data_centre_out",
            data_centre=endpoint.data_centre,
            for_ms=reach.excluded_until_ms - state.clock.now(),
            failed=sorted(reach.failed),
        )


def _log_connect_failure(
    state: fleet_state.FleetState,
    admitted: admission.Admitted,
    endpoint: traffic.Endpoint,
    error: errors.ConnectFailed,
    after_ms: int,
) -> None:
    """Log a failed connect with what tells a node that is cut off from an endpoint that is down."""
    state.log.write(
        "connect_failed",
        request=admitted.id,
        endpoint=endpoint.id,
        refused=error.is_refused,
        after_ms=after_ms,
        last_connect_age_ms=state.paths.connect_age_ms(),
        failed_since=len(state.paths.failed_in_row),
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
    # The round trip is deducted: the answer must arrive by the deadline.
    time_left = max(1, int(time_left - state.distances.beyond_region_ms(endpoint.data_centre)))
    headers.append((names.deadline_ms, str(time_left).encode()))
    headers.append((names.instance, endpoint.stable_name().encode()))
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
        version=choice.endpoint.version,
        after_event=progress.last_event_id,
        attempt=progress.sends + 1,
        after=progress.last_fault,
        registry_revision=revisions.shown(state.registry.revision),
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
    """Return why a request leaves its region, or ""."""
    if choice.leave_reason is None:
        return ""
    return "repeat" if progress.tried - {choice.endpoint.id} else choice.leave_reason.value


async def read_head(
    state: fleet_state.FleetState, admitted: admission.Admitted, attempt: Attempt, wait_ms: float
) -> h11.Response:
    """Wait for the head of the answer.

    Raises:
      NotRun: the endpoint did not run the request.
      ConnectionBroken: the connection ended, or the answer is another request's or unsigned.
      AnswerTimeout: no head arrived in time.
    """
    try:
        head = await attempt.exchange.next_within(wait_ms)
    except errors.NotDispatched as error:
        state.health.failure(attempt.choice.endpoint.id)
        raise NotRun(str(error)) from error
    if not isinstance(head, h11.Response):
        raise errors.ConnectionBroken("answer has no head")
    names = state.names
    endpoint_outcomes.answered(state, admitted, attempt.sent_request, attempt.sent_ms, head)
    if head.status_code in endpoint_outcomes.PROMISED_NOT_RUN:
        if _is_promise(head, names):
            raise NotRun(
                f"endpoint answered {head.status_code} and did not run the request",
                head.status_code,
            )
        raise errors.ConnectionBroken(
            f"endpoint answered {head.status_code}; the request may have run"
        )
    if dialect.header_value(head.headers, names.request_id) not in ("", admitted.id):
        raise errors.ConnectionBroken("answer carries the id of another request")
    if 200 <= head.status_code < 300 and not dialect.header_value(head.headers, names.signature):
        raise errors.ConnectionBroken("answer has no signature")
    return head


def _is_promise(head: h11.Response, names: dialect.Dialect) -> bool:
    is_misdirected = head.status_code == endpoint_outcomes.MISDIRECTED
    return is_misdirected or bool(dialect.header_value(head.headers, names.not_run))


def answer_headers(head: h11.Response, names: dialect.Dialect) -> list[tuple[bytes, bytes]]:
    """Return an endpoint's headers without internal ones."""
    dropped = dialect.not_for_callers(names)
    return [(bytes(name), bytes(value)) for name, value in head.headers if name not in dropped]


def count_began(state: fleet_state.FleetState, admitted: admission.Admitted) -> None:
    """Count the request in its workspace's usage."""
    if admitted.workspace is not None:
        state.usage.started(admitted.workspace.name, state.wall.now())


def was_disconnected(attempt: Attempt) -> bool:
    """Return whether the endpoint's connection ended, as opposed to an invalid answer."""
    return attempt.exchange.ended_by_endpoint()


def is_own_fault(state: fleet_state.FleetState, attempt: Attempt) -> bool:
    """Return whether an attempt's failure says nothing about its endpoint.

    This process was suspended, the tunnel ended, or this node can't reach the endpoint.
    """
    if was_suspended(state, attempt):
        return True
    if isinstance(attempt.exchange, tunneled.TunneledExchange):
        return not was_disconnected(attempt) and not _is_silence_behind(state, attempt.exchange)
    return state.paths.is_unreachable(attempt.choice.endpoint.id)


def _is_silence_behind(state: fleet_state.FleetState, opened: tunneled.TunneledExchange) -> bool:
    """Return whether a tunnel is open and its other node responds, so that the endpoint hangs."""
    known = state.tunnel_peers
    return known is not None and not opened.fault and known.is_responsive(opened.peer)


def end(state: fleet_state.FleetState, attempt: Attempt) -> None:
    """Close the connection, which cancels a request that still runs."""
    attempt.exchange.close()
    state.runs.end(attempt.exchange)
    if attempt.saw_first_token and not was_suspended(state, attempt):
        run_ms = state.clock.now() - attempt.sent_ms - attempt.round_trip_ms
        state.chooser.speed(attempt.choice.endpoint.service).ended(max(0.0, run_ms))
    state.chooser.end(attempt.choice, attempt.saw_first_token)
    fragile_endpoints.return_surplus(state, attempt.choice.endpoint)
    endpoint_outcomes.ended(state, attempt.sent_request)
