"""Units admitted by region, and partially reachable regions."""

import collections
import dataclasses
from collections.abc import Iterable

from plumarch.gateway import fleet_state
from plumarch.gateway.gossip import coordination
from plumarch.membership import fleet_view
from plumarch.routing import distance


@dataclasses.dataclass(slots=True)
class RegionSums:
    """Sums by region since the last call.

    Attributes:
      before: units admitted by each source until then; keys as in `workspace_quota.charged_by`.
    """

    state: fleet_state.FleetState
    view: fleet_view.FleetView
    before: dict[str, float] = dataclasses.field(default_factory=dict)

    def begin(self) -> None:
        """Start counting."""
        self.before = dict(self.state.quota.charged_by)

    def admitted(self) -> dict[str, float]:
        """Return the units admitted in each region since the last call."""
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
        """Return the data centre of a source of charges, or None if unknown."""
        if not source:
            return self.state.data_centre
        if source.startswith(coordination.CENTRE):
            return source.removeprefix(coordination.CENTRE)
        peer = self.view.peers.get(source)
        return peer.data_centre if peer is not None else None

    def partially_reachable(self, min_fraction: float) -> frozenset[str]:
        """Return regions of which less than a fraction of the nodes is reachable.

        They include those with a configured but unknown data centre.
        """
        state = self.state
        nodes: collections.Counter[str] = collections.Counter()
        reachable: collections.Counter[str] = collections.Counter()
        known = self._known()
        for data_centre, (there, reachable_there) in known.items():
            region = state.distances.region_of(data_centre)
            nodes[region] += there
            reachable[region] += reachable_there
        unknown = {region for name, region in state.distances.regions.items() if name not in known}
        return frozenset(
            region
            for region in {*nodes, *unknown}
            if region in unknown or reachable[region] < min_fraction * nodes[region]
        )

    def _known(self) -> dict[str, tuple[int, int]]:
        """Return nodes, and reachable ones, by data centre."""
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
            there, reachable = found.get(peer.data_centre, (0, 0))
            found[peer.data_centre] = (there + 1, reachable + view.is_alive(peer))
        return found


def network_latency_fraction(
    state: fleet_state.FleetState, service: str, data_centres: Iterable[str]
) -> float:
    """Return a remote request's network latency as a fraction of a service's tightest target.

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
    round_trips_ms = [
        state.distances.round_trip_ms(name)
        for name in data_centres
        if state.distances.region_of(name) != own
    ]
    if not targets or not round_trips_ms:
        return 0.0
    return distance.FRESH_CONNECTION_ROUND_TRIPS * max(round_trips_ms) / min(targets)
