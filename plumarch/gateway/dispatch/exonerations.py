"""Exonerates requests and prompt segments that endpoints answered without a crash."""

from collections.abc import Callable, Iterable

from plumarch.gateway import fleet_state
from plumarch.gateway.callers import admission
from plumarch.gateway.dispatch import attempts, endpoint_outcomes
from plumarch.gateway.gossip import suspect_updates

BEGINNING_MS = 250
"""Time from an answer's first event in which its endpoint may still crash of a prompt segment."""


def record_answer(state: fleet_state.FleetState, admitted: admission.Admitted, status: int) -> None:
    """Record a complete answer.

    An endpoint may fail a request before it reads the prompt, so that says nothing of its segments.

    Args:
      status: of the answer.
    """
    _exonerate(state, [admitted.fingerprint], state.quarantine.record_answer)
    if status < endpoint_outcomes.SERVER_ERRORS:
        _record_segments(state, admitted)


def record_event(
    state: fleet_state.FleetState, admitted: admission.Admitted, attempt: attempts.Attempt
) -> None:
    """Record an event of a stream; the first one after its beginning exonerates its segments."""
    if attempt.outlived_beginning or attempt.first_ms is None:
        return
    if state.clock.now() - attempt.sent_ms - attempt.first_ms < BEGINNING_MS:
        return
    attempt.outlived_beginning = True
    _record_segments(state, admitted)


def _record_segments(state: fleet_state.FleetState, admitted: admission.Admitted) -> None:
    segments = [one.fingerprint for one in admitted.segments]
    for one in segments:
        state.segments.answers.note(one)
    _exonerate(state, segments, state.quarantine.clear_suspect)


def _exonerate(
    state: fleet_state.FleetState, fingerprints: Iterable[str], void: Callable[[str], bool]
) -> None:
    """Void the crashes that count against requests or segments, on all nodes.

    Args:
      void: voids them on this node, and returns whether there were any.
    """
    cleared = []
    for fingerprint in fingerprints:
        was_quarantined = state.quarantine.find_quarantined(fingerprint) is not None
        if void(fingerprint):
            suspect_updates.log_change(state, fingerprint, was_quarantined, state.node)
            cleared.append(fingerprint)
    if cleared and state.publish_suspects is not None:
        state.publish_suspects(cleared)
