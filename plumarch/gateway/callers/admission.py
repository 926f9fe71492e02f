"""Admits requests by route, key, memory and quota."""

import dataclasses
import math
from collections.abc import Sequence

from plumarch.config import routing_table
from plumarch.core import hashing, numerals, traffic
from plumarch.gateway import dialect, fleet_state
from plumarch.gateway.callers import caller_requests, request_identity
from plumarch.limits import memory_admission, quarantine
from plumarch.routing import return_times

RETRY_WITHOUT_CONFIGURATION_MS = 500.0
RETRY_ELSEWHERE_MS = 10.0
STOP_MARGIN_MS = 100.0
"""Time between a request's deadline and the end of the process, in which its answer is written."""

DEFAULT_DEADLINE_MS = 30_000.0

ROUTE_RANKS = 3
"""Distinct route ranks within one workspace rank."""

LOWEST_URGENCY = 9


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A request refused by the gateway.

    Attributes:
      reason: one word for logs and metrics.
      retry_after_ms: None if the request may have run.
      units: the request's cost in its workspace's quota.
      fingerprint: of what is quarantined.
      segment: name of the quarantined prompt segment; "" if the request itself is quarantined.
    """

    status: int
    reason: str
    retry_after_ms: float | None = None
    workspace: str = ""
    units: float = 0.0
    fingerprint: str = ""
    segment: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """A shared prompt segment, by its name and its fingerprint."""

    name: str
    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """An admitted request.

    Attributes:
      units: charged to its workspace's quota.
      ends_ms: deadline, by the steady clock.
      segments: prompt segments that other requests may share.
    """

    request: caller_requests.CallerRequest
    id: str
    route: traffic.Route
    service: str
    workspace: traffic.Workspace | None
    units: float
    ends_ms: float
    parts: tuple[traffic.PromptPart, ...]
    prompt_tokens: int
    version: int
    max_output_tokens: int = 0
    fingerprint: str = ""
    segments: tuple[Segment, ...] = ()

    def workspace_name(self) -> str:
        """Return the workspace's name; "" for a public route."""
        return self.workspace.name if self.workspace else ""

    def fingerprints(self) -> tuple[str, ...]:
        """Return what crashes may count against: the request, then its shared segments."""
        return (self.fingerprint, *(one.fingerprint for one in self.segments))


def urgency(admitted: Admitted) -> int:
    """Return a request's priority at an engine: 0 first, workspace rank before route rank."""
    return _rank(admitted.workspace, admitted.route)


def _rank(workspace: traffic.Workspace | None, route: traffic.Route) -> int:
    workspace_rank = workspace.priority if workspace else 0
    route_rank = min(route.priority, ROUTE_RANKS - 1)
    return min(LOWEST_URGENCY, max(0, workspace_rank) * ROUTE_RANKS + max(0, route_rank))


def refuse_over_memory_budget(state: fleet_state.FleetState, admitted: Admitted) -> Refusal:
    """Refund and refuse a request whose workspace is over its memory limit."""
    if admitted.workspace is not None:
        state.quota.refund(admitted.workspace, admitted.units)
    back_in_ms = return_times.spread(
        state.pressure.back_in_ms(len(admitted.request.body)), state.rng
    )
    return Refusal(503, "workspace_memory", back_in_ms, admitted.workspace_name())


def admit(
    state: fleet_state.FleetState, request: caller_requests.CallerRequest
) -> Admitted | Refusal:
    """Admit a request and charge its workspace, or refuse it."""
    table = state.table
    names = state.names
    if table is None:
        return Refusal(503, "no_configuration", RETRY_WITHOUT_CONFIGURATION_MS)
    path = request.target.decode("latin-1").partition("?")[0]
    route = table.match(request.header(b"host"), path)
    if route is None:
        return Refusal(404, "no_route")
    workspace: traffic.Workspace | None = None
    if table.workspaces and not route.public:
        key = _key_of(request.header(b"authorization"), names.key_scheme)
        workspace = table.workspaces_by_key.get(key)
        if workspace is None:
            return Refusal(401, "unknown_key")
    ends_ms = request.began_ms + _timeout_ms(request, names, route)
    if _stops_before(state, ends_ms):
        return Refusal(503, "stopping", RETRY_ELSEWHERE_MS)
    workspace_name = workspace.name if workspace else ""
    fingerprint = request_identity.fingerprint(workspace_name, request)
    parts = parse_parts(request.header(names.prompt_parts))
    segments = _segments(workspace_name, parts)
    quarantined = state.quarantine.find_quarantined(
        fingerprint, *(one.fingerprint for one in segments)
    )
    if quarantined is not None and quarantined.back_in_ms > 0:
        # Another run would crash another endpoint, with its other requests.
        return _refuse_quarantined(quarantined, segments, workspace_name)
    rank = _rank(workspace, route)
    usage = memory_admission.MemoryUsage(state.memory.total(), state.memory.budget)
    back_in_ms = state.pressure.refuse(usage, len(request.body), rank, state.memory.released)
    if back_in_ms is not None:
        back_in_ms = return_times.spread(back_in_ms, state.rng)
        return Refusal(503, "memory", back_in_ms, workspace_name)
    prompt_tokens, max_output_tokens = token_counts(request.header(names.token_counts))
    units = _units(workspace, prompt_tokens + max_output_tokens)
    if workspace is not None:
        wait_ms = state.quota.admit(workspace, units, _quota_rank(table, route))
        if wait_ms > 0:
            return Refusal(429, "quota", wait_ms, workspace.name, units)
    request_id = request.header(names.request_id)
    return Admitted(
        request=request,
        id=request_id,
        route=route,
        service=_service_of(route, request.header(names.resumes) or request_id),
        workspace=workspace,
        units=units,
        ends_ms=ends_ms,
        parts=parts,
        prompt_tokens=prompt_tokens,
        version=table.version,
        max_output_tokens=max_output_tokens,
        fingerprint=fingerprint,
        segments=segments,
    )


