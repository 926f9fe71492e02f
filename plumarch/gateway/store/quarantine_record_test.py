"""The quarantine survives restarts, reaches isolated nodes, and grants one trial at a time."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from plumarch.gateway.store import quarantine_record
from plumarch.limits import quarantine
from plumarch.standins import gossip_fleet, store_replay, virtual_time

SMALL = gossip_fleet.Size(3, 3)
LARGE = gossip_fleet.Size(3, 12)
SETTLE_MS = 4_000
CONTACT_MS = 3_000
"""Maximum time until all nodes that reach the store know of a request."""


def play(
    size: gossip_fleet.Size, test: Callable[[store_replay.StoreReplay], Awaitable[None]]
) -> None:
    async def run() -> None:
        replay = store_replay.StoreReplay(size, store_replay.CountedStore())
        try:
            await replay.run(SETTLE_MS)
            await test(replay)
        finally:
            replay.stop()

    virtual_time.run(run())


def observe_crashes(
    node: gossip_fleet.Node, first: int, count: int, fingerprint: str = "f"
) -> None:
    for number in range(first, first + count):
        node.state.quarantine.record_crash(fingerprint, f"e{number}", quarantine.EARLY_POINTS)
        assert node.state.publish_suspects is not None
        node.state.publish_suspects([fingerprint])


def not_quarantined(replay: store_replay.StoreReplay) -> list[str]:
    live = replay.fleet.live()
    return [node.name for node in live if node.state.quarantine.find_quarantined("f") is None]


@pytest.mark.parametrize("size", [SMALL, LARGE])
def test_a_request_stays_quarantined_after_all_processes_restart(size: gossip_fleet.Size):
    async def test(replay: store_replay.StoreReplay) -> None:
        observe_crashes(replay.fleet.live()[4], 0, 3)
        await replay.run(500)
        replay.restart_all()
        assert len(not_quarantined(replay)) == len(replay.fleet.live())
        await replay.run(CONTACT_MS)
        assert not_quarantined(replay) == []

    play(size, test)


@pytest.mark.parametrize("size", [SMALL, LARGE])
def test_a_node_that_reaches_only_the_store_learns_of_a_quarantine(size: gossip_fleet.Size):
    async def test(replay: store_replay.StoreReplay) -> None:
        alone = replay.fleet.live()[-1]
        replay.fleet.cut = lambda one, other: alone in (one, other)
        await replay.run(2_000)
        observe_crashes(replay.fleet.live()[0], 0, 3)
        await replay.run(CONTACT_MS)
        assert not_quarantined(replay) == []

    play(size, test)


@pytest.mark.parametrize("size", [SMALL, LARGE])
def test_crashes_seen_on_both_sides_of_a_partition_add_up(size: gossip_fleet.Size):
    async def test(replay: store_replay.StoreReplay) -> None:
        far = "dc-c"
        replay.fleet.cut = lambda one, other: (one.data_centre == far) != (other.data_centre == far)
        await replay.run(2_000)
        live = replay.fleet.live()
        observe_crashes(next(node for node in live if node.data_centre != far), 0, 2)
        observe_crashes(next(node for node in live if node.data_centre == far), 2, 1)
        await replay.run(CONTACT_MS)
        assert not_quarantined(replay) == []

    play(size, test)


def test_crashes_seen_while_the_store_was_down_are_written_after_it_recovers():
    async def test(replay: store_replay.StoreReplay) -> None:
        replay.store.down = True
        await replay.run(1_000)
        observe_crashes(replay.fleet.live()[0], 0, 3)
        await replay.run(3_000)
        replay.store.down = False
        await replay.run(6_000)
        replay.restart_all()
        await replay.run(CONTACT_MS)
        assert not_quarantined(replay) == []

    play(SMALL, test)


def test_single_crashes_are_not_written_and_an_idle_fleet_makes_few_calls():
    async def test(replay: store_replay.StoreReplay) -> None:
        before = dict(replay.store.by_call)
        for number, node in enumerate(replay.fleet.live()):
            observe_crashes(node, number, 1, fingerprint=f"bystander-{number}")
        await replay.run(60_000)
        assert replay.store.by_call["write record"] == before["write record"]
        assert replay.store.by_call["watch records"] - before.get("watch records", 0) <= 4

    play(LARGE, test)


def test_a_trial_is_granted_to_one_of_all_nodes_that_claim_it():
    async def test(replay: store_replay.StoreReplay) -> None:
        observe_crashes(replay.fleet.live()[0], 0, 3)
        await replay.run(1_000)
        claims = list(replay.quarantines.values())
        assert not any(await asyncio.gather(*(one.claim("f") for one in claims)))
        await replay.run(quarantine.FIRST_TRIAL_MS)
        granted = await asyncio.gather(*(one.claim("f") for one in claims))
        assert sum(granted) == 1
        await replay.run(1_000)
        assert not any(await asyncio.gather(*(one.claim("f") for one in claims)))

    play(SMALL, test)


def test_without_the_store_no_trial_is_granted():
    async def test(replay: store_replay.StoreReplay) -> None:
        observe_crashes(replay.fleet.live()[0], 0, 3)
        await replay.run(quarantine.FIRST_TRIAL_MS + 1_000)
        replay.store.down = True
        assert not await replay.quarantines[replay.fleet.live()[0].name].claim("f")

    play(SMALL, test)


@pytest.mark.parametrize("size", [SMALL, LARGE])
def test_removing_the_record_lifts_all_quarantines(size: gossip_fleet.Size):
    async def test(replay: store_replay.StoreReplay) -> None:
        observe_crashes(replay.fleet.live()[0], 0, 3)
        await replay.run(1_000)
        assert not_quarantined(replay) == []
        replay.store.remove(quarantine_record.KIND, quarantine_record.NAME)
        await replay.run(1_000)
        assert len(not_quarantined(replay)) == len(replay.fleet.live())
        await replay.run(10_000)
        assert len(not_quarantined(replay)) == len(replay.fleet.live())

    play(size, test)


def test_a_malformed_record_is_rewritten():
    async def test(replay: store_replay.StoreReplay) -> None:
        observe_crashes(replay.fleet.live()[0], 0, 3)
        await replay.run(1_000)
        key = (quarantine_record.KIND, quarantine_record.NAME)
        record = replay.store.kept[key]
        replay.store.revision += 1
        spoiled = quarantine_record.records.Record(record.name, "[[", replay.store.revision)
        replay.store.kept[key] = spoiled
        replay.store.notify_watchers()
        await replay.run(1_000)
        assert not_quarantined(replay) == []
        found = quarantine_record.decode(replay.store.kept[key].value)
        assert found is not None and [one.fingerprint for one in found] == ["f"]

    play(SMALL, test)


def test_the_record_retains_the_highest_scores_up_to_its_maximum_size():
    now = 1_700_000_000_000
    found = {
        f"{number:03}": quarantine.Suspect(
            f"{number:03}",
            tuple(quarantine.Crash(f"e{end}", now - number, 3) for end in range(2 + number % 2)),
        )
        for number in range(200)
    }
    most_suspect = quarantine_record.most_suspect(found, now)
    assert len(most_suspect) == quarantine_record.MAX_SUSPECTS
    assert all(one.is_quarantined() for one in most_suspect)
    assert quarantine_record.decode(quarantine_record.encode(most_suspect)) == most_suspect


@pytest.mark.parametrize("size", [SMALL, LARGE])
def test_a_quarantine_outlasts_a_store_that_comes_back_without_its_record(size: gossip_fleet.Size):
    async def test(replay: store_replay.StoreReplay) -> None:
        backup = replay.store.back_up()
        observe_crashes(replay.fleet.live()[4], 0, 3)
        await replay.run(CONTACT_MS)
        replay.store.restore(backup)
        await replay.run(CONTACT_MS)
        assert not_quarantined(replay) == []
        assert (quarantine_record.KIND, quarantine_record.NAME) in replay.store.kept
        replay.restart_all()
        await replay.run(CONTACT_MS)
        assert not_quarantined(replay) == []

    play(size, test)
