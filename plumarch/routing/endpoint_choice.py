"""Chooses the endpoint of a request.

Plain services: the least loaded local one. Engines: the local one with the earliest expected first
token. Whether a request leaves the region is decided in locality_choice.
"""

import dataclasses
from collections.abc import Iterable, Iterator, Sequence

from plumarch.core import clock, hashing, traffic
from plumarch.routing import distance, engine_record, engine_speed, locality_choice, work_times

OTHER_CENTRE_LOAD = 0.15
"""Cost of another data centre of the region, as a fraction of an endpoint's load."""

RUNNING_MS = 1.5
"""Delay of a first token by each running request; it also spreads requests evenly."""

OTHER_CENTRE_MS = 2.5
"""Cost of another data centre of the region: its round trip and the price of traffic."""

OWNER_CACHE_FRACTIONS = (0.8, 0.5)
"""Fraction of a prompt that the engines selected by hashing are expected to have cached, first
choice first."""


@dataclasses.dataclass(slots=True)
class Load:
    """Requests at one endpoint.

    Attributes:
      prompt_tokens: of prompts not yet read.
    """

    running: int = 0
    prompt_tokens: float = 0.0


NO_LOAD = Load()
"""Stands for an unknown load; never changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A chosen endpoint and the figures behind the choice.

    Attributes:
      cost: load of a plain endpoint, or ms until the first token as far as engines differ.
      unread_tokens: prompt tokens that it is expected to have to read.
      waiting_tokens: prompt tokens of others that it has to read before.
      capacity_wait_ms: expected wait for a slot there.
      network_ms: network latency, if the endpoint is remote.
      expected_ms: time to the answer or first token, network latency included.
      free_slots: slots not known to be in use.
      leave_reason: None if the request stays in the region.
    """

    endpoint: traffic.Endpoint
    cost: float
    unread_tokens: float
    considered: int
    waiting_tokens: float = 0.0
    capacity_wait_ms: float = 0.0
    network_ms: float = 0.0
    expected_ms: float = 0.0
    free_slots: int = 0
    leave_reason: locality_choice.LeaveReason | None = None

    def tokens_to_read(self) -> float:
        """Return the prompt tokens to be read before the first token."""
        return self.unread_tokens + self.waiting_tokens


Weighed = tuple[traffic.Endpoint, float, float, Load, float]
"""An engine, its cost in ms, the prompt tokens that it has to read, its load, and the wait for a
slot in ms."""


