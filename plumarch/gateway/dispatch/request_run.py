"""Makes attempts at a request until an endpoint answers or the request is given up.

The final answer is 503 with Retry-After if it certainly did not run, otherwise 502 or 504.
"""

import asyncio
import dataclasses

import h11

from plumarch.core import traffic
from plumarch.gateway import dialect, errors, fleet_state
from plumarch.gateway.callers import admission, caller_requests
from plumarch.gateway.dispatch import (
    announced_rates,
    attempts,
    buffered_answers,
    endpoint_outcomes,
    exonerations,
    fragile_endpoints,
    interrupted_runs,
    resumptions,
    stream_relay,
    version_outcomes,
)
from plumarch.limits import memory_account, quarantine
from plumarch.routing import endpoint_choice, return_times

CALLER_DISCONNECTED = 499
"""Logged as the status if the caller disconnected early."""

ANSWER_TIMEOUT_TARGETS = 1.6
"""Timeout of a repeatable request at one endpoint, in multiples of the target."""

MIN_STREAM_TIMEOUT_MS = 2_000.0
"""Minimum timeout for a resumable stream's next event."""

MAX_EXPECTED_TARGETS = 1.3
"""A stream is rejected if its first event is expected later, in multiples of the target."""

MIN_QUEUED_FRACTION = 0.3
"""Minimum fraction of prompt tokens before the first event that belong to other requests; below it
a stream is late by its own length and is not rejected."""

RESUME_WAIT_MS = 5_000.0
"""Time that an abandoned stream waits for free capacity."""

RESUMPTION_WAIT_MS = 1_000.0
"""Time that a stream with events at its caller waits for free capacity of its version; callers give
up after a gap of two seconds."""

RESUME_CHECK_MS = 100.0
"""First interval between its tries; doubles to limit log lines."""

TRIAL_RETRY_MS = 1_000.0
"""Retry delay of a quarantined request without a trial."""

SERVER_ERROR_WEIGHT = 0.3
"""Weight of an endpoint's 5xx as its failure."""


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """How a request ended."""

    status: int
    reason: str


def send_refusal(
    reply: caller_requests.Reply,
    request: caller_requests.CallerRequest,
    refusal: admission.Refusal,
    id_header: bytes,
) -> None:
    """Send the gateway's own rejection or failure."""
    headers = [(b"content-type", b"text/plain")]
    request_id = request.header(id_header)
    if request_id:
        headers.append((id_header, request_id.encode("latin-1")))
    if refusal.retry_after_ms is not None:
        seconds = f"{refusal.retry_after_ms / 1000.0:.3f}"
        headers.append((b"retry-after", seconds.encode()))
    reply.send(refusal.status, headers, f"{refusal.reason}\n".encode())


@dataclasses.dataclass(frozen=True, slots=True)
class BufferedAnswer:
    """An endpoint's complete answer."""

    head: h11.Response
    body: bytes


