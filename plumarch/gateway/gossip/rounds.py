"""A coordinator's periodic summaries and fleet updates."""

import dataclasses
from collections.abc import Callable, Iterable

import msgspec

from plumarch.gateway import fleet_state
from plumarch.gateway.gossip import coordination, stale_figures
from plumarch.membership import fleet_view, peer_node, tiers
from plumarch.peers import gossip

ROUND_INTERVAL_MS = 100
"""Time between rounds."""

SUMMARIES_PER_SECOND = 80
"""Maximum summaries per second that a coordinator sends to other data centres."""

STANDBY_ROUNDS = 4
"""Interval at which a standby coordinator sends, in rounds."""

LATE_ROUND_MS = 1_000
"""Gap between rounds after which a coordinator pauses until heartbeats refresh its state.

It was suspended or had no processor time.
"""

REMOTE_SECOND_INTERVAL_MS = 500
"""Time between summaries to a remote second coordinator, which gets the others forwarded.

Should the forwarder freeze, one lost summary does not yet make the sender count as unreachable.
"""

MAX_MISSED_ROUNDS = 2.5
"""Rounds after which an unresponsive senior coordinator is assumed to forward nothing.

The second one then gets each summary, before it counts the senders as unreachable.
"""

Send = Callable[[gossip.Datagram, Iterable[str]], None]


@dataclasses.dataclass(slots=True)
class Rounds:
    """One node's rounds, idle unless it is a coordinator.

    Attributes:
      skipped: rounds left to a more senior coordinator since the last sent.
      last_ms: time of the last round, including skipped ones.
      paused_until_ms: nothing is sent before then.
      summary_ms: time between summaries; grows with the number of data centres.
      second_ms: time of the last summary to remote second coordinators.
    """

    state: fleet_state.FleetState
    view: fleet_view.FleetView
    sums: coordination.Coordination
    send: Send
    skipped: int = 0
    last_ms: int = 0
    paused_until_ms: int = 0
    next_summary_ms: int = 0
    summary_ms: int = 0
    second_ms: int = 0

    def step(self) -> None:
        """Send what is due."""
        now = self.state.clock.now()
        if self.last_ms and now - self.last_ms > LATE_ROUND_MS:
            self.paused_until_ms = now + round(2 * self.view.interval_ms)
        self.last_ms = now
        if self.view.role is not tiers.Role.COORDINATOR or now < self.paused_until_ms:
            return
        if self._stands_by():
            return
        stale_figures.drop_old_loads(self.state, self.view)
        self._send_summary(now)
        self._send_fleet_update()

    def _stands_by(self) -> bool:
        """Return whether this round is left to a more senior coordinator."""
        self.skipped += 1
        senior = self.view.seniors()[0]
        if senior.seniority.name != self.view.node and self.skipped < STANDBY_ROUNDS:
            return True
        self.skipped = 0
        return False

    def _send_summary(self, now: int) -> None:
        """Send a summary to other data centres, if due."""
        if now < self.next_summary_ms:
            return
        recipients = self.other_coordinators()
        self.summary_ms = round(1000.0 * len(recipients) / SUMMARIES_PER_SECOND)
        self.next_summary_ms = now + self.summary_ms
        if now - self.second_ms >= REMOTE_SECOND_INTERVAL_MS:
            self.second_ms = now
        else:
            recipients -= self._remote_seconds()
        self.send(self.sums.summary(), recipients)

    def _remote_seconds(self) -> set[str]:
        """Return remote second coordinators whose senior forwards summaries."""
        rounds_ms = MAX_MISSED_ROUNDS * max(ROUND_INTERVAL_MS, self.summary_ms)
        earliest_ms = self.state.clock.now() - rounds_ms
        return {
            senior.address
            for name, centre in self.view.live_centres().items()
            if self._is_remote(name) and centre.senior_received_ms >= earliest_ms
            for senior in centre.seniors[1 : tiers.COORDINATORS]
        }

    def _is_remote(self, data_centre: str) -> bool:
        """Return whether a data centre is in another region."""
        distances = self.state.distances
        return distances.region_of(data_centre) != distances.own_region()

    def forward(self, summary: gossip.CentreSummary) -> None:
        """Forward a remote summary to the other coordinator of the own data centre.

        Not needed while the interval is long enough that each goes to both.
        """
        view = self.view
        if self.summary_ms >= REMOTE_SECOND_INTERVAL_MS:
            return
        if self._is_remote(summary.data_centre) and view.seniors()[0].seniority.name == view.node:
            self.send(summary, [senior.address for senior in view.coordinators()])

    def _send_fleet_update(self) -> None:
        update = msgspec.Raw(gossip.encoder.encode(self.sums.fleet_update()))
        for peer in self.view.neighbours():
            acknowledged = self.sums.acknowledged.get(peer.name, 0)
            self.send(gossip.MemberUpdate(acknowledged, update), [peer.address])

    def other_coordinators(self) -> set[str]:
        """Return the known addresses of other data centres' coordinators."""
        view = self.view
        addresses: set[str] = set()
        live = view.live_centres()
        for name, centre in view.centres.items():
            wanted = centre.seniors[: tiers.COORDINATORS] if name in live else centre.seniors
            addresses |= {senior.address for senior in wanted}
        by_centre: dict[str, list[peer_node.Peer]] = {}
        for peer in view.peers.values():
            if peer.incarnation and peer.data_centre not in (self.state.data_centre, *live):
                by_centre.setdefault(peer.data_centre, []).append(peer)
        for peers in by_centre.values():
            seniors = sorted(peers, key=lambda peer: peer.seniority())[: tiers.SENIORS]
            addresses |= {peer.address for peer in seniors}
        return addresses
