"""Failures injected at each step of a dispatch: the request runs at most once.

Each caller retries through two other nodes, and "not run" must never be reported wrongly.
"""

import dataclasses
from collections.abc import Callable

import pytest

from plumarch.core import data, events, messages
from plumarch.proof import invariants
from plumarch.recovery import keys
from plumarch.standins import virtual

NODES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
HOME = "a1"
PAUSE_MS = 12_000


@dataclasses.dataclass
class Scene:
    """A non-repeatable request whose slot is owned in another data centre than its home."""

    world: virtual.World
    key: str
    owner: str
    successor: str


def is_claim(action: events.Action) -> bool:
    return isinstance(action, events.Send) and isinstance(action.message, messages.Claim)


def is_grant(action: events.Action) -> bool:
    return isinstance(action, events.Send) and isinstance(action.message, messages.ClaimAnswer)


def is_replicate(action: events.Action) -> bool:
    return isinstance(action, events.Send) and isinstance(action.message, messages.Replicate)


def is_settle(action: events.Action) -> bool:
    return isinstance(action, events.Send) and isinstance(action.message, messages.Settle)


def is_hand_over(action: events.Action) -> bool:
    return isinstance(action, events.HandOver)


# Step name to a predicate on the action, and whether the action is still performed.
POINTS: dict[str, tuple[Callable[[events.Action], bool], bool]] = {
    "before the claim": (is_claim, False),
    "claim sent": (is_claim, True),
    "before the record is held": (is_replicate, False),
    "record held, owner's answer lost": (is_grant, False),
    "granted": (is_grant, True),
    "before the first byte": (is_hand_over, False),
    "handed over": (is_hand_over, True),
    "before the record of the end": (is_settle, False),
    "end recorded": (is_settle, True),
}


def no_failure(scene: Scene) -> None:
    """Inject no failure beyond the possible loss of the step's own action."""


def kill_home(scene: Scene) -> None:
    scene.world.kill(HOME)


def replace_home(scene: Scene) -> None:
    scene.world.kill(HOME)
    scene.world.restart(HOME)


def pause_home(scene: Scene) -> None:
    scene.world.pause(HOME)
    scene.world.at(PAUSE_MS, lambda: scene.world.resume(HOME))


def pause_owner(scene: Scene) -> None:
    scene.world.pause(scene.owner)
    scene.world.at(PAUSE_MS, lambda: scene.world.resume(scene.owner))


def kill_owner(scene: Scene) -> None:
    scene.world.kill(scene.owner)


def kill_owner_and_successor(scene: Scene) -> None:
    scene.world.kill(scene.owner)
    scene.world.kill(scene.successor)


def replace_owner_then_successor(scene: Scene) -> None:
    for delay, name in ((0, scene.owner), (4_000, scene.successor)):
        scene.world.at(delay, lambda name=name: scene.world.kill(name))  # type: ignore[misc]
        scene.world.at(delay + 1, lambda name=name: scene.world.restart(name))  # type: ignore[misc]


def cut_home_off(scene: Scene) -> None:
    scene.world.cut("a", "b")
    scene.world.cut("a", "c")


def cut_owner_off(scene: Scene) -> None:
    centre = NODES[scene.owner]
    for other in sorted(set(NODES.values()) - {centre}):
        scene.world.cut(centre, other)


def cut_owner_off_from_platform_too(scene: Scene) -> None:
    cut_owner_off(scene)
    scene.world.network.platform_cuts.add(NODES[scene.owner])


def cut_all_without_platform(scene: Scene) -> None:
    for one, other in (("a", "b"), ("a", "c"), ("b", "c")):
        scene.world.cut(one, other)
    scene.world.store.faults.down = True


def platform_down_and_owner_killed(scene: Scene) -> None:
    scene.world.store.faults.down = True
    scene.world.kill(scene.owner)


def platform_loses_answers_and_owner_paused(scene: Scene) -> None:
    scene.world.store.faults.lose_answers = 0.7
    pause_owner(scene)


