"""An accepted configuration reaches all nodes within seconds and is never reverted."""

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


def config_seen(revision: int, texts: dict[str, str]) -> events.ConfigSeen:
    manifest = {name: state.digest_of(text) for name, text in texts.items()}
    return events.ConfigSeen(revision, manifest, {manifest[n]: t for n, t in texts.items()})


def revisions(world: virtual.World) -> list[int]:
    return [host.node.config.revision for host in world.hosts.values()]


def config_state() -> state.ConfigState:
    ctx = context.Context("a1#1", "a", clock.ManualClock(), random.Random(1))
    return state.ConfigState(ctx)


def test_one_watcher_distributes_a_configuration_to_all_nodes() -> None:
    world = virtual.build(NODES)
    world.deliver(world.hosts["a1"], config_seen(1, documents(3)))
    world.run(BOUND_MS)
    assert revisions(world) == [1, 1, 1, 1]


def test_stale_revisions_are_ignored() -> None:
    world = virtual.build(NODES)
    world.deliver(world.hosts["a1"], config_seen(5, documents(3, weight=5)))
    world.run(BOUND_MS)
    world.deliver(world.hosts["b1"], config_seen(4, documents(3, weight=4)))
    world.deliver(world.hosts["b1"], config_seen(5, documents(3, weight=4)))
    world.run(BOUND_MS)
    assert revisions(world) == [5, 5, 5, 5]
    assert world.hosts["b1"].node.config.workspaces["w0"].weight == 5
    assert invariants.violations(world.journal) == []


def test_restarted_node_gets_the_configuration_from_peers_during_a_platform_outage() -> None:
    world = virtual.build(NODES)
    world.deliver(world.hosts["a1"], config_seen(3, documents(3)))
    world.run(BOUND_MS)
    world.store.faults.down = True
    world.kill("c1")
    world.restart("c1")
    world.run(BOUND_MS)
    assert revisions(world) == [3, 3, 3, 3]


def test_partitioned_data_centre_catches_up() -> None:
    world = virtual.build(NODES)
    world.cut("c", "a")
    world.cut("c", "b")
    for revision in range(1, 100):
        world.deliver(world.hosts["a1"], config_seen(revision, documents(3, weight=revision)))
        world.run(100)
    world.run(BOUND_MS)
    assert revisions(world) == [99, 99, 99, 0]
    world.heal()
    world.run(BOUND_MS)
    assert revisions(world) == [99, 99, 99, 99]
    assert world.hosts["c1"].node.config.workspaces["w0"].weight == 99
    assert invariants.violations(world.journal) == []


def test_invariant_check_detects_a_revision_that_decreases() -> None:
    journal = invariants.Journal()
    for revision in (1, 3, 2):
        journal.revision("a1#1", revision)
    assert invariants.violations(journal) == ["a1#1 went from revision 3 to 2"]


@pytest.mark.parametrize("count", [5, 500])
def test_change_of_a_workspace_renders_only_that_workspace(count: int) -> None:
    applied = config_state()
    first = config_seen(1, documents(count))
    applied.apply(first.revision, first.manifest, first.documents)
    initial = dict(applied.workspaces)
    before = applied.rendered
    second = config_seen(2, documents(count, weight=7))
    applied.apply(second.revision, second.manifest, second.documents)
    assert applied.rendered - before == 1
    assert [n for n in initial if applied.workspaces[n] is not initial[n]] == ["w0"]


def test_change_of_a_template_renders_all_its_workspaces() -> None:
    applied = config_state()
    first = config_seen(1, documents(5))
    applied.apply(first.revision, first.manifest, first.documents)
    before = applied.rendered
    second = config_seen(2, {**documents(5), "template/desk": TEMPLATE.replace("460", "300")})
    applied.apply(second.revision, second.manifest, second.documents)
    assert applied.rendered - before == 5


def test_peer_with_a_recent_revision_receives_only_changes() -> None:
    sender = config_state()
    for revision in (1, 2, 3):
        change = config_seen(revision, documents(500, weight=revision))
        sender.apply(change.revision, change.manifest, change.documents)
    update = sender.to_message(2)
    assert (update.base, list(update.manifest), len(update.documents)) == (2, ["workspace/w0"], 1)
    receiver = config_state()
    assert not receiver.apply_message(update)
    assert receiver.apply_message(sender.to_message(0))
    assert receiver.workspaces == sender.workspaces


def test_removal_of_a_workspace_reaches_peers() -> None:
    sender = config_state()
    receiver = config_state()
    first = config_seen(1, documents(3))
    sender.apply(first.revision, first.manifest, first.documents)
    receiver.apply_message(sender.to_message(0))
    remaining = {n: t for n, t in documents(3).items() if n != "workspace/w2"}
    second = config_seen(2, remaining)
    sender.apply(second.revision, second.manifest, second.documents)
    assert receiver.apply_message(sender.to_message(1))
    assert sorted(receiver.workspaces) == ["w0", "w1"]


def test_incomplete_configuration_is_not_applied() -> None:
    applied = config_state()
    assert not applied.apply(1, {"workspace/w0": "missing"}, {})
    assert applied.revision == 0


def test_configuration_is_requested_at_most_once_a_second() -> None:
    world = virtual.build({"a1": "a", "b1": "b"})
    host = world.hosts["b1"]
    heartbeat = messages.Heartbeat("a", "live", revision=9)  # type: ignore[arg-type]
    sent = []
    for _ in range(3):
        actions = host.node.handle(events.PeerMessage("a1#1", heartbeat))
        sent += [a for a in actions if isinstance(a, events.Send)]
    assert len([a for a in sent if isinstance(a.message, messages.ConfigAsk)]) == 1
