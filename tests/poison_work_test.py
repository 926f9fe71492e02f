"""Accepted work that ends each engine that begins to run it must not end them all.

A draft that a node has accepted is tried again until its time is over, at any engine that takes it.
Where engines crash as they begin to read it, each of these tries ends one more, with all that runs
there: in this session 80 engines ended in 80 seconds, since retries wait two seconds at most and
nothing counted the engines that were lost.
"""

import dataclasses

from plumarch.core import data
from plumarch.limits import quarantine
from plumarch.standins import virtual

NODES = {"a1": "a", "b1": "b", "c1": "c"}
ENGINES = 4
STEP_MS = 250
MINUTE_MS = 60_000
ENDED_BEFORE = 3


class Fleet:
    """A world in which an engine starts for each that ended, as an operator's plan has it."""

    def __init__(self) -> None:
        self.world = virtual.build(NODES, engines_each=ENGINES)
        self.ended: set[str] = set()

    def run(self, for_ms: int) -> None:
        for _ in range(for_ms // STEP_MS):
            self.world.run(STEP_MS)
            self._replace()

    def _replace(self) -> None:
        gone = [one.info for one in self.world.endpoints.values() if not one.alive]
        for info in gone:
            if info.name not in self.ended:
                self.ended.add(info.name)
                name = f"{info.data_centre}-later-{len(self.ended)}"
                self.world.add_endpoint(dataclasses.replace(info, name=name))
        self.world.publish_endpoints()

    def draft(self, entry: str, key: str, timeout_ms: int, tokens: int = 20) -> data.Request:
        return virtual.request(
            self.world,
            entry,
            data.RequestClass.DRAFT,
            key,
            timeout_ms=timeout_ms,
            max_tokens=tokens,
        )


def poisoned(timeout_ms: int) -> tuple[Fleet, data.Request]:
    fleet = Fleet()
    draft = fleet.draft("a1", "poison", timeout_ms)
    fleet.world.crashing_keys.add(draft.key)
    return fleet, draft


def test_work_that_ends_its_engines_is_tried_seldom_and_other_work_is_done():
    fleet, draft = poisoned(20 * MINUTE_MS)
    fleet.world.call("a1", draft)
    others = []
    for number in range(20):
        entry = ("a1", "b1", "c1")[number % 3]
        other = fleet.draft(entry, f"other-{number}", 2 * MINUTE_MS)
        others.append(fleet.world.call(entry, other))
        fleet.run(1_000)
    fleet.run(MINUTE_MS)
    assert len(fleet.ended) <= ENDED_BEFORE + 1, len(fleet.ended)
    assert all(other.ends == [data.Outcome.DONE] for other in others)


def test_work_whose_time_ends_before_the_next_try_is_given_up_at_once():
    fleet, draft = poisoned(quarantine.FIRST_TRIAL_MS // 2)
    caller = fleet.world.call("a1", draft)
    fleet.run(6_000)
    assert caller.ends == [data.Outcome.UNKNOWN]
    assert len(fleet.ended) == ENDED_BEFORE


def test_ends_are_counted_on_when_the_work_gets_another_home():
    fleet, draft = poisoned(20 * MINUTE_MS)
    fleet.world.call("a1", draft)
    fleet.run(6_000)
    for name, told in (("a1", ("a1", "b1", "c1")), ("b1", ("b1", "c1"))):
        fleet.world.reclaim((name,), 3_000, told)
        fleet.run(6_000)
    assert len(fleet.ended) <= ENDED_BEFORE, len(fleet.ended)


def test_work_that_outlives_the_loss_of_several_engines_is_done():
    """Engines that end for another reason take tokens with them that were made before."""
    fleet = Fleet()
    draft = fleet.draft("a1", "long", 20 * MINUTE_MS, tokens=400)
    caller = fleet.world.call("a1", draft)
    for _ in range(6):
        fleet.run(1_000)
        for endpoint in list(fleet.world.endpoints.values()):
            if endpoint.calls:
                fleet.world.kill_endpoint(endpoint.info.name)
    fleet.run(MINUTE_MS)
    assert caller.ends == [data.Outcome.DONE]
