"""A request at its home, from its claim to its end."""

import dataclasses

from plumarch.config import state as config_state
from plumarch.core import context, data, events, messages
from plumarch.membership import members
from plumarch.node import dispatch, followers, late_records, runs, watchers
from plumarch.recovery import inquiries, keys, ledger

CLAIM_TIMEOUT_MS = {
    data.RequestClass.LOOKUP: 150,
    data.RequestClass.CHAT: 600,
    data.RequestClass.DRAFT: inquiries.GIVE_UP_MS,
    data.RequestClass.REVIEW: inquiries.GIVE_UP_MS,
}
"""Timeout of a claim, after which a repeatable request runs unrecorded."""

SETTLE_TIMEOUT_MS = 30_000

COPY_RESEND_MS = 300
"""Time after which a copy is sent to another node."""

COPY_TRIES = 3
"""Nodes tried for a copy before accepting without one."""

COPY_RETRY_MS = 2_000
"""Interval of further tries for such a request."""

ABANDON_MS = 10_000
"""Time without readers after which a keyed stream is cancelled."""

UNCOPIED = "no node in another data centre could be reached to hold a copy"
UNRECORDED = "the owner of the key's slot could not be reached"


class Home:
    """Requests whose home is this node."""

    def __init__(
        self,
        ctx: context.Context,
        membership: members.Membership,
        slots: ledger.Ledger,
        owner_requests: inquiries.Inquiries,
        table: runs.RunTable,
        readers: watchers.Watchers,
        dispatcher: dispatch.Dispatch,
        follower: followers.Followers,
        config: config_state.ConfigState,
    ) -> None:
        self.ctx = ctx
        self.membership = membership
        self.slots = slots
        self.owner_requests = owner_requests
        self.table = table
        self.readers = readers
        self.dispatcher = dispatcher
        self.follower = follower
        self.config = config
        self.late_records = late_records.LateRecords(ctx, owner_requests, table)
        dispatcher.on_end = self.end
        dispatcher.on_refuse = self.refuse
        follower.on_rerun = self.rerun

    def start(self, event: events.Arrived) -> None:
        """Start a caller's request."""
        request = event.request
        run = runs.Run(request, self.ctx.now())
        run.watchers[event.watcher_id] = runs.Watcher(event.watcher_id, "", event.position)
        self.ctx.count("requests", request.workspace, request.request_class)
        if self._needs_key(request) and not self._issue_key(run):
            self._end_unclaimed(run, data.Outcome.NOT_RUN, data.Reason.NO_OWNER)
            return
        request = run.request
        reason = self._reason_against(run)
        self.table.add(run)
        self.ctx.note(request, "arrive", self.ctx.node, f"{request.request_class} request")
        if reason is not None:
            self.refuse(run, reason)
        elif not request.key:
            self._queue(run)
        else:
            self._claim(run, refuse=False)

    def _needs_key(self, request: data.Request) -> bool:
        waits = request.request_class in data.WAITING_CLASSES
        return not request.key and (waits or not request.repeatable)

    def _issue_key(self, run: runs.Run) -> bool:
        issued = self.issue_key(run.request.id)
        if issued is None:
            return False
        key, epoch = issued
        run.request = dataclasses.replace(run.request, key=key, minted_epoch=epoch)
        run.own_key = True
        return True

    def issue_key(self, unique: str) -> tuple[str, int] | None:
        """Issue a key bound to its slot's epoch.

        Args:
          unique: text that is unique among this node's keys.
        Returns:
          The key and its epoch, or None if no slot owner is known.
        """
        own = self.slots.owned_list()
        if own:
            slot, epoch = own[self.ctx.rng.randrange(len(own))]
            return keys.issue(slot, epoch, unique), epoch
        known = sorted(self.slots.routes)
        if not known:
            return None
        slot = known[self.ctx.rng.randrange(len(known))]
        epoch = self.slots.routes[slot].epoch
        return keys.issue(slot, epoch, unique), epoch

    def _reason_against(self, run: runs.Run) -> data.Reason | None:
        """Return why a request is refused immediately, or None."""
        if self.table.full():
            return data.Reason.RUN_TABLE_FULL
        return self.dispatcher.reason_against(run)

    def _end_unclaimed(self, run: runs.Run, outcome: data.Outcome, reason: data.Reason) -> None:
        run.outcome = outcome
        run.reason = reason
        self._count_refusal(run)
        self.readers.end(run)

    def _claim(self, run: runs.Run, refuse: bool) -> None:
        request = run.request
        kind = inquiries.Kind.REFUSE if refuse else inquiries.Kind.CLAIM
        message = messages.Claim(
            keys.slot_of(request.workspace, request.key),
            request.workspace,
            request.key,
            request.minted_epoch,
            request.id,
            request.fingerprint,
            refuse,
            request.repeatable,
            run.waits(),
        )
        timeout_ms = CLAIM_TIMEOUT_MS[request.request_class]
        if refuse or not request.repeatable:
            timeout_ms = inquiries.GIVE_UP_MS
        self.owner_requests.submit(kind, request.id, message, min(timeout_ms, request.timeout_ms))

    def claim_answered(self, m: messages.ClaimAnswer) -> None:
        """Handle the answer to a claim."""
        kind = inquiries.Kind.REFUSE if m.refuse else inquiries.Kind.CLAIM
        inquiry = self.owner_requests.resolve(kind, m.request_id, m.verdict)
        run = self.table.get(m.request_id)
        over = (runs.Phase.ENDED,) if m.refuse else (runs.Phase.ENDED, runs.Phase.REFUSING)
        if inquiry is None or run is None or run.phase in over:
            self._late_grant(run, m)
            return
        if m.refuse:
            self._refusal_answered(run, m.verdict, m.record)
        elif m.verdict is messages.Verdict.GRANTED:
            self._granted(run, m.epoch)
        elif m.verdict is messages.Verdict.EXISTS and m.record is not None:
            self._join_existing(run, m.record)
        elif m.verdict is messages.Verdict.CONFLICT:
            self.end(run, data.Outcome.UNKNOWN, data.Reason.KEY_CONFLICT)
        elif m.verdict is messages.Verdict.UNCERTAIN:
            self._not_granted(run, data.Reason.SLOT_UNCERTAIN)
        elif m.verdict is messages.Verdict.FULL:
            self._not_granted(run, data.Reason.KEY_TABLE_FULL)
        else:
            self._not_granted(run, data.Reason.NO_PERMISSION)

    def _late_grant(self, run: runs.Run | None, m: messages.ClaimAnswer) -> None:
        """Settle a key granted after the request was given up."""
        if run is None or m.refuse or m.verdict is not messages.Verdict.GRANTED:
            return
        if run.phase is runs.Phase.ENDED and not run.handed_over and not run.recorded:
            self._settle(run, data.KeyState.REFUSED)

    def _granted(self, run: runs.Run, epoch: int) -> None:
        run.recorded = True
        run.epoch = epoch
        self.ctx.note(run.request, "grant", f"epoch {epoch}", "the key is new")
        if run.waits():
            run.phase = runs.Phase.COPYING
            self._request_copy(run)
        else:
            self._accept(run)

    def _join_existing(self, run: runs.Run, record: data.KeyRecord) -> None:
        """Attach the callers to the request that has the key."""
        self.ctx.note(run.request, "join", record.home, f"the key is known: {record.state}")
        self.table.remove(run.request.id)
        for watcher in run.watchers.values():
            self.follower.follow_record(watcher.watcher_id, watcher.position, record, run.request)

    def _not_granted(self, run: runs.Run, reason: data.Reason) -> None:
        """Continue a repeatable request without a grant; end any other."""
        if run.request.repeatable:
            run.weakened = UNRECORDED
            self.ctx.count("weakened", run.request.workspace, "unrecorded")
            self.ctx.note(run.request, "weaken", "run unrecorded", UNRECORDED)
            if run.waits():
                self.late_records.request_record(run)
                run.phase = runs.Phase.COPYING
                self._request_copy(run)
            else:
                self._accept(run)
        else:
            outcome = data.Outcome.NOT_RUN if run.own_key else data.Outcome.UNKNOWN
            self.end(run, outcome, reason)

    def _request_copy(self, run: runs.Run) -> None:
        now = self.ctx.now()
        run.copy_requested_ms = now
        holders = self.membership.live(other_than_data_centre=self.ctx.data_centre)
        untried = [node for node in holders if node not in run.copy_tried]
        if not untried or len(run.copy_tried) >= COPY_TRIES:
            run.copy_holder = ""
            run.copy_tried.clear()
            if run.phase is runs.Phase.COPYING:
                self._accept_uncopied(run)
            return
        run.copy_holder = untried[self.ctx.rng.randrange(len(untried))]
        run.copy_tried.add(run.copy_holder)
        self.ctx.send(run.copy_holder, messages.CopyPut(run.request, run.home_attempt))

    def _renew_copy(self, run: runs.Run) -> None:
        """Announce the new home to the copy's holder, or choose another."""
        holder = run.copy_holder
        fit = holder in self.membership.live(other_than_data_centre=self.ctx.data_centre)
        if holder and fit:
            run.copy_requested_ms = self.ctx.now()
            self.ctx.send(holder, messages.CopyPut(run.request, run.home_attempt))
            return
        if holder and holder != self.ctx.node:
            self.ctx.send(holder, messages.CopyDrop(run.request.id))
        run.copy_holder = ""
        self._request_copy(run)

    def _accept_uncopied(self, run: runs.Run) -> None:
        run.weakened = run.weakened or UNCOPIED
        self.ctx.count("weakened", run.request.workspace, "uncopied")
        self.ctx.note(run.request, "weaken", "accept without copy", UNCOPIED)
        self._accept(run)

    def copy_answered(self, sender: str, m: messages.CopyAck) -> None:
        """Handle the answer to a copy."""
        run = self.table.active.get(m.request_id)
        if run is None:
            if m.held:
                self.ctx.send(sender, messages.CopyDrop(m.request_id))
            return
        if sender != run.copy_holder:
            return
        if not m.held:
            self._request_copy(run)
            return
        run.copy_tried.clear()
        run.copy_requested_ms = 0
        if run.weakened == UNCOPIED:
            run.weakened = ""
        self.ctx.note(run.request, "copy", sender, "another data centre holds the request")
        if run.phase is runs.Phase.COPYING:
            self._accept(run)

    def _accept(self, run: runs.Run) -> None:
        if run.request.key:
            run.own_key = False
            self.readers.accepted(run)
        self._queue(run)

    def _queue(self, run: runs.Run) -> None:
        if not self.dispatcher.enqueue(run):
            self.refuse(run, data.Reason.QUEUE_FULL)

    def refuse(self, run: runs.Run, reason: data.Reason) -> None:
        """Refuse a request; "not run" is reported only once certain and recorded."""
        run.refusal = reason
        # It must not be dispatched meanwhile.
        self.dispatcher.forget(run)
        if run.handed_over:
            self.end(run, data.Outcome.UNKNOWN, reason)
        elif not run.request.key or run.own_key:
            self.end(run, data.Outcome.NOT_RUN, reason)
        elif run.recorded:
            run.phase = runs.Phase.REFUSING
            self._settle(run, data.KeyState.REFUSED, inquiries.GIVE_UP_MS)
        elif run.weakened == UNRECORDED:
            self.end(run, data.Outcome.UNKNOWN, reason)
        else:
            run.phase = runs.Phase.REFUSING
            self.owner_requests.forget(inquiries.Kind.CLAIM, run.request.id)
            self._claim(run, refuse=True)

    def _refusal_answered(
        self, run: runs.Run, verdict: messages.Verdict, record: data.KeyRecord | None
    ) -> None:
        reason = run.refusal or data.Reason.SETTLED
        if verdict is messages.Verdict.GRANTED:
            self.end(run, data.Outcome.NOT_RUN, reason)
        elif verdict is messages.Verdict.EXISTS and record is not None:
            self._join_existing(run, record)
        elif verdict is messages.Verdict.CONFLICT:
            self.end(run, data.Outcome.UNKNOWN, data.Reason.KEY_CONFLICT)
        else:
            self.end(run, data.Outcome.UNKNOWN, reason)

    def end(
        self,
        run: runs.Run,
        outcome: data.Outcome,
        reason: str = "",
        reply: data.Reply | None = None,
    ) -> None:
        """Answer a run's readers, settle its key and release its copy."""
        if run.phase is runs.Phase.ENDED:
            return
        self.dispatcher.forget(run)
        run.outcome = outcome
        run.reason = reason
        run.reply = reply
        self.table.end(run)
        self._count_refusal(run)
        self.ctx.note(run.request, "end", outcome, reason or "the whole answer was made")
        self.readers.end(run)
        if run.copy_holder:
            self.ctx.send(run.copy_holder, messages.CopyDrop(run.request.id))
        self.late_records.forget(run)
        known = run.recorded or late_records.must_settle(run)
        if known and (run.refusal is None or run.handed_over):
            self._settle_end(run)

    def _settle_end(self, run: runs.Run) -> None:
        if run.outcome is data.Outcome.DONE:
            self._settle(run, data.KeyState.DONE)
        elif run.outcome is data.Outcome.UNKNOWN:
            self._settle(run, data.KeyState.UNKNOWN)

    def _count_refusal(self, run: runs.Run) -> None:
        workspace = run.request.workspace
        self.ctx.count("answers", workspace, run.outcome)
        if run.outcome is not data.Outcome.DONE:
            self.ctx.count("refusals", workspace, run.reason)

    def _settle(
        self,
        run: runs.Run,
        state: data.KeyState,
        timeout_ms: int = SETTLE_TIMEOUT_MS,
    ) -> None:
        request = run.request
        message = messages.Settle(
            keys.slot_of(request.workspace, request.key),
            request.workspace,
            request.key,
            request.id,
            run.home_attempt,
            state,
            run.reply,
        )
        self.owner_requests.submit(inquiries.Kind.SETTLE, request.id, message, timeout_ms)

    def settle_answered(self, m: messages.SettleAnswer) -> None:
        """Handle the answer to a Settle."""
        inquiry = self.owner_requests.resolve(inquiries.Kind.SETTLE, m.request_id, m.verdict)
        run = self.table.get(m.request_id)
        if inquiry is None or run is None or run.phase is not runs.Phase.REFUSING:
            return
        self._refusal_answered(run, m.verdict, m.record)

    def handle_timeout(self, inquiry: inquiries.Inquiry) -> None:
        """Handle an inquiry that timed out."""
        run = self.table.active.get(inquiry.subject)
        if run is None:
            return
        if inquiry.kind is inquiries.Kind.RECORD:
            self.late_records.handle_timeout(run)
        elif inquiry.kind is inquiries.Kind.CLAIM:
            self._not_granted(run, data.Reason.NO_OWNER)
        elif run.phase is runs.Phase.REFUSING:
            self.end(run, data.Outcome.UNKNOWN, run.refusal or data.Reason.NO_OWNER)

    def cancel(self, request_id: str) -> bool:
        """Cancel a request and return whether it was in progress here."""
        run = self.table.active.get(request_id)
        if run is None:
            return False
        if not run.request.repeatable and run.handed_over:
            return True
        if run.handed_over:
            self.end(run, data.Outcome.UNKNOWN, data.Reason.CANCELLED)
        else:
            self.refuse(run, data.Reason.CANCELLED)
        return True

    def caller_gone(self, watcher_id: str) -> None:
        """Detach a reader; a stream without readers is cancelled."""
        for run in list(self.table.active.values()):
            if run.watchers.pop(watcher_id, None) is None or run.watchers:
                continue
            if run.waits() or not run.request.repeatable:
                continue
            if run.request.key:
                run.abandoned_ms = self.ctx.now()
            else:
                self.cancel(run.request.id)

    def rerun(
        self, request: data.Request, record: data.KeyRecord, watcher_id: str, position: int
    ) -> None:
        """Become the home of a repeatable request that lost its home."""
        run = runs.Run(
            dataclasses.replace(request, id=record.request_id),
            self.ctx.now(),
            home_attempt=record.attempt + 1,
            handed_over=True,
        )
        run.watchers[watcher_id] = runs.Watcher(watcher_id, "", position)
        known = self.table.active.get(record.request_id)
        if known is not None:
            self.readers.add(known, run.watchers[watcher_id])
            return
        self.table.ended.pop(record.request_id, None)
        self.table.add(run)
        if request.key:
            self.request_rehome(run)
        else:
            self.dispatcher.enqueue(run, bounded=False)

    def request_rehome(self, run: runs.Run) -> None:
        """Request to become the home of a run."""
        message = late_records.rehome_message(run)
        self.owner_requests.submit(inquiries.Kind.REHOME, run.request.id, message)

    def rehomed(self, run: runs.Run) -> None:
        """Start a run rehomed to this node."""
        run.recorded = True
        run.acceptance_sent = True
        if run.waits():
            run.phase = runs.Phase.QUEUED
            self._renew_copy(run)
        if not self.dispatcher.enqueue(run, bounded=False):
            self.refuse(run, data.Reason.QUEUE_FULL)

    def tick(self) -> None:
        """Place missing copies and cancel abandoned streams."""
        now = self.ctx.now()
        self.table.tick()
        for run in list(self.table.active.values()):
            if run.waits() and run.phase is not runs.Phase.CLAIMING:
                self._check_copy(run, now)
            if run.abandoned_ms and now - run.abandoned_ms > ABANDON_MS and not run.watchers:
                self.cancel(run.request.id)

    def _check_copy(self, run: runs.Run, now: int) -> None:
        if run.phase is runs.Phase.REFUSING:
            return
        if run.copy_requested_ms and run.copy_holder:
            if now - run.copy_requested_ms >= COPY_RESEND_MS:
                self._request_copy(run)
            return
        lost = run.copy_holder and self.membership.state(run.copy_holder) in (
            data.NodeState.GONE,
            data.NodeState.LEAVING,
        )
        missing = not run.copy_holder and now - run.copy_requested_ms >= COPY_RETRY_MS
        if lost or missing:
            self._request_copy(run)
