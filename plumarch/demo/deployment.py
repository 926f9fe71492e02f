"""A demo deployment: platform, endpoints and entry nodes on loopback sockets."""

import asyncio
import collections
import dataclasses

from litestar import Litestar

from plumarch.config import files, publishing
from plumarch.core import clock, data, errors
from plumarch.daemon import listening, serving, settings
from plumarch.daemon import main as daemon_main
from plumarch.object_api import client, protocol
from plumarch.standins import engine_app, platform_app, service_app

ANY_PORT = "127.0.0.1:0"
NODES_PER_CENTRE = 2
ENGINES_PER_CENTRE = 2
TOKEN_MS = 15.0
DECISIONS_WAITING = 10_000
"""Maximum number of queued decisions, more than a run produces."""

WATCHED = frozenset({"place", "rehome", "leave", "join", "weaken", "fail", "stay", "slot"})


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Data centres, targets and configuration folder of a deployment."""

    name: str
    centres: tuple[str, ...]
    model: str
    service: str
    folder: str


@dataclasses.dataclass(slots=True)
class Vm:
    """A stand-in endpoint and its listener."""

    listed: protocol.Vm
    listener: serving.Listener


class Deployment:
    """A running deployment."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.platform = platform_app.PlatformStandin()
        self.platform_listener: serving.Listener | None = None
        self.vms: dict[str, Vm] = {}
        self.engines: dict[str, engine_app.EngineStandin] = {}
        self.services: dict[str, service_app.ServiceStandin] = {}
        self.daemons: dict[str, daemon_main.Daemon] = {}
        self.shown: collections.Counter[str] = collections.Counter()

    async def start(self) -> None:
        """Start all parts, apply the example configuration and wait until all nodes joined."""
        self.platform_listener = await _listen(platform_app.build(self.platform))
        for centre in self.plan.centres:
            await self._start_endpoints(centre)
        self.platform.change_vms(platform_app.VmChange(add=[vm.listed for vm in self.vms.values()]))
        await self._apply()
        for centre in self.plan.centres:
            for number in range(1, NODES_PER_CENTRE + 1):
                await self._start_node(f"{centre}-{number}", centre)
        await self._wait_until_joined()

    async def _start_endpoints(self, centre: str) -> None:
        for number in range(1, ENGINES_PER_CENTRE + 1):
            name = f"{centre}-engine-{number}"
            engine = engine_app.EngineStandin((self.plan.model,), token_ms=TOKEN_MS)
            self.engines[name] = engine
            price = 0.4 if number == 1 else 1.0
            await self._add(name, centre, "engine", engine_app.build(engine), price)
        name = f"{centre}-service"
        service = service_app.ServiceStandin()
        self.services[name] = service
        await self._add(name, centre, "service", service_app.build(service), 0.2)

    async def _add(self, name: str, centre: str, role: str, app: Litestar, price: float) -> None:
        listener = await _listen(app)
        target = self.plan.model if role == "engine" else self.plan.service
        vm = protocol.Vm(
            name,
            centre,
            role,
            f"http://127.0.0.1:{listener.port()}",
            [target],
            vm_class="reclaimable-small" if price < 1.0 else "on-demand-small",
            price=price,
            reclaimable=price < 1.0,
        )
        self.vms[name] = Vm(vm, listener)

    async def _apply(self) -> None:
        platform = client.HttpPlatform(self.platform_url(), "", clock.MonotonicClock())
        documents = files.read([self.plan.folder])
        problems = files.validate(documents)
        if problems:
            raise errors.SettingsError("\n".join(p.text() for p in problems))
        current = await publishing.read_head(platform)
        await publishing.publish(platform, current, documents, "demo", "first")
        await platform.close()

    def platform_url(self) -> str:
        """Return the platform's base URL."""
        assert self.platform_listener is not None
        return f"http://127.0.0.1:{self.platform_listener.port()}"

    async def _start_node(self, name: str, centre: str) -> None:
        known = ", ".join(
            f"{other}={daemon.shell.node.address}" for other, daemon in self.daemons.items()
        )
        text = f"""
[node]
name = {name}
data_centre = {centre}
[listen]
callers = {ANY_PORT}
operators = {ANY_PORT}
peers = {ANY_PORT}
[platform]
url = {self.platform_url()}
[peers]
key = a-peer-key-of-the-demo
nodes = {known}
[operators]
token = an-operator-token-of-the-demo
"""
        given, problems = settings.read(name, text)
        if given is None:
            raise errors.SettingsError("\n".join(p.text() for p in problems))
        daemon = daemon_main.Daemon(given)
        self.daemons[name] = daemon
        await daemon.start()

    async def _wait_until_joined(self) -> None:
        while not self._nodes_joined():
            await asyncio.sleep(0.05)

    def _nodes_joined(self) -> bool:
        nodes = [daemon.shell.node for daemon in self.daemons.values()]
        slots = sum(len(node.ledger.owned) for node in nodes)
        everyone = len(nodes)
        return slots > 0 and all(
            node.config.revision
            and node.placement.endpoints
            and len(node.membership.live()) == everyone
            and len(node.ledger.routes) >= slots >= 32
            for node in nodes
        )

    def urls(self) -> dict[str, str]:
        """Return each node's base URL for callers."""
        return {
            name: f"http://127.0.0.1:{daemon.callers.port()}"
            for name, daemon in self.daemons.items()
        }

    def listen(self) -> asyncio.Queue[data.Decision]:
        """Return a queue that receives the decisions of all nodes."""
        queue: asyncio.Queue[data.Decision] = asyncio.Queue(DECISIONS_WAITING)
        for daemon in self.daemons.values():
            daemon.shell.listeners.add(queue)
        return queue

    def names_in(self, centre: str) -> list[str]:
        """Return the names of all nodes and endpoints of a data centre."""
        nodes = [n for n, d in self.daemons.items() if d.settings.node.data_centre == centre]
        return nodes + [n for n, vm in self.vms.items() if vm.listed.data_centre == centre]

    def announce(self, centre: str, left_ms: int) -> None:
        """Announce the reclaim of a data centre."""
        names = self.names_in(centre)
        self.platform.announce(platform_app.NoticeOrder(names, left_ms))

    async def remove_centre(self, centre: str) -> list[str]:
        """Stop all VMs of a data centre and return the base URLs of its nodes."""
        gone = []
        urls = self.urls()
        names = self.names_in(centre)
        for name in names:
            daemon = self.daemons.get(name)
            if daemon is not None:
                gone.append(urls[name])
                del self.daemons[name]
                await _abort_node(daemon)
            else:
                await self.vms.pop(name).listener.abort()
        self.platform.change_vms(platform_app.VmChange(remove=names))
        return gone

    def executions(self) -> dict[tuple[str, str], int]:
        """Return executions at plain services by workspace and key."""
        total: collections.Counter[tuple[str, str]] = collections.Counter()
        for service in self.services.values():
            total.update(service.executions)
        return dict(total)

    def recomputed(self) -> int:
        """Return the number of tokens that engines recomputed."""
        return sum(engine.recomputed for engine in self.engines.values())

    def cost(self, hours: float) -> float:
        """Return the cost of all endpoints for a number of hours."""
        return hours * sum(vm.listed.price for vm in self.vms.values())

    async def stop(self) -> None:
        """Stop all nodes, endpoints and the platform."""
        for daemon in self.daemons.values():
            await _abort_node(daemon)
        for vm in self.vms.values():
            await vm.listener.abort()
        if self.platform_listener is not None:
            await self.platform_listener.abort()


async def _abort_node(daemon: daemon_main.Daemon) -> None:
    """Abort a node's connections, as the loss of its VM does."""
    await daemon.callers.abort()
    await daemon.operators.abort()
    await daemon.shell.close()


async def _listen(app: Litestar) -> serving.Listener:
    listener = serving.Listener(app, listening.bind(ANY_PORT))
    await listener.start()
    return listener
