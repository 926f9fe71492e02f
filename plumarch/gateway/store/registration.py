"""Node records in the platform's store, by which new nodes find the fleet when its seeds are gone.

Calls are billed: each node reads once, and writes are rare.
"""

import asyncio
import dataclasses

from plumarch.core import errors, records
from plumarch.gateway import fleet_state, ports
from plumarch.gateway.gossip import gossiper
from plumarch.gateway.store import follower
from plumarch.membership import fleet_view, node_record, tiers

CHECK_MS = 1_000.0
"""Interval of the checks for due writes."""

SETTLE_MS = 1_500
"""Delay of the first write, in which a new process learns of the fleet."""

ISOLATED_READ_INTERVAL_MS = 3_000
"""Interval at which a node without live peers reads again."""

MAX_LOGGED_CHARS = 300
"""Maximum characters of a logged value."""

MIN_LIVE_NODES = 2
"""A data centre's record is rewritten when fewer of its nodes are alive."""


@dataclasses.dataclass(frozen=True, slots=True)
class WantedRecord:
    """A record to maintain, and its nodes."""

    name: str
    nodes: list[node_record.NodeRecord]


class Registration:
    """Reads the store's node records and maintains this node's.

    Attributes:
      read_ms: time of the last read; None to read now.
      known: records by name, when last read or written.
      write_uncertain: whether a write since then conflicted or got no answer, or the store came
        back from an older copy.
      rollbacks: of the store, at the last step.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        view: fleet_view.FleetView,
        gossip: gossiper.Gossiper,
        store: ports.Store,
    ) -> None:
        self.state = state
        self.view = view
        self.gossip = gossip
        self.store = store
        self.dependency = follower.Dependency(state, "store-nodes")
        self.started_ms = state.clock.now()
        self.read_ms: int | None = None
        self.known: dict[str, records.Record] = {}
        self.write_uncertain = False
        self.rollbacks = state.rollbacks

    async def run(self) -> None:
        """Read and write records, forever."""
        while True:
            pause_ms = CHECK_MS
            try:
                await self.step()
            except errors.PlatformError as error:
                pause_ms = self.dependency.failed(error)
            await asyncio.sleep(pause_ms / 1000.0)

    async def step(self) -> None:
        """Read or write what is due.

        Raises:
          PlatformError: the call failed; to be retried.
        """
        now = self.state.clock.now()
        if self.rollbacks != self.state.rollbacks:
            self.rollbacks = self.state.rollbacks
            self.read_ms = None
            self.write_uncertain = True
        alone = not self.view.live()
        if self.read_ms is None or (alone and now - self.read_ms >= ISOLATED_READ_INTERVAL_MS):
            await self._reload()
        if now - self.started_ms < SETTLE_MS:
            return
        wanted = self._wanted()
        if wanted is not None and not self._is_written(wanted):
            await self._write(wanted)

    async def _reload(self) -> None:
        # A stale list is cheaper, but doesn't show the outcome of the last write.
        found = await self.store.list_records(node_record.KIND, stale=not self.write_uncertain)
        self.write_uncertain = False
        self.dependency.answered()
        self.read_ms = self.state.clock.now()
        self.state.unreadable.listed(node_record.KIND, found.unreadable)
        self.known = {record.name: record for record in found.found}
        for record in found.found:
            nodes = node_record.decode(record)
            if nodes is None:
                self.state.log.write(
                    "bad_node_record", name=record.name, value=record.value[:MAX_LOGGED_CHARS]
                )
            for node in nodes or ():
                self.view.learn(node.address, node.address, node.data_centre)
        self.gossip.send_heartbeat_soon()

    def _wanted(self) -> WantedRecord | None:
        """Return the record to maintain, if any."""
        view = self.view
        if view.role is tiers.Role.FLAT and view.estimated_size() <= tiers.FLAT_FLEET:
            mine = node_record.NodeRecord(view.address, view.data_centre)
            return WantedRecord(view.node, [mine])
        seniors = view.seniors()[: tiers.SENIORS]
        if view.role is not tiers.Role.COORDINATOR or seniors[0].seniority != view.seniority():
            return None
        return WantedRecord(
            node_record.CENTRE_PREFIX + view.data_centre,
            [node_record.NodeRecord(one.address, view.data_centre) for one in seniors],
        )

    def _is_written(self, wanted: WantedRecord) -> bool:
        """Return whether the record lists enough live nodes."""
        record = self.known.get(wanted.name)
        written = node_record.decode(record) if record is not None else None
        if not written:
            return False
        live = {one.address for one in self.view.neighbours() if self.view.is_alive(one)}
        live.add(self.view.address)
        found = [one for one in written if one.address in live]
        return len(found) >= min(MIN_LIVE_NODES, len(wanted.nodes))

    async def _write(self, wanted: WantedRecord) -> None:
        name = wanted.name
        before = self.known.get(name)
        revision = before.revision if before is not None else 0
        record = records.Record(name, node_record.encode(wanted.nodes), revision)
        try:
            self.known[name] = await self.store.write_record(node_record.KIND, record)
        except (errors.PlatformConflict, errors.PlatformAnswerLost):
            self.read_ms = None
            self.write_uncertain = True
            raise
        self.dependency.answered()
        self.state.log.write("registered", name=name, nodes=[one.address for one in wanted.nodes])
