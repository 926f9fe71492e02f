"""Probes whether an endpoint crashed when a connection to it ended.

It crashed if it refuses the probe, or if its entry shows a restart soon after, since a supervisor
may keep the port open.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Callable

from plumarch.core import traffic
from plumarch.gateway import fleet_state
from plumarch.gateway.callers import admission
from plumarch.gateway.dispatch import attempts, endpoint_connects, endpoint_outcomes
from plumarch.gateway.gossip import suspect_updates
from plumarch.limits import quarantine

CRASH_RETENTION_MS = 1_000
"""Time after a crash in which an endpoint is not probed again."""

RESTART_RETENTION_MS = 10_000
"""Time in which a restart explains an interrupted run; the store lists it late."""

MAX_SEGMENTS_LOGGED = 8
"""Prompt segments named in one log line."""

MAX_UNCONFIRMED = 64
"""Limit of the interrupted runs kept per endpoint; the latest stay."""


@dataclasses.dataclass(frozen=True, slots=True)
class InterruptedRun:
    """A run whose connection ended early.

    Attributes:
      segments: prompt segments that its answer did not exonerate.
      points: quarantine points for the request if its endpoint crashed.
      after_ms: time from the send to the end of the connection.
      count_failure: called unless the endpoint lives and only this node can't reach it.
    """

    request: str
    fingerprint: str
    segments: tuple[admission.Segment, ...]
    points: int
    after_ms: int
    count_failure: Callable[[], None]


@dataclasses.dataclass(slots=True)
class Probe:
    """A pending probe of an endpoint, and its interrupted runs.

    Attributes:
      lost_ms: when the first of them ended.
    """

    task: asyncio.Task[None]
    runs: list[InterruptedRun]
    lost_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnconfirmedRuns:
    """Interrupted runs of an endpoint that accepted a connection at `at_ms`."""

    endpoint: traffic.Endpoint
    runs: list[InterruptedRun]
    at_ms: int


class InterruptedRuns:
    """Records crashes against the requests that ran during them.

    Attributes:
      probes: pending ones, by endpoint identifier.
      crashed_ms: when crashes were found, by endpoint identifier.
      unconfirmed: runs at endpoints that answered the probe, by endpoint identifier.
    """

    def __init__(self, state: fleet_state.FleetState) -> None:
        self.state = state
        self.probes: dict[str, Probe] = {}
        self.crashed_ms: dict[str, int] = {}
        self.unconfirmed: dict[str, UnconfirmedRuns] = {}
        state.endpoint_restarted = self.apply_restart

    def record(
        self,
        admitted: admission.Admitted,
        attempt: attempts.Attempt,
        count_failure: Callable[[], None],
    ) -> None:
        """Record an interrupted run and probe its endpoint.

        Args:
          count_failure: counts it as a failure of the endpoint's version.
        """
        endpoint = attempt.choice.endpoint
        now = self.state.clock.now()
        run = InterruptedRun(
            admitted.id,
            admitted.fingerprint,
            () if attempt.outlived_beginning else admitted.segments,
            _points(attempt, now),
            now - attempt.sent_ms,
            count_failure,
        )
        probe = self.probes.get(endpoint.id)
        if probe is not None:
            probe.runs.append(run)
        elif attempt.exchange.peer_restarted or self._crashed_recently(endpoint.id, now):
            run.count_failure()
            self.record_crashes(endpoint, [run])
        else:
            task = asyncio.get_running_loop().create_task(self._probe(endpoint))
            self.probes[endpoint.id] = Probe(task, [run], now)

    def _crashed_recently(self, endpoint: str, now: int) -> bool:
        return now - self.crashed_ms.get(endpoint, -CRASH_RETENTION_MS) < CRASH_RETENTION_MS

    async def wait_for_probe(self, endpoint: str) -> None:
        """Wait for an endpoint's pending probe, if any."""
        probe = self.probes.get(endpoint)
        if probe is not None:
            await asyncio.wait({probe.task})

    async def _probe(self, endpoint: traffic.Endpoint) -> None:
        timeout_ms = attempts.connect_timeout_ms(self.state, endpoint)
        try:
            is_listening = await endpoint_connects.is_listening(self.state, endpoint, timeout_ms)
        finally:
            probe = self.probes.pop(endpoint.id)
        runs = probe.runs
        is_unreachable = self.state.paths.is_unreachable(endpoint.id)
        if not is_unreachable:
            for run in runs:
                run.count_failure()
        was_crash = False
        if is_unreachable and is_listening is not False:
            was_crash = endpoint_outcomes.lives(self.state, endpoint, probe.lost_ms)
        if is_listening is False:
            self._prune_crashed()
            self.crashed_ms[endpoint.id] = self.state.clock.now()
            self.record_crashes(endpoint, runs)
        else:
            self._keep_unconfirmed(endpoint, runs)
            self.state.log.write(
                "endpoint_lives",
                endpoint=endpoint.id,
                lost_runs=len(runs),
                answered=is_listening is not None,
                was_crash=was_crash,
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
        """Count an endpoint's interrupted runs as crashed, since its process restarted."""
        found = self.unconfirmed.pop(endpoint, None)
        if found is not None and self.state.clock.now() - found.at_ms < RESTART_RETENTION_MS:
            self.record_crashes(found.endpoint, found.runs)

    def _prune_crashed(self) -> None:
        oldest = self.state.clock.now() - CRASH_RETENTION_MS
        self.crashed_ms = {name: at for name, at in self.crashed_ms.items() if at >= oldest}

    def record_crashes(self, endpoint: traffic.Endpoint, runs: list[InterruptedRun]) -> None:
        """Record a crash against the requests that ran."""
        state = self.state
        state.log.write(
            "endpoint_ended",
            endpoint=endpoint.id,
            service=endpoint.service,
            runs=[[run.request, run.fingerprint, run.after_ms, run.points] for run in runs],
            segments=_most_common_segments(runs),
        )
        suspects = [one for run in runs for one in self._suspects(run, endpoint)]
        suspects.sort(key=quarantine.Suspect.points)
        most = {one.fingerprint: one for one in suspects}
        suspect_updates.adopt(state, most.values(), state.node)
        if state.publish_suspects is not None:
            state.publish_suspects(list(most))

    def _suspects(
        self, run: InterruptedRun, endpoint: traffic.Endpoint
    ) -> list[quarantine.Suspect]:
        """Return what a run lends its endpoint's crash to: its request and its segments."""
        known, segments = self.state.quarantine, self.state.segments
        is_repeat = known.points(run.fingerprint) > 0
        found = [known.new_crash(run.fingerprint, endpoint.id, run.points)]
        for segment in run.segments:
            points = segments.points(segment.fingerprint, is_repeat)
            if points:
                found.append(known.new_crash(segment.fingerprint, endpoint.id, points))
        return found


def _most_common_segments(runs: list[InterruptedRun]) -> dict[str, int]:
    """Return how many runs that were beginning shared each segment, of the most common ones."""
    counts = collections.Counter(one.name for run in runs for one in run.segments)
    return dict(counts.most_common(MAX_SEGMENTS_LOGGED))


def _points(attempt: attempts.Attempt, now: int) -> int:
    """Return the quarantine points if the run's endpoint crashed."""
    if attempt.first_ms is None:
        return quarantine.EARLY_POINTS
    running_ms = now - attempt.sent_ms - attempt.first_ms
    return quarantine.EARLY_POINTS if running_ms < quarantine.EARLY_MS else quarantine.LATE_POINTS
