"""Every table and queue has a limit: past it a clear refusal, and nothing accepted is lost."""

import asyncio

import pytest

from plumarch.core import data, errors, events, messages
from plumarch.limits import fair_queue
from plumarch.node import followers, runs
from plumarch.peers import frames, wire
from plumarch.proof import invariants
from plumarch.recovery import copies, keys, ledger
from plumarch.routing import placement
from plumarch.standins import virtual

NODES = {"a1": "a", "b1": "b", "c1": "c"}
LIMIT = 4


def calls(
    world: virtual.World, count: int, request_class: data.RequestClass, keyed: bool = True
) -> list[invariants.CallerView]:
    found = []
    for number in range(count):
        key = f"k{number}" if keyed else ""
        found.append(world.call("a1", virtual.request(world, "a1", request_class, key)))
    return found


def outcomes(callers: list[invariants.CallerView]) -> list[str]:
    return [str(caller.ends[0]) if caller.ends else "pending" for caller in callers]


def settle(world: virtual.World, callers: list[invariants.CallerView]) -> None:
    """Let everything end; whatever was accepted is done."""
    world.run(60_000)
    assert invariants.violations(world.journal) == []
    assert all(len(caller.ends) == 1 for caller in callers)
    for caller in callers:
        if caller.accepted:
            assert caller.ends == [data.Outcome.DONE]


def test_requests_in_progress(monkeypatch: pytest.MonkeyPatch) -> None:
    world = virtual.build(NODES)
    monkeypatch.setattr(runs, "RUNS_LIMIT", LIMIT)
    callers = calls(world, 10, data.RequestClass.CHAT, keyed=False)
    settle(world, callers)
    assert outcomes(callers).count("not_run") == 6
    assert all(c.reasons in ([""], ["run_table_full"]) for c in callers)


def test_a_line_of_waiting_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    world = virtual.build(NODES, engines_each=1)
    monkeypatch.setattr(fair_queue, "LINE_LIMIT", LIMIT)
    callers = calls(world, 60, data.RequestClass.CHAT, keyed=False)
    settle(world, callers)
    assert outcomes(callers).count("not_run") > 0
    assert {r for c in callers for r in c.reasons} == {"", "queue_full"}


def test_records_of_a_slot(monkeypatch: pytest.MonkeyPatch) -> None:
    world = virtual.build(NODES)
    monkeypatch.setattr(keys, "TABLE_LIMIT", 0)
    own = world.call("a1", virtual.request(world, "a1", data.RequestClass.LOOKUP, repeatable=False))
    chosen = world.call(
        "a1", virtual.request(world, "a1", data.RequestClass.LOOKUP, "k", repeatable=False)
    )
    world.run(5_000)
    assert (own.ends, own.reasons) == ([data.Outcome.NOT_RUN], ["key_table_full"])
    assert chosen.ends == [data.Outcome.UNKNOWN]
    assert world.journal.executions == []


def test_records_expire_by_age_and_not_before() -> None:
    table = keys.Table()
    for number in range(3):
        record = data.KeyRecord("w", str(number), "r", "a1#1", 1, data.KeyState.DONE)
        table.put(record, number)
    assert table.expire(keys.RETENTION_MS) == 0
    assert table.expire(keys.RETENTION_MS + 2) == 2
    assert [record.key for record in table.listing()] == ["2"]


def test_a_long_reply_is_not_kept_but_its_key_is() -> None:
    table = keys.Table()
    reply = data.Reply(body=b"x" * (keys.REPLY_LIMIT + 1))
    record = data.KeyRecord("w", "k", "r", "a1#1", 1, data.KeyState.DONE, reply=reply)
    kept = table.put(record, 0)
    assert (kept.reply, kept.state) == (None, data.KeyState.DONE)


def test_copies(monkeypatch: pytest.MonkeyPatch) -> None:
    world = virtual.build(NODES)
    monkeypatch.setattr(copies, "COPY_LIMIT", LIMIT)
    callers = calls(world, 20, data.RequestClass.REVIEW)
    world.run(1_000)
    assert all(len(host.node.copies.held) <= LIMIT for host in world.hosts.values())
    assert sum(1 for c in callers if c.weakened) > 0
    settle(world, callers)


def test_copies_by_bytes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(copies, "COPY_BYTES_LIMIT", 10)
    world = virtual.build({"a1": "a"})
    held = world.hosts["a1"].node.copies
    for number in range(3):
        request = data.Request(
            str(number), "w", "t", data.EndpointKind.ENGINE, data.RequestClass.REVIEW, b"x" * 5
        )
        held.put("b1#1", messages.CopyPut(request, 1))
    assert len(held.held) == 2
    held.drop("0")
    held.drop("0")
    assert held.bytes == 5


def test_callers_followed_to_other_nodes(monkeypatch: pytest.MonkeyPatch) -> None:
    world = virtual.build(NODES)
    monkeypatch.setattr(followers, "FOLLOW_LIMIT", 1)
    first = world.call("a1", virtual.request(world, "a1", data.RequestClass.CHAT, "k"))
    world.run(200)
    readers = [world.reattach("b1", first) for _ in range(3)]
    world.run(5_000)
    assert outcomes(readers) == ["done", "unknown", "unknown"]
    assert invariants.violations(world.journal) == []


