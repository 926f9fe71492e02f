"""Random sessions of fleets in which nodes are cut off from all endpoints, on virtual time.

The connects run as in a gateway; only the network under them is simulated.
"""

import asyncio
import contextlib
import contextvars
import dataclasses
import selectors
import statistics
from collections.abc import Iterator
from typing import Any, cast

import pytest

from plumarch.core import traffic
from plumarch.gateway import errors
from plumarch.gateway.connections import exchange, tunneled
from plumarch.gateway.dispatch import attempts, endpoint_connects
from plumarch.peers import tunnels
from plumarch.standins import cut_fleet, fault_session, gossip_fleet

STEP_MS = 10
NOTICED_AFTER_MS = 500
"""Time after the beginning of a cut from which requests count."""

DIRECT_AFTER_MS = 2_000
"""Time after the end of a cut from which no tunnel may be used."""

EXEMPT_MS = 1_500
"""Time for which a node is exempt after a fault of its own."""

MIN_SERVED_FRACTION = 0.9
MAX_ADDED_MS = 2.0 * gossip_fleet.CROSS_CENTRE_LATENCY_MS
"""Two hops between near nodes."""

TIME_LIMIT_MS = 1_000
MAX_ATTEMPTS = 3
ENDPOINTS = [
    traffic.Endpoint(
        f"e{number}", "s", f"10.9.0.{number}:80", "dc-a", 8, traffic.EndpointState.READY
    )
    for number in range(6)
]
SMALL = gossip_fleet.Size(3, 0, counts=(3, 3, 2))
LARGE = gossip_fleet.Size(6, 0, counts=(33, 33, 33, 32, 32, 32), regions=2)
CURRENT_NODE: contextvars.ContextVar[gossip_fleet.Node] = contextvars.ContextVar("node")


