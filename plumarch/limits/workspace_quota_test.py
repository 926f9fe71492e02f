"""Quotas on one node, on several that reach each other, and across partitions."""

import random

import hypothesis
from hypothesis import strategies

from plumarch.core import clock, traffic
from plumarch.limits import quota_records, quota_tolerance, workspace_quota

SPACE = traffic.Workspace("w", ("k",), counts_tokens=True, rate=1_000.0, burst=2_000.0)
TABLE = {"w": SPACE}


def quota_of(time: clock.ManualClock, started_ms: int = -100_000) -> workspace_quota.WorkspaceQuota:
    found = workspace_quota.WorkspaceQuota(time, started_ms)
    found.retain(TABLE)
    return found


def test_a_workspace_without_a_rate_is_never_refused():
    quota = workspace_quota.WorkspaceQuota(clock.ManualClock(), 0)
    assert quota.admit(traffic.Workspace("free", ()), 1e9) == 0


def test_beyond_the_burst_the_wait_is_the_time_to_refill():
    quota = quota_of(clock.ManualClock())
    assert quota.admit(SPACE, 2_000) == 0
    assert quota.admit(SPACE, 500) == 500.0


def test_a_process_that_starts_has_an_empty_bucket():
    quota = quota_of(clock.ManualClock(), started_ms=0)
    assert quota.admit(SPACE, 100) > 0


def test_a_refund_is_available_again():
    quota = quota_of(clock.ManualClock())
    quota.admit(SPACE, 2_000)
    quota.refund(SPACE, 2_000)
    assert quota.admit(SPACE, 2_000) == 0
    assert quota.report()["w"].spent == 2_000


def test_what_a_peer_admits_is_charged_once():
    time = clock.ManualClock()
    quota = quota_of(time)
    quota.apply_node_report("b#1", {"w": quota_records.PeerSpending(500, 2_000)})
    for _ in range(3):
        quota.apply_node_report("b#1", {"w": quota_records.PeerSpending(1_500, 1_000)})
    assert quota.report()["w"].level == 1_000


def test_a_new_node_takes_over_the_lower_level_of_a_peer():
    quota = quota_of(clock.ManualClock())
    quota.apply_node_report("b#1", {"w": quota_records.PeerSpending(90_000, 300)})
    assert quota.report()["w"].level == 300


def test_a_node_that_reaches_half_of_the_fleet_uses_half():
    quota = quota_of(clock.ManualClock())
    quota.set_reachable_fraction(0.5)
    assert quota.admit(SPACE, 1_000) == 0
    assert quota.admit(SPACE, 500) == 1_000.0


def test_admissions_before_a_partition_is_detected_come_from_the_own_share():
    """Both sides admit from the complete level at first; each then has its half less that."""
    time = clock.ManualClock()
    quota = quota_of(time)
    quota.set_reachable_fraction(1.0)
    quota.admit(SPACE, 800)
    quota.set_reachable_fraction(0.5)
    assert quota.report()["w"].level == 1_200
    assert quota.admit(SPACE, 200) == 0
    assert quota.admit(SPACE, 200) > 0


def test_a_process_that_started_in_a_partition_takes_over_lower_levels_after_it():
    time = clock.ManualClock()
    quota = quota_of(time, started_ms=0)
    quota.apply_node_report("near#1", {"w": quota_records.PeerSpending(0, 1_800)})
    time.advance_to(5_000)
    quota.apply_node_report("far#1", {"w": quota_records.PeerSpending(40_000, 2_000)})
    assert quota.report()["w"].level == 2_000
    quota.apply_node_report("near#1", {"w": quota_records.PeerSpending(0, -9_000)})
    assert quota.report()["w"].level == -9_000
    time.advance_to(5_000 + workspace_quota.RESYNC_MS)
    quota.apply_node_report("near#1", {"w": quota_records.PeerSpending(0, -20_000)})
    assert quota.report()["w"].level == -8_000


def test_a_peers_share_of_the_refill_while_unreachable_is_not_charged():
    time = clock.ManualClock()
    quota = quota_of(time)
    quota.apply_node_report("b#1", {"w": quota_records.PeerSpending(0, 2_000)})
    time.advance_to(6_000)
    reported = {"w": quota_records.PeerSpending(3_000, 2_000)}
    assert quota.apply_node_report("b#1", reported, after_gap=True, share=0.5) == {"w": 1_000.0}


def test_at_a_low_level_a_node_of_a_large_fleet_is_limited_to_its_share_of_the_refill():
    time = clock.ManualClock()
    quota = quota_of(time)
    quota.admitting_nodes = 10
    assert quota.admit(SPACE, 1_600) == 0
    assert quota.admit(SPACE, 150) == 0
    assert quota.report()["w"].level == 250
    assert quota.admit(SPACE, 50) == 500.0
    time.advance_to(500)
    assert quota.admit(SPACE, 50) == 0


