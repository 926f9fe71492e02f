"""Records for accepted requests whose key's slot owner could not be asked in time.

Such a request is accepted with a promise weakened, since its caller would else wait for an owner
that may be lost. Its key still has to be known to whoever owns the slot next: a caller that asks
for the result by the key is sent to the request's home by that record. So the home goes on asking
until the record stands or the request has ended.
"""

from plumarch.core import context, messages
from plumarch.node import runs
from plumarch.recovery import inquiries, keys

RECORD_TIMEOUT_MS = 30_000
"""How long one question stays open. A judgement: far longer than a slot is without owner (the
owner's 2.5 s of silence, then a write to the platform); afterwards it is asked anew."""

RETRY_PAUSE_MS = 2_000
"""Pause after an owner could not make the record permanent. While it tries, which takes as long
(ledger.OPERATION_TIMEOUT_MS), it answers no other question about the key."""


def rehome_message(run: runs.Run) -> messages.Rehome:
    """Return the message that makes this node the home in a run's record."""
    request = run.request
    return messages.Rehome(
        keys.slot_of(request.workspace, request.key),
        request.workspace,
        request.key,
        request.id,
        request.fingerprint,
        run.home_attempt,
        run.waits(),
    )


class LateRecords:
    """The open questions for records of accepted requests."""

    def __init__(
        self, ctx: context.Context, owner_requests: inquiries.Inquiries, table: runs.RunTable
    ) -> None:
        self.ctx = ctx
        self.owner_requests = owner_requests
        self.table = table

    def request_record(self, run: runs.Run, delay_ms: int = 0) -> None:
        """Ask the slot's owner, whoever it will be, for a record that names this home."""
        message = rehome_message(run)
        self.owner_requests.submit(
            inquiries.Kind.RECORD, run.request.id, message, RECORD_TIMEOUT_MS, delay_ms
        )

    def forget(self, run: runs.Run) -> None:
        """Stop asking for a run."""
        self.owner_requests.forget(inquiries.Kind.RECORD, run.request.id)

    def is_pending(self, request_id: str) -> bool:
        """Return whether a record is asked for."""
        return (inquiries.Kind.RECORD, request_id) in self.owner_requests.open

    def handle_answer(self, m: messages.RehomeAnswer) -> None:
        """Act on the slot owner's answer."""
        inquiry = self.owner_requests.resolve(inquiries.Kind.RECORD, m.request_id, m.verdict)
        run = self.table.active.get(m.request_id)
        if inquiry is None or run is None:
            return
        if m.verdict is messages.Verdict.GRANTED:
            run.recorded = True
            run.weakened = ""
            self.ctx.note(run.request, "record", self.ctx.node, "the key is recorded after all")
        elif m.verdict is messages.Verdict.EXISTS:
            home = m.record.home if m.record else ""
            self.ctx.note(run.request, "record", home, "the key stands for another request")
        else:
            self.request_record(run, RETRY_PAUSE_MS)

    def handle_timeout(self, run: runs.Run) -> None:
        """Ask anew, since the request is still in progress."""
        self.ctx.note(run.request, "record", "", "no owner of the key's slot has answered yet")
        self.request_record(run)


def must_settle(run: runs.Run) -> bool:
    """Return whether the end of a run is to be told to the slot's owner though it has no record.

    That an accepted request ran is a fact that may be recorded also without a grant; one that was
    never accepted did not run here.
    """
    return run.waits() and run.acceptance_sent
