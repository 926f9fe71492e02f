"""Serves callers' requests."""

from typing import Any

from plumarch.gateway import fleet_state
from plumarch.gateway.callers import admission, caller_connection, caller_requests
from plumarch.gateway.dispatch import interrupted_runs, request_run
from plumarch.routing import return_times


class Relay:
    """Serves callers' requests."""

    def __init__(self, state: fleet_state.FleetState) -> None:
        self.state = state
        self.interrupted_runs = interrupted_runs.InterruptedRuns(state)

    async def handle(
        self, request: caller_requests.CallerRequest, reply: caller_requests.Reply
    ) -> None:
        """Answer one request."""
        admitted = self._admit(request)
        if isinstance(admitted, admission.Refusal):
            self._refuse(request, reply, admitted)
            return
        if not reply.assign(admitted.workspace_name()):
            self._refuse(request, reply, admission.refuse_over_memory_budget(self.state, admitted))
            return
        run = request_run.RequestRun(self.state, admitted, reply, self.interrupted_runs)
        outcome = request_run.Outcome(request_run.CALLER_DISCONNECTED, "caller_left")
        try:
            outcome = await run.serve()
        except Exception as error:
            self._log_fault(admitted.id, error)
            outcome = request_run.Outcome(502, "internal_fault")
            run.fail(outcome)
        finally:
            if outcome.status == request_run.CALLER_DISCONNECTED and reply.disconnect_reason:
                outcome = request_run.Outcome(outcome.status, reply.disconnect_reason)
            self._record(admitted, run, outcome)

    def _admit(
        self, request: caller_requests.CallerRequest
    ) -> admission.Admitted | admission.Refusal:
        try:
            return admission.admit(self.state, request)
        except Exception as error:
            self._log_fault(request.header(self.state.names.request_id), error)
            return admission.Refusal(502, "internal_fault")

    def _log_fault(self, request: str, error: Exception) -> None:
        self.state.log.write(
            "fault", urgent=True, request=request, error=f"{type(error).__name__}: {error}"
        )

    def time_allowed_ms(self, headers: caller_requests.Headers) -> float:
        """Return a request's time limit by its headers, or the default, in ms."""
        return admission.requested_timeout_ms(self.state.names, headers)

    def back_in_ms(self, size: int) -> float:
        """Return when to retry a body for which memory was short, in ms."""
        pressure = self.state.pressure
        pressure.update_rate(self.state.memory.released)
        return return_times.spread(pressure.back_in_ms(size), self.state.rng)

    def record_disconnect(self, reason: str, unread: int) -> None:
        """Record the disconnect of a caller that did not read."""
        state = self.state
        state.measures.callers_disconnected.add(reason)
        state.log.write(
            "caller_cut", urgent=True, reason=reason, unread=unread, held=state.memory.total()
        )

    def _refuse(
        self,
        request: caller_requests.CallerRequest,
        reply: caller_requests.Reply,
        refusal: admission.Refusal,
    ) -> None:
        state = self.state
        state.log.write(
            "refused",
            request=request.header(state.names.request_id),
            status=refusal.status,
            reason=refusal.reason,
            retry_after_ms=refusal.retry_after_ms,
            configuration=state.table.version if state.table else None,
            workspace=refusal.workspace,
            units=refusal.units,
            level=self._level(refusal.workspace),
            fraction=round(state.quota.fraction, 3),
            **_quarantine_fields(refusal),
        )
        state.measures.answers.add(refusal.workspace, str(refusal.status), refusal.reason)
        request_run.send_refusal(reply, request, refusal, state.names.request_id)

    def _level(self, workspace: str) -> int | None:
        bucket = self.state.quota.buckets.get(workspace)
        return round(bucket.level) if bucket else None

    def _record(
        self,
        admitted: admission.Admitted,
        run: request_run.RequestRun,
        outcome: request_run.Outcome,
    ) -> None:
        state = self.state
        now = state.clock.now()
        total_ms = now - admitted.request.began_ms
        state.log.write(
            "answered",
            request=admitted.id,
            fingerprint=admitted.fingerprint,
            route=admitted.route.name,
            workspace=admitted.workspace_name(),
            status=outcome.status,
            reason=outcome.reason,
            sends=run.progress.sends,
            **_speed_fields(state, admitted),
            first_ms=run.progress.first_ms,
            total_ms=total_ms,
            events=run.progress.events,
            resumes=admitted.request.header(state.names.resumes),
            last_event=run.progress.last_event_id,
            fault=run.progress.last_fault,
        )
        workspace = admitted.workspace_name()
        kind = admitted.route.kind.value
        state.measures.answers.add(workspace, str(outcome.status), outcome.reason)
        state.measures.total.observe(total_ms / 1000.0, workspace, kind)
        if run.progress.first_ms is not None:
            state.measures.first_byte.observe(run.progress.first_ms / 1000.0, workspace, kind)


def _quarantine_fields(refusal: admission.Refusal) -> dict[str, Any]:
    """Return what is quarantined as log fields, or none for another refusal."""
    if not refusal.fingerprint:
        return {}
    return {"fingerprint": refusal.fingerprint, "segment": refusal.segment}


def _speed_fields(state: fleet_state.FleetState, admitted: admission.Admitted) -> dict[str, Any]:
    """Return the known engine speed as log fields, or none for a plain request."""
    if not admitted.prompt_tokens:
        return {}
    speed = state.chooser.speed(admitted.service)
    return {
        "base_ms": round(speed.base_ms.value, 1),
        "ms_per_token": round(speed.typical.value, 5),
        "mean_ms_per_token": round(speed.mean_ms_per_token(), 5),
        "run_ms": round(speed.run_ms.value),
    }


def new_server(state: fleet_state.FleetState) -> caller_connection.CallerServer:
    """Return the callers' server."""
    handler = Relay(state)
    return caller_connection.CallerServer(
        state.clock,
        handler,
        memory=state.memory,
        time_allowed_ms=handler.time_allowed_ms,
        on_disconnect=handler.record_disconnect,
        back_in_ms=handler.back_in_ms,
    )
