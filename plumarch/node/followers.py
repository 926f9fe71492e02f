"""Local callers that read requests of other homes."""

import dataclasses
from collections.abc import Callable

from plumarch.core import context, data, events, messages
from plumarch.membership import members
from plumarch.node import runs, watchers
from plumarch.recovery import inquiries, keys

FOLLOW_LIMIT = 5_000
"""Maximum followed callers; others must retry."""

RESUBSCRIBE_MS = 1_000
"""Time without a message before subscribing again."""

LOST_HOME_MS = 10_000
"""Time in which its copy's holder may take over a lost home's request."""

GIVE_UP_MS = 45_000
"""Time without a home before the outcome is reported as unknown."""

RerunCallback = Callable[[data.Request, data.KeyRecord, str, int], None]


@dataclasses.dataclass(slots=True)
class Follow:
    """A caller and the request that it reads.

    Attributes:
      request: as sent by the caller, if it sent one.
      record: the key's last record; None during a lookup.
      last_seen_ms: time of the home's last message or of the last check.
      home_lost_ms: since when the request has no home, or 0.
    """

    watcher_id: str
    workspace: str
    key: str
    position: int
    request: data.Request | None = None
    record: data.KeyRecord | None = None
    last_seen_ms: int = 0
    home_lost_ms: int = 0
    acceptance_sent: bool = False


