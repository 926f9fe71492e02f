"""How to connect to endpoints, by what earlier connects and tunnels found."""

from plumarch.core import clock
from plumarch.routing import direct_paths


def new_paths() -> tuple[direct_paths.DirectPaths, clock.ManualClock]:
    now = clock.ManualClock(1_000)
    return direct_paths.DirectPaths(now), now


def make_unreachable(paths: direct_paths.DirectPaths, *endpoints: str) -> None:
    for one in endpoints:
        paths.record_failure(one)
        paths.record_tunnel(one)


def test_an_endpoint_is_unreachable_only_if_a_tunnel_reaches_it():
    paths, _ = new_paths()
    assert not paths.record_failure("e")
    assert not paths.is_unreachable("e")
    assert paths.record_tunnel("e")
    assert paths.is_unreachable("e")


def test_a_direct_connect_that_fails_after_the_tunnel_makes_it_unreachable():
    paths, _ = new_paths()
    assert not paths.record_tunnel("e")
    assert paths.record_failure("e")
    assert paths.is_unreachable("e")


def test_a_slow_direct_connect_that_succeeds_beside_a_tunnel_changes_nothing():
    paths, _ = new_paths()
    paths.record_tunnel("e")
    paths.record_connect("e")
    assert not paths.record_failure("e")
    assert paths.plan("e") == direct_paths.ConnectPlan.DIRECT_FIRST


def test_an_unreachable_endpoint_gets_a_direct_connect_again_at_intervals():
    paths, now = new_paths()
    make_unreachable(paths, "e")
    assert paths.plan("e") == direct_paths.ConnectPlan.TUNNEL_ONLY
    now.advance_to(now.now() + direct_paths.RETRY_MS)
    assert paths.plan("e") == direct_paths.ConnectPlan.BOTH
    assert paths.plan("e") == direct_paths.ConnectPlan.TUNNEL_ONLY
    paths.record_connect("e")
    assert paths.plan("e") == direct_paths.ConnectPlan.DIRECT_FIRST


def test_a_node_is_cut_off_if_several_endpoints_in_a_row_are_unreachable():
    paths, _ = new_paths()
    make_unreachable(paths, "e")
    assert not paths.is_cut_off()
    make_unreachable(paths, "f")
    assert paths.is_cut_off()
    assert paths.plan("g") == direct_paths.ConnectPlan.BOTH
    paths.record_connect("h")
    assert not paths.is_cut_off()
    assert paths.is_unreachable("e")
    assert paths.plan("g") == direct_paths.ConnectPlan.DIRECT_FIRST


def test_endpoints_that_are_down_for_all_do_not_make_a_node_cut_off():
    paths, _ = new_paths()
    for name in "efgh":
        paths.record_failure(name)
    assert not paths.is_cut_off()
    assert paths.plan("e") == direct_paths.ConnectPlan.DIRECT_FIRST


def test_removed_endpoints_are_forgotten():
    paths, _ = new_paths()
    make_unreachable(paths, "e", "f")
    paths.retain({"f"})
    assert not paths.is_unreachable("e")
    assert paths.is_unreachable("f")
    assert not paths.is_cut_off()
