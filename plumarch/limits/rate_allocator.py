"""Divides the request rate that an endpoint announces among the nodes that request permits.

Fixed shares would be lost at nodes without demand, so one node allocates permits, one per request.
It starts with an empty bucket, since its predecessor's allocations are unknown.
"""

import dataclasses

from plumarch.core import clock, token_bucket
from plumarch.limits import idle_entries

BURST_PERMITS = 2.0
BURST_S = 0.25
"""Permits that accumulate without demand: BURST_PERMITS plus those of BURST_S."""

CONTENDER_MS = 1_000
"""Time after a denial for which a node counts as competing for permits."""

MIN_PER_S = 0.1
"""Minimum rate, so that a probe finds out that a limit is over."""


def new_bucket(per_s: float, now_ms: int, fraction: float = 1.0) -> token_bucket.TokenBucket:
    """Return an empty bucket of permits.

    Args:
      fraction: of the announced rate that is allocated here.
    """
    most = BURST_PERMITS + BURST_S * per_s
    return token_bucket.TokenBucket(max(MIN_PER_S, per_s) * fraction, most, now_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """The rate that an endpoint accepts from all nodes together, announced in an answer.

    Attributes:
      per_s: requests a second, or None without a limit.
    """

    per_s: float | None
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """A node's request for permits.

    Attributes:
      endpoint: the incarnation that they are for.
      sequence: distinguishes the requests of a node for an endpoint.
      count: permits wanted; 0 if it only reports an announcement.
    """

    node: str
    endpoint: str
    sequence: int
    count: int
    announcement: Announcement


@dataclasses.dataclass(frozen=True, slots=True)
class PermitAnswer:
    """The answer to a request for permits.

    Attributes:
      announcement: the newest known.
      next_ms: time until the next permit is available.
      wait_ms: the same behind the nodes denied recently.
      contenders: nodes denied recently, including the requesting one.
    """

    endpoint: str
    sequence: int
    permits: int
    announcement: Announcement
    next_ms: int = 0
    wait_ms: int = 0
    contenders: int = 0


@dataclasses.dataclass(slots=True)
class EndpointPermits:
    """The permits of one endpoint.

    Attributes:
      per_s: the announced rate, or None without a limit.
      observed_ms: when the answer that announced it came.
      bucket: None without a limit.
      denied: time of each node's last denial.
    """

    per_s: float | None
    observed_ms: int
    last_request_ms: int
    bucket: token_bucket.TokenBucket | None = None
    denied: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class RateAllocator:
    """The endpoints that this node allocates permits for."""

    clock: clock.Clock
    known: dict[str, EndpointPermits] = dataclasses.field(default_factory=dict)

    def allocate(self, request: PermitRequest, fraction: float) -> PermitAnswer:
        """Answer a node's request.

        Args:
          fraction: of the fleet that is reachable. The other side of a partition has its own
            allocator, with the rest of the rate.
        """
        now = self.clock.now()
        one = self._updated(request, now)
        announcement = Announcement(one.per_s, now - one.observed_ms)
        if one.per_s is None:
            one.bucket = None
            return PermitAnswer(request.endpoint, request.sequence, 0, announcement)
        bucket = _bucket_of(one, one.per_s, fraction, now)
        permits = max(0, min(request.count, int(bucket.fill(now))))
        bucket.take(permits)
        _note_denial(one, request, permits, now)
        contenders = len(one.denied)
        gap_ms = 1000.0 / bucket.per_s
        return PermitAnswer(
            request.endpoint,
            request.sequence,
            permits,
            announcement,
            round(bucket.next_ms()),
            round(bucket.next_ms() + max(0, contenders - 1) * gap_ms),
            contenders,
        )

    def _updated(self, request: PermitRequest, now: int) -> EndpointPermits:
        """Return an endpoint's record, updated by the newest announcement."""
        observed_ms = now - request.announcement.age_ms
        one = self.known.get(request.endpoint)
        if one is None:
            self.known = idle_entries.without_idle(self.known, now)
            one = EndpointPermits(request.announcement.per_s, observed_ms, now)
            self.known[request.endpoint] = one
        elif observed_ms > one.observed_ms:
            one.per_s, one.observed_ms = request.announcement.per_s, observed_ms
        one.last_request_ms = now
        return one


def _bucket_of(
    one: EndpointPermits, per_s: float, fraction: float, now: int
) -> token_bucket.TokenBucket:
    fresh = new_bucket(per_s, now, fraction)
    if one.bucket is None:
        one.bucket = fresh
    else:
        one.bucket.fill(now)
        one.bucket.per_s, one.bucket.max_level = fresh.per_s, fresh.max_level
    return one.bucket


def _note_denial(one: EndpointPermits, request: PermitRequest, permits: int, now: int) -> None:
    one.denied = {node: at for node, at in one.denied.items() if now - at < CONTENDER_MS}
    if request.count and not permits:
        one.denied[request.node] = now
    elif permits:
        one.denied.pop(request.node, None)
