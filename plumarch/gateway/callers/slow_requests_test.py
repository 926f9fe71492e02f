"""Requests that arrive slowly or never end, and endpoints that don't read them."""

import asyncio
import dataclasses
import socket

import pytest

from plumarch.core import traffic
from plumarch.gateway import errors, relay_test
from plumarch.gateway.callers import incoming_body
from plumarch.gateway.connections import exchange
from plumarch.limits import memory_account
from plumarch.standins import scripted_endpoint as scripted

LIMITS = traffic.CallerLimits(body_bytes=5_000, idle_timeout_ms=100.0)


def head(*lines: str) -> bytes:
    first = ["POST /unsafe/ HTTP/1.1", "Host: h.example", "Authorization: Bearer key", *lines]
    return ("\r\n".join(first) + "\r\n\r\n").encode()


async def send_and_read(gateway: relay_test.Gateway, *parts: bytes) -> relay_test.Answer:
    """Send bytes, keep the connection open and return the answer."""
    reader, writer = await gateway.connect()
    for part in parts:
        writer.write(part)
        await writer.drain()
    found = await relay_test.read_answer(reader)
    writer.close()
    return found


def nothing_reserved(gateway: relay_test.Gateway) -> bool:
    return gateway.state.memory.total() == 0


async def until_nothing_reserved(gateway: relay_test.Gateway) -> None:
    while not nothing_reserved(gateway):
        await asyncio.sleep(0.001)


# Slow bodies


def new_body(budget: int = 120_000) -> incoming_body.IncomingBody:
    body = incoming_body.IncomingBody(memory_account.MemoryAccount(budget), "c")
    body.begin(LIMITS, 1_000, 1_500.0)
    return body


def test_a_body_that_trickles_is_accepted_until_the_requests_deadline():
    body = new_body()
    for now in range(1_000, 1_500, 90):
        body.note_received(now)
        assert body.add(b"x") == 0
        assert not body.timed_out(now + 89) or now + 89 >= 1_500
    assert not body.timed_out(1_499)
    assert body.timed_out(1_500)


def test_a_body_that_stops_times_out_after_the_idle_timeout():
    body = new_body()
    body.note_received(1_010)
    assert body.next_check_ms(1_010) == 100
    assert not body.timed_out(1_109)
    assert body.timed_out(1_110)


def test_memory_of_a_body_is_reserved_until_its_request_is_answered():
    body = new_body()
    assert body.add(b"x" * 5_000) == 0
    assert body.add(b"x") == incoming_body.TOO_LARGE
    assert body.complete() == b"x" * 5_000
    reserved = body.memory.held
    assert reserved[memory_account.Purpose.KEPT_BODIES] == 5_000
    body.end()
    assert body.memory.total() == 0
    assert body.memory.by_connection == {}


def test_a_body_over_the_memory_budget_is_refused():
    assert new_body(budget=60).add(b"x" * 11) == incoming_body.NO_MEMORY


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        ([head("Content-Length: 50"), b"half"], 408),
        ([head("Content-Length: 50", "X-Deadline-Ms: 5"), b"half"], 408),
        ([head("Content-Length: 5001")], 413),
        ([head("Transfer-Encoding: chunked"), scripted.chunk(b"x" * 3_000), b"bb9\r\n"], 408),
        ([head("Transfer-Encoding: chunked"), *[scripted.chunk(b"x" * 1_000)] * 6], 413),
    ],
    ids=["stops", "late", "declared", "chunk stops", "never ends"],
)
def test_an_incomplete_or_oversized_body_is_refused_and_not_sent_to_an_endpoint(
    sent: list[bytes], status: int
):
    async def test() -> None:
        async with relay_test.Gateway(relay_test.answers()) as gateway:
            gateway.callers.limits = LIMITS
            found = await send_and_read(gateway, *sent)
            assert (found.status, gateway.sends()) == (status, 0)
            await until_nothing_reserved(gateway)

    relay_test.play(test)


def test_a_refusal_for_lack_of_memory_has_a_retry_after_header():
    async def test() -> None:
        async with relay_test.Gateway(relay_test.answers()) as gateway:
            gateway.state.memory.budget = 6_000
            found = await send_and_read(gateway, head("Content-Length: 4000"), b"x" * 4_000)
            assert (found.status, gateway.sends()) == (503, 0)
            assert float(found.headers["retry-after"]) > 0
            await until_nothing_reserved(gateway)

    relay_test.play(test)


def test_pipelined_requests_are_all_answered():
    async def test() -> None:
        async with relay_test.Gateway(relay_test.answers(body=b"one")) as gateway:
            reader, writer = await gateway.connect()
            request = relay_test.request_bytes("/safe/", body=b"a body")
            writer.write(request * 3 + request[:30])
            for _ in range(3):
                assert (await relay_test.read_answer(reader)).body == b"one"
            writer.write(request[30:])
            assert (await relay_test.read_answer(reader)).body == b"one"
            assert [one.body for one in gateway.endpoints[0].received] == [b"a body"] * 4
            writer.close()
            await until_nothing_reserved(gateway)

    relay_test.play(test)


# Near the memory budget


