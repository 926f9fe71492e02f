"""Endpoints that announced in answers that they drain.

An announcement is newer than any entry of the same process, so it overrides a ready one.
"""

import dataclasses

from plumarch.core import clock, traffic

RETENTION_MS = 600_000
"""How long a notice counts after the last answer with it; then a listed ready endpoint is used."""

MAX_KEPT = 8_192
"""Maximum notices; the oldest are dropped first."""


@dataclasses.dataclass(slots=True)
class DrainNotice:
    """An announcement that an endpoint drains.

    Attributes:
      id: the incarnation to which the request was sent.
      alive_ms: time of day at which the announcing process was alive.
      announced_ms: last announcement, by the steady clock.
      listed: its last entry since then, or None.
      is_gone: whether its entry has vanished since then.
    """

    id: str
    alive_ms: int
    announced_ms: int
    listed: traffic.Endpoint | None = None
    is_gone: bool = False


@dataclasses.dataclass(slots=True)
class DrainNotices:
    """Current notices, by the endpoint's own name."""

    clock: clock.Clock
    known: dict[str, DrainNotice] = dataclasses.field(default_factory=dict)

    def note(self, endpoint: traffic.Endpoint, alive_ms: int) -> bool:
        """Record that an endpoint drains; return whether the notice is new.

        Args:
          endpoint: the incarnation addressed; after a restart that is not listed yet, the next
            process may have answered.
          alive_ms: time of day at which the connection to the answering process was opened.
        """
        name, now = endpoint.stable_name(), self.clock.now()
        before = self.known.get(name)
        if before is not None and before.id == endpoint.id:
            before.alive_ms = max(before.alive_ms, alive_ms)
            before.announced_ms = now
            return False
        self.known.pop(name, None)
        self.known[name] = DrainNotice(endpoint.id, alive_ms, now)
        while len(self.known) > MAX_KEPT:
            del self.known[next(iter(self.known))]
        return True

    def applied(self, listed: traffic.Endpoint) -> traffic.Endpoint:
        """Return an endpoint as draining if it announced that, else as listed."""
        notice = self.known.get(listed.stable_name())
        if notice is None:
            return listed
        if notice.is_gone and not listed.born_ms and listed.id == notice.id:
            # Without a start time, a new entry is the only sign of a restart.
            del self.known[listed.stable_name()]
            return listed
        if not listed.may_have_answered(notice.id, notice.alive_ms):
            notice.listed = None
            return listed
        notice.listed, notice.is_gone = listed, False
        if listed.state is traffic.EndpointState.DRAINING:
            return listed
        return dataclasses.replace(listed, state=traffic.EndpointState.DRAINING)

    def vanished(self, endpoint: traffic.Endpoint) -> None:
        """Record that an entry is gone."""
        notice = self.known.get(endpoint.stable_name())
        if notice is not None:
            notice.listed, notice.is_gone = None, True

    def in_force(self) -> list[str]:
        """Return listed endpoints that drain by a notice."""
        return [name for name, notice in self.known.items() if notice.listed is not None]

    def prune(self) -> list[traffic.Endpoint]:
        """Drop expired notices; return the listed entries to which they applied."""
        now = self.clock.now()
        old = [
            name for name, notice in self.known.items() if now - notice.announced_ms >= RETENTION_MS
        ]
        notices = [self.known.pop(name) for name in old]
        return [notice.listed for notice in notices if notice.listed is not None]
