"""Sends and receives a node's gossip."""

import asyncio
import random
from collections.abc import Iterable, Mapping
from typing import Any, cast

import msgspec

from plumarch.core import addresses, decoding
from plumarch.gateway import fleet_state
from plumarch.gateway.gossip import (
    bootstrap,
    coordination,
    fragility_reports,
    heartbeats,
    load_reports,
    member_updates,
    peer_server,
    permit_exchange,
    readable_tags,
    rounds,
    seniors,
    slot_exchange,
    snapshots,
    speed_reports,
    spending_ledger,
    stale_figures,
    stream_exchange,
    suspect_updates,
    tunnel_server,
    unreadable_messages,
    version_reports,
)
from plumarch.limits import centre_spending, quota_records
from plumarch.membership import fleet_view, peer_node, tiers, tunnel_nodes
from plumarch.peers import gossip

HEARTBEAT_INTERVAL_MS = 250
MAX_HEARTBEATS_PER_SECOND = 150
"""Heartbeats that a node sends, or a coordinator receives."""

MIN_ANSWER_INTERVAL_MS = HEARTBEAT_INTERVAL_MS
"""Time between two answers to a node that looks for its coordinators."""

CONTACTS_PER_ROUND = 4
"""Nodes, unreached or in other data centres, to which each heartbeat goes as well."""

NOTICE_TOKENS = 1_500.0
"""Unread tokens, or units charged, from which on a prompt is announced."""


