"""Questions to slot owners, repeated until answered or given up.

Owners change and messages get lost. Every question may therefore be asked more
than once, of different nodes; owners answer a repeated question as the first.
"""

import dataclasses
import enum

from plumarch.core import context, messages
from plumarch.recovery import ledger

RESEND_MS = 300
MOVED_WAIT_MS = 100
GIVE_UP_MS = 3_000
"""How long a question stays open: longer than an owner's wait for its permission."""

OwnerRequest = messages.Claim | messages.Settle | messages.Rehome | messages.Lookup


class Kind(enum.StrEnum):
    """What is asked."""

    CLAIM = "claim"
    REFUSE = "refuse"
    SETTLE = "settle"
    REHOME = "rehome"
    RECORD = "record"
    LOOKUP = "lookup"


@dataclasses.dataclass(slots=True)
class Inquiry:
    """A question on its way."""

    kind: Kind
    subject: str
    message: OwnerRequest
    give_up_ms: int
    next_send_ms: int
    tries: int = 0


class Inquiries:
    """The open questions of this node, by kind and subject."""

    def __init__(self, ctx: context.Context, slots_known: ledger.Ledger) -> None:
        self.ctx = ctx
        self.ledger = slots_known
        self.open: dict[tuple[Kind, str], Inquiry] = {}

    def submit(
        self,
        kind: Kind,
        subject: str,
        message: OwnerRequest,
        timeout_ms: int = GIVE_UP_MS,
        delay_ms: int = 0,
    ) -> None:
        """Ask a question.

        Args:
          kind: what is asked.
          subject: the request or lookup that it is for.
          message: the question; its slot says whom to ask.
          timeout_ms: after this long it is given up.
          delay_ms: how long to wait before it is sent for the first time.
        """
        now = self.ctx.now()
        inquiry = Inquiry(kind, subject, message, now + timeout_ms, now + delay_ms)
        self.open[(kind, subject)] = inquiry
        if not delay_ms:
            self._send(inquiry)

    def _send(self, inquiry: Inquiry) -> None:
        route = self.ledger.owner_of(inquiry.message.slot)
        now = self.ctx.now()
        if route is None:
            inquiry.next_send_ms = now + MOVED_WAIT_MS
            return
        inquiry.next_send_ms = now + RESEND_MS
        inquiry.tries += 1
        self.ctx.send(route.owner, inquiry.message)

    def resolve(self, kind: Kind, subject: str, verdict: messages.Verdict) -> Inquiry | None:
        """Take in an answer.

        Returns:
          The inquiry that it ends, or None if it ends none: it is late, or the owner
          has moved and the question is asked again.
        """
        inquiry = self.open.get((kind, subject))
        if inquiry is None:
            self.ctx.count("stale_replies", label=kind)
            return None
        if verdict is messages.Verdict.MOVED:
            inquiry.next_send_ms = self.ctx.now() + MOVED_WAIT_MS
            return None
        return self.open.pop((kind, subject))

    def forget(self, kind: Kind, subject: str) -> None:
        """Stop asking."""
        self.open.pop((kind, subject), None)

    def tick(self) -> list[Inquiry]:
        """Repeat unanswered questions.

        Returns:
          Those that were given up just now.
        """
        now = self.ctx.now()
        given_up = []
        for inquiry in list(self.open.values()):
            if now >= inquiry.give_up_ms:
                del self.open[(inquiry.kind, inquiry.subject)]
                given_up.append(inquiry)
            elif now >= inquiry.next_send_ms:
                self._send(inquiry)
        return given_up
