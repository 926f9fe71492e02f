"""One send of a request to one endpoint, and what is known of it afterwards."""

import dataclasses

import h11

from plumarch.core import traffic
from plumarch.gateway import admission, dialect, errors, exchange, fleet_state
from plumarch.routing import endpoint_choice, return_times

CONNECT_TIMEOUT_MS = 250.0
NOT_RUN_STATUS = 421
PROMISED_NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request did not run, when an endpoint says so."""


@dataclasses.dataclass(slots=True)
class Progress:
    """What happened to a request so far.

    Attributes:
      tried: endpoints that it was sent to or that could not be reached.
      sends: how many endpoints bytes were sent to.
      unresolved: sends of which it is not known that the request did not run.
      let_go: sends that were ended because the caller did not read; they count as no attempts.
      last_event_id: of the last event that the caller got, in this answer or by its own word.
      first_ms: when the first byte of the answer was ready, from the request's arrival; or None.
      events: passed on to the caller.
    """

    tried: set[str] = dataclasses.field(default_factory=set)
    sends: int = 0
    unresolved: int = 0
    let_go: int = 0
    last_fault: str = ""
    last_event_id: str = ""
    first_ms: int | None = None
    events: int = 0

    def attempts(self) -> int:
        """Return the sends that count against the most that a route allows."""
        return self.sends - self.let_go


@dataclasses.dataclass(slots=True)
class Attempt:
    """A connection to an endpoint on which a request was sent.

    Attributes:
      first_ms: how long after the send its first event came, or None before that.
    """

    choice: endpoint_choice.Choice
    exchange: exchange.Exchange
    sent_ms: int = 0
    saw_first_token: bool = False
    first_ms: int | None = None


class NotRun(errors.ExchangeError):
    """The endpoint said that it did not run the request."""


def choose(
    state: fleet_state.FleetState, admitted: admission.Admitted, progress: Progress
) -> endpoint_choice.Choice | None:
    """Choose an endpoint that was not tried yet, or None if there is none with room."""
    ready = [one for one in state.registry.ready(admitted.service) if one.id not in progress.tried]
    repeated = bool(progress.tried)
    candidates: list[traffic.Endpoint] = []
    for group in state.splits.groups(admitted.service, ready, admitted.id, repeated):
        candidates = candidates or _with_room(state, admitted, group)
    if not candidates:
        state.log.write(
            "no_endpoint",
            request=admitted.id,
            service=admitted.service,
            ready=len(ready),
            split=state.splits.of(admitted.service),
            tried=len(progress.tried),
            registry_revision=state.registry.revision,
            registry_age_ms=state.registry.age_ms(),
            registry_source=state.registry.source,
        )
        return None
    seed = state.rng.randrange(1 << 30)
    if admitted.prompt_tokens:
        return state.chooser.choose_engine(candidates, admitted.parts, admitted.prompt_tokens, seed)
    return state.chooser.choose_plain(candidates, seed)


def _with_room(
    state: fleet_state.FleetState, admitted: admission.Admitted, ready: list[traffic.Endpoint]
) -> list[traffic.Endpoint]:
    """Return the endpoints that can be reached, answer well, and have room."""
    reachable = [one for one in ready if not state.reach.is_out(one.data_centre)]
    usable = state.health.usable(reachable or ready)
    return [one for one in usable if _has_room(state, admitted, one)]


def when_room(state: fleet_state.FleetState, admitted: admission.Admitted) -> float:
    """Return when a request that no endpoint had room for had better come back, in ms.

    Where endpoints are ready, that is when one of their places is free; where none is, when those
    have booted that are ordered in their place.
    """
    ready = state.registry.ready(admitted.service)
    if ready:
        running = state.chooser.total_running(ready)
        slots = sum(max(1, one.slots) for one in ready)
        run_ms = state.chooser.speed(admitted.service).run_ms.value
        return return_times.when_a_place_is_free(running, slots, run_ms)
    service = state.table.services.get(admitted.service) if state.table else None
    if service is not None and service.scaling is not None:
        return return_times.when_booted(service.scaling.boot_ms)
    return return_times.LEAST_MS


def _has_room(
    state: fleet_state.FleetState, admitted: admission.Admitted, endpoint: traffic.Endpoint
) -> bool:
    running = state.chooser.running(endpoint.id)
    return state.limits.has_room(endpoint, running, bool(admitted.prompt_tokens))


async def send(
    state: fleet_state.FleetState,
    admitted: admission.Admitted,
    progress: Progress,
    choice: endpoint_choice.Choice,
) -> Attempt:
    """Send a request to an endpoint over a fresh connection.

    Raises:
      ConnectFailed: no byte was sent.
    """
    endpoint = choice.endpoint
    progress.tried.add(endpoint.id)
    state.reach.try_again(endpoint.data_centre)
    _log_choice(state, admitted, progress, choice)
    time_left = admitted.ends_ms - state.clock.now()
    began_ms = state.clock.now()
    try:
        opened = await exchange.connect(endpoint.address, min(CONNECT_TIMEOUT_MS, time_left))
    except errors.ConnectFailed:
        state.health.failure(endpoint.id)
        _note_unreached(state, endpoint)
        state.measures.attempts.add(admitted.service, "no_connection")
        raise
    state.reach.connected(endpoint.data_centre)
    state.distances.connected(endpoint.data_centre, state.clock.now() - began_ms)
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
    progress.sends += 1
    progress.unresolved += 1
    if progress.sends == 1:
        state.budget.first(admitted.service)
    state.chooser.begin(choice, admitted.parts)
    if admitted.prompt_tokens:
        state.work.sent(admitted.service, admitted.units, choice.unread_tokens)
        if state.tell_prompt is not None:
            state.tell_prompt(
                fleet_state.SentPrompt(
                    choice.endpoint.id,
                    choice.unread_tokens,
                    admitted.workspace_name(),
                    admitted.units,
                )
            )
    return Attempt(choice, opened, state.clock.now())


def _note_unreached(state: fleet_state.FleetState, endpoint: traffic.Endpoint) -> None:
    """Note that an endpoint could not be connected to, and perhaps its whole data centre."""
    if state.reach.failed(endpoint.data_centre, endpoint.id):
        reach = state.reach.known[endpoint.data_centre]
        state.log.write(
            "data_centre_out",
            data_centre=endpoint.data_centre,
            for_ms=reach.out_until_ms - state.clock.now(),
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
    time_left = max(1, int(admitted.ends_ms - state.clock.now()))
    headers.append((names.deadline_ms, str(time_left).encode()))
    headers.append((names.instance, endpoint.id.encode()))
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
        unread_tokens=round(choice.unread_tokens),
        candidates=choice.considered,
        attempt=progress.sends + 1,
        after=progress.last_fault,
        registry_revision=state.registry.revision,
        registry_age_ms=state.registry.age_ms(),
        configuration=admitted.version,
        time_left_ms=round(admitted.ends_ms - state.clock.now()),
    )


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
    except errors.NotHandedOver as error:
        state.health.failure(attempt.choice.endpoint.id)
        raise NotRun(str(error)) from error
    if not isinstance(head, h11.Response):
        raise errors.ConnectionBroken("the answer has no head")
    names = state.names
    if head.status_code in PROMISED_NOT_RUN:
        if head.status_code == NOT_RUN_STATUS or dialect.header_value(head.headers, names.not_run):
            raise NotRun(f"endpoint answered {head.status_code}, not run")
        raise errors.ConnectionBroken(f"endpoint answered {head.status_code} without a promise")
    if dialect.header_value(head.headers, names.request_id) not in ("", admitted.id):
        raise errors.ConnectionBroken("the answer is another request's")
    if 200 <= head.status_code < 300 and not dialect.header_value(head.headers, names.signature):
        raise errors.ConnectionBroken("the answer has no signature")
    return head


def answer_headers(head: h11.Response, names: dialect.Dialect) -> list[tuple[bytes, bytes]]:
    """Return an endpoint's headers as the caller may see them."""
    dropped = dialect.not_for_callers(names)
    return [(bytes(name), bytes(value)) for name, value in head.headers if name not in dropped]


def count_began(state: fleet_state.FleetState, admitted: admission.Admitted) -> None:
    """Count the request as one that began to run."""
    if admitted.workspace is not None:
        state.usage.began(admitted.workspace.name, state.wall.now())


def end(state: fleet_state.FleetState, attempt: Attempt) -> None:
    """Close the connection, which cancels the request if it still runs."""
    attempt.exchange.close()
    if attempt.saw_first_token:
        held_ms = state.clock.now() - attempt.sent_ms
        state.chooser.speed(attempt.choice.endpoint.service).ended(held_ms)
    state.chooser.end(attempt.choice, attempt.saw_first_token)
