"""Runs test sessions from scripts of actions and expectations.

One step per line; `#` starts a comment:

  nodes a1=a a2=a b1=b            nodes and their data centres; the first step
  at 100 call a1 chat key=k1 tokens=5 [once] [workspace=w]
  at 200 reattach b1 caller0
  at 200 fetch b1 caller0           request the result by its key
  at 300 kill a1 | restart a1 | pause a1 | resume a1
  at 300 cut a b | heal | cut-platform a | down | up | lose-answers 0.5
  at 400 break a-tickets-0 sent   fail the next call there (connect, sent, ran)
  at 500 reclaim 5000 told=b1 a1 a-engine-0
  at 500 kill-endpoint a-engine-0 | stop a1 | cancel a1 caller0 | slow a-engine-0 4
  run 9000                         advance virtual time by so many ms
  expect caller0 done | not_run | unknown | pending
  expect reason caller0 queue_full | expect tokens caller0 5 | expect weakened caller0
  expect ran okefenokee k1 1
  expect count retries 0
"""

import dataclasses
from collections.abc import Callable

from plumarch.core import data, events
from plumarch.proof import invariants
from plumarch.standins import virtual


@dataclasses.dataclass(slots=True)
class Session:
    """A running session.

    Attributes:
      failures: failed expectations with their lines.
    """

    world: virtual.World
    failures: list[str] = dataclasses.field(default_factory=list)

    def transcript(self) -> list[str]:
        """Return caller events and decisions in order of time."""
        lines = list(self.world.caller_events)
        for decision in self.world.decisions:
            text = f"{decision.kind} {decision.choice}: {decision.why}"
            lines.append(f"{decision.at_ms:7} {decision.node:9} [{decision.request_id}] {text}")
        return sorted(lines, key=lambda line: int(line[:7]))


def play(text: str, seed: int = 1) -> Session:
    """Run a script to its end.

    Raises:
      ValueError: a step is malformed.
    """
    steps = [_fields(line) for line in text.splitlines()]
    steps = [fields for fields in steps if fields]
    if not steps or steps[0][0] != "nodes":
        raise ValueError("the first step of a session must be: nodes NAME=CENTRE ...")
    nodes = dict(word.split("=", 1) for word in steps[0][1:])
    session = Session(virtual.build(nodes, seed=seed))
    start = session.world.clock.now()
    for fields in steps[1:]:
        _step(session, fields, start)
    for broken in invariants.violations(session.world.journal):
        session.failures.append(f"guarantee violated: {broken}")
    return session


def _fields(line: str) -> list[str]:
    return line.partition("#")[0].split()


def _step(session: Session, fields: list[str], start: int) -> None:
    match fields:
        case ["at", time, *rest]:
            world = session.world
            world.run(start + int(time) - world.clock.now())
            _act(world, rest)
        case ["run", time]:
            session.world.run(int(time))
        case ["expect", *rest]:
            found = _check(session.world, rest)
            if found:
                session.failures.append(f"expect {' '.join(rest)}: {found}")
        case _:
            raise ValueError(f"unknown step: {' '.join(fields)}")


def _act(world: virtual.World, fields: list[str]) -> None:
    faults = world.store.faults
    simple: dict[str, Callable[[str], object]] = {
        "kill": world.kill,
        "restart": world.restart,
        "pause": world.pause,
        "resume": world.resume,
        "kill-endpoint": world.kill_endpoint,
        "cut-platform": world.network.platform_cuts.add,
    }
    match fields:
        case ["call", node, request_class, *rest]:
            _call(world, node, request_class, rest)
        case ["reattach", node, caller]:
            world.reattach(node, world.callers[caller])
        case ["fetch", node, caller]:
            world.fetch(node, world.callers[caller])
        case ["cut", one, other]:
            world.cut(one, other)
        case ["heal"]:
            world.heal()
        case ["down"]:
            faults.down = True
        case ["up"]:
            faults.down = False
        case ["lose-answers", share]:
            faults.lose_answers = float(share)
        case ["break", endpoint, where]:
            world.endpoints[endpoint].break_at = where
        case ["slow", endpoint, factor]:
            world.endpoints[endpoint].slow = float(factor)
        case ["cancel", node, caller]:
            found = world.callers[caller]
            world.deliver(world.hosts[node], events.CancelAsked(found.workspace, found.key))
        case ["stop", node]:
            world.deliver(world.hosts[node], events.StopAsked())
        case ["reclaim", left, notified, *names]:
            nodes = notified.removeprefix("told=").split(",")
            world.reclaim(tuple(names), int(left), tuple(nodes))
        case [verb, name] if verb in simple:
            simple[verb](name)
        case _:
            raise ValueError(f"unknown action: {' '.join(fields)}")


def _call(world: virtual.World, node: str, request_class: str, rest: list[str]) -> None:
    options = dict(word.split("=", 1) for word in rest if "=" in word)
    request = virtual.request(
        world,
        node,
        data.RequestClass(request_class),
        options.get("key", ""),
        "once" not in rest,
        int(options.get("tokens", "20")),
        options.get("workspace", "okefenokee"),
        int(options.get("timeout", "120000")),
    )
    world.call(node, request)


def _check(world: virtual.World, fields: list[str]) -> str:
    """Return the actual state if an expectation fails, else ""."""
    match fields:
        case ["reason", caller, reason]:
            found = world.callers[caller].reasons
            return "" if found == [reason] else f"is {found}"
        case ["tokens", caller, count]:
            got = len(world.callers[caller].tokens)
            return "" if got == int(count) else f"is {got}"
        case ["weakened", caller]:
            return "" if world.callers[caller].weakened else "is not"
        case ["ran", workspace, key, count]:
            ran = sum(
                1 for e in world.journal.executions if (e.workspace, e.key) == (workspace, key)
            )
            return "" if ran == int(count) else f"ran {ran} times"
        case ["count", name, count]:
            counted = world.counts[name]
            return "" if counted == int(count) else f"is {counted}"
        case [caller, outcome]:
            ends = [str(end) for end in world.callers[caller].ends]
            wanted = [] if outcome == "pending" else [outcome]
            return "" if ends == wanted else f"is {ends} {world.callers[caller].reasons}"
        case _:
            raise ValueError(f"unknown expectation: {' '.join(fields)}")
