"""Which builds of the product the fleet consists of, as far as this node hears it."""

import datetime

from plumarch.core import build
from plumarch.membership import fleet_view

UNKNOWN_BUILD = "(an earlier build, which doesn't tell)"


def lines(view: fleet_view.FleetView) -> list[str]:
    """Return a line for each build: how many nodes run it, and since when the first one does."""
    starts: dict[str, list[int]] = {build.NAME: [view.incarnation]}
    for peer in view.live():
        starts.setdefault(peer.build or UNKNOWN_BUILD, []).append(peer.incarnation)
    return [
        f"build {name}: {len(found)} nodes, the first one started {_time_of(min(found))}"
        for name, found in sorted(starts.items())
    ]


def _time_of(ms: int) -> str:
    try:
        at = datetime.datetime.fromtimestamp(ms / 1000.0, datetime.UTC)
    except (OverflowError, OSError, ValueError):
        return f"at {ms}, which is no time of day"
    return at.strftime("%Y-%m-%dT%H:%M:%SZ")