@dataclasses.dataclass(slots=True)
class EndpointChooser:
    """Loads of endpoints, and the choice among them.

    Attributes:
      own: load from this node, by endpoint identifier.
      reported_loads: load that others report, by source and endpoint identifier.
      others: the sum of the reported loads, by endpoint identifier; updated with each report,
        so that the cost of a choice does not grow with the fleet.
      records: by engine identifier.
      speeds: by service.
      distances: if None, all data centres are of one region.
    """

    clock: clock.Clock
    data_centre: str
    own: dict[str, Load] = dataclasses.field(default_factory=dict)
    reported_loads: dict[str, dict[str, Load]] = dataclasses.field(default_factory=dict)
    others: dict[str, Load] = dataclasses.field(default_factory=dict)
    records: dict[str, engine_record.EngineRecord] = dataclasses.field(default_factory=dict)
    speeds: dict[str, engine_speed.EngineSpeed] = dataclasses.field(default_factory=dict)
    work: work_times.WorkTimes = dataclasses.field(default_factory=work_times.WorkTimes)
    distances: distance.Distances | None = None

    def speed(self, service: str) -> engine_speed.EngineSpeed:
        """Return the speed of the engines of a service."""
        known = self.speeds.get(service)
        if known is None:
            known = self.speeds[service] = engine_speed.EngineSpeed()
        return known

    def report_loads(self, source: str, loads: dict[str, Load]) -> None:
        """Replace all loads that a source reported."""
        self.forget(source)
        self.reported_loads[source] = loads
        for endpoint, load in loads.items():
            self._add(endpoint, load.running, load.prompt_tokens)

    def report_load(self, source: str, endpoint: str, load: Load) -> None:
        """Replace the load that a source reported of one endpoint."""
        loads = self.reported_loads.setdefault(source, {})
        before = loads.get(endpoint, NO_LOAD)
        loads[endpoint] = load
        self._add(
            endpoint,
            load.running - before.running,
            load.prompt_tokens - before.prompt_tokens,
        )

    def forget(self, source: str) -> None:
        """Drop the loads that a source reported."""
        for endpoint, load in self.reported_loads.pop(source, {}).items():
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
        """Return the known requests of all nodes at endpoints."""
        return sum(self.running(endpoint.id) for endpoint in endpoints)

    def running(self, endpoint: str) -> int:
        """Return the known requests of all nodes at an endpoint."""
        return self.own.get(endpoint, NO_LOAD).running + self.others.get(endpoint, NO_LOAD).running

    def own_running(self, endpoint: str) -> int:
        """Return this node's requests at an endpoint."""
        return self.own.get(endpoint, NO_LOAD).running

    def load(self, endpoint: str) -> Load:
        """Return the known load of an endpoint from all nodes."""
        own = self.own.get(endpoint, NO_LOAD)
        others = self.others.get(endpoint, NO_LOAD)
        return Load(own.running + others.running, own.prompt_tokens + others.prompt_tokens)

    def choose_plain(
        self,
        candidates: Sequence[traffic.Endpoint],
        seed: int,
        terms: locality_choice.Terms = locality_choice.ANY_TERMS,
    ) -> Choice | None:
        """Choose among endpoints of a plain service.

        Args:
          seed: breaks ties, differently for each request.
        """
        local, remote = locality_choice.local_and_remote(candidates, self.distances)
        best = self._least_loaded(local, seed, len(candidates))
        if locality_choice.stays_local(best, remote, terms, seed):
            return best
        options = [self._plain_choice(one, len(candidates)) for one in remote]
        return _with_reason(*locality_choice.choose(best, options, terms, seed))

    def _least_loaded(
        self, candidates: Sequence[traffic.Endpoint], seed: int, considered: int
    ) -> Choice | None:
        best: traffic.Endpoint | None = None
        least = 0.0
        for endpoint in self._shuffled(candidates, seed):
            cost = self.running(endpoint.id) / max(1, endpoint.slots)
            cost += self._other_centre(endpoint) * OTHER_CENTRE_LOAD
            if best is None or cost < least:
                best, least = endpoint, cost
        if best is None:
            return None
        return dataclasses.replace(self._plain_choice(best, considered), cost=least)

    def _plain_choice(self, endpoint: traffic.Endpoint, considered: int) -> Choice:
        running = self.running(endpoint.id)
        slots = max(1, endpoint.slots)
        work_ms = self.work.expected_ms(endpoint.service)
        capacity_wait_ms = max(0, running + 1 - slots) * work_ms / slots
        network_ms = self._network_ms(endpoint.data_centre)
        return Choice(
            endpoint,
            running / slots,
            0.0,
            considered,
            capacity_wait_ms=capacity_wait_ms,
            network_ms=network_ms,
            expected_ms=network_ms + capacity_wait_ms + work_ms,
            free_slots=max(0, slots - running),
        )

    def choose_engine(
        self,
        candidates: Sequence[traffic.Endpoint],
        parts: Sequence[traffic.PromptPart],
        prompt_tokens: int,
        seed: int,
        terms: locality_choice.Terms = locality_choice.ANY_TERMS,
    ) -> Choice | None:
        """Choose among engines.

        Args:
          parts: the prompt's parts, in order; the last one may be the request's own.
          prompt_tokens: of the complete prompt.
        """
        local, remote = locality_choice.local_and_remote(candidates, self.distances)
        keys = part_keys(parts)
        owned = keys[: _shared_part_count(parts, prompt_tokens)]
        prompt = engine_record.Prompt(
            parts,
            keys,
            prompt_tokens,
            engine_record.owners(local, owned, len(OWNER_CACHE_FRACTIONS)),
        )
        best: Choice | None = None
        least: Weighed | None = None
        for weighed in self._weigh(self._shuffled(local, seed), prompt):
            if least is None or weighed[1] < least[1]:
                least = weighed
        if least is not None:
            best = self._engine_choice(least, len(candidates), 0.0)
        if locality_choice.stays_local(best, remote, terms, seed):
            return best
        options: list[Choice] = []
        latencies_ms = {
            name: self._network_ms(name)
            for name in dict.fromkeys(one.data_centre for one in remote)
        }
        for region in locality_choice.by_region(remote, self.distances):
            there = dataclasses.replace(
                prompt, owners=engine_record.owners(region, owned, len(OWNER_CACHE_FRACTIONS))
            )
            for weighed in self._weigh(region, there):
                network_ms = latencies_ms[weighed[0].data_centre]
                options.append(self._engine_choice(weighed, len(candidates), network_ms))
        return _with_reason(*locality_choice.choose(best, options, terms, seed))

    def _weigh(
        self, candidates: Iterable[traffic.Endpoint], prompt: engine_record.Prompt
    ) -> Iterator[Weighed]:
        """Yield the engines of one region with their costs, without network latency."""
        owning = {name for names in prompt.owners for name in names}
        tokens, records = float(prompt.tokens), self.records
        for endpoint in candidates:
            name = endpoint.id
            load = self.load(name)
            speed = self.speed(endpoint.service)
            unread = tokens
            if name in owning or name in records:
                unread -= engine_record.cached_tokens(
                    name, records.get(name), prompt, OWNER_CACHE_FRACTIONS
                )
            capacity_wait_ms = speed.capacity_wait_ms(load.running, endpoint.slots)
            cost = speed.reading_ms(unread + load.prompt_tokens) + capacity_wait_ms
            cost += RUNNING_MS * load.running + self._other_centre(endpoint) * OTHER_CENTRE_MS
            yield endpoint, cost, unread, load, capacity_wait_ms

    def _engine_choice(self, weighed: Weighed, considered: int, network_ms: float) -> Choice:
        endpoint, cost, unread, load, capacity_wait_ms = weighed
        cost += network_ms
        return Choice(
            endpoint,
            cost,
            unread,
            considered,
            load.prompt_tokens,
            capacity_wait_ms,
            network_ms,
            self.speed(endpoint.service).base_ms.value + cost,
            max(0, endpoint.slots - load.running),
        )

    def _other_centre(self, endpoint: traffic.Endpoint) -> int:
        return 0 if endpoint.data_centre == self.data_centre else 1

    def _network_ms(self, data_centre: str) -> float:
        return self.distances.network_ms(data_centre) if self.distances else 0.0

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
        """Record the parts that an engine was sent."""
        if parts:
            record = self.records.setdefault(choice.endpoint.id, engine_record.EngineRecord())
            now = self.clock.now()
            for key in part_keys(parts):
                record.sent(key, now)

    def first_token(self, choice: Choice) -> None:
        """Count a prompt as read."""
        load = self.own.get(choice.endpoint.id)
        if load is not None:
            load.prompt_tokens = max(0.0, load.prompt_tokens - choice.unread_tokens)

    def answered(self, choice: Choice, took_ms: float) -> None:
        """Record how long a plain service took to answer.

        Args:
          took_ms: since it was sent, without network latency to another region.
        """
        self.work.answered(choice.endpoint.service, took_ms, choice.capacity_wait_ms)

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

    def retain(self, endpoints: set[str]) -> None:
        """Drop the records of engines that no longer exist."""
        for name in [name for name in self.records if name not in endpoints]:
            del self.records[name]


def _with_reason(choice: Choice | None, why: locality_choice.LeaveReason | None) -> Choice | None:
    return (
        choice if choice is None or why is None else dataclasses.replace(choice, leave_reason=why)
    )


def _shared_part_count(parts: Sequence[traffic.PromptPart], prompt_tokens: int) -> int:
    """Return how many parts others may share: without the last if the parts cover the prompt."""
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
