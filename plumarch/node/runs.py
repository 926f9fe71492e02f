"""Requests whose home is this node, active and ended."""

import dataclasses
import enum

from plumarch.core import context, data
from plumarch.recovery import keys

RUNS_LIMIT = 5_000
"""Maximum active requests; others are refused as not run."""

ENDED_LIMIT = 5_000
ENDED_BYTES_LIMIT = 16 * 1024 * 1024
ENDED_RETENTION_MS = 120_000
"""Retention for callers that reattach."""

TRIES_PER_HOME = 1_000
"""Range of attempt numbers of each home."""


class Phase(enum.StrEnum):
    """Phase of a request."""

    CLAIMING = "claiming"
    COPYING = "copying"
    QUEUED = "queued"
    RUNNING = "running"
    REFUSING = "refusing"
    ENDED = "ended"


@dataclasses.dataclass(slots=True)
class Watcher:
    """A reader of an answer; node is "" for a local caller."""

    watcher_id: str
    node: str
    position: int


@dataclasses.dataclass(slots=True)
class Run:
    """A request at its home.

    Attributes:
      home_attempt: sequence number of this home.
      own_key: whether this node issued the key and sent it to no one yet.
      handed_over: whether a byte may have reached an endpoint, from this or an earlier home.
      handed_over_before: its value before the attempt in progress.
      points: suspicion of crashing endpoints, as in limits.quarantine.
      superseded: attempt that continues at a leaving endpoint until the next one answers.
      import_from: previous home's engine that can export the KV cache, or "".
      weakened: the guarantee that does not hold, or "".
    """

    request: data.Request
    accepted_ms: int
    phase: Phase = Phase.CLAIMING
    home_attempt: int = 1
    tries: int = 0
    own_key: bool = False
    recorded: bool = False
    epoch: int = 0
    handed_over: bool = False
    handed_over_before: bool = False
    acceptance_sent: bool = False
    endpoint: str = ""
    tried: set[str] = dataclasses.field(default_factory=set)
    points: int = 0
    tokens: list[str] = dataclasses.field(default_factory=list)
    watchers: dict[str, Watcher] = dataclasses.field(default_factory=dict)
    queued_ms: int = 0
    started_ms: int = 0
    last_token_ms: int = 0
    not_before_ms: int = 0
    leave_by_ms: int = 0
    superseded: int = 0
    import_from: str = ""
    import_attempt: int = 0
    abandoned_ms: int = 0
    copy_holder: str = ""
    copy_requested_ms: int = 0
    copy_tried: set[str] = dataclasses.field(default_factory=set)
    adopter: str = ""
    adopt_requested_ms: int = 0
    weakened: str = ""
    refusal: data.Reason | None = None
    outcome: data.Outcome = data.Outcome.RUNNING
    reason: str = ""
    reply: data.Reply | None = None
    ended_ms: int = 0

    def attempt(self) -> int:
        """Return the endpoint call's number, unique across homes."""
        return self.home_attempt * TRIES_PER_HOME + self.tries

    def waits(self) -> bool:
        """Return whether the class may wait for long and is copied."""
        return self.request.request_class in data.WAITING_CLASSES

    def left_ms(self, now: int) -> int:
        """Return the time until the caller's timeout."""
        return self.accepted_ms + self.request.timeout_ms - now


class RunTable:
    """Active and ended runs, by request id."""

    def __init__(self, ctx: context.Context) -> None:
        self.ctx = ctx
        self.active: dict[str, Run] = {}
        self.ended: dict[str, Run] = {}
        self.ended_bytes = 0

    def get(self, request_id: str) -> Run | None:
        """Return a run, active or ended."""
        return self.active.get(request_id) or self.ended.get(request_id)

    def full(self) -> bool:
        """Return whether the limit of active runs is reached."""
        return len(self.active) >= RUNS_LIMIT

    def add(self, run: Run) -> None:
        """Add an active run."""
        self.active[run.request.id] = run

    def remove(self, request_id: str) -> None:
        """Remove a run that moved or joined another request."""
        self.active.pop(request_id, None)

    def end(self, run: Run) -> None:
        """Mark a run as ended."""
        self.active.pop(run.request.id, None)
        run.phase = Phase.ENDED
        run.ended_ms = self.ctx.now()
        self.ended[run.request.id] = run
        self.ended_bytes += _size(run)
        self._trim()

    def _trim(self) -> None:
        now = self.ctx.now()
        while self.ended:
            oldest = next(iter(self.ended.values()))
            too_many = len(self.ended) > ENDED_LIMIT or self.ended_bytes > ENDED_BYTES_LIMIT
            if not too_many and now - oldest.ended_ms <= ENDED_RETENTION_MS:
                return
            del self.ended[oldest.request.id]
            self.ended_bytes -= _size(oldest)

    def tick(self) -> None:
        """Drop expired ended runs."""
        self._trim()


def _size(run: Run) -> int:
    reply = keys.reply_size(run.reply) if run.reply else 0
    return len(run.request.body) + reply
