"""Exclusion of unreachable data centres, and their probes."""

from plumarch.core import clock
from plumarch.routing import data_centre_reach


def reach_of(time: clock.ManualClock) -> data_centre_reach.DataCentreReach:
    return data_centre_reach.DataCentreReach(time, "a")


def test_two_failed_endpoints_in_a_row_exclude_the_data_centre():
    reach = reach_of(clock.ManualClock())
    assert not reach.failed("b", "b1")
    assert not reach.is_excluded("b")
    assert reach.failed("b", "b2")
    assert reach.is_excluded("b")
    assert not reach.is_excluded("c")


def test_one_failed_endpoint_does_not_exclude_it():
    reach = reach_of(clock.ManualClock())
    for _ in range(10):
        reach.failed("b", "b1")
    assert not reach.is_excluded("b")


def test_a_successful_connect_clears_earlier_failures():
    reach = reach_of(clock.ManualClock())
    reach.failed("b", "b1")
    reach.connected("b")
    reach.failed("b", "b2")
    assert not reach.is_excluded("b")


def test_the_own_data_centre_is_never_excluded():
    reach = reach_of(clock.ManualClock())
    for number in range(5):
        reach.failed("a", f"a{number}")
    assert not reach.is_excluded("a")


def test_one_connect_probes_the_data_centre_while_others_avoid_it():
    time = clock.ManualClock()
    reach = reach_of(time)
    reach.failed("b", "b1")
    reach.failed("b", "b2")
    time.advance_to(time.now() + data_centre_reach.FIRST_PAUSE_MS)
    assert not reach.is_excluded("b")
    reach.begin_probe("b")
    assert reach.is_excluded("b")
    reach.connected("b")
    assert not reach.is_excluded("b")


def test_pauses_grow_while_it_stays_unreachable():
    time = clock.ManualClock()
    reach = reach_of(time)
    reach.failed("b", "b1")
    reach.failed("b", "b2")
    for _ in range(10):
        time.advance_to(reach.known["b"].excluded_until_ms)
        reach.begin_probe("b")
        time.advance_to(time.now() + 250)
        assert reach.failed("b", "b1")
    left = reach.known["b"].excluded_until_ms - time.now()
    assert left == data_centre_reach.MAX_PAUSE_MS


def test_a_more_distant_data_centre_is_excluded_for_longer():
    time = clock.ManualClock()
    reach = reach_of(time)
    for name in ("b1", "b2"):
        reach.failed("b", name, 120.0)
    time.advance_to(data_centre_reach.FIRST_PAUSE_MS + 359)
    assert reach.is_excluded("b")
    time.advance_to(data_centre_reach.FIRST_PAUSE_MS + 360)
    assert not reach.is_excluded("b")
