"""Endpoints after their source came back from an older copy.

The copy may lack entries, list endpoints that have ended since, and show others as they were. Each
endpoint that lives writes its entry again; until then, what is known from before is used.
"""

import dataclasses
from collections.abc import Iterable

from plumarch.core import clock, traffic

REWRITE_MS = 1_500
"""How long endpoints are used whose entries the copy lacks; those that live write them again."""

REMOVAL_MS = 5_000
"""Time within which the source removes entries of endpoints that have ended."""

RETENTION_MS = 60_000
"""How long an ended endpoint is remembered; copies are some seconds old."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """An endpoint whose entry was removed."""

    endpoint: traffic.Endpoint
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Substitute:
    """An endpoint that is used in place of what the copy holds.

    Attributes:
      listed: the copy's entry; None if it lacks one.
      until_ms: when the copy's entry counts, unless it changes before.
    """

    listed: traffic.Endpoint | None
    used: traffic.Endpoint
    until_ms: int


@dataclasses.dataclass(slots=True)
class RollbackFilter:
    """What is known better than an older copy, by the endpoint's own name.

    Attributes:
      ended: removed endpoints, by identifier.
      written_names: entries written or removed since.
      known: endpoints before the rollback whose entries have not been written since.
      since_ms: when it was noticed.
    """

    clock: clock.Clock
    ended: dict[str, Ended] = dataclasses.field(default_factory=dict)
    known: dict[str, traffic.Endpoint] = dataclasses.field(default_factory=dict)
    written_names: set[str] = dataclasses.field(default_factory=set)
    since_ms: int = -REMOVAL_MS
    substitutes: dict[str, Substitute] = dataclasses.field(default_factory=dict)

    def note_end(self, endpoint: traffic.Endpoint) -> None:
        """Record that an endpoint's entry was removed."""
        now = self.clock.now()
        self.ended[endpoint.id] = Ended(endpoint, now)
        for known, one in list(self.ended.items()):
            if now - one.at_ms > RETENTION_MS:
                del self.ended[known]

    def note_listed(self, identifiers: Iterable[str]) -> None:
        """Record that entries of endpoints exist, though they were removed before."""
        if self.ended:
            for identifier in identifiers:
                self.ended.pop(identifier, None)

    def drained(self) -> list[traffic.Endpoint]:
        """Return removed endpoints that were draining."""
        ended = [one.endpoint for one in self.ended.values()]
        return [one for one in ended if one.state is traffic.EndpointState.DRAINING]

    def begin(self, known: Iterable[traffic.Endpoint]) -> None:
        """Begin after a rollback.

        Args:
          known: the endpoints before it.
        """
        self.known = {one.stable_name(): one for one in known}
        self.written_names.clear()
        self.substitutes.clear()
        self.since_ms = self.clock.now()

    def written(self, name: str) -> None:
        """Record that an entry was written or removed after the rollback."""
        if self.known or self.substitutes:
            self.written_names.add(name)
            self.known.pop(name, None)
            self.substitutes.pop(name, None)

    def applied(self, listed: Iterable[traffic.Endpoint]) -> list[traffic.Endpoint]:
        """Return the endpoints to use for a list of the source."""
        listed = list(listed)
        if self.clock.now() - self.since_ms >= REMOVAL_MS:
            self.note_listed(one.id for one in listed)
            return listed
        self.substitutes = {}
        for one in listed:
            used = self._used(one)
            if used != one:
                self._substitute(one.stable_name(), one, used, REMOVAL_MS)
        listed_names = {one.stable_name() for one in listed}
        for name, endpoint in self.known.items():
            if name not in listed_names:
                self._substitute(name, None, endpoint, REWRITE_MS)
        kept = {name: one.used for name, one in self.substitutes.items()}
        found = {one.stable_name(): one for one in listed}
        return list({**found, **kept}.values())

    def _used(self, listed: traffic.Endpoint) -> traffic.Endpoint:
        """Return a listed endpoint as it is to be used."""
        if listed.stable_name() in self.written_names:
            return listed
        known = self.known.get(listed.stable_name())
        if known is not None and 0 < listed.born_ms < known.born_ms:
            return known
        if listed.id in self.ended:
            return dataclasses.replace(listed, state=traffic.EndpointState.DRAINING)
        return listed

    def _substitute(
        self, name: str, listed: traffic.Endpoint | None, used: traffic.Endpoint, for_ms: int
    ) -> None:
        until_ms = self.since_ms + for_ms
        if self.clock.now() < until_ms:
            self.substitutes[name] = Substitute(listed, used, until_ms)

    def is_overdue(self, endpoint: traffic.Endpoint) -> bool:
        """Return whether an endpoint that the copy lacks was not written again in time."""
        one = self.substitutes.get(endpoint.stable_name())
        return one is not None and one.listed is None and self.clock.now() >= one.until_ms

    def as_listed(self, endpoint: traffic.Endpoint) -> traffic.Endpoint | None:
        """Return what the source lists for an endpoint, or None if it lacks its entry."""
        one = self.substitutes.get(endpoint.stable_name())
        return one.listed if one is not None else endpoint

    def prune(self) -> list[Substitute]:
        """End and return substitutes whose time is over."""
        now = self.clock.now()
        over = {name: one for name, one in self.substitutes.items() if now >= one.until_ms}
        for name in over:
            del self.substitutes[name]
            self.known.pop(name, None)
        if now - self.since_ms >= REMOVAL_MS:
            self.known.clear()
            self.written_names.clear()
        return list(over.values())
