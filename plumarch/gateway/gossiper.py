"""Heartbeats and notices to and from peers, and snapshots fetched from those that know more."""

import asyncio
import dataclasses
from typing import Any, cast

import msgspec

from plumarch.config import routing_table
from plumarch.core import addresses, errors
from plumarch.gateway import fleet_state
from plumarch.limits import workspace_quota
from plumarch.membership import fleet_view
from plumarch.peers import frames, gossip, recent_changes
from plumarch.routing import endpoint_choice

BEAT_MS = 250
BEATS_PER_SECOND = 150
"""Heartbeats that a node sends in a second at most; in large fleets they become rarer."""

PEERS_EVERY = 8
"""Every how many heartbeats the known peers are told."""

USAGE_EVERY = 2
"""Every how many heartbeats usage is told; never in the same ones as the peers."""

USAGE_WINDOWS = 3
USAGE_TOLD_MS = 3_000
"""How long a usage window is told in each of those after its end; later in whole ones only."""

WHOLE_EVERY = 16
"""Every how many heartbeats all figures are told, not just those that changed lately."""

WHOLE_AT_NEWCOMERS = 3
"""How many whole heartbeats are sent once a node is heard for the first time, or again."""
FETCH_PAUSE_MS = 120
"""How long the store may take to tell by itself what a peer knows already."""

FETCH_TIMEOUT_MS = 1_500
LOADS_TOLD = 12
"""Endpoints whose load a heartbeat tells, the heaviest first."""

LOADS_KEPT_MS = 2_500
NOTICE_TOKENS = 1_500.0
"""A prompt with this many unread tokens is told at once: between two heartbeats of a large fleet
several nodes would choose the same engine for theirs."""

NOTICE_FLEET = 128
"""In larger fleets, notices go to the nodes of the own data centre only."""


@dataclasses.dataclass(slots=True)
class DutyStatus:
    """What a node tells of the duties.

    Attributes:
      token: the fencing token under which it holds them, or 0.
      candidate: whether it could take them over now.
      reported: the newest usage window that was reported.
    """

    token: int = 0
    candidate: bool = True
    reported: int = 0


