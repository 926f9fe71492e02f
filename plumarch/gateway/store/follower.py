"""Configuration and endpoints followed on the platform's store: list, then watch."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from plumarch.config import routing_table
from plumarch.core import backoff, errors
from plumarch.gateway import fleet_state, ports

WATCH_MS = 2_500
"""How long the store holds a watch of a node that hears of changes from nobody else: a watch that
has fallen silent is given up a second later, and a list at once tells what was missed."""

SHARED_WATCH_MS = 5_000
"""The same for a node that hears of changes from others too, and so notices a silent watch by
them. An idle fleet of f followers makes 2 f calls in each watch and pause: half as many as at
2,500. Longer ones would save less each time, and if the store fell silent to all followers at
once, nobody would notice for as long."""

LOOK_MS = 500.0
MAX_STALE_CHECKS = 3
"""A watch has fallen silent if it doesn't tell in three looks, 1.0 to 1.5 s, what peers told."""

NEWS_PAUSE_MS = 200.0
"""Time between an answer and the next watch, so that changes in quick succession are one call."""

SHARED_WATCH_PAUSE_MS = (200.0, 800.0)
"""The same where others follow the store too. All are answered at the same change; pauses of 500 ms
on average take 30% fewer calls than 200 ms where changes come each 0.5 s: one in 1.0 s for one in
0.7 s. Drawn anew each time they don't fall together: of n followers the first one watches again
after 200 + 600 / (n + 1) ms, 300 ms for five, and tells the others."""

FIRST_LIST_PAUSE_MS = 800.0
"""After the first list, a node hears first which others there are that follow the store."""

NOT_WATCHING_MS = 1_000.0
"""How often a node that leaves watching to others asks whether it still may."""

BACKOFF = backoff.Backoff(first_ms=150.0, longest_ms=600.0)
"""For what a node needs by itself: it can't serve before, or nobody else would notice in time that
the store is back."""

SHARED_BACKOFF = backoff.Backoff(first_ms=500.0, longest_ms=4_000.0)
"""For a node that has something to serve by and hears from others what is newer. Refused calls are
priced too, and while the store answers nobody, all nodes follow it: of n nodes that pause for 2 to
4 s the first one asks 2 / n s after the store is back, and those that it answers tell the rest."""

STORE = "store"
ENDPOINTS = "endpoint"
"""What operators know entries of endpoints as."""

News = TypeVar("News")


@dataclasses.dataclass(slots=True)
class Dependency:
    """Whether a dependency answers; its loss and its return are logged."""

    state: fleet_state.FleetState
    name: str
    failures: int = 0
    failed_since_ms: int = 0

    def answered(self) -> None:
        """Note an answer."""
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
        """Note a failure.

        Args:
          pauses: how long to wait after it; by default as for what a node needs by itself.
        Returns:
          How long to pause, in milliseconds.
        """
        self.state.measures.dependency.add(self.name)
        if not self.failures:
            self.failed_since_ms = self.state.clock.now()
            self.state.log.write("lost", urgent=True, dependency=self.name, error=str(error))
        self.failures += 1
        return (pauses or BACKOFF).pause_ms(self.failures, self.state.rng)


class Follower:
    """Keeps the state's configuration and registry up to date from the store.

    A node that leaves watching to others of its fleet gets what is newer from them.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        store: ports.Store,
        on_change: Callable[[], None],
        watches: Callable[[], bool] = lambda: True,
        shared: Callable[[], bool] = lambda: False,
    ) -> None:
        """Keep what following needs.

        Args:
          on_change: told when something changed.
          watches: whether this node is to follow the store now.
          shared: whether some nodes follow the store for all of the fleet now.
        """
        self.state = state
        self.store = store
        self.on_change = on_change
        self.watches = watches
        self.shared = shared

    async def follow_configuration(self) -> None:
        """Follow the configuration, forever."""
        dependency = Dependency(self.state, "store-configuration")
        await self._follow(dependency, self._configuration, lambda: self.state.table is not None)

    async def follow_endpoints(self) -> None:
        """Follow the endpoints, forever."""
        dependency = Dependency(self.state, "store-endpoints")
        await self._follow(dependency, self._endpoints, lambda: self.state.registry.revision >= 0)

    async def _follow(
        self,
        dependency: Dependency,
        step: Callable[[int | None], Awaitable[int]],
        has_any: Callable[[], bool],
    ) -> None:
        """Call the store again and again.

        Args:
          step: lists, or watches from a revision; returns the revision reached.
          has_any: whether the node knows enough to serve by, from the store or from a peer.
        """
        revision: int | None = None
        listed = False
        while True:
            # One that the store turns away from its start has what its peers gave it.
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
                # A list has a short time limit: a watch that begins just before the store
                # answers again would hide that for its whole length.
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
            news = await self.store.list_configuration()
        else:
            version = self.state.configuration_version()
            news = await _unless_stale(
                self.store.watch_configuration(revision, self._watch_ms()),
                lambda: self.state.configuration_version() > version,
            )
        if news.configuration is not None:
            table = routing_table.build(news.configuration)
            if self.state.adopt_table(table, STORE):
                self.on_change()
        return news.revision

    async def _endpoints(self, revision: int | None) -> int:
        known = self.state.registry
        if revision is None:
            found = await self.store.list_endpoints()
            names = frozenset(one.name for one in found.unreadable)
            changes = known.replace(found.endpoints, found.revision, STORE, names)
            self.state.unreadable.listed(ENDPOINTS, found.unreadable)
            reached = found.revision
        else:
            news = await _unless_stale(
                self.store.watch_endpoints(revision, self._watch_ms()),
                lambda: known.changed_revision > revision,
            )
            changes = known.apply(news.changes, news.revision, STORE)
            read_or_gone = [one.id for one in news.changes if not one.is_unreadable]
            self.state.unreadable.changed(ENDPOINTS, read_or_gone, news.unreadable)
            reached = news.revision
        self.state.registry_changed(changes, STORE)
        if changes:
            self.on_change()
        return reached


async def _unless_stale(
    watch: Coroutine[Any, Any, News], changed_by_peers: Callable[[], bool]
) -> News:
    """Return what a watch answers.

    Args:
      changed_by_peers: whether peers told meanwhile of what the watch should have told.
    Raises:
      PlatformAnswerLost: the watch has fallen silent, by what peers told.
    """
    answer = asyncio.ensure_future(watch)
    looks = 0
    try:
        while True:
            await asyncio.wait({answer}, timeout=LOOK_MS / 1000.0)
            if answer.done():
                return answer.result()
            looks = looks + 1 if changed_by_peers() else 0
            if looks >= MAX_STALE_CHECKS:
                raise errors.PlatformAnswerLost("A watch is silent on what peers told.")
    finally:
        answer.cancel()
