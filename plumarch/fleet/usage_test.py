"""Tests of usage counts by window."""

from plumarch.fleet import usage


def test_requests_count_in_the_window_of_their_time():
    counter = usage.UsageCounter(5_000)
    for at in (4_999, 5_000, 9_999):
        counter.started("w", at)
    assert counter.total(0) == {"w": 1}
    assert counter.total(1) == {"w": 2}


def test_reports_replace_each_other_and_incarnations_add_up():
    counter = usage.UsageCounter(5_000)
    counter.started("w", 100)
    counter.apply_node_report("b#1", {0: {"w": 3}})
    counter.apply_node_report("b#1", {0: {"w": 4, "x": 1}})
    counter.apply_node_report("b#2", {0: {"w": 2}})
    assert counter.total(0) == {"w": 7, "x": 1}


def test_old_windows_are_dropped():
    counter = usage.UsageCounter(1_000)
    for window in range(40):
        counter.started("w", window * 1_000)
        counter.apply_node_report("b#1", {window: {"w": 1}})
    assert len(counter.own) <= usage.RETAINED_WINDOWS + 1
    assert len(counter.reports["b#1"]) <= usage.RETAINED_WINDOWS + 1


def test_only_recent_windows_are_reported():
    counter = usage.UsageCounter(1_000)
    for window in range(6):
        counter.started("w", window * 1_000)
    assert sorted(counter.recent(5_500, 3)) == [3, 4, 5]
