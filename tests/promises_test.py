"""Random interleavings of calls and failures must not violate any invariant.

CI runs a fixed set of examples. For more:
PLUMARCH_EXAMPLES=2000 PLUMARCH_SEED=7 .venv/bin/python -m pytest tests/promises_test.py
"""

import dataclasses
import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from plumarch.core import data, events
from plumarch.proof import invariants
from plumarch.standins import virtual

NODES = {"a1": "a", "a2": "a", "b1": "b", "c1": "c"}
NAMES = sorted(NODES)
CENTRES = sorted(set(NODES.values()))
KEYS = ["k0", "k1", "k2", "k3"]
EXAMPLES = int(os.environ.get("PLUMARCH_EXAMPLES", "25"))
SEED = os.environ.get("PLUMARCH_SEED", "")
PLACES = ["connect", "sent", "ran"]
CLASSES = list(data.RequestClass)

nodes = st.sampled_from(NAMES)
centres = st.sampled_from(CENTRES)


class Promises(stateful.RuleBasedStateMachine):
    """Four nodes in three data centres, and everything that the brief says fails."""

    def __init__(self) -> None:
        super().__init__()
        self.world = virtual.World()
        self.settled = False
        self.lost_any = False

    @stateful.initialize(seed=st.integers(0, 1_000))
    def build(self, seed: int) -> None:
        self.world = virtual.build(NODES, engines_each=1, seed=seed)
        for endpoint in self.world.endpoints.values():
            if endpoint.info.kind is data.EndpointKind.SERVICE:
                # Small and slow, so that refusals happen.
                endpoint.info = dataclasses.replace(endpoint.info, capacity=1)
                endpoint.slow = 8.0
        self.world.publish_endpoints()

    @stateful.rule(
        names=st.lists(nodes, min_size=1, max_size=4),
        key=st.sampled_from(KEYS),
        gap=st.sampled_from([0, 1, 5, 30]),
    )
    def call_once(self, names: list[str], key: str, gap: int) -> None:
        """A ticket: not repeatable. The same key may come by several nodes at once."""
        for node in names:
            request = virtual.request(
                self.world, node, data.RequestClass.LOOKUP, key, repeatable=False
            )
            self.world.call(node, request)
            self.world.run(gap)

    @stateful.rule(node=nodes, count=st.integers(2, 12))
    def flood(self, node: str, count: int) -> None:
        """More tickets than fit in: some are refused."""
        for _ in range(count):
            request = virtual.request(
                self.world,
                node,
                data.RequestClass.LOOKUP,
                f"f{len(self.world.callers)}",
                repeatable=False,
            )
            self.world.call(node, request)

    @stateful.rule(one=nodes, other=nodes, wait=st.sampled_from([0, 3, 6_000]))
    def lose_two(self, one: str, other: str, wait: int) -> None:
        """Two nodes vanish, maybe an owner and its successor; they come back later."""
        if one == other:
            return
        self.lost_any = True
        for name in (one, other):
            self.world.kill(name)
        self.world.run(wait)
        for name in (one, other):
            self.world.restart(name)

    @stateful.rule(node=nodes)
    def call_once_without_key(self, node: str) -> None:
        request = virtual.request(self.world, node, data.RequestClass.LOOKUP, repeatable=False)
        self.world.call(node, request)

    @stateful.rule(node=nodes, request_class=st.sampled_from(CLASSES), keyed=st.booleans())
    def call(self, node: str, request_class: data.RequestClass, keyed: bool) -> None:
        key = f"r{len(self.world.callers)}" if keyed else ""
        self.world.call(node, virtual.request(self.world, node, request_class, key))

    @stateful.precondition(lambda self: self.world.callers)
    @stateful.rule(node=nodes, back=st.integers(1, 4))
    def reattach(self, node: str, back: int) -> None:
        """A caller asks again by the same key, through another node."""
        callers = list(self.world.callers.values())
        former = callers[-min(back, len(callers))]
        if former.key:
            self.world.reattach(node, former)

    @stateful.rule(milliseconds=st.sampled_from([1, 3, 10, 50, 300, 1_500, 4_000]))
    def pass_time(self, milliseconds: int) -> None:
        self.world.run(milliseconds)

    @stateful.rule(node=nodes)
    def kill(self, node: str) -> None:
        if sum(1 for host in self.world.hosts.values() if host.alive) > 1:
            self.lost_any = True
            self.world.kill(node)

    @stateful.rule(node=nodes)
    def restart(self, node: str) -> None:
        self.lost_any = True
        self.world.kill(node)
        self.world.restart(node)

    @stateful.rule(node=nodes)
    def pause(self, node: str) -> None:
        self.world.pause(node)

    @stateful.rule(node=nodes, held_ms=st.sampled_from([300, 1_500, 2_600, 6_000]))
    def hold_up(self, node: str, held_ms: int) -> None:
        """One node stands still, for up to longer than until it counts as gone."""
        self.world.pause(node)
        self.world.run(held_ms)
        self.world.resume(node)

    @stateful.rule(node=nodes, after_ms=st.sampled_from([0, 1, 3, 6]), held=nodes)
    def accept_and_hold_up(self, node: str, after_ms: int, held: str) -> None:
        """A draft comes in, and a node stands still between its acceptance and its copy."""
        key = f"r{len(self.world.callers)}"
        self.world.call(node, virtual.request(self.world, node, data.RequestClass.DRAFT, key))
        self.world.run(after_ms)
        self.hold_up(held, 2_600)

    @stateful.rule(node=nodes)
    def resume(self, node: str) -> None:
        self.world.resume(node)

    @stateful.rule(node=nodes)
    def stop(self, node: str) -> None:
        self.lost_any = True
        self.world.deliver(self.world.hosts[node], events.StopAsked())

    @stateful.rule(one=centres, other=centres)
    def cut(self, one: str, other: str) -> None:
        if one != other:
            self.world.cut(one, other)

    @stateful.rule(centre=centres)
    def cut_platform(self, centre: str) -> None:
        self.world.network.platform_cuts.add(centre)

    @stateful.rule()
    def heal(self) -> None:
        self.world.heal()

    @stateful.rule(lose=st.sampled_from([0.0, 0.1]), late=st.sampled_from([0.0, 0.2]))
    def spoil_network(self, lose: float, late: float) -> None:
        self.world.network.lose = lose
        self.world.network.late = late
        self.world.network.double = 0.1

    @stateful.rule(down=st.booleans(), lost=st.sampled_from([0.0, 0.5]))
    def spoil_platform(self, down: bool, lost: float) -> None:
        self.world.store.faults.down = down
        self.world.store.faults.lose_answers = lost

    @stateful.rule(centre=centres, place=st.sampled_from(PLACES))
    def break_service(self, centre: str, place: str) -> None:
        self.world.endpoints[f"{centre}-tickets-0"].break_at = place

    @stateful.rule(centre=centres, told=nodes)
    def reclaim_engine(self, centre: str, told: str) -> None:
        name = f"{centre}-engine-0"
        if self.world.endpoints[name].alive and self._live_engines() > 1:
            self.world.reclaim((name,), 5_000, (told,))

    def _live_engines(self) -> int:
        leaving = self.world.journal.leaving_since
        return sum(
            1
            for e in self.world.endpoints.values()
            if e.alive and e.info.kind is data.EndpointKind.ENGINE and e.info.name not in leaving
        )

    @stateful.invariant()
    def promises_hold(self) -> None:
        broken = [
            v for v in invariants.violations(self.world.journal) if "after its notice" not in v
        ]
        assert broken == []

    def teardown(self) -> None:
        """After everything heals, what was accepted is done."""
        if not self.world.hosts:
            return
        self.world.heal()
        self.world.store.faults.down = False
        self.world.store.faults.lose_answers = 0.0
        for name, host in list(self.world.hosts.items()):
            if host.paused:
                self.world.resume(name)
            if not host.alive or host.node.membership.leaving:
                self.world.kill(name)
                self.world.restart(name)
        self.world.run(15_000)
        self._reattach_all()
        self.world.run(60_000)
        self.promises_hold()
        if not self.lost_any:
            self._accepted_are_found()
        unfinished = [c.name for c in self.world.callers.values() if not c.lost and not c.ends]
        assert unfinished == []

    def _accepted_are_found(self) -> None:
        """Where no node was lost, the result of each accepted request is found by its key."""
        accepted = [
            caller
            for caller in self.world.callers.values()
            if caller.accepted
            and caller.request
            and caller.key
            and caller.request.request_class in data.WAITING_CLASSES
        ]
        fetched = {caller.key: self.world.fetch("b1", caller) for caller in accepted}
        self.world.run(20_000)
        missing = [key for key, view in fetched.items() if data.Outcome.DONE not in view.ends]
        assert missing == []

    def _reattach_all(self) -> None:
        for caller in list(self.world.callers.values()):
            waiting = caller.request and caller.request.request_class in data.WAITING_CLASSES
            if caller.lost and caller.accepted and waiting:
                self.world.reattach("a1", caller)


hypothesis.settings.register_profile(
    "promises",
    max_examples=EXAMPLES,
    stateful_step_count=30,
    derandomize=not SEED,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
if SEED:
    Promises = hypothesis.seed(int(SEED))(Promises)  # type: ignore[misc]

TestPromises = Promises.TestCase
TestPromises.settings = hypothesis.settings.get_profile("promises")
