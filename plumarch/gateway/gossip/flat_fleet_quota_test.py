"""Quotas in a flat fleet are kept through partitions and restarts.

Guards against nodes that start during a partition and, when it heals, charge nothing for what the
other side admitted.
"""

import random

import pytest

from plumarch.gateway.gossip import large_fleet_quota_test
from plumarch.standins import gossip_fleet

RATE = 77_000.0
BURST = 77_000.0
ALLOWED = (RATE * 8.0 + BURST) * 1.1 + 72_000.0
SIZE = gossip_fleet.Size(3, 0, workspaces=1, rate=RATE, burst=BURST, counts=(3, 3, 2))


class Session(large_fleet_quota_test.Session):
    """A flat fleet under a low load, then under many times the rate."""

    def __init__(self, seed: int) -> None:
        super().__init__(SIZE, seed)
        self.offer(0.4, 9_000)

    def offer(self, of_rate: float, for_ms: int) -> None:
        """Offer a load in multiples of the rate."""
        self.offered = of_rate * RATE / large_fleet_quota_test.RATE
        self.serve(for_ms)

    def cut_off(self, data_centre: str) -> None:
        """Partition a data centre from the others."""
        self.fleet.cut = lambda one, other: (
            (one.data_centre == data_centre) != (other.data_centre == data_centre)
        )

    def heal(self) -> None:
        """Heal all partitions."""
        self.fleet.cut = lambda one, other: False

    def restart_three(self, except_in: str = "") -> None:
        """Restart three nodes, none of them in a given data centre."""
        found = [node for node in self.fleet.live() if node.data_centre != except_in]
        for node in self.rng.sample(found, 3):
            self.restart(node)


@pytest.mark.parametrize("times", [3.0, 6.0])
@pytest.mark.parametrize("after_ms", [0, 300, 1_100])
def test_quotas_are_kept_through_a_partition_under_several_times_the_rate(
    times: float, after_ms: int
):
    session = Session(1)
    session.offer(times, after_ms)
    session.cut_off("dc-a")
    session.offer(times, 3_600)
    session.heal()
    session.offer(times, 4_000)
    assert session.most <= ALLOWED, session.most / ALLOWED


def max_with_restarts_in_a_partition(times: float, seed: int) -> float:
    """Return the admitted units as a fraction of the allowed ones."""
    session = Session(seed)
    session.offer(times, 300)
    session.cut_off("dc-a")
    session.offer(times, 2_200)
    session.restart_three(except_in="dc-a")
    session.offer(times, 1_400)
    session.heal()
    session.offer(times, 800)
    session.restart_three()
    session.offer(times, 4_000)
    return session.most / ALLOWED


def test_nodes_started_in_a_partition_charge_what_the_other_side_admitted():
    found = [
        max_with_restarts_in_a_partition(times, seed) for times in (3.0, 6.0) for seed in range(4)
    ]
    assert max(found) <= 1.0, found


MAX_REFUSED_AFTER_CUTS = 0.02


@pytest.mark.parametrize("of_rate", [0.5, 0.8, 0.95])
def test_few_requests_within_the_rate_are_refused_through_a_partition_and_restarts(of_rate: float):
    for seed in range(3):
        session = Session(seed)
        found = [session.offer_load(of_rate * RATE, 6_000).refused_fraction()]
        session.cut_off("dc-a")
        found.append(session.offer_load(of_rate * RATE, 6_000).refused_fraction())
        session.heal()
        found.append(session.offer_load(of_rate * RATE, 5_000).refused_fraction())
        session.restart_three()
        found.append(session.offer_load(of_rate * RATE, 4_000).refused_fraction())
        assert max(found) <= MAX_REFUSED_AFTER_CUTS, found


KINDS = [
    "cut centre",
    "cut node",
    "kill some",
    "kill one",
    "freeze",
    "lose",
    "heal",
    "heal",
    "calm",
]
Steps = list[tuple[str, int, int, float]]


def max_of_allowed(seed: int, steps: Steps) -> float:
    """Return the units admitted in a session as a fraction of the allowed ones.

    Args:
      steps: kind of fault, index of the node, tenths of a second, and the load in multiples of the
        rate.
    """
    session = Session(seed)
    for kind, pick, length, of_rate in steps:
        nodes = session.fleet.live()
        if kind == "cut centre":
            session.cut_off(nodes[pick % len(nodes)].data_centre)
        elif kind == "kill one":
            session.restart(nodes[pick % len(nodes)])
        elif kind != "calm":
            large_fleet_quota_test.harm(session, kind, pick)
        session.offer(of_rate, length * 100)
    session.heal()
    session.offer(6.0, 2_000)
    return session.most / ALLOWED


def random_steps(seed: int) -> Steps:
    """Return random steps of a session; those of hypothesis depend on the loaded modules."""
    rng = random.Random(seed)
    return [
        (
            rng.choice(KINDS),
            rng.randrange(1_000),
            rng.randint(2, 30),
            rng.choice([0.5, 0.9, 3.0, 6.0, 10.0]),
        )
        for _ in range(rng.randint(3, 8))
    ]


def test_quotas_are_kept_in_random_sessions():
    found = [max_of_allowed(seed, random_steps(seed)) for seed in range(48)]
    assert max(found) <= 1.0, found


REGRESSION_SESSIONS: tuple[tuple[int, Steps], ...] = (
    (
        287,
        [
            ("cut centre", 321, 10, 0.5),
            ("kill some", 427, 21, 10.0),
            ("calm", 230, 2, 0.9),
            ("lose", 292, 7, 6.0),
            ("cut node", 38, 21, 10.0),
            ("lose", 917, 24, 6.0),
            ("kill one", 678, 7, 10.0),
        ],
    ),
    (
        400,
        [
            ("cut centre", 150, 28, 10.0),
            ("kill some", 121, 12, 10.0),
            ("kill some", 253, 2, 6.0),
            ("kill some", 253, 2, 6.0),
            ("cut node", 311, 22, 6.0),
            ("kill some", 706, 22, 6.0),
            ("freeze", 602, 20, 0.9),
        ],
    ),
)
"""287: a tenth of the messages is lost, the others are up to 100 ms late. 400: a partition at
ten times the rate on a full bucket, with a third of the nodes restarted three times in it."""


def test_quotas_are_kept_through_repeated_restarts_and_lost_messages():
    found = [max_of_allowed(*session) for session in REGRESSION_SESSIONS]
    assert max(found) <= 1.0, found


def test_quotas_are_kept_when_an_isolated_node_is_killed():
    """Guards against a full bucket that it admits unreported before it notices the partition."""
    steps = [
        ("kill one", 547, 4, 6.0),
        ("heal", 422, 7, 0.9),
        ("heal", 895, 25, 0.9),
        ("cut node", 853, 25, 10.0),
        ("calm", 364, 10, 10.0),
        ("kill some", 401, 17, 10.0),
        ("lose", 531, 4, 0.5),
        ("calm", 530, 19, 3.0),
    ]
    found = max_of_allowed(1010, steps)
    assert found <= 1.0, found