class Followers:
    """Local callers of requests at other homes."""

    on_rerun: RerunCallback

    def __init__(
        self,
        ctx: context.Context,
        membership: members.Membership,
        owner_requests: inquiries.Inquiries,
        table: runs.RunTable,
        readers: watchers.Watchers,
    ) -> None:
        self.ctx = ctx
        self.membership = membership
        self.owner_requests = owner_requests
        self.table = table
        self.readers = readers
        self.follows: dict[str, Follow] = {}

    def attach(self, event: events.Attach) -> None:
        """Look up and read a key's request."""
        follow = Follow(event.watcher_id, event.workspace, event.key, event.position)
        if self._add(follow):
            self._look_up(follow)

    def follow_record(
        self,
        watcher_id: str,
        position: int,
        record: data.KeyRecord,
        request: data.Request | None = None,
    ) -> None:
        """Read a recorded request for a caller."""
        follow = Follow(watcher_id, record.workspace, record.key, position, request)
        if self._add(follow):
            self._use_record(follow, record)

    def follow_home(
        self, watcher_id: str, position: int, request: data.Request, home: str, attempt: int
    ) -> None:
        """Continue reading a moved request."""
        record = data.KeyRecord(
            request.workspace,
            request.key,
            request.id,
            home,
            request.fingerprint,
            data.KeyState.GRANTED,
            attempt,
        )
        follow = Follow(
            watcher_id, request.workspace, request.key, position, request, acceptance_sent=True
        )
        if self._add(follow):
            self._use_record(follow, record)

    def _add(self, follow: Follow) -> bool:
        if len(self.follows) >= FOLLOW_LIMIT:
            self.readers.send_end(
                follow.watcher_id, "", data.Outcome.UNKNOWN, data.Reason.RUN_TABLE_FULL
            )
            return False
        follow.last_seen_ms = self.ctx.now()
        self.follows[follow.watcher_id] = follow
        return True

    def _look_up(self, follow: Follow) -> None:
        follow.record = None
        slot = keys.slot_of(follow.workspace, follow.key)
        message = messages.Lookup(slot, follow.workspace, follow.key, follow.watcher_id)
        self.owner_requests.submit(inquiries.Kind.LOOKUP, follow.watcher_id, message)

    def looked_up(self, m: messages.LookupAnswer) -> None:
        """Handle the answer to a lookup."""
        if self.owner_requests.resolve(inquiries.Kind.LOOKUP, m.lookup_id, m.verdict) is None:
            return
        follow = self.follows.get(m.lookup_id)
        if follow is None:
            return
        if m.record is not None:
            self._use_record(follow, m.record)
        elif m.verdict is messages.Verdict.ABSENT and follow.request is None:
            self._end(follow, data.Outcome.UNKNOWN, data.Reason.UNKNOWN_KEY)
        else:
            self._end(follow, data.Outcome.UNKNOWN, data.Reason.SLOT_UNCERTAIN)

    def handle_timeout(self, inquiry: inquiries.Inquiry) -> None:
        """Repeat an unanswered lookup, or give up after LOST_HOME_MS."""
        follow = self.follows.get(inquiry.subject)
        if follow is None:
            return
        now = self.ctx.now()
        follow.home_lost_ms = follow.home_lost_ms or now
        if now - follow.home_lost_ms >= LOST_HOME_MS:
            self._end(follow, data.Outcome.UNKNOWN, data.Reason.NO_OWNER)
        else:
            self._look_up(follow)

    def _use_record(self, follow: Follow, record: data.KeyRecord) -> None:
        follow.record = record
        follow.last_seen_ms = self.ctx.now()
        if record.state is data.KeyState.DONE:
            self._done_by_record(follow, record)
        elif record.state is data.KeyState.REFUSED:
            self._end(follow, data.Outcome.NOT_RUN, data.Reason.SETTLED)
        elif record.state is data.KeyState.UNKNOWN:
            self._end(follow, data.Outcome.UNKNOWN, data.Reason.INTERRUPTED)
        else:
            self._subscribe(follow, record)

    def _done_by_record(self, follow: Follow, record: data.KeyRecord) -> None:
        if record.reply is None:
            run = self.table.get(record.request_id)
            if run is not None or record.home != self.ctx.node:
                self._subscribe(follow, record)
            else:
                self._end(follow, data.Outcome.UNKNOWN, data.Reason.SETTLED)
            return
        tokens = record.reply.tokens[follow.position :]
        if tokens:
            self._send_tokens(follow, record.request_id, tokens)
        self._end(follow, data.Outcome.DONE, "", record.reply)

    def _subscribe(self, follow: Follow, record: data.KeyRecord) -> None:
        if not follow.acceptance_sent:
            follow.acceptance_sent = True
            self.ctx.act(events.TellAccepted(follow.watcher_id, record.request_id, follow.key))
        run = self.table.get(record.request_id)
        if run is not None:
            del self.follows[follow.watcher_id]
            watcher = runs.Watcher(follow.watcher_id, "", follow.position)
            self.readers.add(run, watcher)
            return
        message = messages.Subscribe(record.request_id, follow.watcher_id, follow.position)
        if record.home != self.ctx.node:
            self.ctx.send(record.home, message)

    def chunk(self, sender: str, m: messages.Chunk) -> None:
        """Forward missing tokens; subscribe again after a gap."""
        follow = self._reading(sender, m.watcher_id, m.request_id)
        if follow is None or follow.record is None:
            return
        follow.last_seen_ms = self.ctx.now()
        follow.home_lost_ms = 0
        if m.position > follow.position:
            self._subscribe(follow, follow.record)
            return
        tokens = tuple(m.tokens[follow.position - m.position :])
        if tokens:
            self._send_tokens(follow, m.request_id, tokens)

    def _reading(self, sender: str, watcher_id: str, request_id: str) -> Follow | None:
        follow = self.follows.get(watcher_id)
        record = follow.record if follow else None
        if record is not None and record.request_id == request_id and record.home == sender:
            return follow
        self.ctx.count("stale_replies", label="peer")
        return None

    def _send_tokens(self, follow: Follow, request_id: str, tokens: tuple[str, ...]) -> None:
        self.ctx.act(events.TellTokens(follow.watcher_id, request_id, follow.position, tokens))
        follow.position += len(tokens)

    def ended(self, sender: str, m: messages.Ended) -> None:
        """Forward the final answer after all tokens."""
        follow = self._reading(sender, m.watcher_id, m.request_id)
        if follow is None or follow.record is None:
            return
        if m.outcome is data.Outcome.DONE and follow.position < m.total:
            self._subscribe(follow, follow.record)
            return
        self._end(follow, m.outcome, m.reason, m.reply)

    def not_here(self, sender: str, m: messages.NotHere) -> None:
        """Switch to the home in the answer, or wait for a new one."""
        follow = self._reading(sender, m.watcher_id, m.request_id)
        if follow is None or follow.record is None:
            return
        now = self.ctx.now()
        if m.home:
            record = dataclasses.replace(follow.record, home=m.home)
            self._use_record(follow, record)
            return
        follow.home_lost_ms = follow.home_lost_ms or now
        follow.last_seen_ms = now

    def _end(
        self,
        follow: Follow,
        outcome: data.Outcome,
        reason: str,
        reply: data.Reply | None = None,
    ) -> None:
        self.follows.pop(follow.watcher_id, None)
        request_id = follow.record.request_id if follow.record else ""
        if outcome is not data.Outcome.DONE:
            self.ctx.note(follow.request, "unanswered", outcome, reason, key=follow.key)
        self.readers.send_end(follow.watcher_id, request_id, outcome, reason, reply)

    def caller_gone(self, watcher_id: str) -> None:
        """Stop reading for a disconnected caller."""
        self.follows.pop(watcher_id, None)
        self.owner_requests.forget(inquiries.Kind.LOOKUP, watcher_id)

    def tick(self) -> None:
        """Renew subscriptions to unresponsive homes; handle lost ones."""
        now = self.ctx.now()
        for follow in list(self.follows.values()):
            if follow.record is not None and now - follow.last_seen_ms >= RESUBSCRIBE_MS:
                self._check_home(follow, follow.record, now)

    def _check_home(self, follow: Follow, record: data.KeyRecord, now: int) -> None:
        follow.last_seen_ms = now
        lost = self.membership.state(record.home) is data.NodeState.GONE
        if not lost and not follow.home_lost_ms:
            self._subscribe(follow, record)
            return
        follow.home_lost_ms = follow.home_lost_ms or now
        waited = now - follow.home_lost_ms
        request = follow.request
        left_to_holder = record.copied and waited < LOST_HOME_MS
        if request is not None and request.repeatable and not left_to_holder:
            del self.follows[follow.watcher_id]
            self.on_rerun(request, record, follow.watcher_id, follow.position)
        elif record.copied and waited < GIVE_UP_MS:
            self._look_up(follow)
        else:
            self._end(follow, data.Outcome.UNKNOWN, data.Reason.INTERRUPTED)
