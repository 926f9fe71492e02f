"""Tests what a node knows of regions: admitted units, reachability, network latency."""

import pytest

from plumarch.config import routing_table
from plumarch.core import clock, traffic
from plumarch.gateway import fleet_state
from plumarch.gateway.gossip import coordination, region_sums
from plumarch.limits import quota_records
from plumarch.membership import fleet_view, tiers
from plumarch.routing import distance
from plumarch.standins import gateway_parts

REGIONS = {"a": "north", "b": "north", "c": "south", "d": "south"}
SPACE = traffic.Workspace("w", ("k",), counts_tokens=True, rate=1e6, burst=1e6)
START_MS = 1_000_000


def new_sums(
    time: clock.ManualClock, regions: dict[str, str] = REGIONS
) -> tuple[region_sums.RegionSums, fleet_state.FleetState]:
    state = gateway_parts.new_state(time)
    state.distances = distance.Distances(time, "a", regions)
    state.quota.retain({"w": SPACE})
    view = fleet_view.FleetView(time, "n", time.now(), "10.0.0.1:7", "a")
    view.role = tiers.Role.COORDINATOR
    return region_sums.RegionSums(state, view), state


def centre(nodes: int, reachable: int, received_ms: int) -> tiers.CentreView:
    return tiers.CentreView(nodes, reachable, (), 0, None, 0, 0, received_ms)


def test_admitted_units_count_for_the_region_of_the_node():
    time = clock.ManualClock(START_MS)
    sums, state = new_sums(time)
    quota = state.quota
    sums.view.mark_seen("m", 5, "10.0.0.2:7", "b")
    quota.apply_node_report("m#5", {"w": quota_records.PeerSpending(9_000.0, 1e6)})
    sums.begin()
    quota.admit(SPACE, 100.0)
    quota.apply_node_report("m#5", {"w": quota_records.PeerSpending(9_050.0, 1e6)})
    quota.apply_centre_summary(coordination.CENTRE + "c", {"w": 30.0}, {})
    quota.apply_centre_summary(coordination.CENTRE + "d", {"w": 4.0}, {})
    assert sums.admitted() == {"north": 150.0, "south": 34.0}
    quota.refund(SPACE, 100.0)
    quota.apply_centre_summary(coordination.CENTRE + "d", {"w": 1.0}, {})
    assert sums.admitted() == {"north": 0.0, "south": 1.0}


def test_node_that_is_gone_counts_for_no_region():
    time = clock.ManualClock(START_MS)
    sums, state = new_sums(time)
    sums.begin()
    state.quota.apply_node_report("x#1", {"w": quota_records.PeerSpending(0.0, 1e6)})
    state.quota.apply_node_report("x#1", {"w": quota_records.PeerSpending(70.0, 1e6)})
    assert sums.admitted() == {}
    state.quota.forget("x#1")
    assert "x" not in state.quota.charged_by


def test_region_with_an_unreachable_or_unknown_data_centre_is_partially_reachable():
    time = clock.ManualClock(START_MS)
    sums, _ = new_sums(time)
    assert sums.partially_reachable(0.9) == {"north", "south"}
    for name in "bcd":
        sums.view.centres[name] = centre(10, 10, time.now())
    assert sums.partially_reachable(0.9) == frozenset()
    sums.view.centres["d"] = centre(10, 7, time.now())
    assert sums.partially_reachable(0.9) == {"south"}
    time.advance_to(time.now() + 3_000)
    for name in "cd":
        sums.view.centres[name] = centre(10, 10, time.now())
    assert sums.partially_reachable(0.9) == {"north"}


def test_without_named_regions_unknown_data_centres_do_not_count():
    time = clock.ManualClock(START_MS)
    sums, _ = new_sums(time, {})
    assert sums.partially_reachable(0.9) == frozenset()


@pytest.mark.parametrize(("targets", "expected"), [((1_200.0, 1_000.0), 0.12), ((), 0.0)])
def test_network_latency_is_a_fraction_of_the_tightest_target(
    targets: tuple[float, ...], expected: float
):
    time = clock.ManualClock(START_MS)
    _, state = new_sums(time)
    routes = tuple(
        traffic.Route(
            f"r{number}",
            "h",
            f"/{number}",
            traffic.RouteKind.STREAMING,
            5_000.0,
            target,
            (traffic.ServiceShare("s", 1.0),),
        )
        for number, target in enumerate(targets)
    )
    other = traffic.Route(
        "plain", "h", "/p", traffic.RouteKind.SAFE, 900.0, 90.0, (traffic.ServiceShare("t", 1.0),)
    )
    configuration = routing_table.Configuration(
        1, (*routes, other), (traffic.Service("s"),), (SPACE,), traffic.CallerLimits()
    )
    state.adopt_table(routing_table.build(configuration), "store")
    assert region_sums.network_latency_fraction(state, "s", REGIONS) == pytest.approx(expected)
    assert region_sums.network_latency_fraction(state, "s", ["a", "b"]) == 0.0
