"""The other nodes of a fleet, as their heartbeats tell.

Silence decides only when others act and how much of a workspace's allotment may be used;
safety rests on fencing tokens and on parts that never add up to more than the whole.
"""

import dataclasses
from collections.abc import Iterable

from plumarch.core import clock
from plumarch.membership import known_centres, peer_node, store_followers, tiers

ALIVE_TIMEOUT_MS = 1_200
"""A node whose heartbeat is younger than this counts as heard, if heartbeats are frequent."""

ALIVE_INTERVALS = 4.5
"""Where heartbeats are rarer, a node is heard for this many intervals."""

RETENTION_MS = 30_000
"""A node silent for this long is no longer counted among the fleet."""

TRUSTED_UPDATE_MS = 600
"""A member admits from the fleet's part by news that are younger than this, and else from its own
node's part. News come each 100 ms, and from the second coordinator each 400 ms if the first
one falls silent. By the 1,200 ms after which a node counts as silent, each of 24 nodes that were
cut off alone admitted from the whole for twice as long."""

FRESH_SUMMARY_MS = 400
"""A data centre counts in the part of an allotment that is heard while its summary is younger than
this: three may be missed. Until it counts as silent, after 1,200 ms, regions that are cut off from
each other would each spend a whole burst."""

FRESH_INTERVALS = 2.5
"""A node counts in that part while its last heartbeat is younger than this many intervals: one may
be missed. Until it counts as silent, after 1,200 ms, both sides of a cut would admit as if each
were the whole fleet: 1.06 of what is tolerated, where a workspace asked for ten times its rate."""

MIN_FRESH_MS = 625
"""That many intervals of the most frequent heartbeats, before this node knows its own interval."""

SUMMARIES_MISSED = 2.5
SUMMARY_MS_EACH = 25.0
"""With many data centres summaries are rarer, by this time for each (two coordinators, 80 summaries
a second); then it counts while no more of them are missed."""

SMALL_FLEET = 12
"""Up to this size each node follows the store."""


