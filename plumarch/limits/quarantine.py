"""Quarantines requests and prompt segments that are suspected of crashing endpoints.

A request may crash every endpoint that runs it, and its caller repeats it at any node; or each
request with a certain prompt segment does. Records of nodes merge to the same result in any order,
duplicates included.
"""

import dataclasses
from collections.abc import Iterable

from plumarch.core import clock
from plumarch.limits import recent_answers

EARLY_POINTS = 3
"""Points of a crash while the request was beginning to run."""

LATE_POINTS = 1
"""Points of a later crash: requests that cause crashes do so early, and a long stream must not be
blamed for every crash."""

EARLY_MS = 1_000
"""Time from a request's first event within which it is still beginning."""

QUARANTINE_POINTS = 3 * EARLY_POINTS
"""Points from which a request is quarantined. One that only ran beside another one's crash is lost
once, with its repeat perhaps twice; a third endpoint that crashes as it begins is no
coincidence."""

SAME_CRASH_MS = 1_000
"""Crashes of one endpoint reported within this time are the same one, seen by several nodes."""

MAX_CRASHES = 12
"""Newest crashes kept of a request."""

FIRST_TRIAL_MS = 60_000
"""Time in quarantine before the first trial."""

TRIAL_FACTOR = 4
"""Factor by which each further pause is longer; a request that crashes its endpoints for a year
costs ten of them."""

TRIALS_COUNTED = 8
"""Trials after which the pause no longer grows."""

MAX_PAUSE_MS = 4 * 3_600_000

SEGMENT_PREFIX = "s"
"""First letter of a prompt segment's fingerprint, which those of requests lack."""

EARLY_TRIAL_MS = (1_000, 5_000)
"""Pauses before early trials, by their number. Sound requests share the segments that a poison one
was only seen with, and many callers may send the same sound request; they are refused until one of
them is answered."""

SUSPECT_RETENTION_MS = 600_000
"""Retention of requests with too few points for quarantine."""

QUARANTINE_RETENTION_MS = 24 * 3_600_000
"""Retention of quarantined requests, from the last crash or trial."""

MAX_SUSPECTS = 2_000
"""Maximum requests remembered, some 400 bytes each; those with the fewest points are dropped first.
100 engines of a data centre that crash at once leave some 3,000 requests to all nodes."""


PRUNE_INTERVAL_MS = 1_000


def pause_ms(trials: int) -> int:
    """Return the pause after a number of trials."""
    found = FIRST_TRIAL_MS
    for _ in range(min(trials, TRIALS_COUNTED)):
        found *= TRIAL_FACTOR
    return min(MAX_PAUSE_MS, found)


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """An endpoint that crashed while it ran a request.

    Attributes:
      at_ms: time of day.
      points: EARLY_POINTS or LATE_POINTS.
    """

    endpoint: str
    at_ms: int
    points: int


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """A request, or a prompt segment of requests, that was running when endpoints crashed.

    Attributes:
      fingerprint: common to all tries of the request, or to all requests with the segment.
      crashes: the newest ones, in order of time.
      trials: how many were made up to the last one.
      tried_ms: when the last trial began; 0 for none.
      cleared_ms: when it was answered or cleared; 0 for never. Earlier crashes and trials don't
        count.
    """

    fingerprint: str
    crashes: tuple[Crash, ...] = ()
    trials: int = 0
    tried_ms: int = 0
    cleared_ms: int = 0

    def points(self) -> int:
        """Return the sum of its points."""
        return sum(crash.points for crash in self.crashes)

    def is_quarantined(self) -> bool:
        """Return whether it is quarantined."""
        return self.points() >= QUARANTINE_POINTS

    def last_ms(self) -> int:
        """Return the time of the last observation."""
        newest = self.crashes[-1].at_ms if self.crashes else 0
        return max(newest, self.tried_ms, self.cleared_ms)

    def is_segment(self) -> bool:
        """Return whether this is a prompt segment."""
        return self.fingerprint.startswith(SEGMENT_PREFIX)

    def next_trial_ms(self, is_early: bool = False) -> int:
        """Return the earliest time of the next trial.

        Args:
          is_early: whether the trial may be an early one.
        """
        newest = self.crashes[-1].at_ms if self.crashes else 0
        # One more early trial if the last one neither crashed its endpoint nor was answered.
        early_trials = len(EARLY_TRIAL_MS) + (newest <= self.tried_ms)
        if is_early and self.trials < early_trials:
            pause = EARLY_TRIAL_MS[min(self.trials, len(EARLY_TRIAL_MS) - 1)]
            return max(newest, self.tried_ms) + pause
        counted = self.trials - len(EARLY_TRIAL_MS) if self.is_segment() else self.trials
        return max(newest, self.tried_ms) + pause_ms(counted)

    def is_over(self, now: int) -> bool:
        """Return whether its retention has expired."""
        return now - self.last_ms() > (
            QUARANTINE_RETENTION_MS if self.is_quarantined() else SUSPECT_RETENTION_MS
        )


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantinedRequest:
    """A quarantined request.

    Attributes:
      suspect: the request itself or a segment of its prompt.
      back_in_ms: time until one node may try it again; 0 if it may now.
    """

    suspect: Suspect
    back_in_ms: int


