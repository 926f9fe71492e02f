"""Compares the placement policy with baselines under load and faults, on virtual time.

    python -m bench.policy            # all scenarios and baselines; compares with BASELINE.json
    python -m bench.policy --record   # writes BASELINE.json
    python -m bench.policy steady     # one scenario

Results are deterministic: they depend only on the code and the text of the scenario.
"""

import dataclasses
import json
import pathlib
import random
import sys
from collections.abc import Callable

import tabulate

from bench import baselines
from plumarch.core import data, events
from plumarch.load import report
from plumarch.proof import invariants
from plumarch.standins import virtual

FOLDER = pathlib.Path(__file__).parent
RECORDED = FOLDER / "BASELINE.json"
NODES = {
    **{f"hall-a-{n}": "hall-a" for n in range(3)},
    **{f"hall-b-{n}": "hall-b" for n in range(3)},
    **{f"hall-c-{n}": "hall-c" for n in range(2)},
}
CENTRES = sorted(set(NODES.values()))
ENGINES_EACH = 10
WORKSPACES = {"w0": 0.45, "w1": 0.30, "w2": 0.10, "w3": 0.10, "w4": 0.05}
FIRST_TOKEN_MS = 460
BETWEEN_MS = 32.0
LOOKUP_MS = 150
CHAT_TOKENS = 120
REVIEW_TOKENS = 300
PROMPT_TOKENS = 600
SHARED_TOKENS = 400
PRICES = {True: 0.4, False: 1.0}
REPORT_MS = 500
SETTLE_MS = 80_000
TOLERANCE = 0.02
"""Tolerated decrease of a fraction, and tolerated relative increase of the cost."""

ENGINE = virtual.EngineModel(
    prefill_ms=20,
    prefill_token_ms=0.25,
    token_ms=30,
    crowding=0.008,
    prefix_tokens=SHARED_TOKENS,
    cache_limit=8,
    tokens_per_event=5,
    batch=8,
)


@dataclasses.dataclass(slots=True)
class Scenario:
    """A parsed scenario."""

    name: str
    seconds: int = 20
    rates: dict[str, float] = dataclasses.field(default_factory=dict)
    prompt: int = PROMPT_TOKENS
    prefixes: int = 40
    lag_ms: int = 1_000
    steps: list[tuple[int, list[str]]] = dataclasses.field(default_factory=list)


def parse(name: str, text: str) -> Scenario:
    """Parse a scenario."""
    scenario = Scenario(name)
    for line in text.splitlines():
        match line.partition("#")[0].split():
            case []:
                pass
            case ["seconds", value]:
                scenario.seconds = int(value)
            case ["rate", kind, value]:
                scenario.rates[kind] = float(value)
            case ["prompt", value]:
                scenario.prompt = int(value)
            case ["prefixes", value]:
                scenario.prefixes = int(value)
            case ["lag", value]:
                scenario.lag_ms = int(value)
            case ["at", second, *words]:
                scenario.steps.append((int(second) * 1_000, words))
            case words:
                raise ValueError(f"{name}: unknown line: {' '.join(words)}")
    return scenario


@dataclasses.dataclass(slots=True)
class Timing:
    """Times at which a caller submitted a request and received tokens and the outcome."""

    workspace: str
    request_class: data.RequestClass
    submitted_ms: int
    first_ms: int = -1
    last_ms: int = -1
    end_ms: int = -1
    tokens: int = 0
    outcome: str = ""

    def within(self) -> bool:
        """Return whether the request met the latency target of its class."""
        if self.outcome != "done":
            return False
        if self.request_class is data.RequestClass.LOOKUP:
            return self.end_ms - self.submitted_ms <= LOOKUP_MS
        if self.request_class is data.RequestClass.CHAT:
            token_interval_ms = (self.last_ms - self.first_ms) / max(1, self.tokens - 1)
            return (
                self.first_ms - self.submitted_ms <= FIRST_TOKEN_MS
                and token_interval_ms <= BETWEEN_MS
            )
        return True


