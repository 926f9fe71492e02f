"""Endpoints that announced in answers to requests that they drain.

A source of endpoints may be silent for long, and an endpoint's own entry can't change meanwhile.
What its process announces is newer than any entry of that process, so a list that has it as ready
changes nothing. No I/O; the registry asks here for each entry that it applies.
"""

import dataclasses

from plumarch.core import clock, traffic

RETENTION_MS = 600_000
"""How long a notice counts after the last answer with it. Endpoints that drain are gone within
seconds, or minutes where long streams end first; one that is still listed as ready then stays."""

MAX_KEPT = 8_192
"""Notices that are kept, some 300 bytes each; over twice the endpoints of the largest fleet."""


@dataclasses.dataclass(slots=True)
class DrainNotice:
    """What an endpoint announced.

    Attributes:
      id: the incarnation that was asked.
      alive_ms: time of day at which the process that announced it was alive for certain.
      announced_ms: when it did so last, by the steady clock.
      listed: its entry as the source listed it last, or None if it listed none since.
      is_gone: whether its entry has vanished since.
    """

    id: str
    alive_ms: int
    announced_ms: int
    listed: traffic.Endpoint | None = None
    is_gone: bool = False


@dataclasses.dataclass(slots=True)
class DrainNotices:
    """The notices that count, by what the endpoint calls itself."""

    clock: clock.Clock
    known: dict[str, DrainNotice] = dataclasses.field(default_factory=dict)

    def note(self, endpoint: traffic.Endpoint, alive_ms: int) -> bool:
        """Note that an endpoint announces that it drains.

        Args:
          endpoint: the incarnation that was asked; its name may have started again since its entry
            was written, and then another process has answered.
          alive_ms: time of day at which the connection to the process that answered came up.
        Returns:
          Whether that is news.
        """
        name, now = endpoint.called(), self.clock.now()
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
        """Return an endpoint with its state as it announced it itself, whatever its entry lists."""
        notice = self.known.get(listed.called())
        if notice is None:
            return listed
        if notice.is_gone and not listed.born_ms and listed.id == notice.id:
            # It lists no birth, so an entry that comes back is the only sign of a new start.
            del self.known[listed.called()]
            return listed
        if not listed.is_meant(notice.id, notice.alive_ms):
            notice.listed = None
            return listed
        notice.listed, notice.is_gone = listed, False
        if listed.state is traffic.EndpointState.DRAINING:
            return listed
        return dataclasses.replace(listed, state=traffic.EndpointState.DRAINING)

    def vanished(self, endpoint: traffic.Endpoint) -> None:
        """Note that an endpoint's entry is gone."""
        notice = self.known.get(endpoint.called())
        if notice is not None:
            notice.listed, notice.is_gone = None, True

    def in_force(self) -> list[str]:
        """Return the names of listed endpoints that are left out by their notice."""
        return [name for name, notice in self.known.items() if notice.listed is not None]

    def prune(self) -> list[traffic.Endpoint]:
        """Forget what was announced too long ago.

        Returns:
          The entries that count again as they are listed.
        """
        now = self.clock.now()
        old = [
            name for name, notice in self.known.items() if now - notice.announced_ms >= RETENTION_MS
        ]
        notices = [self.known.pop(name) for name in old]
        return [notice.listed for notice in notices if notice.listed is not None]