class RequestRun:
    """Serves one request."""

    def __init__(
        self,
        state: fleet_state.FleetState,
        admitted: admission.Admitted,
        reply: caller_requests.Reply,
        runs: interrupted_runs.InterruptedRuns,
    ) -> None:
        self.state = state
        self.interrupted_runs = runs
        self.admitted = admitted
        self.reply = reply
        self.progress = attempts.Progress(
            stream=resumptions.stream_of(state, admitted),
            last_event_id=admitted.request.header(state.names.last_event_id),
        )
        self.failed_answer: BufferedAnswer | None = None
        self.failed_reservation: memory_account.Reservation | None = None
        self.back_in_ms = return_times.MIN_MS
        self.is_abandoned = False
        self.is_trial = False
        self.resumes_until_ms = 0.0

    async def serve(self) -> Outcome:
        """Make attempts until an endpoint answers or the request is given up."""
        time_left = (self.admitted.ends_ms - self.state.clock.now()) / 1000.0
        try:
            async with asyncio.timeout(max(0.0, time_left)):
                return await self._attempt_all()
        except TimeoutError:
            return self._give_up("timeout", 504)
        finally:
            self._retain_failed(None)
            if self.progress.events:
                self.state.streams.end(self.progress.stream)

    def _retain_failed(self, reservation: memory_account.Reservation | None) -> None:
        """Keep a failed answer's reservation, and release the previous one."""
        if self.failed_reservation is not None:
            self.state.memory.resize(self.failed_reservation, 0)
        self.failed_reservation = reservation

    async def _attempt_all(self) -> Outcome:
        if not await self._may_begin():
            return self._give_up("quarantined", 502)
        if resumptions.is_resumption(self.admitted, self.progress.last_event_id):
            refused = await self._find_origin()
            if refused:
                return self._give_up(refused, 502)
        wait_ms = RESUME_CHECK_MS
        while True:
            if self._became_quarantined():
                return self._give_up("quarantined", 502)
            choice = attempts.choose(self.state, self.admitted, self.progress)
            if choice is None and await self._received_permit():
                continue
            if choice is None and self._awaits_resumption():
                await asyncio.sleep(wait_ms / 1000.0)
                wait_ms *= 2.0
                continue
            if choice is None:
                self.back_in_ms = attempts.retry_delay_ms(self.state, self.admitted)
                return self._give_up(self.progress.last_fault or "no_endpoint", 502)
            if self._is_expected_late(choice):
                self.state.work.rejected(self.admitted.service, choice.unread_tokens)
                return self._give_up("overloaded", 502)
            outcome = await self._attempt(choice)
            if outcome is not None:
                return outcome
            if self.is_abandoned:
                await self._wait_until_read()
                wait_ms = RESUME_CHECK_MS
                continue
            if not await self._may_retry_elsewhere(choice.endpoint.id):
                backoff_ms = attempts.backoff_left_ms(self.state, self.admitted)
                self.back_in_ms = max(self.back_in_ms, float(backoff_ms))
                return self._give_up(self.progress.last_fault, 502)
            if self.progress.origin is not None:
                self._wait_for_capacity()

    async def _may_begin(self) -> bool:
        """Return whether the request isn't quarantined, or is granted a trial."""
        state = self.state
        fingerprints = self.admitted.fingerprints()
        if state.quarantine.find_quarantined(*fingerprints) is None:
            return True
        if state.request_trial is not None and await state.request_trial(*fingerprints):
            self.is_trial = True
            return True
        self._wait_for_trial()
        return False

    def _wait_for_trial(self) -> None:
        """Have the caller wait until what is quarantined may run again."""
        quarantined = self.state.quarantine.find_quarantined(*self.admitted.fingerprints())
        back_in_ms = quarantined.back_in_ms if quarantined is not None else 0
        self.back_in_ms = max(TRIAL_RETRY_MS, float(back_in_ms))

    def _became_quarantined(self) -> bool:
        """Return whether the request was quarantined after it was admitted."""
        if self.is_trial:
            return False
        if self.state.quarantine.find_quarantined(*self.admitted.fingerprints()) is None:
            return False
        self._wait_for_trial()
        return True

    async def _find_origin(self) -> str:
        """Find where a resumed stream began; return why it can't go on, or ""."""
        found = await resumptions.find_origin(self.state, self.admitted, self.progress.stream)
        if found.origin is None:
            return "unknown_stream"
        admitted = resumptions.with_service_of(self.admitted, found.origin)
        if admitted is None:
            return "service_left"
        self.admitted = admitted
        self.progress.origin = found.origin
        if not found.origin.matching(self.state.registry.ready(admitted.service)):
            return "version_gone"
        self._wait_for_capacity()
        return ""

    async def _received_permit(self) -> bool:
        """Wait for a permit or slot if only that is missing; return whether to choose again."""
        progress = self.progress
        endpoint = progress.without_permit
        if endpoint is None or progress.permit_waits >= announced_rates.MAX_WAITS:
            return False
        progress.permit_waits += 1
        time_left_ms = self.admitted.ends_ms - self.state.clock.now()
        if not fragile_endpoints.may_send(self.state, endpoint):
            if await fragile_endpoints.wait_for_answer(self.state, endpoint, time_left_ms):
                return True
            return progress.permit_waits < fragile_endpoints.MAX_UNANSWERED_WAITS
        return await announced_rates.wait_for_answer(self.state, endpoint, time_left_ms)

    async def _wait_until_read(self) -> None:
        """Wait until an abandoned stream's caller has read everything."""
        await self.reply.drained()
        self.is_abandoned = False
        self.resumes_until_ms = self.state.clock.now() + RESUME_WAIT_MS
        self.state.measures.streams.add("resumed")
        self.state.log.write(
            "stream_resumed", request=self.admitted.id, after=self.progress.last_event_id
        )

    def _wait_for_capacity(self) -> None:
        """Wait for free capacity from now on, if any endpoint of the stream's version is left."""
        is_left = attempts.has_untried(self.state, self.admitted, self.progress)
        wait_ms = RESUMPTION_WAIT_MS if is_left else 0.0
        self.resumes_until_ms = self.state.clock.now() + wait_ms

    def _awaits_resumption(self) -> bool:
        """Return whether a stream that has begun may still wait for free capacity."""
        return self.state.clock.now() < self.resumes_until_ms

    def _is_expected_late(self, choice: endpoint_choice.Choice) -> bool:
        """Return whether load makes a first send miss its target by far.

        A prompt that is late by its own length is sent, and so is a resumption: its caller would
        lose the events that it holds.
        """
        if self.progress.sends or not self.admitted.prompt_tokens:
            return False
        if self.progress.origin is not None:
            return False
        others = choice.waiting_tokens / max(1.0, choice.tokens_to_read())
        if others < MIN_QUEUED_FRACTION and not choice.capacity_wait_ms:
            return False
        speed = self.state.chooser.speed(self.admitted.service)
        expected_ms = speed.expect_ms(choice.tokens_to_read(), choice.capacity_wait_ms)
        expected_ms += choice.network_ms
        target_ms = self.admitted.route.target_ms
        if not expected_ms > MAX_EXPECTED_TARGETS * target_ms > 0:
            return False
        self.back_in_ms = return_times.when_drained(expected_ms, target_ms)
        return True

    async def _attempt(self, choice: endpoint_choice.Choice) -> Outcome | None:
        """Try one endpoint; None if it did not answer."""
        state, progress = self.state, self.progress
        try:
            attempt = await attempts.send(state, self.admitted, progress, choice)
        except errors.SendBufferFull:
            self.back_in_ms = state.pressure.back_in_ms(len(self.admitted.request.body))
            return self._give_up("memory", 502)
        except errors.ConnectFailed:
            progress.last_fault = "no_connection"
            return None
        endpoint = choice.endpoint.id
        label = "abandoned"
        try:
            outcome = await self._relay(attempt)
            label = "answered"
            exonerations.record_answer(state, self.admitted, outcome.status)
            failed = outcome.status >= endpoint_outcomes.SERVER_ERRORS
            if failed:
                state.health.failure(endpoint, SERVER_ERROR_WEIGHT)
            else:
                state.health.success(endpoint)
            version_outcomes.note(state, self.admitted, attempt, failed)
            return outcome
        except stream_relay.RunAbandoned:
            label = "let_go"
            self._note_abandoned(attempt)
        except stream_relay.CallerTooSlow:
            return Outcome(CALLER_DISCONNECTED, self.reply.disconnect_reason)
        except errors.NoMemory:
            return self.fail(Outcome(502, "no_memory"))
        except attempts.NotRun as error:
            progress.unresolved -= 1
            if error.status is not None:
                endpoint_outcomes.rejected(state, attempt.sent_request, error.status)
            progress.last_fault = label = "not_run"
        except RetryElsewhere:
            progress.last_fault = label = "failed"
            state.health.failure(endpoint, SERVER_ERROR_WEIGHT)
            version_outcomes.note(state, self.admitted, attempt, failed=True)
        except errors.AnswerTimeout:
            progress.last_fault = label = "silent"
            self._record_failure(attempt, is_silent=True)
        except errors.ConnectionBroken as error:
            progress.last_fault = label = "broken"
            if attempts.was_disconnected(attempt) and not attempts.is_own_fault(state, attempt):
                endpoint_outcomes.lost(state, attempt.sent_request)
                state.health.failure(endpoint)
                self.interrupted_runs.record(
                    self.admitted,
                    attempt,
                    lambda: version_outcomes.note(state, self.admitted, attempt, failed=True),
                )
            else:
                self._record_failure(attempt)
            self._log_broken(attempt, str(error))
        finally:
            attempts.end(state, attempt)
            state.measures.attempts.add(self.admitted.service, label)
        return None

    def _record_failure(self, attempt: attempts.Attempt, is_silent: bool = False) -> None:
        """Record the endpoint's failure, unless the cause is on this side.

        Args:
          is_silent: whether it did not respond; a version is not judged by each such request.
        """
        state = self.state
        if attempts.is_own_fault(state, attempt):
            return
        endpoint = attempt.choice.endpoint.id
        counts = not is_silent or state.health.begins_silence(endpoint)
        state.health.failure(endpoint, is_silent=is_silent)
        if counts:
            version_outcomes.note(state, self.admitted, attempt, failed=True)

    def _log_broken(self, attempt: attempts.Attempt, why: str) -> None:
        """Log a broken run with facts that distinguish a crash from an invalid answer."""
        state, endpoint = self.state, attempt.choice.endpoint
        state.log.write(
            "broken",
            request=self.admitted.id,
            fingerprint=self.admitted.fingerprint,
            segments=[
                one.name for one in self.admitted.segments[: interrupted_runs.MAX_SEGMENTS_LOGGED]
            ],
            endpoint=endpoint.id,
            why=why,
            closed=attempts.was_disconnected(attempt),
            after_ms=state.clock.now() - attempt.sent_ms,
            first_ms=attempt.first_ms,
            tunneled=attempt.exchange.is_tunneled,
            others_there=max(0, state.chooser.running(endpoint.id) - 1),
        )

    def _note_abandoned(self, attempt: attempts.Attempt) -> None:
        """Record a run abandoned for a slow caller, not as the endpoint's failure."""
        self.is_abandoned = True
        self.progress.tried.discard(attempt.choice.endpoint.id)
        self.state.measures.streams.add("let_go")
        self.state.log.write(
            "stream_let_go",
            request=self.admitted.id,
            endpoint=attempt.choice.endpoint.id,
            after=self.progress.last_event_id,
            held=self.state.memory.total(),
        )

    async def _may_retry_elsewhere(self, last: str) -> bool:
        """Return whether another endpoint may be tried, and spend the retry budget for it."""
        route = self.admitted.route
        if self.progress.sends == 0:
            return True
        if self.progress.unresolved and not route.repeatable():
            return False
        if self.progress.sends >= route.max_attempts:
            return False
        if self.progress.events and not self._may_go_on():
            return False
        if await self._is_quarantined(last):
            return False
        return self.state.budget.take(self.admitted.service)

    def _may_go_on(self) -> bool:
        """Return whether the rest of an answer that has begun would fit what was sent."""
        if not self.progress.last_event_id:
            self.progress.last_fault = "no_event_ids"
            return False
        known = self.state.streams.find(self.progress.stream)
        if known is not None and known.origin is None:
            self.progress.last_fault = "contradicted_version"
            return False
        return True

    async def _is_quarantined(self, last: str) -> bool:
        """Return whether too many endpoints crashed under this request or its segments.

        The last endpoint's probe is awaited only if it decides.
        """
        known, fingerprints = self.state.quarantine, self.admitted.fingerprints()
        most_points = max(known.points(one) for one in fingerprints)
        if most_points + quarantine.EARLY_POINTS >= quarantine.QUARANTINE_POINTS:
            await self.interrupted_runs.wait_for_probe(last)
        if known.find_quarantined(*fingerprints) is None:
            return False
        self.progress.last_fault = "quarantined"
        return True

    async def _relay(self, attempt: attempts.Attempt) -> Outcome:
        timeout_ms = self._answer_timeout_ms(attempt)
        head = await attempts.read_head(self.state, self.admitted, attempt, timeout_ms)
        media = dialect.header_value(head.headers, b"content-type")
        if head.status_code == 200 and media.startswith("text/event-stream"):
            stream = stream_relay.StreamRelay(
                self.state,
                self.admitted,
                self.progress,
                self.reply,
                lambda: self._answer_timeout_ms(attempt),
            )
            await stream.relay(attempt, head)
            return Outcome(head.status_code, "relayed")
        return await self._relay_buffered(attempt, head)

    def _answer_timeout_ms(self, attempt: attempts.Attempt) -> float:
        """Return the endpoint's timeout in ms, longer in another region."""
        route = self.admitted.route
        left = self.admitted.ends_ms - self.state.clock.now()
        if not route.repeatable() or self.progress.sends >= route.max_attempts:
            return left
        wanted = ANSWER_TIMEOUT_TARGETS * route.target_ms
        if route.kind is traffic.RouteKind.STREAMING:
            wanted = max(wanted, MIN_STREAM_TIMEOUT_MS)
        return min(left, wanted + attempt.round_trip_ms) if wanted > 0 else left

    async def _relay_buffered(self, attempt: attempts.Attempt, head: h11.Response) -> Outcome:
        """Relay an answer only once it is complete."""
        reservation = buffered_answers.new_reservation(attempt, self.admitted)
        try:
            method = self.admitted.request.method
            body = await buffered_answers.read(
                self.state.memory, attempt.exchange, head, reservation, method
            )
            stream_relay.note_first_token(self.state, self.admitted, attempt, self.reply.started)
            if head.status_code >= endpoint_outcomes.SERVER_ERRORS and self._may_retry():
                self.failed_answer = BufferedAnswer(head, body)
                self._retain_failed(reservation)
                raise RetryElsewhere("endpoint failed; another one may answer")
            if self.reply.started:
                raise errors.ConnectionBroken(
                    f"stream can't be resumed: endpoint answered {head.status_code}"
                )
            # The connection counts these bytes as unread now.
            self.state.memory.resize(reservation, 0)
            return self._send_buffered(BufferedAnswer(head, body))
        finally:
            if reservation is not self.failed_reservation:
                self.state.memory.resize(reservation, 0)

    def _send_buffered(self, answer: BufferedAnswer) -> Outcome:
        self.progress.first_ms = self.state.clock.now() - self.admitted.request.began_ms
        headers = attempts.answer_headers(answer.head, self.state.names)
        self.reply.send(answer.head.status_code, headers, answer.body)
        return Outcome(answer.head.status_code, "relayed")

    def _may_retry(self) -> bool:
        route = self.admitted.route
        return route.repeatable() and self.progress.sends < route.max_attempts

    def _give_up(self, reason: str, status: int) -> Outcome:
        """Send the final answer, 503 only if the request certainly did not run."""
        if self.reply.started:
            self.reply.abort()
            return Outcome(status, f"broken_off_{reason}")
        if self.failed_answer is not None:
            self._retain_failed(None)
            return self._send_buffered(self.failed_answer)
        if self.progress.unresolved:
            return self.fail(Outcome(status, reason))
        if self.admitted.workspace is not None:
            self.state.quota.refund(self.admitted.workspace, self.admitted.units)
        back_in_ms = return_times.spread(self.back_in_ms, self.state.rng)
        refusal = admission.Refusal(503, reason, back_in_ms)
        send_refusal(self.reply, self.admitted.request, refusal, self.state.names.request_id)
        return Outcome(503, reason)

    def fail(self, outcome: Outcome) -> Outcome:
        """Fail a request that may have run, or abort an answer that has begun."""
        if self.reply.started:
            self.reply.abort()
            return outcome
        refusal = admission.Refusal(outcome.status, outcome.reason)
        send_refusal(self.reply, self.admitted.request, refusal, self.state.names.request_id)
        return outcome


class RetryElsewhere(errors.ExchangeError):
    """The endpoint answered with a server error; another may succeed."""
