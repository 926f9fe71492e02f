"""Key records of requests that were accepted while the slot's owner was unreachable.

Callers find the home through the record, so it is requested until written or the request ends.
"""

from plumarch.core import context, messages
from plumarch.node import runs
from plumarch.recovery import inquiries, keys

RECORD_TIMEOUT_MS = 30_000
"""Timeout of a request for a record; longer than a takeover."""

RETRY_PAUSE_MS = 2_000
"""Pause after an owner failed to replicate the record, for which it leaves the key pending; equal
to ledger.OPERATION_TIMEOUT_MS."""


def rehome_message(run: runs.Run) -> messages.Rehome:
    """Build the message that records this node as home."""
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
    """Pending requests for records."""

    def __init__(
        self, ctx: context.Context, owner_requests: inquiries.Inquiries, table: runs.RunTable
    ) -> None:
        self.ctx = ctx
        self.owner_requests = owner_requests
        self.table = table

    def request_record(self, run: runs.Run, delay_ms: int = 0) -> None:
        """Request a record that names this node as home."""
        message = rehome_message(run)
        self.owner_requests.submit(
            inquiries.Kind.RECORD, run.request.id, message, RECORD_TIMEOUT_MS, delay_ms
        )

    def forget(self, run: runs.Run) -> None:
        """Cancel the request for a run's record."""
        self.owner_requests.forget(inquiries.Kind.RECORD, run.request.id)

    def is_pending(self, request_id: str) -> bool:
        """Return whether a record is being requested."""
        return (inquiries.Kind.RECORD, request_id) in self.owner_requests.open

    def handle_answer(self, m: messages.RehomeAnswer) -> None:
        """Handle the answer."""
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
            self.ctx.note(run.request, "record", home, "the key belongs to another request")
        else:
            self.request_record(run, RETRY_PAUSE_MS)

    def handle_timeout(self, run: runs.Run) -> None:
        """Request the record again."""
        self.ctx.note(run.request, "record", "", "no owner of the key's slot has answered yet")
        self.request_record(run)


def must_settle(run: runs.Run) -> bool:
    """Return whether to settle a run without a record.

    Only an accepted run may have run here.
    """
    return run.waits() and run.acceptance_sent
