"""What this node knows of each region: what its nodes admitted, and how many of them are heard."""

import collections
import dataclasses
from collections.abc import Iterable

from plumarch.gateway import fleet_state
from plumarch.gateway.gossip import coordination
from plumarch.membership import fleet_view
from plumarch.routing import distance


@dataclasses.dataclass(slots=True)
class RegionSums:
    """Sums by region since they were asked for last.

    Attributes:
      before: units that each source had admitted then, in all; sources as in
        `workspace_quota.charged_by`.
    """

    state: fleet_state.FleetState
    view: fleet_view.FleetView
    before: dict[str, float] = dataclasses.field(default_factory=dict)

    def begin(self) -> None:
        """Begin to count."""
        self.before = dict(self.state.quota.charged_by)

    def admitted(self) -> dict[str, float]:
        """Return the units that the nodes of each region admitted since the last call."""
        found: collections.defaultdict[str, float] = collections.defaultdict(float)
        now = dict(self.state.quota.charged_by)
        for source, units in now.items():
            data_centre = self._data_centre(source)
            if data_centre is not None:
                region = self.state.distances.region_of(data_centre)
                found[region] += units - self.before.get(source, 0.0)
        self.before = now
        return {region: max(0.0, units) for region, units in found.items()}

    def _data_centre(self, source: str) -> str | None:
        """Return where a source of charges is, or None if it is not known any more."""
        if not source:
            return self.state.data_centre
        if source.startswith(coordination.CENTRE):
            return source.removeprefix(coordination.CENTRE)
        peer = self.view.peers.get(source)
        return peer.data_centre if peer is not None else None

    def partially_reachable(self, least: float) -> frozenset[str]:
        """Return the regions of which less than a part of the nodes is heard.

        A region of which a named data centre is not known at all is one of them.

        Args:
          least: the part of a region's nodes that must be heard.
        """
        state = self.state
        nodes: collections.Counter[str] = collections.Counter()
        heard: collections.Counter[str] = collections.Counter()
        known = self._known()
        for data_centre, (there, heard_there) in known.items():
            region = state.distances.region_of(data_centre)
            nodes[region] += there
            heard[region] += heard_there
        unknown = {region for name, region in state.distances.regions.items() if name not in known}
        return frozenset(
            region
            for region in {*nodes, *unknown}
            if region in unknown or heard[region] < least * nodes[region]
        )

    def _known(self) -> dict[str, tuple[int, int]]:
        """Return how many nodes each data centre has, and how many of them are heard."""
        view = self.view
        live = view.live_centres()
        found = {self.state.data_centre: (1, 1)}
        for name, centre in view.centres.items():
            found[name] = (centre.nodes, centre.reachable_nodes if name in live else 0)
        for peer in view.peers.values():
            if not peer.data_centre or peer.data_centre in view.centres:
                continue
            if peer.leaving and not view.is_alive(peer):
                continue
            there, heard = found.get(peer.data_centre, (0, 0))
            found[peer.data_centre] = (there + 1, heard + view.is_alive(peer))
        return found


def network_latency_fraction(
    state: fleet_state.FleetState, service: str, data_centres: Iterable[str]
) -> float:
    """Return what a request to another region costs, as a part of a service's tightest target.

    Args:
      data_centres: where its endpoints may be.
    """
    if state.table is None:
        return 0.0
    targets = [
        route.target_ms
        for routes in state.table.routes_by_host.values()
        for route in routes
        if any(share.service == service for share in route.shares) and route.target_ms > 0
    ]
    own = state.distances.own_region()
    ways = [
        state.distances.round_trip_ms(name)
        for name in data_centres
        if state.distances.region_of(name) != own
    ]
    if not targets or not ways:
        return 0.0
    return distance.FRESH_CONNECTION_ROUND_TRIPS * max(ways) / min(targets)
