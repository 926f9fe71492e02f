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

CRASH_RETENTION_MS = 1_000
"""How long an endpoint that ended is not asked again; no process is back sooner."""

RESTART_RETENTION_MS = 10_000
"""How long after a loss an endpoint's new start counts as the cause: it is in the store a few
seconds after its process is up."""

MAX_UNCONFIRMED = 64
"""Lost runs that are kept of an endpoint for that, the last ones: as many as it has places, mostly.
One that breaks off answers all the time would have them grow."""


@dataclasses.dataclass(frozen=True, slots=True)
class InterruptedRun:
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
class Probe:
    """An endpoint that is being asked whether it lives, and the runs that were lost there."""

    task: asyncio.Task[None]
    runs: list[InterruptedRun]


@dataclasses.dataclass(frozen=True, slots=True)
class UnconfirmedRuns:
    """Runs that were lost at an endpoint that took connections then, and when that was."""

    endpoint: traffic.Endpoint
    runs: list[InterruptedRun]
    at_ms: int


class InterruptedRuns:
    """Finds out which lost runs were lost with their endpoint.

    Attributes:
      doubts: endpoints that were found to live, by identifier.
      questions: endpoints that are being asked, by identifier.
      crashed_ms: when endpoints were found to have ended lately, by identifier.
    """

    def __init__(self, state: fleet_state.FleetState) -> None:
        self.state = state
        self.probes: dict[str, Probe] = {}
        self.crashed_ms: dict[str, int] = {}
        self.unconfirmed: dict[str, UnconfirmedRuns] = {}
        state.endpoint_restarted = self.apply_restart

    def record(self, admitted: admission.Admitted, attempt: attempts.Attempt) -> None:
        """Take in a run whose endpoint closed the connection."""
        endpoint = attempt.choice.endpoint
        now = self.state.clock.now()
        run = InterruptedRun(
            admitted.id, admitted.fingerprint, _points(attempt, now), now - attempt.sent_ms
        )
        probe = self.probes.get(endpoint.id)
        if probe is not None:
            probe.runs.append(run)
        elif attempt.exchange.ended_with_peer or self._crashed_recently(endpoint.id, now):
            self._record_crashes(endpoint, [run])
        else:
            task = asyncio.get_running_loop().create_task(self._probe(endpoint))
            self.probes[endpoint.id] = Probe(task, [run])

    def _crashed_recently(self, endpoint: str, now: int) -> bool:
        return now - self.crashed_ms.get(endpoint, -CRASH_RETENTION_MS) < CRASH_RETENTION_MS

    async def wait_for_probe(self, endpoint: str) -> None:
        """Wait until it is known whether an endpoint ended, if it is being asked."""
        probe = self.probes.get(endpoint)
        if probe is not None:
            await asyncio.wait({probe.task})

    async def _probe(self, endpoint: traffic.Endpoint) -> None:
        timeout_ms = attempts.connect_timeout_ms(self.state, endpoint)
        try:
            listens = await exchange.listens(endpoint.address, timeout_ms)
        finally:
            runs = self.probes.pop(endpoint.id).runs
        if listens is False:
            self._prune_crashed()
            self.crashed_ms[endpoint.id] = self.state.clock.now()
            self._record_crashes(endpoint, runs)
        else:
            self._keep_unconfirmed(endpoint, runs)
            self.state.log.write(
                "endpoint_lives",
                endpoint=endpoint.id,
                lost_runs=len(runs),
                answered=listens is not None,
            )

    def _keep_unconfirmed(self, endpoint: traffic.Endpoint, runs: list[InterruptedRun]) -> None:
        now = self.state.clock.now()
        self.unconfirmed = {
            name: one
            for name, one in self.unconfirmed.items()
            if now - one.at_ms < RESTART_RETENTION_MS
        }
        before = self.unconfirmed.get(endpoint.id)
        earlier = before.runs if before is not None else []
        self.unconfirmed[endpoint.id] = UnconfirmedRuns(
            endpoint, (earlier + runs)[-MAX_UNCONFIRMED:], now
        )

    def apply_restart(self, endpoint: str) -> None:
        """Take in that an endpoint's process is no more: what was lost there was lost with it."""
        found = self.unconfirmed.pop(endpoint, None)
        if found is not None and self.state.clock.now() - found.at_ms < RESTART_RETENTION_MS:
            self._record_crashes(found.endpoint, found.runs)

    def _prune_crashed(self) -> None:
        oldest = self.state.clock.now() - CRASH_RETENTION_MS
        self.crashed_ms = {name: at for name, at in self.crashed_ms.items() if at >= oldest}

    def _record_crashes(self, endpoint: traffic.Endpoint, runs: list[InterruptedRun]) -> None:
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
