"""Allotments over regions: never over, with late news, while regions are cut off or killed.

The rule and its sessions are those of large_fleet_quota_test; here up to 300 ms pass until news
of another region are there, and whole regions fail. The random sessions here are a few.

Sessions were over by up to 1.3, nine of 48, while coordinators that follow on those that died began
to count at nothing: what the others had admitted since the last sums that were told was charged by
nobody, on any node and for good, and at the end of a cut each side gave itself the others' parts
before it had heard that these were used. What settled it were the true level of the bucket beside
those that nodes believed: 1.5 s after the coordinators of a region were killed it was -66,000 where
they went by -34,000 to 37,000, and the gap stayed until the end.
"""

import hypothesis
import pytest
from hypothesis import strategies

from plumarch.gateway.gossip import large_fleet_quota_test
from plumarch.membership import tiers
from plumarch.standins import gossip_fleet

RATE = large_fleet_quota_test.RATE
ALLOWED = large_fleet_quota_test.ALLOWED
SIZE = gossip_fleet.Size(6, 6, workspaces=1, rate=RATE, burst=large_fleet_quota_test.BURST)
REGIONS = {f"dc-{letter}": "nnssww"[number] for number, letter in enumerate("abcdef")}
REFUSED_OF_OWED = 0.01


def region_of(node: gossip_fleet.Node) -> str:
    return REGIONS[node.data_centre]


def new_session(seed: int, late_ms: int) -> large_fleet_quota_test.Session:
    """Return a fleet whose news take up to some time on their way."""
    session = large_fleet_quota_test.Session(SIZE, seed)
    session.fleet.late_ms = late_ms
    session.fleet.run(2_000)
    return session


def cut_off(session: large_fleet_quota_test.Session, region: str) -> None:
    session.fleet.cut = lambda one, other: (
        (region_of(one) == region) != (region_of(other) == region)
    )


def asked(
    session: large_fleet_quota_test.Session, for_ms: int, of_rate: float, most: float
) -> float:
    """Let callers ask for a part of the rate, and return which part of the requests is refused.

    Args:
      most: units of the largest request.
    """
    return session.ask_for(of_rate * RATE, for_ms, most).refused_part()


@pytest.mark.parametrize("late_ms", [60, 150, 300])
def test_in_calm_times_hardly_anything_owed_is_refused(late_ms: int):
    session = new_session(1, late_ms)
    asked(session, 4_000, 0.5, 3_000.0)
    assert asked(session, 20_000, 0.95, 3_000.0) <= REFUSED_OF_OWED


@pytest.mark.parametrize("late_ms", [60, 150, 300])
def test_regions_that_hear_each_other_late_are_never_over(late_ms: int):
    session = new_session(2, late_ms)
    session.serve(12_000)
    assert session.most <= ALLOWED, session.most / ALLOWED


@pytest.mark.parametrize("seed", range(3))
def test_a_load_that_meets_regions_all_cut_off_from_each_other(seed: int):
    session = new_session(seed, 60)
    asked(session, 9_000, 0.5, 9_000.0)
    session.fleet.cut = lambda one, other: region_of(one) != region_of(other)
    session.serve(8_000)
    session.fleet.cut = lambda one, other: False
    session.serve(4_000)
    assert session.most <= ALLOWED, session.most / ALLOWED


def test_what_repeats_may_cost_is_parted_by_all_nodes_that_may_exist():
    session = new_session(1, 60)
    cut_off(session, "n")
    session.fleet.run(10_000)
    budgets = [node.state.budget for node in session.fleet.live()]
    assert sum(one.extra / one.nodes for one in budgets) <= budgets[0].extra


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["cut region", "cut all", "kill region", "kill coordinators", "freeze", "heal", "heal"]
        ),
        strategies.integers(0, 1_000),
        strategies.integers(2, 25),
    ),
    min_size=3,
    max_size=8,
)


# Which sessions are generated depends on the modules that are loaded, so one that is over is played
# each time. Without shrinking: a session takes seconds, and shrinking one took six minutes.
@hypothesis.example(
    steps=[
        ("cut all", 115, 7),
        ("kill coordinators", 700, 19),
        ("kill coordinators", 230, 8),
        ("heal", 413, 11),
        ("kill region", 175, 20),
        ("cut all", 159, 22),
    ],
    seed=6,
    late_ms=60,
)
@hypothesis.settings(
    max_examples=10,
    derandomize=True,
    deadline=None,
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
)
@hypothesis.given(STEPS, strategies.integers(0, 1_000), strategies.sampled_from([60, 150, 300]))
def test_the_rule_holds_whatever_happens_to_regions(
    steps: list[tuple[str, int, int]], seed: int, late_ms: int
):
    session = new_session(seed, late_ms)
    for kind, pick, length in steps:
        harm(session, kind, pick)
        session.serve(length * 100)
    session.fleet.cut = lambda one, other: False
    session.serve(2_000)
    assert session.most <= ALLOWED, session.most / ALLOWED


Steps = list[tuple[str, int, int]]

SESSIONS_OVER: tuple[tuple[int, int, Steps], ...] = (
    (
        743,
        300,
        [
            ("kill coordinators", 400, 12),
            ("kill coordinators", 64, 4),
            ("kill region", 993, 21),
            ("kill coordinators", 114, 10),
            ("cut all", 803, 21),
        ],
    ),
    (
        78,
        300,
        [
            ("cut all", 579, 4),
            ("kill region", 373, 11),
            ("freeze", 547, 5),
            ("kill coordinators", 918, 10),
            ("cut region", 805, 3),
            ("heal", 302, 2),
            ("freeze", 686, 2),
        ],
    ),
)
"""Seed, delay and steps of sessions in which a fleet admitted more than the rule allows."""


