"""Keeps configuration and endpoints in sync with the platform's store."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from plumarch.config import routing_table
from plumarch.core import backoff, errors
from plumarch.gateway import fleet_state, ports

WATCH_MS = 2_500
"""Duration of a single follower's watch, which can only be found stale at its end."""

SHARED_WATCH_MS = 5_000
"""The same with several followers: longer, as peers also report changes that a watch missed."""

LOOK_MS = 500.0
MAX_STALE_CHECKS = 3
"""A watch is stale if three checks in a row find a change that only peers reported."""

NEWS_PAUSE_MS = 200.0
"""Pause before the next watch, which batches changes in quick succession."""

SHARED_WATCH_PAUSE_MS = (200.0, 800.0)
"""Range of the pause with several followers; random, so that one watches again early."""

FIRST_LIST_PAUSE_MS = 800.0
"""Pause after the first list, in which a node learns of the other followers."""

NOT_WATCHING_MS = 1_000.0
"""Interval at which a node checks whether it has to watch."""

BACKOFF = backoff.Backoff(first_ms=150.0, max_ms=600.0)
"""For a node that can't serve without the store, or is the only one to notice its recovery."""

SHARED_BACKOFF = backoff.Backoff(first_ms=500.0, max_ms=4_000.0)
"""For a node that gets changes from peers; failed calls are billed too."""

STORE = "store"
ENDPOINTS = "endpoint"
"""Name of endpoint entries in logs and metrics."""

News = TypeVar("News")


@dataclasses.dataclass(slots=True)
class Dependency:
    """Logs a dependency's loss and recovery."""

    state: fleet_state.FleetState
    name: str
    failures: int = 0
    failed_since_ms: int = 0

    def answered(self) -> None:
        """Record an answer."""
        if self.failures:
            lost_ms = self.state.clock.now() - self.failed_since_ms
            self.state.log.write(
                "regained",
                urgent=True,
                dependency=self.name,
                after_ms=lost_ms,
                failures=self.failures,
            )
        self.failures = 0

    def failed(self, error: Exception, pauses: backoff.Backoff | None = None) -> float:
        """Record a failure.

        Args:
          pauses: backoff to use instead of BACKOFF.
        Returns:
          The pause before the next call, in milliseconds.
        """
        self.state.measures.dependency.add(self.name)
        if not self.failures:
            self.failed_since_ms = self.state.clock.now()
            self.state.log.write("lost", urgent=True, dependency=self.name, error=str(error))
        self.failures += 1
        return (pauses or BACKOFF).pause_ms(self.failures, self.state.rng)


class Follower:
    """Keeps the state up to date from the store.

    A node that doesn't watch the store gets changes from its peers.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        store: ports.Store,
        on_change: Callable[[], None],
        watches: Callable[[], bool] = lambda: True,
        shared: Callable[[], bool] = lambda: False,
    ) -> None:
        """Create a follower.

        Args:
          watches: returns whether this node has to watch the store.
          shared: returns whether some nodes watch it for the whole fleet.
        """
        self.state = state
        self.store = store
        self.on_change = on_change
        self.watches = watches
        self.shared = shared

    async def follow_configuration(self) -> None:
        """Keep the configuration in sync, forever."""
        dependency = Dependency(self.state, "store-configuration")
        await self._follow(dependency, self._configuration, lambda: self.state.table is not None)

    async def follow_endpoints(self) -> None:
        """Keep the endpoints in sync, forever."""
        dependency = Dependency(self.state, "store-endpoints")
        await self._follow(dependency, self._endpoints, lambda: self.state.registry.revision >= 0)

    async def _follow(
        self,
        dependency: Dependency,
        step: Callable[[int | None], Awaitable[int]],
        has_any: Callable[[], bool],
    ) -> None:
        """Call the store in a loop.

        Args:
          step: lists, or watches from a revision; returns the revision reached.
          has_any: returns whether the node has data, from the store or a peer.
        """
        revision: int | None = None
        listed = False
        while True:
            # A node that the store rejects may have data from its peers.
            if (listed or (dependency.failures and has_any())) and not self.watches():
                revision = None
                await asyncio.sleep(NOT_WATCHING_MS / 1000.0)
                continue
            try:
                revision = await step(revision)
                self.state.reaches_store = True
                dependency.answered()
                pause_ms = self._watch_pause_ms() if listed else FIRST_LIST_PAUSE_MS
                await asyncio.sleep(pause_ms / 1000.0)
                listed = True
            except errors.PlatformRevisionExpired:
                self.state.log.write("history_gone", dependency=dependency.name, since=revision)
                revision = None
            except errors.PlatformError as error:
                # List next: a watch could notice the store's recovery only at its end.
                revision = None
                self.state.reaches_store = False
                pauses = SHARED_BACKOFF if has_any() and self.shared() else BACKOFF
                await asyncio.sleep(dependency.failed(error, pauses) / 1000.0)

    def _watch_pause_ms(self) -> float:
        if self.shared():
            return self.state.rng.uniform(*SHARED_WATCH_PAUSE_MS)
        return NEWS_PAUSE_MS

    def _watch_ms(self) -> int:
        return SHARED_WATCH_MS if self.shared() else WATCH_MS

    async def _configuration(self, revision: int | None) -> int:
        if revision is None:
            update = await self.store.list_configuration()
        else:
            version = self.state.configuration_version()
            update = await _unless_stale(
                self.store.watch_configuration(revision, self._watch_ms()),
                lambda: self.state.configuration_version() > version,
            )
        self.state.note_store_era(update.revision, STORE)
        if update.configuration is not None:
            table = routing_table.build(update.configuration)
            if self.state.adopt_table(table, STORE):
                self.on_change()
        return update.revision

    async def _endpoints(self, revision: int | None) -> int:
        known = self.state.registry
        if revision is None:
            found = await self.store.list_endpoints()
            names = frozenset(one.name for one in found.unreadable)
            self.state.note_store_era(found.revision, STORE)
            self.state.note_stale_endpoints(found.revision, STORE)
            changes = known.replace(found.endpoints, found.revision, STORE, names)
            self.state.unreadable.listed(ENDPOINTS, found.unreadable)
            reached = found.revision
        else:
            update = await _unless_stale(
                self.store.watch_endpoints(revision, self._watch_ms()),
                lambda: known.changed_revision > revision,
            )
            self.state.note_stale_endpoints(update.revision, STORE)
            changes = known.apply(update.changes, update.revision, STORE)
            read_or_removed = [one.id for one in update.changes if not one.is_unreadable]
            self.state.unreadable.changed(ENDPOINTS, read_or_removed, update.unreadable)
            reached = update.revision
        self.state.registry_changed(changes, STORE)
        if changes:
            self.on_change()
        return reached


async def _unless_stale(
    watch: Coroutine[Any, Any, News], changed_by_peers: Callable[[], bool]
) -> News:
    """Return the result of a watch.

    Args:
      changed_by_peers: returns whether peers reported a change that the watch should report.
    Raises:
      PlatformAnswerLost: the watch is stale.
    """
    answer = asyncio.ensure_future(watch)
    stale_checks = 0
    try:
        while True:
            await asyncio.wait({answer}, timeout=LOOK_MS / 1000.0)
            if answer.done():
                return answer.result()
            stale_checks = stale_checks + 1 if changed_by_peers() else 0
            if stale_checks >= MAX_STALE_CHECKS:
                raise errors.PlatformAnswerLost("A watch missed a change that peers reported.")
    finally:
        answer.cancel()
