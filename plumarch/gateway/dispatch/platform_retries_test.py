"""Duty holder whose platform rejects calls: it retries rarely, and each window is reported once."""

import contextlib
from collections.abc import Mapping

from plumarch.core import clock, errors, records
from plumarch.fleet import duty_lease
from plumarch.gateway.duties import duty_holder
from plumarch.gateway.gossip import heartbeats
from plumarch.membership import fleet_view
from plumarch.standins import gateway_parts

START_MS = 1_000_000_000
WINDOW_MS = 5_000
FIRST_TOKEN = 2
"""The first lease is based on a record without a holder, at revision 1."""

SCHEDULE = duty_holder.UsageSchedule(WINDOW_MS, 1_500, 7_500)


class Store:
    """Stores the duties' record; writes may be rejected, or applied late without an answer."""

    def __init__(self) -> None:
        self.record: records.Record | None = None
        self.down = False
        self.late = False
        self.pending_writes: list[records.Record] = []
        self.tries = 0
        self.written = 0

    async def read_record(self, kind: str, name: str) -> records.Record | None:
        return self.record

    async def write_record(self, kind: str, record: records.Record) -> records.Record:
        self.tries += 1
        if self.down:
            raise errors.PlatformUnavailable("429")
        if self.late:
            self.pending_writes.append(record)
            raise errors.PlatformAnswerLost("silence")
        return self.apply(record)

    def apply(self, record: records.Record) -> records.Record:
        if record.revision != (self.record.revision if self.record else 0):
            raise errors.PlatformConflict("changed")
        self.written += 1
        self.record = records.Record(record.name, record.value, self.written)
        return self.record


class Cloud:
    """Records the reported windows."""

    def __init__(self) -> None:
        self.windows: list[int] = []
        self.down = False
        self.tries = 0

    async def report_usage(
        self, lease: records.Lease, window: int, counts: Mapping[str, int]
    ) -> None:
        self.tries += 1
        if self.down:
            raise errors.PlatformUnavailable("429")
        self.windows.append(window)


class Holder:
    """A single node that holds the duties."""

    def __init__(self) -> None:
        self.time = clock.ManualClock(START_MS)
        self.store, self.cloud = Store(), Cloud()
        self.duties = duty_holder.Duties(
            gateway_parts.new_state(self.time),
            fleet_view.FleetView(self.time, "n", START_MS, "10.0.0.1:7"),
            heartbeats.DutyStatus(),
            self.store,  # type: ignore[arg-type]
            self.cloud,  # type: ignore[arg-type]
            SCHEDULE,
        )
        self.run(2 * WINDOW_MS)
        assert self.duties.status.token == FIRST_TOKEN

    def run(self, for_ms: int) -> None:
        for _ in range(for_ms // duty_holder.TICK_MS):
            self.time.advance_to(self.time.now() + duty_holder.TICK_MS)
            step = self.duties.step()
            with contextlib.suppress(StopIteration):
                step.send(None)
                raise AssertionError("the step did not finish at once")


def test_a_store_that_rejects_writes_gets_few_retries_and_windows_are_reported_once():
    holder = Holder()
    before = holder.store.tries
    holder.store.down = True
    holder.run(20_000)
    assert holder.store.tries - before <= 20_000 / (duty_holder.RETRY.max_ms / 2)
    holder.store.down = False
    reported = len(holder.cloud.windows)
    holder.run(2_000)
    assert len(holder.cloud.windows) > reported
    assert len(set(holder.cloud.windows)) == len(holder.cloud.windows)


def test_a_cloud_that_rejects_reports_gets_few_retries():
    holder = Holder()
    holder.cloud.down = True
    before = holder.cloud.tries
    holder.run(20_000)
    assert holder.cloud.tries - before <= 20_000 / (duty_holder.RETRY.max_ms / 2)
    assert holder.duties.status.token == FIRST_TOKEN


def test_only_one_of_the_writes_applied_late_succeeds_and_the_duties_are_kept():
    holder = Holder()
    holder.store.late = True
    while not holder.store.pending_writes:
        holder.run(duty_holder.TICK_MS)
    holder.run(2_000)
    pending_writes, holder.store.late = holder.store.pending_writes, False
    assert len(pending_writes) > 1
    done = 0
    for record in pending_writes:
        with contextlib.suppress(errors.PlatformConflict):
            holder.store.apply(record)
            done += 1
    assert done == 1
    holder.run(2 * WINDOW_MS)
    assert holder.duties.status.token == FIRST_TOKEN
    assert holder.cloud.windows == sorted(set(holder.cloud.windows))
    assert holder.cloud.windows[-1] > START_MS // WINDOW_MS
    found = duty_lease.decode(holder.store.record)
    assert found is not None
    assert found.record.token == FIRST_TOKEN
