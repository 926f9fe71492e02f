"""Converts seniors to and from messages."""

from collections.abc import Iterable

from plumarch.membership import fleet_view, tiers
from plumarch.peers import gossip


def announced(view: fleet_view.FleetView) -> list[gossip.NodeIdentity]:
    """Return the messages for the seniors of a node's own data centre."""
    return to_messages(view.seniors()[: tiers.SENIORS])


def to_messages(known: Iterable[tiers.Senior]) -> list[gossip.NodeIdentity]:
    """Return the messages for seniors."""
    return [
        gossip.NodeIdentity(one.seniority.name, one.seniority.incarnation, one.address)
        for one in known
    ]


def from_messages(reports: Iterable[gossip.NodeIdentity]) -> tuple[tiers.Senior, ...]:
    """Return the seniors in messages."""
    return tuple(
        tiers.Senior(tiers.Seniority(one.incarnation, one.name), one.address) for one in reports
    )
