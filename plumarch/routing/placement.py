"""Where a request runs: a score for each endpoint that could take it.

Scores are in milliseconds of expected wait for the first token, with prices
turned into milliseconds at a fixed rate, so that one number decides. Reported
loads are old; this node's own counts of what it has in flight are exact.
"""

import dataclasses

from plumarch.core import context, data, token_bucket
from plumarch.limits import rate_allocator
from plumarch.routing import endpoint_backoff, ownership

PREFILL_MS_PER_TOKEN = 0.25
"""Assumed time to compute one prompt token, until an engine's own rate is known."""

WAIT_MS_PER_REQUEST = 40.0
"""Assumed delay that each request already there adds."""

OTHER_DATA_CENTRE_MS = 15.0
PRICE_MS = 20.0
"""How many milliseconds of wait a price difference of 1 an hour is worth."""

CACHE_ENTRIES = 512
"""Prefixes remembered for each endpoint."""

EJECT_FACTOR = 4.0
"""An endpoint this many times slower than the median of its peers is ejected."""

EJECT_MS = 10_000
"""How long it stays out before one request probes it."""

UNREACHABLE_MS = 2_000
"""How long an endpoint that could not be connected to is used only if there is no other."""

EJECT_SHARE = 0.3
"""At most this share of a target's endpoints is out at once."""

SAMPLE = 32
"""Endpoints scored for one placement at most."""

SHOWN = 10
"""Endpoints kept in the record of a placement."""

REPORT_AGE_MS = 15_000
"""A load report older than this says nothing."""

SPILL_SHARE = 0.5
"""An endpoint that another node owns is used only while reported under this share."""

NOT_OWNED_MS = 200.0
"""Added to the score of an endpoint that another node owns."""

TRIED_MS = 10_000.0
"""Added to the score of an endpoint that failed the request before."""

PREFIXES_LIMIT = 10_000

SMOOTHING = 0.2
MEASURED_LEAST = 5


@dataclasses.dataclass(slots=True)
class Seen:
    """What this node knows of an endpoint besides its description.

    Attributes:
      announced: the requests a second that it takes from all nodes together, or None.
      announced_ms: when an answer announced it last.
      permits: what its owner may still send under that rate.
    """

    in_flight: int = 0
    reported: int = 0
    reported_own: int = 0
    reported_ms: int = 0
    delay_ms: float = 0.0
    measured: int = 0
    out_until_ms: int = 0
    unreachable_until_ms: int = 0
    rests_until_ms: int = 0
    announced: float | None = None
    announced_ms: int = 0
    permits: token_bucket.TokenBucket | None = None
    cached: dict[int, int] = dataclasses.field(default_factory=dict)

    def is_in(self, now: int) -> bool:
        """Return whether the endpoint is left out for no reason."""
        return max(self.out_until_ms, self.unreachable_until_ms, self.rests_until_ms) <= now