class InstantSelector(selectors.SelectSelector):
    """Advances the time of its loop instead of waiting."""

    waited_s = 0.0

    def select(self, timeout: float | None = None) -> Any:
        self.waited_s += timeout or 0.0
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time."""

    def __init__(self) -> None:
        self.selector = InstantSelector()
        super().__init__(self.selector)

    def time(self) -> float:
        return self.selector.waited_s


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    """One request, which counts unless a fault of its own node excuses it."""

    at_ms: int
    was_cut: bool
    is_served: bool
    is_tunneled: bool
    took_ms: float


class Session(fault_session.FaultSession):
    """A fleet that connects to endpoints for its callers.

    Attributes:
      cuts: by name of the node.
      changed_ms: when the last cut of a node began or ended.
    """

    def __init__(self, size: gossip_fleet.Size, seed: int) -> None:
        super().__init__(size, seed, ENDPOINTS)
        self.cuts: dict[str, cut_fleet.Cut] = {}
        self.changed_ms: dict[str, int] = {}
        self.requests: list[Served] = []
        self.pending: set[asyncio.Task[None]] = set()

    async def connect_directly(self, address: str, timeout_ms: float) -> exchange.Exchange:
        node = CURRENT_NODE.get()
        kind = self.cuts.get(node.name)
        if kind is cut_fleet.Cut.SILENT:
            await asyncio.sleep(timeout_ms / 1000.0)
            raise errors.ConnectFailed("no answer")
        await asyncio.sleep(0.001)
        if kind is not None:
            raise errors.ConnectFailed("refused", True)
        return exchange.Exchange()

    async def connect_through(
        self, peer: str, request: tunnels.TunnelRequest, timeout_ms: float
    ) -> tunneled.TunneledExchange:
        node, other = CURRENT_NODE.get(), self.fleet.by_address[peer]
        if not other.alive:
            raise errors.TunnelUnavailable("refused")
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                await asyncio.sleep(2 * self.network_ms(node, other) / 1000.0)
                while other.frozen:
                    await asyncio.sleep(timeout_ms / 1000.0)
                outcome = await self.serve_tunnel(other, request)
        except TimeoutError as error:
            raise errors.TunnelUnavailable("no answer") from error
        if outcome is tunnels.Outcome.DECLINED:
            raise errors.TunnelUnavailable("declined")
        if outcome is not tunnels.Outcome.CONNECTED:
            raise errors.ConnectFailed(outcome.value)
        return tunneled.TunneledExchange(peer)

    def network_ms(self, node: gossip_fleet.Node, other: gossip_fleet.Node) -> int:
        if self.fleet.region_of(node) != self.fleet.region_of(other):
            return gossip_fleet.REGION_LATENCY_MS
        return gossip_fleet.CENTRE_LATENCY_MS

    async def serve_tunnel(
        self, other: gossip_fleet.Node, request: tunnels.TunnelRequest
    ) -> tunnels.Outcome:
        server = other.gossip.tunnels
        if not server.accepts(request):
            return tunnels.Outcome.DECLINED
        CURRENT_NODE.set(other)
        try:
            await self.connect_directly(request.address, request.timeout_ms)
        except errors.ConnectFailed as error:
            reason = ConnectionRefusedError() if error.is_refused else TimeoutError()
            return server.failed(request, reason)
        other.state.paths.record_connect(request.endpoint)
        return tunnels.Outcome.CONNECTED

    async def request(self, node: gossip_fleet.Node) -> None:
        """Connect to up to three endpoints for a caller, and record whether one was reached."""
        CURRENT_NODE.set(node)
        loop = asyncio.get_running_loop()
        began_ms, began_s = self.fleet.time.now(), loop.time()
        was_cut = node.name in self.cuts
        opened: exchange.Exchange | None = None
        for endpoint in self.rng.sample(ENDPOINTS, MAX_ATTEMPTS):
            left_ms = began_ms + TIME_LIMIT_MS - self.fleet.time.now()
            timeout_ms = min(attempts.CONNECT_TIMEOUT_MS, left_ms)
            if timeout_ms <= 0:
                break
            with contextlib.suppress(errors.ConnectFailed):
                opened = await endpoint_connects.connect(node.state, endpoint, "r", timeout_ms)
                break
        if self.counts(node, began_ms):
            is_tunneled = opened is not None and opened.is_tunneled
            took_ms = 1000.0 * (loop.time() - began_s)
            self.requests.append(
                Served(began_ms, was_cut, opened is not None, is_tunneled, took_ms)
            )

    def counts(self, node: gossip_fleet.Node, began_ms: int) -> bool:
        """Return whether a node had neither a fault nor a change of its cut around a request."""
        fault_ms = self.fault_ms.get(node.name, 0)
        settles_ms = NOTICED_AFTER_MS if node.name in self.cuts else DIRECT_AFTER_MS
        changed_ms = self.changed_ms.get(node.name, 0)
        is_intact = node.alive and not node.frozen and began_ms >= fault_ms + EXEMPT_MS
        return is_intact and began_ms >= changed_ms + settles_ms

    async def serve(self, per_s: float, for_ms: int) -> None:
        """Send callers' requests to random nodes for a while."""
        due = 0.0
        for _ in range(for_ms // STEP_MS):
            await asyncio.sleep(STEP_MS / 1000.0)
            self.fleet.run(STEP_MS)
            due += per_s * STEP_MS / 1000.0
            while due >= 1.0:
                due -= 1.0
                self.begin_request()

    def begin_request(self) -> None:
        live = [node for node in self.fleet.live() if not node.frozen]
        cut = [node for node in live if node.name in self.cuts]
        node = self.rng.choice(cut if cut and self.rng.random() < 0.5 else live)
        task = asyncio.get_running_loop().create_task(self.request(node))
        self.pending.add(task)
        task.add_done_callback(self.pending.discard)

    def cut_off(self, nodes: list[gossip_fleet.Node], kind: cut_fleet.Cut) -> None:
        for node in nodes:
            self.cuts[node.name] = kind
            self.changed_ms[node.name] = self.fleet.time.now()

    def heal(self) -> None:
        self.changed_ms |= dict.fromkeys(self.cuts, self.fleet.time.now())
        self.cuts.clear()
        super().heal()

    def inject(self, kind: str, pick: int) -> None:
        """Inject one fault, or heal; a half of the fleet at least stays connected."""
        nodes = self.fleet.live()
        node = nodes[pick % len(nodes)]
        form = self.rng.choice(list(cut_fleet.Cut))
        if kind == "cut one":
            self.cut_off([node], form)
        elif kind == "cut centre":
            self.cut_off([one for one in nodes if one.data_centre == node.data_centre], form)
        else:
            super().inject(kind, pick)
        if 2 * len(self.cuts) > len(nodes):
            self.heal()

    async def run(self) -> None:
        await self.serve(self.per_s(), 1_000)
        for _ in range(self.rng.randint(3, 7)):
            for _ in range(self.rng.randint(1, 2)):
                self.inject(self.rng.choice(KINDS), self.rng.randrange(1_000))
            await self.serve(self.per_s(), self.rng.randint(300, 2_500))
        self.heal()
        await self.serve(self.per_s(), DIRECT_AFTER_MS + 1_000)
        await asyncio.gather(*self.pending)

    def per_s(self) -> float:
        return self.rng.choice([20.0, 100.0])

    def served_fraction(self, was_cut: bool) -> float:
        found = [one.is_served for one in self.requests if one.was_cut is was_cut]
        return sum(found) / len(found) if found else 1.0

    def median_ms(self, was_cut: bool) -> float:
        found = [one.took_ms for one in self.requests if one.was_cut is was_cut and one.is_served]
        return statistics.median(found) if found else 0.0


KINDS = ["cut one", "cut one", "cut centre", "kill one", "freeze", "heal"]


@contextlib.contextmanager
def simulated(session: Session) -> Iterator[None]:
    """Have connects go through the session's network."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(exchange, "connect", session.connect_directly)
        patch.setattr(tunneled, "connect", session.connect_through)
        patch.setattr(cast(Any, exchange.Exchange), "close", lambda self: None)
        yield


def play(size: gossip_fleet.Size, seed: int) -> Session:
    session = Session(size, seed)
    loop = VirtualLoop()
    with simulated(session):
        loop.run_until_complete(session.run())
    loop.close()
    return session


def check(session: Session) -> None:
    others = session.served_fraction(was_cut=False)
    assert others >= 0.98
    assert session.served_fraction(was_cut=True) >= MIN_SERVED_FRACTION * others
    assert not any(one.is_tunneled for one in session.requests if not one.was_cut)
    assert session.median_ms(was_cut=True) <= session.median_ms(was_cut=False) + MAX_ADDED_MS


@pytest.mark.parametrize("seed", range(20))
def test_callers_of_cut_nodes_are_served_in_random_sessions(seed: int):
    check(play(SMALL, seed))


def test_callers_of_cut_nodes_are_served_in_a_random_session_of_a_large_fleet():
    check(play(LARGE, 1))