def test_ended_requests_are_forgotten_oldest_first(monkeypatch: pytest.MonkeyPatch) -> None:
    world = virtual.build(NODES)
    monkeypatch.setattr(runs, "ENDED_LIMIT", LIMIT)
    calls(world, 10, data.RequestClass.LOOKUP, keyed=False)
    world.run(2_000)
    table = world.hosts["a1"].node.table
    assert len(table.ended) == LIMIT
    assert table.ended_bytes == 4 * len(b"a1#1/9")


def test_operations_of_a_slot(monkeypatch: pytest.MonkeyPatch) -> None:
    world = virtual.build(NODES)
    monkeypatch.setattr(ledger, "OPERATIONS_LIMIT", 0)
    caller = world.call(
        "a1", virtual.request(world, "a1", data.RequestClass.LOOKUP, repeatable=False)
    )
    world.run(1_000)
    assert caller.ends == [data.Outcome.NOT_RUN]


def test_records_stored_in_a_slots_object(monkeypatch: pytest.MonkeyPatch) -> None:
    """With no successor, permissions are written to the object: only so many at a time."""
    monkeypatch.setattr(ledger, "STORED_LIMIT", LIMIT)
    world = virtual.build({"a1": "a"})
    callers = calls(world, 400, data.RequestClass.LOOKUP)
    world.run(5_000)
    for host in world.hosts.values():
        for slot in host.node.ledger.owned.values():
            assert len(slot.object_records) <= LIMIT
    assert all(caller.ends for caller in callers)
    assert invariants.violations(world.journal) == []


def test_prefixes_remembered(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(placement, "CACHE_ENTRIES", 2)
    monkeypatch.setattr(placement, "PREFIXES_LIMIT", 3)
    world = virtual.build(NODES)
    places = world.hosts["a1"].node.placement
    for prefix in range(1, 10):
        places.started("a-engine-0", prefix)
    assert list(places.stats["a-engine-0"].cached) == [8, 9]
    assert list(places.by_prefix) == [7, 8, 9]


def test_frames_between_nodes() -> None:
    async def read() -> None:
        reader = asyncio.StreamReader()
        reader.feed_data(frames.HEAD.pack(wire.FRAME_LIMIT + 1))
        with pytest.raises(errors.PeerProtocolError, match="over the limit"):
            await frames.read(reader, wire.FRAME_LIMIT)

    asyncio.run(read())


def test_messages_waiting_for_a_peer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(wire, "QUEUE_LIMIT", LIMIT)

    async def send() -> list[str]:
        dropped: list[str] = []
        transport = wire.WireTransport("a1#1", b"k" * 16, lambda s, m: None, dropped.append)
        transport.add_peer("b1", "127.0.0.1:9")
        for number in range(10):
            transport.send("b1", messages.CopyDrop(str(number)))
        await transport.close()
        return dropped

    assert asyncio.run(send()) == ["queue full"] * 6


def test_a_stranger_on_the_network_gets_nothing_in() -> None:
    async def attack() -> tuple[list[str], list[str]]:
        received: list[str] = []
        dropped: list[str] = []
        server = wire.WireTransport(
            "a1#1", b"right-key-of-the-nodes", lambda s, m: received.append(s), dropped.append
        )
        port = await server.listen("127.0.0.1", 0)
        stranger = wire.WireTransport("b1#1", b"wrong", lambda s, m: None, dropped.append)
        stranger.add_peer("a1", f"127.0.0.1:{port}")
        stranger.send("a1", messages.CopyDrop("x"))
        friend = wire.WireTransport(
            "c1#1", b"right-key-of-the-nodes", lambda s, m: None, dropped.append
        )
        friend.add_peer("a1", f"127.0.0.1:{port}")
        friend.send("a1", messages.CopyDrop("x"))
        while not (received and dropped):
            await asyncio.sleep(0.01)
        for end in (server, stranger, friend):
            await end.close()
        return received, dropped

    received, dropped = asyncio.run(attack())
    assert received == ["c1#1"]
    assert "Check the key" in dropped[0]


def test_a_changed_frame_is_not_taken() -> None:
    sender = wire.Session(b"key", "a1#1")
    receiver = wire.Session(b"key", "b1#1")
    frame = bytearray(sender.seal(b"c", b"body")[frames.HEAD.size :])
    frame[-1] ^= 1
    with pytest.raises(errors.PeerProtocolError):
        receiver.open(b"c", bytes(frame))


def test_a_refused_caller_is_told_when_to_come_back() -> None:
    world = virtual.build(NODES)
    world.hosts["a1"].node.placement.update(())
    told = []

    def look(host: virtual.Host, action: events.Action) -> bool:
        if isinstance(action, events.TellEnd):
            told.append(action.retry_after_ms)
        return True

    world.interfere = look
    caller = world.call("a1", virtual.request(world, "a1", data.RequestClass.CHAT))
    assert caller.ends == [data.Outcome.NOT_RUN]
    assert told[0] > 0


def test_a_node_that_is_alone_stops_without_waiting_for_others() -> None:
    world = virtual.build({"a1": "a"})
    one = world.hosts["a1"]
    world.deliver(one, events.StopAsked())
    assert one.node.drained()