class Run:
    """One scenario under one policy."""

    def __init__(self, scenario: Scenario, policy: str, exports_kv: bool = True) -> None:
        self.scenario = scenario
        self.rng = random.Random(scenario.name)
        self.world = virtual.build(NODES, ENGINES_EACH, 2, seed=7)
        self.world.exports_kv = exports_kv
        self.rate_factor = 1.0
        self.flood: tuple[str, float] | None = None
        self.timings: dict[str, Timing] = {}
        self.reclaimed_nodes: set[str] = set()
        self._set_up(policy)

    def _set_up(self, policy: str) -> None:
        world = self.world
        for number, endpoint in enumerate(world.endpoints.values()):
            reclaimable = number % 2 == 0
            is_engine = endpoint.info.kind is data.EndpointKind.ENGINE
            endpoint.model = ENGINE if is_engine else endpoint.model
            endpoint.info = dataclasses.replace(
                endpoint.info,
                reclaimable=reclaimable,
                price=PRICES[reclaimable],
                capacity=8 if is_engine else 16,
            )
        for host in world.hosts.values():
            # Baselines share the state of the placement, so that only the class is replaced.
            host.node.placement.__class__ = baselines.POLICIES[policy]
        world.publish_endpoints()
        world.interfere = self._observe

    def _observe(self, host: virtual.Host, action: events.Action) -> bool:
        now = self.world.clock.now()
        if isinstance(action, events.TellTokens):
            timing = self.timings[action.watcher_id]
            timing.first_ms = now if timing.first_ms < 0 else timing.first_ms
            timing.last_ms = now
            timing.tokens += len(action.tokens)
        elif isinstance(action, events.TellEnd):
            timing = self.timings[action.watcher_id]
            timing.end_ms = now
            timing.outcome = str(action.outcome)
        return True

    def play(self) -> None:
        """Run the scenario, then wait for outstanding requests."""
        world = self.world
        for delay, words in self.scenario.steps:
            world.at(delay, lambda w=words: self._apply_step(w))
        for kind in self.scenario.rates:
            self._next_arrival(kind)
        self._report_loads()
        world.run(self.scenario.seconds * 1_000)
        self.scenario.rates.clear()
        self.flood = None
        world.run(SETTLE_MS)

    def _apply_step(self, words: list[str]) -> None:
        world = self.world
        match words:
            case ["times", value]:
                self.rate_factor = float(value)
            case ["flood", workspace, rate]:
                self.flood = (workspace, float(rate))
                self._next_flood()
            case ["slow", name, factor]:
                world.endpoints[name].slow = float(factor)
            case ["reclaim", left, *names]:
                world.reclaim(tuple(names), int(left), (self._entry(),))
            case ["reclaim-centre", centre, left]:
                names = [n for n, c in NODES.items() if c == centre]
                self.reclaimed_nodes |= set(names)
                names += [n for n in world.endpoints if n.startswith(centre)]
                world.reclaim(tuple(names), int(left), (names[0],))
                world.at(int(left) + 1_000, self._reattach_lost)
            case ["platform-down"]:
                world.store.faults.down = True
            case _:
                raise ValueError(f"unknown step: {' '.join(words)}")

    def _reattach_lost(self) -> None:
        """Reattach callers whose node was reclaimed to streams at other nodes."""
        for name, caller in list(self.world.callers.items()):
            if caller.lost and not caller.ends and caller.key:
                again = self.world.reattach(self._entry(), caller)
                self.timings[again.name] = self.timings.pop(name)

    def _entry(self) -> str:
        return self.rng.choice([name for name in NODES if name not in self.reclaimed_nodes])

    def _next_arrival(self, kind: str) -> None:
        rate = self.scenario.rates.get(kind, 0.0) * self.rate_factor
        if not rate:
            return
        self.world.at(round(self.rng.expovariate(rate) * 1_000), lambda: self._arrive(kind))

    def _arrive(self, kind: str) -> None:
        if kind not in self.scenario.rates:
            return
        workspace = self.rng.choices(list(WORKSPACES), list(WORKSPACES.values()))[0]
        self._call(data.RequestClass(kind), workspace)
        self._next_arrival(kind)

    def _next_flood(self) -> None:
        if self.flood is None:
            return
        workspace, rate = self.flood
        self._call(data.RequestClass.CHAT, workspace)
        self.world.at(round(self.rng.expovariate(rate) * 1_000), self._next_flood)

    def _call(self, request_class: data.RequestClass, workspace: str) -> None:
        world = self.world
        entry = self._entry()
        tokens = REVIEW_TOKENS
        if request_class is data.RequestClass.CHAT:
            tokens = round(CHAT_TOKENS * self.rng.uniform(0.3, 1.7))
        request = virtual.request(
            world, entry, request_class, max_tokens=tokens, workspace=workspace
        )
        if request.kind is data.EndpointKind.ENGINE:
            prefix = self.rng.randrange(1, self.scenario.prefixes + 1)
            request = dataclasses.replace(
                request, prefix=prefix, prompt_tokens=self.scenario.prompt
            )
        name = f"caller{len(world.callers)}"
        self.timings[name] = Timing(workspace, request_class, world.clock.now())
        world.call(entry, request)

    def _report_loads(self) -> None:
        """Deliver the engines' loads to the nodes of their data centre after the lag."""
        world = self.world
        for endpoint in world.endpoints.values():
            if endpoint.info.kind is not data.EndpointKind.ENGINE or not endpoint.alive:
                continue
            load = data.LoadReport(endpoint.info.name, len(endpoint.calls), 0)
            world.at(self.scenario.lag_ms, lambda seen=load: self._deliver_load(seen))
        world.at(REPORT_MS * ENGINES_EACH, self._report_loads)

    def _deliver_load(self, load: data.LoadReport) -> None:
        centre = self.world.endpoints[load.endpoint].info.data_centre
        for name, host in self.world.hosts.items():
            if NODES[name] == centre:
                self.world.deliver(host, events.LoadSeen(load))

    def figures(self) -> dict[str, float]:
        """Return the metrics of the run."""
        world = self.world
        found: dict[str, float] = {}
        for kind in sorted({t.request_class for t in self.timings.values()}):
            mine = [t for t in self.timings.values() if t.request_class is kind]
            found[f"{kind} within target"] = _fraction(mine, Timing.within)
            found[f"{kind} done"] = _fraction(mine, lambda t: t.outcome == "done")
        chats = self._first_tokens(lambda t: True)
        others = self._first_tokens(lambda t: t.workspace != "w4")
        found["chat first token p50 ms"] = report.percentile(chats, 0.5)
        found["chat first token p95 ms"] = report.percentile(chats, 0.95)
        found["chat first token p99 ms, w0 to w3"] = report.percentile(others, 0.99)
        waits = [
            t.end_ms - t.submitted_ms
            for t in self.timings.values()
            if t.request_class is data.RequestClass.REVIEW and t.end_ms >= 0
        ]
        found["longest review s"] = round(max(waits, default=0) / 1_000, 1)
        within = sum(1 for t in self.timings.values() if t.within())
        hours = self.scenario.seconds / 3_600
        cost = hours * sum(e.info.price for e in world.endpoints.values())
        found["cost per 1000 within target"] = round(cost / max(1, within) * 1_000, 4)
        found["recomputed tokens"] = world.counts["recomputed_tokens"]
        found["retries over requests"] = round(
            world.counts["retries"] / max(1, world.counts["requests"]), 4
        )
        found["unanswered"] = sum(1 for t in self.timings.values() if not t.outcome)
        found["promises broken"] = len(invariants.violations(world.journal))
        return found

    def _first_tokens(self, chosen: Callable[[Timing], bool]) -> list[float]:
        return [
            float(t.first_ms - t.submitted_ms)
            for t in self.timings.values()
            if t.request_class is data.RequestClass.CHAT and t.first_ms >= 0 and chosen(t)
        ]


