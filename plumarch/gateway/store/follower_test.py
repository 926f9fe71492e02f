"""Following a store that fails, forgets its history, and comes back."""

import asyncio
import contextlib
import random

import pytest

from plumarch.config import routing_table
from plumarch.core import backoff, clock, errors, traffic
from plumarch.gateway import ports
from plumarch.gateway.store import follower
from plumarch.standins import gateway_parts


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(follower, "NEWS_PAUSE_MS", 0.0)
    monkeypatch.setattr(follower, "FIRST_LIST_PAUSE_MS", 0.0)
    monkeypatch.setattr(follower, "BACKOFF", backoff.Backoff(0.0, 0.0))


def configuration(version: int) -> routing_table.Configuration:
    return routing_table.Configuration(version, (), (), (), traffic.CallerLimits())


class Done(Exception):
    """The script of a store is over."""


class ScriptedStore:
    """Answers calls from a script, and keeps what was asked."""

    def __init__(self, *script: object) -> None:
        self.script = list(script)
        self.calls: list[str] = []

    def next(self, call: str) -> object:
        self.calls.append(call)
        if not self.script:
            raise Done
        answer = self.script.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def list_configuration(self) -> object:
        return self.next("list")

    async def watch_configuration(self, revision: int, wait_ms: int) -> object:
        return self.next(f"watch {revision}")


def follow(
    *script: object, watches: list[bool] | None = None
) -> tuple[list[str], gateway_parts.fleet_state.FleetState]:
    store = ScriptedStore(*script)
    state = gateway_parts.new_state(clock.ManualClock())
    state.rng = random.Random(1)
    answers = iter(watches or [])
    following = follower.Follower(
        state,
        store,  # type: ignore[arg-type]
        lambda: None,
        lambda: next(answers, True),
    )

    async def run() -> None:
        with contextlib.suppress(Done):
            await following.follow_configuration()

    asyncio.run(run())
    return store.calls, state


def news(version: int | None, revision: int) -> ports.ConfigurationUpdate:
    return ports.ConfigurationUpdate(configuration(version) if version else None, revision)


def test_a_list_then_watches_from_where_it_ended():
    calls, state = follow(news(1, 10), news(None, 10), news(2, 15))
    assert calls == ["list", "watch 10", "watch 10", "watch 15"]
    assert state.table.version == 2


def test_a_forgotten_history_is_listed_again_at_once():
    calls, _ = follow(news(1, 10), errors.PlatformRevisionExpired("gone"), news(2, 30))
    assert calls == ["list", "watch 10", "list", "watch 30"]


def test_a_node_that_leaves_watching_to_others_lists_once_and_again_when_they_are_gone(monkeypatch):
    monkeypatch.setattr(follower, "NOT_WATCHING_MS", 0.0)
    calls, _ = follow(news(1, 10), news(2, 20), watches=[False, False, True, True])
    assert calls == ["list", "list", "watch 20"]


def test_after_a_failure_the_short_call_comes_first():
    lost = errors.PlatformAnswerLost("silent")
    calls, _ = follow(news(1, 10), lost, news(1, 12))
    assert calls == ["list", "watch 10", "list", "watch 12"]


def test_an_older_configuration_never_comes_back():
    _, state = follow(news(5, 10), news(4, 11))
    assert state.table.version == 5


def test_what_cannot_be_read_changes_nothing():
    _, state = follow(news(5, 10), errors.PlatformNonsense("?"), news(6, 11))
    assert state.table.version == 6


def test_loss_and_return_are_each_told_once():
    down = errors.PlatformUnavailable("down")
    _, state = follow(news(1, 10), down, down, down, news(1, 10))
    lines = bytes(state.log.pending).decode()
    assert lines.count('"kind":"lost"') == 1
    assert lines.count('"kind":"regained"') == 1


def test_a_store_that_does_not_answer_counts_as_out_of_reach_until_it_does():
    down = errors.PlatformUnavailable("down")
    _, state = follow(news(1, 10), down)
    assert not state.reaches_store
    _, state = follow(news(1, 10), down, news(1, 10))
    assert state.reaches_store


class SilentStore(ScriptedStore):
    """A store whose watches wait until they are given up, as on a connection that says nothing."""

    def __init__(self, *script: object) -> None:
        super().__init__(*script)
        self.waiting = asyncio.Event()
        self.given_up = 0

    async def watch_configuration(self, revision: int, wait_ms: int) -> object:
        self.calls.append(f"watch {revision}")
        self.waiting.set()
        try:
            await asyncio.Event().wait()
        finally:
            self.given_up += 1
        raise AssertionError


def test_a_watch_that_is_silent_on_what_peers_told_is_given_up_and_the_store_listed(monkeypatch):
    monkeypatch.setattr(follower, "LOOK_MS", 0.0)
    store = SilentStore(news(1, 10), errors.PlatformAnswerLost("silent"))
    state = gateway_parts.new_state(clock.ManualClock())
    following = follower.Follower(state, store, lambda: None)  # type: ignore[arg-type]

    async def run() -> None:
        task = asyncio.create_task(following.follow_configuration())
        await store.waiting.wait()
        for _ in range(50):
            await asyncio.sleep(0)
        assert store.calls == ["list", "watch 10"]
        state.adopt_table(routing_table.build(configuration(2)), "a peer")
        with contextlib.suppress(Done):
            await task

    asyncio.run(run())
    assert store.calls == ["list", "watch 10", "list", "list"]
    assert store.given_up == 1
    assert not state.reaches_store


def test_a_node_turned_away_from_its_start_serves_by_its_peers_and_leaves_asking_to_others(
    monkeypatch,
):
    monkeypatch.setattr(follower, "NOT_WATCHING_MS", 0.0)
    store = ScriptedStore(errors.PlatformUnavailable("429"), errors.PlatformUnavailable("503"))
    state = gateway_parts.new_state(clock.ManualClock())
    watch_checks: list[int] = []

    def watches() -> bool:
        watch_checks.append(len(store.calls))
        return len(watch_checks) > 20

    following = follower.Follower(
        state,
        store,  # type: ignore[arg-type]
        lambda: None,
        watches,
    )
    failed = follower.Dependency.failed

    def fail_then_adopt(*told: object) -> float:
        if len(store.calls) == 2:
            state.adopt_table(routing_table.build(configuration(3)), "a peer")
        return failed(*told)  # type: ignore[arg-type]

    monkeypatch.setattr(follower.Dependency, "failed", fail_then_adopt)

    async def run() -> None:
        with contextlib.suppress(Done):
            await following.follow_configuration()

    asyncio.run(run())
    assert state.table.version == 3
    assert watch_checks[:20] == [2] * 20
