"""Request rates that endpoints announced to this node, and its permits to send under them.

An announced rate holds for all nodes together; each request needs a permit from the fleet's
allocator (`rate_allocator`), requested ahead by recent demand. Without an answer of the allocator
each node uses an equal share of half the rate.
"""

import collections
import dataclasses
import random
from collections.abc import Iterable

from plumarch.core import clock, traffic
from plumarch.limits import rate_allocator

PERMIT_MS = 1_000
PERMIT_GAPS = 1.5
"""Lifetime of a permit: PERMIT_MS plus PERMIT_GAPS times the gap between requests at the rate.
Accumulated permits may all be used at once; at low rates these are few, and their node may have no
request for a while."""

DEMAND_MS = 500
"""Time over which recent requests count as demand."""

MAX_DEMAND = 64

REPORT = 0
"""Sequence of a message that only reports an announcement; its answer is not mistaken for the
answer to a pending request."""

ANSWER_MS = 500
"""Time after which an answer counts as lost; a later one may come from a process that was
stopped."""

UNRESPONSIVE_MS = 1_000
"""Time without an answer after which the node uses its fixed share."""

FIXED_SHARE_FRACTION = 0.5
"""Fraction of a rate that is divided into fixed shares."""

FIXED_GRACE_MS = 2_000
"""A turn unused for this time is drawn again; otherwise all nodes would have one saved when demand
begins."""

MIN_RATE_CHANGE = 0.1
"""Relative change of a rate from which it is reported."""

RETENTION_MS = 600_000

MIN_PAUSE_MS = 250
"""Minimum pause before missing permits are requested again."""

MAX_PAUSE_MS = 5_000

REQUESTS_PER_PERMIT = 4
"""Requests for each permit from all competing nodes together."""


@dataclasses.dataclass(slots=True)
class LimitedEndpoint:
    """An endpoint that announces a rate, or did.

    Attributes:
      id: the incarnation that announced it.
      alive_ms: time of day at which that process was certainly alive.
      per_s: the announced rate, or None if the limit is over.
      observed_ms: when the announcing answer came, to whichever node.
      last_noted_per_s: the rate at its last noticeable change.
      permits: expiry of each permit.
      demand: times of recent requests.
      sequence: of the last request for permits.
      count: permits that it requested.
      last_request_ms: when it was sent, or None if it was answered.
      unanswered_since_ms: when the first unanswered request was sent, or None.
      wait_until_ms: when a caller may expect a permit, by the allocator's last answer.
      turn_ms: when the fixed share allows a request, or None while it is unused.
    """

    id: str
    alive_ms: int
    per_s: float | None
    observed_ms: int
    last_noted_per_s: float | None = None
    permits: collections.deque[int] = dataclasses.field(default_factory=collections.deque)
    demand: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_DEMAND)
    )
    sequence: int = 0
    count: int = 0
    last_request_ms: int | None = None
    unanswered_since_ms: int | None = None
    pause_until_ms: int = 0
    wait_until_ms: int = 0
    turn_ms: float | None = None


