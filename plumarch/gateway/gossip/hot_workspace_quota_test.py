"""A workspace under ten times its rate gets its rate evenly in a large fleet.

Guards against pulses: levels are some 300 ms old, so all nodes admit from the same few units.
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
OVERLOAD = 10.0
MIN_PER_SECOND = 0.5
"""Minimum fraction of the rate that a workspace gets in each second under overload."""

MAX_REFUSED = 0.01


def new_session(seed: int, monkeypatch: pytest.MonkeyPatch) -> large_fleet_quota_test.Session:
    """Return a fleet over three regions after a load of half a workspace's rate."""
    monkeypatch.setattr(large_fleet_quota_test, "TOLERANCE", TOLERANCE)
    session = large_fleet_quota_test.Session(SIZE, seed)
    session.offer_load(0.5 * RATE, 9_000, step_ms=STEP_MS)
    return session


def test_a_workspace_gets_its_rate_evenly_under_overload(
    monkeypatch: pytest.MonkeyPatch,
):
    for seed in range(2):
        session = new_session(seed, monkeypatch)
        steps = session.offer_load(OVERLOAD * RATE, 12_000, step_ms=STEP_MS).steps
        assert session.most <= ALLOWED, session.most / ALLOWED
        seconds = [sum(steps[at : at + 100]) / RATE for at in range(300, 1_101, 10)]
        assert min(seconds) >= MIN_PER_SECOND, seconds


@pytest.mark.parametrize("nodes", [0, 5])
def test_requests_within_the_rate_are_admitted_at_few_nodes_and_at_many(
    nodes: int, monkeypatch: pytest.MonkeyPatch
):
    session = new_session(3, monkeypatch)
    outcome = session.offer_load(0.95 * RATE, 8_000, nodes=nodes, step_ms=STEP_MS)
    assert outcome.refused_units_fraction() <= MAX_REFUSED
