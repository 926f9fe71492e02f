"""Guards of the slot protocol that prevent a request from running twice."""

import handover_test
import pytest

from plumarch.core import clock, data, events, messages
from plumarch.node import node
from plumarch.proof import invariants
from plumarch.recovery import keys
from plumarch.standins import virtual

HOME = handover_test.HOME


def slots_without_single_owner(world: virtual.World) -> list[int]:
    """Return the slots that have no live owner or several."""
    count = dict.fromkeys(range(keys.SLOTS), 0)
    for host in world.hosts.values():
        if host.alive:
            for number in host.node.ledger.owned:
                count[number] += 1
    return [number for number, owners in count.items() if owners != 1]


def ends(caller: invariants.CallerView) -> list[str]:
    return [str(end) for end in caller.ends]


def test_refusal_settles_the_key_for_all_nodes() -> None:
    scene = handover_test.scene_with_remote_owner(checks_fencing=False)
    world = scene.world
    world.hosts[HOME].node.placement.update(())
    refused = world.call(HOME, handover_test.ticket(scene, HOME))
    world.run(1_000)
    late = world.call("c2", handover_test.ticket(scene, "c2"))
    world.run(1_000)
    assert ends(refused) == ends(late) == ["not_run"]
    assert world.journal.executions == []


def test_unreplicated_refusal_is_not_reported_later() -> None:
    world = virtual.build({"a1": "a", "b1": "b", "c1": "c"}, engines_each=0)
    key = key_owned_by(world, "a1")
    world.cut("a", "b")
    world.cut("a", "c")
    world.store.faults.down = True
    world.hosts["a1"].node.placement.update(())
    first = call(world, "a1", key)
    world.run(4_000)
    second = call(world, "a1", key)
    world.run(4_000)
    assert ends(first) == ends(second) == ["unknown"]


def key_owned_by(world: virtual.World, name: str) -> str:
    owned = world.hosts[name].node.ledger.owned
    for number in range(10_000):
        key = f"ticket-{number}"
        slot = owned.get(keys.slot_of("okefenokee", key))
        if slot is not None and slot.successor:
            return key
    raise AssertionError(f"{name} owns no slot")


def call(world: virtual.World, name: str, key: str) -> invariants.CallerView:
    request = virtual.request(world, name, data.RequestClass.LOOKUP, key, repeatable=False)
    return world.call(name, request)


def test_keys_are_uncertain_after_loss_of_owner_successor_and_home() -> None:
    scene = handover_test.scene_with_remote_owner(checks_fencing=False)
    world = scene.world
    done = world.call(HOME, handover_test.ticket(scene, HOME))
    world.run(500)
    for name in {scene.owner, scene.successor, HOME}:
        world.kill(name)
    world.run(20_000)
    survivors = [name for name, host in world.hosts.items() if host.alive]
    again = world.call(survivors[0], handover_test.ticket(scene, survivors[0]))
    issued = call(world, survivors[0], "")
    world.run(3_000)
    assert ends(done) == ["done"]
    assert ends(again) == ["unknown"]
    assert ends(issued) == ["done"]
    assert invariants.violations(world.journal) == []
    assert slots_without_single_owner(world) == []


def other(scene: handover_test.Scene) -> str:
    """Return a node that is neither home nor owner nor successor."""
    busy = {HOME, scene.owner, scene.successor}
    return next(name for name in scene.world.hosts if name not in busy)


def test_slot_is_not_taken_over_while_owner_and_successor_are_only_unresponsive() -> None:
    scene = handover_test.scene_with_remote_owner(checks_fencing=False)
    world = scene.world
    world.call(HOME, handover_test.ticket(scene, HOME))
    world.run(500)
    for name in (scene.owner, scene.successor):
        world.pause(name)
    world.run(20_000)
    meanwhile = world.call(other(scene), handover_test.ticket(scene, other(scene)))
    world.run(5_000)
    for name in (scene.owner, scene.successor):
        world.resume(name)
    world.run(6_000)
    again = world.call(other(scene), handover_test.ticket(scene, other(scene)))
    world.run(3_000)
    assert ends(meanwhile) == ["unknown"]
    assert ends(again) == ["done"]
    assert all(
        not s.uncertain_epoch for h in world.hosts.values() for s in h.node.ledger.owned.values()
    )
    assert invariants.violations(world.journal) == []


def test_uncertainty_ends_after_the_retention_of_records() -> None:
    scene = handover_test.scene_with_remote_owner(checks_fencing=False)
    world = scene.world
    for name in (scene.owner, scene.successor):
        world.kill(name)
    world.run(20_000)
    early = world.call(other(scene), handover_test.ticket(scene, other(scene)))
    world.run(keys.RETENTION_MS)
    late = call(world, other(scene), scene.key)
    world.run(3_000)
    assert ends(early) == ["unknown"]
    assert ends(late) == ["done"]


def test_leaving_successor_takes_over_from_a_lost_owner_and_hands_the_slot_on() -> None:
    scene = handover_test.scene_with_remote_owner(checks_fencing=False)
    world = scene.world
    world.call(HOME, handover_test.ticket(scene, HOME))
    world.run(500)
    world.kill(scene.owner)
    world.deliver(world.hosts[scene.successor], events.StopAsked())
    world.run(12_000)
    again = world.call(other(scene), handover_test.ticket(scene, other(scene)))
    world.run(3_000)
    assert ends(again) == ["done"]
    assert world.hosts[scene.successor].node.ledger.has_no_slots()
    assert slots_without_single_owner(world) == []


