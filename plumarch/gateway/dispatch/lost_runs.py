"""Runs whose connection broke: whether their endpoint ended with them.

A broken connection alone says little: an endpoint breaks an answer off now and then, and goes on.
One that ended refuses the next connection. So it is asked by one, without a request, and what it
ran is held against it only if that is refused, or if its entry tells soon after that its process
was born anew: a port that is held for an endpoint takes connections while it is down.
"""

import asyncio
import dataclasses

from plumarch.core import traffic
from plumarch.gateway import fleet_state
from plumarch.gateway.callers import admission
from plumarch.gateway.connections import exchange
from plumarch.gateway.dispatch import attempts
from plumarch.gateway.gossip import suspect_updates
from plumarch.limits import quarantine

KNOWN_MS = 1_000
"""How long an endpoint that ended is not asked again; no process is back sooner."""

REBORN_MS = 10_000
"""How long after a loss an endpoint's new start counts as the cause: it is in the store a few
seconds after its process is up."""

MAX_DOUBTED = 64
"""Lost runs that are kept of an endpoint for that, the last ones: as many as it has places, mostly.
One that breaks off answers all the time would have them grow."""


@dataclasses.dataclass(frozen=True, slots=True)
class LostRun:
    """A run that broke off.

    Attributes:
      points: how much its endpoint's end would speak against the request.
      after_ms: time from the send to the loss.
    """

    request: str
    fingerprint: str
    points: int
    after_ms: int


@dataclasses.dataclass(slots=True)
class Question:
    """An endpoint that is being asked whether it lives, and the runs that were lost there."""

    asking: asyncio.Task[None]
    runs: list[LostRun]


@dataclasses.dataclass(frozen=True, slots=True)
class Doubt:
    """Runs that were lost at an endpoint that took connections then, and when that was."""

    endpoint: traffic.Endpoint
    runs: list[LostRun]
    at_ms: int


class LostRuns:
    """Finds out which lost runs were lost with their endpoint.

    Attributes:
      doubts: endpoints that were found to live, by identifier.
      questions: endpoints that are being asked, by identifier.
      ended_ms: when endpoints were found to have ended lately, by identifier.
    """

    def __init__(self, state: fleet_state.FleetState) -> None:
        self.state = state
        self.questions: dict[str, Question] = {}
        self.ended_ms: dict[str, int] = {}
        self.doubts: dict[str, Doubt] = {}
        state.endpoint_restarted = self.restarted

    def note(self, admitted: admission.Admitted, attempt: attempts.Attempt) -> None:
        """Take in a run whose endpoint closed the connection."""
        endpoint = attempt.choice.endpoint
        now = self.state.clock.now()
        run = LostRun(
            admitted.id, admitted.fingerprint, _points(attempt, now), now - attempt.sent_ms
        )
        question = self.questions.get(endpoint.id)
        if question is not None:
            question.runs.append(run)
        elif attempt.exchange.peer_restarted or self._is_known_to_have_ended(endpoint.id, now):
            self._count(endpoint, [run])
        else:
            asking = asyncio.get_running_loop().create_task(self._ask(endpoint))
            self.questions[endpoint.id] = Question(asking, [run])

    def _is_known_to_have_ended(self, endpoint: str, now: int) -> bool:
        return now - self.ended_ms.get(endpoint, -KNOWN_MS) < KNOWN_MS

    async def settled(self, endpoint: str) -> None:
        """Wait until it is known whether an endpoint ended, if it is being asked."""
        question = self.questions.get(endpoint)
        if question is not None:
            await asyncio.wait({question.asking})

    async def _ask(self, endpoint: traffic.Endpoint) -> None:
        timeout_ms = attempts.connect_timeout_ms(self.state, endpoint)
        try:
            is_listening = await exchange.is_listening(endpoint.address, timeout_ms)
        finally:
            runs = self.questions.pop(endpoint.id).runs
        if is_listening is False:
            self._forget_old()
            self.ended_ms[endpoint.id] = self.state.clock.now()
            self._count(endpoint, runs)
        else:
            self._keep_doubt(endpoint, runs)
            self.state.log.write(
                "endpoint_lives",
                endpoint=endpoint.id,
                lost_runs=len(runs),
                answered=is_listening is not None,
            )

    def _keep_doubt(self, endpoint: traffic.Endpoint, runs: list[LostRun]) -> None:
        now = self.state.clock.now()
        self.doubts = {
            name: one for name, one in self.doubts.items() if now - one.at_ms < REBORN_MS
        }
        before = self.doubts.get(endpoint.id)
        earlier = before.runs if before is not None else []
        self.doubts[endpoint.id] = Doubt(endpoint, (earlier + runs)[-MAX_DOUBTED:], now)

    def restarted(self, endpoint: str) -> None:
        """Take in that an endpoint's process is no more: what was lost there was lost with it."""
        doubt = self.doubts.pop(endpoint, None)
        if doubt is not None and self.state.clock.now() - doubt.at_ms < REBORN_MS:
            self._count(doubt.endpoint, doubt.runs)

    def _forget_old(self) -> None:
        oldest = self.state.clock.now() - KNOWN_MS
        self.ended_ms = {name: at for name, at in self.ended_ms.items() if at >= oldest}

    def _count(self, endpoint: traffic.Endpoint, runs: list[LostRun]) -> None:
        """Hold an endpoint's end against the requests that it ran."""
        state = self.state
        state.log.write(
            "endpoint_ended",
            endpoint=endpoint.id,
            service=endpoint.service,
            runs=[[run.request, run.fingerprint, run.after_ms, run.points] for run in runs],
        )
        for run in runs:
            was_quarantined = state.quarantine.find_quarantined(run.fingerprint) is not None
            state.quarantine.record_crash(run.fingerprint, endpoint.id, run.points)
            suspect_updates.log_change(state, run.fingerprint, was_quarantined, state.node)
            if state.publish_suspect is not None:
                state.publish_suspect(run.fingerprint)


def _points(attempt: attempts.Attempt, now: int) -> int:
    """Return how much the end of a run's endpoint would speak against its request."""
    if attempt.first_ms is None:
        return quarantine.EARLY_POINTS
    running_ms = now - attempt.sent_ms - attempt.first_ms
    return quarantine.EARLY_POINTS if running_ms < quarantine.EARLY_MS else quarantine.LATE_POINTS
