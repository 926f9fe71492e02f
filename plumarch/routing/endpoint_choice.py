"""Which endpoint a request goes to.

Plain services: the least loaded one, a near one before a far one. Engines: the one that is
expected to give the first token soonest, from the prompt tokens that wait there and from the
parts of the prompt that it is expected to hold. What an engine holds is guessed from this
node's own record, and for what this node never sent by rendezvous hashing, which leads all
nodes to the same engine without a message.
"""

import collections
import dataclasses
from collections.abc import Iterable, Sequence

from plumarch.core import clock, hashing, traffic
from plumarch.routing import engine_speed

FAR_COST = 0.15
"""What another data centre costs, in parts of an endpoint's load."""

RUNNING_MS = 1.5
"""What a running request delays a new one's first token by. Measured as 60 prompt tokens at
engines that read 32 in a ms; it also keeps places free evenly."""

FAR_MS = 2.5
"""What another data centre of the region costs: there and back, 1 to 2.8 ms on the sheets."""

HELD_BY_OWNERS = (0.8, 0.5)
"""Part of a prompt that the engines chosen by hashing are expected to hold, the first one first:
what the first has no room for goes to the second, by all nodes alike."""

RECORD_PARTS = 4_000
"""Parts remembered for each engine."""


@dataclasses.dataclass(slots=True)
class Load:
    """What waits and runs at one endpoint.

    Attributes:
      running: requests sent and not finished.
      prompt_tokens: tokens of prompts not yet read.
    """

    running: int = 0
    prompt_tokens: float = 0.0


