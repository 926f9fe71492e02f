"""Chooses the endpoint of a request by a score in ms of expected wait for the first token.

Reported loads are some seconds old; this node's own counts are exact.
"""

import dataclasses

from plumarch.core import context, data, token_bucket
from plumarch.limits import rate_allocator
from plumarch.routing import endpoint_backoff, ownership

PREFILL_MS_PER_TOKEN = 0.25
"""Assumed time to read one prompt token."""

WAIT_MS_PER_REQUEST = 40.0
"""Assumed delay that each request at the endpoint adds."""

OTHER_DATA_CENTRE_MS = 15.0
PRICE_MS = 20.0
"""Wait that a price difference of 1 an hour is worth."""

CACHE_ENTRIES = 512
"""Prefixes recorded for each endpoint."""

EJECT_FACTOR = 4.0
"""An endpoint this many times slower than the median of its peers is ejected."""

EJECT_MS = 10_000
"""How long an ejection lasts before one request probes the endpoint."""

UNREACHABLE_MS = 2_000
"""How long an endpoint is a last resort after a failed connect."""

MAX_EJECTED_FRACTION = 0.3
"""Of the endpoints of a target."""

SAMPLE = 32
"""Maximum of endpoints scored."""

SHOWN = 10
"""Endpoints listed in the record of a placement."""

REPORT_AGE_MS = 15_000
"""Older load reports are ignored."""

SPILL_FRACTION = 0.5
"""An endpoint that another node owns is used only below this fraction of reported load."""

NOT_OWNED_MS = 200.0
"""Added to the score of an endpoint of another owner."""

TRIED_MS = 10_000.0
"""Added to the score of an endpoint that failed the request before."""

PREFIXES_LIMIT = 10_000

DELAY_WEIGHT = 0.2
MIN_MEASUREMENTS = 5


@dataclasses.dataclass(slots=True)
class EndpointStats:
    """What this node observed of an endpoint.

    Attributes:
      announced: requests per second that it takes from all nodes together, or None.
      permits: what its owner may still send under that rate.
    """

    in_flight: int = 0
    reported: int = 0
    reported_own: int = 0
    reported_ms: int = 0
    delay_ms: float = 0.0
    measured: int = 0
    ejected_until_ms: int = 0
    unreachable_until_ms: int = 0
    backoff_until_ms: int = 0
    announced: float | None = None
    announced_ms: int = 0
    permits: token_bucket.TokenBucket | None = None
    cached: dict[int, int] = dataclasses.field(default_factory=dict)

    def is_usable(self, now: int) -> bool:
        """Return whether the endpoint is neither ejected, unreachable nor backing off."""
        return max(self.ejected_until_ms, self.unreachable_until_ms, self.backoff_until_ms) <= now


