"""Weighs an endpoint's crash against the prompt segments of the runs that it ended.

A segment may crash every endpoint that begins an answer on it, whatever else the request holds. All
runs of the endpoint that had not got beyond their beginning are suspected alike. Segments of other
requests are exonerated by their answers, at this endpoint or elsewhere.
"""

import dataclasses

from plumarch.core import clock
from plumarch.limits import quarantine, recent_answers

EXPLAINED_POINTS = 2
"""Points of a crash for which there is another explanation. Three such crashes quarantine no
segment: a request that crashes endpoints by itself ends three of them."""

JUST_ANSWERED_MS = 1_000
"""Time after an answer in which a crash does not count: when many endpoints are lost at once, their
runs share the segments that are in most use."""


@dataclasses.dataclass(slots=True)
class SegmentCrashes:
    """Decides how much crashes count against segments, by the answers that this node saw.

    Attributes:
      answers: segments that endpoints answered, by their fingerprints.
    """

    clock: clock.Clock
    answers: recent_answers.RecentAnswers = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.answers = recent_answers.RecentAnswers(self.clock)

    def points(self, segment: str, is_repeat: bool) -> int:
        """Return the points of a crash while a run with a segment was beginning.

        Args:
          segment: its fingerprint.
          is_repeat: whether the same request ran at another endpoint that crashed.
        """
        answer_age_ms = self.answers.age_ms(segment)
        if answer_age_ms is not None and answer_age_ms < JUST_ANSWERED_MS:
            return 0
        if is_repeat or answer_age_ms is not None:
            return EXPLAINED_POINTS
        return quarantine.EARLY_POINTS
