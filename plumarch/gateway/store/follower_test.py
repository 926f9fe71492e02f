"""Following a store that fails, expires its history, and recovers."""

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
    """The store's script has ended."""


class ScriptedStore:
    """Answers calls from a script and records them."""

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


def update(version: int | None, revision: int) -> ports.ConfigurationUpdate:
    return ports.ConfigurationUpdate(configuration(version) if version else None, revision)


def test_watches_continue_from_the_revision_of_the_list():
    calls, state = follow(update(1, 10), update(None, 10), update(2, 15))
    assert calls == ["list", "watch 10", "watch 10", "watch 15"]
    assert state.table.version == 2


def test_an_expired_revision_is_listed_again_at_once():
    calls, _ = follow(update(1, 10), errors.PlatformRevisionExpired("gone"), update(2, 30))
    assert calls == ["list", "watch 10", "list", "watch 30"]


def test_a_node_that_does_not_watch_lists_once_and_again_when_it_has_to_watch(monkeypatch):
    monkeypatch.setattr(follower, "NOT_WATCHING_MS", 0.0)
    calls, _ = follow(update(1, 10), update(2, 20), watches=[False, False, True, True])
    assert calls == ["list", "list", "watch 20"]


def test_a_failed_watch_is_followed_by_a_list():
    lost = errors.PlatformAnswerLost("silent")
    calls, _ = follow(update(1, 10), lost, update(1, 12))
    assert calls == ["list", "watch 10", "list", "watch 12"]


def test_an_older_configuration_is_not_adopted():
    _, state = follow(update(5, 10), update(4, 11))
    assert state.table.version == 5


def test_a_malformed_answer_changes_nothing():
    _, state = follow(update(5, 10), errors.PlatformNonsense("?"), update(6, 11))
    assert state.table.version == 6


def test_loss_and_recovery_are_each_logged_once():
    down = errors.PlatformUnavailable("down")
    _, state = follow(update(1, 10), down, down, down, update(1, 10))
    lines = bytes(state.log.pending).decode()
    assert lines.count('"kind":"lost"') == 1
    assert lines.count('"kind":"regained"') == 1


def test_a_store_is_unreachable_until_it_answers_again():
    down = errors.PlatformUnavailable("down")
    _, state = follow(update(1, 10), down)
    assert not state.reaches_store
    _, state = follow(update(1, 10), down, update(1, 10))
    assert state.reaches_store


class UnresponsiveStore(ScriptedStore):
    """A store whose watches never return."""

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


def test_a_watch_that_misses_a_change_from_peers_is_cancelled_and_the_store_listed(monkeypatch):
    monkeypatch.setattr(follower, "LOOK_MS", 0.0)
    store = UnresponsiveStore(update(1, 10), errors.PlatformAnswerLost("silent"))
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


def test_a_node_rejected_since_its_start_serves_its_peers_data_and_stops_calling_the_store(
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

    def fail_then_adopt(*args: object) -> float:
        if len(store.calls) == 2:
            state.adopt_table(routing_table.build(configuration(3)), "a peer")
        return failed(*args)  # type: ignore[arg-type]

    monkeypatch.setattr(follower.Dependency, "failed", fail_then_adopt)

    async def run() -> None:
        with contextlib.suppress(Done):
            await following.follow_configuration()

    asyncio.run(run())
    assert state.table.version == 3
    assert watch_checks[:20] == [2] * 20