NO_LOAD = Load()
"""Stands for what nothing is known of; never changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """An endpoint, and what made it the choice.

    Attributes:
      cost: load of a plain endpoint, or ms until the first token as far as engines differ.
      unread_tokens: prompt tokens that it is expected to have to read.
      waiting_tokens: prompt tokens of others that it has to read before.
      place_wait_ms: how long the request waits for a place there.
      considered: how many endpoints there were.
    """

    endpoint: traffic.Endpoint
    cost: float
    unread_tokens: float
    considered: int
    waiting_tokens: float = 0.0
    place_wait_ms: float = 0.0

    def tokens_to_read(self) -> float:
        """Return the prompt tokens to be read before the first token."""
        return self.unread_tokens + self.waiting_tokens


@dataclasses.dataclass(slots=True)
class EngineRecord:
    """Parts that this node sent to an engine, least recently used first."""

    parts: collections.OrderedDict[int, int] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    def sent(self, key: int, now: int) -> None:
        """Remember a part."""
        self.parts[key] = now
        self.parts.move_to_end(key)
        if len(self.parts) > RECORD_PARTS:
            self.parts.popitem(last=False)


@dataclasses.dataclass(slots=True)
class EndpointChooser:
    """Loads of endpoints, and the choice among them.

    Attributes:
      own: load that this node put on endpoints, by identifier.
      told: load that others report, by who reports it and endpoint identifier.
      others: the sum of what is told, by endpoint identifier. It is kept up to date with each
        report, so that a choice costs as much in a large fleet as in a small one.
      records: parts of prompts sent to engines, by identifier.
      speeds: what is known of the engines of each service.
    """

    clock: clock.Clock
    data_centre: str
    own: dict[str, Load] = dataclasses.field(default_factory=dict)
    told: dict[str, dict[str, Load]] = dataclasses.field(default_factory=dict)
    others: dict[str, Load] = dataclasses.field(default_factory=dict)
    records: dict[str, EngineRecord] = dataclasses.field(default_factory=dict)
    speeds: dict[str, engine_speed.EngineSpeed] = dataclasses.field(default_factory=dict)

    def speed(self, service: str) -> engine_speed.EngineSpeed:
        """Return what is known of the engines of a service."""
        known = self.speeds.get(service)
        if known is None:
            known = self.speeds[service] = engine_speed.EngineSpeed()
        return known

    def tell(self, source: str, loads: dict[str, Load]) -> None:
        """Take in all that a source reports; replaces what it reported before."""
        self.forget(source)
        self.told[source] = loads
        for endpoint, load in loads.items():
            self._add(endpoint, load.running, load.prompt_tokens)

    def tell_one(self, source: str, endpoint: str, load: Load) -> None:
        """Take in what a source reports of one endpoint."""
        loads = self.told.setdefault(source, {})
        before = loads.get(endpoint, NO_LOAD)
        loads[endpoint] = load
        self._add(
            endpoint,
            load.running - before.running,
            load.prompt_tokens - before.prompt_tokens,
        )

    def forget(self, source: str) -> None:
        """Drop what a source reported."""
        for endpoint, load in self.told.pop(source, {}).items():
            self._add(endpoint, -load.running, -load.prompt_tokens)

    def _add(self, endpoint: str, running: int, prompt_tokens: float) -> None:
        total = self.others.get(endpoint)
        if total is None:
            total = self.others[endpoint] = Load()
        total.running += running
        total.prompt_tokens = max(0.0, total.prompt_tokens + prompt_tokens)
        if total.running <= 0 and total.prompt_tokens < 1.0:
            del self.others[endpoint]

    def total_running(self, endpoints: Iterable[traffic.Endpoint]) -> int:
        """Return the requests that run at endpoints, from all nodes, as far as known."""
        return sum(self.running(endpoint.id) for endpoint in endpoints)

    def running(self, endpoint: str) -> int:
        """Return the requests that run at an endpoint, from all nodes, as far as known."""
        return self.own.get(endpoint, NO_LOAD).running + self.others.get(endpoint, NO_LOAD).running

    def load(self, endpoint: str) -> Load:
        """Return the load of an endpoint from all nodes, as far as known."""
        own = self.own.get(endpoint, NO_LOAD)
        others = self.others.get(endpoint, NO_LOAD)
        return Load(own.running + others.running, own.prompt_tokens + others.prompt_tokens)

    def choose_plain(self, candidates: Sequence[traffic.Endpoint], seed: int) -> Choice | None:
        """Choose among endpoints of a plain service.

        Args:
          seed: breaks ties, differently for each request.
        """
        best: Choice | None = None
        for endpoint in self._shuffled(candidates, seed):
            cost = self.running(endpoint.id) / max(1, endpoint.slots)
            cost += self._far(endpoint) * FAR_COST
            if best is None or cost < best.cost:
                best = Choice(endpoint, cost, 0.0, len(candidates))
        return best

    def choose_engine(
        self,
        candidates: Sequence[traffic.Endpoint],
        parts: Sequence[traffic.PromptPart],
        prompt_tokens: int,
        seed: int,
    ) -> Choice | None:
        """Choose among engines.

        Args:
          parts: the prompt's parts, in order; the last one may be the request's own.
          prompt_tokens: the whole prompt.
        """
        keys = part_keys(parts)
        owners = self._owners(candidates, keys[: _shared_count(parts, prompt_tokens)])
        owning = {name for names in owners for name in names}
        best: Choice | None = None
        for endpoint in self._shuffled(candidates, seed):
            load = self.load(endpoint.id)
            speed = self.speed(endpoint.service)
            unread = float(prompt_tokens)
            if endpoint.id in owning or endpoint.id in self.records:
                unread -= self._held(endpoint.id, parts, keys, owners)
            place_wait_ms = speed.place_wait_ms(load.running, endpoint.slots)
            cost = speed.reading_ms(unread + load.prompt_tokens) + place_wait_ms
            cost += RUNNING_MS * load.running + self._far(endpoint) * FAR_MS
            if best is None or cost < best.cost:
                best = Choice(
                    endpoint, cost, unread, len(candidates), load.prompt_tokens, place_wait_ms
                )
        return best

    def _owners(
        self, candidates: Sequence[traffic.Endpoint], keys: Sequence[int]
    ) -> list[list[str]]:
        """Return for each key the engines to which all nodes send it, the first one first."""
        names = [endpoint.id for endpoint in candidates]
        return [hashing.highest(key, names, len(HELD_BY_OWNERS)) for key in keys]

    def _held(
        self,
        endpoint: str,
        parts: Sequence[traffic.PromptPart],
        keys: Sequence[int],
        owners: Sequence[Sequence[str]],
    ) -> float:
        """Return the tokens that an engine is expected to hold from the prompt's start.

        An engine that holds a part holds all parts before it.
        """
        record = self.records.get(endpoint)
        known = 0
        if record is not None:
            known = max((at + 1 for at, key in enumerate(keys) if key in record.parts), default=0)
        certain = sum(part.tokens for part in parts[:known])
        likely = 0.0
        tokens = 0
        for part, owning in zip(parts[known:], owners[known:], strict=False):
            tokens += part.tokens
            if endpoint in owning:
                likely = max(likely, HELD_BY_OWNERS[owning.index(endpoint)] * tokens)
        return certain + likely

    def _far(self, endpoint: traffic.Endpoint) -> int:
        return 0 if endpoint.data_centre == self.data_centre else 1

    def _shuffled(
        self, candidates: Sequence[traffic.Endpoint], seed: int
    ) -> list[traffic.Endpoint]:
        start = seed % len(candidates) if candidates else 0
        return [*candidates[start:], *candidates[:start]]

    def begin(self, choice: Choice, parts: Sequence[traffic.PromptPart] = ()) -> None:
        """Count a request sent."""
        load = self.own.setdefault(choice.endpoint.id, Load())
        load.running += 1
        load.prompt_tokens += choice.unread_tokens
        self.remember(choice, parts)

    def remember(self, choice: Choice, parts: Sequence[traffic.PromptPart]) -> None:
        """Remember which parts an engine was sent."""
        if parts:
            record = self.records.setdefault(choice.endpoint.id, EngineRecord())
            now = self.clock.now()
            for key in part_keys(parts):
                record.sent(key, now)

    def first_token(self, choice: Choice) -> None:
        """Count a prompt as read."""
        load = self.own.get(choice.endpoint.id)
        if load is not None:
            load.prompt_tokens = max(0.0, load.prompt_tokens - choice.unread_tokens)

    def end(self, choice: Choice, saw_first_token: bool) -> None:
        """Count a request as over."""
        if not saw_first_token:
            self.first_token(choice)
        load = self.own.get(choice.endpoint.id)
        if load is None:
            return
        load.running -= 1
        if load.running <= 0:
            del self.own[choice.endpoint.id]

    def keep_only(self, endpoints: set[str]) -> None:
        """Forget what engines held that no longer exist."""
        for name in [name for name in self.records if name not in endpoints]:
            del self.records[name]


def _shared_count(parts: Sequence[traffic.PromptPart], prompt_tokens: int) -> int:
    """Return how many parts others may share: all but the last one of a prompt named whole."""
    named = sum(part.tokens for part in parts)
    return len(parts) - 1 if len(parts) > 1 and named >= prompt_tokens else len(parts)


def part_keys(parts: Sequence[traffic.PromptPart]) -> list[int]:
    """Return a key for each part that stands for it and all parts before it."""
    keys = []
    key = 0
    for part in parts:
        key = hashing.digest(key.to_bytes(8, "big"), part.id)
        keys.append(key)
    return keys
