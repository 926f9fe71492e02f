"""Replays load on a multi-region fleet on virtual time.

Nodes see delayed load reports, so oscillation due to stale data becomes visible.
"""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable, Sequence

from plumarch.core import clock, traffic
from plumarch.routing import distance, endpoint_choice, endpoint_limits, locality_choice

LOAD_REPORT_INTERVAL_MS = 200
LOAD_REPORT_DELAY_MS = 100
"""Delay after which a node receives the load reports of the others."""

REMOTE_ROUND_TRIP_MS = 60.0
LOCAL_ROUND_TRIP_MS = 1.0

DATA_CENTRES = {"n1": "north", "n2": "north", "e1": "east", "e2": "east", "s1": "south"} | {
    "s2": "south"
}
"""Region of each data centre."""

NODES_PER_CENTRE = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Workload of the callers.

    Attributes:
      requests_per_s: request rate by the callers' region.
      work_ms: mean service time; for a prompt, the decode time after prefill.
      parts: alternative shared prompt parts; empty for plain requests.
      prompt_tokens: prompt length, shared parts included; 0 for plain requests.
    """

    requests_per_s: dict[str, float]
    work_ms: float
    terms: locality_choice.Terms
    parts: tuple[tuple[traffic.PromptPart, ...], ...] = ((),)
    prompt_tokens: int = 0
    ms_per_token: float = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """A dispatched request.

    Attributes:
      took_ms: time to the answer or the first token.
    """

    sent_ms: float
    region: str
    choice: endpoint_choice.Choice
    to_region: str
    took_ms: float


@dataclasses.dataclass(slots=True)
class SimulatedEndpoint:
    """An endpoint that runs one request per slot and queues the rest.

    Attributes:
      free_at_ms: heap of the times at which its slots become free.
      prefill_ends_ms: when the prefill of all accepted prompts ends.
      holds: keys of the prompt parts in its prefix cache.
    """

    endpoint: traffic.Endpoint
    free_at_ms: list[float]
    prefill_ends_ms: float = 0.0
    cached_parts: set[int] = dataclasses.field(default_factory=set)

    def serve(self, arrives_ms: float, work_ms: float) -> tuple[float, float]:
        """Run a plain request and return its begin and end times."""
        begins_ms = max(arrives_ms, heapq.heappop(self.free_at_ms))
        heapq.heappush(self.free_at_ms, begins_ms + work_ms)
        return begins_ms, begins_ms + work_ms

    def read(
        self, arrives_ms: float, unread: float, ms_per_token: float, work_ms: float
    ) -> tuple[float, float]:
        """Run a prompt and return the times of its first token and its end."""
        begins_ms = max(arrives_ms, heapq.heappop(self.free_at_ms), self.prefill_ends_ms)
        self.prefill_ends_ms = begins_ms + unread * ms_per_token
        heapq.heappush(self.free_at_ms, self.prefill_ends_ms + work_ms)
        return self.prefill_ends_ms, self.prefill_ends_ms + work_ms


class SimulatedNode:
    """A node with its own distances and endpoint chooser."""

    def __init__(self, data_centre: str, time: clock.ManualClock) -> None:
        self.data_centre = data_centre
        self.region = DATA_CENTRES[data_centre]
        self.distances = distance.Distances(time, data_centre, DATA_CENTRES)
        self.chooser = endpoint_choice.EndpointChooser(time, data_centre, distances=self.distances)


class RegionReplay:
    """A simulated fleet, its callers, and the log of dispatched requests."""

    def __init__(self, seed: int, work: Work, endpoints: Sequence[traffic.Endpoint]) -> None:
        self.time = clock.ManualClock()
        self.rng = random.Random(seed)
        self.work = work
        self.limits = endpoint_limits.EndpointLimits(self.time)
        self.endpoints = {one.id: SimulatedEndpoint(one, [0.0] * one.slots) for one in endpoints}
        self.service = endpoints[0].service
        self.gone: set[str] = set()
        self.nodes = [
            SimulatedNode(name, self.time) for name in DATA_CENTRES for _ in range(NODES_PER_CENTRE)
        ]
        self.sent: list[Sent] = []
        self.refused: list[tuple[float, str]] = []
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self._at(0.0, self._report_loads)
        for node in self.nodes:
            if self._rate(node) > 0:
                self._at(self.rng.expovariate(self._rate(node)) * 1_000, self._arrivals(node))

    def run_until(self, end_ms: float) -> None:
        """Run the simulation until a time."""
        while self.events and self.events[0][0] <= end_ms:
            at_ms, _, act = heapq.heappop(self.events)
            self.time.advance_to(round(at_ms))
            act()

    def fail_region(self, region: str) -> None:
        """Make the endpoints of a region unavailable."""
        self.gone |= {
            name
            for name, one in self.endpoints.items()
            if DATA_CENTRES[one.endpoint.data_centre] == region
        }

    def restore_regions(self) -> None:
        """Make all endpoints available again."""
        self.gone.clear()

    def _at(self, at_ms: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.events, (at_ms, next(self.numbers), act))

    def _rate(self, node: SimulatedNode) -> float:
        same = sum(1 for one in self.nodes if one.region == node.region)
        return self.work.requests_per_s[node.region] / same

    def _arrivals(self, node: SimulatedNode) -> Callable[[], None]:
        def arrive() -> None:
            now = float(self.time.now())
            self._send(node, now)
            wait_ms = self.rng.expovariate(self._rate(node)) * 1_000
            self._at(now + wait_ms, arrive)

        return arrive

    def _send(self, node: SimulatedNode, now: float) -> None:
        parts = self.rng.choice(self.work.parts)
        choice = self._choice(node, parts)
        if choice is None:
            self.refused.append((now, node.region))
            return
        target = self.endpoints[choice.endpoint.id]
        to_region = DATA_CENTRES[choice.endpoint.data_centre]
        round_trip_ms = REMOTE_ROUND_TRIP_MS if to_region != node.region else LOCAL_ROUND_TRIP_MS
        node.distances.connected(choice.endpoint.data_centre, round_trip_ms)
        node.chooser.begin(choice, parts)
        arrives_ms = now + 1.5 * round_trip_ms
        work_ms = self.rng.lognormvariate(0.0, 0.3) * self.work.work_ms
        if self.work.prompt_tokens:
            keys = endpoint_choice.part_keys(parts)
            cached_tokens = sum(
                p.tokens for p, k in zip(parts, keys, strict=True) if k in target.cached_parts
            )
            unread = self.work.prompt_tokens - cached_tokens
            target.cached_parts.update(keys)
            first, ends = target.read(arrives_ms, unread, self.work.ms_per_token, work_ms)
        else:
            _, ends = target.serve(arrives_ms, work_ms)
            first = ends
        answered_ms = first + round_trip_ms / 2
        self.sent.append(Sent(now, node.region, choice, to_region, answered_ms - now))
        self._at(answered_ms, lambda: self._answered(node, choice, answered_ms - now))
        self._at(ends + round_trip_ms / 2, lambda: node.chooser.end(choice, saw_first_token=True))

    def _choice(
        self, node: SimulatedNode, parts: tuple[traffic.PromptPart, ...]
    ) -> endpoint_choice.Choice | None:
        is_engine = self.work.prompt_tokens > 0
        live = [one.endpoint for name, one in self.endpoints.items() if name not in self.gone]
        demand = endpoint_limits.Demand(is_engine=is_engine)
        ready = self.limits.with_capacity(self.service, live, node.chooser.running, demand)
        seed = self.rng.randrange(1 << 30)
        if is_engine:
            tokens, terms = self.work.prompt_tokens, self.work.terms
            return node.chooser.choose_engine(ready, parts, tokens, seed, terms)
        return node.chooser.choose_plain(ready, seed, self.work.terms)

    def _answered(
        self, node: SimulatedNode, choice: endpoint_choice.Choice, took_ms: float
    ) -> None:
        node.chooser.first_token(choice)
        took_ms -= 2.0 * node.distances.round_trip_ms(choice.endpoint.data_centre)
        if self.work.prompt_tokens:
            speed = node.chooser.speed(choice.endpoint.service)
            speed.first_token(choice.tokens_to_read(), took_ms, choice.waiting_tokens > 0)
        else:
            node.chooser.answered(choice, took_ms)

    def _report_loads(self) -> None:
        """Send each node the running load of all others, with the report delay."""
        now = float(self.time.now())
        loads = [
            {name: (load.running, load.prompt_tokens) for name, load in node.chooser.own.items()}
            for node in self.nodes
        ]
        for at, node in enumerate(self.nodes):
            others = [reported for number, reported in enumerate(loads) if number != at]
            self._at(now + LOAD_REPORT_DELAY_MS, _load_report(node, others))
        self._at(now + LOAD_REPORT_INTERVAL_MS, self._report_loads)


def _load_report(
    node: SimulatedNode, others: list[dict[str, tuple[int, float]]]
) -> Callable[[], None]:
    def apply() -> None:
        total: dict[str, endpoint_choice.Load] = {}
        for reported in others:
            for name, (running, tokens) in reported.items():
                load = total.setdefault(name, endpoint_choice.Load())
                load.running += running
                load.prompt_tokens += tokens
        node.chooser.report_loads("fleet", total)

    return apply
