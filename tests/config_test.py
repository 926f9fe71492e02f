"""An accepted configuration is in force everywhere within seconds and never reverts."""

import random

import pytest

from plumarch.config import state
from plumarch.core import clock, context, events, messages
from plumarch.proof import invariants
from plumarch.standins import virtual

NODES = {"a1": "a", "a2": "a", "b1": "b", "c1": "c"}
BOUND_MS = 3_000
TEMPLATE = "[template]\nname = desk\n[class.chat]\nfirst_token_ms = 460\n"
DIGEST = "0" * 64


def workspace(name: str, weight: int = 1) -> str:
    return (
        f"[workspace]\nname = {name}\ntemplate = desk\ntoken_sha256 = {DIGEST}\n"
        f"model = writer\nweight = {weight}\n"
    )


def documents(count: int, weight: int = 1) -> dict[str, str]:
    texts = {f"workspace/w{n}": workspace(f"w{n}") for n in range(count)}
    return {"template/desk": TEMPLATE, **texts, "workspace/w0": workspace("w0", weight)}


def seen(revision: int, texts: dict[str, str]) -> events.ConfigSeen:
    manifest = {name: state.digest_of(text) for name, text in texts.items()}
    return events.ConfigSeen(revision, manifest, {manifest[n]: t for n, t in texts.items()})


def revisions(world: virtual.World) -> list[int]:
    return [host.node.config.revision for host in world.hosts.values()]


def config_state() -> state.ConfigState:
    ctx = context.Context("a1#1", "a", clock.ManualClock(), random.Random(1))
    return state.ConfigState(ctx)


def test_one_watcher_is_enough_for_all_nodes() -> None:
    world = virtual.build(NODES)
    world.deliver(world.hosts["a1"], seen(1, documents(3)))
    world.run(BOUND_MS)
    assert revisions(world) == [1, 1, 1, 1]


def test_a_stale_watch_changes_nothing() -> None:
    world = virtual.build(NODES)
    world.deliver(world.hosts["a1"], seen(5, documents(3, weight=5)))
    world.run(BOUND_MS)
    world.deliver(world.hosts["b1"], seen(4, documents(3, weight=4)))
    world.deliver(world.hosts["b1"], seen(5, documents(3, weight=4)))
    world.run(BOUND_MS)
    assert revisions(world) == [5, 5, 5, 5]
    assert world.hosts["b1"].node.config.workspaces["w0"].weight == 5
    assert invariants.violations(world.journal) == []


def test_a_node_new_from_nothing_gets_it_from_peers_while_the_platform_is_out() -> None:
    world = virtual.build(NODES)
    world.deliver(world.hosts["a1"], seen(3, documents(3)))
    world.run(BOUND_MS)
    world.store.faults.down = True
    world.kill("c1")
    world.restart("c1")
    world.run(BOUND_MS)
    assert revisions(world) == [3, 3, 3, 3]


def test_a_data_centre_that_was_cut_off_catches_up() -> None:
    world = virtual.build(NODES)
    world.cut("c", "a")
    world.cut("c", "b")
    for revision in range(1, 100):
        world.deliver(world.hosts["a1"], seen(revision, documents(3, weight=revision)))
        world.run(100)
    world.run(BOUND_MS)
    assert revisions(world) == [99, 99, 99, 0]
    world.heal()
    world.run(BOUND_MS)
    assert revisions(world) == [99, 99, 99, 99]
    assert world.hosts["c1"].node.config.workspaces["w0"].weight == 99
    assert invariants.violations(world.journal) == []


def test_a_checker_of_revisions_can_fail() -> None:
    journal = invariants.Journal()
    for revision in (1, 3, 2):
        journal.revision("a1#1", revision)
    assert invariants.violations(journal) == ["a1#1 went from revision 3 to 2"]


@pytest.mark.parametrize("count", [5, 500])
def test_a_change_touches_only_the_workspace_it_changes(count: int) -> None:
    applied = config_state()
    first = seen(1, documents(count))
    applied.apply(first.revision, first.manifest, first.documents)
    kept = dict(applied.workspaces)
    before = applied.rendered
    second = seen(2, documents(count, weight=7))
    applied.apply(second.revision, second.manifest, second.documents)
    assert applied.rendered - before == 1
    assert [n for n in kept if applied.workspaces[n] is not kept[n]] == ["w0"]


def test_a_changed_template_touches_all_its_workspaces() -> None:
    applied = config_state()
    first = seen(1, documents(5))
    applied.apply(first.revision, first.manifest, first.documents)
    before = applied.rendered
    second = seen(2, {**documents(5), "template/desk": TEMPLATE.replace("460", "300")})
    applied.apply(second.revision, second.manifest, second.documents)
    assert applied.rendered - before == 5


def test_a_peer_a_little_behind_gets_only_what_changed() -> None:
    giver = config_state()
    for revision in (1, 2, 3):
        given = seen(revision, documents(500, weight=revision))
        giver.apply(given.revision, given.manifest, given.documents)
    give = giver.to_message(2)
    assert (give.base, list(give.manifest), len(give.documents)) == (2, ["workspace/w0"], 1)
    taker = config_state()
    assert not taker.apply_message(give)
    assert taker.apply_message(giver.to_message(0))
    assert taker.workspaces == giver.workspaces


def test_a_removed_workspace_is_removed_at_peers_too() -> None:
    giver = config_state()
    taker = config_state()
    first = seen(1, documents(3))
    giver.apply(first.revision, first.manifest, first.documents)
    taker.apply_message(giver.to_message(0))
    less = {n: t for n, t in documents(3).items() if n != "workspace/w2"}
    second = seen(2, less)
    giver.apply(second.revision, second.manifest, second.documents)
    assert taker.apply_message(giver.to_message(1))
    assert sorted(taker.workspaces) == ["w0", "w1"]


def test_an_incomplete_configuration_is_not_put_in_force() -> None:
    applied = config_state()
    assert not applied.apply(1, {"workspace/w0": "missing"}, {})
    assert applied.revision == 0


def test_a_peer_asks_once_a_second_at_most() -> None:
    world = virtual.build({"a1": "a", "b1": "b"})
    host = world.hosts["b1"]
    beat = messages.Heartbeat("a", "live", revision=9)  # type: ignore[arg-type]
    asked = []
    for _ in range(3):
        actions = host.node.handle(events.PeerMessage("a1#1", beat))
        asked += [a for a in actions if isinstance(a, events.Send)]
    assert len([a for a in asked if isinstance(a.message, messages.ConfigAsk)]) == 1