class Placement:
    """The endpoints that a node can reach, and the choice among them."""

    def __init__(self, ctx: context.Context) -> None:
        self.ctx = ctx
        self.endpoints: dict[str, data.Endpoint] = {}
        self.stats: dict[str, EndpointStats] = {}
        self.leaving: dict[str, int] = {}
        self.by_target: dict[tuple[data.EndpointKind, str], list[data.Endpoint]] = {}
        self.by_prefix: dict[int, str] = {}
        self.owned: frozenset[str] = frozenset()
        self.live_nodes = 1

    def update(self, listed: tuple[data.Endpoint, ...]) -> list[str]:
        """Apply the platform's list of endpoints.

        Returns:
          Names of endpoints that are no longer listed.
        """
        now_there = {endpoint.name: endpoint for endpoint in listed}
        gone = [name for name in self.endpoints if name not in now_there]
        for name in gone:
            self.stats.pop(name, None)
            self.leaving.pop(name, None)
        for name, endpoint in now_there.items():
            known = self.endpoints.get(name)
            if known is not None and known.address != endpoint.address:
                self.stats.pop(name, None)
                self.leaving.pop(name, None)
            self.stats.setdefault(name, EndpointStats())
        self.endpoints = now_there
        self._index()
        return gone

    def _index(self) -> None:
        self.by_target = {}
        for _, endpoint in sorted(self.endpoints.items()):
            for target in endpoint.targets:
                self.by_target.setdefault((endpoint.kind, target), []).append(endpoint)

    def assign_owners(self, centre_of: dict[str, str]) -> None:
        """Compute which endpoints this node owns.

        Args:
          centre_of: live nodes of the region and their data centres.
        """
        staying = [
            e
            for e in self.endpoints.values()
            if e.name not in self.leaving and e.state is data.EndpointState.LIVE
        ]
        owners = ownership.owners(staying, centre_of)
        self.owned = frozenset(name for name, node in owners.items() if node == self.ctx.node)
        self.live_nodes = max(1, len(centre_of))

    def leave(self, name: str, at_ms: int) -> bool:
        """Mark an endpoint as leaving; it gets no new requests.

        Returns:
          Whether it was not marked before.
        """
        if name in self.leaving or name not in self.endpoints:
            return False
        self.leaving[name] = at_ms
        return True

    def report(self, report: data.LoadReport) -> None:
        """Apply a load report."""
        stats = self.stats.get(report.endpoint)
        if stats is not None:
            stats.reported = report.running + report.queued
            stats.reported_own = stats.in_flight
            stats.reported_ms = self.ctx.now()

    def started(self, name: str, prefix: int) -> None:
        """Count a request sent to an endpoint."""
        stats = self.stats.setdefault(name, EndpointStats())
        stats.in_flight += 1
        if stats.permits is not None:
            stats.permits.take(1)
        if prefix:
            stats.cached.pop(prefix, None)
            stats.cached[prefix] = self.ctx.now()
            if len(stats.cached) > CACHE_ENTRIES:
                del stats.cached[next(iter(stats.cached))]
            self.by_prefix.pop(prefix, None)
            self.by_prefix[prefix] = name
            if len(self.by_prefix) > PREFIXES_LIMIT:
                del self.by_prefix[next(iter(self.by_prefix))]

    def ended(self, name: str) -> None:
        """Count a request that is no longer at an endpoint."""
        stats = self.stats.get(name)
        if stats is not None and stats.in_flight > 0:
            stats.in_flight -= 1

    def unreachable(self, name: str) -> None:
        """Avoid an endpoint after a failed connect."""
        stats = self.stats.get(name)
        if stats is not None:
            stats.unreachable_until_ms = self.ctx.now() + UNREACHABLE_MS

    def back_off(self, name: str, backoff_ms: float) -> None:
        """Avoid an endpoint that rejected a request; with few running, it would score best."""
        stats = self.stats.get(name)
        if stats is not None:
            until_ms = self.ctx.now() + endpoint_backoff.bounded_ms(backoff_ms)
            stats.backoff_until_ms = max(stats.backoff_until_ms, until_ms)

    def rate_announced(self, name: str, per_s: float | None, sent_ms: int) -> bool:
        """Apply the rate that an answer announces, or its absence.

        Args:
          sent_ms: when the request was sent; a limit announced since then stays.
        Returns:
          Whether the rate changed.
        """
        stats = self.stats.get(name)
        if stats is None or (per_s is None and sent_ms < stats.announced_ms):
            return False
        now = self.ctx.now()
        changed = per_s != stats.announced
        if per_s is None:
            stats.permits = None
        else:
            stats.announced_ms = now
            if changed:
                stats.permits = rate_allocator.new_bucket(per_s, now)
        stats.announced = per_s
        return changed

    def measured(self, name: str, delay_ms: int) -> None:
        """Record the time to an endpoint's first answer."""
        stats = self.stats.get(name)
        if stats is None:
            return
        stats.measured += 1
        if stats.measured == 1 or stats.ejected_until_ms:
            stats.delay_ms = float(delay_ms)
            stats.ejected_until_ms = 0
        else:
            stats.delay_ms += DELAY_WEIGHT * (delay_ms - stats.delay_ms)
        self._eject_if_slow(name, stats)

    def _eject_if_slow(self, name: str, stats: EndpointStats) -> None:
        endpoint = self.endpoints.get(name)
        if endpoint is None or stats.measured < MIN_MEASUREMENTS:
            return
        peers = [e for e in self.endpoints.values() if e.targets == endpoint.targets]
        delays = sorted(
            self.stats[p.name].delay_ms
            for p in peers
            if p.name != name and self.stats[p.name].measured >= MIN_MEASUREMENTS
        )
        if len(delays) < 2:
            return
        median = delays[len(delays) // 2]
        out = sum(1 for p in peers if self.stats[p.name].ejected_until_ms)
        slow = stats.delay_ms > EJECT_FACTOR * max(median, 1.0)
        if slow and out + 1 <= MAX_EJECTED_FRACTION * len(peers):
            stats.ejected_until_ms = self.ctx.now() + EJECT_MS
            stats.measured = 0
            self.ctx.count("endpoints_ejected", label=name)
            self.ctx.note(None, "eject", name, f"{stats.delay_ms:.0f} ms against {median:.0f} ms")

    def choose(
        self, request: data.Request, allowed: frozenset[str], tried: frozenset[str] = frozenset()
    ) -> tuple[data.Endpoint | None, tuple[data.Considered, ...]]:
        """Choose the endpoint for a request.

        Args:
          allowed: data centres that its workspace may use; empty means all.
          tried: endpoints that failed it, used again only if there is no other.
        Returns:
          The best endpoint, or None if none has capacity; and those considered.
        """
        owns_none = not self._owns_usable(request)
        fit: list[tuple[float, str]] = []
        unfit: list[data.Considered] = []
        for endpoint in self._candidates(request, allowed):
            note = self._unfit(endpoint, request, allowed, owns_none)
            if note:
                unfit.append(data.Considered(endpoint.name, -1.0, note))
                continue
            score = self._score(endpoint, request)
            if endpoint.name in tried:
                score += TRIED_MS
            fit.append((score, endpoint.name))
        fit.sort()
        shown = [data.Considered(name, round(score, 2)) for score, name in fit[:SHOWN]]
        considered = (*shown, *unfit[: SHOWN - len(shown)])
        if not fit:
            return None, considered
        return self.endpoints[fit[0][1]], considered

    def _candidates(self, request: data.Request, allowed: frozenset[str]) -> list[data.Endpoint]:
        """Return the endpoints to score: all, or a random sample if there are many.

        The sample includes the last endpoint of the request's prefix.
        """
        serving = self.by_target.get((request.kind, request.target), [])
        if len(serving) <= SAMPLE:
            return serving
        here = [e for e in serving if e.data_centre == self.ctx.data_centre]
        if here and (not allowed or self.ctx.data_centre in allowed):
            serving = here
        if len(serving) <= SAMPLE:
            return serving
        sample = self.ctx.rng.sample(serving, SAMPLE)
        likely = self.endpoints.get(self.by_prefix.get(request.prefix, ""))
        if likely is not None and likely not in sample:
            sample.append(likely)
        return sample

    def _unfit(
        self,
        endpoint: data.Endpoint,
        request: data.Request,
        allowed: frozenset[str],
        owns_none: bool,
    ) -> str:
        """Return why an endpoint can't take a request, or "" if it can.

        Args:
          allowed: data centres that its workspace may use; empty means all.
          owns_none: this node owns no usable endpoint of the target, so it shares the others'.
        """
        if endpoint.state is not data.EndpointState.LIVE or endpoint.name in self.leaving:
            return "leaving"
        if allowed and endpoint.data_centre not in allowed:
            return "data centre not allowed"
        stats = self.stats[endpoint.name]
        if stats.ejected_until_ms > self.ctx.now():
            return "ejected as slow"
        if stats.backoff_until_ms > self.ctx.now():
            return "backing off after a rejection"
        if stats.permits is not None:
            # The rate covers all nodes, so only the owner can count it.
            if endpoint.name not in self.owned:
                return "owned by another node, announces a rate"
            if stats.permits.fill(self.ctx.now()) < 1.0:
                return "announced rate used up"
        if endpoint.name in self.owned:
            if stats.in_flight >= self._admission_limit(endpoint, request):
                return "full"
            return ""
        if stats.in_flight >= max(1, endpoint.capacity // self.live_nodes):
            return "this node's fraction of its capacity is in use"
        if owns_none or request.request_class is data.RequestClass.LOOKUP:
            return ""
        age = self.ctx.now() - stats.reported_ms
        if not stats.reported_ms or age > REPORT_AGE_MS:
            return "owned by another node, load unknown"
        if stats.reported > endpoint.capacity * SPILL_FRACTION:
            return "owned by another node, in use"
        return ""

    def _owns_usable(self, request: data.Request) -> bool:
        now = self.ctx.now()
        return any(
            e.name in self.owned
            and e.name not in self.leaving
            and self.stats[e.name].is_usable(now)
            for e in self.by_target.get((request.kind, request.target), [])
        )

    def _admission_limit(self, endpoint: data.Endpoint, request: data.Request) -> int:
        """Return how many requests may be there before this one is rejected."""
        if request.request_class is data.RequestClass.LOOKUP:
            return endpoint.capacity
        reserved = max(1, endpoint.capacity // 8)
        return max(1, endpoint.capacity - reserved)

    def load(self, name: str) -> int:
        """Return the requests at an endpoint; others' are as last reported."""
        stats = self.stats[name]
        if name in self.owned:
            return stats.in_flight
        others = max(0, stats.reported - stats.reported_own)
        return stats.in_flight + others

    def _score(self, endpoint: data.Endpoint, request: data.Request) -> float:
        stats = self.stats[endpoint.name]
        score = self.load(endpoint.name) * WAIT_MS_PER_REQUEST * 8 / endpoint.capacity
        if request.kind is data.EndpointKind.ENGINE and request.prefix not in stats.cached:
            score += request.prompt_tokens * PREFILL_MS_PER_TOKEN
        if endpoint.data_centre != self.ctx.data_centre:
            score += OTHER_DATA_CENTRE_MS
        if endpoint.name not in self.owned:
            score += NOT_OWNED_MS
        if stats.unreachable_until_ms > self.ctx.now():
            score += TRIED_MS
        return score + endpoint.price * PRICE_MS

    def owned_capacity(self, request: data.Request) -> tuple[int, int]:
        """Return the capacity of the target's own endpoints, and its use."""
        total = 0
        used = 0
        for endpoint in self.by_target.get((request.kind, request.target), []):
            if endpoint.name in self.owned and endpoint.name not in self.leaving:
                total += self._admission_limit(endpoint, request)
                used += self.stats[endpoint.name].in_flight
        return total, used

    def has_target(self, request: data.Request, allowed: frozenset[str]) -> bool:
        """Return whether any endpoint serves the request's target."""
        return any(
            endpoint.name not in self.leaving and (not allowed or endpoint.data_centre in allowed)
            for endpoint in self.by_target.get((request.kind, request.target), [])
        )
