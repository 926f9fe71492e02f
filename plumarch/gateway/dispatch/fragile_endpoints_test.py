"""Endpoints that announce that they crash if they have to reject more requests in a second."""

import asyncio
import dataclasses

from plumarch.core import traffic
from plumarch.gateway import relay, relay_test
from plumarch.gateway.dispatch import announced_rate_test, attempts
from plumarch.standins import gossip_fleet
from plumarch.standins import scripted_endpoint as scripted

REJECTIONS_PER_S = 3
SLOTS = 4
RUN_MS = 100
STEP_MS = 5
KNOWN_AFTER_MS = 1_000
"""Time from the first announcement after which rejections count."""


class FragileEndpoint:
    """An endpoint without a queue, on virtual time.

    Attributes:
      rejected_ms: times of rejections.
      releases: when each running request ends.
    """

    def __init__(self, fleet: gossip_fleet.GossipFleet) -> None:
        self.fleet = fleet
        self.rejected_ms: list[int] = []
        self.releases: list[tuple[int, asyncio.Event]] = []
        self.started = 0
        self.scripted = scripted.ScriptedEndpoint(self.answer)

    async def answer(self, request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        headers = (f"x-rejections-per-second: {REJECTIONS_PER_S}",)
        if len(self.releases) >= SLOTS:
            self.rejected_ms.append(self.fleet.time.now())
            headers = (*headers, "x-not-run: 1")
            writer.write(scripted.answer(request, "503 Service Unavailable", headers=headers))
            return
        self.started += 1
        ended = asyncio.Event()
        self.releases.append((self.fleet.time.now() + RUN_MS, ended))
        await ended.wait()
        writer.write(scripted.answer(request, headers=headers))

    def step(self) -> None:
        """End the requests that are due."""
        now = self.fleet.time.now()
        for at_ms, ended in self.releases:
            if at_ms <= now:
                ended.set()
        self.releases = [one for one in self.releases if one[0] > now]

    def worst_second(self, since_ms: int) -> int:
        """Return the most rejections in a second."""
        at = [one for one in self.rejected_ms if one >= since_ms]
        return max((sum(first <= one < first + 1_000 for one in at) for first in at), default=0)


@dataclasses.dataclass(slots=True)
class Served:
    """Statuses of callers' first attempts."""

    statuses: list[int] = dataclasses.field(default_factory=list)
    retry_after_s: list[float] = dataclasses.field(default_factory=list)


class Fleet:
    """Nodes that exchange datagrams in virtual time, with fragile endpoints on loopback."""

    def __init__(self, counts: tuple[int, ...], endpoints: int) -> None:
        self.gossip = gossip_fleet.GossipFleet(gossip_fleet.Size(len(counts), 0, counts=counts))
        self.endpoints = [FragileEndpoint(self.gossip) for _ in range(endpoints)]
        self.ports: list[int] = []
        self.listeners: list[asyncio.Server] = []
        self.servers: list[relay.caller_connection.CallerServer] = []

    async def __aenter__(self) -> "Fleet":
        self.connect_ms = attempts.CONNECT_TIMEOUT_MS
        attempts.CONNECT_TIMEOUT_MS = relay_test.LONG_MS
        self.gossip.run(3_000)
        listed = []
        for number, one in enumerate(self.endpoints):
            await one.scripted.start()
            ready = traffic.EndpointState.READY
            listed.append(
                traffic.Endpoint(f"e{number}", "s", one.scripted.address, "dc-a", SLOTS, ready)
            )
        loop = asyncio.get_running_loop()
        for node in self.gossip.live():
            # Peers have no addresses on loopback.
            node.state.tunnel_peers = None
            node.state.registry.replace(listed, 1, "store")
            node.state.adopt_table(announced_rate_test.TABLE, "store")
            callers = relay.new_server(node.state)
            self.servers.append(callers)
            listener = await loop.create_server(callers.connection, "127.0.0.1", 0)
            self.listeners.append(listener)
            self.ports.append(listener.sockets[0].getsockname()[1])
        return self

    async def __aexit__(self, *_: object) -> None:
        attempts.CONNECT_TIMEOUT_MS = self.connect_ms
        for listener in self.listeners:
            listener.close()
        for callers in self.servers:
            callers.close_all()
        for one in self.endpoints:
            await one.scripted.stop()
        await asyncio.sleep(0)

    async def serve(self, per_s: float, for_ms: int) -> Served:
        """Send requests at an even rate to all nodes in turn; wait for all answers."""
        found = Served()
        asking: list[asyncio.Task[None]] = []
        due = 0.0
        passed = 0
        while passed < for_ms or not all(one.done() for one in asking):
            self.gossip.run(STEP_MS)
            passed += STEP_MS
            for one in self.endpoints:
                one.step()
            due += per_s * STEP_MS / 1000.0 if passed < for_ms else 0.0
            while due >= 1.0:
                due -= 1.0
                port = self.ports[len(asking) % len(self.ports)]
                asking.append(asyncio.create_task(self._ask(port, found)))
            await asyncio.sleep(0.002)
        await asyncio.gather(*asking)
        return found

    async def _ask(self, port: int, found: Served) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(relay_test.request_bytes("/unsafe/x"))
        answer = await relay_test.read_answer(reader)
        writer.close()
        found.statuses.append(answer.status)
        if answer.status != 200:
            found.retry_after_s.append(float(answer.headers["retry-after"]))


def test_fragile_endpoints_are_not_made_to_reject_more_than_they_bear():
    """All nodes together sent more requests than there were slots, and endpoints crashed."""

    async def test() -> None:
        async with Fleet((2, 2), endpoints=2) as fleet:
            await fleet.serve(40.0, KNOWN_AFTER_MS)
            since_ms = fleet.gossip.time.now()
            await fleet.serve(160.0, 3_000)
            worst = [one.worst_second(since_ms) for one in fleet.endpoints]
            assert max(worst) <= REJECTIONS_PER_S, worst

    relay_test.play(test)
