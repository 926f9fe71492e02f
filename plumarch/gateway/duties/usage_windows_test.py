"""Usage reports are complete though parts of a fleet over regions are cut off or killed."""

import collections
import contextlib
import random
from collections.abc import Mapping

import pytest

from plumarch.core import errors, records
from plumarch.gateway.duties import duty_holder
from plumarch.membership import tiers
from plumarch.standins import gateway_parts, gossip_fleet

WINDOW_MS = gateway_parts.USAGE_WINDOW_MS
SCHEDULE = duty_holder.UsageSchedule(WINDOW_MS, 1_500, 7_500)
DUE_MS = 10_000
"""Time after its end within which a window must be reported."""

TOLERATED = 0.05
"""Tolerated relative error of a window's count."""

STEP_MS = 100
REQUESTS_PER_STEP = 30
SETTLE_MS = 8_000
SIZE = gossip_fleet.Size(6, 5, regions=3)
SEEDS = tuple(gossip_fleet.address_of(0, centre) for centre in ("dc-a", "dc-b", "dc-c"))
ONLY_USAGE = duty_holder.DutyTasks(usage=True, scaling=False)


class Platform:
    """A store with one record and a cloud that keeps the first report of each window."""

    def __init__(self) -> None:
        self.record = records.Record("", "", 0)
        self.reports: dict[int, dict[str, int]] = {}
        self.fence = 0

    async def read_record(self, kind: str, name: str) -> records.Record | None:
        return self.record if self.record.revision else None

    async def write_record(self, kind: str, record: records.Record) -> records.Record:
        if record.revision != self.record.revision:
            raise errors.PlatformConflict("changed")
        self.record = records.Record(record.name, record.value, record.revision + 1)
        return self.record

    async def report_usage(
        self, lease: records.Lease, window: int, counts: Mapping[str, int]
    ) -> None:
        if lease.token < self.fence:
            raise errors.StaleToken("older")
        self.fence = lease.token
        self.reports.setdefault(window, dict(counts))


class Session:
    """A fleet under constant load whose holder reports usage."""

    def __init__(self, seed: int, size: gossip_fleet.Size = SIZE) -> None:
        starts = gossip_fleet.Starts(seeds=SEEDS, within_ms=1_000)
        self.fleet = gossip_fleet.GossipFleet(size, seed, knows_all=False, starts=starts)
        self.platform = Platform()
        self.rng = random.Random(seed)
        self.started: collections.Counter[int] = collections.Counter()
        self.duties: dict[str, duty_holder.Duties] = {}
        self.run(SETTLE_MS)

    def run(self, for_ms: int) -> None:
        for _ in range(for_ms // STEP_MS):
            self.fleet.run(STEP_MS)
            now = self.fleet.time.now()
            nodes = [node for node in self.fleet.live() if not node.frozen]
            for node in self.rng.choices(nodes, k=REQUESTS_PER_STEP):
                node.state.usage.started("w0", now)
                self.started[now // WINDOW_MS] += 1
            for node in nodes:
                self.step(node)

    def step(self, node: gossip_fleet.Node) -> None:
        """Run one step of a node's duties, which must not block."""
        key = f"{node.name}#{node.view.incarnation}"
        if key not in self.duties:
            self.duties[key] = duty_holder.Duties(
                node.state,
                node.view,
                node.gossip.duty,
                self.platform,  # type: ignore[arg-type]
                self.platform,  # type: ignore[arg-type]
                SCHEDULE,
                tasks=ONLY_USAGE,
            )
        step = self.duties[key].step()
        with contextlib.suppress(StopIteration):
            step.send(None)
            raise AssertionError("the step waits for something")

    def holder(self) -> gossip_fleet.Node:
        [found] = [node for node in self.fleet.live() if node.gossip.duty.token]
        return found

    def run_to(self, into_window_ms: int) -> None:
        """Let time pass until the given offset in a window."""
        self.run((into_window_ms - self.fleet.time.now()) % WINDOW_MS)

    def assert_complete(self) -> None:
        """Check each due window that began after the fleet had settled."""
        first = (gossip_fleet.START_MS + SETTLE_MS) // WINDOW_MS + 1
        last = (self.fleet.time.now() - DUE_MS) // WINDOW_MS - 1
        off = {
            window: (self.platform.reports.get(window), self.started[window])
            for window in range(first, last + 1)
            if abs(self.platform.reports.get(window, {}).get("w0", 0) - self.started[window])
            > TOLERATED * self.started[window]
        }
        assert last >= first
        assert not off

    def cut_region(self, region: str) -> None:
        regions = self.fleet.region_of
        self.fleet.cut = lambda one, two: (regions(one) == region) != (regions(two) == region)

    def heal(self) -> None:
        self.fleet.cut = lambda one, two: False


def other_region(session: Session) -> str:
    return next(
        name
        for name in sorted(set(session.fleet.regions.values()))
        if name != holder_region(session)
    )


def holder_region(session: Session) -> str:
    return session.fleet.region_of(session.holder())


def test_windows_are_complete_without_faults():
    session = Session(1)
    session.run(25_000)
    session.assert_complete()


@pytest.mark.parametrize("with_holder", [False, True])
@pytest.mark.parametrize("into_window_ms", [500, 1_500, 2_500, 3_500, 4_500])
def test_windows_are_complete_though_a_region_was_cut_off_for_four_seconds(
    into_window_ms: int, with_holder: bool
):
    session = Session(into_window_ms)
    session.run_to(into_window_ms)
    session.cut_region(holder_region(session) if with_holder else other_region(session))
    session.run(4_000)
    session.heal()
    session.run(22_000)
    session.assert_complete()


@pytest.mark.parametrize("with_holder", [False, True])
@pytest.mark.parametrize("into_window_ms", [500, 2_500, 4_500])
def test_windows_are_complete_though_all_coordinators_of_a_region_crash(
    into_window_ms: int, with_holder: bool
):
    session = Session(into_window_ms)
    session.run_to(into_window_ms)
    region = holder_region(session) if with_holder else other_region(session)
    for node in session.fleet.with_role(tiers.Role.COORDINATOR):
        if session.fleet.region_of(node) == region:
            node.alive = False
    session.run(26_000)
    session.assert_complete()
