"""The scenario of `make demo` on virtual time, with nodes that are held up, over many seeds.

A mixed load at two data centres, one of which is reclaimed with notice, while single nodes or all
of them pause for up to three seconds, as they do when the processor is scarce. Every draft that
was accepted is found by its key at any node, and no promise is broken.
"""

import dataclasses
import random

import pytest

from plumarch.core import data
from plumarch.proof import invariants
from plumarch.standins import virtual

NODES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
LEAVING = ("a1", "a2", "a-engine-0", "a-engine-1", "a-tickets-0")
SEEDS = 50
ROUNDS = 8
ROUND_MS = 1_500
RECLAIM_ROUND = 3
NOTICE_MS = 5_000
TRIES = 12
RETRY_MS = 200
SETTLE_MS = 60_000
PAUSES_MS = (300, 800, 1_500, 2_600, 3_200)
"""From less than a heartbeat to longer than it takes until a silent node counts as gone."""


@dataclasses.dataclass(slots=True)
class Draft:
    """A draft as its caller sees it: submitted until accepted, then asked for by its key."""

    key: str
    tokens: int
    submits: list[invariants.CallerView] = dataclasses.field(default_factory=list)
    fetches: list[invariants.CallerView] = dataclasses.field(default_factory=list)

    def accepted(self) -> bool:
        return any(view.accepted for view in self.submits)

    def done(self) -> bool:
        return any(data.Outcome.DONE in view.ends for view in self.fetches)

    def refused(self) -> bool:
        return not self.accepted() and any(view.ends for view in self.submits)


class Scenario:
    """One run of it."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.world = virtual.build(NODES, seed=seed)
        self.drafts: list[Draft] = []
        self.reclaimed = False

    def node(self) -> str:
        """Return a node that the balancer sends callers to."""
        names = [name for name in NODES if not (self.reclaimed and NODES[name] == "a")]
        return self.rng.choice(names)

    def call(self, request_class: data.RequestClass, key: str, repeatable: bool) -> None:
        node = self.node()
        request = virtual.request(self.world, node, request_class, key, repeatable, 60)
        self.world.call(node, request)

    def submit(self, draft: Draft) -> None:
        if draft.accepted() or draft.refused() or len(draft.submits) >= TRIES:
            self.fetch(draft)
            return
        node = self.node()
        request = virtual.request(
            self.world, node, data.RequestClass.DRAFT, draft.key, max_tokens=draft.tokens
        )
        view = self.world.call(node, request)
        draft.submits.append(view)
        self.when(lambda: bool(view.accepted or view.ends or view.lost), draft, self.submit)

    def fetch(self, draft: Draft) -> None:
        if not draft.accepted() or draft.done() or len(draft.fetches) >= TRIES:
            return
        former = next(view for view in draft.submits if view.accepted)
        view = self.world.fetch(self.node(), former)
        draft.fetches.append(view)
        self.when(lambda: bool(view.ends or view.lost), draft, self.fetch)

    def when(self, over, draft, then) -> None:  # type: ignore[no-untyped-def]
        """Go on with a draft a moment after a condition holds."""
        if over():
            self.world.at(RETRY_MS, lambda: then(draft))
        else:
            self.world.at(RETRY_MS, lambda: self.when(over, draft, then))

    def pause(self) -> None:
        """Hold one node up, or all of them alike."""
        names = list(NODES) if self.rng.random() < 0.3 else [self.rng.choice(list(NODES))]
        for name in names:
            self.world.pause(name)
        held_ms = self.rng.choice(PAUSES_MS)
        self.world.at(held_ms, lambda: [self.world.resume(name) for name in names])

    def play(self) -> None:
        for number in range(ROUNDS):
            self.round(number)
            self.world.run(ROUND_MS)
        self.world.run(SETTLE_MS)

    def round(self, number: int) -> None:
        for workspace in range(3):
            name = f"w{workspace}-{number}"
            self.later(data.RequestClass.CHAT, f"{name}-chat", True)
            self.later(data.RequestClass.LOOKUP, f"{name}-once", False)
            self.later(data.RequestClass.LOOKUP, "", True)
            if number % 2 == 1:
                draft = Draft(f"{name}-draft", 150)
                self.drafts.append(draft)
                self.world.at(self.rng.randrange(ROUND_MS), lambda draft=draft: self.submit(draft))
        if number == RECLAIM_ROUND:
            self.world.reclaim(LEAVING, NOTICE_MS, ("a1", "a2", "b1", "b2"))
            self.world.at(1_000, self.leave_balancer)
        if self.rng.random() < 0.7:
            self.world.at(self.rng.randrange(ROUND_MS), self.pause)

    def later(self, request_class: data.RequestClass, key: str, repeatable: bool) -> None:
        delay = self.rng.randrange(ROUND_MS)
        self.world.at(delay, lambda: self.call(request_class, key, repeatable))

    def leave_balancer(self) -> None:
        self.reclaimed = True


@pytest.mark.parametrize("seed", range(SEEDS))
def test_every_accepted_draft_is_found_by_its_key(seed: int) -> None:
    scenario = Scenario(seed)
    scenario.play()
    assert invariants.violations(scenario.world.journal) == []
    lost = [draft.key for draft in scenario.drafts if draft.accepted() and not draft.done()]
    assert lost == []
