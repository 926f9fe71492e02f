"""Which node allocates the permits of an endpoint, and the messages to and from it.

An endpoint's permits are allocated by the senior node of its data centre, the one that started
first. In a large fleet that is a coordinator: members ask the one of their own data centre, which
passes the request on; the answer goes straight to the node that asked.

Two nodes may believe to be the senior one: on both sides of a cut, or while news of a start or an
end are on their way. Each allocates by the part of the fleet that it is in contact with, so that
both together stay near the rate. Nothing is agreed on, and nothing is kept for a successor.
"""

import dataclasses
from collections.abc import Callable, Iterable

import msgspec

from plumarch.core import request_rate, traffic
from plumarch.gateway import fleet_state
from plumarch.limits import rate_allocator
from plumarch.membership import fleet_view, tiers
from plumarch.peers import gossip

MAX_HOPS = 3
"""Nodes that pass a request on: the own coordinator, one of the endpoint's data centre, and its
senior one."""

MAX_PERMITS = 64
"""Permits in one answer, whatever is asked for."""

NEWS_GAP_MS = 1_000
"""How often a node broadcasts news of the same endpoint at most."""

Send = Callable[[gossip.Datagram, Iterable[str]], None]


@dataclasses.dataclass(slots=True)
class PermitExchange:
    """One node's side of the allocation of permits.

    Attributes:
      send: sends a message to addresses.
      recipients: addresses to which this node sends what all nodes are to know.
      is_leaving: whether this process is about to end, and allocates nothing any more.
      news_ms: when news of an endpoint were broadcast last, by its identifier.
    """

    state: fleet_state.FleetState
    view: fleet_view.FleetView
    send: Send
    recipients: Callable[[], Iterable[str]]
    is_leaving: Callable[[], bool]
    news_ms: dict[str, int] = dataclasses.field(default_factory=dict)

    def ask(self, endpoint: traffic.Endpoint, request: rate_allocator.PermitRequest) -> None:
        """Send a request for permits, or answer it if this node allocates them itself."""
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
        """Answer a request, or pass it on to who may."""
        if message.hops < MAX_HOPS and self._is_sound(message):
            self._route(message)

    def _route(self, message: gossip.PermitRequest) -> None:
        address = self.allocator_address(message.data_centre)
        if address == self.view.address:
            self._allocate(message)
        elif address is not None:
            self.send(_passed_on(message, self.view.node), [address])

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

    def _broadcast(self, news: gossip.RateUpdate) -> None:
        now = self.state.clock.now()
        if now - self.news_ms.get(news.endpoint, -NEWS_GAP_MS) < NEWS_GAP_MS:
            return
        recent = {name: at for name, at in self.news_ms.items() if now - at < NEWS_GAP_MS}
        self.news_ms = {**recent, news.endpoint: now}
        self.send(news, self.recipients())

    def handle_news(self, message: gossip.RateUpdate) -> None:
        """Apply what another node's answer announced; a coordinator passes on what was new."""
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
        """Return whether a message's rate can be one."""
        if all(request_rate.is_rate(per_s) for per_s in message.per_s):
            return True
        self.state.log.write(
            "bad_permit_message", endpoint=message.endpoint, per_s=str(message.per_s[0])
        )
        return False

    def allocator_address(self, data_centre: str) -> str | None:
        """Return where the permits of a data centre's endpoints are allocated, as far as known.

        Endpoints whose data centre has no live node are left to another one's. None where this node
        looks for the coordinators of its own data centre.
        """
        view = self.view
        if view.role is tiers.Role.MEMBER:
            return view.seniors()[0].address
        if view.role is tiers.Role.COORDINATOR:
            return self._coordinator_address(data_centre)
        if view.size() > tiers.FLAT_FLEET:
            return None
        return self._senior_address(data_centre)

    def _senior_address(self, data_centre: str) -> str | None:
        """Return the address of the senior node in a small fleet."""
        nodes = [(one.seniority(), one.address, one.data_centre) for one in self.view.live()]
        if not self.is_leaving():
            nodes.append((self.view.seniority(), self.view.address, self.view.data_centre))
        near = [one for one in nodes if one[2] == data_centre]
        return min(near or nodes)[1] if nodes else None

    def _coordinator_address(self, data_centre: str) -> str | None:
        """Return the address of the senior coordinator of a data centre in a large fleet."""
        centres = self.view.live_centres()
        known = sorted({self.view.data_centre, *centres})
        home = data_centre if data_centre in known else known[0]
        if home != self.view.data_centre:
            seniors = centres[home].seniors
            return seniors[0].address if seniors else None
        own_seniors = self.view.seniors()
        if self.is_leaving():
            own_seniors = [one for one in own_seniors if one.seniority.name != self.view.node]
        return own_seniors[0].address if own_seniors else None


def _passed_on(message: gossip.PermitRequest, node: str) -> gossip.PermitRequest:
    """Return a message as it is sent by a node, counting its way if it came from another one."""
    if message.node == node:
        return message
    return msgspec.structs.replace(message, hops=message.hops + 1)


def rate_list(observed: rate_allocator.Announcement) -> list[float]:
    """Return a rate as messages hold it."""
    return [] if observed.per_s is None else [observed.per_s]


def announcement(per_s: list[float], age_ms: int) -> rate_allocator.Announcement:
    """Return the announcement that a message holds."""
    return rate_allocator.Announcement(per_s[0] if per_s else None, max(0, age_ms))
