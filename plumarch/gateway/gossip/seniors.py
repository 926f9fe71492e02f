"""The oldest live nodes of a data centre, as nodes tell them to one another and keep them."""

from collections.abc import Iterable

from plumarch.membership import fleet_view, tiers
from plumarch.peers import gossip


def announced(view: fleet_view.FleetView) -> list[gossip.NodeIdentity]:
    """Return the elders of a node's own data centre as it tells them."""
    return to_messages(view.seniors()[: tiers.SENIORS])


def to_messages(known: Iterable[tiers.Senior]) -> list[gossip.NodeIdentity]:
    """Return elders as they are told."""
    return [
        gossip.NodeIdentity(one.seniority.name, one.seniority.incarnation, one.address)
        for one in known
    ]


def from_messages(reports: Iterable[gossip.NodeIdentity]) -> tuple[tiers.Senior, ...]:
    """Return elders that were told, as a node keeps them."""
    return tuple(
        tiers.Senior(tiers.Seniority(one.incarnation, one.name), one.address) for one in reports
    )
