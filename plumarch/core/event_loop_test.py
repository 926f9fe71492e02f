"""Timers across a suspension of the machine."""

import asyncio
import time

import pytest

from plumarch.core import clock, event_loop


class Suspended:
    """The host's monotonic clock with simulated suspensions."""

    def __init__(self) -> None:
        self.real = time.clock_gettime
        self.for_s = 0.0

    def clock_gettime(self, which: int) -> float:
        return self.real(which) + self.for_s


def test_timers_overdue_after_a_suspension_fire_at_the_first_wake(monkeypatch: pytest.MonkeyPatch):
    machine = Suspended()
    monkeypatch.setattr(time, "clock_gettime", machine.clock_gettime)

    async def work() -> list[str]:
        fired: list[str] = []
        loop = asyncio.get_running_loop()
        loop.call_later(3_600, fired.append, "an hour")
        loop.call_later(7_200, fired.append, "two hours")
        machine.for_s += 3_601
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return fired

    assert event_loop.run(work()) == ["an hour"]


def test_monotonic_clock_and_event_loop_use_the_same_clock(monkeypatch: pytest.MonkeyPatch):
    clock_ids = []

    def record_clock_id(which: int) -> int:
        clock_ids.append(which)
        return 12_000_000_000

    monkeypatch.setattr(time, "clock_gettime_ns", record_clock_id)
    assert clock.MonotonicClock().now() == 12_000
    assert clock_ids == [clock.CLOCK_ID]
    if clock.COUNTS_SUSPENSIONS:
        assert clock.CLOCK_ID == time.CLOCK_BOOTTIME