class Gossiper(asyncio.DatagramProtocol):
    """The peer side of one node."""

    def __init__(
        self,
        state: fleet_state.FleetState,
        view: fleet_view.FleetView,
        duty: DutyStatus,
        seeds: tuple[str, ...],
    ) -> None:
        self.state = state
        self.view = view
        self.duty = duty
        self.seeds = seeds
        self.leaving = False
        self.transport: asyncio.DatagramTransport | None = None
        self.beats = 0
        self.whole_beats = WHOLE_AT_NEWCOMERS
        self.spending_news = recent_changes.RecentChanges()
        self.fetching: asyncio.Task[None] | None = None
        self.soon = asyncio.Event()
        self.server: asyncio.Server | None = None
        state.tell_load = self.tell_load

    async def start(self) -> None:
        """Listen, and learn the seeds."""
        host, port = addresses.split(self.view.address)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
        self.server = await asyncio.start_server(self._serve_snapshot, host, port)
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
        datagram = gossip.encoder.encode(self.heartbeat())
        for address in self.view.addresses():
            self.transport.sendto(datagram, addresses.split(address))
        self.beats += 1
        self.whole_beats = max(0, self.whole_beats - 1)

    def _hear_fraction(self) -> None:
        self.state.quota.hear_fraction(self.view.heard_fraction())

    def _drop_old_loads(self) -> None:
        now = self.state.clock.now()
        for name in list(self.state.chooser.peers):
            peer = self.view.peers.get(name)
            if peer is None or peer.heard_ms is None or now - peer.heard_ms > LOADS_KEPT_MS:
                del self.state.chooser.peers[name]

    def heartbeat(self) -> gossip.Heartbeat:
        """Return the heartbeat to send now."""
        state = self.state
        whole = self.whole_beats > 0 or self.beats % WHOLE_EVERY == 0
        report = state.quota.report()
        changed = self.spending_news.select({name: told.spent for name, told in report.items()})
        spending = [
            gossip.Spending(name, round(told.spent), round(told.level), told.settled)
            for name, told in report.items()
            if whole or name in changed
        ]
        heaviest = sorted(
            state.chooser.own.items(), key=lambda one: (-one[1].prompt_tokens, one[0])
        )
        loads = [
            gossip.EndpointLoad(name, load.running, round(load.prompt_tokens))
            for name, load in heaviest[:LOADS_TOLD]
        ]
        tell_peers = self.beats % PEERS_EVERY == 0
        tell_usage = whole or self.beats % USAGE_EVERY == 1
        return gossip.Heartbeat(
            node=self.view.node,
            incarnation=self.view.incarnation,
            address=self.view.address,
            data_centre=state.data_centre,
            leaving=self.leaving,
            configuration=state.table.version if state.table else -1,
            registry_revision=state.registry.changed_revision,
            token=self.duty.token,
            candidate=self.duty.candidate,
            reported=self.duty.reported,
            spending=spending,
            loads=loads,
            usage=self._usage_told(whole) if tell_usage else [],
            peers=self._known_peers() if tell_peers else [],
            reaches_store=state.reaches_store,
        )

    def _usage_told(self, whole: bool) -> list[gossip.WindowUsage]:
        usage = self.state.usage
        now = self.state.wall.now()
        windows = USAGE_WINDOWS if whole else 1 + (now % usage.window_ms < USAGE_TOLD_MS)
        recent = usage.recent(now, windows)
        return [gossip.WindowUsage(number, counts) for number, counts in recent.items()]

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

    def _known_peers(self) -> list[gossip.KnownPeer]:
        heard = [peer for peer in self.view.live() if peer.incarnation]
        if len(heard) > 8:
            heard = self.state.rng.sample(heard, 8)
        return [gossip.KnownPeer(peer.name, peer.address) for peer in heard]

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
        loads = self.state.chooser.peers.get(notice.node)
        if peer is None or loads is None or peer.incarnation != notice.incarnation:
            return
        told = notice.load
        loads[told.endpoint] = endpoint_choice.Load(told.running, float(told.prompt_tokens))

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
            self.whole_beats = WHOLE_AT_NEWCOMERS
        peer.leaving = beat.leaving
        peer.reaches_store = beat.reaches_store
        peer.token = beat.token
        peer.candidate = beat.candidate
        self.duty.reported = max(self.duty.reported, beat.reported)
        for other in beat.peers:
            self.view.learn(other.name, other.address)
        self._take_figures(beat)
        if self._knows_more(beat):
            self._fetch_from(beat.address)

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
        state.chooser.peers[beat.node] = {
            told.endpoint: endpoint_choice.Load(told.running, float(told.prompt_tokens))
            for told in beat.loads
        }
        if beat.usage:
            state.usage.heard_from(incarnation, {told.window: told.counts for told in beat.usage})

    def _knows_more(self, beat: gossip.Heartbeat) -> bool:
        table = self.state.table
        version = table.version if table else -1
        return beat.configuration > version or (
            beat.registry_revision > self.state.registry.revision
        )

    # Snapshots.

    def _fetch_from(self, address: str) -> None:
        if self.fetching is not None and not self.fetching.done():
            return
        loop = asyncio.get_running_loop()
        self.fetching = loop.create_task(self._fetch(address))

    async def _fetch(self, address: str) -> None:
        if self.state.table is not None:
            await asyncio.sleep(FETCH_PAUSE_MS / 1000.0)
        held = gossip.SnapshotRequest(
            self.state.table.version if self.state.table else -1, self.state.registry.revision
        )
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_MS / 1000.0):
                snapshot = await _ask(address, held)
        except (OSError, TimeoutError, msgspec.DecodeError, errors.PeerProtocolError) as error:
            self.state.log.write("fetch_failed", peer=address, error=f"{error!r}")
            return
        self._adopt(snapshot)

    def _adopt(self, snapshot: gossip.Snapshot) -> None:
        if snapshot.configuration is not None:
            table = routing_table.build(snapshot.configuration)
            self.state.adopt_table(table, snapshot.node)
        if snapshot.endpoints is not None:
            registry = self.state.registry
            changes = registry.replace(
                snapshot.endpoints, snapshot.registry_revision, snapshot.node
            )
            self.state.registry_changed(changes, snapshot.node)

    async def _serve_snapshot(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_MS / 1000.0):
                asked = gossip.request_decoder.decode(await frames.read(reader, gossip.FRAME_LIMIT))
                writer.write(frames.pack(gossip.encoder.encode(self._snapshot(asked))))
                await writer.drain()
        except (OSError, TimeoutError, EOFError, msgspec.DecodeError, errors.PeerProtocolError):
            pass
        finally:
            writer.close()

    def _snapshot(self, asked: gossip.SnapshotRequest) -> gossip.Snapshot:
        table = self.state.table
        registry = self.state.registry
        newer = table is not None and table.version > asked.configuration
        fresher = registry.changed_revision > asked.registry_revision
        return gossip.Snapshot(
            self.view.node,
            table.configuration if table is not None and newer else None,
            tuple(registry.endpoints.values()) if fresher else None,
            registry.revision,
        )

    def close(self) -> None:
        """Stop listening."""
        if self.transport is not None:
            self.transport.close()
        if self.server is not None:
            self.server.close()


async def _ask(address: str, request: gossip.SnapshotRequest) -> gossip.Snapshot:
    reader, writer = await asyncio.open_connection(*addresses.split(address))
    try:
        writer.write(frames.pack(gossip.encoder.encode(request)))
        return gossip.snapshot_decoder.decode(await frames.read(reader, gossip.FRAME_LIMIT))
    except EOFError as error:
        raise errors.PeerProtocolError("The peer closed early. Ask again later.") from error
    finally:
        writer.close()
