"""Moving requests from a leaving or lost node to a new home."""

from plumarch.core import context, data, messages
from plumarch.membership import members
from plumarch.node import dispatch, followers, home, late_records, runs, watchers
from plumarch.recovery import copies, inquiries

RESEND_MS = 300
ADOPT_TIMEOUT_MS = 1_200
"""Time after which another adopter is chosen."""

RETRY_MS = 1_000

STOP_GRACE_MS = 2_000
"""At a planned stop, requests that need longer are handed over."""


class Adoption:
    """Moves requests between homes."""

    def __init__(
        self,
        ctx: context.Context,
        membership: members.Membership,
        table: runs.RunTable,
        held: copies.Copies,
        dispatcher: dispatch.Dispatch,
        follower: followers.Followers,
        local_home: home.Home,
        owner_requests: inquiries.Inquiries,
    ) -> None:
        self.ctx = ctx
        self.membership = membership
        self.table = table
        self.copies = held
        self.dispatcher = dispatcher
        self.follower = follower
        self.home = local_home
        self.owner_requests = owner_requests
        self.moved: dict[str, str] = {}
        self.offers: dict[str, tuple[str, messages.Adopt]] = {}
        self.leaves_at_ms = 0
        self.data_centre_leaves = False

    def leave(self, left_ms: int, whole_data_centre: bool) -> None:
        """Start handing over this node's requests.

        Args:
          left_ms: time until the node is gone.
          whole_data_centre: whether all nodes of the data centre leave.
        """
        at = self.ctx.now() + left_ms
        if self.membership.leaving:
            self.leaves_at_ms = min(self.leaves_at_ms, at)
        else:
            self.leaves_at_ms = at
        self.membership.leaving = True
        self.data_centre_leaves = self.data_centre_leaves or whole_data_centre
        self.ctx.note(None, "leave", self.ctx.node, f"{left_ms} ms left")

    def _adopters(self) -> list[str]:
        elsewhere = self.membership.live(other_than_data_centre=self.ctx.data_centre)
        if elsewhere or self.data_centre_leaves:
            return elsewhere
        return self.membership.live()

    def _move_runs(self) -> None:
        now = self.ctx.now()
        left = self.leaves_at_ms - now
        for run in sorted(
            self.table.active.values(), key=lambda r: (-dispatch.recompute_cost(r), r.request.id)
        ):
            if self._must_move(run, now, left):
                self._offer(run, now)

    def _must_move(self, run: runs.Run, now: int, left: int) -> bool:
        if run.phase not in (runs.Phase.QUEUED, runs.Phase.RUNNING):
            return False
        if not run.request.repeatable:
            return False
        if run.phase is runs.Phase.QUEUED:
            return True
        takes = dispatch.remaining_ms(run, now)
        return takes > min(STOP_GRACE_MS, left - dispatch.LEAVE_MARGIN_MS)

    def _offer(self, run: runs.Run, now: int) -> None:
        if run.adopter and now - run.adopt_requested_ms < RESEND_MS:
            return
        adopters = self._adopters()
        if not adopters:
            return
        stale = now - run.adopt_requested_ms >= ADOPT_TIMEOUT_MS
        if not run.adopter or run.adopter not in adopters or stale:
            prefer = run.copy_holder if run.copy_holder in adopters else ""
            if not prefer or run.adopter == prefer:
                prefer = adopters[self.ctx.rng.randrange(len(adopters))]
            run.adopter = prefer
        run.adopt_requested_ms = now
        message = messages.Adopt(
            run.request,
            run.home_attempt + 1,
            list(run.tokens),
            run.handed_over,
            now - run.accepted_ms,
            run.copy_holder,
            self.dispatcher.engine_of(run),
            run.attempt(),
            run.points,
        )
        self.ctx.send(run.adopter, message)

    def adopted(self, sender: str, m: messages.Adopted) -> None:
        """Release a request to its new home."""
        run = self.table.active.get(m.request_id)
        if run is None or m.attempt <= run.home_attempt:
            return
        self.ctx.count("handed_over_runs", run.request.workspace)
        self.ctx.note(run.request, "rehome", sender, "this node leaves")
        self.dispatcher.linger(run)
        self.table.remove(m.request_id)
        self.moved[m.request_id] = sender
        for watcher in run.watchers.values():
            if watcher.node:
                gone = messages.NotHere(m.request_id, watcher.watcher_id, sender)
                self.ctx.send(watcher.node, gone)
            else:
                self.follower.follow_home(
                    watcher.watcher_id, watcher.position, run.request, sender, m.attempt
                )

    def adopt(self, sender: str, m: messages.Adopt) -> None:
        """Become the home of an offered request."""
        if self.membership.leaving:
            return
        request = m.request
        known = self.table.active.get(request.id)
        if known is not None and known.home_attempt >= m.attempt:
            if known.phase in (runs.Phase.QUEUED, runs.Phase.RUNNING):
                self.ctx.send(sender, messages.Adopted(request.id, known.home_attempt))
            return
        if known is not None:
            return
        ended = self.table.ended.get(request.id)
        if ended is not None and ended.home_attempt >= m.attempt:
            self.ctx.send(sender, messages.Adopted(request.id, ended.home_attempt))
            return
        if self.table.full():
            return
        run = runs.Run(
            request,
            self.ctx.now() - m.elapsed_ms,
            home_attempt=m.attempt,
            handed_over=m.handed_over,
            tokens=list(m.tokens),
            copy_holder=m.copy_holder,
            import_from=m.import_from,
            import_attempt=m.import_attempt,
            points=m.points,
        )
        self.table.add(run)
        self.copies.drop(request.id)
        if request.key:
            self.offers[request.id] = (sender, m)
            self.home.request_rehome(run)
        else:
            self.dispatcher.enqueue(run, bounded=False)
            self.ctx.send(sender, messages.Adopted(request.id, m.attempt))

    def adopt_copies_of(self, node: str) -> None:
        """Become the home of a lost node's requests, from copies held here."""
        for copy in self.copies.of_home(node):
            request = copy.request
            if request.id in self.table.active or self.membership.leaving:
                continue
            run = runs.Run(
                request,
                copy.since_ms,
                home_attempt=copy.attempt + 1,
                handed_over=True,
            )
            self.ctx.count("lost_homes", request.workspace)
            self.ctx.note(request, "rehome", self.ctx.node, f"its home {node} is lost")
            self.table.add(run)
            self.home.request_rehome(run)

    def rehome_answered(self, m: messages.RehomeAnswer) -> None:
        """Handle the answer to a change of home."""
        if self.home.late_records.is_pending(m.request_id):
            self.home.late_records.handle_answer(m)
            return
        inquiry = self.owner_requests.resolve(inquiries.Kind.REHOME, m.request_id, m.verdict)
        run = self.table.active.get(m.request_id)
        if inquiry is None or run is None or run.phase is not runs.Phase.CLAIMING:
            return
        if m.verdict is messages.Verdict.GRANTED:
            self._start(run)
        elif m.verdict is messages.Verdict.EXISTS and m.record is not None:
            self._yield_to(run, m.record)
        else:
            self._start_unrecorded(run)

    def _start(self, run: runs.Run) -> None:
        self.copies.drop(run.request.id)
        self.home.rehomed(run)
        offer = self.offers.pop(run.request.id, None)
        if offer is not None:
            self.ctx.send(offer[0], messages.Adopted(run.request.id, run.home_attempt))

    def _start_unrecorded(self, run: runs.Run) -> None:
        run.weakened = home.UNRECORDED
        self._start(run)
        run.recorded = False
        self.home.late_records.request_record(run, late_records.RETRY_PAUSE_MS)

    def _yield_to(self, run: runs.Run, record: data.KeyRecord) -> None:
        """Leave a request to the home named in its record."""
        copy = self.copies.held.get(run.request.id)
        in_progress = record.state is data.KeyState.GRANTED
        if in_progress and self.membership.state(record.home) is data.NodeState.GONE:
            # That home is lost too.
            run.home_attempt = record.attempt + 1
            self.home.request_rehome(run)
            return
        if self._answer_is_lost(record):
            self.ctx.note(run.request, "rerun", self.ctx.node, "the answer was lost with its home")
            self._start_unrecorded(run)
            return
        if in_progress and copy is not None:
            copy.home = record.home
            copy.attempt = record.attempt
        else:
            self.copies.drop(run.request.id)
        self.table.remove(run.request.id)
        self.offers.pop(run.request.id, None)
        for watcher in run.watchers.values():
            self.follower.follow_record(watcher.watcher_id, watcher.position, record, run.request)

    def _answer_is_lost(self, record: data.KeyRecord) -> bool:
        """Return whether a completed request's answer was lost with its home."""
        if record.state is not data.KeyState.DONE or record.reply is not None:
            return False
        return self.membership.state(record.home) is data.NodeState.GONE

    def handle_timeout(self, inquiry: inquiries.Inquiry) -> None:
        """Run an accepted request without an answer of a slot owner."""
        run = self.table.active.get(inquiry.subject)
        if run is not None and run.phase is runs.Phase.CLAIMING:
            self._start_unrecorded(run)

    def tick(self) -> None:
        """Continue the hand-over while this node leaves."""
        if self.membership.leaving:
            self._move_runs()
        self._trim_moved()

    def _trim_moved(self) -> None:
        while len(self.moved) > runs.ENDED_LIMIT:
            del self.moved[next(iter(self.moved))]

    def drained(self) -> bool:
        """Return whether no caller waits for this node."""
        return not self.table.active and not self.follower.follows


def subscribe(
    table: runs.RunTable,
    moved: dict[str, str],
    readers: watchers.Watchers,
    ctx: context.Context,
    sender: str,
    m: messages.Subscribe,
) -> None:
    """Subscribe a caller of another node to a run of this one."""
    run = table.get(m.request_id)
    if run is None or run.phase is runs.Phase.CLAIMING:
        home_now = moved.get(m.request_id, "")
        ctx.send(sender, messages.NotHere(m.request_id, m.watcher_id, home_now))
        return
    readers.add(run, runs.Watcher(m.watcher_id, sender, m.position))