class Placement:
    """The endpoints a node can reach, and the choice among them."""

    def __init__(self, ctx: context.Context) -> None:
        self.ctx = ctx
        self.endpoints: dict[str, data.Endpoint] = {}
        self.seen: dict[str, Seen] = {}
        self.leaving: dict[str, int] = {}
        self.by_target: dict[tuple[data.EndpointKind, str], list[data.Endpoint]] = {}
        self.by_prefix: dict[int, str] = {}
        self.owned: frozenset[str] = frozenset()
        self.sharers = 1

    def update(self, listed: tuple[data.Endpoint, ...]) -> list[str]:
        """Take in the platform's list.

        Returns:
          Names of endpoints that were there and are gone from it.
        """
        now_there = {endpoint.name: endpoint for endpoint in listed}
        gone = [name for name in self.endpoints if name not in now_there]
        for name in gone:
            self.seen.pop(name, None)
            self.leaving.pop(name, None)
        for name, endpoint in now_there.items():
            known = self.endpoints.get(name)
            if known is not None and known.address != endpoint.address:
                self.seen.pop(name, None)
                self.leaving.pop(name, None)
            self.seen.setdefault(name, Seen())
        self.endpoints = now_there
        self._index()
        return gone

    def _index(self) -> None:
        self.by_target = {}
        for _, endpoint in sorted(self.endpoints.items()):
            for target in endpoint.targets:
                self.by_target.setdefault((endpoint.kind, target), []).append(endpoint)

    def share_out(self, centre_of: dict[str, str]) -> None:
        """Find out which endpoints this node admits requests to alone.

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
        self.sharers = max(1, len(centre_of))

    def leave(self, name: str, at_ms: int) -> bool:
        """Mark an endpoint as leaving: it gets no new work from now on.

        Returns:
          Whether that is news.
        """
        if name in self.leaving or name not in self.endpoints:
            return False
        self.leaving[name] = at_ms
        return True

    def report(self, report: data.LoadReport) -> None:
        """Take in a load report; it is some seconds old."""
        seen = self.seen.get(report.endpoint)
        if seen is not None:
            seen.reported = report.running + report.queued
            seen.reported_own = seen.in_flight
            seen.reported_ms = self.ctx.now()

    def started(self, name: str, prefix: int) -> None:
        """Count a request handed to an endpoint."""
        seen = self.seen.setdefault(name, Seen())
        seen.in_flight += 1
        if seen.permits is not None:
            seen.permits.take(1)
        if prefix:
            seen.cached.pop(prefix, None)
            seen.cached[prefix] = self.ctx.now()
            if len(seen.cached) > CACHE_ENTRIES:
                del seen.cached[next(iter(seen.cached))]
            self.by_prefix.pop(prefix, None)
            self.by_prefix[prefix] = name
            if len(self.by_prefix) > PREFIXES_LIMIT:
                del self.by_prefix[next(iter(self.by_prefix))]

    def ended(self, name: str) -> None:
        """Count a request that is no longer at an endpoint."""
        seen = self.seen.get(name)
        if seen is not None and seen.in_flight > 0:
            seen.in_flight -= 1

    def unreachable(self, name: str) -> None:
        """Leave an endpoint alone for a while that could not even be connected to."""
        seen = self.seen.get(name)
        if seen is not None:
            seen.unreachable_until_ms = self.ctx.now() + UNREACHABLE_MS

    def rest(self, name: str, rest_ms: float) -> None:
        """Leave an endpoint alone for as long as it asked for when it refused a request.

        It runs little by refusing, and would be the best choice for the next request.
        """
        seen = self.seen.get(name)
        if seen is not None:
            until_ms = self.ctx.now() + endpoint_backoff.bounded_ms(rest_ms)
            seen.rests_until_ms = max(seen.rests_until_ms, until_ms)

    def rate_announced(self, name: str, per_s: float | None, sent_ms: int) -> bool:
        """Apply the rate that an answer announces, or that it announces none.

        Args:
          sent_ms: when its request was sent; before the last announcement, it ends no limit.
        Returns:
          Whether that is another rate than before.
        """
        seen = self.seen.get(name)
        if seen is None or (per_s is None and sent_ms < seen.announced_ms):
            return False
        now = self.ctx.now()
        changed = per_s != seen.announced
        if per_s is None:
            seen.permits = None
        else:
            seen.announced_ms = now
            if changed:
                seen.permits = rate_allocator.new_bucket(per_s, now)
        seen.announced = per_s
        return changed

    def measured(self, name: str, delay_ms: int) -> None:
        """Take in how long an endpoint took to its first answer."""
        seen = self.seen.get(name)
        if seen is None:
            return
        seen.measured += 1
        if seen.measured == 1 or seen.out_until_ms:
            seen.delay_ms = float(delay_ms)
            seen.out_until_ms = 0
        else:
            seen.delay_ms += SMOOTHING * (delay_ms - seen.delay_ms)
        self._eject_if_slow(name, seen)

    def _eject_if_slow(self, name: str, seen: Seen) -> None:
        endpoint = self.endpoints.get(name)
        if endpoint is None or seen.measured < MEASURED_LEAST:
            return
        peers = [e for e in self.endpoints.values() if e.targets == endpoint.targets]
        delays = sorted(
            self.seen[p.name].delay_ms
            for p in peers
            if p.name != name and self.seen[p.name].measured >= MEASURED_LEAST
        )
        if len(delays) < 2:
            return
        median = delays[len(delays) // 2]
        out = sum(1 for p in peers if self.seen[p.name].out_until_ms)
        slow = seen.delay_ms > EJECT_FACTOR * max(median, 1.0)
        if slow and out + 1 <= EJECT_SHARE * len(peers):
            seen.out_until_ms = self.ctx.now() + EJECT_MS
            seen.measured = 0
            self.ctx.count("endpoints_ejected", label=name)
            self.ctx.note(None, "eject", name, f"{seen.delay_ms:.0f} ms against {median:.0f} ms")

    def choose(
        self, request: data.Request, allowed: frozenset[str], tried: frozenset[str] = frozenset()
    ) -> tuple[data.Endpoint | None, tuple[data.Considered, ...]]:
        """Choose the endpoint for a request.

        Args:
          request: what is to run.
          allowed: data centres that its workspace may use; empty means all.
          tried: endpoints that failed it, used again only if there is no other.
        Returns:
          The endpoint with the best score, or None if no one has room; and all
          that were considered.
        """
        alone = not self._serves_itself(request)
        fit: list[tuple[float, str]] = []
        unfit: list[data.Considered] = []
        for endpoint in self._candidates(request, allowed):
            note = self._unfit(endpoint, request, allowed, alone)
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
        """Return the endpoints to score: all, or of many a sample and the likely one.

        A sample of SAMPLE is nearly as good as all and bounds the cost of a placement;
        the endpoint that was given the request's prefix last is always among them.
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
        alone: bool,
    ) -> str:
        """Return why an endpoint can't take a request, or "" if it can.

        Args:
          endpoint: the endpoint.
          request: the request.
          allowed: data centres that its workspace may use; empty means all.
          alone: this node owns no endpoint of the target, so it shares the others'.
        """
        if endpoint.state is not data.EndpointState.LIVE or endpoint.name in self.leaving:
            return "leaving"
        if allowed and endpoint.data_centre not in allowed:
            return "data centre not allowed"
        seen = self.seen[endpoint.name]
        if seen.out_until_ms > self.ctx.now():
            return "ejected as slow"
        if seen.rests_until_ms > self.ctx.now():
            return "asked for rest"
        if seen.permits is not None:
            # The rate is the sum over all nodes; each endpoint has one owner, who can count it.
            if endpoint.name not in self.owned:
                return "another node's, announces a rate"
            if seen.permits.fill(self.ctx.now()) < 1.0:
                return "its announced rate is used"
        if endpoint.name in self.owned:
            if seen.in_flight >= self._room(endpoint, request):
                return "full"
            return ""
        if seen.in_flight >= max(1, endpoint.capacity // self.sharers):
            return "this node's share is used"
        if alone or request.request_class is data.RequestClass.LOOKUP:
            return ""
        age = self.ctx.now() - seen.reported_ms
        if not seen.reported_ms or age > REPORT_AGE_MS:
            return "another node's, its load unknown"
        if seen.reported > endpoint.capacity * SPILL_SHARE:
            return "another node's, in use"
        return ""

    def _serves_itself(self, request: data.Request) -> bool:
        """Return whether this node owns an endpoint of the target that can be used."""
        now = self.ctx.now()
        return any(
            e.name in self.owned and e.name not in self.leaving and self.seen[e.name].is_in(now)
            for e in self.by_target.get((request.kind, request.target), [])
        )

    def _room(self, endpoint: data.Endpoint, request: data.Request) -> int:
        """Return how many requests may be there before this one is turned away."""
        if request.request_class is data.RequestClass.LOOKUP:
            return endpoint.capacity
        reserved = max(1, endpoint.capacity // 8)
        return max(1, endpoint.capacity - reserved)

    def load(self, name: str) -> int:
        """Return the requests at an endpoint: own ones exactly, others' as last reported."""
        seen = self.seen[name]
        if name in self.owned:
            return seen.in_flight
        others = max(0, seen.reported - seen.reported_own)
        return seen.in_flight + others

    def _score(self, endpoint: data.Endpoint, request: data.Request) -> float:
        seen = self.seen[endpoint.name]
        score = self.load(endpoint.name) * WAIT_MS_PER_REQUEST * 8 / endpoint.capacity
        if request.kind is data.EndpointKind.ENGINE and request.prefix not in seen.cached:
            score += request.prompt_tokens * PREFILL_MS_PER_TOKEN
        if endpoint.data_centre != self.ctx.data_centre:
            score += OTHER_DATA_CENTRE_MS
        if endpoint.name not in self.owned:
            score += NOT_OWNED_MS
        if seen.unreachable_until_ms > self.ctx.now():
            score += TRIED_MS
        return score + endpoint.price * PRICE_MS

    def owned_places(self, request: data.Request) -> tuple[int, int]:
        """Return the places of a target that this node admits to, and those in use."""
        total = 0
        used = 0
        for endpoint in self.by_target.get((request.kind, request.target), []):
            if endpoint.name in self.owned and endpoint.name not in self.leaving:
                total += self._room(endpoint, request)
                used += self.seen[endpoint.name].in_flight
        return total, used

    def has_target(self, request: data.Request, allowed: frozenset[str]) -> bool:
        """Return whether any endpoint that stays serves the request's target."""
        return any(
            endpoint.name not in self.leaving and (not allowed or endpoint.data_centre in allowed)
            for endpoint in self.by_target.get((request.kind, request.target), [])
        )
