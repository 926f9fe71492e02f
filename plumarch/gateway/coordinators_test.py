"""What a coordinator must not tell, and whom a member believes, one guard at a time."""

import msgspec

from plumarch.gateway import membership_news, rounds
from plumarch.membership import tiers
from plumarch.peers import gossip
from plumarch.standins import gossip_fleet

SETTLE_MS = 3_000


def settled() -> gossip_fleet.GossipFleet:
    fleet = gossip_fleet.GossipFleet(gossip_fleet.Size(3, 12))
    fleet.run(SETTLE_MS)
    return fleet


def news_of(author: str, incarnation: int, fraction: float) -> gossip.FleetNews:
    return gossip.FleetNews(
        node=author,
        incarnation=incarnation,
        address="10.97.99.1:7600",
        data_centre="dc-a",
        configuration=1,
        registry_revision=-1,
        nodes=36,
        centre_nodes=12,
        fraction=fraction,
        elders=[],
        followers=[],
        levels=[],
        loads=[],
        whole=True,
    )


def test_a_coordinator_whose_rounds_come_late_tells_nothing_until_it_was_told_again():
    fleet = settled()
    coordinator = fleet.with_role(tiers.Role.COORDINATOR)[0]
    sent: list[gossip.Datagram] = []
    coordinator.gossip.rounds.send = lambda message, to: sent.append(message)
    coordinator.gossip.rounds.step()
    assert sent
    sent.clear()
    fleet.time.advance_to(fleet.time.now() + rounds.LATE_ROUND_MS + 1)
    coordinator.gossip.rounds.step()
    fleet.time.advance_to(fleet.time.now() + rounds.NEWS_MS)
    coordinator.gossip.rounds.step()
    assert not sent
    fleet.time.advance_to(fleet.time.now() + round(2 * coordinator.view.interval_ms))
    coordinator.gossip.rounds.step()
    assert sent


def test_a_member_follows_the_coordinator_that_hears_more_of_the_fleet():
    fleet = settled()
    member = fleet.nodes["dc-a-5"]
    followed = member.view.news
    assert followed is not None
    older = news_of("dc-a-99", 1, 0.5)
    assert not member.gossip.member.take_in(older)
    assert member.view.news == followed
    fleet.time.advance_to(fleet.time.now() + membership_news.FRESH_MS + 100)
    assert member.gossip.member.take_in(older)
    assert not member.gossip.member.take_in(news_of("dc-a-98", 2, 0.5))
    assert member.gossip.member.take_in(news_of("dc-a-98", 2, 0.9))


def test_of_two_that_hear_alike_the_older_one_is_followed():
    fleet = settled()
    member = fleet.nodes["dc-a-5"]
    assert member.view.news is not None
    younger = news_of("dc-a-99", member.view.news.author.incarnation + 5, 1.0)
    assert not member.gossip.member.take_in(younger)
    assert member.gossip.member.take_in(msgspec.structs.replace(younger, incarnation=1))
