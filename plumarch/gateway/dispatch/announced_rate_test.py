"""All nodes together keep to the request rates that endpoints announce."""

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
"""Delay after a node relayed an announced rate from which its requests count."""

ROUND_TRIP_MS = 20
"""Virtual time that passes while a request is served, for messages between nodes."""

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
    """Return the limit of requests to an endpoint in a window."""
    return 1.5 * rate_per_s * WINDOW_MS / 1000.0 + 5


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached an endpoint, and whether it counts against the rate."""

    at_ms: int
    node: str
    counts: bool


class Fleet:
    """Nodes that exchange datagrams in virtual time, with two endpoints on loopback."""

    def __init__(
        self, counts: tuple[int, ...], announced: str, are_all_limited: bool = False
    ) -> None:
        self.gossip = gossip_fleet.GossipFleet(gossip_fleet.Size(len(counts), 0, counts=counts))
        self.announced = announced
        self.answering = [self.limited, self.limited if are_all_limited else relay_test.answers()]
        self.listed: list[traffic.Endpoint] = []
        self.retry_after_s: list[float] = []
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
        """Answer with the announced rate."""
        now = self.gossip.time.now()
        known = self.received_ms.setdefault(self.node, now) if self.announced else now
        self.arrivals.append(Arrival(now, self.node, now - known >= KNOWN_AFTER_MS))
        headers = (f"x-requests-per-second: {self.announced}",) if self.announced else ()
        writer.write(scripted.answer(request, headers=headers))

    async def ask(self, node: str) -> int:
        """Send a request to a node and return the status of its answer."""
        self.node = node
        request = asyncio.create_task(self._ask(self.ports[node]))
        passed = 0
        while not request.done():
            await asyncio.sleep(0.001)
            if passed < ROUND_TRIP_MS:
                passed += 1
                self.gossip.run(1)
        return await request

    async def _ask(self, port: int) -> int:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(relay_test.request_bytes("/safe/x"))
        found = await relay_test.read_answer(reader)
        writer.close()
        if "retry-after" in found.headers:
            self.retry_after_s.append(float(found.headers["retry-after"]))
        return found.status

    async def serve(self, per_s: float, for_ms: int) -> list[int]:
        """Send requests at an even rate to all nodes in turn, and return their statuses."""
        gap_ms = 1000.0 / per_s
        start_ms = self.gossip.time.now()
        names = sorted(self.ports)
        found = []
        for number in range(int(for_ms / gap_ms)):
            self.gossip.run(max(0.0, start_ms + number * gap_ms - self.gossip.time.now()))
            found.append(await self.ask(names[number % len(names)]))
        return found

    def max_in_a_window(self) -> int:
        """Return the largest number of counted arrivals in a window."""
        at = [one.at_ms for one in self.arrivals if one.counts]
        return max((sum(first <= one < first + WINDOW_MS for one in at) for first in at), default=0)


def play(test: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), 60))


def test_all_nodes_together_keep_to_the_rate():
    async def test() -> None:
        async with Fleet((3, 3, 2), str(RATE_PER_S)) as fleet:
            statuses = await fleet.serve(16.0, 10_000)
            assert set(statuses) == {200}
            assert fleet.max_in_a_window() <= allowed(RATE_PER_S)

    play(test)


def test_one_node_alone_keeps_to_the_rate():
    async def test() -> None:
        async with Fleet((1,), str(RATE_PER_S)) as fleet:
            statuses = await fleet.serve(8.0, 10_000)
            assert set(statuses) == {200}
            assert fleet.max_in_a_window() <= allowed(RATE_PER_S)

    play(test)


def test_the_rate_is_published_to_all_nodes():
    async def test() -> None:
        async with Fleet((3, 3, 2), "0.25") as fleet:
            await fleet.ask("dc-a-0")
            while not fleet.arrivals:
                await fleet.ask("dc-a-0")
            fleet.gossip.run(ROUND_TRIP_MS)
            rates = [node.state.permits.lasting(fleet.listed) for node in fleet.gossip.live()]
            assert rates == [{"e0": 0.25}] * 8

    play(test)


def test_if_all_announce_a_rate_it_is_used_up_and_other_requests_get_a_retry_after():
    async def test() -> None:
        async with Fleet((3, 3, 2), "2", are_all_limited=True) as fleet:
            await fleet.serve(16.0, 3_000)
            before = len(fleet.arrivals)
            statuses = await fleet.serve(16.0, 10_000)
            assert set(statuses) == {200, 503}
            assert 0.8 * 2 * 2.0 * 10 <= statuses.count(200) <= 1.1 * 2 * 2.0 * 10
            assert len(fleet.arrivals) - before == statuses.count(200)
            # Each endpoint accepts a request per half second, and eight nodes compete for it.
            assert all(0.05 <= seconds <= 6.5 for seconds in fleet.retry_after_s)

    play(test)


def test_a_lifted_limit_ends_for_all_nodes():
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


def test_an_invalid_rate_neither_sets_nor_lifts_a_limit():
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


def test_requests_that_are_connecting_when_the_rate_is_announced_go_elsewhere():
    async def test() -> None:
        headers = ("x-requests-per-second: 0.5",)
        unlimited = relay_test.answers()
        async with relay_test.Gateway(relay_test.answers(headers=headers), unlimited) as gateway:
            answered = asyncio.Event()
            with gateway.delay_connects(answered):
                requests = [asyncio.create_task(gateway.ask("/safe/x")) for _ in range(6)]
                await asyncio.wait(requests, return_when=asyncio.FIRST_COMPLETED)
                answered.set()
                assert [(await one).status for one in requests] == [200] * 6
            assert [len(one.received) for one in gateway.endpoints] == [1, 5]

    play(test)


def test_requests_beyond_the_rate_of_a_new_version_go_to_the_old_one():
    async def test() -> None:
        headers = ("x-requests-per-second: 0.5",)
        limited, unlimited = relay_test.answers(headers=headers), relay_test.answers()
        async with relay_test.Gateway(limited, unlimited) as gateway:
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
