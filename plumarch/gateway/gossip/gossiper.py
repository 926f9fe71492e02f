"""What nodes tell one another: heartbeats, notices, sums of data centres, news of the fleet."""

import asyncio
from collections.abc import Iterable, Mapping
from typing import Any, cast

import msgspec

from plumarch.core import addresses
from plumarch.gateway import fleet_state
from plumarch.gateway.gossip import (
    bootstrap,
    coordination,
    heartbeats,
    load_reports,
    member_updates,
    permit_exchange,
    rounds,
    seniors,
    snapshots,
    speed_reports,
    spending_ledger,
    stale_figures,
    suspect_updates,
    unreadable_messages,
    version_reports,
)
from plumarch.limits import centre_spending, quota_records
from plumarch.membership import fleet_view, peer_node, tiers
from plumarch.peers import gossip

BEAT_MS = 250
BEATS_PER_SECOND = 150
"""Heartbeats that a node sends, or a coordinator takes in, in a second at most; where more nodes
tell each other they become rarer."""

ANSWER_AGAIN_MS = BEAT_MS
"""How often a node that looks for the coordinators of its data centre is answered at most."""

CONTACTED = 4
"""Nodes known by name only that a coordinator greets in a round of heartbeats."""

NOTICE_TOKENS = 1_500.0
"""A prompt with this many unread tokens, or charged so much, is told at once: between two
heartbeats of a large fleet several nodes would choose the same engine for theirs, and admit
from the same rest of an allotment."""


