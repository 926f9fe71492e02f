"""Streams of answers from the node to waiting HTTP handlers."""

import asyncio
import dataclasses

from plumarch.core import data, events


@dataclasses.dataclass(frozen=True, slots=True)
class TokenBatch:
    """Tokens ready to be written; position is the number of tokens up to their end."""

    position: int
    tokens: tuple[str, ...]


class CallerStream:
    """One caller's answer, buffered until the reader fetches it.

    The reader fetches a window's tokens at once, which saves a wake-up and a write per token.
    """

    def __init__(self, watcher_id: str) -> None:
        self.watcher_id = watcher_id
        self.accepted: events.TellAccepted | None = None
        self.end: events.TellEnd | None = None
        self.tokens: list[str] = []
        self.position = 0
        self.changed = asyncio.Event()

    def handle_accepted(self, action: events.TellAccepted) -> None:
        """Record that the request is accepted."""
        self.accepted = action
        self.changed.set()

    def handle_tokens(self, action: events.TellTokens) -> None:
        """Append tokens to the buffer."""
        self.tokens.extend(action.tokens)
        self.position = action.position + len(action.tokens)
        self.changed.set()

    def handle_end(self, action: events.TellEnd) -> None:
        """Record the final answer."""
        self.end = action
        self.changed.set()

    async def wait_changed(self) -> None:
        """Wait for a change since the last wait."""
        await self.changed.wait()
        self.changed.clear()

    async def wait_started(self) -> None:
        """Wait until the request is accepted, has tokens, or has ended."""
        while self.accepted is None and self.end is None and not self.tokens:
            await self.wait_changed()

    async def wait_end(self) -> events.TellEnd:
        """Wait for the final answer; leave the tokens in the buffer."""
        while self.end is None:
            await self.wait_changed()
        return self.end

    async def next_batch(self, window_ms: int) -> TokenBatch | None:
        """Wait for tokens, then until the window ends.

        Returns:
          The tokens, or None once the answer has ended and all are read.
        """
        while not self.tokens:
            if self.end is not None:
                return None
            await self.wait_changed()
        if window_ms and self.end is None:
            await asyncio.sleep(window_ms / 1000)
        batch = tuple(self.tokens)
        self.tokens.clear()
        return TokenBatch(self.position, batch)


def is_done(end: events.TellEnd) -> bool:
    """Return whether a final answer is complete."""
    return end.outcome is data.Outcome.DONE
