"""The scenario of `make demo` on virtual time with paused nodes, over many seeds.

One of two data centres is reclaimed with notice while nodes pause for up to three seconds, as under
CPU contention. Guards against losing accepted drafts.
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
MAX_ATTEMPTS = 12
RETRY_MS = 200
SETTLE_MS = 60_000
PAUSE_DURATIONS_MS = (300, 800, 1_500, 2_600, 3_200)
"""From less than a heartbeat interval to longer than the timeout of unresponsive nodes."""


@dataclasses.dataclass(slots=True)
class Draft:
    """A caller's draft: submitted until it is accepted, then fetched by its key."""

    key: str
    tokens: int
    submits: list[invariants.CallerView] = dataclasses.field(default_factory=list)
    fetches: list[invariants.CallerView] = dataclasses.field(default_factory=list)

    def accepted(self) -> bool:
        return any(view.accepted for view in self.submits)

    def done(self) -> bool:
        return any(data.Outcome.DONE in view.ends for view in self.fetches)

    def rejected(self) -> bool:
        return not self.accepted() and any(view.ends for view in self.submits)


class Scenario:
    """One run of the scenario."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.world = virtual.build(NODES, seed=seed)
        self.drafts: list[Draft] = []
        self.is_reclaimed = False

    def node(self) -> str:
        """Return a random node that the load balancer uses."""
        names = [name for name in NODES if not (self.is_reclaimed and NODES[name] == "a")]
        return self.rng.choice(names)

    def call(self, request_class: data.RequestClass, key: str, repeatable: bool) -> None:
        node = self.node()
        request = virtual.request(self.world, node, request_class, key, repeatable, 60)
        self.world.call(node, request)

    def submit(self, draft: Draft) -> None:
        if draft.accepted() or draft.rejected() or len(draft.submits) >= MAX_ATTEMPTS:
            self.fetch(draft)
            return
        node = self.node()
        request = virtual.request(
            self.world, node, data.RequestClass.DRAFT, draft.key, max_tokens=draft.tokens
        )
        view = self.world.call(node, request)
        draft.submits.append(view)
        self.run_after(lambda: bool(view.accepted or view.ends or view.lost), draft, self.submit)

    def fetch(self, draft: Draft) -> None:
        if not draft.accepted() or draft.done() or len(draft.fetches) >= MAX_ATTEMPTS:
            return
        accepted_submit = next(view for view in draft.submits if view.accepted)
        view = self.world.fetch(self.node(), accepted_submit)
        draft.fetches.append(view)
        self.run_after(lambda: bool(view.ends or view.lost), draft, self.fetch)

    def run_after(self, condition, draft, action) -> None:  # type: ignore[no-untyped-def]
        """Run an action for a draft RETRY_MS after a condition holds."""
        if condition():
            self.world.at(RETRY_MS, lambda: action(draft))
        else:
            self.world.at(RETRY_MS, lambda: self.run_after(condition, draft, action))

    def pause(self) -> None:
        """Pause one node or all nodes."""
        names = list(NODES) if self.rng.random() < 0.3 else [self.rng.choice(list(NODES))]
        for name in names:
            self.world.pause(name)
        pause_ms = self.rng.choice(PAUSE_DURATIONS_MS)
        self.world.at(pause_ms, lambda: [self.world.resume(name) for name in names])

    def run(self) -> None:
        for number in range(ROUNDS):
            self.schedule_round(number)
            self.world.run(ROUND_MS)
        self.world.run(SETTLE_MS)

    def schedule_round(self, number: int) -> None:
        for workspace in range(3):
            name = f"w{workspace}-{number}"
            self.schedule_call(data.RequestClass.CHAT, f"{name}-chat", True)
            self.schedule_call(data.RequestClass.LOOKUP, f"{name}-once", False)
            self.schedule_call(data.RequestClass.LOOKUP, "", True)
            if number % 2 == 1:
                draft = Draft(f"{name}-draft", 150)
                self.drafts.append(draft)
                self.world.at(self.rng.randrange(ROUND_MS), lambda draft=draft: self.submit(draft))
        if number == RECLAIM_ROUND:
            self.world.reclaim(LEAVING, NOTICE_MS, ("a1", "a2", "b1", "b2"))
            self.world.at(1_000, self.leave_balancer)
        if self.rng.random() < 0.7:
            self.world.at(self.rng.randrange(ROUND_MS), self.pause)

    def schedule_call(self, request_class: data.RequestClass, key: str, repeatable: bool) -> None:
        delay = self.rng.randrange(ROUND_MS)
        self.world.at(delay, lambda: self.call(request_class, key, repeatable))

    def leave_balancer(self) -> None:
        self.is_reclaimed = True


@pytest.mark.parametrize("seed", range(SEEDS))
def test_accepted_drafts_complete_and_are_found_by_key(seed: int) -> None:
    scenario = Scenario(seed)
    scenario.run()
    assert invariants.violations(scenario.world.journal) == []
    lost = [draft.key for draft in scenario.drafts if draft.accepted() and not draft.done()]
    assert lost == []
