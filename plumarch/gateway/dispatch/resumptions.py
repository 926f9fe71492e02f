"""Finds the software version at which a resumed stream began.

The caller holds the stream's first events, so it may go on only where these came from. If that is
not known, the resumption is refused.
"""

import dataclasses
import enum

from plumarch.core import revisions, traffic
from plumarch.gateway import fleet_state
from plumarch.gateway.callers import admission
from plumarch.routing import stream_origins

NO_EVENTS = ("", "0")
"""Last event ids of a caller that holds no event."""


RECORD_WAIT_MS = 500.0
"""Wait for the store's record."""


class Found(enum.Enum):
    """How an origin was found, or why not."""

    HERE = "here"
    SOLE_VERSION = "sole_version"
    ASKED = "asked"
    RECORDED = "recorded"
    CONTRADICTED = "contradicted"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Resumption:
    """Where a resumed stream may go on.

    Attributes:
      origin: None if it may go on nowhere.
      asked: number of nodes that were asked.
    """

    found: Found
    origin: stream_origins.Origin | None
    asked: int = 0


def is_resumption(admitted: admission.Admitted, last_event_id: str) -> bool:
    """Return whether the caller holds events of the stream that it requests."""
    return admitted.route.kind is traffic.RouteKind.STREAMING and last_event_id not in NO_EVENTS


def stream_of(state: fleet_state.FleetState, admitted: admission.Admitted) -> stream_origins.Stream:
    """Return the stream that a request resumes, or else begins."""
    names, request = state.names, admitted.request
    first_id = admitted.id
    if is_resumption(admitted, request.header(names.last_event_id)):
        first_id = request.header(names.resumes)
    first_attempt = stream_origins.attempt_key(admitted.workspace_name(), first_id)
    return stream_origins.Stream(first_attempt, int(admitted.fingerprint or "0", 16))


async def find_origin(
    state: fleet_state.FleetState, admitted: admission.Admitted, stream: stream_origins.Stream
) -> Resumption:
    """Find where a resumed stream began: here, by its route's sole origin, or at other nodes."""
    began_ms = state.clock.now()
    found = _look_up(state, stream, Found.HERE)
    if found is None:
        found = _by_sole_origin(state, admitted, Found.SOLE_VERSION)
    if found is None:
        found = await _ask(state, admitted, stream)
    if found.found is Found.UNKNOWN:
        found = await _read_record(state, admitted, stream, found)
    state.measures.resumptions.add(admitted.service, found.found.value)
    state.log.write(
        "resumption",
        request=admitted.id,
        resumes=admitted.request.header(state.names.resumes),
        fingerprint=admitted.fingerprint,
        last_event=admitted.request.header(state.names.last_event_id),
        found=found.found.value,
        version=found.origin.version if found.origin is not None else None,
        asked=found.asked,
        waited_ms=state.clock.now() - began_ms,
        registry_revision=revisions.shown(state.registry.revision),
        registry_age_ms=state.registry.age_ms(),
    )
    return found


def _look_up(
    state: fleet_state.FleetState, stream: stream_origins.Stream, how: Found, asked: int = 0
) -> Resumption | None:
    known = state.streams.find(stream)
    if known is None:
        return None
    if known.origin is None:
        return Resumption(Found.CONTRADICTED, None, asked)
    return Resumption(how, known.origin, asked)


def _by_sole_origin(
    state: fleet_state.FleetState, admitted: admission.Admitted, how: Found, asked: int = 0
) -> Resumption | None:
    origin = state.sole_origin(admitted.service, admitted.route.name)
    return Resumption(how, origin, asked) if origin is not None else None


async def _read_record(
    state: fleet_state.FleetState,
    admitted: admission.Admitted,
    stream: stream_origins.Stream,
    unknown: Resumption,
) -> Resumption:
    """Find an origin in the store, since all nodes that knew it may be gone."""
    if state.read_origins is None:
        return unknown
    left_ms = admitted.ends_ms - state.clock.now()
    await state.read_origins(min(RECORD_WAIT_MS, left_ms))
    found = _look_up(state, stream, Found.RECORDED, unknown.asked)
    return found or _by_sole_origin(state, admitted, Found.RECORDED, unknown.asked) or unknown


async def _ask(
    state: fleet_state.FleetState, admitted: admission.Admitted, stream: stream_origins.Stream
) -> Resumption:
    asked = 0
    if state.ask_origin is not None:
        asked = state.ask_origin(stream, admitted.service, admitted.route.name)
    if asked:
        left_ms = admitted.ends_ms - state.clock.now()
        wait_ms = max(0.0, min(stream_origins.ANSWER_WAIT_MS, left_ms))
        await state.origin_answers.wait(stream.name(), wait_ms)
    found = _look_up(state, stream, Found.ASKED, asked)
    return found or Resumption(Found.UNKNOWN, None, asked)


def with_service_of(
    admitted: admission.Admitted, origin: stream_origins.Origin
) -> admission.Admitted | None:
    """Return a resumption with the service that began its stream; None if its route left that."""
    if admitted.service == origin.service:
        return admitted
    if any(one.service == origin.service and one.weight > 0 for one in admitted.route.shares):
        return dataclasses.replace(admitted, service=origin.service)
    return None