def test_the_rule_holds_while_processes_are_killed_beside_cuts():
    found = [most_of_allowed(*session) for session in SESSIONS_OVER]
    assert max(found) <= 1.0, found


SESSIONS_OVER_BY_LITTLE: tuple[tuple[int, int, Steps], ...] = (
    (
        19,
        150,
        [
            ("cut all", 66, 9),
            ("kill coordinators", 317, 23),
            ("kill region", 175, 18),
            ("cut all", 165, 2),
            ("kill region", 652, 7),
            ("heal", 125, 2),
            ("kill coordinators", 482, 18),
        ],
    ),
    (
        912,
        300,
        [
            ("kill region", 935, 3),
            ("kill coordinators", 4, 18),
            ("heal", 326, 8),
            ("kill coordinators", 510, 19),
            ("heal", 757, 13),
            ("freeze", 153, 19),
            ("heal", 734, 10),
            ("freeze", 478, 14),
        ],
    ),
    (
        988,
        150,
        [
            ("heal", 306, 4),
            ("kill coordinators", 314, 15),
            ("kill region", 927, 15),
            ("kill region", 698, 9),
            ("kill region", 190, 6),
        ],
    ),
)
"""Sessions that were over by up to 1.027 while what nodes had admitted since they heard others last
was taken from the parts of all: until a side of a cut is silent for long enough, both sides admit
from the whole."""


def most_of_allowed(seed: int, late_ms: int, steps: Steps) -> float:
    session = new_session(seed, late_ms)
    for kind, pick, length in steps:
        harm(session, kind, pick)
        session.serve(length * 100)
    session.fleet.cut = lambda one, other: False
    session.serve(2_000)
    return session.most / ALLOWED


def test_the_rule_holds_while_processes_are_killed_again_and_again():
    found = [most_of_allowed(*session) for session in SESSIONS_OVER_BY_LITTLE]
    assert max(found) <= 1.0, found


SESSIONS_OF_YOUNG_FLEETS: tuple[tuple[int, int, Steps], ...] = (
    (
        5005,
        300,
        [
            ("cut all", 56, 8),
            ("kill coordinators", 496, 12),
            ("kill region", 189, 4),
            ("cut all", 70, 25),
        ],
    ),
    (
        5043,
        150,
        [
            ("kill coordinators", 993, 20),
            ("cut region", 208, 4),
            ("heal", 781, 14),
            ("heal", 27, 11),
            ("heal", 504, 23),
        ],
    ),
)
"""Sessions of fleets that started less than 8 s before, as a whole: no node takes its level for
settled, so none tells it, and coordinators that follow on killed ones keep a level 40,000 units
above that of the others."""


def test_the_rule_holds_while_processes_of_a_young_fleet_are_killed():
    found = [most_of_allowed(*session) for session in SESSIONS_OF_YOUNG_FLEETS]
    assert max(found) <= 1.0, found


def test_the_rule_holds_where_a_region_is_killed_twice_and_news_are_late():
    """After a cut of all regions levels lie between -13,000 and 22,000 units, some 300 ms old, and
    nodes of five data centres admit 70,000 in 0.6 s.
    """
    steps = [
        ("kill region", 425, 20),
        ("kill region", 552, 14),
        ("heal", 901, 3),
        ("heal", 771, 16),
        ("cut all", 79, 5),
    ]
    found = most_of_allowed(6033, 300, steps)
    assert found <= 1.0, found


MAX_REFUSED_AFTER_CUTS = 0.04
"""0.189 while what others had admitted in a cut was charged as if at one moment; 0.020 since."""


def test_regions_that_hear_each_other_again_refuse_little_of_what_is_owed():
    """At 0.8 of the rate, over 5 s after a cut of 6 s; coordinators were killed before."""
    refused = []
    for seed in range(6):
        session = new_session(seed, 60)
        asked(session, 6_000, 0.8, 3_000.0)
        harm(session, "kill coordinators", seed)
        asked(session, 8_000, 0.8, 3_000.0)
        harm(session, "cut all", 0)
        asked(session, 6_000, 0.8, 3_000.0)
        harm(session, "heal", 0)
        refused.append(asked(session, 5_000, 0.8, 3_000.0))
    assert sum(refused) / len(refused) <= MAX_REFUSED_AFTER_CUTS, refused


def harm(session: large_fleet_quota_test.Session, kind: str, pick: int) -> None:
    """Do one thing to a region."""
    fleet = session.fleet
    region = "nsw"[pick % 3]
    own = [node for node in fleet.live() if region_of(node) == region]
    if kind == "cut region":
        cut_off(session, region)
    elif kind == "cut all":
        fleet.cut = lambda one, other: region_of(one) != region_of(other)
    elif kind == "kill region":
        for node in own:
            session.restart(node)
    elif kind == "kill coordinators":
        for node in fleet.with_role(tiers.Role.COORDINATOR):
            if node in own:
                session.restart(node)
    elif kind == "freeze":
        for node in own[pick % 2 :: 2]:
            node.frozen = True
    else:
        fleet.cut = lambda one, other: False
        for node in fleet.live():
            if node.frozen:
                fleet.thaw(node)
