"""Outcome by class of request in an isolated data centre, as documented in docs/OPERATIONS.md."""

import pathlib

import pytest

from plumarch.core import data
from plumarch.proof import invariants
from plumarch.recovery import keys
from plumarch.standins import virtual

NODES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
PAGE = pathlib.Path(__file__).parent.parent / "docs" / "OPERATIONS.md"

LOOKUP = data.RequestClass.LOOKUP
# Name to class, data centre of the slot's owner ("" for no key), and whether it is repeatable.
CALLS = {
    "lookup, no key": (LOOKUP, "", True),
    "chat, no key": (data.RequestClass.CHAT, "", True),
    "chat, slot owned here": (data.RequestClass.CHAT, "a", True),
    "chat, slot owned elsewhere": (data.RequestClass.CHAT, "b", True),
    "review or draft, slot owned here": (data.RequestClass.REVIEW, "a", True),
    "review or draft, slot owned elsewhere": (data.RequestClass.REVIEW, "b", True),
    "not repeatable, no key": (LOOKUP, "", False),
    "not repeatable, slot owned here": (LOOKUP, "a", False),
    "not repeatable, slot owned elsewhere": (LOOKUP, "b", False),
}
CUTS = ("platform", "others", "both")
# Outcome 10 s after losing the platform, the other data centres, or both.
TABLE = {
    "lookup, no key": ("done", "done", "done"),
    "chat, no key": ("done", "done", "done"),
    "chat, slot owned here": ("done", "done", "done, weakened"),
    "chat, slot owned elsewhere": ("done", "done, weakened", "done, weakened"),
    "review or draft, slot owned here": ("done", "done, weakened", "done, weakened"),
    "review or draft, slot owned elsewhere": ("done", "done, weakened", "done, weakened"),
    "not repeatable, no key": ("done", "done", "not run"),
    "not repeatable, slot owned here": ("done", "done", "unknown"),
    "not repeatable, slot owned elsewhere": ("done", "unknown", "unknown"),
}


def cut_off(world: virtual.World, cut: str) -> None:
    if cut in ("others", "both"):
        world.cut("a", "b")
        world.cut("a", "c")
    if cut in ("platform", "both"):
        world.network.platform_cuts.add("a")


def reported_outcome(caller: invariants.CallerView) -> str:
    outcome = str(caller.ends[0]).replace("_", " ") if caller.ends else "pending"
    return outcome + (", weakened" if caller.weakened else "")


def key_with_owner(world: virtual.World, centre: str) -> str:
    for number in range(10_000):
        key = f"key-{number}"
        slot = keys.slot_of("okefenokee", key)
        for name, host in world.hosts.items():
            owned = host.node.ledger.owned.get(slot)
            # Either the owner is in data centre a, or neither owner nor successor is.
            if owned is not None and NODES[name] == centre:
                successor = owned.successor.partition("#")[0]
                if centre == "a" or NODES[successor] != "a":
                    return key
    raise AssertionError("no slot")


@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("call", CALLS)
def test_outcome_in_an_isolated_data_centre(call: str, cut: str) -> None:
    request_class, owner, repeatable = CALLS[call]
    world = virtual.build(NODES)
    key = key_with_owner(world, owner) if owner else ""
    cut_off(world, cut)
    world.run(10_000)
    request = virtual.request(world, "a1", request_class, key, repeatable)
    caller = world.call("a1", request)
    world.run(10_000)
    assert reported_outcome(caller) == TABLE[call][CUTS.index(cut)]
    world.heal()
    world.run(10_000)
    assert invariants.violations(world.journal) == []


def test_operations_page_has_the_same_table() -> None:
    page = PAGE.read_text()
    for call, cells in TABLE.items():
        assert f"| {call} | {' | '.join(cells)} |" in page
