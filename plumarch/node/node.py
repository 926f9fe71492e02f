"""One entry node's decisions: events in, actions out.

Nothing here opens a socket, awaits, or reads a clock of its own. docs/SEAMS.md
shows how to drive a node.
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
"""How often the shell must hand a Tick to the node."""

CONFIG_ASK_MS = 1_000
LEAVING_RETENTION_MS = 60_000

WATCHERS = 2
"""Nodes of a data centre that watch the platform; the others hear it from peers."""

NOTICE_SLACK_MS = 2_000
"""A repeated notice is news only if it leaves at least this much less time."""


class Node:
    """One entry node.

    Args:
      identity: "name#incarnation"; the incarnation must be higher after each restart.
      data_centre: where it runs.
      time: its clock.
      rng: its only source of chance.
      peers: configured names of the other entry nodes.
      address: where peers reach it, told in heartbeats.
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
        self.shared_out: tuple[tuple[str, ...], tuple[str, ...]] = ((), ())
        self.next_beat_ms = 0
        self.next_config_ask_ms = 0

    def handle(self, event: events.Event) -> list[events.Action]:
        """Decide on one event.

        Args:
          event: what happened.
        Returns:
          The actions to carry out, in order.
        """
        self._dispatch_event(event)
        self.dispatch.pump()
        return self._take_actions()

    def _take_actions(self) -> list[events.Action]:
        """Return the actions decided, after handling the messages to this node itself."""
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
                    self.ledger.writer.answered(event)
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
                    self._beat()
            case events.StopAsked():
                self.adoption.leave(adoption.STOP_PATIENCE_MS, whole_data_centre=False)
                self._beat()

    # Messages.

    def _message(self, sender: str, m: messages.AnyMessage) -> None:
        match m:
            case messages.Heartbeat():
                self._heard(sender, m)
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
                self._give_config(sender, m.revision)
            case messages.ConfigGive():
                if self.config.apply_message(m):
                    self._beat()

    def _heard(self, sender: str, beat: messages.Heartbeat) -> None:
        self.membership.heard(sender, beat)
        self.ledger.heard(sender, beat.owned)
        for name, left_ms in beat.leaving:
            self._notice(name, left_ms)
        if beat.revision > self.config.revision and self.ctx.now() >= self.next_config_ask_ms:
            self.next_config_ask_ms = self.ctx.now() + CONFIG_ASK_MS
            self.ctx.send(sender, messages.ConfigAsk(self.config.revision))

    def _give_config(self, sender: str, revision: int) -> None:
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

    # Reclaim.

    def _leaving_by_list(self, listed: tuple[data.Endpoint, ...]) -> None:
        for endpoint in listed:
            if endpoint.state is data.EndpointState.LEAVING:
                self._notice(endpoint.name, endpoint.leaves_in_ms)

    def _reclaim(self, event: events.ReclaimNotice) -> None:
        news = [self._notice(name, event.left_ms) for name in event.names]
        if any(news):
            self._beat()

    def _notice(self, name: str, left_ms: int) -> bool:
        """Act on a reclaim notice, whoever told of it.

        Returns:
          Whether it is news. A second notice counts if it leaves less time.
        """
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
        """Return whether every other node of this data centre is under notice."""
        return all(
            context.name_of(member.node) in self.notices
            for member in self.membership.members.values()
            if member.data_centre == self.ctx.data_centre
            and member.state is not data.NodeState.GONE
        )

    def _nodes_gone(self, nodes: tuple[str, ...]) -> None:
        for node in self.membership.mark_gone(nodes):
            self.adoption.take_lost(node)

    # Time.

    def _tick(self) -> None:
        now = self.ctx.now()
        for node in self.membership.tick():
            self.ctx.note(None, "member", node, "silent for too long: counts as gone")
            self.adoption.take_lost(node)
        self.ledger.tick()
        for inquiry in self.inquiries.tick():
            self._given_up(inquiry)
        self.home.tick()
        self.dispatch.tick()
        self.followers.tick()
        self.adoption.tick()
        self.copies.expire()
        self._tend_fleet()
        if now >= self.next_beat_ms:
            self.membership.heartbeat_interval_ms = members.interval_ms(len(self.peers))
            self.next_beat_ms = now + self.membership.heartbeat_interval_ms
            self._share_out_endpoints()
            self.decider.observe()
            self._beat()
            self._take_lost_again()

    def _tend_fleet(self) -> None:
        """Decide on VMs, if the cloud's offers are known; without the platform nothing moves."""
        if not self.decider.offers:
            return
        deciding = self.orders.decides() and self.ctx.now() >= self.orders.next_round_ms
        changes = self.decider.changes() if deciding else []
        self.orders.tick(changes, frozenset(self.placement.endpoints))

    def _share_out_endpoints(self) -> None:
        """Settle who admits requests to which endpoint, if nodes or endpoints changed."""
        live = self.membership.live()
        staying = [n for n in self.placement.endpoints if n not in self.placement.leaving]
        state = (tuple(live), tuple(staying))
        if state == self.shared_out:
            return
        self.shared_out = state
        self.placement.assign_owners({name: self.membership.data_centre(name) for name in live})

    def _take_lost_again(self) -> None:
        """Take up copies whose home was lost before they arrived here."""
        homes = {copy.home for copy in self.copies.held.values()}
        for home_node in sorted(homes):
            if self.membership.state(home_node) is data.NodeState.GONE:
                self.adoption.take_lost(home_node)

    def _given_up(self, inquiry: inquiries.Inquiry) -> None:
        if inquiry.kind is inquiries.Kind.REHOME:
            self.adoption.given_up(inquiry)
        elif inquiry.kind is inquiries.Kind.LOOKUP:
            self.followers.given_up(inquiry)
        else:
            self.home.given_up(inquiry)

    def _beat(self) -> None:
        now = self.ctx.now()
        state = data.NodeState.LEAVING if self.membership.leaving else data.NodeState.LIVE
        for name in [n for n, at in self.notices.items() if now - at >= LEAVING_RETENTION_MS]:
            del self.notices[name]
        leaving = [(name, max(0, at - now)) for name, at in self.notices.items()]
        beat = messages.Heartbeat(
            self.ctx.data_centre,
            state,
            self.address,
            self.ledger.owned_list(),
            leaving,
            self.config.revision,
            self.decider.own_demand(),
        )
        for name in self.peers:
            self.ctx.send(name, beat)

    # What a shell asks besides.

    def is_watcher(self) -> bool:
        """Return whether this node watches the platform for its data centre."""
        here = [
            name
            for name in self.membership.live()
            if self.membership.data_centre(name) == self.ctx.data_centre
        ]
        return self.ctx.node in here[:WATCHERS] or not here

    def drained(self) -> bool:
        """Return whether a stopping node may end: nobody waits for it any more."""
        # A node that is alone has nobody to hand its slots to.
        handed_off = self.ledger.handed_off() or not self.membership.live()
        return self.adoption.drained() and handed_off


def encode(message: messages.AnyMessage) -> bytes:
    """Encode a message for the wire."""
    return msgspec.msgpack.encode(message)


DECODER = msgspec.msgpack.Decoder(messages.AnyMessage)


def decode(frame: bytes) -> messages.AnyMessage:
    """Decode a message from the wire.

    Raises:
      msgspec.ValidationError: it is of no known kind, or a field has a wrong type.
    """
    return DECODER.decode(frame)