@dataclasses.dataclass(slots=True)
class FleetView:
    """All peers by name; those known by address only stand under their address.

    Attributes:
      data_centre: this node's; "" where only a flat fleet is looked at.
      interval_ms: the time between two heartbeats of a node.
      role: what this node is to the others, since decide_role() was asked last.
      centres: the other data centres as their coordinators told, for a coordinator.
      fleet_update: what the own coordinators told last, for a member; None if they never did.
      names: the name under which each address stands.
      all_centres: all data centres that were ever told of, and the seeds.
      hearsay: nodes of the own data centre that another one called its elders, and when.
    """

    clock: clock.Clock
    node: str
    incarnation: int
    address: str
    data_centre: str = ""
    interval_ms: float = 0.0
    peers: dict[str, peer_node.Peer] = dataclasses.field(default_factory=dict)
    role: tiers.Role = tiers.Role.FLAT
    centres: dict[str, tiers.CentreView] = dataclasses.field(default_factory=dict)
    fleet_update: tiers.ReceivedFleetUpdate | None = None
    names: dict[str, str] = dataclasses.field(default_factory=dict)
    reported_seniors: dict[tiers.Senior, int] = dataclasses.field(default_factory=dict)
    all_centres: known_centres.KnownCentres = dataclasses.field(
        default_factory=known_centres.KnownCentres
    )

    def learn(self, name: str, address: str, data_centre: str = "") -> None:
        """Note that a node may exist, from a seed list, the store, or a peer.

        Args:
          name: its name, or its address if only that is known.
          data_centre: where it is, if that is known.
        """
        if name == self.node or address == self.address or name in self.peers:
            return
        if address in self.names:
            return
        self._keep(peer_node.Peer(name, address, self.clock.now(), data_centre=data_centre))

    def _keep(self, peer: peer_node.Peer) -> None:
        self.peers[peer.name] = peer
        self.names[peer.address] = peer.name

    def _drop(self, name: str) -> None:
        peer = self.peers.pop(name)
        if self.names.get(peer.address) == name:
            del self.names[peer.address]

    def mark_seen(
        self, name: str, incarnation: int, address: str, data_centre: str
    ) -> peer_node.Peer | None:
        """Take in a sign of life.

        Returns:
          The peer, or None if the sign is of an incarnation that was replaced.
        """
        if name == self.node:
            return None
        now = self.clock.now()
        namesake = self.names.get(address)
        if namesake not in (None, name) and self.peers[namesake].incarnation <= incarnation:
            self._drop(namesake)
        peer = self.peers.get(name)
        if peer is not None and peer.incarnation > incarnation:
            return None
        if peer is None:
            peer = peer_node.Peer(name, address, now)
        elif peer.address != address:
            self._drop(name)
            peer.address = address
        self._keep(peer)
        peer.incarnation = incarnation
        peer.data_centre = data_centre
        peer.last_seen_ms = now
        return peer

    def tick(self) -> list[peer_node.Peer]:
        """Forget peers that are silent for long.

        Returns:
          Those forgotten now.
        """
        now = self.clock.now()
        gone = [
            peer
            for peer in self.peers.values()
            if now - (peer.last_seen_ms if peer.last_seen_ms is not None else peer.learned_ms)
            > RETENTION_MS
        ]
        for peer in gone:
            self._drop(peer.name)
        for name in [
            name for name, one in self.centres.items() if now - one.received_ms > RETENTION_MS
        ]:
            del self.centres[name]
        return gone

    def alive_timeout_ms(self) -> float:
        """Return how long a node may be silent and still counts as heard."""
        return max(ALIVE_TIMEOUT_MS, ALIVE_INTERVALS * self.interval_ms)

    def is_alive(self, peer: peer_node.Peer) -> bool:
        """Return whether a peer was heard lately."""
        return self._is_heard_within(peer, self.alive_timeout_ms())

    def _is_heard_within(self, peer: peer_node.Peer, limit_ms: float) -> bool:
        return peer.last_seen_ms is not None and self.clock.now() - peer.last_seen_ms <= limit_ms

    def live(self) -> list[peer_node.Peer]:
        """Return the peers that are heard and not leaving, by name."""
        found = [one for one in self.peers.values() if self.is_alive(one) and not one.leaving]
        return sorted(found, key=lambda peer: peer.name)

    def size(self) -> int:
        """Return how many nodes there may be, this one included."""
        if self.role is tiers.Role.MEMBER and self.fleet_update is not None:
            return max(1, self.fleet_update.nodes)
        return self.estimated_size()

    def estimated_size(self) -> int:
        """Return how many nodes there may be by all that is known, whatever this node's role.

        The role depends on it: by a number that depended on the role it would change to and fro.
        A node that just started knows few of a large fleet; those that it hears count more.
        """
        told = [one.nodes for one in self.peers.values() if self.is_alive(one)]
        return max([self.counted_size(), *told])

    def counted_size(self) -> int:
        """Return how many nodes there may be without what others count, so that it can be told."""
        by_name = 1 + len([one for one in self.peers.values() if not self._left(one)])
        elsewhere = sum(centre.nodes for centre in self.centres.values())
        return max(by_name, self.centre_size() + elsewhere, self._nodes_in_news())

    def _nodes_in_news(self) -> int:
        """Return how many nodes the last news told of, until silent ones are forgotten.

        A member hardly knows another node by itself. When all coordinators of its data centre lose
        power, it would otherwise take three nodes for the whole fleet, admit from whole allotments
        and take the duties, as 24 of 70 nodes did.
        """
        age = self.update_age_ms()
        return (
            self.fleet_update.nodes
            if self.fleet_update is not None and age is not None and age <= RETENTION_MS
            else 0
        )

    def has_full_view(self) -> bool:
        """Return whether this node is told of what all nodes do, as far as any node is.

        In a large fleet coordinators are. A node that looks for its coordinators is not.
        """
        if self.role is tiers.Role.FLAT:
            return self.estimated_size() <= tiers.FLAT_FLEET
        return self.role is tiers.Role.COORDINATOR

    def centre_size(self) -> int:
        """Return how many nodes there may be in the own data centre, this one included."""
        return 1 + len([one for one in self.neighbours() if not self._left(one)])

    def reporting_nodes(self) -> int:
        """Return how many nodes tell a coordinator of the own data centre, as far as known."""
        if self.role is tiers.Role.MEMBER and self.fleet_update is not None:
            return self.fleet_update.centre_nodes
        return self.centre_size()

    def neighbours(self) -> list[peer_node.Peer]:
        """Return the peers of the own data centre."""
        return [one for one in self.peers.values() if one.data_centre == self.data_centre]

    def direct_peers(self) -> list[peer_node.Peer]:
        """Return the peers of whom no coordinator tells."""
        if self.role is not tiers.Role.COORDINATOR:
            return list(self.peers.values())
        return [one for one in self.peers.values() if one.data_centre not in self.centres]

    def _left(self, peer: peer_node.Peer) -> bool:
        return peer.leaving and not self.is_alive(peer)

    def reachable_fraction(self) -> float:
        """Return the part of all nodes that is heard, this one included.

        For a member and in other data centres these are the nodes that coordinators hear.
        """
        return self._fraction_within(self.alive_timeout_ms())

    def fresh_fraction(self) -> float:
        """Return the part of all nodes whose news are so young that allotments count on them."""
        return self._fraction_within(self._fresh_ms())

    def is_fresh(self, peer: peer_node.Peer) -> bool:
        """Return whether a peer's news are so young that allotments count on it."""
        return self._is_heard_within(peer, self._fresh_ms())

    def _fresh_ms(self) -> float:
        fresh_ms = max(MIN_FRESH_MS, FRESH_INTERVALS * self.interval_ms)
        return min(self.alive_timeout_ms(), fresh_ms)

    def _fraction_within(self, limit_ms: float) -> float:
        """Return the part of all nodes that is heard, with peers heard within a time."""
        size = self.size()
        if self.role is tiers.Role.MEMBER:
            age = self.update_age_ms()
            fresh = age is not None and age <= TRUSTED_UPDATE_MS
            return self.fleet_update.fraction if self.fleet_update and fresh else 1.0 / size
        told = self.live_centres() if self.role is tiers.Role.COORDINATOR else {}
        heard = 1
        for one in self.peers.values():
            if one.data_centre in told:
                continue
            if self._is_heard_within(one, limit_ms):
                heard += 1
            elif one.leaving and self.is_alive(one):
                # Of one that ends as planned nothing is to be expected any more.
                size -= 1
        oldest = self.clock.now() - self._fresh_summary_ms()
        heard += sum(one.reachable_nodes for one in told.values() if one.received_ms >= oldest)
        return min(1.0, heard / max(size, heard))

    def _fresh_summary_ms(self) -> float:
        """Return how old a data centre's summary may be that counts as heard by allotments."""
        rarer_ms = SUMMARIES_MISSED * SUMMARY_MS_EACH * len(self.centres)
        return min(self.alive_timeout_ms(), max(FRESH_SUMMARY_MS, rarer_ms))

    def live_centres(self) -> dict[str, tiers.CentreView]:
        """Return the other data centres whose coordinators are heard."""
        now, limit = self.clock.now(), self.alive_timeout_ms()
        return {name: one for name, one in self.centres.items() if now - one.received_ms <= limit}

    def reachable_centres(self) -> set[str]:
        """Return the data centres that are heard, by their coordinators or any of their nodes.

        A coordinator's own is one of them; another node's only if it hears a node of it.
        """
        if self.role is tiers.Role.COORDINATOR:
            return {self.data_centre, *self.live_centres()}
        return {one.data_centre for one in self.peers.values() if self.is_alive(one)}

    def unreachable_centres(self) -> list[str]:
        """Return the other data centres that count among the fleet and never told this node."""
        since_ms = self.clock.now() - RETENTION_MS
        told = self.centres.keys() | self.reachable_centres()
        return [
            name
            for name, one in self.all_centres.centres.items()
            if one.since_ms >= since_ms and name not in told
        ]

    def digest(self) -> int:
        """Return a digest of the data centres that are heard, for a coordinator to tell."""
        return known_centres.digest(self.reachable_centres())

    def update_age_ms(self) -> int | None:
        """Return how old the last news of an own coordinator is, or None without any."""
        return (
            self.clock.now() - self.fleet_update.received_ms
            if self.fleet_update is not None
            else None
        )

    def has_fresh_update(self) -> bool:
        """Return whether a coordinator of the own data centre was heard lately."""
        age = self.update_age_ms()
        return age is not None and age <= self.alive_timeout_ms()

    def decide_role(self) -> tiers.Role:
        """Decide what this node is from now on."""
        older = [one for one in self.assumed_seniors() if one.seniority < self.seniority()]
        age = self.update_age_ms()
        # Where all coordinators fell silent, those next in age coordinate and the others wait
        # for their news for as long again.
        waits = age is not None and age <= 2 * self.alive_timeout_ms()
        self.role = tiers.role_of(
            self.seniority(), self.estimated_size(), [one.seniority for one in older], waits
        )
        return self.role

    def seniority(self) -> tiers.Seniority:
        """Return this node's own age."""
        return tiers.Seniority(self.incarnation, self.node)

    def seniors(self) -> list[tiers.Senior]:
        """Return the oldest live nodes of the own data centre that are known, this one included.

        They are those that are heard, and those that a coordinator told of. Where no coordinator
        is heard any more, those that fell silent with it are left out.
        """
        found = {
            one.name: tiers.Senior(one.seniority(), one.address)
            for one in self.neighbours()
            if self.is_alive(one) and not one.leaving
        }
        age = self.update_age_ms()
        if self.fleet_update is not None and age is not None and age <= 2 * self.alive_timeout_ms():
            for senior in self.fleet_update.seniors:
                is_gone = not self.has_fresh_update() and self._fell_silent(senior)
                if senior.seniority.name not in found and not is_gone:
                    found[senior.seniority.name] = senior
        found[self.node] = tiers.Senior(self.seniority(), self.address)
        return sorted(found.values(), key=lambda senior: senior.seniority)

    def note_reported_seniors(self, seniors: Iterable[tiers.Senior]) -> bool:
        """Note whom a node of the own data centre calls its elders.

        Returns:
          Whether some of them were not known.
        """
        known = {senior.seniority.name for senior in self.assumed_seniors()}
        now = self.clock.now()
        news = False
        for senior in seniors:
            self.reported_seniors[senior] = now
            news = news or (senior.seniority.name not in known and not self._fell_silent(senior))
        return news

    def assumed_seniors(self) -> list[tiers.Senior]:
        """Return the elders with those known by hearsay only, who are never told on."""
        now, limit = self.clock.now(), self.alive_timeout_ms()
        for senior in [senior for senior, at in self.reported_seniors.items() if now - at > limit]:
            del self.reported_seniors[senior]
        found = {senior.seniority.name: senior for senior in self.seniors()}
        for senior in self.reported_seniors:
            if senior.seniority.name not in found and not self._fell_silent(senior):
                found[senior.seniority.name] = senior
        return sorted(found.values(), key=lambda senior: senior.seniority)

    def _fell_silent(self, senior: tiers.Senior) -> bool:
        peer = self.peers.get(senior.seniority.name)
        if peer is None:
            return False
        if peer.leaving or peer.last_seen_ms is None:
            return peer.leaving
        silent_ms = self.clock.now() - peer.last_seen_ms
        limit = self.alive_timeout_ms()
        return limit < silent_ms <= tiers.RECENTLY_LOST_TIMEOUTS * limit

    def coordinators(self) -> list[tiers.Senior]:
        """Return the coordinators of the own data centre other than this node."""
        chosen = self.assumed_seniors()[: tiers.COORDINATORS]
        return [senior for senior in chosen if senior.seniority.name != self.node]

    def has_holder(self) -> bool:
        """Return whether a live node elsewhere says that it holds the duties."""
        if any(peer.token > 0 for peer in self.live()):
            return True
        return any(centre.token > 0 for centre in self.live_centres().values())

    def newest_token(self) -> int:
        """Return the highest fencing token that another node told, alive or not."""
        peers = [peer.token for peer in self.peers.values()]
        return max([0, *peers, *(centre.token for centre in self.centres.values())])

    def is_most_senior_candidate(self) -> bool:
        """Return whether this node is the oldest live one that could take the duties over.

        In a large fleet only coordinators do, since only they know what all nodes did.
        """
        if not self.has_full_view():
            return False
        mine = self.seniority()
        told = self.live_centres() if self.role is tiers.Role.COORDINATOR else {}
        others = [
            peer.seniority()
            for peer in self.live()
            if peer.candidate and peer.data_centre not in told
        ]
        others += [centre.candidate for centre in told.values() if centre.candidate is not None]
        return all(mine < other for other in others)

    def followers(self, reaches_store: bool) -> list[str]:
        """Return the names of the nodes of the own data centre that are to follow the store.

        Args:
          reaches_store: whether the store answers this node.
        """
        live = [
            (one.seniority(), one.reaches_store) for one in self.neighbours() if self.is_alive(one)
        ]
        by_seniority = sorted([*live, (self.seniority(), reaches_store)])
        wanted = store_followers.per_centre(len(self.reachable_centres() | {self.data_centre}))
        return store_followers.choose(
            [(age.name, reaches) for age, reaches in by_seniority], wanted
        )

    def shares_following(self) -> bool:
        """Return whether only some nodes follow the store, and tell the others what is newer."""
        return self.size() > SMALL_FLEET

    def watches_store(self, data_centre: str) -> bool:
        """Return whether this node follows the store itself.

        In a small fleet each node does. In a large one some of each data centre do, and the
        others fetch from them what is newer. One that the store does not answer counts for
        nothing here: another one follows the store in its place.
        """
        if not self.shares_following():
            return True
        if (
            self.role is tiers.Role.MEMBER
            and self.fleet_update is not None
            and self.has_fresh_update()
        ):
            return self.node in self.fleet_update.followers
        older = [
            peer
            for peer in self.live()
            if peer.data_centre == data_centre
            and peer.reaches_store
            and peer.seniority() < self.seniority()
        ]
        return len(older) < store_followers.per_centre(
            len(self.reachable_centres() | {data_centre})
        )

    def addresses(self) -> Iterable[str]:
        """Return where heartbeats are sent."""
        return [peer.address for peer in self.peers.values()]
