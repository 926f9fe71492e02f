"""Copies of accepted requests that this node holds for nodes in other data centres.

A copy is the request, not its tokens. When its home is gone, the holder becomes
the home, if the owner of the key's slot agrees.
"""

import dataclasses

from plumarch.core import context, data, messages

COPY_LIMIT = 2_000
"""Copies held at most; a further one is declined, and its home asks another node."""

COPY_BYTES_LIMIT = 16 * 1024 * 1024
"""Bytes of request bodies held in copies at most."""

RETENTION_MS = 3_600_000
"""A copy whose home lives on but never drops it is dropped after this long."""


@dataclasses.dataclass(slots=True)
class Copy:
    """A request held for its home."""

    request: data.Request
    home: str
    attempt: int
    since_ms: int


class Copies:
    """The copies that this node holds."""

    def __init__(self, ctx: context.Context) -> None:
        self.ctx = ctx
        self.held: dict[str, Copy] = {}
        self.bytes = 0

    def put(self, sender: str, m: messages.CopyPut) -> None:
        """Hold a copy, or decline it at the limit."""
        known = self.held.get(m.request.id)
        if known is not None:
            if m.attempt >= known.attempt:
                known.home = sender
                known.attempt = m.attempt
            self.ctx.send(sender, messages.CopyAck(m.request.id, True))
            return
        size = len(m.request.body)
        if len(self.held) >= COPY_LIMIT or self.bytes + size > COPY_BYTES_LIMIT:
            self.ctx.count("copies_declined", m.request.workspace)
            self.ctx.send(sender, messages.CopyAck(m.request.id, False))
            return
        self.held[m.request.id] = Copy(m.request, sender, m.attempt, self.ctx.now())
        self.bytes += size
        self.ctx.send(sender, messages.CopyAck(m.request.id, True))

    def drop(self, request_id: str) -> None:
        """Forget a copy."""
        copy = self.held.pop(request_id, None)
        if copy is not None:
            self.bytes -= len(copy.request.body)

    def of_home(self, node: str) -> list[Copy]:
        """Return the copies held for a home, oldest first."""
        return [copy for copy in self.held.values() if copy.home == node]

    def expire(self) -> None:
        """Drop copies that nobody has asked for in a long time."""
        now = self.ctx.now()
        old = [c.request.id for c in self.held.values() if now - c.since_ms > RETENTION_MS]
        for request_id in old:
            self.drop(request_id)
