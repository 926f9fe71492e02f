"""Limits on the concurrent requests at an endpoint and on their weight.

Slots, connections and cache size are configured; lower limits are learned from rejections, crashes
and late answers.
"""

import dataclasses
import math
from collections.abc import Callable, Mapping, Sequence

from plumarch.core import clock, traffic
from plumarch.routing import concurrency_limit, crash_guard

QUEUE_FACTOR = 3.0
"""Requests at a plain endpoint, in multiples of its slots, before it counts as full."""

ENGINE_QUEUE_FACTOR = 1.5
"""The same at engines, whose cost also includes the expected wait."""

CACHE_FACTOR = 1.5
"""Tokens that an engine is given, in multiples of its cache: prompts share parts."""

BYTES_PER_TOKEN = 4
"""Bytes of a body that weigh as much as a prompt token."""

EXPECTED_OUTPUT_FRACTION = 0.5
"""Expected output of a running request, as a fraction of its maximum tokens."""

MEAN_WEIGHT = 0.05
"""Weight of a request in the mean that stands for requests of other nodes."""

LOG_INTERVAL_MS = 1_000
"""A changed limit is logged at most once per this time for each endpoint."""

LOG_MIN_CHANGE = 0.1
"""Relative change from which a limit is logged."""


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a request requires of an endpoint.

    Attributes:
      weight: in tokens: those of its prompt and expected answer, or its body's.
      rank: 0 is the most urgent.
    """

    weight: float = 0.0
    is_engine: bool = False
    rank: int = 0


PLAIN = Demand()


def demand(prompt_tokens: int, max_output_tokens: int, body_bytes: int, rank: int = 0) -> Demand:
    """Return what a request requires of an endpoint."""
    if prompt_tokens:
        return Demand(prompt_tokens + EXPECTED_OUTPUT_FRACTION * max_output_tokens, True, rank)
    return Demand(body_bytes / BYTES_PER_TOKEN, False, rank)


@dataclasses.dataclass(slots=True)
class OwnLoad:
    """This node's requests at one endpoint."""

    requests: int = 0
    weight: float = 0.0


NO_OWN_LOAD = OwnLoad()
"""Stands for endpoints without requests of this node; never changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limits of each endpoint of a service; infinite where nothing is known.

    Attributes:
      per_slot: requests per slot without overload.
      per_slot_by_crashes: the same, learned from crashes.
      connections: requests, each of which has a connection.
      weight: total weight of its requests, in tokens.
      weight_by_crashes: the same, learned from crashes.
    """

    per_slot: float
    per_slot_by_crashes: float
    connections: float
    weight: float
    weight_by_crashes: float


@dataclasses.dataclass(frozen=True, slots=True)
class LoggedLimit:
    """A learned limit that was logged, and when."""

    limit: float
    at_ms: int


