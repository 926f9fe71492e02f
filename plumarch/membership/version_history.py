"""The software versions in which endpoints of each service were listed lately."""

import dataclasses
from collections.abc import Iterable

from plumarch.core import clock, traffic

RETENTION_MS = 600_000
"""How long a version that is no longer listed is remembered."""


@dataclasses.dataclass(slots=True)
class VersionHistory:
    """The versions that are listed, and those that were.

    Attributes:
      listed: by service.
      ended_ms: when a version was last listed, by service.
      since_ms: when endpoints were first known; None before that.
    """

    clock: clock.Clock
    listed: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    ended_ms: dict[str, dict[str, int]] = dataclasses.field(default_factory=dict)
    since_ms: int | None = None

    def update(self, endpoints: Iterable[traffic.Endpoint]) -> None:
        """Apply a change of the endpoints."""
        now = self.clock.now()
        if self.since_ms is None:
            self.since_ms = now
        listed: dict[str, set[str]] = {}
        for one in endpoints:
            listed.setdefault(one.service, set()).add(one.version)
        for service, versions in self.listed.items():
            for version in versions - listed.get(service, set()):
                self.ended_ms.setdefault(service, {})[version] = now
        self.listed = listed
        self._prune(now)

    def _prune(self, now: int) -> None:
        for service, ended in list(self.ended_ms.items()):
            kept = {version: at for version, at in ended.items() if now - at <= RETENTION_MS}
            self.ended_ms[service] = kept
            if not kept:
                del self.ended_ms[service]

    def announces(self, service: str) -> bool:
        """Return whether any endpoint of a service announces its version."""
        return any(self.listed.get(service, ()))

    def sole(self, service: str, within_ms: float) -> str | None:
        """Return a service's version if no other one was listed within a time.

        Returns:
          The version, or None if there were several or none, or the history is shorter.
        """
        now = self.clock.now()
        if self.since_ms is None or now - self.since_ms < within_ms or within_ms > RETENTION_MS:
            return None
        versions = self.recent(service, within_ms)
        return next(iter(versions)) if len(versions) == 1 else None

    def recent(self, service: str, within_ms: float) -> set[str]:
        """Return the versions that were listed within a time, as far as the history goes."""
        now = self.clock.now()
        ended = self.ended_ms.get(service, {})
        found = {version for version, at in ended.items() if now - at <= within_ms}
        return found | self.listed.get(service, set())
