"""An unforeseen error ends no task, and is logged and counted."""

import asyncio

import pytest

from plumarch.core import clock
from plumarch.daemon import task_supervisor
from plumarch.standins import gateway_parts


def supervisor() -> task_supervisor.TaskSupervisor:
    return task_supervisor.TaskSupervisor(gateway_parts.new_state(clock.MonotonicClock(), "n"))


def lines(one: task_supervisor.TaskSupervisor) -> list[str]:
    return [line for line in bytes(one.state.log.pending).decode().splitlines() if "fault" in line]


def test_a_task_that_fails_is_restarted_until_it_returns(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(task_supervisor, "RESTART_PAUSE_MS", 1.0)
    starts: list[int] = []

    async def follow() -> None:
        starts.append(1)
        if len(starts) < 3:
            raise UnicodeEncodeError("utf-8", "\ud800", 0, 1, "surrogates not allowed")

    async def run() -> task_supervisor.TaskSupervisor:
        one = supervisor()
        one.start(follow)
        await asyncio.wait_for(one.tasks[0], 30)
        return one

    one = asyncio.run(run())
    assert len(starts) == 3
    assert one.state.measures.faults.counts == {("follow",): 2.0}
    assert len(lines(one)) == 2
    assert "UnicodeEncodeError" in lines(one)[0]
    assert "task_supervisor_test:" in lines(one)[0]


def test_an_error_in_a_callback_is_logged_bounded_and_counted():
    def fail() -> None:
        raise RecursionError("x" * 10_000)

    async def run() -> task_supervisor.TaskSupervisor:
        one = supervisor()
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(one.handle_loop_error)
        loop.call_soon(fail)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return one

    one = asyncio.run(run())
    assert one.state.measures.faults.counts == {(task_supervisor.EVENT_LOOP,): 1.0}
    [line] = lines(one)
    assert len(line) < 2 * task_supervisor.MAX_ERROR_CHARS
