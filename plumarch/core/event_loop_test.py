"""Timers that were set before the machine was suspended."""

import asyncio
import time

import pytest

from plumarch.core import clock, event_loop


class Suspended:
    """The host's steady clock, with suspensions."""

    def __init__(self) -> None:
        self.real = time.clock_gettime
        self.for_s = 0.0

    def clock_gettime(self, which: int) -> float:
        return self.real(which) + self.for_s


def test_what_is_due_after_a_suspension_comes_at_the_first_wake(monkeypatch: pytest.MonkeyPatch):
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


def test_our_clock_and_the_timers_count_alike(monkeypatch: pytest.MonkeyPatch):
    asked = []

    def noted(which: int) -> int:
        asked.append(which)
        return 12_000_000_000

    monkeypatch.setattr(time, "clock_gettime_ns", noted)
    assert clock.MonotonicClock().now() == 12_000
    assert asked == [clock.CLOCK_ID]
    if clock.COUNTS_SUSPENSIONS:
        assert clock.CLOCK_ID == time.CLOCK_BOOTTIME
