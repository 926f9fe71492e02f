"""The client of endpoints hands on no bytes that are no answer, and reads none without end."""

import asyncio

import pytest

from plumarch.core import answer_limits, data, events
from plumarch.endpoints import client
from plumarch.standins import scripted_endpoint as scripted

BOUND_BYTES = answer_limits.MAX_BODY_BYTES + 8 * 1024 * 1024
"""What an endpoint can send before its connection is closed, with what the kernel holds."""


class Endpoint:
    """An endpoint that sends a head, and then pieces until its connection is closed.

    Attributes:
      sent: number of bytes sent.
    """

    def __init__(self, head: bytes, piece: bytes = b"") -> None:
        self.head = head
        self.piece = piece
        self.sent = 0

    async def answer(self, request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(self.head)
        while self.piece and not writer.transport.is_closing():
            writer.write(self.piece)
            self.sent += len(self.piece)
            await writer.drain()


async def run(endpoint: Endpoint, kind: data.EndpointKind, repeatable: bool) -> list[object]:
    """Return what the client reports of a request."""
    server = await scripted.ScriptedEndpoint(endpoint.answer).start()
    endpoints = client.HttpEndpoints()
    seen: list[object] = []
    request = data.Request(
        "r1", "w", "m", kind, data.RequestClass.CHAT, b"{}", path="/x", repeatable=repeatable
    )
    target = data.Endpoint("e", "a", kind, f"http://{server.address}", ("m",))
    try:
        async with asyncio.timeout(20):
            await endpoints.run(events.HandOver(request, 1, target), seen.append)
    finally:
        await endpoints.close()
        await server.stop()
    return seen


SERVICE, ENGINE = data.EndpointKind.SERVICE, data.EndpointKind.ENGINE
OPEN = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n"


@pytest.mark.parametrize("repeatable", [True, False])
@pytest.mark.parametrize("status", ["000", "600", "999"])
def test_a_status_that_is_none_of_http_is_a_failure(status: str, repeatable: bool):
    head = f"HTTP/1.1 {status} Odd\r\ncontent-length: 2\r\n\r\nok".encode()
    [found] = asyncio.run(run(Endpoint(head), SERVICE, repeatable))
    assert isinstance(found, events.EndpointFailed) and found.delivered


@pytest.mark.parametrize("repeatable", [True, False])
def test_a_body_without_end_is_given_up_at_its_limit(repeatable: bool):
    endpoint = Endpoint(OPEN, b"x" * 65_536)
    [found] = asyncio.run(run(endpoint, SERVICE, repeatable))
    assert isinstance(found, events.EndpointFailed) and found.delivered
    assert endpoint.sent <= BOUND_BYTES


def test_an_event_without_end_is_given_up_at_its_limit():
    endpoint = Endpoint(OPEN, b"data: " + b"x" * 16_384)
    [found] = asyncio.run(run(endpoint, ENGINE, repeatable=True))
    assert isinstance(found, events.EndpointFailed) and found.delivered
    assert endpoint.sent <= BOUND_BYTES


@pytest.mark.parametrize("repeatable", [True, False])
def test_a_sound_answer_is_handed_on(repeatable: bool):
    head = b"HTTP/1.1 404 Gone\r\ncontent-type: text/x\r\ncontent-length: 2\r\n\r\nno"
    [found] = asyncio.run(run(Endpoint(head), SERVICE, repeatable))
    assert isinstance(found, events.EndpointDone)
    assert found.reply == data.Reply(404, "text/x", b"no")
