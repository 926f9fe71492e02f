"""Exchanges directories of reachable data centres between coordinators."""

import dataclasses
from collections.abc import Callable, Iterable

from plumarch.gateway import fleet_state
from plumarch.gateway.gossip import heartbeats, seniors
from plumarch.membership import fleet_view, peer_node, tiers
from plumarch.peers import gossip

MIN_RESEND_INTERVAL_MS = 1_000
"""Time before the same directory goes to the same node again."""

MAX_CENTRES = 10
"""Data centres in one datagram."""

UNREACHABLE_LOG_MS = 1_500
"""Time until an unreachable data centre is logged; longer than a failover."""

Send = Callable[[gossip.Datagram, Iterable[str]], None]


@dataclasses.dataclass(slots=True)
class Bootstrap:
    """Finds the coordinators of other data centres; a member leaves this to its coordinators.

    Attributes:
      directories_sent: time and digest of the last directory sent, by node.
      unreachable_since_ms: by data centre.
      logged: unreachable data centres that were logged.
    """

    state: fleet_state.FleetState
    view: fleet_view.FleetView
    composer: heartbeats.HeartbeatComposer
    send: Send
    directories_sent: dict[str, tuple[int, int]] = dataclasses.field(default_factory=dict)
    unreachable_since_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    logged: set[str] = dataclasses.field(default_factory=set)

    def step(self, leaving: bool) -> None:
        """Contact unreachable data centres and update log and gauges."""
        if self.view.role is tiers.Role.MEMBER:
            self._update_contact([])
            return
        live = self.view.reachable_centres()
        without_summary = live - self.view.centres.keys()
        self.view.all_centres.refresh_seen(without_summary, self.state.clock.now())
        self._update_contact(self.view.all_centres.unreachable(live))
        self._discover(live, leaving)

    def _discover(self, live: set[str], leaving: bool) -> None:
        """Send a discovery heartbeat to unreachable data centres."""
        view = self.view
        reached = {one.address for one in view.peers.values() if self._is_reached(one, live)}
        due = view.all_centres.due_addresses(live, reached, self.state.clock.now()) - {view.address}
        if due:
            self.send(self.composer.discovery(leaving), due)

    def _is_reached(self, peer: peer_node.Peer, live: set[str]) -> bool:
        return self.view.is_alive(peer) or (peer.incarnation > 0 and peer.data_centre in live)

    def compare_digest(self, summary: gossip.CentreSummary, leaving: bool) -> None:
        """Send the directory to a coordinator elsewhere that knows other data centres."""
        mine = self.view.digest()
        if not summary.centres_digest or summary.centres_digest == mine:
            self.directories_sent.pop(summary.node, None)
            return
        now = self.state.clock.now()
        sent_ms, sent_digest = self.directories_sent.get(summary.node, (0, 0))
        if sent_digest == mine and now - sent_ms < MIN_RESEND_INTERVAL_MS:
            return
        self.directories_sent[summary.node] = (now, mine)
        for directory in self._directories():
            self.send(directory, [summary.address])

    def _directories(self) -> list[gossip.CentreDirectory]:
        known = [
            gossip.KnownCentre(name, seniors.to_messages(centre.seniors[: tiers.COORDINATORS]))
            for name, centre in sorted(self.view.live_centres().items())
        ]
        return [
            gossip.CentreDirectory(self.view.node, known[first : first + MAX_CENTRES])
            for first in range(0, len(known), MAX_CENTRES)
        ]

    def handle_directory(self, directory: gossip.CentreDirectory, leaving: bool) -> None:
        """Learn the nodes in a directory, and contact those of new data centres."""
        for peer in directory.peers:
            self.view.learn(peer.name, peer.address)
        live = self.view.reachable_centres()
        now = self.state.clock.now()
        new_addresses: set[str] = set()
        for one in directory.centres:
            if one.data_centre == self.state.data_centre:
                self.view.note_reported_seniors(seniors.from_messages(one.seniors))
            elif one.data_centre not in live and self.view.all_centres.reported(
                one.data_centre, seniors.from_messages(one.seniors), now
            ):
                new_addresses |= {senior.address for senior in one.seniors}
        if new_addresses and self.view.role is not tiers.Role.MEMBER:
            self.send(self.composer.discovery(leaving), new_addresses)

    def send_known_peers(self, peer: peer_node.Peer) -> None:
        """Send all known nodes to a newly reachable one in a small fleet.

        Heartbeats name only a sample, so the last pairs would meet seconds later.
        """
        if self.view.estimated_size() <= tiers.FLAT_FLEET:
            known = [gossip.KnownPeer(one.name, one.address) for one in self.view.live()]
            self.send(gossip.CentreDirectory(self.view.node, [], known), [peer.address])

    def apply_seniors(self, heartbeat: gossip.Heartbeat) -> None:
        """Learn another data centre's seniors from a node in it."""
        if heartbeat.seniors and heartbeat.data_centre not in self.view.reachable_centres():
            reported = seniors.from_messages(heartbeat.seniors)
            self.view.all_centres.reported(heartbeat.data_centre, reported, self.state.clock.now())

    def remember(self, peer: peer_node.Peer) -> None:
        """Remember an uncounted node, so that it can be contacted again."""
        if peer.last_seen_ms is not None and not peer.leaving:
            senior = tiers.Senior(peer.seniority(), peer.address)
            self.view.all_centres.remember(peer.data_centre, senior, peer.last_seen_ms)

    def _update_contact(self, unreachable: list[str]) -> None:
        """Log reachability changes of data centres and update the gauges."""
        now = self.state.clock.now()
        known = self.view.all_centres.centres
        self.unreachable_since_ms = {
            name: self.unreachable_since_ms.get(name, now) for name in unreachable
        }
        for name in sorted(self.logged - self.unreachable_since_ms.keys()):
            self.logged.discard(name)
            self.state.log.write("centre_heard", urgent=True, centre=name)
        for name, since_ms in self.unreachable_since_ms.items():
            if name not in self.logged and now - since_ms >= UNREACHABLE_LOG_MS:
                self.logged.add(name)
                self.state.log.write(
                    "centre_unheard",
                    urgent=True,
                    centre=name,
                    ever_heard=known[name].ever_seen,
                    elders=[senior.address for senior in known[name].seniors],
                )
        contact = self.state.contact
        if self.view.role is tiers.Role.MEMBER:
            contact.known = contact.unreachable = contact.oldest_ms = 0
            return
        contact.known = len(known.keys() - {self.state.data_centre})
        contact.unreachable = len(unreachable)
        contact.oldest_ms = max([0, *(now - one.since_ms for one in known.values())])
