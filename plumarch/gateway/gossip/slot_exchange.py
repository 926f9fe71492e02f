"""Routes requests for slots of fragile endpoints to the node that leases them.

This is the node that allocates an endpoint's permits, see `permit_exchange`.
"""

import dataclasses

import msgspec

from plumarch.core import request_rate, traffic
from plumarch.gateway import fleet_state
from plumarch.gateway.gossip import permit_exchange
from plumarch.limits import slot_allocator
from plumarch.membership import fleet_view
from plumarch.peers import gossip

MAX_SLOTS = 65_536
"""Limit of the numbers of slots and requests in a message."""


@dataclasses.dataclass(slots=True)
class SlotExchange:
    """Exchanges one node's messages about leased slots."""

    state: fleet_state.FleetState
    view: fleet_view.FleetView
    send: permit_exchange.Send
    permits: permit_exchange.PermitExchange

    def request_slots(
        self, endpoint: traffic.Endpoint, request: slot_allocator.SlotRequest
    ) -> None:
        """Request slots, or lease them here."""
        self._route(
            gossip.SlotRequest(
                self.view.node,
                self.view.address,
                endpoint.id,
                endpoint.data_centre,
                request.sequence,
                request.running,
                request.wanted,
                request.rejected,
                request.slots,
                request.rejections_per_s,
            )
        )

    def renew(self) -> None:
        """Renew the leases in use, and return the others."""
        state = self.state
        for name in list(state.slots.known):
            endpoint = state.registry.endpoints.get(name)
            if endpoint is None or not state.fragile.is_fragile(endpoint.service):
                continue
            use = state.slot_use(endpoint)
            if state.slots.has_surplus(use) or state.slots.is_renewal_due(use):
                self.request_slots(endpoint, state.slots.report(use))

    def handle_request(self, message: gossip.SlotRequest) -> None:
        """Answer a request, or forward it to the allocator."""
        numbers = (message.running, message.wanted, message.rejected, message.slots)
        is_valid = all(0 <= one <= MAX_SLOTS for one in numbers)
        if not is_valid or not request_rate.is_rate(message.rejections_per_s):
            self.state.log.write(
                "bad_slot_message", endpoint=message.endpoint, sender=message.node, numbers=numbers
            )
        elif message.hops < permit_exchange.MAX_HOPS:
            self._route(message)

    def _route(self, message: gossip.SlotRequest) -> None:
        tag = gossip.SLOT_REQUEST_TAG
        address = self.permits.allocator_address(message.data_centre, tag)
        if address == self.view.address:
            self._allocate(message)
        elif address is not None:
            hops = message.hops + (message.node != self.view.node)
            self.send(msgspec.structs.replace(message, hops=hops), [address])

    def _allocate(self, message: gossip.SlotRequest) -> None:
        request = slot_allocator.SlotRequest(
            message.node,
            message.endpoint,
            message.sequence,
            message.running,
            message.wanted,
            message.rejected,
            max(1, message.slots),
            message.rejections_per_s,
        )
        reported = self.state.chooser.running(message.endpoint)
        fraction = self.view.fresh_fraction()
        answer = self.state.slot_allocator.allocate(request, fraction, reported)
        reply = gossip.SlotAnswer(answer.endpoint, answer.sequence, answer.granted)
        if message.node == self.view.node:
            self.handle_answer(reply)
        else:
            self.send(reply, [message.address])

    def handle_answer(self, message: gossip.SlotAnswer) -> None:
        """Apply the allocator's answer."""
        if not 0 <= message.granted <= MAX_SLOTS:
            self.state.log.write(
                "bad_slot_message", endpoint=message.endpoint, granted=message.granted
            )
            return
        answer = slot_allocator.SlotAnswer(message.endpoint, message.sequence, message.granted)
        running = self.state.chooser.own_running(message.endpoint)
        if self.state.slots.answered(answer, running):
            self.state.measures.slot_leases.add("granted" if answer.granted > running else "denied")
            self.state.slot_answers.answered(message.endpoint)
