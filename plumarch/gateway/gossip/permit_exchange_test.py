"""Tests that all nodes together keep to the request rates that endpoints announce, under faults.

The rule: in any 4 s an endpoint receives at most one and a half times its rate plus five requests
from nodes that received an announcement at least half a second before. Nodes that were killed,
frozen or cut off within the last 2 s are exempt.
"""

import dataclasses
import random
from collections.abc import Iterable

import pytest

from plumarch.core import traffic
from plumarch.gateway.dispatch import announced_rates, endpoint_signals
from plumarch.gateway.gossip import permit_exchange
from plumarch.peers import gossip
from plumarch.standins import fault_session, gossip_fleet

WINDOW_MS = 4_000
KNOWN_AFTER_MS = 500
EXEMPT_MS = 2_000
"""How long a node is exempt after a fault; covers the time to get in contact again."""

STEP_MS = 10
ANSWER_MS = 20
ENDPOINT = traffic.Endpoint("e", "s", "10.0.0.1:80", "dc-a", 8, traffic.EndpointState.READY)
SMALL = gossip_fleet.Size(3, 0, counts=(3, 3, 2))
LARGE = gossip_fleet.Size(6, 0, counts=(33, 33, 33, 32, 32, 32), regions=2)


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached the endpoint."""

    at_ms: int
    counts: bool


class Session(fault_session.FaultSession):
    """A fleet that sends to one endpoint, which announces a rate.

    Attributes:
      announced: the rate that its answers announce, or "".
      nodes: how many nodes have demand; all if 0.
    """

    def __init__(self, size: gossip_fleet.Size, seed: int, announced: str = "1") -> None:
        super().__init__(size, seed, [ENDPOINT])
        self.announced = announced
        self.nodes = 0
        self.arrivals: list[Arrival] = []
        self.received_ms: dict[tuple[str, int], int] = {}

    def serve(self, per_s: float, for_ms: int) -> int:
        """Send callers' requests to random nodes for a while, and return how many were served."""
        before = len(self.arrivals)
        due = 0.0
        for _ in range(for_ms // STEP_MS):
            self.fleet.run(STEP_MS)
            due += per_s * STEP_MS / 1000.0
            while due >= 1.0:
                due -= 1.0
                node = self.rng.choice(self.fleet.live()[: self.nodes or None])
                if not node.frozen:
                    self.request(node)
        return len(self.arrivals) - before

    def request(self, node: gossip_fleet.Node) -> None:
        """Send one caller's request to a node, which waits for permits if it has none."""
        if announced_rates.may_send(node.state, ENDPOINT):
            self.send(node)
        elif node.state.permits.is_request_pending(ENDPOINT):
            self.wait(node, self.fleet.time.now() + round(announced_rates.PERMIT_WAIT_MS))

    def wait(self, node: gossip_fleet.Node, until_ms: int) -> None:
        """Send a request once permits arrive, unless they are late."""
        permits = node.state.permits
        if not node.alive or self.fleet.time.now() > until_ms:
            return
        if permits.may_send(ENDPOINT):
            self.send(node)
        elif permits.is_request_pending(ENDPOINT):
            self.fleet.schedule(1, lambda: self.wait(node, until_ms))

    def send(self, node: gossip_fleet.Node) -> None:
        state = node.state
        if state.permits.use(ENDPOINT):
            announced_rates.request_permits(state, ENDPOINT, is_needed=False)
        now = self.fleet.time.now()
        known = self.received_ms.get((node.name, node.view.incarnation), now)
        fault = self.fault_ms.get(node.name, now - EXEMPT_MS)
        counts = now - known >= KNOWN_AFTER_MS and now - fault >= EXEMPT_MS
        self.arrivals.append(Arrival(now, counts))
        announced = self.announced
        self.fleet.schedule(ANSWER_MS, lambda: self.answer(node, announced, now))

    def answer(self, node: gossip_fleet.Node, announced: str, sent_ms: int) -> None:
        if not node.alive:
            return
        signals = endpoint_signals.Signals(rate_limit=announced)
        announced_rates.observe(node.state, ENDPOINT, signals, sent_ms, has_run=True)
        if announced:
            now = self.fleet.time.now()
            self.received_ms.setdefault((node.name, node.view.incarnation), now)

    def max_in_window(self) -> int:
        """Return the maximum number of requests in a window from nodes that are not exempt."""
        at = [one.at_ms for one in self.arrivals if one.counts]
        return max((sum(first <= one < first + WINDOW_MS for one in at) for first in at), default=0)


def allowed(rate: float) -> float:
    return 1.5 * rate * WINDOW_MS / 1000.0 + 5


def used_fraction(session: Session, rate: float, per_s: float, for_ms: int = 20_000) -> float:
    """Return the fraction of a rate that is used, once it is known."""
    session.serve(per_s, 4_000)
    return session.serve(per_s, for_ms) / (rate * for_ms / 1000.0)


@pytest.mark.parametrize("rate", [0.5, 1.0, 8.0])
@pytest.mark.parametrize("nodes", [0, 1, 3])
def test_most_of_the_rate_is_used_in_a_small_fleet(rate: float, nodes: int):
    session = Session(SMALL, 1, str(rate))
    session.nodes = nodes
    assert 0.8 <= used_fraction(session, rate, 6.0 * rate + 10.0) <= 1.1
    assert session.max_in_window() <= allowed(rate)


@pytest.mark.parametrize(("rate", "nodes"), [(1.0, 0), (8.0, 0), (8.0, 1)])
def test_most_of_the_rate_is_used_in_a_large_fleet(rate: float, nodes: int):
    session = Session(LARGE, 1, str(rate))
    session.nodes = nodes
    assert 0.8 <= used_fraction(session, rate, 6.0 * rate + 10.0, 8_000) <= 1.25
    assert session.max_in_window() <= allowed(rate)


def test_lower_rate_applies_from_its_first_announcement():
    session = Session(SMALL, 1, "40")
    session.serve(200.0, 4_000)
    session.announced = "2"
    session.serve(200.0, KNOWN_AFTER_MS)
    session.arrivals.clear()
    session.serve(200.0, 8_000)
    assert session.max_in_window() <= allowed(2.0)


def test_withdrawn_limit_ends_on_all_nodes():
    session = Session(LARGE, 1, "1")
    session.serve(100.0, 2_000)
    session.announced = ""
    session.serve(100.0, 2_500)
    assert session.serve(100.0, 1_000) == 100


def test_rate_that_changes_with_each_answer_causes_no_broadcasts():
    session = Session(SMALL, 1, "20")
    session.serve(100.0, 2_000)
    steady = session.fleet.datagrams.copy()
    session.serve(100.0, 4_000)
    steady = {key: count - steady[key] for key, count in session.fleet.datagrams.items()}
    before = session.fleet.datagrams.copy()
    for number in range(400):
        session.announced = f"{20 + (number % 2) * 0.5 + number / 1e6:f}"
        session.serve(100.0, 10)
    for key, count in session.fleet.datagrams.items():
        assert count - before[key] <= 1.1 * steady[key]


def record_updates(session: Session) -> list[str]:
    """Return a list to which the address of each rate update is appended from now on."""
    found: list[str] = []

    def counting(send: permit_exchange.Send) -> permit_exchange.Send:
        def counted(message: gossip.Datagram, to: Iterable[str]) -> None:
            addresses = list(to)
            if isinstance(message, gossip.RateUpdate):
                found.extend(addresses)
            send(message, addresses)

        return counted

    for node in session.fleet.live():
        node.gossip.permits.send = counting(node.gossip.permits.send)
    return found


def test_alternating_limit_causes_a_bounded_number_of_broadcasts():
    session = Session(SMALL, 1, "20")
    session.serve(100.0, 2_000)
    updates = record_updates(session)
    for number in range(400):
        session.announced = "20" if number % 2 else ""
        session.serve(100.0, 10)
    assert len(updates) <= 8 * 7 * 5


@pytest.mark.parametrize("per_s", [-1.0, float("nan"), float("inf"), 1e300])
def test_message_with_an_invalid_rate_is_ignored(per_s: float):
    session = Session(SMALL, 1, "1")
    [node, *_] = session.fleet.live()
    permits = node.gossip.permits
    permits.handle_rate_update(gossip.RateUpdate("m", "e", [per_s], 0))
    request = gossip.PermitRequest("m", "10.0.0.2:1", "e", "dc-a", 1, 1, [per_s], 0)
    permits.handle_request(request)
    permits.handle_answer(gossip.PermitAnswer("e", 1, 1, [per_s], 0))
    assert node.state.permits.known == {}
    assert node.state.allocator.known == {}


def test_request_that_each_node_forwards_stops_at_the_hop_limit():
    session = Session(SMALL, 1, "1")
    for node in session.fleet.live():
        node.gossip.permits.is_leaving = lambda: True
    before = sum(session.fleet.datagrams.values())
    session.serve(1.0, 1_000)
    assert sum(session.fleet.datagrams.values()) - before < 8 * 8 * 10


KINDS = ["cut", "cut node", "kill one", "kill some", "freeze", "lose", "heal", "calm", "announce"]


def inject(session: Session, kind: str, pick: int) -> None:
    """Inject one fault, heal, or change the announced rate."""
    if kind == "announce":
        session.announced = ["", "0", "1", "3", "20"][pick % 5]
    session.inject(kind, pick)


def peak_load(size: gossip_fleet.Size, seed: int) -> float:
    """Run a random session, and return its peak as a fraction of what the rule allows."""
    rng = random.Random(seed)
    rate = rng.choice([0.5, 1.0, 4.0, 10.0])
    session = Session(size, seed, str(rate))
    session.nodes = rng.choice([0, 0, 1, 3])
    session.serve(30.0, 2_000)
    for _ in range(rng.randint(3, 8)):
        kind = rng.choice(KINDS[:-1])
        inject(session, kind, rng.randrange(1_000))
        cut = [one for one in session.fleet.live() if session.is_cut(one)]
        for _ in range(rng.randint(2, 30)):
            session.serve(rng.choice([2.0, 30.0, 100.0]), 100)
            session.mark_faulty(cut)
    session.heal()
    session.serve(100.0, 4_000)
    return session.max_in_window() / allowed(rate)


def test_rule_holds_in_random_sessions():
    found = [peak_load(SMALL, seed) for seed in range(50)]
    assert max(found) <= 1.0, found


def test_rule_holds_in_random_sessions_of_a_large_fleet():
    found = peak_load(LARGE, 0)
    assert found <= 1.0, found
