"""Lists the builds that the live nodes run."""

import datetime

from plumarch.core import build
from plumarch.membership import fleet_view

UNKNOWN_BUILD = "(an earlier build that does not report its name)"


def lines(view: fleet_view.FleetView) -> list[str]:
    """Return a line for each build: its name, how many nodes run it, and the earliest start."""
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
        return f"at {ms} ms, which is out of range"
    return at.strftime("%Y-%m-%dT%H:%M:%SZ")
