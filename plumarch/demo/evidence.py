"""Logs the decisions and caller attempts of a demo run in the format of `plumarch story`."""

import asyncio
import pathlib

import msgspec

from plumarch.cli import stories
from plumarch.core import data
from plumarch.load import callers

CALLER = "caller"
"""Node name in log lines of caller attempts."""


def decision_line(decision: data.Decision) -> bytes:
    """Encode a decision as a log line."""
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
    """Encode the attempts of a caller as log lines."""
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
    """Log of a running deployment.

    Attributes:
      queue: receives the decisions of all nodes.
      lines: lines logged so far.
    """

    def __init__(
        self, folder: pathlib.Path, name: str, queue: asyncio.Queue[data.Decision]
    ) -> None:
        self.file = folder / f"{name}.jsonl"
        self.queue = queue
        self.lines: list[bytes] = []

    async def record(self) -> None:
        """Log decisions until cancelled."""
        while True:
            self.lines.append(decision_line(await self.queue.get()))

    def close(self, outcomes: list[callers.Outcome]) -> None:
        """Append the caller attempts and write the log file."""
        while not self.queue.empty():
            self.lines.append(decision_line(self.queue.get_nowait()))
        for outcome in outcomes:
            self.lines += attempt_lines(outcome)
        self.file.write_bytes(b"\n".join(self.lines) + b"\n")

    def story(self, key: str) -> str:
        """Return the story of the request with a key."""
        lines = stories.parse(line.decode() for line in self.lines)
        return stories.render(stories.story(lines, key))
