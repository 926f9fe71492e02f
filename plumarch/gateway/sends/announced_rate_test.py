"""Endpoints that announce how many requests a second they take from all nodes together.

Two of six engines announced one request a second. Six of eight nodes received such an answer within
2.5 s and went on to send as before: 16 requests reached one of the engines in 4 s, where one and a
half times the announced rate and five more are 11. The header was read by nobody, and a
node's choice knew only its own sends and the loads of others, by which such an engine is idle. What
settled it were the lines of one node, whose own first send was answered with the rate:

    8.36 sent endpoint=i-e6 attempt=1 candidates=6 cost=375
    8.87 sent endpoint=i-e6 attempt=1 candidates=6 cost=1473
    9.97 sent endpoint=i-e6 attempt=1 candidates=6 cost=241
    12.49 sent endpoint=i-e6 attempt=1 candidates=6 cost=110
    12.69 sent endpoint=i-e6 attempt=1 candidates=6 cost=315

All are first attempts of requests that had just come, among six engines of which four had room.
Each node sent four of them at the most in any 4 s: only the sum is too high.
"""

import asyncio
import dataclasses

from plumarch.config import routing_table
from plumarch.core import traffic
from plumarch.gateway import relay, relay_test
from plumarch.gateway.sends import attempts
from plumarch.standins import gossip_fleet
from plumarch.standins import scripted_endpoint as scripted

RATE_PER_S = 1.0
WINDOW_MS = 4_000
KNOWN_AFTER_MS = 500
"""A node is held to a rate from this long after it passed on an answer that announces it."""

ROUND_TRIP_MS = 10
"""Virtual time that passes while a request is served, for what nodes send each other meanwhile."""

TABLE = routing_table.build(
    routing_table.Configuration(
        version=2,
        routes=relay_test.TABLE.configuration.routes,
        services=relay_test.TABLE.configuration.services,
        workspaces=relay_test.TABLE.configuration.workspaces,
        limits=relay_test.TABLE.configuration.limits,
    )
)


def allowed(rate_per_s: float) -> float:
    """Return how many requests an endpoint may get in a window."""
    return 1.5 * rate_per_s * WINDOW_MS / 1000.0 + 5


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached an endpoint, and whether its node knew the rate for long enough."""

    at_ms: int
    node: str
    counts: bool


class Fleet:
    """Nodes that exchange datagrams on virtual time, before two endpoints on loopback."""

    def __init__(self, counts: tuple[int, ...], announced: str) -> None:
        self.gossip = gossip_fleet.GossipFleet(gossip_fleet.Size(len(counts), 0, counts=counts))
        self.announced = announced
        self.endpoints: list[scripted.ScriptedEndpoint] = []
        self.listeners: list[asyncio.Server] = []
        self.relays: list[relay.caller_connection.CallerServer] = []
        self.ports: dict[str, int] = {}
        self.arrivals: list[Arrival] = []
        self.received_ms: dict[str, int] = {}
        self.node = ""

    async def __aenter__(self) -> "Fleet":
        self.connect_ms = attempts.CONNECT_TIMEOUT_MS
        attempts.CONNECT_TIMEOUT_MS = relay_test.LONG_MS
        self.gossip.run(3_000)
        found = []
        for number, answering in enumerate([self.limited, relay_test.answers()]):
            endpoint = await scripted.ScriptedEndpoint(answering).start()
            self.endpoints.append(endpoint)
            ready = traffic.EndpointState.READY
            found.append(traffic.Endpoint(f"e{number}", "s", endpoint.address, "dc-a", 8, ready))
        loop = asyncio.get_running_loop()
        for node in self.gossip.live():
            node.state.registry.replace(found, 1, "store")
            node.state.adopt_table(TABLE, "store")
            callers = relay.new_server(node.state)
            self.relays.append(callers)
            listener = await loop.create_server(callers.connection, "127.0.0.1", 0)
            self.listeners.append(listener)
            self.ports[node.name] = listener.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        attempts.CONNECT_TIMEOUT_MS = self.connect_ms
        for listener in self.listeners:
            listener.close()
        for callers in self.relays:
            callers.close_all()
        for endpoint in self.endpoints:
            await endpoint.stop()
        await asyncio.sleep(0)

    async def limited(
        self, request: scripted.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Answer as the endpoint that announces a rate."""
        now = self.gossip.time.now()
        known = self.received_ms.setdefault(self.node, now) if self.announced else now
        self.arrivals.append(Arrival(now, self.node, now - known >= KNOWN_AFTER_MS))
        headers = (f"x-requests-per-second: {self.announced}",) if self.announced else ()
        writer.write(scripted.answer(request, headers=headers))

    async def ask(self, node: str) -> int:
        """Return the status of the answer to a request to a node."""
        self.node = node
        asked = asyncio.create_task(self._ask(self.ports[node]))
        passed = 0
        while not asked.done():
            await asyncio.sleep(0.001)
            if passed < ROUND_TRIP_MS:
                passed += 1
                self.gossip.run(1)
        return await asked

    async def _ask(self, port: int) -> int:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(relay_test.request_bytes("/safe/x"))
        found = await relay_test.read_answer(reader)
        writer.close()
        return found.status

    async def serve(self, per_s: float, for_ms: int) -> list[int]:
        """Return the statuses of requests that come at an even rate to all nodes in turn."""
        gap_ms = 1000.0 / per_s
        start_ms = self.gossip.time.now()
        names = sorted(self.ports)
        found = []
        for number in range(int(for_ms / gap_ms)):
            self.gossip.run(max(0.0, start_ms + number * gap_ms - self.gossip.time.now()))
            found.append(await self.ask(names[number % len(names)]))
        return found

    def most_in_a_window(self) -> int:
        """Return the most arrivals in a window from nodes that are held to the rate."""
        at = [one.at_ms for one in self.arrivals if one.counts]
        return max((sum(first <= one < first + WINDOW_MS for one in at) for first in at), default=0)


def test_all_nodes_together_keep_to_the_rate():
    async def test() -> None:
        async with Fleet((3, 3, 2), str(RATE_PER_S)) as fleet:
            statuses = await fleet.serve(16.0, 10_000)
            assert set(statuses) == {200}
            assert fleet.most_in_a_window() <= allowed(RATE_PER_S)

    asyncio.run(asyncio.wait_for(test(), 60))