def test_permissions_in_the_slot_object_reach_the_next_owner() -> None:
    """The successor is unreachable, so the record is stored in the object; the owner is killed."""
    scene = handover_test.scene_with_remote_owner(checks_fencing=False)
    world = scene.world
    world.cut(scene.owner, scene.successor)
    done = world.call(HOME, handover_test.ticket(scene, HOME))
    world.run(700)
    assert ends(done) == ["done"]
    assert world.counts["permissions_failed"] == 0
    world.kill(scene.owner)
    world.kill(HOME)
    world.run(10_000)
    again = world.call(other(scene), handover_test.ticket(scene, other(scene)))
    world.run(3_000)
    assert ends(again) == ["unknown"]
    assert invariants.violations(world.journal) == []
    assert slots_without_single_owner(world) == []


@pytest.mark.parametrize("lost_on_the_way", [True, False])
def test_unresolved_change_of_successor_needs_both_acknowledgements(lost_on_the_way: bool) -> None:
    """The change took effect, its answer may be lost, and the candidate misses a record."""
    scene = handover_test.scene_with_remote_owner(checks_fencing=False)
    world = scene.world
    number = keys.slot_of("okefenokee", scene.key)
    slot = world.hosts[scene.owner].node.ledger.owned[number]
    candidate = next(
        host.node.ctx.node
        for name, host in world.hosts.items()
        if handover_test.NODES[name] not in ("a", handover_test.NODES[scene.owner])
        and name != scene.successor
    )
    world.store.faults.lose_answers = 1.0 if lost_on_the_way else 0.0
    world.hosts[scene.owner].node.ledger._start_copy(slot, candidate)

    def keep_from_candidate(host: virtual.Host, action: events.Action) -> bool:
        if isinstance(action, events.Send) and isinstance(action.message, messages.Replicate):
            return action.node != candidate
        if host.name == scene.owner and isinstance(action, events.PlatformGet):
            return not lost_on_the_way
        return True

    world.interfere = keep_from_candidate
    for action in world.hosts[scene.owner].node._collect_actions():
        world._perform(world.hosts[scene.owner], action)
    world.run(100)
    caller = world.call(HOME, handover_test.ticket(scene, HOME))
    world.run(5_000)
    world.kill(scene.owner)
    world.kill(HOME)
    world.store.faults.lose_answers = 0.0
    world.interfere = None
    world.run(12_000)
    again = world.call(other(scene), handover_test.ticket(scene, other(scene)))
    world.run(4_000)
    assert len(ends(caller)) == 1
    assert len(ends(again)) == 1
    assert invariants.violations(world.journal) == []
    assert slots_without_single_owner(world) == []


def test_takeover_with_a_lost_answer_is_confirmed_by_reading_back() -> None:
    scene = handover_test.scene_with_remote_owner(checks_fencing=False)
    world = scene.world
    world.store.faults.lose_answers = 1.0
    world.kill(scene.owner)
    world.run(20_000)
    assert slots_without_single_owner(world) == []
    assert world.counts["ambiguous_writes_resolved"] > 0


def lone_node(name: str = "b1#1") -> node.Node:
    import random

    return node.Node(name, "b", clock.ManualClock(1_000), random.Random(1), ("a1", "c1"))


def sent(actions: list[events.Action]) -> list[messages.AnyMessage]:
    return [action.message for action in actions if isinstance(action, events.Send)]


RECORD = data.KeyRecord("w", "k", "a1#1/1", "a1#1", 1, data.KeyState.GRANTED)


def test_holder_acknowledges_only_the_epoch_and_owner_of_its_table() -> None:
    holder = lone_node()
    copy = messages.TableCopy(3, 2, 1, [])
    assert sent(holder.handle(events.PeerMessage("c1#1", copy))) == [messages.TableCopied(3, 2, 1)]
    old = messages.Replicate(3, 1, 7, RECORD)
    assert sent(holder.handle(events.PeerMessage("a1#1", old))) == [messages.NoTable(3, 1)]
    other = messages.Replicate(3, 2, 7, RECORD)
    assert sent(holder.handle(events.PeerMessage("a1#1", other))) == [messages.NoTable(3, 2)]
    right = sent(holder.handle(events.PeerMessage("c1#1", other)))
    assert right == [messages.Replicated(3, 2, 7)]
    heartbeat = messages.Heartbeat("a", data.NodeState.LIVE, owned=[(3, 3)])
    holder.handle(events.PeerMessage("a1#1", heartbeat))
    assert sent(holder.handle(events.PeerMessage("c1#1", other))) == []


def test_late_older_table_copy_is_ignored() -> None:
    holder = lone_node()
    holder.handle(events.PeerMessage("c1#1", messages.TableCopy(3, 2, 2, [RECORD])))
    late = holder.handle(events.PeerMessage("c1#1", messages.TableCopy(3, 2, 1, [])))
    assert sent(late) == []
    assert holder.ledger.held[3].table.listing()[0].key == "k"