@dataclasses.dataclass(slots=True)
class Quarantine:
    """The suspects that this node knows of.

    Attributes:
      clock: the time of day, since records are shared with other nodes and the store.
      suspects: by fingerprint.
      quarantined: those of them that are quarantined.
      pruned_ms: when expired ones were last dropped.
    """

    clock: clock.Clock
    suspects: dict[str, Suspect] = dataclasses.field(default_factory=dict)
    quarantined: dict[str, Suspect] = dataclasses.field(default_factory=dict)
    pruned_ms: int = 0
    answers: recent_answers.RecentAnswers = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.answers = recent_answers.RecentAnswers(self.clock)

    def find_quarantined(self, *fingerprints: str) -> QuarantinedRequest | None:
        """Return a request's quarantine, or None if it may run.

        Args:
          fingerprints: of the request and its prompt segments.
        """
        held = self.held_among(fingerprints)
        if not held:
            return None
        segments = [one for one in held if one.is_segment()]
        may_exonerate = self._may_exonerate(segments)

        def next_trial_ms(one: Suspect) -> int:
            is_early = may_exonerate if one.is_segment() else self.answers.has(one.fingerprint)
            return one.next_trial_ms(is_early)

        suspect = max(held, key=next_trial_ms)
        return QuarantinedRequest(suspect, max(0, next_trial_ms(suspect) - self.clock.now()))

    def held_among(self, fingerprints: Iterable[str]) -> list[Suspect]:
        """Return what is quarantined of a request and its prompt segments."""
        if not self.quarantined:
            return []
        found = [self.quarantined.get(one) for one in fingerprints]
        return [one for one in found if one is not None]

    def _may_exonerate(self, held: list[Suspect]) -> bool:
        """Return whether a trial may show which of the quarantined segments is the cause.

        That takes a request with some of the segments that were seen in the same crashes.
        """
        if len(held) <= 1:
            return True
        names = {one.fingerprint for one in held}
        endpoints = {crash.endpoint for one in held for crash in one.crashes}
        return any(
            other.is_segment()
            and other.fingerprint not in names
            and any(crash.endpoint in endpoints for crash in other.crashes)
            for other in self.quarantined.values()
        )

    def points(self, fingerprint: str) -> int:
        """Return the points of a request; 0 for an unknown one."""
        suspect = self.suspects.get(fingerprint)
        return suspect.points() if suspect is not None else 0

    def record_crash(self, fingerprint: str, endpoint: str, points: int) -> bool:
        """Record that an endpoint crashed while it ran a request.

        Returns:
          Whether this puts the request into quarantine.
        """
        was_quarantined = self.find_quarantined(fingerprint) is not None
        self.merge([self.new_crash(fingerprint, endpoint, points)])
        return not was_quarantined and self.find_quarantined(fingerprint) is not None

    def new_crash(self, fingerprint: str, endpoint: str, points: int) -> Suspect:
        """Return what an endpoint's crash now adds to a suspect.

        A recently answered request gets no more than LATE_POINTS.
        """
        if self.answers.has(fingerprint):
            points = min(points, LATE_POINTS)
        return Suspect(fingerprint, (Crash(endpoint, self.clock.now(), points),))

    def record_answer(self, fingerprint: str) -> bool:
        """Record that an endpoint answered a request.

        Returns:
          Whether it had points.
        """
        self.answers.note(fingerprint)
        return self.clear_suspect(fingerprint)

    def clear_suspect(self, fingerprint: str) -> bool:
        """Void all earlier observations of a request.

        Returns:
          Whether it had points.
        """
        if not self.points(fingerprint):
            return False
        return bool(self.merge([Suspect(fingerprint, cleared_ms=self.clock.now())]))

    def record_trial(self, fingerprint: str, trials: int) -> None:
        """Record that a trial of a request begins now.

        Args:
          trials: including this one.
        """
        self.merge([Suspect(fingerprint, trials=trials, tried_ms=self.clock.now())])

    def merge(self, reported: Iterable[Suspect]) -> list[str]:
        """Merge what other nodes, or the store, know.

        Returns:
          The fingerprints whose record changed.
        """
        now = self.clock.now()
        changed = []
        for one in reported:
            known = self.suspects.get(one.fingerprint, Suspect(one.fingerprint))
            merged = merge(known, _cap_times(one, now))
            if merged != known and not merged.is_over(now):
                self.suspects[one.fingerprint] = merged
                changed.append(one.fingerprint)
                self._index(merged)
        if len(self.suspects) > MAX_SUSPECTS or now - self.pruned_ms >= PRUNE_INTERVAL_MS:
            self._prune(now)
        return [name for name in changed if name in self.suspects]

    def _index(self, suspect: Suspect) -> None:
        if suspect.is_quarantined():
            self.quarantined[suspect.fingerprint] = suspect
        else:
            self.quarantined.pop(suspect.fingerprint, None)

    def _prune(self, now: int) -> None:
        """Drop expired suspects, and the least suspect ones if there are too many."""
        self.pruned_ms = now
        left = [one for one in self.suspects.values() if not one.is_over(now)]
        if len(left) > MAX_SUSPECTS:
            left.sort(key=lambda one: (-one.points(), -one.last_ms()))
            del left[MAX_SUSPECTS:]
        self.suspects = {one.fingerprint: one for one in left}
        self.quarantined = {one.fingerprint: one for one in left if one.is_quarantined()}

    def lift(self) -> int:
        """Drop all records at an operator's request.

        Returns:
          How many requests were quarantined.
        """
        count = len(self.quarantined)
        self.suspects.clear()
        self.quarantined.clear()
        return count

    def held(self) -> list[Suspect]:
        """Return the quarantined requests, the latest first."""
        found = self.quarantined.values()
        return sorted(found, key=lambda one: (-one.last_ms(), one.fingerprint))