@dataclasses.dataclass(slots=True)
class RatePermits:
    """The endpoints with an announced rate, by name."""

    clock: clock.Clock
    rng: random.Random
    node: str
    nodes: int = 1
    known: dict[str, LimitedEndpoint] = dataclasses.field(default_factory=dict)

    def announced(self, endpoint: traffic.Endpoint, alive_ms: int, per_s: float) -> bool:
        """Record that an answer announced a rate.

        Args:
          alive_ms: time of day at which the connection to the answering process came up.
        Returns:
          Whether the limit is new, or its rate changed noticeably.
        """
        now = self.clock.now()
        one = self.known.get(endpoint.stable_name())
        if one is None or one.id != endpoint.id:
            self.known[endpoint.stable_name()] = LimitedEndpoint(
                endpoint.id, alive_ms, per_s, now, per_s
            )
            return True
        changed = self._set_rate(one, per_s, now)
        one.alive_ms = max(one.alive_ms, alive_ms)
        return changed

    def not_announced(self, endpoint: traffic.Endpoint, sent_ms: int) -> bool:
        """Record that an answer announced no rate, unless sent before the last announcement.

        Returns:
          Whether this ends a limit.
        """
        one = self._limited(endpoint)
        if one is None or one.id != endpoint.id or sent_ms < one.observed_ms:
            return False
        return self._set_rate(one, None, self.clock.now())

    def merge_announcement(
        self, endpoint: traffic.Endpoint, announcement: rate_allocator.Announcement
    ) -> bool:
        """Merge what an answer to another node announced.

        Returns:
          Whether a limit began, ended or changed noticeably.
        """
        observed_ms = self.clock.now() - announcement.age_ms
        one = self.known.get(endpoint.stable_name())
        if one is None or one.id != endpoint.id:
            if announcement.per_s is None:
                return False
            self.known[endpoint.stable_name()] = LimitedEndpoint(
                endpoint.id, 0, announcement.per_s, observed_ms, announcement.per_s
            )
            return True
        if observed_ms <= one.observed_ms:
            return False
        return self._set_rate(one, announcement.per_s, observed_ms)

    def _set_rate(self, one: LimitedEndpoint, per_s: float | None, observed_ms: int) -> bool:
        one.per_s, one.observed_ms = per_s, observed_ms
        if not _differs(per_s, one.last_noted_per_s):
            return False
        one.last_noted_per_s = per_s
        # Permits under a higher rate are too many for a lower one.
        one.permits.clear()
        return True

    def _limited(self, endpoint: traffic.Endpoint) -> LimitedEndpoint | None:
        if not self.known:
            return None
        one = self.known.get(endpoint.stable_name())
        if one is None or one.per_s is None or not endpoint.may_have_answered(one.id, one.alive_ms):
            return None
        return one

    def rate(self, endpoint: traffic.Endpoint) -> float | None:
        """Return an endpoint's announced rate in requests a second, or None."""
        one = self._limited(endpoint)
        return one.per_s if one is not None else None

    def may_send(self, endpoint: traffic.Endpoint) -> bool:
        """Return whether a request may be sent: there is no limit, or a permit."""
        one = self._limited(endpoint)
        return one is None or self._has_permit(one) or self._has_turn(one)

    def use(self, endpoint: traffic.Endpoint) -> bool:
        """Use a permit.

        Returns:
          Whether there is a limit and there was a permit.
        """
        one = self._limited(endpoint)
        if one is None:
            return False
        now = self.clock.now()
        if self._has_permit(one):
            one.permits.popleft()
        elif self._has_turn(one):
            one.turn_ms = now + self._fixed_interval_ms(one)
        else:
            return False
        one.demand.append(now)
        return True

    def return_permit(self, endpoint: traffic.Endpoint) -> None:
        """Return a permit whose request did not reach the endpoint."""
        one = self._limited(endpoint)
        if one is not None:
            one.permits.appendleft(self.clock.now() + PERMIT_MS)

    def request(
        self, endpoint: traffic.Endpoint, is_needed: bool = True
    ) -> rate_allocator.PermitRequest | None:
        """Return the request for permits to send now, or None.

        Args:
          is_needed: whether a request had no permit.
        """
        one = self._limited(endpoint)
        if one is None:
            return None
        now = self.clock.now()
        if is_needed:
            one.demand.append(now)
        if self.is_request_pending(endpoint) or now < one.pause_until_ms:
            return None
        self._has_permit(one)
        recent = sum(now - at < DEMAND_MS for at in one.demand)
        count = recent - len(one.permits)
        if count <= 0 or 2 * len(one.permits) > recent:
            return None
        one.last_request_ms, one.count = now, count
        if one.unanswered_since_ms is None:
            one.unanswered_since_ms = now
        one.sequence += 1
        return self._message(one, one.sequence, count)

    def report(self, endpoint: traffic.Endpoint) -> rate_allocator.PermitRequest | None:
        """Return a request that only reports an announcement."""
        one = self.known.get(endpoint.stable_name())
        return self._message(one, REPORT, 0) if one is not None else None

    def _message(
        self, one: LimitedEndpoint, sequence: int, count: int
    ) -> rate_allocator.PermitRequest:
        age_ms = self.clock.now() - one.observed_ms
        announcement = rate_allocator.Announcement(one.per_s, age_ms)
        return rate_allocator.PermitRequest(self.node, one.id, sequence, count, announcement)

    def is_request_pending(self, endpoint: traffic.Endpoint) -> bool:
        """Return whether a request for permits is pending."""
        one = self._limited(endpoint)
        if one is None or one.last_request_ms is None:
            return False
        return self.clock.now() - one.last_request_ms < ANSWER_MS

    def answered(self, endpoint: traffic.Endpoint, answer: rate_allocator.PermitAnswer) -> bool:
        """Apply the allocator's answer.

        Returns:
          As `merge_announcement`.
        """
        changed = self.merge_announcement(endpoint, answer.announcement)
        one = self._limited(endpoint)
        if one is None or answer.sequence != one.sequence or not self.is_request_pending(endpoint):
            return changed
        now = self.clock.now()
        one.last_request_ms = one.unanswered_since_ms = one.turn_ms = None
        one.permits.extend([now + round(PERMIT_MS + PERMIT_GAPS * _gap_ms(one))] * answer.permits)
        one.wait_until_ms = now + answer.wait_ms
        if answer.permits < one.count:
            one.pause_until_ms = now + round(self._pause_ms(one, answer))
        return changed

    def _pause_ms(self, one: LimitedEndpoint, answer: rate_allocator.PermitAnswer) -> float:
        """Return the pause before the next request, longer with more contenders."""
        others = max(0, answer.contenders - 1)
        spread_ms = 2.0 * others * _gap_ms(one) / REQUESTS_PER_PERMIT
        pause_ms = answer.next_ms + self.rng.uniform(0.0, spread_ms)
        return max(MIN_PAUSE_MS, min(MAX_PAUSE_MS, pause_ms))

    def _has_permit(self, one: LimitedEndpoint) -> bool:
        now = self.clock.now()
        while one.permits and one.permits[0] <= now:
            one.permits.popleft()
        return bool(one.permits)

    def _has_turn(self, one: LimitedEndpoint) -> bool:
        """Return whether the fixed share allows a request."""
        now = self.clock.now()
        if one.unanswered_since_ms is None or now - one.unanswered_since_ms < UNRESPONSIVE_MS:
            return False
        if one.turn_ms is None or now - one.turn_ms > FIXED_GRACE_MS:
            one.turn_ms = now + self.rng.uniform(0.0, self._fixed_interval_ms(one))
        return now >= one.turn_ms

    def _fixed_interval_ms(self, one: LimitedEndpoint) -> float:
        return self.nodes * _gap_ms(one) / FIXED_SHARE_FRACTION

    def wait_ms(self, endpoints: Iterable[traffic.Endpoint]) -> int:
        """Return the time until a permit for one of the endpoints; 0 if one needs none."""
        now = self.clock.now()
        waits = []
        for endpoint in endpoints:
            one = self._limited(endpoint)
            if one is None:
                return 0
            waits.append(max(one.wait_until_ms - now, 0) or round(_gap_ms(one)))
        return min(waits, default=0)

    def lasting(self, endpoints: Iterable[traffic.Endpoint]) -> dict[str, float]:
        """Return the announced rates of endpoints, by identifier."""
        found = {one.id: self.rate(one) for one in endpoints}
        return {name: rate for name, rate in found.items() if rate is not None}

    def prune(self, listed: set[str]) -> None:
        """Drop limits of unlisted endpoints after the retention time.

        An entry may vanish while its endpoint lives, and come back.

        Args:
          listed: endpoint identifiers.
        """
        oldest_ms = self.clock.now() - RETENTION_MS
        self.known = {
            name: one
            for name, one in self.known.items()
            if one.id in listed or one.observed_ms >= oldest_ms
        }


def _differs(per_s: float | None, noted: float | None) -> bool:
    if per_s is None or noted is None:
        return per_s is not noted
    return abs(per_s - noted) > MIN_RATE_CHANGE * noted


def _gap_ms(one: LimitedEndpoint) -> float:
    """Return the time between two requests of all nodes at the announced rate."""
    return 1000.0 / max(rate_allocator.MIN_PER_S, one.per_s or 0.0)
