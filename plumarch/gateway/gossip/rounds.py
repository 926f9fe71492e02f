"""The rounds in which a coordinator tells its members, and the coordinators elsewhere."""

import dataclasses
from collections.abc import Callable, Iterable

import msgspec

from plumarch.gateway import fleet_state
from plumarch.gateway.gossip import coordination, stale_figures
from plumarch.membership import fleet_view, peer_node, tiers
from plumarch.peers import gossip

ROUND_INTERVAL_MS = 100
"""Time between two rounds. A large charge is known to a whole data centre within one, and to the
others within two."""

SUMMARIES_PER_SECOND = 80
"""Summaries that a coordinator sends to other data centres in a second at most. With five data
centres they go out in each round; with 21, where each round would be 10 MB a second over all, in
each fifth."""

STANDBY_ROUNDS = 4
"""Every how many rounds a coordinator tells that is not the oldest of its data centre: its members
follow the oldest one, and it in its place from 0.35 s of silence on."""

LATE_ROUND_MS = 1_000
"""A coordinator whose rounds were further apart than this was stopped or had no processor: what it
knows is old, and it tells nothing until heartbeats have reached it again."""

REMOTE_SECOND_INTERVAL_MS = 500
"""How often the second coordinator of a data centre in another region is told itself: so often that
it holds nobody for silent after one loss, should the oldest one freeze that passes on to it what it
hears otherwise. Bytes between regions are dearer than those within one."""

MAX_MISSED_ROUNDS = 2.5
"""An oldest coordinator that missed so many rounds passes nothing on: the second one of its data
centre is told in each round, before it takes those who tell it for silent (after four rounds)."""

Send = Callable[[gossip.Datagram, Iterable[str]], None]


@dataclasses.dataclass(slots=True)
class Rounds:
    """One node's rounds; they do nothing while it is no coordinator.

    Attributes:
      send: sends a message to addresses.
      skipped: rounds left to an older coordinator since the last one told.
      last_ms: when the last round was, told or not.
      paused_until_ms: nothing is told before then.
      next_summary_ms: when the next summary is due.
      summary_ms: the time between two summaries, which grows with the number of data centres.
      second_ms: when the second coordinators in other regions were told last.
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
        """Tell what is due."""
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
        """Return whether this round is left to an older coordinator."""
        self.skipped += 1
        oldest = self.view.seniors()[0]
        if oldest.seniority.name != self.view.node and self.skipped < STANDBY_ROUNDS:
            return True
        self.skipped = 0
        return False

    def _send_summary(self, now: int) -> None:
        """Tell the coordinators of other data centres, more seldom the more there are."""
        if now < self.next_summary_ms:
            return
        told = self.other_coordinators()
        self.summary_ms = round(1000.0 * len(told) / SUMMARIES_PER_SECOND)
        self.next_summary_ms = now + self.summary_ms
        if now - self.second_ms >= REMOTE_SECOND_INTERVAL_MS:
            self.second_ms = now
        else:
            told -= self._remote_seconds()
        self.send(self.sums.summary(), told)

    def _remote_seconds(self) -> set[str]:
        """Return where the coordinators are to which the oldest of their data centre passes on."""
        rounds_ms = MAX_MISSED_ROUNDS * max(ROUND_INTERVAL_MS, self.summary_ms)
        oldest = self.state.clock.now() - rounds_ms
        return {
            senior.address
            for name, centre in self.view.live_centres().items()
            if self._is_remote(name) and centre.oldest_ms >= oldest
            for senior in centre.seniors[1 : tiers.COORDINATORS]
        }

    def _is_remote(self, data_centre: str) -> bool:
        """Return whether a data centre is in another region, where the settings name some."""
        distances = self.state.distances
        return distances.region_of(data_centre) != distances.own_region()

    def forward(self, told: gossip.CentreSummary) -> None:
        """Pass a summary of another region on to the other coordinator of the own data centre.

        Where summaries are so rare that each goes to both, nothing is to be passed on.
        """
        view = self.view
        if self.summary_ms >= REMOTE_SECOND_INTERVAL_MS:
            return
        if self._is_remote(told.data_centre) and view.seniors()[0].seniority.name == view.node:
            self.send(told, [senior.address for senior in view.coordinators()])

    def _send_fleet_update(self) -> None:
        news = msgspec.Raw(gossip.encoder.encode(self.sums.fleet_update()))
        for peer in self.view.neighbours():
            taken_in = self.sums.acknowledged.get(peer.name, 0)
            self.send(gossip.MemberUpdate(taken_in, news), [peer.address])

    def other_coordinators(self) -> set[str]:
        """Return where the coordinators of other data centres are, as far as known."""
        view = self.view
        told: set[str] = set()
        live = view.live_centres()
        for name, centre in view.centres.items():
            wanted = centre.seniors[: tiers.COORDINATORS] if name in live else centre.seniors
            told |= {senior.address for senior in wanted}
        heard: dict[str, list[peer_node.Peer]] = {}
        for peer in view.peers.values():
            if peer.incarnation and peer.data_centre not in (self.state.data_centre, *live):
                heard.setdefault(peer.data_centre, []).append(peer)
        for peers in heard.values():
            oldest = sorted(peers, key=lambda peer: peer.seniority())[: tiers.SENIORS]
            told |= {peer.address for peer in oldest}
        return told
