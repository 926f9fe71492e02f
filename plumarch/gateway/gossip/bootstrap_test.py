"""Tests how unreachable data centres are logged, contacted and exchanged in directories."""

import itertools

import msgspec

from plumarch.gateway.gossip import bootstrap
from plumarch.membership import fleet_view, known_centres, tiers
from plumarch.peers import gossip
from plumarch.standins import gossip_fleet

SIZE = gossip_fleet.Size(4, 7, regions=2)
SETTLE_MS = 4_000


def settled() -> gossip_fleet.GossipFleet:
    fleet = gossip_fleet.GossipFleet(SIZE, knows_all=False)
    fleet.run(SETTLE_MS)
    return fleet


def coordinator(fleet: gossip_fleet.GossipFleet) -> gossip_fleet.Node:
    found = fleet.with_role(tiers.Role.COORDINATOR)
    return next(node for node in found if node.data_centre == "dc-b")


def lines(node: gossip_fleet.Node, event: bytes) -> int:
    return bytes(node.state.log.pending).count(b'"' + event + b'"')


def test_start_and_end_of_an_unreachable_data_centre_are_logged_once():
    fleet = settled()
    node = coordinator(fleet)
    contact = node.state.contact
    assert (contact.known, contact.unreachable) == (3, 0)
    assert contact.oldest_ms < bootstrap.UNREACHABLE_LOG_MS
    begun, ended = lines(node, b"centre_unheard"), lines(node, b"centre_heard")
    fleet.cut = lambda one, two: (one.data_centre == "dc-c") != (two.data_centre == "dc-c")
    fleet.run(6_000)
    assert lines(node, b"centre_unheard") == begun + 1
    assert lines(node, b"centre_heard") == ended
    assert (contact.known, contact.unreachable) == (3, 1)
    assert 5_000 < contact.oldest_ms <= 6_000
    fleet.cut = lambda one, two: False
    fleet.run(1_500)
    assert lines(node, b"centre_unheard") == begun + 1
    assert lines(node, b"centre_heard") == ended + 1
    assert (contact.known, contact.unreachable) == (3, 0)


def test_directory_is_sent_where_digests_differ_at_a_limited_rate():
    fleet = settled()
    node = coordinator(fleet)
    sent: list[gossip.Datagram] = []
    node.gossip.bootstrap.send = lambda message, to: sent.append(message)
    other = next(one for one in fleet.live() if one.data_centre == "dc-c")
    summary = other.gossip.coordination.summary()
    node.gossip.handle_summary(summary, other.address)
    assert not sent
    for _ in range(3):
        node.gossip.bootstrap.compare_digest(with_digest(summary, 7), leaving=False)
    [directory] = sent
    assert isinstance(directory, gossip.CentreDirectory)
    assert [one.data_centre for one in directory.centres] == ["dc-a", "dc-c", "dc-d"]
    assert {len(one.seniors) for one in directory.centres} == {tiers.COORDINATORS}
    fleet.time.advance_to(fleet.time.now() + bootstrap.MIN_RESEND_INTERVAL_MS)
    node.gossip.bootstrap.compare_digest(with_digest(summary, 7), leaving=False)
    assert len(sent) == 2
    node.gossip.bootstrap.compare_digest(with_digest(summary, 0), leaving=False)
    assert len(sent) == 2


def with_digest(summary: gossip.CentreSummary, digest: int) -> gossip.CentreSummary:
    """Return a summary with another digest; processes of earlier builds send 0."""
    return msgspec.structs.replace(summary, centres_digest=digest)


def test_contact_attempts_back_off_until_the_data_centre_expires():
    centres = known_centres.KnownCentres()
    senior = tiers.Senior(tiers.Seniority(1, "n"), "10.0.0.1:7")
    assert centres.reported("dc-z", (senior,), 1_000)
    assert not centres.reported("dc-z", (senior,), 1_100)
    contacted_ms = [
        now
        for now in range(1_000, 121_000, 250)
        if centres.due_addresses({"dc-a"}, set(), now) == {"10.0.0.1:7"}
    ]
    intervals = [later - earlier for earlier, later in itertools.pairwise(contacted_ms)]
    assert intervals[0] == known_centres.REQUEST_INTERVAL_MS
    assert intervals == sorted(intervals)
    assert intervals[-1] == known_centres.MAX_REQUEST_INTERVAL_MS
    assert not centres.due_addresses({"dc-z"}, set(), 130_000)
    assert not centres.due_addresses(set(), set(), 1_001 + known_centres.RETENTION_MS)
    assert not centres.centres


def test_seed_is_contacted_until_it_is_reachable():
    centres = known_centres.KnownCentres()
    centres.add_seed("10.0.0.9:7", 1_000)
    assert not centres.due_addresses(set(), set(), 1_100)
    assert centres.due_addresses(set(), set(), 1_500) == {"10.0.0.9:7"}
    assert not centres.due_addresses(set(), {"10.0.0.9:7"}, 9_000)
    assert centres.due_addresses(set(), set(), 3_600_000_000) == {"10.0.0.9:7"}


def test_data_centre_stays_reachable_after_one_of_its_nodes_is_gone():
    fleet = gossip_fleet.GossipFleet(gossip_fleet.Size(3, 3))
    fleet.run(SETTLE_MS)
    for gone in [node for node in fleet.live() if node.number == 2]:
        gone.alive = False
    fleet.run(fleet_view.RETENTION_MS + 5_000)
    cut_ms = fleet.time.now()
    for node in fleet.live():
        assert node.state.contact.unreachable == 0
        assert node.state.contact.oldest_ms < bootstrap.UNREACHABLE_LOG_MS
    fleet.cut = lambda one, two: one.data_centre != two.data_centre
    fleet.run(5_000)
    for node in fleet.live():
        assert node.state.contact.unreachable == 2
        for name in {"dc-a", "dc-b", "dc-c"} - {node.data_centre}:
            assert node.view.all_centres.centres[name].since_ms >= cut_ms


def test_coordinator_that_became_a_member_resets_its_contact_gauges():
    fleet = settled()
    node = coordinator(fleet)
    assert node.state.contact.known == 3
    node.view.role = tiers.Role.MEMBER
    fleet.time.advance_to(fleet.time.now() + 60_000)
    node.gossip.bootstrap.step(False)
    contact = node.state.contact
    assert (contact.known, contact.unreachable, contact.oldest_ms) == (0, 0, 0)


def test_seeds_removed_from_the_settings_are_dropped():
    fleet = gossip_fleet.GossipFleet(gossip_fleet.Size(2, 2))
    gossip_of_one = fleet.live()[0].gossip
    for number in range(5):
        gossip_of_one.learn_seeds((f"10.9.0.{number}", "10.9.1.1"))
    port = gossip_fleet.PORT
    seeds = gossip_of_one.view.all_centres.seeds
    assert set(seeds) == {f"10.9.0.4:{port}", f"10.9.1.1:{port}"}
