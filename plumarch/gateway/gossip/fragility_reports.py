"""Converts announcements of fragile services to and from messages."""

from collections.abc import Iterable

from plumarch.core import request_rate
from plumarch.gateway import fleet_state
from plumarch.peers import gossip

MAX_SERVICES = 16
"""Services in one datagram, the latest announced first."""


def to_messages(state: fleet_state.FleetState) -> list[gossip.FragileService]:
    """Return messages for the services that are fragile now."""
    if not state.fragile.known:
        return []
    now = state.clock.now()
    found = [
        gossip.FragileService(name, one.rejections_per_s, now - one.observed_ms)
        for name, one in state.fragile.current().items()
    ]
    return sorted(found, key=lambda one: (one.age_ms, one.service))[:MAX_SERVICES]


def apply(
    state: fleet_state.FleetState, reports: Iterable[gossip.FragileService], source: str
) -> None:
    """Apply what another node reports."""
    for one in reports:
        if not request_rate.is_rate(one.rejections_per_s):
            state.log.write("bad_fragility", service=one.service, source=source)
        elif state.fragile.announced(one.service, one.rejections_per_s, one.age_ms):
            state.fragility_changed(one.service, source)