def test_a_refund_restores_a_nodes_own_share():
    quota = quota_of(clock.ManualClock())
    quota.admitting_nodes = 10
    quota.admit(SPACE, 1_750)
    quota.admit(SPACE, 50)
    assert quota.admit(SPACE, 50) > 0
    quota.refund(SPACE, 100)
    assert quota.admit(SPACE, 50) == 0


def test_when_all_are_reachable_again_the_complete_level_is_available():
    quota = quota_of(clock.ManualClock())
    quota.set_reachable_fraction(0.5)
    quota.admit(SPACE, 600)
    quota.apply_node_report("b#1", {"w": quota_records.PeerSpending(0, 2_000)})
    quota.apply_node_report("b#1", {"w": quota_records.PeerSpending(300, 1_100)})
    quota.set_reachable_fraction(1.0)
    assert quota.admit(SPACE, 1_100) == 0
    assert quota.admit(SPACE, 1) > 0


def test_a_starting_node_takes_over_the_level_of_a_settled_one():
    quota = quota_of(clock.ManualClock(), started_ms=0)
    quota.apply_node_report("new#1", {"w": quota_records.PeerSpending(0, 50, settled=False)})
    assert quota.report()["w"].level == 0
    quota.apply_node_report("old#1", {"w": quota_records.PeerSpending(9_000, 1_700)})
    assert quota.report()["w"].level == 1_700


def test_a_reported_level_is_current_without_recent_requests():
    time = clock.ManualClock()
    quota = quota_of(time)
    quota.apply_node_report("b#1", {"w": quota_records.PeerSpending(0, 2_000)})
    for second in range(1, 11):
        time.advance_to(second * 1_000)
        quota.apply_node_report("b#1", {"w": quota_records.PeerSpending(900.0 * second, 2_000)})
    assert quota.report()["w"].level >= 1_000


def test_a_node_that_starts_among_idle_ones_does_not_block_the_fleet():
    time = clock.ManualClock()
    nodes = [quota_of(time) for _ in range(4)]
    busy = nodes[0]
    for step in range(40):
        time.advance_to(step * 250)
        busy.admit(SPACE, 200)
        for node in nodes[1:]:
            node.apply_node_report("busy#1", busy.report())
    nodes.append(quota_of(time, started_ms=time.now()))
    for _ in range(2):
        reports = [node.report() for node in nodes]
        for to, node in enumerate(nodes):
            for source, report in enumerate(reports):
                if to != source:
                    node.apply_node_report(f"{source}#2", report)
    assert all(node.admit(SPACE, 1_000) == 0 for node in nodes)


def test_when_others_become_unreachable_the_share_is_of_the_current_level():
    time = clock.ManualClock()
    quota = quota_of(time)
    quota.apply_node_report("b#1", {"w": quota_records.PeerSpending(0, 2_000)})
    quota.apply_node_report("b#1", {"w": quota_records.PeerSpending(4_000, 2_000)})
    time.advance_to(4_000)
    quota.set_reachable_fraction(0.5)
    assert quota.admit(SPACE, 1_000) == 0


def test_a_level_that_is_taken_over_refills_only_from_then_on():
    time = clock.ManualClock()
    quota = quota_of(time, started_ms=0)
    time.advance_to(2_000)
    quota.apply_node_report("old#1", {"w": quota_records.PeerSpending(9_000, 500)})
    assert quota.report()["w"].level == 500


def tolerant(time: clock.ManualClock, started_ms: int = -100_000) -> workspace_quota.WorkspaceQuota:
    quota = workspace_quota.WorkspaceQuota(time, started_ms)
    quota.tolerance = quota_tolerance.Tolerance(8_000, 0.1, 1_000.0)
    quota.retain(TABLE)
    return quota


EXCESS = quota_tolerance.REFILL_FRACTION * 2_000.0
"""Refill of SPACE beyond its quota in a window of 8 s."""

EXCESS_CAPACITY = quota_tolerance.CAPACITY_FRACTION * 2_000.0
"""Capacity of its bucket beyond the burst."""


def test_any_node_may_use_the_refill_from_the_tolerated_excess():
    time = clock.ManualClock()
    quota = tolerant(time)
    quota.admit(SPACE, 2_000)
    admitted = 0
    while time.now() < 8_000:
        time.advance_to(time.now() + 100)
        while quota.admit(SPACE, 10) == 0:
            admitted += 10
    assert 8_000 + EXCESS - 20 <= admitted <= 8_000 + EXCESS


def test_a_process_that_just_started_has_no_excess():
    quota = tolerant(clock.ManualClock(), started_ms=0)
    assert quota.admit(SPACE, 1) > 0


def test_a_separated_group_uses_only_its_share_of_the_excess():
    time = clock.ManualClock()
    quota = tolerant(time)
    quota.set_reachable_fraction(0.25)
    quota.admit(SPACE, 500)
    time.advance_to(8_000)
    quota.retain(TABLE)
    assert quota.buckets["w"].share == 500 + 0.25 * EXCESS_CAPACITY
    for _ in range(13):
        assert quota.admit(SPACE, 50) == 0
    time.advance_to(8_100)
    quota.retain(TABLE)
    assert abs(quota.buckets["w"].share - 0.25 * (8_000 + EXCESS) / 80) < 1e-6


