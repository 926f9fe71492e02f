"""A duty holder whose VM is suspended while it waits for the store or the cloud.

Another node takes over meanwhile; the resumed holder must make no call with its stale token.
"""

import contextlib
import types
from collections.abc import Awaitable, Callable, Generator, Mapping
from typing import Any

import pytest

from plumarch.core import records
from plumarch.gateway.duties import duty_holder_test as duties_test

LENGTHS_MS = (500, 3_000, 20_000)
TICK_MS = 100
TICKS = 160


@types.coroutine
def answer_awaited() -> Generator[None, None, None]:
    """Yield once before an answer: a point at which the VM may be suspended."""
    yield


class Store:
    """A store that yields before each answer."""

    def __init__(self, inner: duties_test.Store) -> None:
        self.inner = inner

    async def read_record(self, kind: str, name: str) -> records.Record | None:
        found = await self.inner.read_record(kind, name)
        await answer_awaited()
        return found

    async def write_record(self, kind: str, record: records.Record) -> records.Record:
        written = await self.inner.write_record(kind, record)
        await answer_awaited()
        return written


class Cloud:
    """A cloud that yields before each answer."""

    def __init__(self, inner: duties_test.Cloud) -> None:
        self.inner = inner

    async def report_usage(
        self, lease: records.Lease, window: int, counts: Mapping[str, int]
    ) -> None:
        await self.inner.report_usage(lease, window, counts)
        await answer_awaited()


class Session:
    """A fleet whose holder is suspended once, at a given await."""

    def __init__(self, at: int, for_ms: int) -> None:
        self.at = at
        self.for_ms = for_ms
        self.awaits = 0
        self.world = duties_test.World(1)
        duties_test.pass_time(self.world, 3_000)
        (self.holder,) = [node for node in self.world.nodes if node.duties.status.token]
        duties: Any = self.holder.duties
        duties.store = Store(duties.store)
        duties.cloud = Cloud(duties.cloud)

    def run(self) -> None:
        """Run the fleet, with usage to report."""
        self.holder.frozen = True
        for _ in range(TICKS):
            self.holder.state.suspensions.check()
            self.holder.state.usage.started("w", self.world.time.now())
            duties_test.pass_time(self.world, TICK_MS)
            self.run_step(self.holder.duties.step)

    def run_step(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run a step of the holder, perhaps with the suspension."""
        step: Any = work()
        with contextlib.suppress(StopIteration):
            while True:
                step.send(None)
                self.awaits += 1
                if self.awaits == self.at:
                    self.suspend()

    def suspend(self) -> None:
        """Let time pass for the other nodes only, without heartbeats from or to the holder."""
        self.world.group[self.holder.number] = 1
        duties_test.pass_time(self.world, self.for_ms)
        self.world.group[self.holder.number] = 0


@pytest.mark.parametrize("for_ms", LENGTHS_MS)
def test_a_resumed_holder_makes_no_call_with_a_stale_token(
    for_ms: int,
):
    uninterrupted = Session(0, 0)
    uninterrupted.run()
    assert uninterrupted.awaits >= 4 and not uninterrupted.world.refusals
    for at in range(1, uninterrupted.awaits + 1):
        session = Session(at, for_ms)
        session.run()
        where = f"await {at} of {uninterrupted.awaits}"
        assert not session.world.refusals, where
        holders = [node for node in session.world.nodes if node.duties.status.token]
        assert len(holders) <= 1, where


def test_the_time_of_a_write_is_when_it_was_sent():
    """The answer may arrive only after a suspension."""
    session = Session(0, 0)
    duties = session.holder.duties
    sent_ms = session.world.time.now()
    assert duties.stored is not None
    step: Any = duties._write(duties.stored)
    step.send(None)
    session.suspend()
    session.world.time.advance_to(sent_ms + 9_000)
    with contextlib.suppress(StopIteration):
        step.send(None)
    assert duties.written_ms == sent_ms
