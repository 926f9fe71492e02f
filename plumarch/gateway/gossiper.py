"""Heartbeats and notices sent to peers, and what is taken in of theirs."""

import asyncio
from typing import Any, cast

import msgspec

from plumarch.core import addresses
from plumarch.gateway import fleet_state, heartbeats, snapshots
from plumarch.limits import workspace_quota
from plumarch.membership import fleet_view
from plumarch.peers import gossip
from plumarch.routing import endpoint_choice

BEAT_MS = 250
BEATS_PER_SECOND = 150
"""Heartbeats that a node sends in a second at most; in large fleets they become rarer."""

LOADS_KEPT_MS = 2_500
NOTICE_TOKENS = 1_500.0
"""A prompt with this many unread tokens is told at once: between two heartbeats of a large fleet
several nodes would choose the same engine for theirs."""

NOTICE_FLEET = 128
"""In larger fleets, notices go to the nodes of the own data centre only."""


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
        self.transport: asyncio.DatagramTransport | None = None
        self.composer = heartbeats.HeartbeatComposer(state, view, duty)
        self.snapshots = snapshots.SnapshotExchange(state)
        self.soon = asyncio.Event()
        self.server: asyncio.Server | None = None
        state.tell_load = self.tell_load

    async def start(self) -> None:
        """Listen, and learn the seeds."""
        host, port = addresses.split(self.view.address)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
        self.server = await asyncio.start_server(self.snapshots.serve, host, port)
        self.learn_seeds(self.seeds)

    def learn_seeds(self, seeds: tuple[str, ...]) -> None:
        """Learn of nodes that may exist; all nodes listen on the same port.

        Args:
          seeds: IP or IP:port of nodes; a port is ignored.
        """
        _, port = addresses.split(self.view.address)
        for seed in seeds:
            host = seed.rpartition(":")[0] or seed
            address = f"{host}:{port}"
            self.view.learn(address, address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def interval_ms(self) -> float:
        """Return the time between heartbeats, longer with many peers."""
        return max(BEAT_MS, 1000.0 * len(self.view.peers) / BEATS_PER_SECOND)

    def beat_soon(self) -> None:
        """Send the next heartbeat at once, since there is news."""
        self.soon.set()

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

    def tick(self) -> None:
        """Age what is known of peers, and send one heartbeat to each."""
        self.view.interval_ms = self.interval_ms()
        self.state.quota.news_age_ms = self.view.interval_ms
        for peer in self.view.tick():
            self.state.log.write("peer_forgotten", peer=peer.name, address=peer.address)
            self.state.quota.forget(f"{peer.name}#{peer.incarnation}")
        self._drop_old_loads()
        self._hear_fraction()
        self.state.budget.nodes = max(8, 2 * self.view.size())
        if self.transport is None:
            return
        datagram = gossip.encoder.encode(self.composer.next(self.leaving))
        for address in self.view.addresses():
            self.transport.sendto(datagram, addresses.split(address))

    def _hear_fraction(self) -> None:
        self.state.quota.hear_fraction(self.view.heard_fraction())

    def _drop_old_loads(self) -> None:
        now = self.state.clock.now()
        for name in list(self.state.chooser.told):
            peer = self.view.peers.get(name)
            if peer is None or peer.heard_ms is None or now - peer.heard_ms > LOADS_KEPT_MS:
                self.state.chooser.forget(name)

    def tell_load(self, endpoint: str, unread_tokens: float) -> None:
        """Tell the peers at once of a request that was sent to an engine, if it is a long one.

        Args:
          unread_tokens: tokens of its prompt that the engine is expected to have to read.
        """
        load = self.state.chooser.own.get(endpoint)
        if self.transport is None or load is None or unread_tokens < NOTICE_TOKENS:
            return
        told = gossip.EndpointLoad(endpoint, load.running, round(load.prompt_tokens))
        notice = gossip.LoadNotice(self.view.node, self.view.incarnation, told)
        datagram = gossip.encoder.encode(notice)
        for peer in self._told_of_loads():
            self.transport.sendto(datagram, addresses.split(peer.address))

    def _told_of_loads(self) -> list[fleet_view.Peer]:
        live = self.view.live()
        if len(live) <= NOTICE_FLEET:
            return live
        return [peer for peer in live if peer.data_centre == self.state.data_centre]

    # Receiving.

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Take in a heartbeat."""
        try:
            told = gossip.datagram_decoder.decode(data)
        except msgspec.DecodeError as error:
            self.state.log.write("bad_heartbeat", sender=str(addr[0]), error=str(error))
            return
        if isinstance(told, gossip.LoadNotice):
            self.take_notice(told)
        else:
            self.take_in(told)

    def take_notice(self, notice: gossip.LoadNotice) -> None:
        """Take in a peer's load at one endpoint."""
        peer = self.view.peers.get(notice.node)
        chooser = self.state.chooser
        if peer is None or peer.incarnation != notice.incarnation or peer.name not in chooser.told:
            return
        told = notice.load
        load = endpoint_choice.Load(told.running, float(told.prompt_tokens))
        chooser.tell_one(peer.name, told.endpoint, load)

    def take_in(self, beat: gossip.Heartbeat) -> None:
        """Take in what a peer tells."""
        known = self.view.peers.get(beat.node)
        was_heard = known is not None and self.view.is_heard(known)
        before = known.incarnation if known else 0
        peer = self.view.heard(beat.node, beat.incarnation, beat.address, beat.data_centre)
        if peer is None:
            return
        if not was_heard or before != beat.incarnation:
            self.state.log.write(
                "peer", peer=peer.name, incarnation=beat.incarnation, address=beat.address
            )
            self._hear_fraction()
            self.composer.tell_all()
        peer.leaving = beat.leaving
        peer.reaches_store = beat.reaches_store
        peer.token = beat.token
        peer.candidate = beat.candidate
        self.duty.reported = max(self.duty.reported, beat.reported)
        for other in beat.peers:
            self.view.learn(other.name, other.address)
        self._take_figures(beat)
        if self._knows_more(beat):
            self.snapshots.fetch_from(beat.address)

    def _take_figures(self, beat: gossip.Heartbeat) -> None:
        state = self.state
        incarnation = f"{beat.node}#{beat.incarnation}"
        state.quota.heard_from(
            incarnation,
            {
                told.workspace: workspace_quota.PeerSpending(told.spent, told.level, told.settled)
                for told in beat.spending
            },
        )
        loads = {
            told.endpoint: endpoint_choice.Load(told.running, float(told.prompt_tokens))
            for told in beat.loads
        }
        state.chooser.tell(beat.node, loads)
        if beat.usage:
            state.usage.heard_from(incarnation, {told.window: told.counts for told in beat.usage})

    def _knows_more(self, beat: gossip.Heartbeat) -> bool:
        table = self.state.table
        version = table.version if table else -1
        return beat.configuration > version or (
            beat.registry_revision > self.state.registry.revision
        )

    def close(self) -> None:
        """Stop listening."""
        if self.transport is not None:
            self.transport.close()
        if self.server is not None:
            self.server.close()
