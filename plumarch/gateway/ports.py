"""Interface to the platform, implemented by an adapter.

All calls raise the errors of plumarch.core.errors: PlatformUnavailable (nothing was done),
PlatformAnswerLost (may have been done), PlatformConflict, PlatformRolledBack, PlatformAbsent,
PlatformRevisionExpired, PlatformNonsense.

Revisions are those of plumarch.core.revisions: they rise also when the store comes back from an
older copy.
"""

import dataclasses
from collections.abc import Mapping
from typing import Protocol

from plumarch.config import routing_table
from plumarch.core import records, rollouts, traffic
from plumarch.membership import registry


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationUpdate:
    """The configuration at a revision; None if there is none, or no newer one."""

    configuration: routing_table.Configuration | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointList:
    """All endpoints at a revision, and undecodable entries."""

    endpoints: tuple[traffic.Endpoint, ...]
    revision: int
    unreadable: tuple[records.Unreadable, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """Changes of endpoints; an undecodable entry counts as removed."""

    changes: tuple[registry.EndpointChange, ...]
    revision: int
    unreadable: tuple[records.Unreadable, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutUpdate:
    """Changed roll-out orders up to a revision."""

    changes: tuple[rollouts.RolloutChange, ...]
    revision: int
    unreadable: tuple[records.Unreadable, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RecordList:
    """The product's own objects of a kind at a revision."""

    found: tuple[records.Record, ...]
    revision: int
    unreadable: tuple[records.Unreadable, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RecordUpdate:
    """Changed objects of a kind up to a revision."""

    changed: tuple[records.Record, ...]
    removed: tuple[str, ...]
    revision: int
    unreadable: tuple[records.Unreadable, ...] = ()


class Store(Protocol):
    """The platform's store."""

    async def list_configuration(self) -> ConfigurationUpdate:
        """Read the configuration."""
        ...

    async def watch_configuration(self, revision: int, wait_ms: int) -> ConfigurationUpdate:
        """Wait for a newer configuration."""
        ...

    async def list_endpoints(self) -> EndpointList:
        """Read all endpoints."""
        ...

    async def watch_endpoints(self, revision: int, wait_ms: int) -> EndpointUpdate:
        """Wait for changes of endpoints."""
        ...

    async def list_rollouts(self) -> RolloutUpdate:
        """Read all orders of roll-outs."""
        ...

    async def watch_rollouts(self, revision: int, wait_ms: int) -> RolloutUpdate:
        """Wait for changes of orders."""
        ...

    async def report_rollout(
        self, order: rollouts.RolloutOrder, state: rollouts.RolloutState
    ) -> None:
        """Report a roll-out's state if its order is unchanged.

        Raises:
          PlatformConflict: the order has changed.
        """
        ...

    async def list_records(self, kind: str, stale: bool = False) -> RecordList:
        """Read the product's own objects of a kind.

        Args:
          stale: whether a cheaper read, some seconds old, is enough.
        """
        ...

    async def watch_records(self, kind: str, revision: int, wait_ms: int) -> RecordUpdate:
        """Wait for changes of objects of a kind."""
        ...

    async def read_record(self, kind: str, name: str) -> records.Record | None:
        """Read one object."""
        ...

    async def write_record(self, kind: str, record: records.Record) -> records.Record:
        """Write an object if its revision is unchanged; return it with the new one.

        Raises:
          PlatformRolledBack: the store came back from an older copy since it was read.
        """
        ...


class Cloud(Protocol):
    """Calls that only the duty holder may make."""

    async def report_usage(
        self, lease: records.Lease, window: int, counts: Mapping[str, int]
    ) -> None:
        """Report a window's requests by workspace.

        Raises:
          StaleToken: another node acted under a higher token.
        """
        ...

    async def order(self, lease: records.Lease, order: records.EngineOrder) -> None:
        """Order endpoints.

        Raises:
          StaleToken: another node acted under a higher token.
          NoneToBeHad: no spot endpoints are available there now.
        """
        ...
