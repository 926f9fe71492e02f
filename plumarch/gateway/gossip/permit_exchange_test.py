"""Request rates that endpoints announce, divided among all nodes of a fleet, whatever befalls them.

The rule: in any 4 s an endpoint gets at most one and a half times its rate and five requests more
from nodes that passed on an announcement half a second before or earlier. Nodes that were killed,
frozen or cut off lately are not held to it.
"""

import dataclasses
import random
from collections.abc import Iterable

import pytest

from plumarch.core import traffic
from plumarch.gateway.dispatch import announced_rates, endpoint_signals
from plumarch.gateway.gossip import permit_exchange
from plumarch.membership import tiers
from plumarch.peers import gossip
from plumarch.standins import gossip_fleet

WINDOW_MS = 4_000
KNOWN_AFTER_MS = 500
EXCUSED_MS = 2_000
"""For how long a node is excused after it was harmed; what it takes to be in contact again."""

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


class Session:
    """A fleet before one endpoint that announces a rate.

    Attributes:
      announced: the rate that its answers announce, or "".
      nodes: how many nodes have demand; all if 0.
    """

    def __init__(self, size: gossip_fleet.Size, seed: int, announced: str = "1") -> None:
        self.fleet = gossip_fleet.GossipFleet(size, seed)
        self.rng = random.Random(seed)
        self.announced = announced
        self.nodes = 0
        self.arrivals: list[Arrival] = []
        self.received_ms: dict[tuple[str, int], int] = {}
        self.harmed_ms: dict[str, int] = {}
        self.fleet.run(3_000)
        for node in self.fleet.live():
            self.list_endpoint(node)

    def list_endpoint(self, node: gossip_fleet.Node) -> None:
        node.state.registry.replace([ENDPOINT], 1, "store")

    def serve(self, per_s: float, for_ms: int) -> int:
        """Let callers ask for a while, at random nodes, and return how many were served."""
        before = len(self.arrivals)
        due = 0.0
        for _ in range(for_ms // STEP_MS):
            self.fleet.run(STEP_MS)
            due += per_s * STEP_MS / 1000.0
            while due >= 1.0:
                due -= 1.0
                node = self.rng.choice(self.fleet.live()[: self.nodes or None])
                if not node.frozen:
                    self.ask(node)
        return len(self.arrivals) - before

    def ask(self, node: gossip_fleet.Node) -> None:
        """Let one caller ask one node, which waits for permits since no other endpoint has room."""
        if announced_rates.may_send(node.state, ENDPOINT):
            self.send(node)
        elif node.state.permits.is_request_pending(ENDPOINT):
            self.wait(node, self.fleet.time.now() + round(announced_rates.ANSWER_MS))

    def wait(self, node: gossip_fleet.Node, until_ms: int) -> None:
        """Send a request as soon as permits came, if they come in time."""
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
            announced_rates.ask(state, ENDPOINT, is_needed=False)
        now = self.fleet.time.now()
        known = self.received_ms.get((node.name, node.view.incarnation), now)
        harmed = self.harmed_ms.get(node.name, now - EXCUSED_MS)
        held = now - known >= KNOWN_AFTER_MS and now - harmed >= EXCUSED_MS
        self.arrivals.append(Arrival(now, held))
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

    def harm(self, nodes: list[gossip_fleet.Node]) -> None:
        now = self.fleet.time.now()
        self.harmed_ms |= {node.name: now for node in nodes}

    def restart(self, node: gossip_fleet.Node) -> None:
        self.harm([node])
        self.list_endpoint(self.fleet.start(node.number, node.data_centre))

    def cut(self, data_centre: str) -> None:
        """Cut a data centre off from the others."""
        self.fleet.cut = lambda one, other: (
            (one.data_centre == data_centre) != (other.data_centre == data_centre)
        )

    def heal(self) -> None:
        self.fleet.cut = lambda one, other: False
        self.fleet.lose, self.fleet.late_ms = 0.0, 0
        for node in self.fleet.live():
            if node.frozen:
                self.harm([node])
                self.fleet.thaw(node)

    def most(self) -> int:
        """Return the most requests in a window from nodes that are held to the rate."""
        at = [one.at_ms for one in self.arrivals if one.counts]
        return max((sum(first <= one < first + WINDOW_MS for one in at) for first in at), default=0)


def allowed(rate: float) -> float:
    return 1.5 * rate * WINDOW_MS / 1000.0 + 5


def used_part(session: Session, rate: float, per_s: float, for_ms: int = 20_000) -> float:
    """Return the part of a rate that is used, once it is known."""
    session.serve(per_s, 4_000)
    return session.serve(per_s, for_ms) / (rate * for_ms / 1000.0)


@pytest.mark.parametrize("rate", [0.5, 1.0, 8.0])
@pytest.mark.parametrize("nodes", [0, 1, 3])
def test_four_fifths_of_the_rate_are_used_wherever_there_is_demand(rate: float, nodes: int):
    session = Session(SMALL, 1, str(rate))
    session.nodes = nodes
    assert 0.8 <= used_part(session, rate, 6.0 * rate + 10.0) <= 1.1
    assert session.most() <= allowed(rate)


@pytest.mark.parametrize(("rate", "nodes"), [(1.0, 0), (8.0, 0), (8.0, 1)])
def test_four_fifths_are_used_in_a_large_fleet(rate: float, nodes: int):
    session = Session(LARGE, 1, str(rate))
    session.nodes = nodes
    assert 0.8 <= used_part(session, rate, 6.0 * rate + 10.0, 8_000) <= 1.25
    assert session.most() <= allowed(rate)


def test_a_lower_rate_is_kept_to_from_its_first_answer():
    session = Session(SMALL, 1, "40")
    session.serve(200.0, 4_000)
    session.announced = "2"
    session.serve(200.0, KNOWN_AFTER_MS)
    session.arrivals.clear()
    session.serve(200.0, 8_000)
    assert session.most() <= allowed(2.0)


def test_a_limit_that_is_over_ends_on_all_nodes():
    session = Session(LARGE, 1, "1")
    session.serve(100.0, 2_000)
    session.announced = ""
    session.serve(100.0, 2_500)
    assert session.serve(100.0, 1_000) == 100


def test_a_rate_that_changes_with_each_answer_is_told_to_the_allocator_only():
    session = Session(SMALL, 1, "20")
    session.serve(100.0, 2_000)
    steady = session.fleet.datagrams.copy()
    session.serve(100.0, 4_000)
    steady = {far: count - steady[far] for far, count in session.fleet.datagrams.items()}
    before = session.fleet.datagrams.copy()
    for number in range(400):
        session.announced = f"{20 + (number % 2) * 0.5 + number / 1e6:f}"
        session.serve(100.0, 10)
    for far, count in session.fleet.datagrams.items():
        assert count - before[far] <= 1.1 * steady[far]


def count_news(session: Session) -> list[str]:
    """Return a list of the addresses to which nodes send news of rates from now on."""
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


def test_an_endpoint_that_takes_its_limit_back_again_and_again_costs_little():
    session = Session(SMALL, 1, "20")
    session.serve(100.0, 2_000)
    news = count_news(session)
    for number in range(400):
        session.announced = "20" if number % 2 else ""
        session.serve(100.0, 10)
    assert len(news) <= 8 * 7 * 5


@pytest.mark.parametrize("per_s", [-1.0, float("nan"), float("inf"), 1e300])
def test_a_message_with_a_rate_that_is_none_counts_for_nothing(per_s: float):
    session = Session(SMALL, 1, "1")
    [node, *_] = session.fleet.live()
    permits = node.gossip.permits
    permits.handle_news(gossip.RateUpdate("m", "e", [per_s], 0))
    asked = gossip.PermitRequest("m", "10.0.0.2:1", "e", "dc-a", 1, 1, [per_s], 0)
    permits.handle_request(asked)
    permits.handle_answer(gossip.PermitAnswer("e", 1, 1, [per_s], 0))
    assert node.state.permits.known == {}
    assert node.state.allocator.known == {}


def test_a_request_that_each_node_passes_on_comes_to_an_end():
    session = Session(SMALL, 1, "1")
    for node in session.fleet.live():
        node.gossip.permits.is_leaving = lambda: True
    before = sum(session.fleet.datagrams.values())
    session.serve(1.0, 1_000)
    assert sum(session.fleet.datagrams.values()) - before < 8 * 8 * 10


KINDS = ["cut", "cut node", "kill one", "kill some", "freeze", "lose", "heal", "calm", "announce"]


def harm(session: Session, kind: str, pick: int) -> None:
    """Do one thing to a fleet."""
    fleet, nodes = session.fleet, session.fleet.live()
    node = nodes[pick % len(nodes)]
    if kind == "cut":
        session.cut(node.data_centre)
    elif kind == "cut node":
        fleet.cut = lambda one, other: node in (one, other)
    elif kind == "kill one":
        found = fleet.with_role(tiers.Role.COORDINATOR) or nodes
        session.restart(found[pick % len(found)])
    elif kind == "kill some":
        for other in nodes[pick % 3 :: 3]:
            session.restart(other)
    elif kind == "freeze":
        node.frozen = True
    elif kind == "lose":
        fleet.lose, fleet.late_ms = 0.1, 100
    elif kind == "announce":
        session.announced = ["", "0", "1", "3", "20"][pick % 5]
    elif kind == "heal":
        session.heal()


def over(size: gossip_fleet.Size, seed: int) -> float:
    """Return the part of what is allowed that an endpoint gets in a random session."""
    rng = random.Random(seed)
    rate = rng.choice([0.5, 1.0, 4.0, 10.0])
    session = Session(size, seed, str(rate))
    session.nodes = rng.choice([0, 0, 1, 3])
    session.serve(30.0, 2_000)
    for _ in range(rng.randint(3, 8)):
        kind = rng.choice(KINDS[:-1])
        harm(session, kind, rng.randrange(1_000))
        cut = [one for one in session.fleet.live() if _is_cut(session, one)]
        for _ in range(rng.randint(2, 30)):
            session.serve(rng.choice([2.0, 30.0, 100.0]), 100)
            session.harm(cut)
    session.heal()
    session.serve(100.0, 4_000)
    return session.most() / allowed(rate)


def _is_cut(session: Session, node: gossip_fleet.Node) -> bool:
    return any(session.fleet.cut(node, other) for other in session.fleet.live())


def test_the_rule_holds_in_random_sessions():
    found = [over(SMALL, seed) for seed in range(50)]
    assert max(found) <= 1.0, found


def test_the_rule_holds_in_random_sessions_of_a_large_fleet():
    found = over(LARGE, 0)
    assert found <= 1.0, found
