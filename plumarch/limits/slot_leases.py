"""This node's leases of slots at fragile endpoints.

A request needs a leased slot (`slot_allocator`). Without an answer of the allocator a node sends
only where much is free, and few rejected requests.
"""

import dataclasses

from plumarch.core import clock
from plumarch.limits import slot_allocator

VALID_MS = 1_500
"""Time after the allocator's last answer for which its leases are used; less than it keeps them."""

RENEWAL_MS = 500
"""Time after which leases in use are renewed."""

ANSWER_MS = 100
"""Time after which an answer counts as lost."""

UNRESPONSIVE_MS = 300
"""Time without an answer after which the node decides by itself."""

DENIED_MS = 3
"""Time after a denial in which the slots of an endpoint are not requested again."""

UNLEASED_FRACTION = 0.5
"""Fraction of an endpoint's slots up to which a node sends without an allocator."""

IDLE_MS = 60_000
"""Time without requests after which an endpoint is dropped."""


@dataclasses.dataclass(slots=True)
class Lease:
    """Slots leased at one endpoint.

    Attributes:
      granted: slots, those in use included.
      answered_ms: when the allocator answered last, or None.
      sequence: of the last request.
      wanted: slots that it wanted beyond those in use.
      request_ms: when it was sent, or None if it was answered.
      unanswered_since_ms: when the first unanswered one was sent, or None.
      denied_until_ms: no slot is requested before then.
      rejected: requests rejected since the last request.
      rejected_ms: when one was rejected last, or None.
    """

    granted: int = 0
    answered_ms: int | None = None
    sequence: int = 0
    wanted: int = 0
    request_ms: int | None = None
    unanswered_since_ms: int | None = None
    denied_until_ms: int = 0
    rejected: int = 0
    rejected_ms: int | None = None
    used_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SlotUse:
    """An endpoint's slots and their use.

    Attributes:
      slots: as listed.
      running: this node's requests there.
      reported: those of all nodes, as far as known.
      rejections_per_s: that the endpoint bears.
    """

    endpoint: str
    slots: int
    running: int
    reported: int
    rejections_per_s: float


@dataclasses.dataclass(slots=True)
class SlotLeases:
    """The leases of one node, by endpoint identifier."""

    clock: clock.Clock
    node: str
    nodes: int = 1
    known: dict[str, Lease] = dataclasses.field(default_factory=dict)

    def may_send(self, use: SlotUse) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        lease = self.known.get(use.endpoint)
        if lease is None:
            return False
        if self._is_valid(lease):
            return use.running < lease.granted
        return self._may_send_unleased(lease, use)

    def _is_valid(self, lease: Lease) -> bool:
        return lease.answered_ms is not None and self.clock.now() - lease.answered_ms < VALID_MS

    def _may_send_unleased(self, lease: Lease, use: SlotUse) -> bool:
        """Return whether a request may be sent although the allocator does not answer."""
        now = self.clock.now()
        since = lease.unanswered_since_ms
        if since is None or now - since < UNRESPONSIVE_MS:
            return False
        if use.reported >= max(1.0, UNLEASED_FRACTION * use.slots):
            return False
        pause_ms = 1000.0 * self.nodes / max(1.0, use.rejections_per_s)
        return lease.rejected_ms is None or now - lease.rejected_ms >= pause_ms

    def is_denied(self, endpoint: str) -> bool:
        """Return whether the allocator denied a slot just now."""
        lease = self.known.get(endpoint)
        return lease is not None and self.clock.now() < lease.denied_until_ms

    def is_request_pending(self, endpoint: str) -> bool:
        """Return whether an answer of the allocator is awaited."""
        lease = self.known.get(endpoint)
        if lease is None or lease.request_ms is None:
            return False
        return self.clock.now() - lease.request_ms < ANSWER_MS

    def request(self, use: SlotUse, wanted: int) -> slot_allocator.SlotRequest | None:
        """Return the request for slots to send now, or None while one is pending or denied."""
        if self.is_request_pending(use.endpoint) or self.is_denied(use.endpoint):
            return None
        return self.report(use, wanted)

    def report(self, use: SlotUse, wanted: int = 0) -> slot_allocator.SlotRequest:
        """Return a message with the slots in use; it gives the others back.

        Args:
          wanted: slots wanted beyond those in use.
        """
        self._drop_idle()
        lease = self._lease(use.endpoint)
        now = self.clock.now()
        lease.sequence += 1
        lease.wanted = wanted
        lease.granted = min(lease.granted, use.running)
        lease.request_ms = lease.used_ms = now
        if lease.unanswered_since_ms is None:
            lease.unanswered_since_ms = now
        rejected, lease.rejected = lease.rejected, 0
        return slot_allocator.SlotRequest(
            self.node,
            use.endpoint,
            lease.sequence,
            use.running,
            wanted,
            rejected,
            use.slots,
            use.rejections_per_s,
        )

    def answered(self, answer: slot_allocator.SlotAnswer, running: int) -> bool:
        """Apply the allocator's answer.

        Args:
          running: this node's requests at the endpoint.
        Returns:
          Whether it answers the last request.
        """
        lease = self.known.get(answer.endpoint)
        if lease is None or answer.sequence != lease.sequence:
            return False
        now = self.clock.now()
        lease.granted = answer.granted
        lease.answered_ms = now
        lease.request_ms = lease.unanswered_since_ms = None
        if lease.wanted and answer.granted <= running:
            lease.denied_until_ms = now + DENIED_MS
        return True

    def has_surplus(self, use: SlotUse) -> bool:
        """Return whether a leased slot is free."""
        lease = self.known.get(use.endpoint)
        return lease is not None and lease.granted > use.running

    def is_renewal_due(self, use: SlotUse) -> bool:
        """Return whether to send a message again: leases are in use, or the last one was lost."""
        lease = self.known.get(use.endpoint)
        if lease is None:
            return False
        since = lease.unanswered_since_ms
        if since is not None and not self.is_request_pending(use.endpoint):
            # The allocator may still keep slots that were returned.
            return self.clock.now() - since < slot_allocator.LEASE_MS
        return use.running > 0 and self.clock.now() - lease.used_ms >= RENEWAL_MS

    def rejected(self, endpoint: str) -> None:
        """Record that an endpoint rejected a request."""
        lease = self._lease(endpoint)
        lease.rejected += 1
        lease.rejected_ms = self.clock.now()

    def _lease(self, endpoint: str) -> Lease:
        # Sequences go on rising in the process that follows on this one.
        return self.known.setdefault(endpoint, Lease(sequence=self.clock.now()))

    def _drop_idle(self) -> None:
        oldest = self.clock.now() - IDLE_MS
        if any(one.used_ms < oldest for one in self.known.values()):
            self.known = {name: one for name, one in self.known.items() if one.used_ms >= oldest}
