"""Checks the delivery guarantees against a journal of executions and answers."""

import dataclasses
import itertools

from plumarch.core import data

KeyName = tuple[str, str]


@dataclasses.dataclass(slots=True)
class CallerView:
    """A caller's request and the answers received.

    Attributes:
      expected: the complete expected answer, or None if unknown.
      ends: final answers received; there must be exactly one.
      faults: tokens received at an unexpected position.
    """

    name: str
    workspace: str
    request: data.Request | None
    expected: tuple[str, ...] | None = None
    key: str = ""
    request_id: str = ""
    accepted: bool = False
    weakened: str = ""
    tokens: list[str] = dataclasses.field(default_factory=list)
    ends: list[data.Outcome] = dataclasses.field(default_factory=list)
    reasons: list[str] = dataclasses.field(default_factory=list)
    reply: data.Reply | None = None
    lost: bool = False
    faults: list[str] = dataclasses.field(default_factory=list)

    def receive_tokens(self, position: int, tokens: tuple[str, ...]) -> None:
        """Append tokens and record gaps and duplicates."""
        if position != len(self.tokens):
            self.faults.append(f"tokens at {position}, expected {len(self.tokens)}")
        self.tokens.extend(tokens)


@dataclasses.dataclass(slots=True)
class Execution:
    """A dispatch that reached an endpoint."""

    workspace: str
    key: str
    request_id: str
    endpoint: str
    at_ms: int
    repeatable: bool


@dataclasses.dataclass(slots=True)
class Journal:
    """Observed executions, answers, notices and configuration revisions."""

    callers: list[CallerView] = dataclasses.field(default_factory=list)
    executions: list[Execution] = dataclasses.field(default_factory=list)
    leaving_since: dict[str, int] = dataclasses.field(default_factory=dict)
    revisions: dict[str, list[int]] = dataclasses.field(default_factory=dict)

    def leaving(self, endpoint: str, at_ms: int) -> None:
        """Record the reclaim notice of an endpoint."""
        self.leaving_since.setdefault(endpoint, at_ms)

    def revision(self, node: str, revision: int) -> None:
        """Record the configuration revision in force on a node incarnation."""
        seen = self.revisions.setdefault(node, [])
        if not seen or seen[-1] != revision:
            seen.append(revision)


LEAVING_BOUND_MS = 3_000
"""Time after its notice from which an endpoint must get no new requests."""


def violations(journal: Journal) -> list[str]:
    """Return a description of each violated guarantee."""
    found = []
    found += at_most_once(journal)
    found += not_run_is_true(journal)
    found += answers_are_complete(journal)
    found += one_final_answer(journal)
    found += leaving_gets_no_work(journal)
    found += configuration_goes_forward(journal)
    return found


def at_most_once(journal: Journal) -> list[str]:
    """Check that no non-repeatable request was executed twice."""
    counts: dict[KeyName, int] = {}
    for execution in journal.executions:
        if not execution.repeatable:
            name = (execution.workspace, execution.key)
            counts[name] = counts.get(name, 0) + 1
    return [f"{name} ran {count} times" for name, count in counts.items() if count > 1]


def not_run_is_true(journal: Journal) -> list[str]:
    """Check that requests answered with "not run" never reached an endpoint."""
    ran_keys = {(e.workspace, e.key) for e in journal.executions if e.key}
    ran_ids = {e.request_id for e in journal.executions}
    found = []
    for caller in journal.callers:
        if data.Outcome.NOT_RUN not in caller.ends:
            continue
        ran = caller.request_id in ran_ids
        if caller.key:
            ran = ran or (caller.workspace, caller.key) in ran_keys
        if ran:
            found.append(f"{caller.name} was answered not_run, but {caller.key} ran")
    return found


def answers_are_complete(journal: Journal) -> list[str]:
    """Check that each answer reported as done is complete, ordered and the caller's own."""
    found = []
    for caller in journal.callers:
        found += [f"{caller.name}: {fault}" for fault in caller.faults]
        if caller.expected is None:
            continue
        if tuple(caller.tokens) != caller.expected[: len(caller.tokens)]:
            found.append(f"{caller.name} received tokens of another request")
        elif data.Outcome.DONE in caller.ends and len(caller.tokens) != len(caller.expected):
            got = f"{len(caller.tokens)} of {len(caller.expected)}"
            found.append(f"{caller.name} was answered done with {got} tokens")
    return found


def one_final_answer(journal: Journal) -> list[str]:
    """Check that no caller received two final answers."""
    return [
        f"{c.name} received {len(c.ends)} final answers" for c in journal.callers if len(c.ends) > 1
    ]


def leaving_gets_no_work(journal: Journal, bound_ms: int = LEAVING_BOUND_MS) -> list[str]:
    """Check that no request reached an endpoint later than the bound after its notice."""
    found = []
    for execution in journal.executions:
        since = journal.leaving_since.get(execution.endpoint)
        if since is not None and execution.at_ms > since + bound_ms:
            late = execution.at_ms - since
            found.append(f"{execution.endpoint} received a request {late} ms after its notice")
    return found


def configuration_goes_forward(journal: Journal) -> list[str]:
    """Check that the configuration revision of no node decreased."""
    return [
        f"{node} went from revision {before} to {after}"
        for node, seen in journal.revisions.items()
        for before, after in itertools.pairwise(seen)
        if after < before
    ]


def accepted_and_unfinished(journal: Journal) -> list[str]:
    """Return accepted requests of waiting classes that were never reported as done.

    Call it only once all requests have had time to finish.
    """
    done = {(c.workspace, c.key) for c in journal.callers if data.Outcome.DONE in c.ends and c.key}
    return [
        f"{c.name} ({c.key}) was accepted and never done"
        for c in journal.callers
        if c.accepted
        and c.request is not None
        and c.request.request_class in data.WAITING_CLASSES
        and (c.workspace, c.key) not in done
    ]
