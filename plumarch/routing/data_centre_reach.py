"""Excludes data centres that can't be reached, judged by connects to their endpoints.

Endpoint health ejects at most half of the endpoints, too few in a network partition. Failed
connects in a row exclude a data centre for a while, then one connect probes it.
"""

import dataclasses

from plumarch.core import clock

FAILURES_IN_ROW = 2
"""Failures without a success in between; one may be a single endpoint's."""

FIRST_PAUSE_MS = 700
"""About three times the connect timeout."""

PAUSE_CONNECTS = 3
"""Connect timeouts that a pause covers, so that it grows with the distance."""

MAX_PAUSE_MS = 2_800
"""The pause doubles up to this; a data centre whose links are back is used again within as long."""


@dataclasses.dataclass(slots=True)
class Reach:
    """State of one data centre.

    Attributes:
      failed: endpoints that could not be connected to since the last successful connect.
      pauses: how often it was excluded since then.
      extra_ms: what its distance adds to each pause.
    """

    failed: set[str] = dataclasses.field(default_factory=set)
    excluded_until_ms: int = 0
    pauses: int = 0
    probing: bool = False
    extra_ms: int = 0


@dataclasses.dataclass(slots=True)
class DataCentreReach:
    """The data centres other than the node's own, by name."""

    clock: clock.Clock
    own: str
    known: dict[str, Reach] = dataclasses.field(default_factory=dict)

    def connected(self, data_centre: str) -> None:
        """Record a successful connect."""
        self.known.pop(data_centre, None)

    def failed(self, data_centre: str, endpoint: str, extra_ms: float = 0.0) -> bool:
        """Record a failed connect.

        Args:
          extra_ms: by how much a connect there may take longer than within the region.
        Returns:
          Whether the data centre is excluded now.
        """
        if data_centre == self.own:
            return False
        reach = self.known.setdefault(data_centre, Reach())
        reach.failed.add(endpoint)
        reach.extra_ms = round(PAUSE_CONNECTS * extra_ms)
        now = self.clock.now()
        if now < reach.excluded_until_ms and not reach.probing:
            return False
        reach.probing = False
        if len(reach.failed) < FAILURES_IN_ROW and not reach.pauses:
            return False
        pause_ms = min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2**reach.pauses)
        reach.excluded_until_ms = now + pause_ms + reach.extra_ms
        reach.pauses += 1
        return True

    def is_excluded(self, data_centre: str) -> bool:
        """Return whether a data centre is excluded."""
        reach = self.known.get(data_centre)
        return reach is not None and self.clock.now() < reach.excluded_until_ms

    def begin_probe(self, data_centre: str) -> None:
        """Exclude a data centre until the probe has ended."""
        reach = self.known.get(data_centre)
        if reach is not None and reach.pauses and self.clock.now() >= reach.excluded_until_ms:
            reach.probing = True
            reach.excluded_until_ms = self.clock.now() + FIRST_PAUSE_MS + reach.extra_ms