def merge(one: Suspect, other: Suspect) -> Suspect:
    """Merge what two nodes know of the same request."""
    cleared_ms = max(one.cleared_ms, other.cleared_ms)
    crashes = [crash for crash in {*one.crashes, *other.crashes} if crash.at_ms > cleared_ms]
    tried_ms, trials = max((one.tried_ms, one.trials), (other.tried_ms, other.trials))
    if tried_ms <= cleared_ms:
        tried_ms = trials = 0
    return Suspect(
        one.fingerprint,
        tuple(_deduplicate(crashes)[-MAX_CRASHES:]),
        trials,
        tried_ms,
        cleared_ms,
    )


def _deduplicate(crashes: Iterable[Crash]) -> list[Crash]:
    """Return each crash once, in order of time, with the highest points reported."""
    found: list[Crash] = []
    for crash in sorted(crashes, key=lambda crash: (crash.at_ms, crash.endpoint, -crash.points)):
        duplicate = next((one for one in reversed(found) if _are_same(one, crash)), None)
        if duplicate is None:
            found.append(crash)
        elif duplicate.points < crash.points:
            found[found.index(duplicate)] = dataclasses.replace(duplicate, points=crash.points)
    return found


def _are_same(one: Crash, other: Crash) -> bool:
    return one.endpoint == other.endpoint and other.at_ms - one.at_ms < SAME_CRASH_MS


def _cap_times(one: Suspect, now: int) -> Suspect:
    """Return a report with no time after now, so that a fast clock voids no later crash."""
    crashes = tuple(
        dataclasses.replace(crash, at_ms=min(crash.at_ms, now)) for crash in one.crashes
    )
    tried_ms, cleared_ms = min(one.tried_ms, now), min(one.cleared_ms, now)
    return dataclasses.replace(one, crashes=crashes, tried_ms=tried_ms, cleared_ms=cleared_ms)
