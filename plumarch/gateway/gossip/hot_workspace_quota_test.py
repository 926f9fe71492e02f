"""A workspace that asks a large fleet for ten times its rate gets its rate, evenly, and not more.

Without any fault 72 nodes admitted 1.014 of what is allowed, in pulses: nothing for half a second
and more, then twice the refill of a second within a quarter of one. What settled it were the levels
logged with sends: 1,000 to 50,000 units on all nodes at the same moment, while 858,000 were
admitted in half a second. News take some 300 ms over two tiers, and until they are there each node
that sees some units left gives them to a request of its own.
"""

import pytest

from plumarch.gateway.gossip import large_fleet_quota_test
from plumarch.limits import quota_tolerance
from plumarch.standins import gossip_fleet

RATE = 430_000.0
BURST = 300_000.0
TOLERANCE = quota_tolerance.Tolerance(8_000, 0.1, 72_000.0)
ALLOWED = (RATE * 8.0 + BURST) * 1.1 + 72_000.0
SIZE = gossip_fleet.Size(6, 12, workspaces=1, rate=RATE, burst=BURST, regions=3)
STEP_MS = 10
MANY_TIMES = 10.0
MIN_IN_A_SECOND = 0.5
"""Part of the rate that a workspace gets in each second, however much it asks for."""

REFUSED_OF_OWED = 0.01


def new_session(seed: int, monkeypatch: pytest.MonkeyPatch) -> large_fleet_quota_test.Session:
    """Return a fleet over three regions that one workspace asked for half of its rate."""
    monkeypatch.setattr(large_fleet_quota_test, "TOLERANCE", TOLERANCE)
    session = large_fleet_quota_test.Session(SIZE, seed)
    session.ask_for(0.5 * RATE, 9_000, step_ms=STEP_MS)
    return session


def test_a_workspace_gets_its_rate_evenly_however_much_it_asks_for(
    monkeypatch: pytest.MonkeyPatch,
):
    for seed in range(2):
        session = new_session(seed, monkeypatch)
        steps = session.ask_for(MANY_TIMES * RATE, 12_000, step_ms=STEP_MS).steps
        assert session.most <= ALLOWED, session.most / ALLOWED
        seconds = [sum(steps[at : at + 100]) / RATE for at in range(300, 1_101, 10)]
        assert min(seconds) >= MIN_IN_A_SECOND, seconds


@pytest.mark.parametrize("nodes", [0, 5])
def test_callers_within_the_rate_are_served_at_few_nodes_and_at_many(
    nodes: int, monkeypatch: pytest.MonkeyPatch
):
    session = new_session(3, monkeypatch)
    asked = session.ask_for(0.95 * RATE, 8_000, nodes=nodes, step_ms=STEP_MS)
    assert asked.refused_units_part() <= REFUSED_OF_OWED
