"""Keep-alive options of connections to callers and endpoints."""

import asyncio
import socket

import pytest

from plumarch.core import clock
from plumarch.gateway.callers import caller_connection
from plumarch.gateway.connections import exchange, keepalive


class NoHandler:
    async def handle(self, request: object, reply: object) -> None:
        return


async def probed_on_both_sides() -> list[socket.socket]:
    server = caller_connection.CallerServer(clock.MonotonicClock(), NoHandler())
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server.connection, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    opened = await exchange.connect(f"{host}:{port}", 1_000)
    while not server.connections:
        await asyncio.sleep(0)
    accepted = next(iter(server.connections))
    found = [one.transport.get_extra_info("socket").dup() for one in (opened, accepted)]
    opened.close()
    listener.close()
    return found


@pytest.mark.parametrize(
    ("level", "option", "wanted"),
    [
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, keepalive.IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, keepalive.INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, keepalive.PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, keepalive.USER_TIMEOUT_MS),
    ],
)
def test_connections_to_endpoints_and_of_callers_are_probed(level: int, option: int, wanted: int):
    for sock in asyncio.run(probed_on_both_sides()):
        assert sock.getsockopt(level, option) == wanted
        sock.close()
