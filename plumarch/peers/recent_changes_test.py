"""Changes are sent several times, then no more."""

from plumarch.peers import recent_changes


def test_a_change_is_sent_several_times_and_then_no_more():
    changes = recent_changes.RecentChanges()
    sent = [changes.select({"a": 1.0}) for _ in range(recent_changes.SEND_COUNT + 1)]
    assert sent == [{"a"}] * recent_changes.SEND_COUNT + [set()]


def test_a_further_change_is_sent_as_often_again():
    changes = recent_changes.RecentChanges()
    changes.select({"a": 1.0, "b": 1.0})
    for _ in range(recent_changes.SEND_COUNT):
        assert "a" in changes.select({"a": 2.0, "b": 1.0})
    assert changes.select({"a": 2.0, "b": 1.0}) == set()


def test_removed_figures_are_dropped():
    changes = recent_changes.RecentChanges()
    changes.select({"a": 1.0})
    assert changes.select({}) == set()
    assert changes.select({"a": 1.0}) == {"a"}
