"""Divides the request rate that an endpoint announces among the nodes that ask for permits.

Load pattern: an endpoint in need takes a few requests a second from hundreds of nodes, so that one
request of each node exceeds its rate. A fixed share for each node would be one request in minutes,
and would be lost at nodes without demand. One node therefore allocates permits, one a request, to
whichever nodes have demand.

It starts with an empty bucket: what was allocated by another node just before is not known to it.
"""

import dataclasses

from plumarch.core import clock

BURST_PERMITS = 2.0
BURST_S = 0.25
"""Permits that are saved up while nobody asks: some, and those of a short time at high rates."""

CONTENDER_MS = 1_000
"""For how long after a denial a node counts as one that competes for permits."""

IDLE_MS = 60_000
"""A bucket that nobody asked for so long is dropped."""

MOST_BUCKETS = 8_192
"""More than twice the endpoints of the largest fleet, some 500 bytes each."""

LEAST_PER_S = 0.1
"""An endpoint that takes nothing still gets a request now and then: only its answer can tell that
its limit is over."""


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What an answer of an endpoint said of the rate that it takes from all nodes together.

    Attributes:
      per_s: requests a second, or None if it takes any.
      age_ms: how long ago the answer came.
    """

    per_s: float | None
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """A node's request for permits.

    Attributes:
      endpoint: the incarnation that they are for.
      sequence: tells the node's requests apart.
      count: how many it has use for; 0 if it only reports an announcement.
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
      permits: how many the node may use.
      announcement: the newest one that is known.
      next_ms: when the next permit will be there.
      wait_ms: when a caller may expect one, behind those who were denied one lately.
      contenders: nodes that were denied one lately, the asking one included.
    """

    endpoint: str
    sequence: int
    permits: int
    announcement: Announcement
    next_ms: int = 0
    wait_ms: int = 0
    contenders: int = 0


@dataclasses.dataclass(slots=True)
class Bucket:
    """The permits of one endpoint.

    Attributes:
      per_s: the announced rate, or None if there is no limit.
      observed_ms: when the answer that announced it came.
      level: permits that are there, as of filled_ms.
      denied: when each node was denied a permit last.
    """

    per_s: float | None
    observed_ms: int
    filled_ms: int
    asked_ms: int
    level: float = 0.0
    denied: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class RateAllocator:
    """The buckets of all endpoints for which this node allocates permits."""

    clock: clock.Clock
    buckets: dict[str, Bucket] = dataclasses.field(default_factory=dict)

    def allocate(self, request: PermitRequest, fraction: float) -> PermitAnswer:
        """Answer a node's request.

        Args:
          fraction: the part of the fleet that this node is in contact with. The other side of a cut
            has an allocator of its own, with the rest of the rate.
        """
        now = self.clock.now()
        bucket = self._updated(request, now)
        if bucket.per_s is None:
            return PermitAnswer(
                request.endpoint,
                request.sequence,
                0,
                Announcement(None, now - bucket.observed_ms),
            )
        rate_per_ms = max(LEAST_PER_S, bucket.per_s) * fraction / 1000.0
        most = BURST_PERMITS + BURST_S * bucket.per_s
        bucket.level = min(most, bucket.level + (now - bucket.filled_ms) * rate_per_ms)
        bucket.filled_ms = now
        permits = min(request.count, int(bucket.level))
        bucket.level -= permits
        self._note_denial(bucket, request, permits, now)
        contenders = len(bucket.denied)
        next_ms = max(0.0, 1.0 - bucket.level) / rate_per_ms
        return PermitAnswer(
            request.endpoint,
            request.sequence,
            permits,
            Announcement(bucket.per_s, now - bucket.observed_ms),
            round(next_ms),
            round(next_ms + max(0, contenders - 1) / rate_per_ms),
            contenders,
        )

    def _updated(self, request: PermitRequest, now: int) -> Bucket:
        """Return the bucket of an endpoint, with the newest announcement."""
        told = request.announcement
        observed_ms = now - told.age_ms
        bucket = self.buckets.get(request.endpoint)
        if bucket is None:
            self._drop_idle(now)
            bucket = Bucket(told.per_s, observed_ms, now, now)
            self.buckets[request.endpoint] = bucket
        elif observed_ms > bucket.observed_ms:
            if bucket.per_s is None:
                bucket.level, bucket.filled_ms = 0.0, now
            bucket.per_s, bucket.observed_ms = told.per_s, observed_ms
        bucket.asked_ms = now
        return bucket

    def _drop_idle(self, now: int) -> None:
        recent = {name: one for name, one in self.buckets.items() if now - one.asked_ms <= IDLE_MS}
        while len(recent) >= MOST_BUCKETS:
            del recent[next(iter(recent))]
        self.buckets = recent

    def _note_denial(self, bucket: Bucket, request: PermitRequest, permits: int, now: int) -> None:
        bucket.denied = {node: at for node, at in bucket.denied.items() if now - at < CONTENDER_MS}
        if request.count and not permits:
            bucket.denied[request.node] = now
        elif permits:
            bucket.denied.pop(request.node, None)
