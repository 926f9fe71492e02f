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
Each node sent four of them at the most in any 4 s, so a limit that each node kept by itself would
not have helped: a rate that holds for all together has to be divided among those with demand.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

from plumarch.config import routing_table
from plumarch.core import rollouts, traffic
from plumarch.gateway import relay, relay_test
from plumarch.gateway.dispatch import announced_rates, attempts
from plumarch.standins import gossip_fleet
from plumarch.standins import scripted_endpoint as scripted

RATE_PER_S = 1.0
WINDOW_MS = 4_000
KNOWN_AFTER_MS = 500
"""A node is held to a rate from this long after it passed on an answer that announces it."""

ROUND_TRIP_MS = 20
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

    def __init__(
        self, counts: tuple[int, ...], announced: str, are_all_limited: bool = False
    ) -> None:
        self.gossip = gossip_fleet.GossipFleet(gossip_fleet.Size(len(counts), 0, counts=counts))
        self.announced = announced
        self.answering = [self.limited, self.limited if are_all_limited else relay_test.answers()]
        self.listed: list[traffic.Endpoint] = []
        self.come_back_s: list[float] = []
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
        self.answer_ms = announced_rates.PERMIT_WAIT_MS
        announced_rates.PERMIT_WAIT_MS = relay_test.LONG_MS
        self.gossip.run(3_000)
        for number, answering in enumerate(self.answering):
            endpoint = await scripted.ScriptedEndpoint(answering).start()
            self.endpoints.append(endpoint)
            ready = traffic.EndpointState.READY
            self.listed.append(
                traffic.Endpoint(f"e{number}", "s", endpoint.address, "dc-a", 8, ready)
            )
        loop = asyncio.get_running_loop()
        for node in self.gossip.live():
            node.state.registry.replace(self.listed, 1, "store")
            node.state.adopt_table(TABLE, "store")
            callers = relay.new_server(node.state)
            self.relays.append(callers)
            listener = await loop.create_server(callers.connection, "127.0.0.1", 0)
            self.listeners.append(listener)
            self.ports[node.name] = listener.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        attempts.CONNECT_TIMEOUT_MS = self.connect_ms
        announced_rates.PERMIT_WAIT_MS = self.answer_ms
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
        if "retry-after" in found.headers:
            self.come_back_s.append(float(found.headers["retry-after"]))
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


def play(test: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), 60))


def test_all_nodes_together_keep_to_the_rate():
    async def test() -> None:
        async with Fleet((3, 3, 2), str(RATE_PER_S)) as fleet:
            statuses = await fleet.serve(16.0, 10_000)
            assert set(statuses) == {200}
            assert fleet.most_in_a_window() <= allowed(RATE_PER_S)

    play(test)


def test_one_node_alone_keeps_to_the_rate():
    async def test() -> None:
        async with Fleet((1,), str(RATE_PER_S)) as fleet:
            statuses = await fleet.serve(8.0, 10_000)
            assert set(statuses) == {200}
            assert fleet.most_in_a_window() <= allowed(RATE_PER_S)

    play(test)


def test_nodes_that_no_answer_came_to_are_told_of_the_rate():
    async def test() -> None:
        async with Fleet((3, 3, 2), "0.25") as fleet:
            await fleet.ask("dc-a-0")
            while not fleet.arrivals:
                await fleet.ask("dc-a-0")
            fleet.gossip.run(ROUND_TRIP_MS)
            rates = [node.state.permits.lasting(fleet.listed) for node in fleet.gossip.live()]
            assert rates == [{"e0": 0.25}] * 8

    play(test)


def test_where_all_announce_a_rate_it_is_used_and_others_are_told_when_to_come_back():
    async def test() -> None:
        async with Fleet((3, 3, 2), "2", are_all_limited=True) as fleet:
            await fleet.serve(16.0, 3_000)
            before = len(fleet.arrivals)
            statuses = await fleet.serve(16.0, 10_000)
            assert set(statuses) == {200, 503}
            assert 0.8 * 2 * 2.0 * 10 <= statuses.count(200) <= 1.1 * 2 * 2.0 * 10
            assert len(fleet.arrivals) - before == statuses.count(200)
            # Each of the two endpoints takes a request in half a second, and eight nodes compete.
            assert all(0.05 <= seconds <= 6.5 for seconds in fleet.come_back_s)

    play(test)


def test_a_limit_that_is_over_ends_for_all_nodes_at_once():
    async def test() -> None:
        async with Fleet((3, 3, 2), "1") as fleet:
            await fleet.serve(16.0, 2_000)
            fleet.announced = ""
            while any(node.state.permits.lasting(fleet.listed) for node in fleet.gossip.live()):
                await fleet.serve(16.0, 250)
                assert fleet.gossip.time.now() < gossip_fleet.START_MS + 12_000
            before = len(fleet.arrivals)
            await fleet.serve(16.0, 4_000)
            assert len(fleet.arrivals) - before >= 16

    play(test)


def test_what_is_no_rate_neither_sets_a_limit_nor_ends_one():
    async def test() -> None:
        async with Fleet((1,), "-1") as fleet:
            await fleet.serve(16.0, 1_000)
            [node] = fleet.gossip.live()
            assert node.state.permits.lasting(fleet.listed) == {}
            fleet.announced = "1"
            await fleet.serve(16.0, 1_000)
            fleet.announced = "soon"
            await fleet.serve(16.0, 4_000)
            assert node.state.permits.lasting(fleet.listed) == {"e0": 1.0}

    play(test)


def test_of_many_that_connect_when_the_rate_is_announced_only_the_first_is_sent():
    async def test() -> None:
        headers = ("x-requests-per-second: 0.5",)
        stays = relay_test.answers()
        async with relay_test.Gateway(relay_test.answers(headers=headers), stays) as gateway:
            answered = asyncio.Event()
            with gateway.holding_connects(answered):
                asked = [asyncio.create_task(gateway.ask("/safe/x")) for _ in range(6)]
                await asyncio.wait(asked, return_when=asyncio.FIRST_COMPLETED)
                answered.set()
                assert [(await one).status for one in asked] == [200] * 6
            assert [len(one.received) for one in gateway.endpoints] == [1, 5]

    play(test)


def test_a_new_version_that_announces_a_rate_leaves_the_rest_to_the_old_one():
    async def test() -> None:
        headers = ("x-requests-per-second: 0.5",)
        limited, stays = relay_test.answers(headers=headers), relay_test.answers()
        async with relay_test.Gateway(limited, stays) as gateway:
            endpoints = gateway.state.registry.endpoints
            for name, version in (("e0", "v2"), ("e1", "v1")):
                endpoints[name] = dataclasses.replace(endpoints[name], version=version)
            running = rollouts.RolloutState.RUNNING
            whole = rollouts.VersionSplit("s", "v2", running, 1.0, 1, 1, False)
            assert gateway.state.adopt_split(whole)
            answers = [await gateway.ask("/safe/x") for _ in range(6)]
            assert [one.status for one in answers] == [200] * 6
            assert [len(one.received) for one in gateway.endpoints] == [1, 5]

    play(test)
