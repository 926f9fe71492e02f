"""What a run of the demo leaves behind: each node's decisions and each caller's tries, as logs.

The lines are those that `plumarch story` reads, so that a broken promise can be traced after
the demo has ended.
"""

import asyncio
import pathlib

import msgspec

from plumarch.cli import stories
from plumarch.core import data
from plumarch.load import callers

CALLER = "caller"
"""The node name under which callers' tries are written."""


def decision_line(decision: data.Decision) -> bytes:
    """Return a decision as one line of a log."""
    fields = {
        "at": decision.at_ms,
        "node": decision.node,
        "kind": decision.kind,
        "request": decision.request_id,
        "key": decision.key,
        "workspace": decision.workspace,
        "choice": decision.choice,
        "why": decision.why,
    }
    return msgspec.json.encode(fields)


def attempt_lines(outcome: callers.Outcome) -> list[bytes]:
    """Return the tries of one caller as lines of a log."""
    return [
        msgspec.json.encode(
            {
                "at": attempt.at_ms,
                "node": CALLER,
                "kind": "try",
                "request": "",
                "key": outcome.view.key,
                "workspace": outcome.view.workspace,
                "result": attempt.result,
            }
        )
        for attempt in outcome.attempts
    ]


class Evidence:
    """The log of one deployment while it runs.

    Attributes:
      queue: gets the decisions of all its nodes.
      lines: what was written so far.
    """

    def __init__(
        self, folder: pathlib.Path, name: str, queue: asyncio.Queue[data.Decision]
    ) -> None:
        self.file = folder / f"{name}.jsonl"
        self.queue = queue
        self.lines: list[bytes] = []

    async def record(self) -> None:
        """Take in decisions until cancelled."""
        while True:
            self.lines.append(decision_line(await self.queue.get()))

    def close(self, outcomes: list[callers.Outcome]) -> None:
        """Write the log, with what callers saw."""
        while not self.queue.empty():
            self.lines.append(decision_line(self.queue.get_nowait()))
        for outcome in outcomes:
            self.lines += attempt_lines(outcome)
        self.file.write_bytes(b"\n".join(self.lines) + b"\n")

    def story(self, key: str) -> str:
        """Return the story of the request that callers know by a key."""
        lines = stories.parse(line.decode() for line in self.lines)
        return stories.render(stories.story(lines, key))
