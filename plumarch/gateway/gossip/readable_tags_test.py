from plumarch.gateway.gossip import readable_tags
from plumarch.peers import gossip

ADDRESS = "10.0.0.1:7"


def test_a_node_that_reports_nothing_reads_what_all_builds_read():
    known = readable_tags.ReadableTags()
    known.apply_report(ADDRESS, 1, 0)
    tags = range(1, gossip.NEWEST_TAG + 1)
    assert [tag for tag in tags if known.reads(ADDRESS, tag)] == [1, 2, 3, 4, 5, 6]
    assert known.readers([ADDRESS], readable_tags.COMMON_TAG) == [ADDRESS]
    assert known.readers([ADDRESS], readable_tags.COMMON_TAG + 1) == []


def test_a_node_reads_the_kinds_that_came_with_one_that_it_sent():
    known = readable_tags.ReadableTags()
    known.note_sent_by(ADDRESS, 7)
    known.apply_report(ADDRESS, 0, 0)
    assert known.reads(ADDRESS, 9) and not known.reads(ADDRESS, 10)


def test_a_node_that_restarted_with_an_earlier_build_reads_less():
    known = readable_tags.ReadableTags()
    known.apply_report(ADDRESS, 1, 11)
    known.apply_report(ADDRESS, 2, 0)
    assert not known.reads(ADDRESS, 7)


def test_this_builds_newest_tag_is_listed():
    assert readable_tags.NEWEST_TAGS[-1] == gossip.NEWEST_TAG


def test_a_reported_tag_above_the_known_ones_is_kept():
    known = readable_tags.ReadableTags()
    known.apply_report(ADDRESS, 1, 99)
    assert known.reads(ADDRESS, gossip.NEWEST_TAG)


def test_the_number_of_known_processes_is_bounded():
    known = readable_tags.ReadableTags()
    for number in range(2 * readable_tags.MAX_PROCESSES):
        known.note_sent_by(str(number), gossip.NEWEST_TAG)
    assert len(known.processes) == readable_tags.MAX_PROCESSES
    assert known.reads(str(2 * readable_tags.MAX_PROCESSES - 1), gossip.NEWEST_TAG)
