"""Registry of endpoints, from a list-and-watch source or from a peer.

Stale snapshots and changes are ignored, so the source and peers may overtake one another. A list of
a later era of the source may be older than what is known: see membership.rollback.
"""

import dataclasses
from collections.abc import Iterable

from plumarch.core import clock, revisions, traffic
from plumarch.membership import drain_notices, rollback, version_history

LAPSE_MS = 1_400
"""How long endpoints stay in use after most of a service's entries vanished."""

MIN_LAPSED = 2
"""Minimum vanished endpoints of a service that stay in use."""


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointChange:
    """An added, changed or removed endpoint (endpoint None).

    Attributes:
      id: the endpoint's own name in changes from a source; the incarnation's identifier in changes
        that the registry returns.
      revision: the source's.
      is_unreadable: whether its entry exists but can't be decoded.
      is_restarted: whether its entry exists with another incarnation.
      successor: that incarnation.
    """

    id: str
    revision: int
    endpoint: traffic.Endpoint | None
    is_unreadable: bool = False
    is_restarted: bool = False
    successor: traffic.Endpoint | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Lapsed:
    """A ready endpoint whose entry vanished unannounced."""

    endpoint: traffic.Endpoint
    at_ms: int


@dataclasses.dataclass(slots=True)
class Registry:
    """The endpoints, and how fresh they are.

    Entries may lapse while the source is down. If fewer endpoints of a service remain than just
    vanished, these stay in use for LAPSE_MS.

    Attributes:
      endpoints: by identifier; one that announced a drain is draining, whatever its entry says.
      by_name: current incarnations, by the endpoint's own name.
      revision: up to which all changes are known.
      changed_revision: of the last change or rollback; other nodes need not fetch later ones.
      confirmed_ms: when `revision` was last confirmed.
      source: the last one: "store" or a peer's name.
      renumbered: what is added to the store's numbers for builds that don't know its eras, so that
        they also rise for these after a rollback.
      lapsed: vanished endpoints, by identifier.
      ready_by_service: cache, cleared when an endpoint changes.
    """

    clock: clock.Clock
    endpoints: dict[str, traffic.Endpoint] = dataclasses.field(default_factory=dict)
    by_name: dict[str, str] = dataclasses.field(default_factory=dict)
    revision: int = -1
    changed_revision: int = -1
    confirmed_ms: int = 0
    source: str = ""
    renumbered: int = 0
    lapsed: dict[str, Lapsed] = dataclasses.field(default_factory=dict)
    ready_by_service: dict[str, list[traffic.Endpoint]] = dataclasses.field(default_factory=dict)
    drains: drain_notices.DrainNotices = dataclasses.field(init=False)
    versions: version_history.VersionHistory = dataclasses.field(init=False)
    rolled_back: rollback.RollbackFilter = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.rolled_back = rollback.RollbackFilter(self.clock)
        self.drains = drain_notices.DrainNotices(self.clock)
        self.versions = version_history.VersionHistory(self.clock)

    def replace(
        self,
        endpoints: Iterable[traffic.Endpoint],
        revision: int,
        source: str,
        unreadable: frozenset[str] = frozenset(),
    ) -> list[EndpointChange]:
        """Replace all endpoints, unless the list is stale; return the changes.

        Args:
          unreadable: endpoints whose entries can't be decoded.
        """
        if revision < self.revision:
            return []
        is_rollback = self.is_rollback(revision)
        if is_rollback:
            self._prepare_rollback(revision)
        used = self.rolled_back.applied(endpoints)
        fresh = {endpoint.id: self.drains.applied(endpoint) for endpoint in used}
        by_name = {endpoint.stable_name(): endpoint.id for endpoint in fresh.values()}
        changes = []
        for endpoint in self.endpoints.values():
            if endpoint.id not in fresh:
                name = endpoint.stable_name()
                successor = fresh.get(by_name.get(name, ""))
                change = EndpointChange(
                    endpoint.id,
                    revision,
                    None,
                    name in unreadable,
                    successor is not None,
                    successor,
                )
                changes.append(change)
                self._note_end(endpoint, change)
        for endpoint in fresh.values():
            if self.endpoints.get(endpoint.id) != endpoint:
                changes.append(EndpointChange(endpoint.id, revision, endpoint))
        self.endpoints, self.by_name = fresh, by_name
        changes += self._end_substitutes(revision)
        self._confirm(revision, source, bool(changes) or is_rollback)
        return changes

    def is_rollback(self, revision: int) -> bool:
        """Return whether a revision is of a later era than what is known."""
        return revisions.era(revision) > revisions.era(self.revision) >= 0

    def _prepare_rollback(self, revision: int) -> None:
        """Keep what is known better than by an older copy of the source's entries."""
        lost = revisions.number(self.revision) - revisions.number(revision)
        self.renumbered += max(0, lost + 1)
        known = [*self.endpoints.values(), *self.rolled_back.drained()]
        for endpoint in known:
            if endpoint.state is traffic.EndpointState.DRAINING:
                self.drains.note(endpoint, alive_ms=0)
        self.rolled_back.begin(self.endpoints.values())

    def apply(
        self, changes: Iterable[EndpointChange], revision: int, source: str
    ) -> list[EndpointChange]:
        """Apply changes up to a revision, unless stale; return those that took effect."""
        if revision < self.revision:
            return []
        applied: list[EndpointChange] = []
        for change in changes:
            if change.revision > self.revision:
                applied += self._apply(change)
        applied += self._end_substitutes(revision)
        self._confirm(revision, source, bool(applied))
        return applied

    def _apply(self, received: EndpointChange) -> list[EndpointChange]:
        """Apply one change; return the incarnations' changes."""
        changes = []
        self.rolled_back.written(received.id)
        before = self.by_name.get(received.id)
        endpoint = self.drains.applied(received.endpoint) if received.endpoint is not None else None
        now = endpoint.id if endpoint is not None else None
        if before is not None and before != now:
            change = EndpointChange(
                before,
                received.revision,
                None,
                received.is_unreadable,
                endpoint is not None,
                endpoint,
            )
            changes.append(change)
            del self.by_name[received.id]
            self._note_end(self.endpoints.pop(before), change)
        if endpoint is not None:
            self.rolled_back.note_listed([endpoint.id])
        if endpoint is not None and self.endpoints.get(endpoint.id) != endpoint:
            changes.append(EndpointChange(endpoint.id, received.revision, endpoint))
            self.endpoints[endpoint.id] = endpoint
            self.by_name[received.id] = endpoint.id
        return changes

    def note_draining(self, endpoint: traffic.Endpoint, alive_ms: int) -> bool:
        """Record that an endpoint announced that it drains.

        Args:
          endpoint: the incarnation to which the request was sent.
          alive_ms: time of day at which the answering process was alive.
        Returns:
          Whether the notice is new or changes a listed endpoint's state.
        """
        is_new = self.drains.note(endpoint, alive_ms)
        self.lapsed.pop(endpoint.id, None)
        listed = self.endpoints.get(self.by_name.get(endpoint.stable_name(), ""))
        if listed is None:
            return is_new
        draining = self.drains.applied(listed)
        if draining == listed:
            return is_new
        self.endpoints[listed.id] = draining
        self.ready_by_service = {}
        return True

    def _confirm(self, revision: int, source: str, changed: bool) -> None:
        for listed in self.drains.prune():
            if listed.id in self.endpoints:
                self.endpoints[listed.id] = listed
                self.ready_by_service = {}
        if changed:
            self.versions.update(self.endpoints.values())
            self.changed_revision = revision
            self.ready_by_service = {}
        self.revision = revision
        self.confirmed_ms = self.clock.now()
        self.source = source

    def _end_substitutes(self, revision: int) -> list[EndpointChange]:
        """Use entries as the source lists them, whose endpoints didn't write them in time."""
        changes = []
        for substitute in self.rolled_back.prune():
            used, listed = substitute.used, substitute.listed
            self.endpoints.pop(used.id, None)
            self.by_name.pop(used.stable_name(), None)
            if listed is None:
                change = EndpointChange(used.id, revision, None)
                self._note_end(used, change)
                # The source lost its entry and did not remove it.
                self.rolled_back.note_listed([used.id])
            else:
                listed = self.drains.applied(listed)
                change = EndpointChange(listed.id, revision, listed)
                self.endpoints[listed.id] = listed
                self.by_name[listed.stable_name()] = listed.id
            changes.append(change)
        return changes

    def sent_number(self, revision: int) -> int:
        """Return the number to send to other nodes for a revision."""
        return revisions.number(revision) + self.renumbered

    def sent_era(self) -> int:
        """Return the era to send to other nodes."""
        return max(0, revisions.era(self.changed_revision))

    def as_listed(self) -> list[traffic.Endpoint]:
        """Return the endpoints for other nodes, which know for themselves what a copy lacks."""
        found = [self.rolled_back.as_listed(endpoint) for endpoint in self.endpoints.values()]
        return [endpoint for endpoint in found if endpoint is not None]

    def _note_end(self, vanished: traffic.Endpoint, change: EndpointChange) -> None:
        """Record an endpoint's end, as lapsed if it vanished unannounced."""
        if change.is_unreadable or change.is_restarted:
            return
        self.drains.vanished(vanished)
        self.rolled_back.note_end(vanished)
        now = self.clock.now()
        for name in [name for name, one in self.lapsed.items() if self._is_expired(one, now)]:
            del self.lapsed[name]
        if vanished.state is traffic.EndpointState.READY:
            self.lapsed[vanished.id] = Lapsed(vanished, now)

    @staticmethod
    def _is_expired(lapsed: Lapsed, now: int) -> bool:
        return now - lapsed.at_ms > LAPSE_MS

    def ready(self, service: str) -> list[traffic.Endpoint]:
        """Return a service's endpoints that accept new requests, by identifier."""
        found = self.ready_by_service.get(service)
        if found is None:
            found = self.ready_by_service[service] = self._listed_as_ready(service)
        if self.rolled_back.substitutes:
            found = self._without_overdue(service, found)
        if not self.lapsed:
            return found
        vanished = self._vanished(service)
        if len(vanished) < MIN_LAPSED or len(vanished) <= len(found):
            return found
        return sorted(found + vanished, key=lambda endpoint: endpoint.id)

    def _listed_as_ready(self, service: str) -> list[traffic.Endpoint]:
        found = [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.service == service and endpoint.state is traffic.EndpointState.READY
        ]
        return sorted(found, key=lambda endpoint: endpoint.id)

    def _without_overdue(
        self, service: str, found: list[traffic.Endpoint]
    ) -> list[traffic.Endpoint]:
        """Return those that an older copy of the source has, or may have soon.

        If most of a service's endpoints seem to have ended before, their entries had lapsed.
        """
        lives = [one for one in found if not self.rolled_back.is_overdue(one)]
        doubtful = [
            one.listed
            for one in self.rolled_back.substitutes.values()
            if one.listed is not None
            and one.listed.service == service
            and one.used.id == one.listed.id
            and self.drains.applied(one.listed).state is traffic.EndpointState.READY
        ]
        if len(doubtful) < MIN_LAPSED or len(doubtful) <= len(lives):
            return lives
        return sorted(lives + doubtful, key=lambda endpoint: endpoint.id)

    def _vanished(self, service: str) -> list[traffic.Endpoint]:
        """Return a service's lapsed endpoints that are not listed again."""
        now = self.clock.now()
        return [
            one.endpoint
            for name, one in self.lapsed.items()
            if one.endpoint.service == service
            and name not in self.endpoints
            and not self._is_expired(one, now)
        ]

    def age_ms(self) -> int:
        """Return the time since the last confirmation."""
        return self.clock.now() - self.confirmed_ms
