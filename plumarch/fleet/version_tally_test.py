"""Tests of answer tallies."""

from plumarch.fleet import version_tally

NEW = version_tally.TallyKey("s", "v2", "r")
OLD = version_tally.TallyKey("s", "v1", "r")


def test_reports_are_summed_by_route_and_version():
    book = version_tally.TallyBook()
    book.count(NEW, bad=True)
    book.count(OLD, bad=False)
    book.merge_report("n2#1", {NEW: version_tally.Tally(4, 1), OLD: version_tally.Tally(30, 2)})
    book.merge_report("n3#1", {version_tally.TallyKey("s", "v0", "r"): version_tally.Tally(5, 0)})
    [pair] = book.by_route("s", "v2").values()
    assert pair.new == version_tally.Tally(5, 2)
    assert pair.old == version_tally.Tally(36, 2)


def test_stale_reports_are_ignored():
    book = version_tally.TallyBook()
    book.merge_report("n2#1", {NEW: version_tally.Tally(9, 2)})
    book.merge_report("n2#1", {NEW: version_tally.Tally(7, 1)})
    assert book.total() == {NEW: version_tally.Tally(9, 2)}


def test_incarnations_are_counted_separately():
    book = version_tally.TallyBook()
    book.merge_report("n2#1", {NEW: version_tally.Tally(9, 2)})
    book.merge_report("n2#5", {NEW: version_tally.Tally(1, 0)})
    assert book.total()[NEW] == version_tally.Tally(10, 2)


def test_reports_may_be_excluded_and_services_dropped():
    book = version_tally.TallyBook()
    book.count(NEW, bad=False)
    book.merge_report("centre b", {NEW: version_tally.Tally(9, 2)})
    assert book.total(lambda source: False) == {NEW: version_tally.Tally(1, 0)}
    book.forget_service("s")
    assert book.total() == {}