def test_a_large_prompt_fits_after_others():
    time = clock.ManualClock()
    quota = tolerant(time)
    time.advance_to(8_000)
    assert quota.admit(SPACE, 600) == 0
    assert quota.admit(SPACE, 2_000) == 0
    assert quota.admit(SPACE, 200) > 0


def test_the_least_urgent_leave_the_excess_capacity_to_the_others():
    time = clock.ManualClock()
    quota = tolerant(time)
    time.advance_to(8_000)
    least = workspace_quota.LEAST_URGENT_RANK
    while quota.admit(SPACE, 50, least) == 0:
        pass
    assert quota.buckets["w"].level >= EXCESS_CAPACITY
    assert quota.admit(SPACE, EXCESS_CAPACITY, 1) == 0
    assert quota.admit(SPACE, 50, 0) > 0


def test_after_a_start_of_all_nodes_the_least_urgent_wait_no_longer_than_others():
    time = clock.ManualClock()
    quota = tolerant(time, started_ms=0)
    time.advance_to(100)
    quota.retain(TABLE)
    time.advance_to(200)
    assert quota.admit(SPACE, 50, workspace_quota.LEAST_URGENT_RANK) == 0


def test_the_least_urgent_get_the_complete_burst():
    time = clock.ManualClock()
    quota = tolerant(time)
    time.advance_to(8_000)
    assert quota.admit(SPACE, SPACE.burst, workspace_quota.LEAST_URGENT_RANK) == 0


def test_the_maximum_of_a_window_stays_within_the_tolerance():
    quota = tolerant(clock.ManualClock())
    used = quota_tolerance.CAPACITY_FRACTION + quota_tolerance.REFILL_FRACTION
    assert used <= 0.7
    most = quota.tolerance.capacity(SPACE, 250.0) + 8 * quota.tolerance.refill(SPACE, 250.0)
    assert most <= (SPACE.rate * 8 + SPACE.burst) * 1.1 + 1_000.0


def test_less_of_the_excess_is_used_where_heartbeats_are_rarer():
    tolerance = quota_tolerance.Tolerance(8_000, 0.1, 1_000.0)
    often = tolerance.refill(SPACE, 250.0) - SPACE.rate
    assert abs(often - EXCESS / 8) < 1e-6
    assert abs(tolerance.refill(SPACE, 1_000.0) - SPACE.rate - often / 4) < 1e-6


NODES = 4


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["ask", "ask", "ask", "step", "cut", "heal", "restart"]),
            strategies.integers(0, NODES - 1),
            strategies.integers(1, 400),
        ),
        max_size=150,
    ),
    strategies.integers(0, 1_000),
)
@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
def test_no_window_exceeds_the_allotment_by_more_than_what_crosses_between_heartbeats(
    steps: list[tuple[str, int, int]], seed: int
):
    """Random asks, cuts, and restarts; every 8 s window stays within rate, burst and slack."""
    rng = random.Random(seed)
    time = clock.ManualClock()
    tolerance = quota_tolerance.Tolerance(8_000, 0.1, 2_000.0)

    def new_node(started_ms: int) -> workspace_quota.WorkspaceQuota:
        found = workspace_quota.WorkspaceQuota(time, started_ms, tolerance)
        found.retain(TABLE)
        return found

    nodes = [new_node(-100_000) for _ in range(NODES)]
    lives = [0] * NODES
    group = [0] * NODES
    admitted: list[tuple[int, float]] = []

    def exchange() -> None:
        for to in range(NODES):
            heard = sum(1 for other in range(NODES) if group[other] == group[to])
            nodes[to].set_reachable_fraction(heard / NODES)
            nodes[to].retain(TABLE)
        reports = [node.report() for node in nodes]
        for to in range(NODES):
            for source in range(NODES):
                if source != to and group[source] == group[to]:
                    nodes[to].apply_node_report(f"{source}#{lives[source]}", reports[source])

    for name, node, amount in steps:
        if name == "ask":
            for _ in range(3):
                if nodes[node].admit(SPACE, amount) == 0:
                    admitted.append((time.now(), amount))
            exchange()
        elif name == "step":
            time.advance_to(time.now() + amount * 4)
            exchange()
        elif name == "cut":
            group[node] = rng.randrange(3)
            exchange()
        elif name == "heal":
            group[:] = [0] * NODES
            exchange()
        else:
            lives[node] += 1
            nodes[node] = new_node(time.now())
            exchange()
    window_ms = 8_000
    crossing = 3 * 400 * NODES
    for at, _ in admitted:
        total = sum(units for when, units in admitted if at <= when < at + window_ms)
        assert total <= (SPACE.rate * 8 + SPACE.burst) * 1.1 + 2_000 + crossing