class Gossiper(asyncio.DatagramProtocol):
    """Gossips on behalf of one node."""

    def __init__(
        self,
        state: fleet_state.FleetState,
        view: fleet_view.FleetView,
        duty: heartbeats.DutyStatus,
        seeds: tuple[str, ...],
    ) -> None:
        self.state = state
        self.view = view
        self.duty = duty
        self.seeds = seeds
        self.leaving = False
        self.readable = readable_tags.ReadableTags()
        self.unreadable = unreadable_messages.UnreadableMessages(state, view)
        self.transport: asyncio.DatagramTransport | None = None
        self.composer = heartbeats.HeartbeatComposer(state, view, duty)
        elsewhere = centre_spending.CentreSpending(state.clock)
        self.coordination = coordination.Coordination(state, view, duty, elsewhere)
        self.rounds = rounds.Rounds(state, view, self.coordination, self._send)
        self.bootstrap = bootstrap.Bootstrap(state, view, self.composer, self._send)
        self.member = member_updates.MemberUpdates(state, view)
        self.suspects = suspect_updates.SuspectPublisher(
            state,
            view.node,
            self._send,
            self._update_addresses,
            lambda: view.role is tiers.Role.COORDINATOR,
        )
        self.permits = permit_exchange.PermitExchange(
            state, view, self._send, self._update_addresses, lambda: self.leaving, self.readable
        )
        self.slots = slot_exchange.SlotExchange(state, view, self._send, self.permits)
        self.streams = stream_exchange.StreamExchange(state, view, self._send, self.readable)
        self.snapshots = snapshots.SnapshotExchange(state)
        self.tunnels = tunnel_server.TunnelServer(state, lambda: self.leaving)
        self.peer_server = peer_server.PeerServer(self.snapshots, self.tunnels)
        state.tunnel_peers = tunnel_nodes.TunnelNodes(
            state.clock,
            view,
            random.Random(f"{view.node} {view.incarnation} tunnels"),
            state.distances.is_in_region,
        )
        self.soon = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.recipients: set[str] = set()
        self.last_answer_ms: dict[str, int] = {}
        self.role_announced_ms = 0
        state.announce_prompt = self.announce_prompt
        state.publish_suspects = self.suspects.publish
        state.request_permits = self.permits.request_permits
        state.request_slots = self.slots.request_slots
        state.ask_origin = self.streams.ask
        state.knows_endpoints = self.streams.knows_endpoints
        state.send_update_soon = lambda: self.send_heartbeat_soon()

    async def start(self) -> None:
        """Listen and learn the seeds."""
        host, port = addresses.split(self.view.address)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
        self.server = await asyncio.start_server(
            self.peer_server.serve, host, port, backlog=addresses.BACKLOG
        )
        self.learn_seeds(self.seeds)

    def learn_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds.

        Args:
          seeds: IP or IP:port of nodes; all listen on the same port, so it is ignored.
        """
        _, port = addresses.split(self.view.address)
        known = {f"{seed.rpartition(':')[0] or seed}:{port}" for seed in seeds}
        for address in sorted(known):
            self.view.learn(address, address)
        self.view.all_centres.replace_seeds(known, self.state.clock.now())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    # Sending.

    def interval_ms(self) -> float:
        """Return the time between heartbeats; it grows with the number of senders."""
        flat = self.view.role is tiers.Role.FLAT and self.view.size() <= tiers.FLAT_FLEET
        senders = len(self.view.peers) if flat else self.view.reporting_nodes()
        return max(HEARTBEAT_INTERVAL_MS, 1000.0 * senders / MAX_HEARTBEATS_PER_SECOND)

    def send_heartbeat_soon(self) -> None:
        """Send the next heartbeat at once."""
        self.soon.set()

    def start_bootstrap(self) -> None:
        """Send a full heartbeat at once, as peers may have missed earlier ones."""
        self.composer.schedule_full()
        self.send_heartbeat_soon()

    async def run_heartbeats(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.tick()
            try:
                async with asyncio.timeout(self.interval_ms() / 1000.0):
                    await self.soon.wait()
            except TimeoutError:
                pass
            self.soon.clear()

    async def run_rounds(self) -> None:
        """Send reports, summaries and fleet updates until cancelled."""
        while True:
            self.step_round()
            await asyncio.sleep(rounds.ROUND_INTERVAL_MS / 1000.0)

    def step_round(self) -> None:
        """Send what is due in a round."""
        self.streams.step()
        self.rounds.step()

    def tick(self) -> None:
        """Update role and peers, then send heartbeats."""
        self._decide_role()
        self.view.interval_ms = self.interval_ms()
        self.view.store_era = self.state.registry.sent_era()
        self.state.quota.update_age_ms = self._update_age_ms()
        self.state.permits.nodes = self.state.slots.nodes = self.view.size()
        self.slots.renew()
        is_flat = self.view.role is tiers.Role.FLAT
        self.state.quota.admitting_nodes = 1 if is_flat else self.view.size()
        for peer in self.view.tick():
            self._forget(peer)
        stale_figures.drop_old_loads(self.state, self.view)
        self._update_fraction()
        self.state.budget.nodes = max(8, 2 * self.view.size())
        if self.transport is None:
            return
        recipients = set(self._heartbeat_addresses())
        if self.view.role is not tiers.Role.FLAT and recipients - self.recipients:
            # A new recipient counts spending from the first figure that it receives.
            self.composer.schedule_full()
        self.recipients = recipients
        heartbeat = self.composer.next(self.leaving, self._counted_spending())
        self.member.record_heartbeat(heartbeat)
        self._send(heartbeat, recipients)
        if heartbeat.usage and self.view.role is tiers.Role.COORDINATOR:
            successors = self.view.seniors()[tiers.COORDINATORS : tiers.SENIORS]
            self._send(heartbeats.usage_only(heartbeat), [one.address for one in successors])
        self.bootstrap.step(self.leaving)
        self.suspects.step()

    def _counted_spending(self) -> Mapping[str, float] | None:
        """Return own spending that the coordinators counted; None in a small fleet."""
        if self.view.role is tiers.Role.COORDINATOR:
            return self.coordination.own_counted
        if self.view.role is tiers.Role.FLAT and self.view.size() <= tiers.FLAT_FLEET:
            return None
        return self.member.ledger.counted

    def _update_age_ms(self) -> float:
        """Return the usual age of what is known of other nodes' spending.

        Small charges wait for the next heartbeat, a round between data centres and one to members.
        """
        if self.view.role is tiers.Role.FLAT:
            return self.view.interval_ms
        return self.view.interval_ms / 2 + 2 * rounds.ROUND_INTERVAL_MS

    def _heartbeat_addresses(self) -> Iterable[str]:
        if self.view.role is tiers.Role.FLAT:
            return self._flat_addresses()
        addresses = {senior.address for senior in self.view.coordinators()}
        if self.view.role is tiers.Role.MEMBER and not self.view.has_fresh_update():
            addresses |= {senior.address for senior in self.view.seniors()} - {self.view.address}
        if self.view.role is tiers.Role.COORDINATOR:
            unknown = [peer.address for peer in self.view.peers.values() if not peer.incarnation]
            addresses |= set(self.state.rng.sample(unknown, min(CONTACTS_PER_ROUND, len(unknown))))
        return addresses

    def _update_addresses(self) -> Iterable[str]:
        """Return recipients of updates that all nodes need."""
        if self.view.role is not tiers.Role.COORDINATOR:
            return self._heartbeat_addresses()
        members = {peer.address for peer in self.view.neighbours()}
        return members | self.rounds.other_coordinators()

    def _flat_addresses(self) -> Iterable[str]:
        """Return all nodes of a small fleet, else the own data centre's and a sample of others.

        In a large fleet a node without a role is only looking for its coordinators.
        """
        peers = self.view.peers.values()
        if self.view.size() <= tiers.FLAT_FLEET:
            return self.view.addresses()
        own = [one.address for one in peers if one.data_centre in ("", self.state.data_centre)]
        others = [
            one.address for one in peers if one.data_centre not in ("", self.state.data_centre)
        ]
        return own + self.state.rng.sample(others, min(CONTACTS_PER_ROUND, len(others)))

    def _send(self, message: gossip.Datagram, to: Iterable[str]) -> None:
        if self.transport is None:
            return
        datagram = gossip.encoder.encode(message)
        for address in sorted(self.readable.readers(to, gossip.tag_of(message))):
            self.transport.sendto(datagram, addresses.split(address))

    def _forget(self, peer: peer_node.Peer) -> None:
        is_large = self.view.role is not tiers.Role.FLAT
        if not is_large or peer.data_centre == self.state.data_centre:
            self.state.log.write("peer_forgotten", peer=peer.name, address=peer.address)
        self.state.quota.forget(f"{peer.name}#{peer.incarnation}")
        self.coordination.forget(peer.name)
        self.bootstrap.remember(peer)
        self.last_answer_ms.pop(peer.name, None)

    def _decide_role(self) -> None:
        before = self.view.role
        role = self.view.decide_role()
        if role is before:
            return
        self.state.log.write(
            "role",
            urgent=True,
            role=role.value,
            before=before.value,
            nodes=self.view.size(),
            elders=[senior.seniority.name for senior in self.view.seniors()[: tiers.SENIORS]],
            news_age_ms=self.view.update_age_ms(),
        )
        if role is tiers.Role.COORDINATOR:
            self.coordination.continue_ledger(self.member.ledger)
        elif before is tiers.Role.COORDINATOR:
            self.member.ledger = self.coordination.followed()
        stale_figures.drop_for_role(self.state, self.view, self.coordination)
        self.coordination.full_due = True
        self._announce_role()

    def _announce_role(self) -> None:
        """Send a heartbeat after a role change, at most once per round."""
        now = self.state.clock.now()
        if now - self.role_announced_ms >= rounds.ROUND_INTERVAL_MS:
            self.role_announced_ms = now
            self.send_heartbeat_soon()

    def _update_fraction(self) -> None:
        self.state.quota.set_reachable_fraction(self.view.fresh_fraction())

    def announce_prompt(self, sent: fleet_state.SentPrompt) -> None:
        """Notify peers of a long prompt sent to an engine."""
        load = self.state.chooser.own.get(sent.endpoint)
        if load is None or max(sent.unread_tokens, sent.units) < NOTICE_TOKENS:
            return
        bucket = self.state.quota.buckets.get(sent.workspace)
        self.composer.sequence += 1
        notice = gossip.LoadNotice(
            self.view.node,
            self.view.incarnation,
            load_reports.to_message(sent.endpoint, load),
            self.composer.sequence,
            sent.workspace if bucket is not None else "",
            round(bucket.spent) if bucket is not None else 0.0,
        )
        self.member.record_notice(notice)
        if self.view.role is tiers.Role.FLAT:
            self._send(notice, [peer.address for peer in self.view.live()])
        else:
            self._send(notice, [senior.address for senior in self.view.coordinators()])

    # Receiving.

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Dispatch a datagram by type."""
        try:
            message = decoding.message(gossip.datagram_decoder, data)
        except msgspec.DecodeError as error:
            self.unreadable.note(str(addr[0]), data, error)
            readable = self.unreadable.readable_part(data)
            if readable is None:
                return
            message = readable
        sender = f"{addr[0]}:{addr[1]}"
        self.readable.note_sent_by(sender, gossip.tag_of(message))
        match message:
            case gossip.Heartbeat():
                self.apply_heartbeat(message)
            case gossip.LoadNotice():
                self.handle_notice(message)
            case gossip.CentreSummary():
                self.handle_summary(message, sender)
            case gossip.CentreDirectory():
                self.bootstrap.handle_directory(message, self.leaving)
            case gossip.MemberUpdate():
                self._handle_member_update(message, str(addr[0]))
            case gossip.SuspectUpdate():
                self.suspects.apply(message)
            case gossip.PermitRequest():
                self.readable.note_sent_by(message.address, gossip.tag_of(message))
                self.permits.handle_request(message)
            case gossip.PermitAnswer():
                self.permits.handle_answer(message)
            case gossip.RateUpdate():
                self.permits.handle_rate_update(message)
            case gossip.SlotRequest():
                self.readable.note_sent_by(message.address, gossip.tag_of(message))
                self.slots.handle_request(message)
            case gossip.SlotAnswer():
                self.slots.handle_answer(message)
            case gossip.StreamReport():
                self.streams.handle_report(message)
            case gossip.OriginRequest():
                self.readable.note_sent_by(message.address, gossip.tag_of(message))
                self.streams.handle_request(message)
            case gossip.OriginAnswer():
                self.streams.handle_answer(message)
            case gossip.RecordRequest():
                self.streams.handle_record_request(message)

    def handle_notice(self, notice: gossip.LoadNotice) -> None:
        """Apply a peer's load and charge at one endpoint."""
        peer = self.view.peers.get(notice.node)
        chooser = self.state.chooser
        if (
            peer is None
            or peer.incarnation != notice.incarnation
            or peer.name not in chooser.reported_loads
        ):
            return
        chooser.report_load(peer.name, notice.load.endpoint, load_reports.from_message(notice.load))
        incarnation = f"{notice.node}#{notice.incarnation}"
        charged = self.state.quota.noticed(incarnation, notice.workspace, notice.spent)
        if peer.data_centre == self.state.data_centre:
            self.coordination.count_reported(notice.node, notice.sequence, charged)

    def handle_summary(self, summary: gossip.CentreSummary, sender: str) -> None:
        """Apply another data centre's summary; a member forwards it to its coordinators."""
        if summary.data_centre == self.state.data_centre:
            return
        self.readable.apply_report(summary.address, summary.incarnation, summary.newest_tag)
        if self.view.role is tiers.Role.COORDINATOR:
            if summary.data_centre not in self.view.centres:
                stale_figures.drop_nodes_of(self.state, self.view, summary.data_centre)
            if not self.coordination.handle_summary(summary):
                return
            self.bootstrap.compare_digest(summary, self.leaving)
            if sender == summary.address:
                self.rounds.forward(summary)
            if self._is_newer(summary):
                self.snapshots.fetch_from(summary.address)
        elif self.view.role is tiers.Role.MEMBER and sender == summary.address:
            self._send(summary, [senior.address for senior in self.view.coordinators()])

    def _handle_member_update(self, message: gossip.MemberUpdate, sender: str) -> None:
        try:
            update = decoding.message(gossip.fleet_update_decoder, message.update)
        except msgspec.DecodeError as error:
            self.unreadable.note(sender, bytes(message.update), error)
            return
        self.apply_fleet_update(update, message.acknowledged)

    def apply_fleet_update(self, update: gossip.FleetUpdate, acknowledged: int) -> None:
        """Apply a coordinator's fleet update.

        Args:
          acknowledged: sequence of this node's last heartbeat or notice in it.
        """
        if update.data_centre != self.state.data_centre:
            return
        peer = self.view.mark_seen(
            update.node, update.incarnation, update.address, update.data_centre
        )
        if peer is None:
            return
        self.readable.apply_report(update.address, update.incarnation, update.newest_tag)
        version_reports.apply_shares(self.state, update.versions)
        fragility_reports.apply(self.state, update.fragile, update.node)
        if self._is_newer(update):
            self.snapshots.fetch_from(update.address)
        if not self.member.apply_update(update):
            return
        self._adopt_ledger(update)
        if self.view.role is not tiers.Role.MEMBER:
            self._decide_role()
        if self.view.role is tiers.Role.MEMBER:
            self.member.adopt_figures(update, acknowledged)

    def _adopt_ledger(self, update: gossip.FleetUpdate) -> None:
        """Merge a more senior coordinator's ledger, once received in full."""
        is_more_senior = tiers.Seniority(update.incarnation, update.node) < self.view.seniority()
        if self.view.role is tiers.Role.COORDINATOR and update.full and is_more_senior:
            ledger = spending_ledger.FollowedLedger()
            ledger.apply_update(update)
            self.coordination.merge_ledger(ledger)

    def apply_heartbeat(self, heartbeat: gossip.Heartbeat) -> None:
        """Apply a node's heartbeat."""
        known = self.view.peers.get(heartbeat.node)
        was_alive = known is not None and self.view.is_alive(known)
        was_fresh = known is not None and self.view.is_fresh(known)
        before = known.incarnation if known else 0
        peer = self.view.mark_seen(
            heartbeat.node, heartbeat.incarnation, heartbeat.address, heartbeat.data_centre
        )
        if peer is None:
            return
        if before not in (0, heartbeat.incarnation) and not was_fresh:
            self._charge_lost_node(heartbeat.data_centre)
        if not was_alive or before != heartbeat.incarnation:
            self.coordination.forget(peer.name)
            self._handle_new_peer(peer)
            if self.view.role is not tiers.Role.MEMBER:
                self._decide_role()
        peer.leaving = heartbeat.leaving
        if heartbeat.build or before != heartbeat.incarnation:
            peer.build = heartbeat.build
        peer.reaches_store = heartbeat.reaches_store
        peer.opens_tunnels = heartbeat.opens_tunnels
        peer.store_era = heartbeat.store_era
        self.readable.apply_report(heartbeat.address, heartbeat.incarnation, heartbeat.newest_tag)
        fragility_reports.apply(self.state, heartbeat.fragile, heartbeat.node)
        peer.token = heartbeat.token
        peer.candidate = heartbeat.candidate
        peer.nodes = heartbeat.nodes
        self.duty.reported = max(self.duty.reported, heartbeat.reported)
        for other in heartbeat.peers:
            self.view.learn(other.name, other.address)
        in_own_centre = heartbeat.data_centre == self.state.data_centre
        if (
            in_own_centre
            and heartbeat.seniors
            and self.view.note_reported_seniors(seniors.from_messages(heartbeat.seniors))
        ):
            self._announce_role()
        if not in_own_centre:
            self.bootstrap.apply_seniors(heartbeat)
        self._apply_figures(heartbeat, seen_again=not was_alive and before == heartbeat.incarnation)
        if version_reports.apply_shares(self.state, heartbeat.versions):
            self.send_heartbeat_soon()
        if self._is_newer(heartbeat):
            self.snapshots.fetch_from(heartbeat.address)
        if heartbeat.sequence and self._is_looking(in_own_centre):
            self._answer(peer)

    def _charge_lost_node(self, data_centre: str) -> None:
        """Charge what a replaced process may have admitted; coordinators report nodes elsewhere."""
        role, in_own_centre = self.view.role, data_centre == self.state.data_centre
        if role is tiers.Role.FLAT or (role is tiers.Role.COORDINATOR and in_own_centre):
            self.state.quota.deduct_lost_share(1.0 / self.view.size())

    def _handle_new_peer(self, peer: peer_node.Peer) -> None:
        """Log a node reached for the first time, or again, and send it full state."""
        self.state.log.write(
            "peer", peer=peer.name, incarnation=peer.incarnation, address=peer.address
        )
        self._update_fraction()
        self.composer.schedule_full()
        self.coordination.full_due = True
        self.bootstrap.send_known_peers(peer)
        self.suspects.send_quarantined(peer.address)

    def _is_looking(self, in_own_centre: bool) -> bool:
        """Return whether the sender is looking for its coordinators.

        In a large fleet all others send theirs to coordinators of their own data centre.
        """
        if in_own_centre:
            return self.view.role is tiers.Role.MEMBER
        return self.view.estimated_size() > tiers.FLAT_FLEET

    def _answer(self, peer: peer_node.Peer) -> None:
        """Send the seniors of its data centre to a node that looks for them."""
        now = self.state.clock.now()
        if (
            now - self.last_answer_ms.get(peer.name, -MIN_ANSWER_INTERVAL_MS)
            < MIN_ANSWER_INTERVAL_MS
        ):
            return
        self.last_answer_ms[peer.name] = now
        self._send(self.composer.discovery_answer(self.leaving, peer.data_centre), [peer.address])

    def _apply_figures(self, heartbeat: gossip.Heartbeat, seen_again: bool) -> None:
        """Apply a node's own figures, unless its coordinators report them.

        Args:
          seen_again: whether this process was unreachable before.
        """
        role = self.view.role
        in_own_centre = heartbeat.data_centre == self.state.data_centre
        if role is tiers.Role.MEMBER:
            if in_own_centre:
                self._apply_usage(heartbeat)
            return
        if (
            role is tiers.Role.COORDINATOR
            and not in_own_centre
            and heartbeat.data_centre in self.view.centres
        ):
            return
        state = self.state
        incarnation = f"{heartbeat.node}#{heartbeat.incarnation}"
        charged = state.quota.apply_node_report(
            incarnation,
            {
                one.workspace: quota_records.PeerSpending(
                    one.spent,
                    one.level,
                    one.settled,
                    one.spent if one.counted is None else one.counted,
                    one.overdrawn,
                )
                for one in heartbeat.spending
            },
            seen_again,
            1.0 / self.view.size(),
        )
        if in_own_centre:
            self.coordination.count_reported(heartbeat.node, heartbeat.sequence, charged)
        state.chooser.report_loads(
            heartbeat.node, load_reports.from_messages(heartbeat.loads, state.registry.by_name)
        )
        speed_reports.apply(state, heartbeat.node, heartbeat.speeds)
        version_reports.apply_answers(state, incarnation, heartbeat.answers)
        self._apply_usage(heartbeat)

    def _apply_usage(self, heartbeat: gossip.Heartbeat) -> None:
        """Apply usage; a member keeps it in case it becomes a coordinator."""
        if heartbeat.usage:
            counts = {one.window: one.counts for one in heartbeat.usage}
            self.state.usage.apply_node_report(f"{heartbeat.node}#{heartbeat.incarnation}", counts)

    def _is_newer(self, versions: gossip.Versions) -> bool:
        state = self.state
        return (
            versions.configuration > state.configuration_version()
            or gossip.revision_of(versions) > state.registry.revision
        )

    def close(self) -> None:
        """Stop listening."""
        if self.transport is not None:
            self.transport.close()
        if self.server is not None:
            self.server.close()
        self.tunnels.close()