@dataclasses.dataclass(slots=True)
class EndpointLimits:
    """Configured and learned limits of endpoints.

    Attributes:
      build: makes the learned limit of an endpoint, from its slots and its limit without overload.
      services: by name.
      learned: by endpoint identifier.
      own_load: by endpoint identifier.
      mean_weight: of a request of each service; stands for those of other nodes.
      logged: by endpoint identifier.
    """

    clock: clock.Clock
    crashes: crash_guard.CrashGuard = dataclasses.field(init=False)
    build: Callable[[float, float], concurrency_limit.ConcurrencyLimit] = (
        concurrency_limit.AdditiveIncrease
    )
    services: dict[str, traffic.Service] = dataclasses.field(default_factory=dict)
    learned: dict[str, concurrency_limit.ConcurrencyLimit] = dataclasses.field(default_factory=dict)
    own_load: dict[str, OwnLoad] = dataclasses.field(default_factory=dict)
    mean_weight: dict[str, float] = dataclasses.field(default_factory=dict)
    logged: dict[str, LoggedLimit] = dataclasses.field(default_factory=dict)

    def __post_init__(self) -> None:
        self.crashes = crash_guard.CrashGuard(self.clock)

    def with_capacity(
        self,
        service: str,
        endpoints: Sequence[traffic.Endpoint],
        running: Callable[[str], int],
        demand: Demand = PLAIN,
    ) -> list[traffic.Endpoint]:
        """Return the endpoints with capacity for one more request.

        A learned limit never goes below an endpoint's slots.

        Args:
          running: known requests of all nodes at an endpoint.
        """
        bounds = self.bounds(service, demand.is_engine)
        found = []
        for endpoint in endpoints:
            now_running = running(endpoint.id)
            has_free_slot = now_running < min(endpoint.slots, bounds.connections)
            if not has_free_slot and now_running >= self.requests(endpoint, bounds):
                continue
            # Prompts share parts, so their weights overstate the use of the cache: with a free
            # slot only the limit learned from crashes applies.
            maximum = bounds.weight_by_crashes if has_free_slot else bounds.weight
            if maximum < math.inf and now_running > 0:
                weight = self.weight_at(endpoint, now_running) + demand.weight
                if weight > maximum:
                    continue
            found.append(endpoint)
        return found

    def bounds(self, name: str, is_engine: bool) -> Bounds:
        """Return the limits of each endpoint of a service."""
        service = self.services.get(name)
        weight = math.inf
        if service is not None and service.engine is not None and service.engine.cache_tokens:
            weight = CACHE_FACTOR * service.engine.cache_tokens
        by_crashes = self.crashes.weight(name)
        per_slot = self.crashes.per_slot(name)
        return Bounds(
            per_slot=ENGINE_QUEUE_FACTOR if is_engine else QUEUE_FACTOR,
            per_slot_by_crashes=math.inf if per_slot is None else per_slot,
            connections=float(service.connection_limit or math.inf) if service else math.inf,
            weight=weight if by_crashes is None else min(weight, by_crashes),
            weight_by_crashes=math.inf if by_crashes is None else by_crashes,
        )

    def requests(self, endpoint: traffic.Endpoint, bounds: Bounds) -> float:
        """Return the maximum of concurrent requests of an endpoint."""
        maximum = min(bounds.per_slot, bounds.per_slot_by_crashes) * max(1, endpoint.slots)
        learned = self.learned.get(endpoint.id)
        if learned is not None:
            maximum = min(maximum, learned.value(self.clock.now()))
        return min(maximum, bounds.connections)

    def weight_at(self, endpoint: traffic.Endpoint, running: int) -> float:
        """Return the weight of the requests at an endpoint; those of other nodes count by the mean.

        Args:
          running: requests of all nodes there.
        """
        own = self.own_load.get(endpoint.id, NO_OWN_LOAD)
        others = max(0, running - own.requests)
        return own.weight + others * self.mean_weight.get(endpoint.service, 0.0)

    def sent(self, endpoint: traffic.Endpoint, demand: Demand) -> None:
        """Count a request sent."""
        own_load = self.own_load.setdefault(endpoint.id, OwnLoad())
        own_load.requests += 1
        own_load.weight += demand.weight
        mean = self.mean_weight.setdefault(endpoint.service, demand.weight)
        self.mean_weight[endpoint.service] = mean + MEAN_WEIGHT * (demand.weight - mean)

    def ended(self, endpoint: traffic.Endpoint, demand: Demand) -> None:
        """Count a request as over."""
        own_load = self.own_load.get(endpoint.id)
        if own_load is None:
            return
        own_load.requests -= 1
        own_load.weight -= demand.weight
        if own_load.requests <= 0:
            del self.own_load[endpoint.id]

    def observe_load(self, endpoint: traffic.Endpoint, running: int) -> None:
        """Handle an answer while so many requests ran."""
        self.crashes.note_answer(endpoint.id)
        self.crashes.observe_load(endpoint.service, self.weight_at(endpoint, running))

    def answered(
        self, endpoint: traffic.Endpoint, running: int, took: float, is_engine: bool
    ) -> None:
        """Handle a first byte.

        Args:
          running: requests there when it came.
          took: its time in multiples of the expected time.
        """
        self._learned_limit(endpoint, is_engine).answered(running, took, self.clock.now())

    def rejected(self, endpoint: traffic.Endpoint, running: int, is_engine: bool) -> None:
        """Handle a rejection; one with free slots has another cause and is ignored.

        Args:
          running: requests there besides the rejected one.
        """
        if running >= endpoint.slots:
            self._learned_limit(endpoint, is_engine).rejected(running, self.clock.now())

    def changed(self, endpoint: traffic.Endpoint) -> float | None:
        """Return an endpoint's learned limit if it is due to be logged."""
        limit = self.learned.get(endpoint.id)
        if limit is None:
            return None
        now = self.clock.now()
        value = limit.value(now)
        logged = self.logged.get(endpoint.id)
        before = logged.limit if logged is not None else limit.maximum
        if abs(value - before) < LOG_MIN_CHANGE * before:
            return None
        if logged is not None and now - logged.at_ms < LOG_INTERVAL_MS:
            return None
        self.logged[endpoint.id] = LoggedLimit(value, now)
        return value

    def lowered(self, endpoints: Mapping[str, traffic.Endpoint]) -> dict[str, float]:
        """Return the limits, by identifier, of endpoints below their limit without overload."""
        found = {}
        for name, endpoint in endpoints.items():
            service = self.services.get(endpoint.service)
            is_engine = service is not None and service.engine is not None
            limit = self.requests(endpoint, self.bounds(endpoint.service, is_engine))
            if limit < max_requests(endpoint, is_engine):
                found[name] = limit
        return found

    def lost(
        self, endpoint: traffic.Endpoint, running: int, elsewhere: int
    ) -> crash_guard.Crash | None:
        """Handle a connection that ended while its request ran.

        Args:
          running: requests at the endpoint, including this one.
          elsewhere: requests at the service's other endpoints.
        Returns:
          The crash, if this amounts to one.
        """
        losses = self.crashes.lost(endpoint.id, running, self.weight_at(endpoint, running))
        return self._crashed(endpoint, losses, elsewhere)

    def connect_failed(
        self, endpoint: traffic.Endpoint, elsewhere: int
    ) -> crash_guard.Crash | None:
        """Handle a failed connect to an endpoint; like `lost`."""
        return self._crashed(endpoint, self.crashes.connect_failed(endpoint.id), elsewhere)

    def retract_crash(self, endpoint: traffic.Endpoint, since_ms: int) -> bool:
        """Forget an endpoint's recent crash, as it lives; return whether there was one."""
        if not self.crashes.retract(endpoint.service, endpoint.id, since_ms):
            return False
        self.learned.pop(endpoint.id, None)
        return True

    def _crashed(
        self, endpoint: traffic.Endpoint, losses: crash_guard.Losses | None, elsewhere: int
    ) -> crash_guard.Crash | None:
        if losses is None or endpoint.state is traffic.EndpointState.DRAINING:
            return None
        now = self.clock.now()
        crash = crash_guard.Crash(
            endpoint.id, now, losses.running, losses.weight, endpoint.slots, elsewhere
        )
        learned = self.learned.get(endpoint.id)
        if learned is not None and crash.by_count():
            learned.crashed(crash.running, now)
        self.crashes.crashed(endpoint.service, crash)
        return crash

    def _learned_limit(
        self, endpoint: traffic.Endpoint, is_engine: bool
    ) -> concurrency_limit.ConcurrencyLimit:
        found = self.learned.get(endpoint.id)
        if found is None:
            minimum = float(max(1, endpoint.slots))
            maximum = max_requests(endpoint, is_engine)
            found = self.learned[endpoint.id] = self.build(minimum, maximum)
        return found

    def retain(self, endpoints: set[str]) -> None:
        """Forget endpoints that no longer exist."""
        for name in [name for name in self.learned if name not in endpoints]:
            del self.learned[name]
            self.logged.pop(name, None)
        self.crashes.retain(endpoints)


def max_requests(endpoint: traffic.Endpoint, is_engine: bool) -> float:
    """Return the maximum of requests of an endpoint without overload."""
    factor = ENGINE_QUEUE_FACTOR if is_engine else QUEUE_FACTOR
    return factor * max(1, endpoint.slots)
