"""Queueing, dispatch to endpoints, and their answers."""

import collections
from collections.abc import Callable

from plumarch.config import state as config_state
from plumarch.core import context, data, events
from plumarch.limits import fair_queue, quarantine, retry_budget
from plumarch.node import runs, watchers
from plumarch.routing import placement

QUEUE_WAIT_MS = {data.RequestClass.LOOKUP: 100, data.RequestClass.CHAT: 2_000}
"""Maximum time in the queue; other classes have no limit."""

BACKOFF_MS = 20
BACKOFF_LIMIT_MS = 2_000

TOKEN_MS = 30
"""Assumed time between tokens until a run's own is known."""

MIN_FREE_FRACTION = 0.15
"""Fraction of capacity kept from workspaces that use their share."""

LINGER_MS = 2_000
"""How long the endpoint call of a moved run stays open."""

LEAVE_MARGIN_MS = 1_000
"""Minimum margin for a request to finish at a leaving endpoint."""

EndCallback = Callable[[runs.Run, data.Outcome, str, data.Reply | None], None]
RefuseCallback = Callable[[runs.Run, data.Reason], None]


class Dispatch:
    """Requests queued for or running on an endpoint."""

    on_end: EndCallback
    on_refuse: RefuseCallback

    def __init__(
        self,
        ctx: context.Context,
        table: runs.RunTable,
        placer: placement.Placement,
        readers: watchers.Watchers,
        config: config_state.ConfigState,
    ) -> None:
        self.ctx = ctx
        self.table = table
        self.placer = placer
        self.readers = readers
        self.config = config
        self.queue = fair_queue.FairQueue()
        self.budget = retry_budget.RetryBudget()
        self.delayed: dict[str, runs.Run] = {}
        self.running: collections.Counter[tuple[str, str]] = collections.Counter()
        self.lingering: list[tuple[int, str, int]] = []
        # Whether capacity may have become free since the queue was processed.
        self.dirty = False

    def _allowed(self, workspace: str) -> frozenset[str]:
        known = self.config.workspaces.get(workspace)
        return known.data_centres if known else frozenset()

    def reason_against(self, run: runs.Run) -> data.Reason | None:
        """Return why a new request can't be served, or None."""
        request = run.request
        if run.waits() or self.placer.has_target(request, self._allowed(request.workspace)):
            return None
        return data.Reason.NO_ENDPOINT

    def enqueue(self, run: runs.Run, bounded: bool = True) -> bool:
        """Queue a run for an endpoint.

        Args:
          bounded: False for requests already accepted, which must not be refused.
        Returns:
          False if its queue is full.
        """
        request = run.request
        run.phase = runs.Phase.QUEUED
        run.queued_ms = self.ctx.now()
        if run.points >= quarantine.QUARANTINE_POINTS and not run.not_before_ms:
            # Quarantined at its previous home.
            self._delay_quarantined(run)
            return True
        cost = float(request.prompt_tokens + request.max_tokens) or 1.0
        entry = fair_queue.Entry(
            request.id,
            request.workspace,
            request.request_class,
            request.target,
            cost,
            run.accepted_ms,
        )
        known = self.config.workspaces.get(request.workspace)
        self.queue.weights[request.workspace] = known.weight if known else 1.0
        if not self.queue.push(entry):
            if bounded:
                return False
            run.not_before_ms = self.ctx.now() + BACKOFF_LIMIT_MS
            self.delayed[request.id] = run
            return True
        self.dirty = True
        if run.tries == 0:
            self.budget.first_try(request.workspace)
        return True

    def pump(self) -> None:
        """Dispatch queued requests to free capacity."""
        if not self.dirty:
            return
        self.dirty = False
        full: set[tuple[str, bool, frozenset[str]]] = set()
        chosen: data.Endpoint | None = None
        considered: tuple[data.Considered, ...] = ()

        def fits(entry: fair_queue.Entry) -> bool:
            nonlocal chosen, considered
            run = self.table.active.get(entry.request_id)
            if run is None or run.phase is not runs.Phase.QUEUED:
                return False
            allowed = self._allowed(entry.workspace)
            urgent = entry.request_class is data.RequestClass.LOOKUP
            kind = (entry.target, urgent, allowed)
            if kind in full or (not urgent and self._must_leave_capacity(run)):
                return False
            chosen, considered = self.placer.choose(run.request, allowed, frozenset(run.tried))
            if chosen is None:
                full.add(kind)
            return chosen is not None

        while self.queue.lines:
            entry = self.queue.pop(self.ctx.now(), fits)
            if entry is None or chosen is None:
                return
            run = self.table.active[entry.request_id]
            self._dispatch(run, chosen, considered, run.import_from, run.import_attempt)
            run.import_from = ""

    def _must_leave_capacity(self, run: runs.Run) -> bool:
        """Return whether the remaining capacity is reserved for other workspaces.

        A workspace that floods the endpoints must not delay the others' requests.
        """
        request = run.request
        total, used = self.placer.owned_capacity(request)
        if total - used > total * MIN_FREE_FRACTION:
            return False
        weights = self.queue.weights
        share = weights.get(request.workspace, 1.0) / max(1.0, sum(weights.values()))
        held = self.running[(request.target, request.workspace)]
        return held >= max(1.0, total * share)

    def _dispatch(
        self,
        run: runs.Run,
        endpoint: data.Endpoint,
        considered: tuple[data.Considered, ...],
        import_from: str = "",
        import_attempt: int = 0,
    ) -> None:
        now = self.ctx.now()
        request = run.request
        run.tries += 1
        run.phase = runs.Phase.RUNNING
        run.handed_over_before = run.handed_over
        run.handed_over = True
        run.endpoint = endpoint.name
        run.started_ms = now
        run.leave_by_ms = 0
        self.placer.started(endpoint.name, request.prefix)
        self.running[(request.target, request.workspace)] += 1
        if run.tries == 1:
            wait = float(now - run.accepted_ms)
            self.ctx.act(
                events.Observe("queue_wait", request.workspace, request.request_class, wait)
            )
        why = "best score" if not import_from else "its endpoint leaves; KV cache moves along"
        self.ctx.note(request, "place", endpoint.name, why, considered)
        self.ctx.act(
            events.HandOver(
                request,
                run.attempt(),
                endpoint,
                tuple(run.tokens),
                import_from,
                import_attempt,
                run.epoch,
            )
        )

    def _current(self, request_id: str, attempt: int) -> runs.Run | None:
        """Return the run of an endpoint's event, or None if stale."""
        run = self.table.active.get(request_id)
        if run is not None and run.phase is runs.Phase.RUNNING and run.attempt() == attempt:
            return run
        workspace = run.request.workspace if run else ""
        self.ctx.count("stale_replies", workspace, "endpoint")
        return None

    def tokens(self, event: events.EndpointTokens) -> None:
        """Append new tokens, ignoring duplicates."""
        run = self._current(event.request_id, event.attempt)
        if run is None:
            return
        known = len(run.tokens)
        if event.position > known:
            self.ctx.act(events.Abort(event.request_id, event.attempt))
            why = "tokens are missing from the stream"
            self._failed(run, events.EndpointFailed(event.request_id, event.attempt, True, why))
            return
        new_tokens = event.tokens[known - event.position :]
        self._end_superseded(run)
        if not new_tokens:
            return
        self._observe_tokens(run, len(new_tokens))
        run.tokens.extend(new_tokens)
        self.readers.push(run)

    def _observe_tokens(self, run: runs.Run, count: int) -> None:
        now = self.ctx.now()
        request = run.request
        if not run.tokens:
            self.placer.measured(run.endpoint, now - run.started_ms)
            wait = float(now - run.accepted_ms)
            self.ctx.act(
                events.Observe("first_token", request.workspace, request.request_class, wait)
            )
        elif run.last_token_ms:
            gap = (now - run.last_token_ms) / count
            self.ctx.act(
                events.Observe("between_tokens", request.workspace, request.request_class, gap)
            )
        run.last_token_ms = now

    def _end_superseded(self, run: runs.Run) -> None:
        if run.superseded:
            self.ctx.act(events.Abort(run.request.id, run.superseded))
            run.superseded = 0

    def done(self, event: events.EndpointDone) -> None:
        """Handle a completed attempt."""
        run = self._current(event.request_id, event.attempt)
        if run is None:
            return
        request = run.request
        if event.recomputed:
            self.ctx.count("recomputed_tokens", request.workspace, amount=event.recomputed)
        self._end_superseded(run)
        reply = event.reply
        if request.kind is data.EndpointKind.ENGINE:
            reply = data.Reply(200, reply.content_type, b"", tuple(run.tokens))
        else:
            self.placer.measured(run.endpoint, self.ctx.now() - run.started_ms)
        self._free(run)
        run.endpoint = ""
        total = float(self.ctx.now() - run.accepted_ms)
        self.ctx.act(events.Observe("total", request.workspace, request.request_class, total))
        self.on_end(run, data.Outcome.DONE, "", reply)

    def failed(self, event: events.EndpointFailed) -> None:
        """Handle a failed attempt."""
        run = self._current(event.request_id, event.attempt)
        if run is not None:
            self._failed(run, event)

    def rate_announced(self, event: events.EndpointRate) -> None:
        """Apply the rate limit of an answer, or its absence."""
        run = self._current(event.request_id, event.attempt)
        if run is None:
            return
        if self.placer.rate_announced(run.endpoint, event.per_s, run.started_ms):
            rate = "no limit" if event.per_s is None else f"{event.per_s:g} requests a second"
            self.ctx.note(run.request, "rate", run.endpoint, f"it announces {rate}")

    def _free(self, run: runs.Run) -> None:
        """Release a run's capacity at its endpoint."""
        self.placer.ended(run.endpoint)
        self.running[(run.request.target, run.request.workspace)] -= 1
        self.dirty = True

    def _failed(self, run: runs.Run, event: events.EndpointFailed) -> None:
        request = run.request
        endpoint = run.endpoint
        delivered = event.delivered
        self._free(run)
        run.tried.add(endpoint)
        run.endpoint = ""
        run.phase = runs.Phase.QUEUED
        if not delivered:
            run.handed_over = run.handed_over_before
        if not delivered and event.backoff_ms:
            self.placer.back_off(endpoint, event.backoff_ms)
        elif not delivered:
            self.placer.unreachable(endpoint)
        self.ctx.note(request, "fail", f"attempt {run.attempt()}", event.why)
        if event.broken:
            made_tokens = run.last_token_ms >= run.started_ms
            run.points += quarantine.LATE_POINTS if made_tokens else quarantine.EARLY_POINTS
        if delivered and not request.repeatable:
            self.on_end(run, data.Outcome.UNKNOWN, data.Reason.INTERRUPTED, None)
        elif event.broken and run.points >= quarantine.QUARANTINE_POINTS:
            self._delay_quarantined(run)
        elif run.waits() or self.budget.take(request.workspace):
            self._retry_later(run)
        else:
            self.on_refuse(run, data.Reason.RETRY_BUDGET)

    def _delay_quarantined(self, run: runs.Run) -> None:
        """Retry a suspect after the quarantine's pause, or end it if its timeout comes first.

        Each try may crash another endpoint and the requests there.
        """
        trials = (run.points - quarantine.QUARANTINE_POINTS) // quarantine.EARLY_POINTS
        pause_ms = quarantine.pause_ms(trials)
        self.ctx.count("held_back", run.request.workspace)
        self.ctx.note(run.request, "hold", f"{pause_ms} ms", "endpoints crashed while running it")
        if pause_ms >= run.left_ms(self.ctx.now()):
            self.on_end(run, data.Outcome.UNKNOWN, data.Reason.INTERRUPTED, None)
            return
        run.not_before_ms = self.ctx.now() + pause_ms
        self.delayed[run.request.id] = run

    def _retry_later(self, run: runs.Run) -> None:
        self.ctx.count("retries", run.request.workspace)
        ceiling = min(BACKOFF_LIMIT_MS, BACKOFF_MS * 2 ** min(run.tries, 7))
        run.not_before_ms = self.ctx.now() + self.ctx.rng.randrange(ceiling)
        self.delayed[run.request.id] = run

    def engine_of(self, run: runs.Run) -> str:
        """Return the address of a run's engine, or ""."""
        endpoint = self.placer.endpoints.get(run.endpoint)
        if endpoint is None or endpoint.kind is not data.EndpointKind.ENGINE:
            return ""
        return endpoint.address if run.phase is runs.Phase.RUNNING else ""

    def linger(self, run: runs.Run) -> None:
        """Release a run that continues at another home.

        Its endpoint call stays open for LINGER_MS: an abort would drop the KV cache that the next
        engine imports.
        """
        if run.phase is runs.Phase.RUNNING and run.endpoint:
            self._free(run)
            run.endpoint = ""
            until = self.ctx.now() + LINGER_MS
            self.lingering.append((until, run.request.id, run.attempt()))
        self.forget(run)

    def forget(self, run: runs.Run) -> None:
        """Remove a run from the queue and abort its endpoint call."""
        request_id = run.request.id
        self.delayed.pop(request_id, None)
        if run.phase is runs.Phase.QUEUED:
            self.queue.remove(request_id)
        if run.endpoint:
            self._free(run)
            if run.phase is runs.Phase.RUNNING:
                self.ctx.act(events.Abort(request_id, run.attempt()))
            run.endpoint = ""
        self._end_superseded(run)

    def endpoint_leaves(self, name: str, left_ms: int) -> None:
        """Move runs off a leaving endpoint, the costliest to recompute first."""
        there = [run for run in self.table.active.values() if run.endpoint == name]
        there.sort(key=lambda run: (-recompute_cost(run), run.request.id))
        now = self.ctx.now()
        for run in there:
            if not run.request.repeatable or run.phase is not runs.Phase.RUNNING:
                continue
            if remaining_ms(run, now) + LEAVE_MARGIN_MS <= left_ms:
                self.ctx.note(run.request, "stay", name, "it finishes before the endpoint leaves")
                continue
            run.leave_by_ms = now + left_ms
            self._move(run)

    def _move(self, run: runs.Run) -> None:
        """Continue a run at another endpoint, once one has capacity."""
        allowed = self._allowed(run.request.workspace)
        tried = frozenset({run.endpoint})
        target, considered = self.placer.choose(run.request, allowed, tried)
        if target is None or target.name == run.endpoint:
            return
        old = self.placer.endpoints.get(run.endpoint)
        address = old.address if old and run.request.kind is data.EndpointKind.ENGINE else ""
        old_attempt = run.attempt()
        self._free(run)
        self._end_superseded(run)
        run.superseded = old_attempt
        self.ctx.count("moves", run.request.workspace)
        self._dispatch(run, target, considered, address, old_attempt)

    def tick(self) -> None:
        """Requeue delayed runs, refuse late ones, and move runs off leaving endpoints."""
        now = self.ctx.now()
        self.dirty = True
        while self.lingering and self.lingering[0][0] <= now:
            _, request_id, attempt = self.lingering.pop(0)
            self.ctx.act(events.Abort(request_id, attempt))
        for run in list(self.delayed.values()):
            if now >= run.not_before_ms:
                del self.delayed[run.request.id]
                self.enqueue(run, bounded=False)
        for run in list(self.table.active.values()):
            if run.phase is runs.Phase.QUEUED:
                self._refuse_if_late(run, now)
            elif run.phase is runs.Phase.RUNNING and run.leave_by_ms > now:
                self._move(run)
            elif run.phase is runs.Phase.RUNNING and run.left_ms(now) <= 0:
                self.on_end(run, data.Outcome.UNKNOWN, data.Reason.DEADLINE, None)

    def _refuse_if_late(self, run: runs.Run, now: int) -> None:
        limit = QUEUE_WAIT_MS.get(run.request.request_class)
        waited = now - run.queued_ms
        if run.left_ms(now) <= 0:
            self.on_refuse(run, data.Reason.DEADLINE)
        elif limit is not None and waited >= limit and run.request.id not in self.delayed:
            self.on_refuse(run, data.Reason.QUEUE_FULL)


def recompute_cost(run: runs.Run) -> int:
    """Return the tokens to recompute if a run started over."""
    return run.request.prompt_tokens + len(run.tokens)


def remaining_ms(run: runs.Run, now: int) -> int:
    """Estimate a run's remaining time from its time per token."""
    made = len(run.tokens)
    token_ms = TOKEN_MS
    if made > 1 and run.last_token_ms > run.started_ms:
        token_ms = max(1, (run.last_token_ms - run.started_ms) // made)
    return max(0, run.request.max_tokens - made) * token_ms
