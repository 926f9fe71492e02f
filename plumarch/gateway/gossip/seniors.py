"""The oldest live nodes of a data centre, as nodes tell them to one another and keep them."""

from collections.abc import Iterable

from plumarch.membership import fleet_view, tiers
from plumarch.peers import gossip


def told(view: fleet_view.FleetView) -> list[gossip.KnownElder]:
    """Return the elders of a node's own data centre as it tells them."""
    return as_told(view.seniors()[: tiers.ELDERS])


def as_told(known: Iterable[tiers.Elder]) -> list[gossip.KnownElder]:
    """Return elders as they are told."""
    return [gossip.KnownElder(one.age.name, one.age.incarnation, one.address) for one in known]


def taken(reports: Iterable[gossip.KnownElder]) -> tuple[tiers.Elder, ...]:
    """Return elders that were told, as a node keeps them."""
    return tuple(tiers.Elder(tiers.Age(one.incarnation, one.name), one.address) for one in reports)
