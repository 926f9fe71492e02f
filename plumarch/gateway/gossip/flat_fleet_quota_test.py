"""Allotments in a fleet in which each node hears each other: never over beside cuts and kills.

A workspace asked for several times its rate, a data centre was cut off, three nodes of the others
were killed meanwhile, and 849,377 units were admitted and run in 8 s where 836,369 are allowed.
What settled it were the levels that nodes logged with their sends. When the cut ended, those that
had run since before it stood at -114,000 to -140,000, since they heard at once what the other side
had admitted. The three that had started in it took over the level of their own side, 52,000 to
83,000, and charged nothing: what a node admitted before it is heard for the first time counts as
charged. So they went on to admit as if the other side had admitted nothing.
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
    """A small fleet whose callers ask for little, and then for many times the rate."""

    def __init__(self, seed: int) -> None:
        super().__init__(SIZE, seed)
        self.ask(0.4, 9_000)

    def ask(self, of_rate: float, for_ms: int) -> None:
        """Let callers ask for a part or a multiple of the rate."""
        self.offered = of_rate * RATE / large_fleet_quota_test.RATE
        self.serve(for_ms)

    def cut_off(self, data_centre: str) -> None:
        """Cut a data centre off from the others."""
        self.fleet.cut = lambda one, other: (
            (one.data_centre == data_centre) != (other.data_centre == data_centre)
        )

    def heal(self) -> None:
        """End all cuts."""
        self.fleet.cut = lambda one, other: False

    def kill_three(self, but: str = "") -> None:
        """Kill three nodes, none of them in a data centre."""
        found = [node for node in self.fleet.live() if node.data_centre != but]
        for node in self.rng.sample(found, 3):
            self.restart(node)


@pytest.mark.parametrize("times", [3.0, 6.0])
@pytest.mark.parametrize("after_ms", [0, 300, 1_100])
def test_a_cut_while_a_workspace_asks_for_several_times_its_rate(times: float, after_ms: int):
    session = Session(1)
    session.ask(times, after_ms)
    session.cut_off("dc-a")
    session.ask(times, 3_600)
    session.heal()
    session.ask(times, 4_000)
    assert session.most <= ALLOWED, session.most / ALLOWED


def most_with_kills_in_a_cut(times: float, seed: int) -> float:
    """Return the part of what is allowed that is admitted."""
    session = Session(seed)
    session.ask(times, 300)
    session.cut_off("dc-a")
    session.ask(times, 2_200)
    session.kill_three(but="dc-a")
    session.ask(times, 1_400)
    session.heal()
    session.ask(times, 800)
    session.kill_three()
    session.ask(times, 4_000)
    return session.most / ALLOWED


def test_nodes_that_start_in_a_cut_hear_at_its_end_what_the_others_admitted():
    found = [most_with_kills_in_a_cut(times, seed) for times in (3.0, 6.0) for seed in range(4)]
    assert max(found) <= 1.0, found


MAX_REFUSED_AFTER_CUTS = 0.02
"""0.21 to 0.26 while all was charged that the other side had admitted in a cut."""


@pytest.mark.parametrize("of_rate", [0.5, 0.8, 0.95])
def test_hardly_anything_owed_is_refused_in_a_cut_after_it_and_after_kills(of_rate: float):
    for seed in range(3):
        session = Session(seed)
        found = [session.ask_for(of_rate * RATE, 6_000).refused_part()]
        session.cut_off("dc-a")
        found.append(session.ask_for(of_rate * RATE, 6_000).refused_part())
        session.heal()
        found.append(session.ask_for(of_rate * RATE, 5_000).refused_part())
        session.kill_three()
        found.append(session.ask_for(of_rate * RATE, 4_000).refused_part())
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


def most_of_allowed(seed: int, steps: Steps) -> float:
    """Return the part of what is allowed that is admitted in a session.

    Args:
      steps: what is done, to which node, for how many tenths of a second, and what callers ask
        for meanwhile in multiples of the rate.
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
        session.ask(of_rate, length * 100)
    session.heal()
    session.ask(6.0, 2_000)
    return session.most / ALLOWED


def random_steps(seed: int) -> Steps:
    """Return the steps of a session; hypothesis would draw others with other modules loaded."""
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


def test_the_rule_holds_in_random_sessions():
    found = [most_of_allowed(seed, random_steps(seed)) for seed in range(48)]
    assert max(found) <= 1.0, found


SESSIONS_OVER: tuple[tuple[int, Steps], ...] = (
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
"""287: a tenth of the news is lost, the rest is up to 100 ms late. 400: a cut begins at ten times
the rate on a full bucket, and a third of the nodes is killed three times in a second after it."""


def test_the_rule_holds_while_nodes_are_killed_again_and_again_or_news_are_lost():
    found = [most_of_allowed(*session) for session in SESSIONS_OVER]
    assert max(found) <= 1.0, found


def test_the_rule_holds_where_a_node_is_cut_off_alone_and_killed():
    """Until it was noticed to be cut off it admitted a whole bucket, and nobody heard of it."""
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
    found = most_of_allowed(1010, steps)
    assert found <= 1.0, found
