"""Nodes that are cut off from all endpoints, over loopback."""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager

from plumarch.core import traffic
from plumarch.gateway import relay_test
from plumarch.gateway.dispatch import attempts
from plumarch.standins import cut_fleet
from plumarch.standins import scripted_endpoint as scripted

NODES = 5
CUT_NODES = 2
TIMEOUT_S = 60
DEADLINE_MS = 10_000
PATHS = ("/safe/x", "/unsafe/x", "/chat/x", "/diff/x")


async def answering(request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Answer plain requests, and stream on the other routes."""
    if request.line.split()[1].split("/")[1] in ("chat", "diff"):
        await relay_test.streams(1, 5)(request, writer)
    else:
        await relay_test.answers()(request, writer)


class Served:
    """A fleet with endpoints."""

    def __init__(self, fleet: cut_fleet.CutFleet, endpoints: list[scripted.ScriptedEndpoint]):
        self.fleet = fleet
        self.endpoints = endpoints
        self.cut_nodes = fleet.nodes[:CUT_NODES]
        self.others = fleet.nodes[CUT_NODES:]

    def cut(self, kind: cut_fleet.Cut) -> None:
        for node in self.cut_nodes:
            self.fleet.loop().cut(node.name, kind)

    async def ask(self, node: cut_fleet.Node, path: str) -> relay_test.Answer:
        reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
        request = relay_test.request_bytes(path).replace(
            f"X-Deadline-Ms: {relay_test.LONG_MS}".encode(),
            f"X-Deadline-Ms: {DEADLINE_MS}".encode(),
        )
        writer.write(request)
        found = await relay_test.read_answer(reader)
        writer.close()
        return found

    async def statuses(self, nodes: list[cut_fleet.Node], each: int) -> list[int]:
        """Return the statuses of the first attempts at some nodes, all routes in turn."""
        asked = [self.ask(node, PATHS[number % 4]) for node in nodes for number in range(each)]
        return [answer.status for answer in await asyncio.gather(*asked)]


@asynccontextmanager
async def served(*answer: scripted.Answering, nodes: int = NODES) -> AsyncIterator[Served]:
    endpoints = [await scripted.ScriptedEndpoint(one).start() for one in answer]
    listed = [
        traffic.Endpoint(f"e{number}", "s", one.address, "dc-0", 64, traffic.EndpointState.READY)
        for number, one in enumerate(endpoints)
    ]
    connect_ms, attempts.CONNECT_TIMEOUT_MS = attempts.CONNECT_TIMEOUT_MS, float(DEADLINE_MS)
    try:
        async with cut_fleet.CutFleet(nodes, listed, relay_test.TABLE) as fleet:
            yield Served(fleet, endpoints)
    finally:
        attempts.CONNECT_TIMEOUT_MS = connect_ms
        for one in endpoints:
            await one.stop()


def play(test: Callable[[], Coroutine[None, None, None]]) -> None:
    cut_fleet.run(test, TIMEOUT_S)


def test_callers_of_nodes_cut_off_from_all_endpoints_are_served():
    """Requests were refused although other nodes reached the endpoints."""

    async def test() -> None:
        for kind in cut_fleet.Cut:
            async with served(answering, answering) as fleet:
                assert set(await fleet.statuses(fleet.cut_nodes, 4)) == {200}
                fleet.cut(kind)
                assert set(await fleet.statuses(fleet.cut_nodes, 12)) == {200}, kind
                assert set(await fleet.statuses(fleet.others, 4)) == {200}

    play(test)
