"""A gateway's pages: readiness, metrics and status."""

from collections.abc import Callable

from plumarch.core import revisions
from plumarch.gateway import fleet_state
from plumarch.gateway.callers import caller_requests
from plumarch.gateway.gossip import builds
from plumarch.membership import fleet_view

METRICS_PATH = b"/metrics"
STATUS_PATH = b"/status"
MAX_QUARANTINED_LISTED = 20
"""Limit of listed quarantined requests."""

MAX_EXCLUDED_LISTED = 20
"""Limit of listed endpoints for each reason."""

TEXT = [(b"content-type", b"text/plain; version=0.0.4")]


class StatusPages:
    """Answers /metrics, /status, and other paths with the readiness."""

    def __init__(
        self,
        state: fleet_state.FleetState,
        ready: Callable[[], bool],
        view: fleet_view.FleetView | None = None,
    ) -> None:
        self.state = state
        self.ready = ready
        self.view = view

    async def handle(
        self, request: caller_requests.CallerRequest, reply: caller_requests.Reply
    ) -> None:
        """Answer one request."""
        path = request.target.partition(b"?")[0]
        if path == METRICS_PATH:
            self._set_gauges()
            reply.send(200, TEXT, self.state.measures.text())
        elif path == STATUS_PATH:
            reply.send(200, TEXT, "".join(f"{line}\n" for line in self._status()).encode())
        elif self.ready():
            reply.send(200, TEXT, b"ready\n")
        else:
            reply.send(503, TEXT, b"not ready\n")

    def _status(self) -> list[str]:
        """Return the lines of the status page."""
        quarantined = [
            f"quarantined {one.fingerprint}: ended {', '.join(end.endpoint for end in one.crashes)}"
            for one in self.state.quarantine.held()[:MAX_QUARANTINED_LISTED]
        ]
        unreadable = [f"unreadable {line}" for line in self.state.unreadable.lines()]
        build_lines = builds.lines(self.view) if self.view is not None else []
        return [
            f"node {self.state.node}",
            *build_lines,
            *self._excluded(),
            *unreadable,
            *quarantined,
        ]

    def _excluded(self) -> list[str]:
        """Return a line for each endpoint that an answer of its own excludes or limits."""
        state, found = self.state, []
        for name in state.registry.drains.in_force()[:MAX_EXCLUDED_LISTED]:
            found.append(f"leaves by its own word: {name}")
        for name, left_ms in list(self._backing_off().items())[:MAX_EXCLUDED_LISTED]:
            found.append(f"asked for rest: {name}, {left_ms} ms more")
        for name, per_s in list(self._rate_limited().items())[:MAX_EXCLUDED_LISTED]:
            found.append(f"announces a limit: {name}, {per_s:g} requests a second of all nodes")
        for name in list(state.paths.retry_ms)[:MAX_EXCLUDED_LISTED]:
            found.append(f"reached through other nodes only: {name}")
        return found

    def _rate_limited(self) -> dict[str, float]:
        return self.state.permits.lasting(self.state.registry.endpoints.values())

    def _backing_off(self) -> dict[str, int]:
        return self.state.backoff.lasting(self.state.registry.endpoints.values())

    def _set_gauges(self) -> None:
        state = self.state
        sizes = state.measures.state
        sizes["configuration_version"] = state.configuration_version()
        sizes["registry_revision"] = revisions.number(state.registry.revision)
        sizes["store_era"] = state.store_era
        sizes["registry_age_ms"] = state.registry.age_ms()
        sizes["endpoints"] = len(state.registry.endpoints)
        sizes["endpoints_leaving_by_answer"] = len(state.registry.drains.in_force())
        sizes["endpoints_resting"] = len(self._backing_off())
        sizes["endpoints_with_announced_rate"] = len(self._rate_limited())
        sizes["endpoints_unreachable"] = len(state.paths.retry_ms)
        sizes["cut_off_from_endpoints"] = state.paths.is_cut_off()
        sizes["heard_fraction"] = state.quota.fraction
        sizes["data_centres_known"] = state.contact.known
        sizes["data_centres_unheard"] = state.contact.unreachable
        sizes["data_centre_news_oldest_ms"] = state.contact.oldest_ms
        for data_centre in state.distances.measured:
            sizes[f"round_trip_ms:{data_centre}"] = state.distances.round_trip_ms(data_centre)
        limits = state.measures.endpoint_limits
        limits.values.clear()
        for endpoint, limit in state.limits.lowered(state.registry.endpoints).items():
            limits.set(limit, endpoint)
        sizes["memory_budget_bytes"] = state.memory.budget
        for purpose, size in state.memory.held.items():
            sizes[f"memory_{purpose.value}_bytes"] = size
