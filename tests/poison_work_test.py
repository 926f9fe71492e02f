"""Accepted work that crashes engines is quarantined.

Guards against retries that crash one engine after the other until the request times out.
"""

import dataclasses

from plumarch.core import data
from plumarch.limits import quarantine
from plumarch.standins import virtual

NODES = {"a1": "a", "b1": "b", "c1": "c"}
ENGINES = 4
STEP_MS = 250
MINUTE_MS = 60_000
CRASHES_BEFORE_QUARANTINE = 3


class Fleet:
    """World that replaces each crashed engine by a new one."""

    def __init__(self) -> None:
        self.world = virtual.build(NODES, engines_each=ENGINES)
        self.crashed: set[str] = set()

    def run(self, for_ms: int) -> None:
        for _ in range(for_ms // STEP_MS):
            self.world.run(STEP_MS)
            self._replace()

    def _replace(self) -> None:
        dead = [one.info for one in self.world.endpoints.values() if not one.alive]
        for info in dead:
            if info.name not in self.crashed:
                self.crashed.add(info.name)
                name = f"{info.data_centre}-later-{len(self.crashed)}"
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


def test_crashing_request_is_quarantined_and_others_complete():
    fleet, draft = poisoned(20 * MINUTE_MS)
    fleet.world.call("a1", draft)
    others = []
    for number in range(20):
        entry = ("a1", "b1", "c1")[number % 3]
        other = fleet.draft(entry, f"other-{number}", 2 * MINUTE_MS)
        others.append(fleet.world.call(entry, other))
        fleet.run(1_000)
    fleet.run(MINUTE_MS)
    assert len(fleet.crashed) <= CRASHES_BEFORE_QUARANTINE + 1, len(fleet.crashed)
    assert all(other.ends == [data.Outcome.DONE] for other in others)


def test_request_whose_timeout_precedes_the_next_trial_is_abandoned():
    fleet, draft = poisoned(quarantine.FIRST_TRIAL_MS // 2)
    caller = fleet.world.call("a1", draft)
    fleet.run(6_000)
    assert caller.ends == [data.Outcome.UNKNOWN]
    assert len(fleet.crashed) == CRASHES_BEFORE_QUARANTINE


def test_crash_count_survives_a_change_of_home():
    fleet, draft = poisoned(20 * MINUTE_MS)
    fleet.world.call("a1", draft)
    fleet.run(6_000)
    for name, notified in (("a1", ("a1", "b1", "c1")), ("b1", ("b1", "c1"))):
        fleet.world.reclaim((name,), 3_000, notified)
        fleet.run(6_000)
    assert len(fleet.crashed) <= CRASHES_BEFORE_QUARANTINE, len(fleet.crashed)


def test_request_that_makes_progress_survives_several_crashes():
    """Guards against quarantining a long request that outlives crashes it did not cause."""
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
