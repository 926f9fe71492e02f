"""Simulated fleets on virtual time that follow a store.

The store, the network and the transfer of snapshots are simulated; the rest is product code.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Callable
from typing import Any, cast

from plumarch.config import routing_table
from plumarch.core import errors, records, revisions, traffic
from plumarch.gateway import ports
from plumarch.gateway.gossip import snapshots
from plumarch.gateway.store import (
    follower,
    origin_record,
    quarantine_record,
    registration,
    stream_segments,
)
from plumarch.membership import registry
from plumarch.standins import gossip_fleet

STEP_MS = 25
CALL_MS = 5
LIST_LIMIT_MS = 1_000
WATCH_MARGIN_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Backup:
    """A copy of the store's contents."""

    version: int
    configured_at: int
    revision: int
    endpoints: dict[str, tuple[int, traffic.Endpoint]]
    kept: dict[tuple[str, str], records.Record]


@dataclasses.dataclass(slots=True)
class CountedStore:
    """Store contents, injected faults and call counters.

    Attributes:
      era: number of times that the store came back from a backup.
      refused: nodes whose calls fail at once.
      unresponsive: nodes whose calls, watches included, time out.
      routes: of the configuration.
      kept: records, by kind and name.
      reads: read calls per second, failed ones included.
      writes: write calls per second, failed ones included.
    """

    era: int = 0
    version: int = 1
    configured_at: int = 1
    revision: int = 1
    endpoints: dict[str, tuple[int, traffic.Endpoint]] = dataclasses.field(default_factory=dict)
    routes: tuple[traffic.Route, ...] = ()
    kept: dict[tuple[str, str], records.Record] = dataclasses.field(default_factory=dict)
    removed: dict[tuple[str, str], int] = dataclasses.field(default_factory=dict)
    withdrawn: dict[str, int] = dataclasses.field(default_factory=dict)
    refused: set[str] = dataclasses.field(default_factory=set)
    unresponsive: set[str] = dataclasses.field(default_factory=set)
    down: bool = False
    reads: collections.Counter[int] = dataclasses.field(default_factory=collections.Counter)
    writes: collections.Counter[int] = dataclasses.field(default_factory=collections.Counter)
    by_call: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def configure(self) -> None:
        """Publish the next configuration version."""
        self.version += 1
        self.revision += 1
        self.configured_at = self.revision
        self.notify_watchers()

    def put(self, endpoint: traffic.Endpoint) -> None:
        """Add or replace an endpoint."""
        self.revision += 1
        self.endpoints[endpoint.id] = (self.revision, endpoint)
        self.notify_watchers()

    def withdraw(self, endpoint: str) -> None:
        """Remove an endpoint's entry."""
        del self.endpoints[endpoint]
        self.revision += 1
        self.withdrawn[endpoint] = self.revision
        self.notify_watchers()

    def remove(self, kind: str, name: str) -> None:
        """Remove a record."""
        del self.kept[(kind, name)]
        self.revision += 1
        self.removed[(kind, name)] = self.revision
        self.notify_watchers()

    def back_up(self) -> Backup:
        """Return a copy of the contents."""
        return Backup(
            self.version, self.configured_at, self.revision, dict(self.endpoints), dict(self.kept)
        )

    def restore(self, backup: Backup) -> None:
        """Return to a copy; later writes are lost, and their revisions are assigned again."""
        self.era += 1
        self.version, self.configured_at = backup.version, backup.configured_at
        self.revision = backup.revision
        self.endpoints, self.kept = dict(backup.endpoints), dict(backup.kept)
        self.removed.clear()
        self.notify_watchers()

    def notify_watchers(self) -> None:
        """Wake all watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    def calls(self) -> int:
        """Return the number of calls."""
        return self.reads.total() + self.writes.total()


class NodeStore:
    """Store client of one node, subject to the injected faults.

    Attributes:
      era: of the store, in the last answer.
    """

    def __init__(self, store: CountedStore, node: gossip_fleet.Node) -> None:
        self.store = store
        self.node = node
        self.era = 0

    async def _call(self, name: str, limit_ms: float, writes: bool = False) -> None:
        store, second = self.store, int(asyncio.get_running_loop().time())
        (store.writes if writes else store.reads)[second] += 1
        store.by_call[name] += 1
        await asyncio.sleep(CALL_MS / 1000.0)
        if self.node.name in store.unresponsive:
            await asyncio.sleep(limit_ms / 1000.0)
            raise errors.PlatformAnswerLost("silence")
        if store.down or self.node.name in store.refused:
            raise errors.PlatformUnavailable("store refused the call")
        while self.node.frozen:
            await asyncio.sleep(STEP_MS / 1000.0)
        self.era = store.era

    def _revision(self, number: int) -> int:
        return revisions.of(self.era, number)

    async def _wait(self, reached: Callable[[], int], revision: int, wait_ms: int) -> None:
        """Wait for a newer revision or the timeout, then apply injected faults.

        Raises:
          PlatformRevisionExpired: the store does not have the revision.
        """
        era = self.era
        if revisions.era(revision) != era or revisions.number(revision) > self.store.revision:
            raise errors.PlatformRevisionExpired("of another era")
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_ms / 1000.0
        number = revisions.number(revision)
        while reached() <= number and loop.time() < end_s and self.store.era == era:
            try:
                await asyncio.wait_for(self.store.changed.wait(), end_s - loop.time())
            except TimeoutError:
                break
        if self.node.name in self.store.unresponsive:
            await asyncio.sleep(end_s - loop.time() + WATCH_MARGIN_MS / 1000.0)
            raise errors.PlatformAnswerLost("silence")
        if self.store.down or self.node.name in self.store.refused or self.store.era != era:
            raise errors.PlatformUnavailable("cut")
        while self.node.frozen:
            await asyncio.sleep(STEP_MS / 1000.0)

    def _configuration(self, after: int) -> ports.ConfigurationUpdate:
        found = None
        if self.store.configured_at > after:
            limits = traffic.CallerLimits()
            version, routes = self.store.version, self.store.routes
            found = routing_table.Configuration(version, routes, (), (), limits)
        return ports.ConfigurationUpdate(found, self._revision(self.store.revision))

    async def list_configuration(self) -> ports.ConfigurationUpdate:
        """Read the configuration."""
        await self._call("list configuration", LIST_LIMIT_MS)
        return self._configuration(-1)

    async def watch_configuration(self, revision: int, wait_ms: int) -> ports.ConfigurationUpdate:
        """Watch for a newer configuration."""
        await self._call("watch configuration", wait_ms + WATCH_MARGIN_MS)
        await self._wait(lambda: self.store.configured_at, revision, wait_ms)
        return self._configuration(revisions.number(revision))

    async def list_endpoints(self) -> ports.EndpointList:
        """Read all endpoints."""
        await self._call("list endpoints", LIST_LIMIT_MS)
        found = tuple(endpoint for _, endpoint in self.store.endpoints.values())
        return ports.EndpointList(found, self._revision(self.store.revision))

    async def watch_endpoints(self, revision: int, wait_ms: int) -> ports.EndpointUpdate:
        """Watch for changes of endpoints."""
        await self._call("watch endpoints", wait_ms + WATCH_MARGIN_MS)
        entries = self.store.endpoints
        withdrawn = self.store.withdrawn
        newest = lambda: max([0, *(at for at, _ in entries.values()), *withdrawn.values()])  # noqa: E731
        await self._wait(newest, revision, wait_ms)
        number = revisions.number(revision)
        changes = [
            registry.EndpointChange(one.stable_name(), self._revision(at), one)
            for at, one in entries.values()
            if at > number
        ]
        changes += [
            registry.EndpointChange(name, self._revision(at), None)
            for name, at in withdrawn.items()
            if at > number and name not in entries
        ]
        return ports.EndpointUpdate(tuple(changes), self._revision(self.store.revision))

    async def list_records(self, kind: str, stale: bool = False) -> ports.RecordList:
        """Read all records of a kind."""
        await self._call("list records" + " (stale)" * stale, LIST_LIMIT_MS)
        return ports.RecordList(self._records(kind, 0), self._revision(self.store.revision))

    async def watch_records(self, kind: str, revision: int, wait_ms: int) -> ports.RecordUpdate:
        """Watch for changes of records of a kind."""
        await self._call("watch records", wait_ms + WATCH_MARGIN_MS)
        await self._wait(lambda: self._records_changed(kind), revision, wait_ms)
        removed = self.store.removed.items()
        number = revisions.number(revision)
        gone = [name for (of, name), at in removed if of == kind and at > number]
        return ports.RecordUpdate(
            self._records(kind, number), tuple(gone), self._revision(self.store.revision)
        )

    def _records_changed(self, kind: str) -> int:
        written = [one.revision for (of, _), one in self.store.kept.items() if of == kind]
        removed = [at for (of, _), at in self.store.removed.items() if of == kind]
        return max([0, *written, *removed])

    def _records(self, kind: str, after: int) -> tuple[records.Record, ...]:
        found = [one for (of, _), one in self.store.kept.items() if of == kind]
        return tuple(self._read(one) for one in found if one.revision > after)

    def _read(self, kept: records.Record) -> records.Record:
        return dataclasses.replace(kept, revision=self._revision(kept.revision))

    def _check_era(self, record: records.Record) -> None:
        if record.revision and revisions.era(record.revision) != self.era:
            raise errors.PlatformRolledBack("read in another era")

    async def read_record(self, kind: str, name: str) -> records.Record | None:
        """Read one record."""
        await self._call("read record", LIST_LIMIT_MS)
        found = self.store.kept.get((kind, name))
        return self._read(found) if found is not None else None

    async def write_record(self, kind: str, record: records.Record) -> records.Record:
        """Write a record if its revision is current."""
        self._check_era(record)
        await self._call("write record", LIST_LIMIT_MS, writes=True)
        known = self.store.kept.get((kind, record.name))
        if revisions.number(record.revision) != (known.revision if known else 0):
            raise errors.PlatformConflict("changed")
        self.store.revision += 1
        written = dataclasses.replace(record, revision=self.store.revision)
        self.store.kept[(kind, record.name)] = written
        self.store.notify_watchers()
        self._check_era(record)
        return self._read(written)


class StoreReplay:
    """A simulated fleet whose nodes follow a store.

    Attributes:
      tasks: tasks of live nodes, by node name.
      quarantines: quarantine records, by node name.
      segments: writers of streams, by node name.
      first_start: whether nodes start as the whole fleet's first ones.
    """

    def __init__(self, size: gossip_fleet.Size, store: CountedStore, seed: int = 1) -> None:
        self.size = size
        self.first_start = True
        self.store = store
        self.fleet = gossip_fleet.GossipFleet(size, seed, knows_all=False)
        self.tasks: dict[str, list[asyncio.Task[None]]] = {}
        self.quarantines: dict[str, quarantine_record.QuarantineRecord] = {}
        self.segments: dict[str, stream_segments.StreamSegments] = {}
        for node in self.fleet.live():
            self.begin(node)
        self.first_start = False

    def begin(self, node: gossip_fleet.Node) -> None:
        """Start the tasks of a node."""
        node.state.table = None
        node.state.rng.seed(node.name)
        reached = cast(Any, NodeStore(self.store, node))
        cast(Any, node.gossip.snapshots).fetch_from = lambda address: self._fetch(node, address)
        following = follower.Follower(
            node.state,
            reached,
            node.gossip.send_heartbeat_soon,
            lambda: node.view.watches_store(node.data_centre),
            node.view.shares_following,
        )
        entry = registration.Registration(node.state, node.view, node.gossip, reached)
        record = quarantine_record.QuarantineRecord(
            node.state, reached, node.view.is_most_senior_candidate
        )
        self.quarantines[node.name] = record
        segments = stream_segments.StreamSegments(node.state, reached)
        self.segments[node.name] = segments
        origins = origin_record.OriginRecord(
            node.state, reached, segments, node.view.is_most_senior_candidate, self.first_start
        )
        self.tasks[node.name] = [
            asyncio.ensure_future(record.follow_forever()),
            asyncio.ensure_future(record.write_forever()),
            asyncio.ensure_future(following.follow_configuration()),
            asyncio.ensure_future(following.follow_endpoints()),
            asyncio.ensure_future(entry.run()),
            asyncio.ensure_future(origins.run()),
            asyncio.ensure_future(segments.run()),
        ]

    def _fetch(self, node: gossip_fleet.Node, address: str) -> None:
        pause_s = 0.0 if node.state.table is None else snapshots.FETCH_PAUSE_MS / 1000.0
        asyncio.get_running_loop().call_later(pause_s, self._copy_snapshot, node, address)

    def _copy_snapshot(self, node: gossip_fleet.Node, address: str) -> None:
        other = self.fleet.by_address[address]
        if not other.alive or other.frozen or not node.alive or node.frozen:
            return
        if other.state.table is not None:
            node.state.adopt_table(other.state.table, other.name)
        known = other.state.registry
        node.state.note_store_era(known.revision, other.name)
        node.state.registry.replace(known.as_listed(), known.revision, other.name)

    async def run(self, for_ms: int) -> None:
        """Advance virtual time in steps."""
        for _ in range(for_ms // STEP_MS):
            await asyncio.sleep(STEP_MS / 1000.0)
            self.fleet.run(STEP_MS)

    def kill(self, node: gossip_fleet.Node) -> None:
        """Kill a node and cancel its tasks."""
        node.alive = False
        for task in self.tasks.pop(node.name):
            task.cancel()

    def restart_all(self) -> None:
        """Kill all nodes, then start a full fleet again."""
        for node in self.fleet.live():
            self.kill(node)
        for number, data_centre in self.size.node_locations():
            self.begin(self.fleet.start(number, data_centre, knows_all=False))

    def stop(self) -> None:
        """Kill all live nodes."""
        for node in self.fleet.live():
            self.kill(node)

    def followers(self) -> list[gossip_fleet.Node]:
        """Return the live nodes that watch the store for their data centre."""
        live = self.fleet.live()
        return [node for node in live if node.view.watches_store(node.data_centre)]

    def stale_nodes(self) -> list[str]:
        """Return names of live nodes whose configuration or endpoints differ from the store's."""
        newest = {name: endpoint for name, (_, endpoint) in self.store.endpoints.items()}
        return [
            node.name
            for node in self.fleet.live()
            if node.state.configuration_version() != self.store.version
            or node.state.registry.endpoints != newest
        ]