def _segments(workspace_name: str, parts: tuple[traffic.PromptPart, ...]) -> tuple[Segment, ...]:
    return tuple(
        Segment(name, request_identity.segment_fingerprint(workspace_name, name))
        for name in request_identity.shared_segments(parts)
    )


def _refuse_quarantined(
    quarantined: quarantine.QuarantinedRequest,
    segments: tuple[Segment, ...],
    workspace_name: str,
) -> Refusal:
    fingerprint = quarantined.suspect.fingerprint
    segment = next((one.name for one in segments if one.fingerprint == fingerprint), "")
    return Refusal(
        503,
        "quarantined",
        float(quarantined.back_in_ms),
        workspace_name,
        fingerprint=fingerprint,
        segment=segment,
    )


def _quota_rank(table: routing_table.RoutingTable, route: traffic.Route) -> int:
    """Return a request's rank in its workspace's quota; plain requests rank first."""
    if route.kind is not traffic.RouteKind.STREAMING:
        return 0
    return max(0, route.priority - table.most_urgent_stream)


def _stops_before(state: fleet_state.FleetState, ends_ms: float) -> bool:
    """Return whether this process may end before a request does.

    Another node can serve it; here it would be cut off, though it may have run.
    """
    return state.stops_at_ms is not None and ends_ms + STOP_MARGIN_MS > state.stops_at_ms


def _key_of(authorization: str, scheme: str) -> str:
    given, _, key = authorization.partition(" ")
    return key.strip() if given.lower() == scheme.lower() else ""


def token_counts(value: str) -> tuple[int, int]:
    """Parse prompt and maximum output tokens; both are 0 if either is no number."""
    first, _, second = value.partition(",")
    prompt = numerals.whole_number(first.strip())
    output = numerals.whole_number(second.strip())
    return (prompt, output) if prompt is not None and output is not None else (0, 0)


def _units(workspace: traffic.Workspace | None, tokens: int) -> float:
    if workspace is None:
        return 0.0
    if not workspace.counts_tokens:
        return 1.0
    return float(tokens or workspace.plain_tokens)


def requested_timeout_ms(names: dialect.Dialect, headers: caller_requests.Headers) -> float:
    """Return the deadline header's timeout, or the default."""
    try:
        timeout_ms = float(dialect.header_value(headers, names.deadline_ms))
    except ValueError:
        return DEFAULT_DEADLINE_MS
    return timeout_ms if math.isfinite(timeout_ms) else DEFAULT_DEADLINE_MS


def _timeout_ms(
    request: caller_requests.CallerRequest, names: dialect.Dialect, route: traffic.Route
) -> float:
    timeout_ms = requested_timeout_ms(names, request.headers)
    return min(timeout_ms, route.timeout_ms) if route.timeout_ms > 0 else timeout_ms


def _service_of(route: traffic.Route, request_id: str) -> str:
    """Choose a service by weight; all nodes choose the same one for a request id.

    Args:
      request_id: of a resumption, that of the stream's first attempt.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    point = hashing.digest(route.name, request_id) / 2**64 * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


def parse_parts(value: str) -> tuple[traffic.PromptPart, ...]:
    """Parse prompt parts, comma-separated ID:TOKENS, up to the first malformed one."""
    parts = []
    for word in value.split(","):
        name, _, size = word.strip().partition(":")
        tokens = numerals.whole_number(size)
        if not name or tokens is None:
            break
        parts.append(traffic.PromptPart(name, tokens))
    return tuple(parts)


def forwarded_headers(
    names: dialect.Dialect,
    headers: Sequence[tuple[bytes, bytes]],
    workspace: traffic.Workspace | None,
) -> list[tuple[bytes, bytes]]:
    """Return the headers that an endpoint receives.

    Connection headers, the key and headers reserved for the gateway are dropped.
    """
    dropped = dialect.not_for_endpoints(names)
    for name, value in headers:
        if name == b"connection":
            dropped |= {word.strip().lower() for word in value.split(b",")}
    kept = [(name, value) for name, value in headers if name not in dropped]
    if workspace is not None:
        kept.append((names.workspace, workspace.name.encode()))
    return kept
