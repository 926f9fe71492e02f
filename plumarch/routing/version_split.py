"""Chooses the versions of a service that a request may go to during a roll-out.

Nodes hash the request identifier, so that a version gets its share without coordination.
"""

import dataclasses
import math
from collections.abc import Sequence

from plumarch.core import clock, hashing, numerals, rollouts, traffic

NEW_VERSION_DELAY_MS = 3_000
"""A version new to a service gets no requests for this long, unless it is the only one: its
endpoints may be announced before the order to roll it out."""

OLD_VERSION_DRAIN_MS = 6_000
"""Old endpoints get no requests for this long after a completion: they stop at once, but their
entries outlive them by up to three heartbeats."""

PUBLISH_RETENTION_MS = 30_000
"""How long a finished split is still published."""


@dataclasses.dataclass(frozen=True, slots=True)
class KnownSplit:
    """A split and when it was received."""

    split: rollouts.VersionSplit
    at_ms: int


@dataclasses.dataclass(slots=True)
class VersionSplits:
    """The splits of all services, and when each version was first seen.

    Attributes:
      known: by service.
      first_seen: when each version of a service was first ready.
    """

    clock: clock.Clock
    known: dict[str, KnownSplit] = dataclasses.field(default_factory=dict)
    first_seen: dict[str, dict[str, int]] = dataclasses.field(default_factory=dict)

    def of(self, service: str) -> rollouts.VersionSplit | None:
        """Return the split of a service, or None if it never had a roll-out."""
        known = self.known.get(service)
        return known.split if known is not None else None

    def adopt(self, split: rollouts.VersionSplit) -> bool:
        """Apply a split unless a later one is known; a veto stays with its version.

        Returns:
          Whether anything changed.
        """
        known = self.of(split.service)
        if known is not None:
            same = known.version == split.version
            vetoed = same and (known.vetoed or split.vetoed)
            split = split if split.is_later_than(known) else known
            split = dataclasses.replace(split, vetoed=split.vetoed or vetoed)
        if split == known:
            return False
        self.known[split.service] = KnownSplit(split, self.clock.now())
        return True

    def veto(self, service: str) -> None:
        """Mark the version that a service is moving to as bad."""
        known = self.of(service)
        if known is not None:
            self.adopt(dataclasses.replace(known, vetoed=True))

    def running(self) -> list[rollouts.VersionSplit]:
        """Return the splits of running roll-outs."""
        running = rollouts.RolloutState.RUNNING
        return [one.split for one in self.known.values() if one.split.state is running]

    def to_publish(self) -> list[rollouts.VersionSplit]:
        """Return the splits that are running or ended recently."""
        now = self.clock.now()
        running = rollouts.RolloutState.RUNNING
        return [
            one.split
            for one in self.known.values()
            if one.split.state is running or now - one.at_ms < PUBLISH_RETENTION_MS
        ]

    def groups(
        self, service: str, ready: Sequence[traffic.Endpoint], request: str, repeated: bool
    ) -> list[list[traffic.Endpoint]]:
        """Return the endpoints that a request may go to, in groups by preference.

        Args:
          request: its identifier, which alone determines the version.
          repeated: whether it failed at an endpoint already; then it goes to the old version.
        """
        versions = {one.version for one in ready}
        self._record_versions(service, versions)
        split = self.of(service)
        if split is None:
            return [self._without_new(service, versions, ready)]
        new = [one for one in ready if one.version == split.version]
        old = [one for one in ready if one.version != split.version]
        if not split.may_use():
            return [old]
        if split.state is rollouts.RolloutState.COMPLETED:
            age_ms = self.clock.now() - self.known[service].at_ms
            return [list(ready) if age_ms >= OLD_VERSION_DRAIN_MS else new or old]
        if split.share >= 1.0:
            return [new, old]
        if repeated or not new or not _is_chosen(split, request):
            return [old]
        return [_equally_loaded(new, split.share), old]

    def _record_versions(self, service: str, versions: set[str]) -> None:
        seen = self.first_seen.setdefault(service, {})
        now = self.clock.now()
        for version in versions:
            seen.setdefault(version, now)

    def _without_new(
        self, service: str, versions: set[str], ready: Sequence[traffic.Endpoint]
    ) -> list[traffic.Endpoint]:
        """Leave out the endpoints of a version first seen just now.

        Of several first seen together, the highest is the new one.
        """
        if len(versions) < 2:
            return list(ready)
        seen = self.first_seen[service]
        newest = max(versions, key=lambda version: (seen[version], _version_order(version)))
        if self.clock.now() - seen[newest] >= NEW_VERSION_DELAY_MS:
            return list(ready)
        return [one for one in ready if one.version != newest]


def _version_order(version: str) -> tuple[int, str]:
    """Return a sort key for versions: v10 comes after v9."""
    digits = "".join(letter for letter in version if letter.isdigit())
    return numerals.whole_number(digits) or 0, version


def _is_chosen(split: rollouts.VersionSplit, request: str) -> bool:
    point = hashing.digest(f"{split.service} {split.version}", request) / 2**64
    return point < split.share


def _equally_loaded(new: Sequence[traffic.Endpoint], share: float) -> list[traffic.Endpoint]:
    """Return as many new endpoints as make each as busy as an old one.

    At low load, faults that only show under load would go unnoticed.
    """
    count = max(1, math.ceil(share * len(new)))
    return sorted(new, key=traffic.Endpoint.stable_name)[:count]
