"""Drops figures from others that are stale, or superseded after a change of role or source."""

from plumarch.gateway import fleet_state
from plumarch.gateway.gossip import coordination, member_updates
from plumarch.membership import fleet_view, tiers

LOADS_RETENTION_MS = 2_500
"""Maximum age of reported loads."""


def drop_old_loads(state: fleet_state.FleetState, view: fleet_view.FleetView) -> None:
    """Drop loads that are stale or whose source is gone."""
    now = state.clock.now()
    for name in list(state.chooser.reported_loads):
        received_ms = _received_ms(view, name)
        if received_ms is None or now - received_ms > LOADS_RETENTION_MS:
            state.chooser.forget(name)


def _received_ms(view: fleet_view.FleetView, source: str) -> int | None:
    """Return when a source's loads were received, or None if it is gone."""
    if source == member_updates.FLEET:
        return view.fleet_update.received_ms if view.fleet_update is not None else None
    if source.startswith(coordination.CENTRE):
        centre = view.centres.get(source.removeprefix(coordination.CENTRE))
        return centre.received_ms if centre is not None else None
    peer = view.peers.get(source)
    return peer.last_seen_ms if peer is not None else None


def drop_for_role(
    state: fleet_state.FleetState,
    view: fleet_view.FleetView,
    sums: coordination.Coordination,
) -> None:
    """Drop figures that a node does not receive in its current role."""
    chooser = state.chooser
    if view.role is not tiers.Role.MEMBER:
        chooser.forget(member_updates.FLEET)
    if view.role is not tiers.Role.COORDINATOR:
        sums.resync_until_ms.clear()
        for name in list(view.centres):
            chooser.forget(coordination.CENTRE + name)
        view.centres.clear()
        sums.elsewhere.forget()
    if view.role is tiers.Role.MEMBER:
        for name in [name for name in chooser.reported_loads if name != member_updates.FLEET]:
            chooser.forget(name)
        # Levels from fleet updates include what others admitted; these sums would charge it twice.
        state.quota.reported_spent.clear()


def drop_nodes_of(
    state: fleet_state.FleetState, view: fleet_view.FleetView, data_centre: str
) -> None:
    """Drop what nodes of a data centre reported individually, once a summary covers them."""
    for peer in view.peers.values():
        if peer.data_centre == data_centre:
            state.chooser.forget(peer.name)
            state.usage.reports.pop(f"{peer.name}#{peer.incarnation}", None)
