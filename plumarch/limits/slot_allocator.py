"""Leases an endpoint's slots to the nodes that request them.

While an endpoint bears few rejections, each request needs a leased slot: loads that nodes report to
each other are too old to keep all of them together below the number of slots.
"""

import collections
import dataclasses

from plumarch.core import clock
from plumarch.limits import idle_entries

LEASE_MS = 2_000
"""Time without a request of a node after which its leases end; its process is gone."""

LEARNING_MS = 700
"""Time in which a new allocator counts reported loads of nodes that it has no request of."""

REJECTION_WINDOW_MS = 1_000
"""Time over which rejections are counted."""

TOLERATED_FRACTION = 0.5
"""Fraction of the tolerated rejections at which no more slots are leased for a while."""

RECOVERY_FRACTION = 1 / 16
"""Fraction of the slots that is leased again each second after a rejection, one slot at least: more
at once would be rejected together."""


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """A node's use of an endpoint's slots, and its request for more.

    Attributes:
      endpoint: the incarnation.
      sequence: rises with each request of a node for an endpoint.
      running: requests that the node runs there.
      wanted: slots wanted beyond them.
      rejected: requests rejected since the node's last request.
      slots: of the endpoint, as listed.
      rejections_per_s: that the endpoint bears.
    """

    node: str
    endpoint: str
    sequence: int
    running: int
    wanted: int
    rejected: int
    slots: int
    rejections_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SlotAnswer:
    """The answer to a SlotRequest.

    Attributes:
      granted: slots leased to the node, those in use included.
    """

    endpoint: str
    sequence: int
    granted: int


@dataclasses.dataclass(slots=True)
class NodeLease:
    """Slots leased to one node."""

    sequence: int
    granted: int
    renewed_ms: int


@dataclasses.dataclass(slots=True)
class EndpointSlots:
    """The leases of one endpoint.

    Attributes:
      begun_ms: when the first request came.
      leases: by node.
      rejected_ms: times of recent rejections.
      limit: slots that are leased right after the last rejection.
      limited_ms: when that was, or None.
    """

    begun_ms: int
    last_request_ms: int
    leases: dict[str, NodeLease] = dataclasses.field(default_factory=dict)
    rejected_ms: collections.deque[int] = dataclasses.field(default_factory=collections.deque)
    limit: float = 0.0
    limited_ms: int | None = None


@dataclasses.dataclass(slots=True)
class SlotAllocator:
    """The endpoints whose slots this node leases."""

    clock: clock.Clock
    known: dict[str, EndpointSlots] = dataclasses.field(default_factory=dict)

    def allocate(self, request: SlotRequest, fraction: float, reported: int) -> SlotAnswer:
        """Answer a node's request.

        Args:
          fraction: of the fleet that is reachable; the other side of a partition leases the rest.
          reported: requests of all nodes at the endpoint, as they report them.
        """
        now = self.clock.now()
        one = self._record(request, now)
        before = one.leases.get(request.node)
        if before is not None and request.sequence < before.sequence:
            return SlotAnswer(request.endpoint, request.sequence, before.granted)
        one.leases.pop(request.node, None)
        self._note_rejections(one, request, now)
        others = sum(lease.granted for lease in one.leases.values())
        if now - one.begun_ms < LEARNING_MS:
            others = max(others, reported - request.running)
        free = int(self._limit(one, request.slots, now) * fraction) - others - request.running
        if self._is_over_tolerance(one, request, now):
            free = 0
        granted = request.running + max(0, min(request.wanted, free))
        one.leases[request.node] = NodeLease(request.sequence, granted, now)
        return SlotAnswer(request.endpoint, request.sequence, granted)

    def _record(self, request: SlotRequest, now: int) -> EndpointSlots:
        one = self.known.get(request.endpoint)
        if one is None:
            self.known = idle_entries.without_idle(self.known, now)
            one = self.known[request.endpoint] = EndpointSlots(now, now)
        one.last_request_ms = now
        one.leases = {
            name: lease for name, lease in one.leases.items() if now - lease.renewed_ms < LEASE_MS
        }
        return one

    def _note_rejections(self, one: EndpointSlots, request: SlotRequest, now: int) -> None:
        if request.rejected <= 0:
            return
        one.rejected_ms.extend([now] * min(request.rejected, request.slots))
        # An endpoint that rejects a leased request has fewer slots than listed.
        in_use = sum(lease.granted for lease in one.leases.values()) + request.running
        one.limit = max(1.0, min(self._limit(one, request.slots, now), in_use) - 1.0)
        one.limited_ms = now

    def _limit(self, one: EndpointSlots, slots: int, now: int) -> float:
        """Return the slots that may be leased."""
        if one.limited_ms is None or one.limit >= slots:
            return float(slots)
        per_s = max(1.0, RECOVERY_FRACTION * slots)
        return min(float(slots), one.limit + per_s * (now - one.limited_ms) / 1000.0)

    def _is_over_tolerance(self, one: EndpointSlots, request: SlotRequest, now: int) -> bool:
        while one.rejected_ms and now - one.rejected_ms[0] >= REJECTION_WINDOW_MS:
            one.rejected_ms.popleft()
        tolerated = max(1.0, TOLERATED_FRACTION * request.rejections_per_s)
        return len(one.rejected_ms) >= tolerated