def test_near_the_memory_budget_the_least_urgent_requests_are_refused_first():
    async def test() -> None:
        async with relay_test.Gateway(relay_test.answers()) as gateway:
            memory = gateway.state.memory
            reservations = [
                memory_account.Reservation(number, "", memory_account.Purpose.KEPT_BODIES)
                for number in range(10)
            ]
            for reservation in reservations:
                assert memory.resize(reservation, round(memory.budget * 0.08))
            table = gateway.state.table
            assert table is not None
            routes = {one.name: one for one in table.configuration.routes}
            later = dataclasses.replace(routes["safe"], name="l", path_prefix="/later/", priority=2)
            space = dataclasses.replace(table.workspaces["w"], priority=2)
            configuration = dataclasses.replace(
                table.configuration,
                version=2,
                routes=(routes["open"], routes["safe"], later),
                workspaces=(space,),
            )
            gateway.state.adopt_table(relay_test.routing_table.build(configuration), "store")
            assert (await gateway.ask("/open/")).status == 200
            found = await gateway.ask("/later/")
            assert (found.status, gateway.sends()) == (503, 1)
            assert float(found.headers["retry-after"]) > 0
            assert memory.resize(reservations[0], round(memory.budget * 0.16))
            assert memory.resize(reservations[1], round(memory.budget * 0.16))
            assert (await gateway.ask("/open/")).status == 503
            for reservation in reservations:
                memory.resize(reservation, 0)
            assert (await gateway.ask("/later/")).status == 200

    relay_test.play(test)


def test_a_workspace_over_its_memory_limit_is_refused():
    async def test() -> None:
        async with relay_test.Gateway(relay_test.answers()) as gateway:
            memory = gateway.state.memory
            reservations = [
                memory_account.Reservation(number, "w", memory_account.Purpose.UNREAD_ANSWERS)
                for number in range(4)
            ]
            for reservation in reservations:
                assert memory.resize(reservation, memory.budget // 8)
            found = await gateway.ask("/safe/", body=b"a body")
            assert (found.status, gateway.sends()) == (503, 0)
            assert (await gateway.ask("/open/", key="", body=b"a body")).status == 200

    relay_test.play(test)


def test_without_memory_to_send_a_request_no_further_endpoint_is_tried():
    async def test() -> None:
        answering = [relay_test.answers() for _ in range(3)]
        async with relay_test.Gateway(*answering) as gateway:
            memory = gateway.state.memory
            memory.budget = 30_000
            # The workspace's memory limit allows the body, but not its send buffer as well.
            for number in range(3):
                other = memory_account.Reservation(
                    number, "w", memory_account.Purpose.UNREAD_ANSWERS
                )
                assert memory.resize(other, 2_600)
            found = await gateway.ask("/safe/", body=b"x" * 4_000)
            assert (found.status, found.body, gateway.sends()) == (503, b"memory\n", 0)
            assert float(found.headers["retry-after"]) > 0.0
            assert bytes(gateway.state.log.pending).count(b'"kind":"sent"') == 1
            assert gateway.state.chooser.own == {}

    relay_test.play(test)


# Endpoints that don't read


def non_reading_endpoint() -> socket.socket:
    """Return a listening socket that is never read."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    sock.bind(("127.0.0.1", 0))
    sock.listen()
    return sock


def test_a_request_that_an_endpoint_stops_reading_fails_with_unknown_outcome(
    monkeypatch: pytest.MonkeyPatch,
):
    monkeypatch.setattr(exchange, "REQUEST_STALL_MS", 50.0)

    async def test() -> None:
        unread_socket = non_reading_endpoint()
        async with relay_test.Gateway(relay_test.answers()) as gateway:
            endpoints = gateway.state.registry.endpoints
            address = f"127.0.0.1:{unread_socket.getsockname()[1]}"
            endpoints["e0"] = dataclasses.replace(endpoints["e0"], address=address)
            gateway.callers.limits = traffic.CallerLimits()
            body = b"x" * traffic.CallerLimits().body_bytes
            found = await gateway.ask("/unsafe/", body=body)
            assert (found.status, "retry-after" in found.headers) == (502, False)
            await until_nothing_reserved(gateway)
        unread_socket.close()

    relay_test.play(test)


class FullTransport(asyncio.Transport):
    """A transport whose socket accepts no byte."""

    def __init__(self) -> None:
        super().__init__()
        self.waiting = 0
        self.aborted = False

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        return

    def get_write_buffer_size(self) -> int:
        return self.waiting

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.waiting += len(data)

    def is_closing(self) -> bool:
        return self.aborted

    def resume_reading(self) -> None:
        return

    def abort(self) -> None:
        self.aborted = True


@pytest.mark.parametrize(
    ("accepted", "expected"), [(0, errors.NotDispatched), (1, errors.ConnectionBroken)]
)
def test_a_stalled_request_counts_as_not_dispatched_only_if_no_byte_was_accepted(
    accepted: int, expected: type[Exception], monkeypatch: pytest.MonkeyPatch
):
    monkeypatch.setattr(exchange, "REQUEST_STALL_MS", 5.0)

    async def test() -> None:
        opened = exchange.Exchange()
        transport = FullTransport()
        opened.connection_made(transport)
        memory = memory_account.MemoryAccount(120_000)
        opened.send(b"POST", b"/", [(b"host", b"h"), (b"content-length", b"1")], b"x", memory)
        transport.waiting -= accepted
        with pytest.raises(expected):
            await opened.next()
        assert transport.aborted
        opened.connection_lost(None)
        assert memory.total() == 0

    relay_test.play(test)


def test_a_request_over_the_memory_budget_is_not_sent():
    async def test() -> None:
        opened = exchange.Exchange()
        transport = FullTransport()
        opened.connection_made(transport)
        headers = [(b"host", b"h"), (b"content-length", b"100")]
        with pytest.raises(errors.ConnectFailed):
            opened.send(b"POST", b"/", headers, b"x" * 100, memory_account.MemoryAccount(120), "w")
        assert transport.waiting == 0

    relay_test.play(test)
