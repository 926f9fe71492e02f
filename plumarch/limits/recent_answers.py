"""Requests that endpoints answered lately, on this node.

Callers that ask the same, such as status checks, have a request in its first steps at almost any
endpoint that ends. That one of them was answered just now tells that it isn't what ends them.
"""

import dataclasses

from plumarch.core import clock

RETENTION_MS = 60_000
"""How long an answer speaks for a request; as long as one is first held back."""

MAX_ENTRIES = 4_096
"""Requests that are remembered, some 150 bytes each; at 36 requests a second on each node of the
largest fleet those of two minutes."""


@dataclasses.dataclass(slots=True)
class RecentAnswers:
    """Fingerprints by when they were answered last, the oldest first."""

    clock: clock.Clock
    times: dict[str, int] = dataclasses.field(default_factory=dict)

    def note(self, fingerprint: str) -> None:
        """Take in an answer."""
        self.times.pop(fingerprint, None)
        self.times[fingerprint] = self.clock.now()
        while len(self.times) > MAX_ENTRIES:
            del self.times[next(iter(self.times))]

    def has(self, fingerprint: str) -> bool:
        """Return whether a request was answered lately."""
        at_ms = self.times.get(fingerprint)
        return at_ms is not None and self.clock.now() - at_ms < RETENTION_MS
