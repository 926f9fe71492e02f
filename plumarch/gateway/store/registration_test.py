"""Node records in the store: few calls, and found by new nodes."""

import asyncio
import dataclasses

import pytest

from plumarch.core import addresses, errors, records
from plumarch.gateway import ports
from plumarch.gateway.store import registration
from plumarch.membership import node_record, tiers
from plumarch.standins import gossip_fleet, store_replay, virtual_time


@dataclasses.dataclass
class Store:
    """A store that counts its calls and loses some.

    Attributes:
      old: the records that stale lists return.
      lose: number of writes to apply without an answer.
      late: number of writes to apply later, without an answer.
      left: the writes to apply later.
    """

    found: dict[str, records.Record] = dataclasses.field(default_factory=dict)
    old: dict[str, records.Record] = dataclasses.field(default_factory=dict)
    lists: int = 0
    stale_lists: int = 0
    writes: int = 0
    lose: int = 0
    late: int = 0
    left: list[records.Record] = dataclasses.field(default_factory=list)
    down: bool = False

    async def list_records(self, kind: str, stale: bool = False) -> ports.RecordList:
        if self.down:
            raise errors.PlatformUnavailable("down")
        self.lists += 1
        self.stale_lists += stale
        found = self.old if stale else self.found
        return ports.RecordList(tuple(found.values()), self.writes)

    async def write_record(self, kind: str, record: records.Record) -> records.Record:
        if self.late:
            self.late -= 1
            self.left.append(record)
            raise errors.PlatformAnswerLost("silence")
        return self.apply(record)

    def apply(self, record: records.Record) -> records.Record:
        known = self.found.get(record.name)
        if record.revision != (known.revision if known else 0):
            raise errors.PlatformConflict("changed")
        self.writes += 1
        written = dataclasses.replace(record, revision=self.writes)
        self.found[record.name] = written
        if self.lose:
            self.lose -= 1
            raise errors.PlatformAnswerLost("lost")
        return written


def register_all(fleet: gossip_fleet.GossipFleet, store: Store) -> list[registration.Registration]:
    return [
        registration.Registration(node.state, node.view, node.gossip, store)  # type: ignore[arg-type]
        for node in fleet.live()
    ]


def step(entries: list[registration.Registration]) -> None:
    async def run() -> None:
        for entry in entries:
            try:
                await entry.step()
            except errors.PlatformError:
                continue

    asyncio.run(run())


def run(fleet: gossip_fleet.GossipFleet, entries: list[registration.Registration]) -> None:
    for _ in range(5):
        step(entries)
        fleet.run(1_000)


def test_in_a_large_fleet_one_node_of_each_data_centre_writes_its_seniors():
    fleet = gossip_fleet.GossipFleet(gossip_fleet.Size(3, 12))
    store = Store()
    entries = register_all(fleet, store)
    run(fleet, entries)
    assert store.lists == 36
    assert store.writes == 3
    assert set(store.found) == {"centre-dc-a", "centre-dc-b", "centre-dc-c"}
    named = node_record.decode(store.found["centre-dc-b"])
    assert named is not None
    assert len(named) == tiers.SENIORS
    run(fleet, entries)
    assert (store.lists, store.writes) == (36, 3)


def test_in_a_small_fleet_each_node_writes_itself_once():
    fleet = gossip_fleet.GossipFleet(gossip_fleet.Size(2, 3))
    store = Store()
    entries = register_all(fleet, store)
    run(fleet, entries)
    run(fleet, entries)
    assert store.writes == 6
    assert "dc-a-1" in store.found


def test_a_record_is_rewritten_when_its_seniors_are_gone():
    fleet = gossip_fleet.GossipFleet(gossip_fleet.Size(3, 12))
    store = Store()
    entries = register_all(fleet, store)
    run(fleet, entries)
    named = {one.address for one in node_record.decode(store.found["centre-dc-a"]) or ()}
    for node in fleet.live():
        if node.address in named:
            node.alive = False
    live = [entry for entry in entries if entry.view.address not in named]
    fleet.run(4_000)
    run(fleet, live)
    now_named = {one.address for one in node_record.decode(store.found["centre-dc-a"]) or ()}
    assert not now_named & named


