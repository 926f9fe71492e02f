"""Requests and prompt segments that endpoints answered recently, on this node.

Common ones run at almost any endpoint that crashes; an answer shows that they are not the cause.
"""

import dataclasses

from plumarch.core import clock

RETENTION_MS = 60_000
"""As long as the first pause of the quarantine."""

MAX_ENTRIES = 4_096


@dataclasses.dataclass(slots=True)
class RecentAnswers:
    """Fingerprints with the time of their last answer, in order of time."""

    clock: clock.Clock
    times: dict[str, int] = dataclasses.field(default_factory=dict)

    def note(self, fingerprint: str) -> None:
        """Record an answer."""
        self.times.pop(fingerprint, None)
        self.times[fingerprint] = self.clock.now()
        while len(self.times) > MAX_ENTRIES:
            del self.times[next(iter(self.times))]

    def has(self, fingerprint: str) -> bool:
        """Return whether a request was answered recently."""
        return self.age_ms(fingerprint) is not None

    def age_ms(self, fingerprint: str) -> int | None:
        """Return the age of the last answer in ms, or None without a recent one."""
        at_ms = self.times.get(fingerprint)
        if at_ms is None:
            return None
        age_ms = self.clock.now() - at_ms
        return age_ms if age_ms < RETENTION_MS else None
