"""Encoded suspects, in messages and in the store."""

import msgspec

from plumarch.limits import quarantine

MAX_SENT_CRASHES = 4
"""Newest crashes of a request in a datagram; enough to quarantine it."""


class ReportedCrash(msgspec.Struct, array_like=True, frozen=True):
    """A crash while the endpoint ran a request; at_ms is the time of day."""

    endpoint: str
    at_ms: int
    points: int


class ReportedSuspect(msgspec.Struct, array_like=True, frozen=True):
    """A request's state; fields as in quarantine.Suspect."""

    fingerprint: str
    crashes: list[ReportedCrash]
    trials: int = 0
    tried_ms: int = 0
    cleared_ms: int = 0


def to_message(suspect: quarantine.Suspect, crashes: int = MAX_SENT_CRASHES) -> ReportedSuspect:
    """Encode a suspect.

    Args:
      crashes: how many of the newest to include.
    """
    chosen = [
        ReportedCrash(crash.endpoint, crash.at_ms, crash.points)
        for crash in suspect.crashes[-crashes:]
    ]
    return ReportedSuspect(
        suspect.fingerprint, chosen, suspect.trials, suspect.tried_ms, suspect.cleared_ms
    )


def from_message(one: ReportedSuspect) -> quarantine.Suspect:
    """Decode a suspect; a crash's points are limited to those of an early one."""
    crashes = tuple(
        quarantine.Crash(crash.endpoint, crash.at_ms, min(crash.points, quarantine.EARLY_POINTS))
        for crash in one.crashes
    )
    return quarantine.Suspect(
        one.fingerprint, crashes, max(0, one.trials), one.tried_ms, one.cleared_ms
    )
