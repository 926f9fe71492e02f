"""Limits of tables and queues: requests beyond them are refused, accepted ones complete."""

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


def run_to_completion(world: virtual.World, callers: list[invariants.CallerView]) -> None:
    """Run until all requests end, and check that accepted ones completed."""
    world.run(60_000)
    assert invariants.violations(world.journal) == []
    assert all(len(caller.ends) == 1 for caller in callers)
    for caller in callers:
        if caller.accepted:
            assert caller.ends == [data.Outcome.DONE]


def test_requests_beyond_the_run_limit_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    world = virtual.build(NODES)
    monkeypatch.setattr(runs, "RUNS_LIMIT", LIMIT)
    callers = calls(world, 10, data.RequestClass.CHAT, keyed=False)
    run_to_completion(world, callers)
    assert outcomes(callers).count("not_run") == 6
    assert all(c.reasons in ([""], ["run_table_full"]) for c in callers)


def test_requests_beyond_the_queue_limit_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    world = virtual.build(NODES, engines_each=1)
    monkeypatch.setattr(fair_queue, "LINE_LIMIT", LIMIT)
    callers = calls(world, 60, data.RequestClass.CHAT, keyed=False)
    run_to_completion(world, callers)
    assert outcomes(callers).count("not_run") > 0
    assert {r for c in callers for r in c.reasons} == {"", "queue_full"}


def test_claims_beyond_the_table_limit_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
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


def test_records_expire_after_the_retention_time() -> None:
    table = keys.Table()
    for number in range(3):
        record = data.KeyRecord("w", str(number), "r", "a1#1", 1, data.KeyState.DONE)
        table.put(record, number)
    assert table.expire(keys.RETENTION_MS) == 0
    assert table.expire(keys.RETENTION_MS + 2) == 2
    assert [record.key for record in table.listing()] == ["2"]


def test_record_with_an_oversized_reply_is_kept_without_it() -> None:
    table = keys.Table()
    reply = data.Reply(body=b"x" * (keys.REPLY_LIMIT + 1))
    record = data.KeyRecord("w", "k", "r", "a1#1", 1, data.KeyState.DONE, reply=reply)
    kept = table.put(record, 0)
    assert (kept.reply, kept.state) == (None, data.KeyState.DONE)


def test_copies_beyond_the_limit_are_declined(monkeypatch: pytest.MonkeyPatch) -> None:
    world = virtual.build(NODES)
    monkeypatch.setattr(copies, "COPY_LIMIT", LIMIT)
    callers = calls(world, 20, data.RequestClass.REVIEW)
    world.run(1_000)
    assert all(len(host.node.copies.held) <= LIMIT for host in world.hosts.values())
    assert sum(1 for c in callers if c.weakened) > 0
    run_to_completion(world, callers)


def test_copies_are_limited_by_bytes(monkeypatch: pytest.MonkeyPatch) -> None:
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


def test_followed_callers_are_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    world = virtual.build(NODES)
    monkeypatch.setattr(followers, "FOLLOW_LIMIT", 1)
    first = world.call("a1", virtual.request(world, "a1", data.RequestClass.CHAT, "k"))
    world.run(200)
    readers = [world.reattach("b1", first) for _ in range(3)]
    world.run(5_000)
    assert outcomes(readers) == ["done", "unknown", "unknown"]
    assert invariants.violations(world.journal) == []


def test_oldest_ended_requests_are_dropped_first(monkeypatch: pytest.MonkeyPatch) -> None:
    world = virtual.build(NODES)
    monkeypatch.setattr(runs, "ENDED_LIMIT", LIMIT)
    calls(world, 10, data.RequestClass.LOOKUP, keyed=False)
    world.run(2_000)
    table = world.hosts["a1"].node.table
    assert len(table.ended) == LIMIT
    assert table.ended_bytes == 4 * len(b"a1#1/9")


