"""Suspect requests as nodes tell them to one another, and as the store keeps them."""

import msgspec

from plumarch.limits import quarantine

MAX_SENT_CRASHES = 4
"""Ends of a request that a datagram tells, the newest ones; three early ones hold it back. Some 30
bytes each."""


class ReportedCrash(msgspec.Struct, array_like=True, frozen=True):
    """An endpoint that ended under a request; at_ms is the time of day."""

    endpoint: str
    at_ms: int
    points: int


class ReportedSuspect(msgspec.Struct, array_like=True, frozen=True):
    """What the teller knows of a request; as in quarantine.Suspect."""

    fingerprint: str
    crashes: list[ReportedCrash]
    trials: int = 0
    tried_ms: int = 0
    cleared_ms: int = 0


def to_message(suspect: quarantine.Suspect, crashes: int = MAX_SENT_CRASHES) -> ReportedSuspect:
    """Return a suspect as it is told.

    Args:
      ends: how many of its ends are told, the newest ones.
    """
    chosen = [
        ReportedCrash(crash.endpoint, crash.at_ms, crash.points)
        for crash in suspect.crashes[-crashes:]
    ]
    return ReportedSuspect(
        suspect.fingerprint, chosen, suspect.trials, suspect.tried_ms, suspect.cleared_ms
    )


def from_message(one: ReportedSuspect) -> quarantine.Suspect:
    """Return a suspect as it is kept; an end counts for no more than an early one does."""
    crashes = tuple(
        quarantine.Crash(crash.endpoint, crash.at_ms, min(crash.points, quarantine.EARLY_POINTS))
        for crash in one.crashes
    )
    return quarantine.Suspect(
        one.fingerprint, crashes, max(0, one.trials), one.tried_ms, one.cleared_ms
    )
