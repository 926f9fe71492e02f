"""The origins that the streams of each route may have, as all nodes list them in one record.

A process that has just started knows nothing of the streams that began before. If the list names a
single origin for a route, all of the route's streams began there.
"""

import dataclasses
from collections.abc import Iterable, Mapping

from plumarch.routing import stream_origins

CLOCK_TOLERANCE_MS = 5_000
"""Maximum difference between two machines' times of day."""

RETENTION_MS = 600_000
"""How long an origin that is no longer in use stays in the list."""

MAX_USES = 1_024
"""Maximum origins in the list."""

EndedByOrigin = Mapping[stream_origins.Origin, int | None]


@dataclasses.dataclass(frozen=True, slots=True)
class OriginUses:
    """The origins in use, and those that were.

    Attributes:
      since_ms: time of day from which the list is complete; 0 if from the fleet's first start.
      era: of the store in which it was written; an older copy of the store may lack origins.
      by_route: when each origin's use ended, by time of day; None while it is in use.
    """

    since_ms: int
    era: int
    by_route: Mapping[str, EndedByOrigin] = dataclasses.field(default_factory=dict)

    def is_in_use(self, began: stream_origins.RouteOrigin) -> bool:
        """Return whether streams of a route may begin at an origin as far as this list says."""
        ended = self.by_route.get(began.route, {})
        return began.origin in ended and ended[began.origin] is None

    def in_use(self) -> list[stream_origins.RouteOrigin]:
        """Return the origins in use."""
        return [
            stream_origins.RouteOrigin(route, origin)
            for route, ended in self.by_route.items()
            for origin, at in ended.items()
            if at is None
        ]

    def sole(self, route: str, now_ms: int, within_ms: int) -> stream_origins.Origin | None:
        """Return where all streams of a route began within a time, if that is one origin.

        Args:
          now_ms: time of day.
        """
        limit_ms = within_ms + CLOCK_TOLERANCE_MS
        if self.since_ms and now_ms - self.since_ms <= limit_ms:
            return None
        ended = self.by_route.get(route, {})
        found = [one for one, at in ended.items() if at is None or now_ms - at <= limit_ms]
        return found[0] if len(found) == 1 else None

    def with_begun(self, begun: Iterable[stream_origins.RouteOrigin]) -> "OriginUses":
        """Return the list with more origins in use."""
        return self._with(dict.fromkeys(begun))

    def with_ended(self, unused: Iterable[stream_origins.RouteOrigin], now_ms: int) -> "OriginUses":
        """Return the list with origins whose use ends now."""
        return self._with(dict.fromkeys(unused, now_ms))

    def _with(self, changed: Mapping[stream_origins.RouteOrigin, int | None]) -> "OriginUses":
        by_route = {route: dict(ended) for route, ended in self.by_route.items()}
        for began, ended_ms in changed.items():
            by_route.setdefault(began.route, {})[began.origin] = ended_ms
        return dataclasses.replace(self, by_route=by_route)

    def pruned(self, now_ms: int) -> "OriginUses":
        """Return the list without origins that ended long ago.

        If it is still longer than MAX_USES, it is empty and counts as incomplete until now.
        """
        by_route = {
            route: {
                one: at for one, at in ended.items() if at is None or now_ms - at < RETENTION_MS
            }
            for route, ended in self.by_route.items()
        }
        if sum(map(len, by_route.values())) > MAX_USES:
            return OriginUses(now_ms, self.era)
        return dataclasses.replace(
            self, by_route={route: ended for route, ended in by_route.items() if ended}
        )


@dataclasses.dataclass(frozen=True, slots=True)
class KnownUses:
    """A node's copy of the list.

    Attributes:
      read_ms: steady time at which it was complete.
    """

    uses: OriginUses
    read_ms: int
