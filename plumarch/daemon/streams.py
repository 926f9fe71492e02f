"""What a caller is told, from the node's decisions to the HTTP handler that waits for it."""

import asyncio
import dataclasses

from plumarch.core import data, events


@dataclasses.dataclass(frozen=True, slots=True)
class Piece:
    """Tokens ready to be written; position counts the tokens up to their end."""

    position: int
    tokens: tuple[str, ...]


class CallerStream:
    """One caller's answer as it comes in.

    Tokens are read eagerly into a buffer; a reader takes all that came within its
    window at once, which saves most of the cost of waking and writing per token.
    """

    def __init__(self, watcher_id: str) -> None:
        self.watcher_id = watcher_id
        self.accepted: events.TellAccepted | None = None
        self.end: events.TellEnd | None = None
        self.tokens: list[str] = []
        self.position = 0
        self.changed = asyncio.Event()

    def tell_accepted(self, told: events.TellAccepted) -> None:
        """Take in that the request is accepted."""
        self.accepted = told
        self.changed.set()

    def tell_tokens(self, told: events.TellTokens) -> None:
        """Take in tokens."""
        self.tokens.extend(told.tokens)
        self.position = told.position + len(told.tokens)
        self.changed.set()

    def tell_end(self, told: events.TellEnd) -> None:
        """Take in the final answer."""
        self.end = told
        self.changed.set()

    async def wait_change(self) -> None:
        """Wait until something is told after the last wait."""
        await self.changed.wait()
        self.changed.clear()

    async def first_word(self) -> None:
        """Wait until the caller is told anything at all."""
        while self.accepted is None and self.end is None and not self.tokens:
            await self.wait_change()

    async def whole(self) -> events.TellEnd:
        """Wait for the final answer; the tokens stay in the buffer."""
        while self.end is None:
            await self.wait_change()
        return self.end

    async def next_piece(self, window_ms: int) -> Piece | None:
        """Wait for tokens, then for the rest of the window.

        Args:
          window_ms: how long to gather after the first token.
        Returns:
          The tokens, or None once the answer has ended and all is read.
        """
        while not self.tokens:
            if self.end is not None:
                return None
            await self.wait_change()
        if window_ms and self.end is None:
            await asyncio.sleep(window_ms / 1000)
        taken = tuple(self.tokens)
        self.tokens.clear()
        return Piece(self.position, taken)


def is_whole(told: events.TellEnd) -> bool:
    """Return whether a final answer means that the whole answer was given."""
    return told.outcome is data.Outcome.DONE
