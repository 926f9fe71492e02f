"""Several gateways in one process, over loopback, each of which can be cut off from the endpoints.

The event loop knows which node connects by a context variable, which tasks and connections inherit.
"""

import asyncio
import contextlib
import contextvars
import enum
import socket
from collections.abc import Callable, Coroutine
from typing import Any

from plumarch.config import routing_table
from plumarch.core import clock, traffic
from plumarch.gateway import fleet_state, relay
from plumarch.gateway.callers import caller_connection
from plumarch.gateway.gossip import gossiper, heartbeats
from plumarch.membership import fleet_view
from plumarch.standins import gateway_parts

CURRENT_NODE: contextvars.ContextVar[str] = contextvars.ContextVar("node", default="")
POLL_S = 0.005


class Cut(enum.Enum):
    """What happens to connections between a node and the endpoints."""

    REFUSED = "new ones are refused, open ones live on"
    RESET = "open ones are reset, new ones refused"
    SILENT = "open ones and new ones hang"


class CutLoop(asyncio.SelectorEventLoop):
    """An event loop that can cut nodes off from endpoints.

    Attributes:
      endpoints: addresses that cuts apply to.
      cuts: by node.
      open: each node's connections to endpoints.
    """

    def __init__(self) -> None:
        super().__init__()
        self.endpoints: set[str] = set()
        self.cuts: dict[str, Cut] = {}
        self.open: dict[str, list[asyncio.Transport]] = {}

    async def create_connection(  # type: ignore[override]
        self, factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> tuple[asyncio.Transport, Any]:
        """Connect unless the current node is cut off."""
        node = CURRENT_NODE.get()
        if f"{host}:{port}" not in self.endpoints:
            return await super().create_connection(factory, host, port, **options)
        while node in self.cuts:
            if self.cuts[node] is not Cut.SILENT:
                raise ConnectionRefusedError(f"{node} is cut off from {host}:{port}")
            await asyncio.sleep(POLL_S)
        transport, protocol = await super().create_connection(factory, host, port, **options)
        self.open.setdefault(node, []).append(transport)
        return transport, protocol

    def reset(self) -> None:
        """Forget all cuts, connections and endpoints."""
        self.cuts.clear()
        self.open.clear()
        self.endpoints.clear()

    def cut(self, node: str, kind: Cut) -> None:
        """Cut a node off from all endpoints."""
        self.cuts[node] = kind
        for transport in self.open.pop(node, []):
            if transport.is_closing():
                continue
            if kind is Cut.RESET:
                transport.abort()
            elif kind is Cut.SILENT:
                transport.pause_reading()


class Node:
    """One gateway, with gossip and callers' port but without a store.

    Attributes:
      port: for callers.
    """

    def __init__(self, name: str, address: str, seeds: tuple[str, ...], data_centre: str) -> None:
        steady = clock.MonotonicClock()
        self.name = name
        self.state: fleet_state.FleetState = gateway_parts.new_state(steady, name)
        self.state.data_centre = data_centre
        self.view = fleet_view.FleetView(steady, name, 1, address, data_centre)
        duty = heartbeats.DutyStatus()
        self.gossip = gossiper.Gossiper(self.state, self.view, duty, seeds)
        self.callers: caller_connection.CallerServer = relay.new_server(self.state)
        self.tasks: list[asyncio.Task[None]] = []
        self.listener: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Open the ports and start gossip."""
        CURRENT_NODE.set(self.name)
        await self.gossip.start()
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(self.callers.connection, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.tasks.append(loop.create_task(self.gossip.run_heartbeats()))
        self.tasks.append(loop.create_task(self.gossip.run_rounds()))

    def stop(self) -> None:
        """Abort everything, as a killed process does."""
        for task in self.tasks:
            task.cancel()
        if self.listener is not None:
            self.listener.close()
        self.callers.close_all()
        self.gossip.close()


class CutFleet:
    """Nodes that know each other and the same endpoints."""

    def __init__(
        self, nodes: int, endpoints: list[traffic.Endpoint], table: routing_table.RoutingTable
    ) -> None:
        self.count = nodes
        self.endpoints = endpoints
        self.table = table
        self.nodes: list[Node] = []

    async def __aenter__(self) -> "CutFleet":
        while not await self._start(_free_port()):
            pass
        loop = self.loop()
        loop.endpoints |= {one.address for one in self.endpoints}
        for node in self.nodes:
            node.state.registry.replace(self.endpoints, 1, "store")
            node.state.adopt_table(self.table, "store")
        await self.until(
            lambda: all(len(node.view.live()) == self.count - 1 for node in self.nodes)
        )
        return self

    async def _start(self, port: int) -> bool:
        """Start all nodes with a port for gossip, or none if one of them can't have it."""
        seeds = (f"127.0.8.1:{port}",)
        self.nodes = [
            Node(f"n{number}", f"127.0.8.{number}:{port}", seeds, f"dc-{number % 2}")
            for number in range(1, self.count + 1)
        ]
        try:
            for node in self.nodes:
                await self.run_as(node, node.start())
        except OSError:
            self._stop()
            return False
        return True

    async def run_as(self, node: Node, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a node."""
        context = contextvars.copy_context()
        context.run(CURRENT_NODE.set, node.name)
        await asyncio.get_running_loop().create_task(work, context=context)

    async def __aexit__(self, *_: object) -> None:
        self.loop().reset()
        self._stop()
        await asyncio.sleep(0)

    def _stop(self) -> None:
        for node in self.nodes:
            with contextlib.suppress(OSError):
                node.stop()

    def loop(self) -> CutLoop:
        """Return the running loop."""
        loop = asyncio.get_running_loop()
        assert isinstance(loop, CutLoop)
        return loop

    async def until(self, reached: Callable[[], bool]) -> None:
        """Wait for a condition; the test's own timeout bounds it."""
        while not reached():
            await asyncio.sleep(POLL_S)


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def run(test: Callable[[], Coroutine[Any, Any, None]], timeout_s: float) -> None:
    """Run a test on a CutLoop."""
    with asyncio.Runner(loop_factory=CutLoop) as runner:
        runner.run(asyncio.wait_for(test(), timeout_s))
