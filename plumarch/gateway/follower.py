"""Configuration and endpoints followed on the platform's store: list, then watch."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

from plumarch.config import routing_table
from plumarch.core import errors
from plumarch.gateway import fleet_state, ports

WATCH_MS = 2_500
FIRST_PAUSE_MS = 150.0
LONGEST_PAUSE_MS = 600.0
NEWS_PAUSE_MS = 200.0
"""Time between an answer and the next watch, so that changes in quick succession are one call."""

FIRST_LIST_PAUSE_MS = 800.0
"""After the first list, a node hears first which others there are that follow the store."""

NOT_WATCHING_MS = 1_000.0
"""How often a node that leaves watching to others asks whether it still may."""

STORE = "store"


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

    def failed(self, error: Exception) -> float:
        """Note a failure.

        Returns:
          How long to pause, in milliseconds.
        """
        self.state.measures.dependency.add(self.name)
        if not self.failures:
            self.failed_since_ms = self.state.clock.now()
            self.state.log.write("lost", urgent=True, dependency=self.name, error=str(error))
        self.failures += 1
        doublings = min(self.failures - 1, 8)
        pause = min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * (1 << doublings))
        return pause * self.state.rng.uniform(0.7, 1.0)


class Follower:
    """Keeps the state's configuration and registry up to date from the store.

    A node that leaves watching to others of its fleet gets what is newer from them.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        store: ports.Store,
        on_news: Callable[[], None],
        watches: Callable[[], bool] = lambda: True,
    ) -> None:
        self.state = state
        self.store = store
        self.on_news = on_news
        self.watches = watches

    async def follow_configuration(self) -> None:
        """Follow the configuration, forever."""
        await self._follow(Dependency(self.state, "store-configuration"), self._configuration)

    async def follow_endpoints(self) -> None:
        """Follow the endpoints, forever."""
        await self._follow(Dependency(self.state, "store-endpoints"), self._endpoints)

    async def _follow(
        self, dependency: Dependency, step: Callable[[int | None], Awaitable[int]]
    ) -> None:
        revision: int | None = None
        listed = False
        while True:
            if listed and not self.watches():
                revision = None
                await asyncio.sleep(NOT_WATCHING_MS / 1000.0)
                continue
            try:
                revision = await step(revision)
                self.state.reaches_store = True
                dependency.answered()
                await asyncio.sleep((NEWS_PAUSE_MS if listed else FIRST_LIST_PAUSE_MS) / 1000.0)
                listed = True
            except errors.PlatformTooOld:
                self.state.log.write("history_gone", dependency=dependency.name, since=revision)
                revision = None
            except errors.PlatformError as error:
                # A list has a short time limit: a watch that begins just before the store
                # answers again would hide that for its whole length.
                revision = None
                self.state.reaches_store = False
                await asyncio.sleep(dependency.failed(error) / 1000.0)

    async def _configuration(self, revision: int | None) -> int:
        if revision is None:
            news = await self.store.list_configuration()
        else:
            news = await self.store.watch_configuration(revision, WATCH_MS)
        if news.configuration is not None:
            table = routing_table.build(news.configuration)
            if self.state.adopt_table(table, STORE):
                self.on_news()
        return news.revision

    async def _endpoints(self, revision: int | None) -> int:
        known = self.state.registry
        if revision is None:
            found = await self.store.list_endpoints()
            changes = known.replace(found.endpoints, found.revision, STORE)
            reached = found.revision
        else:
            news = await self.store.watch_endpoints(revision, WATCH_MS)
            changes = known.apply(news.changes, news.revision, STORE)
            reached = news.revision
        self.state.registry_changed(changes, STORE)
        if changes:
            self.on_news()
        return reached
