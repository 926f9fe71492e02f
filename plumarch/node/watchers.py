"""Delivery of answers to callers at this and other nodes."""

from plumarch.core import context, data, events, messages
from plumarch.node import runs

REFUSAL_RETRY_MS = 1_000
"""Suggested retry delay, before jitter."""

CHUNK_TOKENS = 2_000
"""Maximum tokens per message to another node."""


class Watchers:
    """The readers of this node's runs."""

    def __init__(self, ctx: context.Context) -> None:
        self.ctx = ctx

    def add(self, run: runs.Run, watcher: runs.Watcher) -> None:
        """Attach a reader and send the answer so far."""
        run.watchers[watcher.watcher_id] = watcher
        run.abandoned_ms = 0
        if not watcher.node and run.acceptance_sent:
            self._send_accepted(run, watcher)
        self._push_to(run, watcher)
        if run.phase is runs.Phase.ENDED:
            self._end_to(run, watcher)

    def accepted(self, run: runs.Run) -> None:
        """Notify local callers of acceptance, with the key."""
        run.acceptance_sent = True
        for watcher in run.watchers.values():
            if not watcher.node:
                self._send_accepted(run, watcher)

    def _send_accepted(self, run: runs.Run, watcher: runs.Watcher) -> None:
        request = run.request
        self.ctx.act(events.TellAccepted(watcher.watcher_id, request.id, request.key, run.weakened))

    def push(self, run: runs.Run) -> None:
        """Send every reader its missing tokens."""
        for watcher in run.watchers.values():
            self._push_to(run, watcher)

    def _push_to(self, run: runs.Run, watcher: runs.Watcher) -> None:
        while watcher.position < len(run.tokens):
            position = watcher.position
            chunk = run.tokens[position : position + CHUNK_TOKENS]
            watcher.position += len(chunk)
            self._send_tokens(run, watcher, position, chunk)

    def _send_tokens(
        self, run: runs.Run, watcher: runs.Watcher, position: int, tokens: list[str]
    ) -> None:
        request_id = run.request.id
        if watcher.node:
            chunk = messages.Chunk(request_id, watcher.watcher_id, position, tokens)
            self.ctx.send(watcher.node, chunk)
        else:
            self.ctx.act(events.TellTokens(watcher.watcher_id, request_id, position, tuple(tokens)))

    def end(self, run: runs.Run) -> None:
        """Send every reader the final answer."""
        self.push(run)
        for watcher in run.watchers.values():
            self._end_to(run, watcher)

    def _end_to(self, run: runs.Run, watcher: runs.Watcher) -> None:
        if watcher.node:
            ended = messages.Ended(
                run.request.id,
                watcher.watcher_id,
                run.outcome,
                run.reason,
                run.reply,
                len(run.tokens),
            )
            self.ctx.send(watcher.node, ended)
        else:
            self.send_end(watcher.watcher_id, run.request.id, run.outcome, run.reason, run.reply)

    def send_end(
        self,
        watcher_id: str,
        request_id: str,
        outcome: data.Outcome,
        reason: str,
        reply: data.Reply | None = None,
    ) -> None:
        """Send a local caller its final answer, with a retry delay after a failure."""
        retry_after = 0
        if outcome is not data.Outcome.DONE:
            retry_after = REFUSAL_RETRY_MS + self.ctx.rng.randrange(REFUSAL_RETRY_MS)
        self.ctx.act(events.TellEnd(watcher_id, request_id, outcome, reason, reply, retry_after))
