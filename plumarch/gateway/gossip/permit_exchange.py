"""Routes permit requests to the node that allocates an endpoint's permits.

This is the senior node of the endpoint's data centre; in a large fleet members send to their own
senior coordinator, which forwards. In a partition two nodes may both allocate, each scaled by its
reachable fraction of the fleet to stay near the rate; a successor takes over no state.
"""

import dataclasses
from collections.abc import Callable, Iterable

import msgspec

from plumarch.core import request_rate, traffic
from plumarch.gateway import fleet_state
from plumarch.gateway.gossip import readable_tags
from plumarch.limits import rate_allocator
from plumarch.membership import fleet_view, tiers
from plumarch.peers import gossip

MAX_HOPS = 3
"""Nodes that forward a request: own coordinator, one of the data centre's, its senior."""

MAX_PERMITS = 64
"""Permits in one answer."""

MIN_BROADCAST_INTERVAL_MS = 1_000
"""Time between broadcasts of an endpoint's rate."""

Send = Callable[[gossip.Datagram, Iterable[str]], None]


@dataclasses.dataclass(slots=True)
class PermitExchange:
    """Exchanges one node's permit messages.

    Attributes:
      recipients: addresses for what all nodes are to know.
      is_leaving: whether this process is shutting down and allocates nothing.
      broadcast_ms: time of the last broadcast, by endpoint identifier.
    """

    state: fleet_state.FleetState
    view: fleet_view.FleetView
    send: Send
    recipients: Callable[[], Iterable[str]]
    is_leaving: Callable[[], bool]
    readable: readable_tags.ReadableTags
    broadcast_ms: dict[str, int] = dataclasses.field(default_factory=dict)

    def request_permits(
        self, endpoint: traffic.Endpoint, request: rate_allocator.PermitRequest
    ) -> None:
        """Request permits, or allocate them here."""
        message = gossip.PermitRequest(
            self.view.node,
            self.view.address,
            endpoint.id,
            endpoint.data_centre,
            request.sequence,
            request.count,
            rate_list(request.announcement),
            request.announcement.age_ms,
        )
        self._route(message)
        if not request.count:
            observed = request.announcement
            per_s = rate_list(observed)
            self._broadcast(gossip.RateUpdate(self.view.node, endpoint.id, per_s, observed.age_ms))

    def handle_request(self, message: gossip.PermitRequest) -> None:
        """Answer a request, or forward it to the allocator."""
        if message.hops < MAX_HOPS and self._is_sound(message):
            self._route(message)

    def _route(self, message: gossip.PermitRequest) -> None:
        address = self.allocator_address(message.data_centre)
        if address == self.view.address:
            self._allocate(message)
        elif address is not None:
            self.send(_forwarded(message, self.view.node), [address])

    def _allocate(self, message: gossip.PermitRequest) -> None:
        request = rate_allocator.PermitRequest(
            message.node,
            message.endpoint,
            message.sequence,
            max(0, min(MAX_PERMITS, message.count)),
            announcement(message.per_s, message.age_ms),
        )
        answer = self.state.allocator.allocate(request, self.view.fresh_fraction())
        reply = gossip.PermitAnswer(
            answer.endpoint,
            answer.sequence,
            answer.permits,
            rate_list(answer.announcement),
            answer.announcement.age_ms,
            answer.next_ms,
            answer.wait_ms,
            answer.contenders,
        )
        if message.node == self.view.node:
            self.handle_answer(reply)
        else:
            self.send(reply, [message.address])

    def handle_answer(self, message: gossip.PermitAnswer) -> None:
        """Apply the allocator's answer."""
        endpoint = self.state.registry.endpoints.get(message.endpoint)
        if endpoint is not None and self._is_sound(message):
            answer = rate_allocator.PermitAnswer(
                message.endpoint,
                message.sequence,
                min(MAX_PERMITS, message.permits),
                announcement(message.per_s, message.age_ms),
                message.next_ms,
                message.wait_ms,
                message.contenders,
            )
            if self.state.permits.answered(endpoint, answer):
                self.state.rate_changed(endpoint, "allocator")
        self.state.permit_answers.answered(message.endpoint)

    def _broadcast(self, update: gossip.RateUpdate) -> None:
        now = self.state.clock.now()
        if (
            now - self.broadcast_ms.get(update.endpoint, -MIN_BROADCAST_INTERVAL_MS)
            < MIN_BROADCAST_INTERVAL_MS
        ):
            return
        recent = {
            name: at
            for name, at in self.broadcast_ms.items()
            if now - at < MIN_BROADCAST_INTERVAL_MS
        }
        self.broadcast_ms = {**recent, update.endpoint: now}
        self.send(update, self.recipients())

    def handle_rate_update(self, message: gossip.RateUpdate) -> None:
        """Apply a rate observed elsewhere; a coordinator forwards a new one."""
        endpoint = self.state.registry.endpoints.get(message.endpoint)
        if endpoint is None or not self._is_sound(message):
            return
        observed = announcement(message.per_s, message.age_ms)
        if not self.state.permits.merge_announcement(endpoint, observed):
            return
        self.state.rate_changed(endpoint, message.node)
        if self.view.role is tiers.Role.COORDINATOR:
            self._broadcast(message)

    def _is_sound(
        self, message: gossip.PermitRequest | gossip.PermitAnswer | gossip.RateUpdate
    ) -> bool:
        """Return whether a rate is valid; log it if not."""
        if all(request_rate.is_rate(per_s) for per_s in message.per_s):
            return True
        self.state.log.write(
            "bad_permit_message", endpoint=message.endpoint, per_s=str(message.per_s[0])
        )
        return False

    def allocator_address(self, data_centre: str, tag: int = 0) -> str | None:
        """Return the known address of the node that allocates a data centre's permits.

        Another data centre's node allocates for one without live nodes. None while looking for
        coordinators, or if no candidate is known to read requests.

        Args:
          tag: of the requests; 0 includes nodes of earlier builds, which share a rate among
            themselves by the most senior node of all.
        """
        view = self.view
        if view.role is tiers.Role.MEMBER:
            return self._first_reader(view.seniors()[: tiers.COORDINATORS], tag)
        if view.role is tiers.Role.COORDINATOR:
            return self._coordinator_address(data_centre, tag)
        if view.size() > tiers.FLAT_FLEET:
            return None
        return self._senior_address(data_centre, tag)

    def _first_reader(self, seniors: Iterable[tiers.Senior], tag: int) -> str | None:
        """Return the address of the first node that reads a kind of datagram."""
        own = self.view.address
        addresses = (one.address for one in seniors)
        return next((one for one in addresses if one == own or self.readable.reads(one, tag)), None)

    def _senior_address(self, data_centre: str, tag: int) -> str | None:
        """Return the senior node's address in a small fleet."""
        nodes = [
            (one.seniority(), one.address, one.data_centre)
            for one in self.view.live()
            if self.readable.reads(one.address, tag)
        ]
        if not self.is_leaving():
            nodes.append((self.view.seniority(), self.view.address, self.view.data_centre))
        local = [one for one in nodes if one[2] == data_centre]
        return min(local or nodes)[1] if nodes else None

    def _coordinator_address(self, data_centre: str, tag: int) -> str | None:
        """Return a data centre's senior coordinator's address in a large fleet."""
        centres = self.view.live_centres()
        known = sorted({self.view.data_centre, *centres})
        home = data_centre if data_centre in known else known[0]
        if home != self.view.data_centre:
            return self._first_reader(centres[home].seniors[: tiers.COORDINATORS], tag)
        own_seniors = self.view.seniors()
        if self.is_leaving():
            own_seniors = [one for one in own_seniors if one.seniority.name != self.view.node]
        return self._first_reader(own_seniors[: tiers.COORDINATORS], tag)


def _forwarded(message: gossip.PermitRequest, node: str) -> gossip.PermitRequest:
    """Return the message to send, with a hop added if forwarded."""
    if message.node == node:
        return message
    return msgspec.structs.replace(message, hops=message.hops + 1)


def rate_list(observed: rate_allocator.Announcement) -> list[float]:
    """Return an announced rate as messages hold it."""
    return [] if observed.per_s is None else [observed.per_s]


def announcement(per_s: list[float], age_ms: int) -> rate_allocator.Announcement:
    """Return the announcement in a message."""
    return rate_allocator.Announcement(per_s[0] if per_s else None, max(0, age_ms))
