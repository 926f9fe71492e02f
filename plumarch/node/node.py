"""Decision logic of an entry node, without I/O.

docs/SEAMS.md shows how to drive a node.
"""

import random

import msgspec

from plumarch.config import state as config_state
from plumarch.core import clock, context, data, events, messages
from plumarch.fleet import decider, orders
from plumarch.membership import members
from plumarch.node import adoption, dispatch, followers, home, runs, watchers
from plumarch.recovery import copies, inquiries, ledger
from plumarch.routing import placement

TICK_MS = 50
"""Interval of the shell's Ticks."""

CONFIG_REQUEST_INTERVAL_MS = 1_000
LEAVING_RETENTION_MS = 60_000

WATCHERS = 2
"""Nodes per data centre that watch the platform for the others."""

NOTICE_SLACK_MS = 2_000
"""Minimum reduction of the time left for a repeated notice to count."""


class Node:
    """One entry node.

    Args:
      identity: "name#incarnation"; the incarnation must increase with each restart.
      rng: the only source of randomness.
      peers: configured names of the other nodes.
      address: its address for peers.
    """

    def __init__(
        self,
        identity: str,
        data_centre: str,
        time: clock.Clock,
        rng: random.Random,
        peers: tuple[str, ...] = (),
        address: str = "",
    ) -> None:
        ctx = context.Context(identity, data_centre, time, rng)
        self.ctx = ctx
        self.peers = list(peers)
        self.address = address
        self.membership = members.Membership(ctx)
        self.ledger = ledger.Ledger(ctx, self.membership)
        self.inquiries = inquiries.Inquiries(ctx, self.ledger)
        self.config = config_state.ConfigState(ctx)
        self.placement = placement.Placement(ctx)
        self.copies = copies.Copies(ctx)
        self.table = runs.RunTable(ctx)
        self.watchers = watchers.Watchers(ctx)
        self.dispatch = dispatch.Dispatch(
            ctx, self.table, self.placement, self.watchers, self.config
        )
        self.followers = followers.Followers(
            ctx, self.membership, self.inquiries, self.table, self.watchers
        )
        self.home = home.Home(
            ctx,
            self.membership,
            self.ledger,
            self.inquiries,
            self.table,
            self.watchers,
            self.dispatch,
            self.followers,
            self.config,
        )
        self.adoption = adoption.Adoption(
            ctx,
            self.membership,
            self.table,
            self.copies,
            self.dispatch,
            self.followers,
            self.home,
            self.inquiries,
        )
        self.orders = orders.Orders(ctx, self.membership)
        self.decider = decider.Decider(
            ctx, self.membership, self.table, self.placement, self.config, self.orders
        )
        self.notices: dict[str, int] = {}
        self.last_assignment: tuple[tuple[str, ...], tuple[str, ...]] = ((), ())
        self.next_heartbeat_ms = 0
        self.next_config_request_ms = 0

    def handle(self, event: events.Event) -> list[events.Action]:
        """Process an event and return the actions, in order."""
        self._dispatch_event(event)
        self.dispatch.pump()
        return self._collect_actions()

    def _collect_actions(self) -> list[events.Action]:
        """Drain the outbox, handling messages to this node directly."""
        actions: list[events.Action] = []
        while self.ctx.outbox:
            batch = self.ctx.outbox
            self.ctx.outbox = []
            for action in batch:
                if isinstance(action, events.Send) and action.node == self.ctx.node:
                    self._message(self.ctx.node, action.message)
                else:
                    actions.append(action)
            self.dispatch.pump()
        return actions

    def _dispatch_event(self, event: events.Event) -> None:
        match event:
            case events.Tick():
                self._tick()
            case events.PeerMessage():
                self._message(event.sender, event.message)
            case events.EndpointTokens():
                self.dispatch.tokens(event)
            case events.EndpointDone():
                self.dispatch.done(event)
            case events.EndpointFailed():
                self.dispatch.failed(event)
            case events.EndpointRate():
                self.dispatch.rate_announced(event)
            case events.Arrived():
                self.home.start(event)
            case events.Attach():
                self.followers.attach(event)
            case events.CallerGone():
                self.home.caller_gone(event.watcher_id)
                self.followers.caller_gone(event.watcher_id)
            case events.CancelAsked():
                self._cancel(event)
            case events.PlatformAnswer():
                if not self.orders.platform_answered(event):
                    self.ledger.writer.handle_answer(event)
            case events.CloudAnswer():
                self.orders.cloud_answered(event)
            case events.OffersSeen():
                self.decider.offers = event.offers
            case events.EndpointsSeen():
                self.placement.update(event.endpoints)
                self._leaving_by_list(event.endpoints)
            case events.LoadSeen():
                self.placement.report(event.report)
            case events.ReclaimNotice():
                self._reclaim(event)
            case events.NodesGone():
                self._nodes_gone(event.nodes)
            case events.ConfigSeen():
                if self.config.apply(event.revision, event.manifest, event.documents):
                    self._send_heartbeat()
            case events.StopAsked():
                self.adoption.leave(adoption.STOP_GRACE_MS, whole_data_centre=False)
                self._send_heartbeat()

    def _message(self, sender: str, m: messages.AnyMessage) -> None:
        match m:
            case messages.Heartbeat():
                self._apply_heartbeat(sender, m)
            case messages.Claim():
                self.ledger.claim(sender, m)
            case messages.ClaimAnswer():
                self.home.claim_answered(m)
            case messages.Settle():
                self.ledger.settle(sender, m)
            case messages.SettleAnswer():
                self.home.settle_answered(m)
            case messages.Lookup():
                self.ledger.lookup(sender, m)
            case messages.LookupAnswer():
                self.followers.looked_up(m)
            case messages.Rehome():
                self.ledger.rehome(sender, m)
            case messages.RehomeAnswer():
                self.adoption.rehome_answered(m)
            case messages.Replicate():
                self.ledger.replicate(sender, m)
            case messages.Replicated():
                self.ledger.replicated(sender, m)
            case messages.NoTable():
                self.ledger.no_table(sender, m)
            case messages.TableCopy():
                self.ledger.table_copy(sender, m)
            case messages.TableCopied():
                self.ledger.table_copied(sender, m)
            case _:
                self._message_about_runs(sender, m)

    def _message_about_runs(self, sender: str, m: messages.AnyMessage) -> None:
        match m:
            case messages.CopyPut():
                self.copies.put(sender, m)
            case messages.CopyAck():
                self.home.copy_answered(sender, m)
            case messages.CopyDrop():
                self.copies.drop(m.request_id)
            case messages.Adopt():
                self.adoption.adopt(sender, m)
            case messages.Adopted():
                self.adoption.adopted(sender, m)
            case messages.Subscribe():
                adoption.subscribe(
                    self.table, self.adoption.moved, self.watchers, self.ctx, sender, m
                )
            case messages.Chunk():
                self.followers.chunk(sender, m)
            case messages.Ended():
                self.followers.ended(sender, m)
            case messages.NotHere():
                self.followers.not_here(sender, m)
            case messages.Cancel():
                self.home.cancel(m.request_id)
            case messages.ConfigAsk():
                self._send_config(sender, m.revision)
            case messages.ConfigGive():
                if self.config.apply_message(m):
                    self._send_heartbeat()

    def _apply_heartbeat(self, sender: str, heartbeat: messages.Heartbeat) -> None:
        self.membership.apply_heartbeat(sender, heartbeat)
        self.ledger.apply_heartbeat(sender, heartbeat.owned)
        for name, left_ms in heartbeat.leaving:
            self._notice(name, left_ms)
        if (
            heartbeat.revision > self.config.revision
            and self.ctx.now() >= self.next_config_request_ms
        ):
            self.next_config_request_ms = self.ctx.now() + CONFIG_REQUEST_INTERVAL_MS
            self.ctx.send(sender, messages.ConfigAsk(self.config.revision))

    def _send_config(self, sender: str, revision: int) -> None:
        if self.config.revision > revision:
            self.ctx.send(sender, self.config.to_message(revision))

    def _cancel(self, event: events.CancelAsked) -> None:
        for run in list(self.table.active.values()):
            request = run.request
            if request.workspace == event.workspace and request.key == event.key:
                self.home.cancel(request.id)
                return
        for follow in self.followers.follows.values():
            record = follow.record
            if record and record.workspace == event.workspace and record.key == event.key:
                self.ctx.send(record.home, messages.Cancel(record.request_id))
                return

    def _leaving_by_list(self, listed: tuple[data.Endpoint, ...]) -> None:
        for endpoint in listed:
            if endpoint.state is data.EndpointState.LEAVING:
                self._notice(endpoint.name, endpoint.leaves_in_ms)

    def _reclaim(self, event: events.ReclaimNotice) -> None:
        changed = [self._notice(name, event.left_ms) for name in event.names]
        if any(changed):
            self._send_heartbeat()

    def _notice(self, name: str, left_ms: int) -> bool:
        """Apply a reclaim notice; return whether it is new or leaves less time."""
        now = self.ctx.now()
        at = now + left_ms
        known = self.notices.get(name)
        if known is not None and at >= known - NOTICE_SLACK_MS:
            return False
        self.notices[name] = at
        self.ctx.note(None, "leave", name, f"reclaim notice, {left_ms} ms left")
        if self.placement.leave(name, at) or name in self.placement.leaving:
            self.decider.reclaimed(name)
            self.dispatch.endpoint_leaves(name, left_ms)
        if name == context.name_of(self.ctx.node):
            self.adoption.leave(left_ms, self._whole_data_centre_leaves())
        return True

    def _whole_data_centre_leaves(self) -> bool:
        """Return whether the data centre's other nodes are under notice."""
        return all(
            context.name_of(member.node) in self.notices
            for member in self.membership.members.values()
            if member.data_centre == self.ctx.data_centre
            and member.state is not data.NodeState.GONE
        )

    def _nodes_gone(self, nodes: tuple[str, ...]) -> None:
        for node in self.membership.mark_gone(nodes):
            self.adoption.adopt_copies_of(node)

    def _tick(self) -> None:
        now = self.ctx.now()
        for node in self.membership.tick():
            self.ctx.note(None, "member", node, "silent for too long: counts as gone")
            self.adoption.adopt_copies_of(node)
        self.ledger.tick()
        for inquiry in self.inquiries.tick():
            self._handle_timeout(inquiry)
        self.home.tick()
        self.dispatch.tick()
        self.followers.tick()
        self.adoption.tick()
        self.copies.expire()
        self._update_fleet()
        if now >= self.next_heartbeat_ms:
            self.membership.heartbeat_interval_ms = members.interval_ms(len(self.peers))
            self.next_heartbeat_ms = now + self.membership.heartbeat_interval_ms
            self._assign_endpoints()
            self.decider.observe()
            self._send_heartbeat()
            self._adopt_late_copies()

    def _update_fleet(self) -> None:
        """Order and release VMs, once the cloud's offers are known."""
        if not self.decider.offers:
            return
        deciding = self.orders.decides() and self.ctx.now() >= self.orders.next_round_ms
        changes = self.decider.changes() if deciding else []
        self.orders.tick(changes, frozenset(self.placement.endpoints))

    def _assign_endpoints(self) -> None:
        """Reassign endpoints if they or the nodes changed."""
        live = self.membership.live()
        staying = [n for n in self.placement.endpoints if n not in self.placement.leaving]
        state = (tuple(live), tuple(staying))
        if state == self.last_assignment:
            return
        self.last_assignment = state
        self.placement.assign_owners({name: self.membership.data_centre(name) for name in live})

    def _adopt_late_copies(self) -> None:
        """Adopt requests whose copies arrived late."""
        homes = {copy.home for copy in self.copies.held.values()}
        for home_node in sorted(homes):
            if self.membership.state(home_node) is data.NodeState.GONE:
                self.adoption.adopt_copies_of(home_node)

    def _handle_timeout(self, inquiry: inquiries.Inquiry) -> None:
        if inquiry.kind is inquiries.Kind.REHOME:
            self.adoption.handle_timeout(inquiry)
        elif inquiry.kind is inquiries.Kind.LOOKUP:
            self.followers.handle_timeout(inquiry)
        else:
            self.home.handle_timeout(inquiry)

    def _send_heartbeat(self) -> None:
        now = self.ctx.now()
        state = data.NodeState.LEAVING if self.membership.leaving else data.NodeState.LIVE
        for name in [n for n, at in self.notices.items() if now - at >= LEAVING_RETENTION_MS]:
            del self.notices[name]
        leaving = [(name, max(0, at - now)) for name, at in self.notices.items()]
        heartbeat = messages.Heartbeat(
            self.ctx.data_centre,
            state,
            self.address,
            self.ledger.owned_list(),
            leaving,
            self.config.revision,
            self.decider.own_demand(),
        )
        for name in self.peers:
            self.ctx.send(name, heartbeat)

    def is_watcher(self) -> bool:
        """Return whether this node watches the platform."""
        here = [
            name
            for name in self.membership.live()
            if self.membership.data_centre(name) == self.ctx.data_centre
        ]
        return self.ctx.node in here[:WATCHERS] or not here

    def drained(self) -> bool:
        """Return whether a stopping node may exit."""
        # Without live nodes its slots have no successor.
        slots_released = self.ledger.has_no_slots() or not self.membership.live()
        return self.adoption.drained() and slots_released


def encode(message: messages.AnyMessage) -> bytes:
    """Encode for the wire."""
    return msgspec.msgpack.encode(message)


DECODER = msgspec.msgpack.Decoder(messages.AnyMessage)


def decode(frame: bytes) -> messages.AnyMessage:
    """Decode from the wire.

    Raises:
      msgspec.ValidationError: unknown type of message, or a field of the wrong type.
    """
    return DECODER.decode(frame)
