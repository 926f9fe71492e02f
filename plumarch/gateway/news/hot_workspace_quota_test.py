"""A workspace that asks a large fleet for ten times its rate gets its rate, evenly, and not more.

Without any fault 72 nodes admitted 1.014 of what is allowed, in pulses: nothing for half a second
and more, then twice the refill of a second within a quarter of one. What settled it were the levels
logged with sends: 1,000 to 50,000 units on all nodes at the same moment, while 858,000 were
admitted in half a second. News take some 300 ms over two tiers, and until they are there each node
that sees some units left gives them to a request of its own.
"""

import pytest

from plumarch.gateway.news import large_fleet_quota_test
from plumarch.limits import workspace_quota
from plumarch.standins import gossip_fleet

RATE = 430_000.0
BURST = 300_000.0
TOLERANCE = workspace_quota.Tolerance(8_000, 0.1, 72_000.0)
ALLOWED = (RATE * 8.0 + BURST) * 1.1 + 72_000.0
SIZE = gossip_fleet.Size(6, 12, workspaces=1, rate=RATE, burst=BURST, regions=3)
STEP_MS = 10
MANY_TIMES = 10.0
LEAST_IN_A_SECOND = 0.5
"""Part of the rate that a workspace gets in each second, however much it asks for."""

REFUSED_OF_OWED = 0.01


class Session(large_fleet_quota_test.Session):
    """A fleet over three regions, and callers of one workspace.

    Attributes:
      steps: what was admitted in each step.
    """

    def __init__(self, seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(large_fleet_quota_test, "TOLERANCE", TOLERANCE)
        super().__init__(SIZE, seed)
        self.steps: list[float] = []
        self.ask(0.5, 9_000)

    def ask(self, of_rate: float, for_ms: int, nodes: int = 0) -> float:
        """Let callers ask for a part or a multiple of the rate.

        Args:
          nodes: how many nodes they ask; all if 0.
        Returns:
          The part of what they asked for that was refused.
        """
        self.steps = []
        asked = owed = 0.0
        chosen = self.fleet.live()[: nodes or None]
        for _ in range(for_ms // STEP_MS):
            self.fleet.run(STEP_MS)
            owed += of_rate * RATE * STEP_MS / 1_000.0
            admitted = 0.0
            while owed > 0:
                units = self.rng.uniform(200, 9_000)
                owed -= units
                asked += units
                node = self.rng.choice(chosen)
                if node.state.quota.admit(self.space, units) == 0:
                    self.note(units)
                    self.send(node, units)
                    admitted += units
            self.steps.append(admitted)
        return 1.0 - sum(self.steps) / asked


def test_a_workspace_gets_its_rate_evenly_however_much_it_asks_for(
    monkeypatch: pytest.MonkeyPatch,
):
    for seed in range(2):
        session = Session(seed, monkeypatch)
        session.ask(MANY_TIMES, 12_000)
        assert session.most <= ALLOWED, session.most / ALLOWED
        seconds = [sum(session.steps[at : at + 100]) / RATE for at in range(300, 1_101, 10)]
        assert min(seconds) >= LEAST_IN_A_SECOND, seconds


@pytest.mark.parametrize("nodes", [0, 5])
def test_callers_within_the_rate_are_served_at_few_nodes_and_at_many(
    nodes: int, monkeypatch: pytest.MonkeyPatch
):
    session = Session(3, monkeypatch)
    assert session.ask(0.95, 8_000, nodes) <= REFUSED_OF_OWED
