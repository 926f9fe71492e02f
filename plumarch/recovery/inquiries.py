"""Requests to slot owners, resent until answered or timed out.

A request may arrive several times; owners handle it idempotently.
"""

import dataclasses
import enum

from plumarch.core import context, messages
from plumarch.recovery import ledger

RESEND_MS = 300
MOVED_WAIT_MS = 100
GIVE_UP_MS = 3_000
"""Default timeout; longer than ledger.OPERATION_TIMEOUT_MS, so that the owner can answer."""

OwnerRequest = messages.Claim | messages.Settle | messages.Rehome | messages.Lookup


class Kind(enum.StrEnum):
    """Kind of request to a slot owner."""

    CLAIM = "claim"
    REFUSE = "refuse"
    SETTLE = "settle"
    REHOME = "rehome"
    RECORD = "record"
    LOOKUP = "lookup"


@dataclasses.dataclass(slots=True)
class Inquiry:
    """A pending request."""

    kind: Kind
    subject: str
    message: OwnerRequest
    give_up_ms: int
    next_send_ms: int
    tries: int = 0


class Inquiries:
    """Pending requests, by kind and subject."""

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
        """Send a message to its slot's owner and track it until answered.

        Args:
          subject: id of the caller's request or lookup.
          timeout_ms: time until it is given up.
          delay_ms: delay before it is first sent.
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
        """Match an answer to its pending request.

        Returns:
          The completed inquiry, or None if the answer is late or the slot has moved: then the
          message is sent again.
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
        """Cancel a pending request."""
        self.open.pop((kind, subject), None)

    def tick(self) -> list[Inquiry]:
        """Resend unanswered requests, and return those that just timed out."""
        now = self.ctx.now()
        given_up = []
        for inquiry in list(self.open.values()):
            if now >= inquiry.give_up_ms:
                del self.open[(inquiry.kind, inquiry.subject)]
                given_up.append(inquiry)
            elif now >= inquiry.next_send_ms:
                self._send(inquiry)
        return given_up
