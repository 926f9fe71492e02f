"""Allotments in a fleet in which each node hears each other: never over beside cuts and kills.

A workspace asked for several times its rate, a data centre was cut off, three nodes of the others
were killed meanwhile, and 849,377 units were admitted and run in 8 s where 836,369 are allowed.
What settled it were the levels that nodes logged with their sends. When the cut ended, those that
had run since before it stood at -114,000 to -140,000, since they heard at once what the other side
had admitted. The three that had started in it took over the level of their own side, 52,000 to
83,000, and charged nothing: what a node admitted before it is heard for the first time counts as
charged. So they went on to admit as if the other side had admitted nothing.
"""

import pytest

from plumarch.gateway import large_fleet_quota_test
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
