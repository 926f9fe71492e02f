"""Bytes that are no answer: none of them reaches a caller as one, and none is read without end."""

import asyncio

import pytest

from plumarch.core import answer_limits
from plumarch.gateway import relay_test
from plumarch.standins import scripted_endpoint as scripted

STATUSES = ("000", "099", "199", "600", "601", "999", "20", "2000", "+20", "20x", "-12", "")
ROUTES = ("/safe/", "/unsafe/", "/chat/")
PIECE = b"x" * 4_000


class Flood:
    """An endpoint that sends bytes until its connection is closed.

    Attributes:
      sent: number of bytes sent, without what the kernel still holds.
    """

    def __init__(self, head: bytes, piece: bytes) -> None:
        self.head = head
        self.piece = piece
        self.sent = 0
        self.ended = asyncio.Event()

    async def answer(self, request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        request_id = f"x-request-id: {request.headers['x-request-id']}\r\n".encode()
        writer.write(self.head.replace(b"ID\r\n", request_id))
        try:
            while not writer.transport.is_closing():
                writer.write(self.piece)
                self.sent += len(self.piece)
                await writer.drain()
        finally:
            self.ended.set()


OK = b"HTTP/1.1 200 OK\r\nID\r\nx-signature: signed\r\n"
CHUNKED = OK + b"transfer-encoding: chunked\r\n"
EVENTS = CHUNKED + b"content-type: text/event-stream\r\n\r\n"
FLOODS = {
    "no HTTP at all": (b"", PIECE),
    "a reason phrase": (b"HTTP/1.1 200 ", PIECE),
    "headers": (OK, b"x-more: 1\r\n" * 300),
    "one header": (OK + b"x-more: ", PIECE),
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" * 100),
    "continuations": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "a chunk's size": (CHUNKED + b"\r\n", b"0" * 4_000),
    "a chunk's extension": (CHUNKED + b"\r\n5;", PIECE),
    "trailers": (CHUNKED + b"\r\n0\r\n", b"x-more: 1\r\n" * 300),
    "chunks": (CHUNKED + b"\r\n", scripted.chunk(PIECE * 16)),
    "a body without a length": (OK + b"\r\n", PIECE * 16),
    "one event": (EVENTS, scripted.chunk(PIECE)),
    "lines of one event": (EVENTS, scripted.chunk(b"data: x\n" * 500)),
}
BOUND_BYTES = answer_limits.MAX_BODY_BYTES + 4 * 1024 * 1024
"""What an endpoint can send before its connection is closed, with what the kernel holds."""


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("path", ROUTES)
def test_a_status_that_is_none_of_http_is_not_handed_to_the_caller(path: str, status: str):
    """Statuses from 600 to 999 were handed on as the endpoint's answer."""

    async def test() -> None:
        answering = relay_test.answers(f"{status} Odd")
        async with relay_test.Gateway(answering) as gateway:
            found = await gateway.ask(path)
            assert found.status == 502
            assert "x-signature" not in found.headers

    relay_test.play(test)


@pytest.mark.parametrize("status", ["000", "600", "999"])
def test_a_repeatable_request_goes_to_another_endpoint_after_an_invalid_status(status: str):
    async def test() -> None:
        odd = relay_test.answers(f"{status} Odd")
        async with relay_test.Gateway(odd, relay_test.answers()) as gateway:
            found = await gateway.ask("/safe/")
            assert (found.status, found.body) == (200, b"whole")

    relay_test.play(test)


@pytest.mark.parametrize("status", [200, 204, 301, 404, 451, 500, 599])
def test_an_endpoints_valid_status_is_handed_to_the_caller(status: int):
    async def test() -> None:
        body = b"" if status == 204 else b"body"
        answering = relay_test.answers(f"{status} Some", body=body)
        async with relay_test.Gateway(answering) as gateway:
            assert (await gateway.ask("/unsafe/")).status == status

    relay_test.play(test)


@pytest.mark.parametrize("kind", FLOODS)
@pytest.mark.parametrize("path", ["/unsafe/", "/chat/"])
def test_an_answer_without_end_is_given_up_after_a_bounded_number_of_bytes(path: str, kind: str):
    """Interim answers without end were read until the request's deadline."""

    async def test() -> None:
        flood = Flood(*FLOODS[kind])
        async with relay_test.Gateway(flood.answer) as gateway:
            reader, writer = await gateway.connect()
            writer.write(relay_test.request_bytes(path))
            await flood.ended.wait()
            head = await reader.read(64)
            assert not head or int(head.split()[1]) == 502
            writer.close()
            assert flood.sent <= BOUND_BYTES

    relay_test.play(test)
