"""How data centres come to know each other through a third one.

Each summary carries a digest of the data centres that its sender hears. A coordinator that hears
other ones answers with all that it hears and their elders, and whoever is told of one that it does
not hear asks these. So views are made equal from both sides for as long as they differ, and equal
views cost five bytes a summary.
"""

import dataclasses
from collections.abc import Callable, Iterable

from plumarch.gateway import fleet_state
from plumarch.gateway.gossip import heartbeats, seniors
from plumarch.membership import fleet_view, peer_node, tiers
from plumarch.peers import gossip

MIN_RESEND_INTERVAL_MS = 1_000
"""How often the same directory is sent to the same node at most: where a link is cut for long,
views differ for as long, and bytes between regions are dear."""

MAX_CENTRES = 10
"""Data centres that one datagram names: some 105 bytes each, with two elders."""

UNREACHABLE_LOG_MS = 1_500
"""A data centre is noted as not heard from then on: longer than it takes to be answered by one
that was just learned of, or by the coordinators that follow on those that died."""

Send = Callable[[gossip.Datagram, Iterable[str]], None]


@dataclasses.dataclass(slots=True)
class Bootstrap:
    """One node's introductions; a member leaves asking to its coordinators.

    Attributes:
      send: sends a message to addresses.
      directories_sent: when a directory was sent to each node, and the digest it was sent with.
      silent: since when each known data centre is not heard.
      noted: those of them that were logged.
    """

    state: fleet_state.FleetState
    view: fleet_view.FleetView
    composer: heartbeats.HeartbeatComposer
    send: Send
    directories_sent: dict[str, tuple[int, int]] = dataclasses.field(default_factory=dict)
    unreachable_since_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    logged: set[str] = dataclasses.field(default_factory=set)

    def step(self, leaving: bool) -> None:
        """Ask those that are known and not heard, and note them.

        Args:
          leaving: whether this process is about to end.
        """
        if self.view.role is tiers.Role.MEMBER:
            self._update_contact([])
            return
        live = self.view.reachable_centres()
        one_by_one = live - self.view.centres.keys()
        self.view.all_centres.still_heard(one_by_one, self.state.clock.now())
        self._update_contact(self.view.all_centres.unheard(live))
        self._discover(live, leaving)

    def _discover(self, live: set[str], leaving: bool) -> None:
        """Ask with a heartbeat that any node answers with whom it knows."""
        view = self.view
        heard = {one.address for one in view.peers.values() if self._is_reached(one, live)}
        due = view.all_centres.to_ask(live, heard, self.state.clock.now()) - {view.address}
        if due:
            self.send(self.composer.discovery(leaving), due)

    def _is_reached(self, peer: peer_node.Peer, live: set[str]) -> bool:
        return self.view.is_alive(peer) or (peer.incarnation > 0 and peer.data_centre in live)

    def compare_digest(self, told: gossip.CentreSummary, leaving: bool) -> None:
        """Tell a coordinator of another data centre whom this node hears, if it hears others.

        Args:
          leaving: whether this process is about to end.
        """
        mine = self.view.digest()
        if not told.centres_digest or told.centres_digest == mine:
            self.directories_sent.pop(told.node, None)
            return
        now = self.state.clock.now()
        told_ms, told_digest = self.directories_sent.get(told.node, (0, 0))
        if told_digest == mine and now - told_ms < MIN_RESEND_INTERVAL_MS:
            return
        self.directories_sent[told.node] = (now, mine)
        for directory in self._directories():
            self.send(directory, [told.address])

    def _directories(self) -> list[gossip.CentreDirectory]:
        known = [
            gossip.KnownCentre(name, seniors.to_messages(centre.seniors[: tiers.COORDINATORS]))
            for name, centre in sorted(self.view.live_centres().items())
        ]
        return [
            gossip.CentreDirectory(self.view.node, known[first : first + MAX_CENTRES])
            for first in range(0, len(known), MAX_CENTRES)
        ]

    def handle_directory(self, told: gossip.CentreDirectory, leaving: bool) -> None:
        """Take in whom another coordinator hears, and ask those that are new.

        Args:
          leaving: whether this process is about to end.
        """
        for peer in told.peers:
            self.view.learn(peer.name, peer.address)
        live = self.view.reachable_centres()
        now = self.state.clock.now()
        news: set[str] = set()
        for one in told.centres:
            if one.data_centre == self.state.data_centre:
                self.view.note_reported_seniors(seniors.from_messages(one.seniors))
            elif one.data_centre not in live and self.view.all_centres.told(
                one.data_centre, seniors.from_messages(one.seniors), now
            ):
                news |= {senior.address for senior in one.seniors}
        if news and self.view.role is not tiers.Role.MEMBER:
            self.send(self.composer.discovery(leaving), news)

    def send_known_peers(self, peer: peer_node.Peer) -> None:
        """Tell a node that is heard for the first time, or again, of all nodes of a small fleet.

        Heartbeats name some of them now and then: by these alone the last pairs of nodes would hear
        each other only some seconds after their start.
        """
        if self.view.known_size() <= tiers.FLAT_FLEET:
            known = [gossip.KnownPeer(one.name, one.address) for one in self.view.live()]
            self.send(gossip.CentreDirectory(self.view.node, [], known), [peer.address])

    def apply_seniors(self, beat: gossip.Heartbeat) -> None:
        """Take in whom a node of another data centre calls the elders of it."""
        if beat.seniors and beat.data_centre not in self.view.reachable_centres():
            told = seniors.from_messages(beat.seniors)
            self.view.all_centres.told(beat.data_centre, told, self.state.clock.now())

    def remember(self, peer: peer_node.Peer) -> None:
        """Keep in mind a node that is counted no more, for when it is reached again."""
        if peer.last_seen_ms is not None and not peer.leaving:
            senior = tiers.Senior(peer.seniority(), peer.address)
            self.view.all_centres.remember(peer.data_centre, senior, peer.last_seen_ms)

    def _update_contact(self, unheard: list[str]) -> None:
        """Log when a data centre begins and ends not to be heard, and keep what gauges show."""
        now = self.state.clock.now()
        known = self.view.all_centres.centres
        self.unreachable_since_ms = {
            name: self.unreachable_since_ms.get(name, now) for name in unheard
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
                    ever_heard=known[name].heard,
                    elders=[senior.address for senior in known[name].seniors],
                )
        contact = self.state.contact
        if self.view.role is tiers.Role.MEMBER:
            contact.known = contact.unheard = contact.oldest_ms = 0
            return
        contact.known = len(known.keys() - {self.state.data_centre})
        contact.unheard = len(unheard)
        contact.oldest_ms = max([0, *(now - one.since_ms for one in known.values())])
