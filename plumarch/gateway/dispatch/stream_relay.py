"""Relays event streams; for a slow caller, the run is abandoned or the endpoint paused."""

import asyncio
from collections.abc import Callable

import h11

from plumarch.core import answer_limits, numerals, traffic
from plumarch.gateway import errors, fleet_state
from plumarch.gateway.callers import admission, caller_requests
from plumarch.gateway.dispatch import (
    attempts,
    endpoint_outcomes,
    event_stream,
    exonerations,
    version_outcomes,
)
from plumarch.limits import memory_account
from plumarch.routing import stream_origins

PAUSE_LIMIT_MS = 5_000.0
"""Longest pause; an endpoint aborts an unread answer after some seconds."""


class RunAbandoned(errors.ExchangeError):
    """The caller doesn't read; the stream may be resumed."""


class CallerTooSlow(errors.ExchangeError):
    """The caller read too slowly and was disconnected."""


class StreamRelay:
    """Relays the events of one run."""

    def __init__(
        self,
        state: fleet_state.FleetState,
        admitted: admission.Admitted,
        progress: attempts.Progress,
        reply: caller_requests.Reply,
        timeout_ms: Callable[[], float],
    ) -> None:
        self.state = state
        self.admitted = admitted
        self.progress = progress
        self.reply = reply
        self.timeout_ms = timeout_ms

    async def relay(self, attempt: attempts.Attempt, head: h11.Response) -> None:
        """Relay all events, then finish the answer.

        Raises:
          ConnectionBroken: the stream ended early, or an event is incomplete or out of order.
          AnswerTimeout: no event arrived in time.
          RunAbandoned: the caller must read before the stream is resumed.
          CallerTooSlow: the caller was disconnected.
        """
        splitter = event_stream.Splitter()
        reservation = memory_account.Reservation(
            attempt.exchange,
            self.admitted.workspace_name(),
            memory_account.Purpose.UNREAD_ANSWERS,
        )
        try:
            while True:
                part = await attempt.exchange.next_within(self.timeout_ms())
                if isinstance(part, h11.EndOfMessage):
                    break
                if isinstance(part, h11.Data):
                    await self._relay_data(attempt, head, splitter, bytes(part.data), reservation)
        finally:
            self.state.memory.resize(reservation, 0)
        if splitter.buffered:
            raise errors.ConnectionBroken("stream ended inside an event")
        self._start(head)
        self.reply.finish()

    async def _relay_data(
        self,
        attempt: attempts.Attempt,
        head: h11.Response,
        splitter: event_stream.Splitter,
        data: bytes,
        reservation: memory_account.Reservation,
    ) -> None:
        for event in splitter.feed(data):
            self._check_order(event)
            if not self.reply.has_room(len(event.raw)):
                if self._may_abandon():
                    raise RunAbandoned(
                        f"caller stopped reading after event {self.progress.last_event_id}"
                    )
                self._reserve(reservation, len(data) + attempt.exchange.unparsed)
                await self._pause(attempt)
            self._relay_event(attempt, head, event)
        buffered = len(splitter.buffered)
        if buffered > answer_limits.MAX_EVENT_BYTES:
            raise errors.ConnectionBroken(f"event exceeds {answer_limits.MAX_EVENT_BYTES} bytes")
        if buffered or reservation.size:
            self._reserve(reservation, buffered)

    def _check_order(self, event: event_stream.Event) -> None:
        last = self.progress.last_event_id
        if event.id and not event_stream.follows(last, event.id):
            raise errors.ConnectionBroken(f"event {event.id} came after {last}")

    def _may_abandon(self) -> bool:
        """Return whether the stream may be resumed later.

        This spends the retry budget, which bounds the sends that a slow caller can cause.
        """
        route = self.admitted.route
        if not route.repeatable():
            return False
        if numerals.whole_number(self.progress.last_event_id) is None:
            return False
        if self.progress.sends >= route.max_attempts:
            return False
        return self.state.budget.take(self.admitted.service)

    def _reserve(self, reservation: memory_account.Reservation, size: int) -> None:
        """Reserve memory for bytes that wait for the caller or an event's end."""
        if not self.state.memory.resize(reservation, size):
            self.reply.disconnect("no_memory")
            raise CallerTooSlow(f"no memory for {size} bytes of a stream")

    async def _pause(self, attempt: attempts.Attempt) -> None:
        """Pause the endpoint until the caller has read everything."""
        attempt.exchange.pause()
        try:
            async with asyncio.timeout(PAUSE_LIMIT_MS / 1000.0):
                await self.reply.drained()
        except TimeoutError as error:
            self.reply.disconnect("caller_too_slow")
            raise CallerTooSlow("caller did not read before the endpoint's pause ended") from error
        finally:
            attempt.exchange.resume()

    def _relay_event(
        self, attempt: attempts.Attempt, head: h11.Response, event: event_stream.Event
    ) -> None:
        note_first_token(self.state, self.admitted, attempt, self.reply.started)
        exonerations.record_event(self.state, self.admitted, attempt)
        self._start(head)
        self.reply.send_chunk(event.raw)
        if not self.progress.events:
            self._record_begin(attempt.choice.endpoint)
        self.progress.events += 1
        if event.id:
            self.progress.last_event_id = event.id

    def _record_begin(self, endpoint: traffic.Endpoint) -> None:
        """Record where the stream began, or goes on after its caller resumed it."""
        if self.progress.origin is None:
            self.progress.origin = stream_origins.of_endpoint(endpoint)
        if self.admitted.route.repeatable():
            route, origin = self.admitted.route.name, stream_origins.of_endpoint(endpoint)
            self.state.streams.begin(self.progress.stream, endpoint, route)
            self.state.stream_began(stream_origins.RouteOrigin(route, origin))
            if not endpoint.version and self.state.registry.versions.announces(endpoint.service):
                self.state.streams.add(self.progress.stream, None)

    def _start(self, head: h11.Response) -> None:
        if self.reply.started:
            return
        if self.progress.first_ms is None:
            self.progress.first_ms = self.state.clock.now() - self.admitted.request.began_ms
        headers = attempts.answer_headers(head, self.state.names)
        self.reply.start(head.status_code, headers)
        if not self.admitted.route.repeatable():
            self.reply.release_body()


def note_first_token(
    state: fleet_state.FleetState,
    admitted: admission.Admitted,
    attempt: attempts.Attempt,
    began_before: bool,
) -> None:
    """Record an attempt's first token, once.

    Args:
      began_before: whether an earlier attempt began the answer.
    """
    if attempt.saw_first_token:
        return
    attempt.saw_first_token = True
    state.chooser.first_token(attempt.choice)
    endpoint_outcomes.first_byte(state, attempt.sent_request)
    attempt.first_ms = state.clock.now() - attempt.sent_ms
    is_measure = not version_outcomes.is_on_trial(state, attempt.choice.endpoint)
    is_measure = is_measure and not attempts.was_suspended(state, attempt)
    if admitted.prompt_tokens and is_measure:
        waited_ms = attempt.first_ms
        waited_ms -= round(attempt.choice.capacity_wait_ms + attempt.round_trip_ms)
        speed = state.chooser.speed(admitted.service)
        others_waited = attempt.choice.waiting_tokens > 0
        speed.first_token(attempt.choice.tokens_to_read(), waited_ms, others_waited)
    elif is_measure:
        state.chooser.answered(attempt.choice, attempt.first_ms - attempt.round_trip_ms)
    if not began_before:
        attempts.count_began(state, admitted)