def messages_doubled_and_late(scene: Scene) -> None:
    scene.world.network.double = 0.5
    scene.world.network.late = 0.3


FAILURES = [
    no_failure,
    kill_home,
    replace_home,
    pause_home,
    pause_owner,
    kill_owner,
    kill_owner_and_successor,
    replace_owner_then_successor,
    cut_home_off,
    cut_owner_off,
    cut_owner_off_from_platform_too,
    cut_all_without_platform,
    platform_down_and_owner_killed,
    platform_loses_answers_and_owner_paused,
    messages_doubled_and_late,
]


def scene_with_remote_owner(checks_fencing: bool) -> Scene:
    world = virtual.build(NODES, engines_each=0)
    for endpoint in world.endpoints.values():
        endpoint.info = dataclasses.replace(endpoint.info, checks_fencing=checks_fencing)
    world.publish_endpoints()
    for number in range(1_000):
        key = f"ticket-{number}"
        slot = keys.slot_of("okefenokee", key)
        for name, host in world.hosts.items():
            owned = host.node.ledger.owned.get(slot)
            if owned is None or NODES[name] == "a" or not owned.successor:
                continue
            return Scene(world, key, name, owned.successor.partition("#")[0])
    raise AssertionError("no slot is owned elsewhere")


def interrupt(scene: Scene, point: str, failure: Callable[[Scene], None]) -> list[bool]:
    """Inject a failure at a point; the returned list is non-empty once it was reached."""
    matches, happens = POINTS[point]
    reached: list[bool] = []

    def interfere(host: virtual.Host, action: events.Action) -> bool:
        if reached or not matches(action):
            return True
        reached.append(True)
        failure(scene)
        if isinstance(action, events.HandOver) and not happens:
            refused = events.EndpointFailed(
                action.request.id, action.attempt, False, "connection refused"
            )
            scene.world.at(1, lambda: scene.world.deliver(host, refused))
        return happens

    scene.world.interfere = interfere
    return reached


def ticket(scene: Scene, node: str) -> data.Request:
    return virtual.request(scene.world, node, data.RequestClass.LOOKUP, scene.key, repeatable=False)


@pytest.mark.parametrize("checks_fencing", [False, True], ids=["unfenced", "fenced"])
@pytest.mark.parametrize("failure", FAILURES, ids=lambda f: f.__name__)
@pytest.mark.parametrize("point", POINTS)
def test_interrupted_dispatch_runs_at_most_once(
    point: str, failure: Callable[[Scene], None], checks_fencing: bool
) -> None:
    scene = scene_with_remote_owner(checks_fencing)
    world = scene.world
    reached = interrupt(scene, point, failure)
    world.call(HOME, ticket(scene, HOME))
    world.run(60)
    for node in ("b2", "c2"):
        if world.hosts[node].alive:
            world.call(node, ticket(scene, node))
    world.run(16_000)
    assert reached == [True]
    world.interfere = None
    world.heal()
    world.store.faults.down = False
    world.store.faults.lose_answers = 0.0
    world.run(10_000)
    late = world.call("c2" if world.hosts["c2"].alive else "b2", ticket(scene, "c2"))
    world.run(12_000)
    assert invariants.violations(world.journal) == []
    assert len(late.ends) == 1
    unanswered = [c.name for c in world.callers.values() if not c.lost and not c.ends]
    assert unanswered == []


@pytest.mark.parametrize("place", ["connect", "sent", "ran"])
def test_broken_connection_is_retried_only_before_the_first_byte(place: str) -> None:
    scene = scene_with_remote_owner(checks_fencing=False)
    for endpoint in scene.world.endpoints.values():
        endpoint.break_at = place
    caller = scene.world.call(HOME, ticket(scene, HOME))
    scene.world.run(5_000)
    ran = len(scene.world.journal.executions)
    if place == "connect":
        assert (caller.ends, ran) == ([data.Outcome.DONE], 1)
    else:
        assert caller.ends == [data.Outcome.UNKNOWN]
        assert ran == (1 if place == "ran" else 0)
    assert invariants.violations(scene.world.journal) == []
