"""The fleet view under heartbeats, timeouts and replaced incarnations."""

from plumarch.core import clock
from plumarch.membership import fleet_view, store_followers


def view_at(time: clock.ManualClock) -> fleet_view.FleetView:
    return fleet_view.FleetView(time, "a", 100, "10.0.0.1:7")


def test_a_seed_counts_as_an_unreachable_node():
    view = view_at(clock.ManualClock())
    view.learn("10.0.0.2:7", "10.0.0.2:7")
    assert view.reachable_fraction() == 0.5


def test_the_own_address_among_the_seeds_is_ignored():
    view = view_at(clock.ManualClock())
    view.learn("10.0.0.1:7", "10.0.0.1:7")
    assert view.size() == 1


def test_a_heartbeat_gives_a_seed_its_name():
    view = view_at(clock.ManualClock())
    view.learn("10.0.0.2:7", "10.0.0.2:7")
    view.mark_seen("b", 50, "10.0.0.2:7", "z")
    assert list(view.peers) == ["b"]
    assert view.reachable_fraction() == 1.0


def test_a_late_heartbeat_of_a_replaced_process_is_ignored():
    view = view_at(clock.ManualClock())
    view.mark_seen("b", 60, "10.0.0.2:7", "z")
    assert view.mark_seen("b", 50, "10.0.0.2:7", "z") is None
    assert view.peers["b"].incarnation == 60


def test_unreachable_peers_count_until_they_are_dropped():
    time = clock.ManualClock()
    view = view_at(time)
    view.mark_seen("b", 60, "10.0.0.2:7", "z")
    time.advance_to(fleet_view.ALIVE_TIMEOUT_MS + 1)
    assert view.reachable_fraction() == 0.5
    time.advance_to(fleet_view.RETENTION_MS + 1)
    assert [peer.name for peer in view.tick()] == ["b"]
    assert view.reachable_fraction() == 1.0


def test_the_alive_timeout_grows_with_the_heartbeat_interval():
    time = clock.ManualClock()
    view = view_at(time)
    view.interval_ms = 1_000.0
    view.mark_seen("b", 60, "10.0.0.2:7", "z")
    time.advance_to(4_000)
    assert len(view.live()) == 1
    time.advance_to(4_501)
    assert view.live() == []


def test_in_a_large_fleet_the_seniors_of_each_data_centre_follow_the_store():
    time = clock.ManualClock()
    view = view_at(time)
    for number in range(store_followers.MAX_PER_CENTRE):
        view.mark_seen(f"b{number}", number, f"10.0.1.{number}:7", "z")
    assert view.watches_store("z")
    for number in range(fleet_view.SMALL_FLEET):
        view.mark_seen(f"c{number}", number, f"10.0.2.{number}:7", "y")
    assert not view.watches_store("z")
    assert view.watches_store("x")
    time.advance_to(fleet_view.ALIVE_TIMEOUT_MS + 1)
    assert view.watches_store("z")


def test_another_node_follows_the_store_in_place_of_one_that_can_not_reach_it():
    view = view_at(clock.ManualClock())
    for number in range(fleet_view.SMALL_FLEET + 1):
        view.mark_seen(f"c{number:02}", number + 1, f"10.0.2.{number}:7", "x")
    assert not view.watches_store("x")
    for peer in view.live()[store_followers.MAX_PER_CENTRE - 1 :]:
        peer.reaches_store = False
    assert view.watches_store("x")


def test_no_share_is_kept_for_a_node_that_left_as_planned():
    time = clock.ManualClock()
    view = view_at(time)
    peer = view.mark_seen("b", 60, "10.0.0.2:7", "z")
    peer.leaving = True
    time.advance_to(fleet_view.ALIVE_TIMEOUT_MS + 1)
    assert view.reachable_fraction() == 1.0


def test_for_quotas_a_node_is_fresh_after_one_lost_heartbeat_and_not_after_two():
    time = clock.ManualClock()
    view = view_at(time)
    view.interval_ms = 250.0
    view.mark_seen("b", 60, "10.0.0.2:7", "z")
    time.advance_to(600)
    assert view.fresh_fraction() == 1.0
    time.advance_to(800)
    assert (view.fresh_fraction(), view.reachable_fraction()) == (0.5, 1.0)


def test_quotas_keep_no_share_for_a_node_that_drains():
    time = clock.ManualClock()
    view = view_at(time)
    peer = view.mark_seen("b", 60, "10.0.0.2:7", "z")
    peer.leaving = True
    time.advance_to(800)
    assert view.fresh_fraction() == 1.0


def test_the_most_senior_live_candidate_takes_the_duties():
    time = clock.ManualClock()
    view = view_at(time)
    senior = view.mark_seen("b", 60, "10.0.0.2:7", "z")
    assert not view.is_most_senior_candidate()
    senior.leaving = True
    assert view.is_most_senior_candidate()
    senior.leaving = False
    senior.candidate = False
    assert view.is_most_senior_candidate()
    senior.candidate = True
    time.advance_to(fleet_view.ALIVE_TIMEOUT_MS + 1)
    assert view.is_most_senior_candidate()
