"""Distances of data centres: regions, priors and measured round trips."""

from plumarch.core import clock
from plumarch.routing import distance

REGIONS = {"a": "north", "b": "north", "c": "south"}


def distances(regions: dict[str, str] = REGIONS) -> distance.Distances:
    return distance.Distances(clock.ManualClock(), "a", regions)


def test_locality_follows_the_regions():
    found = distances()
    assert found.locality("a") is distance.Locality.SAME_DATA_CENTRE
    assert found.locality("b") is distance.Locality.SAME_REGION
    assert found.locality("c") is distance.Locality.OTHER_REGION
    assert [one.label() for one in distance.Locality] == [
        "same_data_centre",
        "same_region",
        "other_region",
    ]


def test_a_data_centre_without_a_region_is_its_own_region_and_reported_once():
    found = distances()
    assert found.locality("x") is distance.Locality.OTHER_REGION
    assert found.region_of("x") != found.region_of("y")
    assert found.is_first_unnamed("x")
    assert not found.is_first_unnamed("x")
    assert found.is_first_unnamed("y")
    assert not found.is_first_unnamed("c")


def test_without_regions_all_data_centres_are_local():
    found = distances({})
    assert found.locality("x") is distance.Locality.SAME_REGION
    assert found.beyond_region_ms("x") == 0.0
    assert not found.is_first_unnamed("x")


def test_priors_are_used_until_some_connects_succeeded():
    found = distances()
    prior = distance.PRIOR_ROUND_TRIP_MS
    assert found.round_trip_ms("c") == prior[distance.Locality.OTHER_REGION]
    assert found.round_trip_ms("b") == prior[distance.Locality.SAME_REGION]
    for _ in range(distance.MIN_CONNECTS - 1):
        found.connected("c", 20.0)
    assert found.round_trip_ms("c") == prior[distance.Locality.OTHER_REGION]
    found.connected("c", 20.0)
    assert found.round_trip_ms("c") == 20.0


def test_a_busy_endpoint_does_not_raise_the_round_trip():
    found = distances()
    for number in range(200):
        found.connected("c", 60.0 if number % 4 == 0 else 60.0 + 37.0 * (number % 7))
        if number > distance.CONNECT_SAMPLES:
            assert found.round_trip_ms("c") == 60.0


def test_a_single_short_connect_does_not_lower_the_round_trip():
    found = distances()
    for _ in range(10):
        found.connected("c", 60.0)
    found.connected("c", 0.0)
    assert found.round_trip_ms("c") == 60.0


def test_a_changed_route_shows_after_a_few_connects():
    found = distances()
    for _ in range(50):
        found.connected("c", 60.0)
    for _ in range(distance.CONNECT_SAMPLES):
        found.connected("c", 140.0)
    assert found.round_trip_ms("c") == 140.0


def test_only_remote_regions_add_to_time_limits_and_costs():
    found = distances()
    for _ in range(10):
        found.connected("b", 30.0)
        found.connected("c", 50.0)
    assert (found.beyond_region_ms("b"), found.network_ms("b")) == (0.0, 0.0)
    assert (found.beyond_region_ms("c"), found.network_ms("c")) == (50.0, 100.0)