class Gossiper(asyncio.DatagramProtocol):
    """The peer side of one node."""

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
            self._news_addresses,
            lambda: view.role is tiers.Role.COORDINATOR,
        )
        self.permits = permit_exchange.PermitExchange(
            state, view, self._send, self._news_addresses, lambda: self.leaving
        )
        self.snapshots = snapshots.SnapshotExchange(state)
        self.soon = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.told: set[str] = set()
        self.answered_ms: dict[str, int] = {}
        self.beat_for_role_ms = 0
        state.announce_prompt = self.announce_prompt
        state.publish_suspect = self.suspects.learned
        state.request_permits = self.permits.ask

    async def start(self) -> None:
        """Listen, and learn the seeds."""
        host, port = addresses.split(self.view.address)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
        self.server = await asyncio.start_server(
            self.snapshots.serve, host, port, backlog=addresses.BACKLOG
        )
        self.learn_seeds(self.seeds)

    def learn_seeds(self, seeds: tuple[str, ...]) -> None:
        """Learn of nodes that may exist, in place of those that the settings named before.

        All nodes listen on the same port.

        Args:
          seeds: IP or IP:port of nodes; a port is ignored.
        """
        _, port = addresses.split(self.view.address)
        known = {f"{seed.rpartition(':')[0] or seed}:{port}" for seed in seeds}
        for address in sorted(known):
            self.view.learn(address, address)
        self.view.all_centres.keep_seeds(known, self.state.clock.now())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    # Sending.

    def interval_ms(self) -> float:
        """Return the time between heartbeats, longer where many nodes tell each other."""
        flat = self.view.role is tiers.Role.FLAT and self.view.size() <= tiers.FLAT_FLEET
        told = len(self.view.peers) if flat else self.view.tellers()
        return max(BEAT_MS, 1000.0 * told / BEATS_PER_SECOND)

    def beat_soon(self) -> None:
        """Send the next heartbeat at once, since there is news."""
        self.soon.set()

    def start_bootstrap(self) -> None:
        """Tell all with the next heartbeat, at once: others may have missed what was told."""
        self.composer.tell_all()
        self.beat_soon()

    async def beat_forever(self) -> None:
        """Send heartbeats."""
        while True:
            self.tick()
            try:
                async with asyncio.timeout(self.interval_ms() / 1000.0):
                    await self.soon.wait()
            except TimeoutError:
                pass
            self.soon.clear()

    async def coordinate_forever(self) -> None:
        """Tell sums and news as long as this node coordinates."""
        while True:
            self.rounds.step()
            await asyncio.sleep(rounds.ROUND_INTERVAL_MS / 1000.0)

    def tick(self) -> None:
        """Age what is known of peers, and send one heartbeat to each that it is for."""
        self._decide_role()
        self.view.interval_ms = self.interval_ms()
        self.state.quota.update_age_ms = self._update_age_ms()
        self.state.permits.nodes = self.view.size()
        is_flat = self.view.role is tiers.Role.FLAT
        self.state.quota.admitting_nodes = 1 if is_flat else self.view.size()
        for peer in self.view.tick():
            self._forget(peer)
        stale_figures.drop_old_loads(self.state, self.view)
        self._hear_fraction()
        self.state.budget.nodes = max(8, 2 * self.view.size())
        if self.transport is None:
            return
        told = set(self._beat_addresses())
        if self.view.role is not tiers.Role.FLAT and told - self.told:
            # What one counts of a node begins with the first figure that it hears.
            self.composer.tell_all()
        self.told = told
        beat = self.composer.next(self.leaving, self._counted())
        self.member.sent(beat)
        self._send(beat, told)
        if beat.usage and self.view.role is tiers.Role.COORDINATOR:
            successors = self.view.seniors()[tiers.COORDINATORS : tiers.SENIORS]
            self._send(heartbeats.usage_only(beat), [one.address for one in successors])
        self.bootstrap.step(self.leaving)
        self.suspects.step()

    def _counted(self) -> Mapping[str, float] | None:
        """Return the part of this node's spending that the coordinators of its data centre counted.

        None where there are none: each node hears each other one.
        """
        if self.view.role is tiers.Role.COORDINATOR:
            return self.coordination.own_counted
        if self.view.role is tiers.Role.FLAT and self.view.size() <= tiers.FLAT_FLEET:
            return None
        return self.member.ledger.counted

    def _update_age_ms(self) -> float:
        """Return the age of news of other nodes' spending, as a rule.

        Large charges reach the coordinators at once, small ones with the next heartbeat; then
        come a round between data centres and one to the members.
        """
        if self.view.role is tiers.Role.FLAT:
            return self.view.interval_ms
        return self.view.interval_ms / 2 + 2 * rounds.ROUND_INTERVAL_MS

    def _beat_addresses(self) -> Iterable[str]:
        if self.view.role is tiers.Role.FLAT:
            return self._flat_addresses()
        told = {senior.address for senior in self.view.coordinators()}
        if self.view.role is tiers.Role.MEMBER and not self.view.has_fresh_update():
            told |= {senior.address for senior in self.view.seniors()} - {self.view.address}
        if self.view.role is tiers.Role.COORDINATOR:
            unknown = [peer.address for peer in self.view.peers.values() if not peer.incarnation]
            told |= set(self.state.rng.sample(unknown, min(CONTACTED, len(unknown))))
        return told

    def _news_addresses(self) -> Iterable[str]:
        """Return whom this node tells what all nodes are to know at once."""
        if self.view.role is not tiers.Role.COORDINATOR:
            return self._beat_addresses()
        members = {peer.address for peer in self.view.neighbours()}
        return members | self.rounds.other_coordinators()

    def _flat_addresses(self) -> Iterable[str]:
        """Return all nodes of a small fleet; of a large one the own data centre and some others.

        There a node only looks for those that coordinate its data centre.
        """
        peers = self.view.peers.values()
        if self.view.size() <= tiers.FLAT_FLEET:
            return self.view.addresses()
        near = [one.address for one in peers if one.data_centre in ("", self.state.data_centre)]
        far = [one.address for one in peers if one.data_centre not in ("", self.state.data_centre)]
        return near + self.state.rng.sample(far, min(CONTACTED, len(far)))

    def _send(self, message: gossip.Datagram, to: Iterable[str]) -> None:
        if self.transport is None:
            return
        datagram = gossip.encoder.encode(message)
        for address in sorted(to):
            self.transport.sendto(datagram, addresses.split(address))

    def _forget(self, peer: peer_node.Peer) -> None:
        apart = self.view.role is not tiers.Role.FLAT
        if not apart or peer.data_centre == self.state.data_centre:
            self.state.log.write("peer_forgotten", peer=peer.name, address=peer.address)
        self.state.quota.forget(f"{peer.name}#{peer.incarnation}")
        self.coordination.forget(peer.name)
        self.bootstrap.remember(peer)
        self.answered_ms.pop(peer.name, None)

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
            self.coordination.count_on(self.member.ledger)
        elif before is tiers.Role.COORDINATOR:
            self.member.ledger = self.coordination.followed()
        stale_figures.forget_for_role(self.state, self.view, self.coordination)
        self.coordination.tell_all = True
        self._beat_for_role()

    def _beat_for_role(self) -> None:
        """Tell a new role at once, but not each one of a series."""
        now = self.state.clock.now()
        if now - self.beat_for_role_ms >= rounds.ROUND_INTERVAL_MS:
            self.beat_for_role_ms = now
            self.beat_soon()

    def _hear_fraction(self) -> None:
        self.state.quota.set_reachable_fraction(self.view.fresh_fraction())

    def announce_prompt(self, sent: fleet_state.SentPrompt) -> None:
        """Tell the peers at once of a prompt that was sent to an engine, if it is a long one."""
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
        self.member.noticed(notice)
        if self.view.role is tiers.Role.FLAT:
            self._send(notice, [peer.address for peer in self.view.live()])
        else:
            self._send(notice, [senior.address for senior in self.view.coordinators()])

    # Receiving.

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Take in what a peer tells."""
        try:
            told = gossip.datagram_decoder.decode(data)
        except msgspec.DecodeError as error:
            self.unreadable.note(str(addr[0]), data, error)
            readable = self.unreadable.rest_of(data)
            if readable is None:
                return
            told = readable
        match told:
            case gossip.Heartbeat():
                self.take_in(told)
            case gossip.LoadNotice():
                self.take_notice(told)
            case gossip.CentreSummary():
                self.handle_summary(told, f"{addr[0]}:{addr[1]}")
            case gossip.CentreDirectory():
                self.bootstrap.take_directory(told, self.leaving)
            case gossip.MemberUpdate():
                self._take_member_news(told, str(addr[0]))
            case gossip.SuspectUpdate():
                self.suspects.apply(told)
            case gossip.PermitRequest():
                self.permits.handle_request(told)
            case gossip.PermitAnswer():
                self.permits.handle_answer(told)
            case gossip.RateUpdate():
                self.permits.handle_news(told)

    def take_notice(self, notice: gossip.LoadNotice) -> None:
        """Take in a peer's load at one endpoint."""
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
            self.coordination.take_told(notice.node, notice.sequence, charged)

    def handle_summary(self, told: gossip.CentreSummary, sender: str) -> None:
        """Take in the sums of another data centre; a member hands them to its coordinators."""
        if told.data_centre == self.state.data_centre:
            return
        if self.view.role is tiers.Role.COORDINATOR:
            if told.data_centre not in self.view.centres:
                stale_figures.forget_nodes_of(self.state, self.view, told.data_centre)
            if not self.coordination.handle_summary(told):
                return
            self.bootstrap.compare(told, self.leaving)
            if sender == told.address:
                self.rounds.pass_on(told)
            if self._knows_more(told):
                self.snapshots.fetch_from(told.address)
        elif self.view.role is tiers.Role.MEMBER and sender == told.address:
            self._send(told, [senior.address for senior in self.view.coordinators()])

    def _take_member_news(self, told: gossip.MemberUpdate, sender: str) -> None:
        try:
            news = gossip.fleet_update_decoder.decode(told.update)
        except msgspec.DecodeError as error:
            self.unreadable.note(sender, bytes(told.update), error)
            return
        self.take_news(news, told.acknowledged)

    def take_news(self, news: gossip.FleetUpdate, taken_in: int) -> None:
        """Take in what a coordinator tells of the fleet.

        Args:
          acknowledged: sequence of the last heartbeat or notice of this node that it had then.
        """
        if news.data_centre != self.state.data_centre:
            return
        peer = self.view.heard(news.node, news.incarnation, news.address, news.data_centre)
        if peer is None:
            return
        version_reports.take_shares(self.state, news.versions)
        if self._knows_more(news):
            self.snapshots.fetch_from(news.address)
        if not self.member.take_in(news):
            return
        self._adopt_ledger(news)
        if self.view.role is not tiers.Role.MEMBER:
            self._decide_role()
        if self.view.role is tiers.Role.MEMBER:
            self.member.adopt_figures(news, taken_in)

    def _adopt_ledger(self, news: gossip.FleetUpdate) -> None:
        """Count on in the ledger of an older coordinator, once all of it was told."""
        is_older = tiers.Seniority(news.incarnation, news.node) < self.view.seniority()
        if self.view.role is tiers.Role.COORDINATOR and news.full and is_older:
            told = spending_ledger.FollowedLedger()
            told.take_in(news)
            self.coordination.adopt_ledger(told)

    def take_in(self, beat: gossip.Heartbeat) -> None:
        """Take in a node's heartbeat."""
        known = self.view.peers.get(beat.node)
        was_heard = known is not None and self.view.is_alive(known)
        was_fresh = known is not None and self.view.is_fresh(known)
        before = known.incarnation if known else 0
        peer = self.view.heard(beat.node, beat.incarnation, beat.address, beat.data_centre)
        if peer is None:
            return
        if before not in (0, beat.incarnation) and not was_fresh:
            self._lose_part(beat.data_centre)
        if not was_heard or before != beat.incarnation:
            self.coordination.forget(peer.name)
            self._meet(peer)
            if self.view.role is not tiers.Role.MEMBER:
                self._decide_role()
        peer.leaving = beat.leaving
        if beat.build or before != beat.incarnation:
            peer.build = beat.build
        peer.reaches_store = beat.reaches_store
        peer.token = beat.token
        peer.candidate = beat.candidate
        peer.nodes = beat.nodes
        self.duty.reported = max(self.duty.reported, beat.reported)
        for other in beat.peers:
            self.view.learn(other.name, other.address)
        near = beat.data_centre == self.state.data_centre
        if (
            near
            and beat.seniors
            and self.view.note_reported_seniors(seniors.from_messages(beat.seniors))
        ):
            self._beat_for_role()
        if not near:
            self.bootstrap.take_elders(beat)
        self._take_figures(beat, heard_again=not was_heard and before == beat.incarnation)
        if version_reports.take_shares(self.state, beat.versions):
            self.beat_soon()
        if self._knows_more(beat):
            self.snapshots.fetch_from(beat.address)
        if beat.sequence and self._seeks(near):
            self._answer(peer)

    def _lose_part(self, data_centre: str) -> None:
        """Count what a node may have admitted whose process ended unheard.

        Of other nodes than these coordinators tell what they had counted.
        """
        role, near = self.view.role, data_centre == self.state.data_centre
        if role is tiers.Role.FLAT or (role is tiers.Role.COORDINATOR and near):
            self.state.quota.deduct_lost_share(1.0 / self.view.size())

    def _meet(self, peer: peer_node.Peer) -> None:
        """Note a node that is heard for the first time, or again."""
        self.state.log.write(
            "peer", peer=peer.name, incarnation=peer.incarnation, address=peer.address
        )
        self._hear_fraction()
        self.composer.tell_all()
        self.coordination.tell_all = True
        self.bootstrap.meet(peer)
        self.suspects.meet(peer.address)

    def _seeks(self, near: bool) -> bool:
        """Return whether a node that sent a heartbeat here looks for its coordinators.

        In a large fleet all others send theirs to coordinators of their own data centre.

        Args:
          near: whether it is of the own data centre.
        """
        if near:
            return self.view.role is tiers.Role.MEMBER
        return self.view.known_size() > tiers.FLAT_FLEET

    def _answer(self, peer: peer_node.Peer) -> None:
        """Tell a node that looks for the coordinators of its data centre who they may be."""
        now = self.state.clock.now()
        if now - self.answered_ms.get(peer.name, -ANSWER_AGAIN_MS) < ANSWER_AGAIN_MS:
            return
        self.answered_ms[peer.name] = now
        self._send(self.composer.greeting(self.leaving, peer.data_centre), [peer.address])

    def _take_figures(self, beat: gossip.Heartbeat, heard_again: bool) -> None:
        """Take in a node's own figures, unless coordinators tell them.

        Args:
          heard_again: whether it was silent before, and is the same process.
        """
        role = self.view.role
        near = beat.data_centre == self.state.data_centre
        if role is tiers.Role.MEMBER:
            if near:
                self._take_usage(beat)
            return
        if role is tiers.Role.COORDINATOR and not near and beat.data_centre in self.view.centres:
            return
        state = self.state
        incarnation = f"{beat.node}#{beat.incarnation}"
        charged = state.quota.apply_node_report(
            incarnation,
            {
                told.workspace: quota_records.PeerSpending(
                    told.spent,
                    told.level,
                    told.settled,
                    told.spent if told.counted is None else told.counted,
                    told.overdrawn,
                )
                for told in beat.spending
            },
            heard_again,
            1.0 / self.view.size(),
        )
        if near:
            self.coordination.take_told(beat.node, beat.sequence, charged)
        state.chooser.report_loads(
            beat.node, load_reports.from_messages(beat.loads, state.registry.by_name)
        )
        speed_reports.apply(state, beat.node, beat.speeds)
        version_reports.take_answers(state, incarnation, beat.answers)
        self._take_usage(beat)

    def _take_usage(self, beat: gossip.Heartbeat) -> None:
        """Take in a node's usage; a member keeps it for when it coordinates itself."""
        if beat.usage:
            counts = {told.window: told.counts for told in beat.usage}
            self.state.usage.apply_node_report(f"{beat.node}#{beat.incarnation}", counts)

    def _knows_more(self, told: gossip.Versions) -> bool:
        state = self.state
        return (
            told.configuration > state.configuration_version()
            or told.registry_revision > state.registry.revision
        )

    def close(self) -> None:
        """Stop listening."""
        if self.transport is not None:
            self.transport.close()
        if self.server is not None:
            self.server.close()
