"""The endpoints that exist, from a list-and-watch source or from a peer.

A snapshot or a batch of changes counts only if its revision is newer than what is held, so
that what a peer hands on and what the source tells may overtake one another.
"""

import dataclasses
from collections.abc import Iterable

from plumarch.core import clock, traffic
from plumarch.membership import drain_notices

LAPSE_MS = 1_400
"""How long endpoints that vanished without notice, most of a service at once, are still used."""

MIN_LAPSED = 2
"""A single endpoint that vanishes is taken as gone at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointChange:
    """An endpoint that came, changed, or is gone (endpoint None).

    Attributes:
      id: what the endpoint calls itself, as a source tells of it; the incarnation's identifier, as
        the registry tells what changed.
      revision: the source's revision of the change.
      is_unreadable: whether its entry stands and can't be read: it is not used on for a while, as
        one is whose entry vanished.
      is_restarted: whether it is gone because its process has started again: its entry stands, and
        names another incarnation.
    """

    id: str
    revision: int
    endpoint: traffic.Endpoint | None
    is_unreadable: bool = False
    is_restarted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Lapsed:
    """An endpoint that took new work until its entry vanished without notice."""

    endpoint: traffic.Endpoint
    at_ms: int


@dataclasses.dataclass(slots=True)
class Registry:
    """The endpoints, and how fresh the knowledge is.

    Entries may lapse while the source itself is away, and come back soon after it does. Where
    fewer endpoints of a service are left than vanished just now, those are used on for a while.

    Attributes:
      endpoints: by identifier; one that said itself that it leaves is draining here, whatever its
        entry tells.
      by_name: the incarnation that each endpoint is now, by what it calls itself.
      lapsed: endpoints that vanished without notice, by identifier.
      ready_by_service: those that take new work, kept until an endpoint changes.
      revision: the source's revision up to which all changes are known.
      changed_revision: the revision at which something changed last; other nodes need not fetch
        what is confirmed beyond it.
      confirmed_ms: when that was last confirmed.
      source: who told last: "store" or a peer's name.
    """

    clock: clock.Clock
    endpoints: dict[str, traffic.Endpoint] = dataclasses.field(default_factory=dict)
    by_name: dict[str, str] = dataclasses.field(default_factory=dict)
    revision: int = -1
    changed_revision: int = -1
    confirmed_ms: int = 0
    source: str = ""
    lapsed: dict[str, Lapsed] = dataclasses.field(default_factory=dict)
    ready_by_service: dict[str, list[traffic.Endpoint]] = dataclasses.field(default_factory=dict)
    drains: drain_notices.DrainNotices = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.drains = drain_notices.DrainNotices(self.clock)

    def replace(
        self,
        endpoints: Iterable[traffic.Endpoint],
        revision: int,
        source: str,
        unreadable: frozenset[str] = frozenset(),
    ) -> list[EndpointChange]:
        """Take a whole list.

        Args:
          unreadable: identifiers whose entries can't be read.
        Returns:
          What changed by it; nothing if the list is older than what is held.
        """
        if revision < self.revision:
            return []
        fresh = {endpoint.id: self.drains.applied(endpoint) for endpoint in endpoints}
        by_name = {endpoint.called(): endpoint.id for endpoint in fresh.values()}
        changes = []
        for endpoint in self.endpoints.values():
            if endpoint.id not in fresh:
                name = endpoint.called()
                change = EndpointChange(
                    endpoint.id, revision, None, name in unreadable, name in by_name
                )
                changes.append(change)
                self._note_end(endpoint, change)
        for endpoint in fresh.values():
            if self.endpoints.get(endpoint.id) != endpoint:
                changes.append(EndpointChange(endpoint.id, revision, endpoint))
        self.endpoints, self.by_name = fresh, by_name
        self._confirm(revision, source, bool(changes))
        return changes

    def apply(
        self, changes: Iterable[EndpointChange], revision: int, source: str
    ) -> list[EndpointChange]:
        """Take changes up to a revision.

        Returns:
          Those that were news.
        """
        if revision < self.revision:
            return []
        news: list[EndpointChange] = []
        for change in changes:
            if change.revision > self.revision:
                news += self._apply(change)
        self._confirm(revision, source, bool(news))
        return news

    def _apply(self, told: EndpointChange) -> list[EndpointChange]:
        """Take one change; return what it changes of incarnations."""
        news = []
        before = self.by_name.get(told.id)
        endpoint = self.drains.applied(told.endpoint) if told.endpoint is not None else None
        now = endpoint.id if endpoint is not None else None
        if before is not None and before != now:
            change = EndpointChange(
                before, told.revision, None, told.is_unreadable, endpoint is not None
            )
            news.append(change)
            del self.by_name[told.id]
            self._note_end(self.endpoints.pop(before), change)
        if endpoint is not None and self.endpoints.get(endpoint.id) != endpoint:
            news.append(EndpointChange(endpoint.id, told.revision, endpoint))
            self.endpoints[endpoint.id] = endpoint
            self.by_name[told.id] = endpoint.id
        return news

    def note_draining(self, endpoint: traffic.Endpoint, alive_ms: int) -> bool:
        """Take in that an endpoint says itself that it leaves.

        Args:
          endpoint: the incarnation that was asked.
          alive_ms: time of day at which the process that answered was alive for certain.
        Returns:
          Whether that is news, or makes a listed endpoint a leaving one.
        """
        is_news = self.drains.note(endpoint, alive_ms)
        self.lapsed.pop(endpoint.id, None)
        listed = self.endpoints.get(self.by_name.get(endpoint.called(), ""))
        if listed is None:
            return is_news
        as_said = self.drains.applied(listed)
        if as_said == listed:
            return is_news
        self.endpoints[listed.id] = as_said
        self.ready_by_service = {}
        return True

    def _confirm(self, revision: int, source: str, changed: bool) -> None:
        for listed in self.drains.prune():
            if listed.id in self.endpoints:
                self.endpoints[listed.id] = listed
                self.ready_by_service = {}
        if changed:
            self.changed_revision = revision
            self.ready_by_service = {}
        self.revision = revision
        self.confirmed_ms = self.clock.now()
        self.source = source

    def _note_end(self, vanished: traffic.Endpoint, change: EndpointChange) -> None:
        """Note an endpoint to be used on for a while, if its entry vanished without notice."""
        if change.is_unreadable or change.is_restarted:
            return
        self.drains.vanished(vanished)
        now = self.clock.now()
        for name in [name for name, one in self.lapsed.items() if self._is_over(one, now)]:
            del self.lapsed[name]
        if vanished.state is traffic.EndpointState.READY:
            self.lapsed[vanished.id] = Lapsed(vanished, now)

    @staticmethod
    def _is_over(lapsed: Lapsed, now: int) -> bool:
        return now - lapsed.at_ms > LAPSE_MS

    def ready(self, service: str) -> list[traffic.Endpoint]:
        """Return the endpoints of a service that take new work, by identifier."""
        found = self.ready_by_service.get(service)
        if found is None:
            found = self.ready_by_service[service] = self._listed_as_ready(service)
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

    def _vanished(self, service: str) -> list[traffic.Endpoint]:
        """Return the endpoints of a service that vanished just now and are not back."""
        now = self.clock.now()
        return [
            one.endpoint
            for name, one in self.lapsed.items()
            if one.endpoint.service == service
            and name not in self.endpoints
            and not self._is_over(one, now)
        ]

    def age_ms(self) -> int:
        """Return how long ago the registry was last confirmed."""
        return self.clock.now() - self.confirmed_ms
