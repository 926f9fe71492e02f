"""A holder of the duties whose machine is suspended while it waits for the store or the cloud.

Others take the duties over meanwhile. The holder learns that by itself, before it acts: a call that
only the platform's fence turns away would be an act by what it knew before.
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
    """Wait for an answer that is on its way: a step at which the machine may be suspended."""
    yield


class Store:
    """A store whose answers take a step."""

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
    """A cloud whose answers take a step."""

    def __init__(self, inner: duties_test.Cloud) -> None:
        self.inner = inner

    async def report_usage(
        self, lease: records.Lease, window: int, counts: Mapping[str, int]
    ) -> None:
        await self.inner.report_usage(lease, window, counts)
        await answer_awaited()


class Session:
    """A fleet whose holder is suspended once, at one of its awaits."""

    def __init__(self, at: int, for_ms: int) -> None:
        self.at = at
        self.for_ms = for_ms
        self.awaits = 0
        self.world = duties_test.World(1)
        duties_test.pass_time(self.world, 3_000)
        (self.holder,) = [node for node in self.world.nodes if node.duties.status.token]
        what: Any = self.holder.duties
        what.store = Store(what.store)
        what.cloud = Cloud(what.cloud)

    def run(self) -> None:
        """Let the fleet go on, with usage to report."""
        self.holder.frozen = True
        for _ in range(TICKS):
            self.holder.state.suspensions.look()
            self.holder.state.usage.started("w", self.world.time.now())
            duties_test.pass_time(self.world, TICK_MS)
            self.run_step(self.holder.duties.step)

    def run_step(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run a step of the holder, which may be suspended in it."""
        step: Any = work()
        with contextlib.suppress(StopIteration):
            while True:
                step.send(None)
                self.awaits += 1
                if self.awaits == self.at:
                    self.suspend()

    def suspend(self) -> None:
        """Let time pass for the others, who hear nothing of the holder, nor it of them."""
        self.world.group[self.holder.number] = 1
        duties_test.pass_time(self.world, self.for_ms)
        self.world.group[self.holder.number] = 0


@pytest.mark.parametrize("for_ms", LENGTHS_MS)
def test_a_holder_that_was_suspended_makes_no_call_under_a_token_that_others_have_replaced(
    for_ms: int,
):
    whole = Session(0, 0)
    whole.run()
    assert whole.awaits >= 4 and not whole.world.refusals
    for at in range(1, whole.awaits + 1):
        session = Session(at, for_ms)
        session.run()
        where = f"await {at} of {whole.awaits}"
        assert not session.world.refusals, where
        holders = [node for node in session.world.nodes if node.duties.status.token]
        assert len(holders) <= 1, where


def test_a_record_counts_as_written_when_the_write_was_sent():
    """The answer may have waited for as long as the machine was suspended."""
    session = Session(0, 0)
    what = session.holder.duties
    sent_ms = session.world.time.now()
    assert what.stored is not None
    step: Any = what._write(what.stored)
    step.send(None)
    session.suspend()
    session.world.time.advance_to(sent_ms + 9_000)
    with contextlib.suppress(StopIteration):
        step.send(None)
    assert what.written_ms == sent_ms