def test_claims_beyond_the_operations_limit_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    world = virtual.build(NODES)
    monkeypatch.setattr(ledger, "OPERATIONS_LIMIT", 0)
    caller = world.call(
        "a1", virtual.request(world, "a1", data.RequestClass.LOOKUP, repeatable=False)
    )
    world.run(1_000)
    assert caller.ends == [data.Outcome.NOT_RUN]


def test_records_in_a_slot_object_are_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without a successor, all permissions are written to the slot's object."""
    monkeypatch.setattr(ledger, "STORED_LIMIT", LIMIT)
    world = virtual.build({"a1": "a"})
    callers = calls(world, 400, data.RequestClass.LOOKUP)
    world.run(5_000)
    for host in world.hosts.values():
        for slot in host.node.ledger.owned.values():
            assert len(slot.object_records) <= LIMIT
    assert all(caller.ends for caller in callers)
    assert invariants.violations(world.journal) == []


def test_cached_prefixes_are_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(placement, "CACHE_ENTRIES", 2)
    monkeypatch.setattr(placement, "PREFIXES_LIMIT", 3)
    world = virtual.build(NODES)
    placer = world.hosts["a1"].node.placement
    for prefix in range(1, 10):
        placer.started("a-engine-0", prefix)
    assert list(placer.stats["a-engine-0"].cached) == [8, 9]
    assert list(placer.by_prefix) == [7, 8, 9]


def test_oversized_frames_are_rejected() -> None:
    async def read() -> None:
        reader = asyncio.StreamReader()
        reader.feed_data(frames.HEAD.pack(wire.FRAME_LIMIT + 1))
        with pytest.raises(errors.PeerProtocolError, match="over the limit"):
            await frames.read(reader, wire.FRAME_LIMIT)

    asyncio.run(read())


def test_messages_beyond_the_peer_queue_limit_are_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
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


def test_messages_with_a_wrong_key_are_rejected() -> None:
    async def attack() -> tuple[list[str], list[str]]:
        received: list[str] = []
        dropped: list[str] = []
        server = wire.WireTransport(
            "a1#1", b"right-key-of-the-nodes", lambda s, m: received.append(s), dropped.append
        )
        port = await server.listen("127.0.0.1", 0)
        intruder = wire.WireTransport("b1#1", b"wrong", lambda s, m: None, dropped.append)
        intruder.add_peer("a1", f"127.0.0.1:{port}")
        intruder.send("a1", messages.CopyDrop("x"))
        peer = wire.WireTransport(
            "c1#1", b"right-key-of-the-nodes", lambda s, m: None, dropped.append
        )
        peer.add_peer("a1", f"127.0.0.1:{port}")
        peer.send("a1", messages.CopyDrop("x"))
        while not (received and dropped):
            await asyncio.sleep(0.01)
        for transport in (server, intruder, peer):
            await transport.close()
        return received, dropped

    received, dropped = asyncio.run(attack())
    assert received == ["c1#1"]
    assert "Check the key" in dropped[0]


def test_tampered_frame_is_rejected() -> None:
    sender = wire.Session(b"key", "a1#1")
    receiver = wire.Session(b"key", "b1#1")
    frame = bytearray(sender.seal(b"c", b"body")[frames.HEAD.size :])
    frame[-1] ^= 1
    with pytest.raises(errors.PeerProtocolError):
        receiver.open(b"c", bytes(frame))


def test_refused_caller_gets_a_retry_delay() -> None:
    world = virtual.build(NODES)
    world.hosts["a1"].node.placement.update(())
    retry_delays = []

    def record_delay(host: virtual.Host, action: events.Action) -> bool:
        if isinstance(action, events.TellEnd):
            retry_delays.append(action.retry_after_ms)
        return True

    world.interfere = record_delay
    caller = world.call("a1", virtual.request(world, "a1", data.RequestClass.CHAT))
    assert caller.ends == [data.Outcome.NOT_RUN]
    assert retry_delays[0] > 0


def test_node_without_peers_stops_immediately() -> None:
    world = virtual.build({"a1": "a"})
    one = world.hosts["a1"]
    world.deliver(one, events.StopAsked())
    assert one.node.drained()
