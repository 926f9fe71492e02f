"""Copies of accepted requests held for homes in other data centres.

They have no tokens. The holder replaces a lost home with the slot owner's consent.
"""

import dataclasses

from plumarch.core import context, data, messages

COPY_LIMIT = 2_000
"""Maximum copies; others go to another node."""

COPY_BYTES_LIMIT = 16 * 1024 * 1024
"""Maximum total size of the request bodies."""

RETENTION_MS = 3_600_000
"""Age at which an unreleased copy is dropped."""


@dataclasses.dataclass(slots=True)
class Copy:
    """A copy and the home it is held for."""

    request: data.Request
    home: str
    attempt: int
    since_ms: int


class Copies:
    """The copies held here."""

    def __init__(self, ctx: context.Context) -> None:
        self.ctx = ctx
        self.held: dict[str, Copy] = {}
        self.bytes = 0

    def put(self, sender: str, m: messages.CopyPut) -> None:
        """Store a copy, or decline it at the limit."""
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
        """Remove a copy."""
        copy = self.held.pop(request_id, None)
        if copy is not None:
            self.bytes -= len(copy.request.body)

    def of_home(self, node: str) -> list[Copy]:
        """Return a home's copies, oldest first."""
        return [copy for copy in self.held.values() if copy.home == node]

    def expire(self) -> None:
        """Drop expired copies."""
        now = self.ctx.now()
        old = [c.request.id for c in self.held.values() if now - c.since_ms > RETENTION_MS]
        for request_id in old:
            self.drop(request_id)