def _fraction(timings: list[Timing], holds: Callable[[Timing], bool]) -> float:
    return round(sum(1 for t in timings if holds(t)) / max(1, len(timings)), 4)


def scenarios(names: list[str]) -> list[pathlib.Path]:
    """Return the files of the named scenarios, or of all."""
    found = sorted((FOLDER / "scenarios").glob("*.txt"))
    return [path for path in found if not names or path.stem in names]


def measure(path: pathlib.Path, policy: str, exports_kv: bool = True) -> dict[str, float]:
    """Run one scenario under one policy and return its metrics."""
    run = Run(parse(path.stem, path.read_text()), policy, exports_kv)
    run.play()
    return run.figures()


def regressions(recorded: dict[str, float], found: dict[str, float]) -> list[str]:
    """Return a line for each metric that is worse than recorded by more than the tolerance."""
    return [
        f"{name}: {recorded[name]} before, now {value}"
        for name, value in found.items()
        if name in recorded and _is_regression(name, recorded[name], value)
    ]


def _is_regression(name: str, before: float, now: float) -> bool:
    if name.startswith("cost"):
        return now > before * (1 + TOLERANCE)
    if name.endswith(("within target", "done")):
        return now < before - TOLERANCE
    if name in ("promises broken", "unanswered"):
        return now > before
    return name == "recomputed tokens" and now > before * 1.1 + 100


def main() -> int:
    """Run the scenarios, print the metrics and return 1 on a regression."""
    words = [word for word in sys.argv[1:] if not word.startswith("-")]
    recorded = json.loads(RECORDED.read_text()) if RECORDED.exists() else {}
    problems = []
    for path in scenarios(words):
        table = {policy: measure(path, policy) for policy in baselines.POLICIES}
        table["plumarch, no KV export"] = measure(path, "plumarch", exports_kv=False)
        print(f"\n{path.stem}\n")
        names = list(table["plumarch"])
        lines = [[name, *(table[policy][name] for policy in table)] for name in names]
        print(tabulate.tabulate(lines, ["figure", *table]))
        before = recorded.get(path.stem, {}).get("plumarch", {})
        problems += [f"{path.stem}: {text}" for text in regressions(before, table["plumarch"])]
        recorded[path.stem] = table
    if "--record" in sys.argv:
        RECORDED.write_text(json.dumps(recorded, indent=1) + "\n")
    for problem in problems:
        print(f"REGRESSION: {problem}")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
