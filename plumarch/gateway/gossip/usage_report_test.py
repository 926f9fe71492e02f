"""Reports of usage windows between coordinators, and their age."""

import msgspec

from plumarch.gateway.gossip import heartbeats
from plumarch.membership import tiers
from plumarch.peers import gossip
from plumarch.standins import gossip_fleet


def test_a_window_counts_as_reported_as_of_its_oldest_figure():
    fleet = gossip_fleet.GossipFleet(gossip_fleet.Size(3, 12))
    fleet.run(3_000)
    node = fleet.with_role(tiers.Role.COORDINATOR)[0]
    other = next(one for one in fleet.live() if one.data_centre == "dc-c")
    sums = node.gossip.coordination
    first = node.state.usage.window_at(fleet.time.now()) + 1
    usage = [gossip.WindowUsage(first + number, {"w0": 1}) for number in range(5)]
    summary = msgspec.structs.replace(
        other.gossip.coordination.summary(), usage=usage, usage_age_ms=250
    )
    sums.handle_summary(summary)
    as_of = fleet.time.now() - 250
    reported = node.view.centres["dc-c"].usage_reported_ms
    newest = range(first + 5 - heartbeats.USAGE_WINDOWS, first + 5)
    assert reported == dict.fromkeys(newest, as_of)
    fleet.time.advance_to(fleet.time.now() + 1_000)
    sums.handle_summary(msgspec.structs.replace(summary, usage=[], usage_age_ms=0, sequence=9_999))
    assert node.view.centres["dc-c"].usage_reported_ms == reported


def test_usage_that_failed_coordinators_counted_is_kept_by_their_successors():
    fleet = gossip_fleet.GossipFleet(gossip_fleet.Size(3, 12))
    fleet.run(3_000)
    now = fleet.time.now()
    coordinators = fleet.with_role(tiers.Role.COORDINATOR)
    for node in coordinators:
        node.state.usage.started("w0", now)
    fleet.run(1_200)
    for node in coordinators:
        if node.data_centre == "dc-a":
            node.alive = False
    fleet.run(4_000)
    successors = fleet.with_role(tiers.Role.COORDINATOR)
    assert len(successors) == 6
    for node in successors:
        assert node.state.usage.total(node.state.usage.window_at(now)) == {"w0": 6}