def test_heartbeats_go_on_beside_node_records_of_other_writers():
    """An address that is no IP:port ended every heartbeat of the node that read it."""
    fleet = gossip_fleet.GossipFleet(gossip_fleet.Size(1, 2))
    store = Store()
    values = [
        '[{"address": "nonsense", "data_centre": "z"}]',
        '[{"address": "10.0.0.1:99999", "data_centre": "z"}, {"address": "", "data_centre": ""}]',
        '"\ud800"',
        '{"x": ' + "[" * 3_000 + "]" * 3_000 + "}",
        "nobody's text",
    ]
    for number, value in enumerate(values):
        store.old[f"foreign-{number}"] = records.Record(f"foreign-{number}", value, 1)
    entries = register_all(fleet, store)
    run(fleet, entries)
    assert {"dc-a-0", "dc-a-1"} <= set(store.found)
    for node in fleet.live():
        assert len(node.view.live()) == 1
        assert all(addresses.is_ip_port(one.address) for one in node.view.peers.values())


def test_a_write_without_an_answer_is_read_back_and_not_repeated():
    fleet = gossip_fleet.GossipFleet(gossip_fleet.Size(2, 3))
    store = Store(lose=2)
    entries = register_all(fleet, store)
    run(fleet, entries)
    assert store.writes == 6


def test_late_writes_conflict_with_those_that_replaced_them():
    fleet = gossip_fleet.GossipFleet(gossip_fleet.Size(2, 3))
    store = Store(late=4)
    entries = register_all(fleet, store)
    run(fleet, entries)
    assert (len(store.left), store.writes) == (4, 6)
    for record in store.left:
        with pytest.raises(errors.PlatformConflict):
            store.apply(record)
    run(fleet, entries)
    assert store.writes == 6


def test_late_writes_are_read_back_and_not_repeated():
    fleet = gossip_fleet.GossipFleet(gossip_fleet.Size(2, 3))
    store = Store(late=6)
    entries = register_all(fleet, store)
    while len(store.left) < 6:
        fleet.run(500)
        step(entries)
    for record in store.left:
        store.apply(record)
    run(fleet, entries)
    assert store.writes == 6


def test_the_outcome_of_a_write_is_not_read_from_a_stale_list():
    fleet = gossip_fleet.GossipFleet(gossip_fleet.Size(2, 3))
    store = Store(lose=2)
    entries = register_all(fleet, store)
    run(fleet, entries)
    assert store.old == {}
    assert (store.lists, store.stale_lists, store.writes) == (8, 6, 6)


def test_a_node_without_seeds_finds_the_fleet_by_the_store():
    fleet = gossip_fleet.GossipFleet(gossip_fleet.Size(3, 12))
    store = Store()
    run(fleet, register_all(fleet, store))
    store.old = dict(store.found)
    fleet.seeds = ()
    newcomer = fleet.start(40, "dc-b", knows_all=False)
    entry = registration.Registration(
        newcomer.state,
        newcomer.view,
        newcomer.gossip,
        store,  # type: ignore[arg-type]
    )
    step([entry])
    fleet.run(1_000)
    assert newcomer.view.role is tiers.Role.MEMBER


def test_a_failed_list_is_retried():
    fleet = gossip_fleet.GossipFleet(gossip_fleet.Size(1, 1))
    store = Store(down=True)
    entries = register_all(fleet, store)
    with pytest.raises(errors.PlatformUnavailable):
        asyncio.run(entries[0].step())
    store.down = False
    step(entries)
    assert store.lists == 1


def test_a_record_that_the_store_lost_is_written_again():
    async def run() -> None:
        store = store_replay.CountedStore()
        replay = store_replay.StoreReplay(gossip_fleet.Size(3, 3), store)
        try:
            backup = store.back_up()
            await replay.run(4_000)
            written = set(store.kept)
            assert len([name for kind, name in written if kind == node_record.KIND]) == 9
            store.restore(backup)
            await replay.run(2_000)
            assert written <= set(store.kept)
        finally:
            replay.stop()

    virtual_time.run(run())
