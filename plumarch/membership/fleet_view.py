"""A node's view of its peers, from heartbeats and fleet updates.

Liveness decides only when nodes act and how much quota they use; safety rests on fencing tokens
and quota shares that never add up to more than the quota.
"""

import dataclasses
from collections.abc import Iterable

from plumarch.core import addresses, clock
from plumarch.membership import known_centres, peer_node, store_followers, tiers

ALIVE_TIMEOUT_MS = 1_200
"""Minimum time after its last heartbeat for which a node counts as alive."""

ALIVE_INTERVALS = 4.5
"""The same in heartbeat intervals, where longer."""

RETENTION_MS = 30_000
"""A node unseen for this long no longer counts towards the size of the fleet."""

TRUSTED_UPDATE_MS = 600
"""Maximum age of a fleet update by whose fraction a member admits; later it counts on its own share
only."""

FRESH_SUMMARY_MS = 400
"""Maximum age of a data centre's summary for quotas. With the longer alive timeout, partitioned
regions would each spend a full burst first."""

FRESH_INTERVALS = 2.5
"""Maximum age of a heartbeat for quotas, in its intervals. With the longer alive timeout, both
sides of a partition would admit as if each were the fleet."""

MIN_FRESH_MS = 625
"""The same in ms, while the interval is unknown."""

SUMMARIES_MISSED = 2.5
SUMMARY_MS_EACH = 25.0
"""Time between summaries per data centre; with many, SUMMARIES_MISSED such intervals replace
FRESH_SUMMARY_MS."""

SMALL_FLEET = 12
"""Maximum fleet size at which each node follows the store."""


@dataclasses.dataclass(slots=True)
class FleetView:
    """A node's peers.

    Attributes:
      data_centre: this node's; "" in flat fleets without any.
      interval_ms: time between a node's heartbeats.
      peers: by name, or by address while the name is unknown.
      role: by the last decide_role().
      centres: last summaries of other data centres, on a coordinator.
      fleet_update: from an own coordinator, on a member; None before the first.
      names: the key in `peers` of each address.
      reported_seniors: of the own data centre, by a peer's report, and when.
      all_centres: all data centres ever reported, and the seeds.
      store_era: of the endpoints that this node knows.
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
    store_era: int = 0

    def learn(self, name: str, address: str, data_centre: str = "") -> None:
        """Add an unknown node from a seed list, the store or a peer.

        Args:
          name: its name, or its address if only that is known.
          data_centre: "" if unknown.
        """
        if name == self.node or address == self.address or name in self.peers:
            return
        if address in self.names or not addresses.is_ip_port(address):
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
        """Record a node's message.

        Returns:
          The peer, or None if it is a replaced incarnation or its address is invalid.
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
        if (peer is None or peer.address != address) and not addresses.is_ip_port(address):
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
        """Drop peers and summaries older than RETENTION_MS; return the dropped peers."""
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
        """Return how long after its last message a node counts as alive."""
        return max(ALIVE_TIMEOUT_MS, ALIVE_INTERVALS * self.interval_ms)

    def is_alive(self, peer: peer_node.Peer) -> bool:
        """Return whether a peer was seen within the alive timeout."""
        return self._is_seen_within(peer, self.alive_timeout_ms())

    def _is_seen_within(self, peer: peer_node.Peer, limit_ms: float) -> bool:
        return peer.last_seen_ms is not None and self.clock.now() - peer.last_seen_ms <= limit_ms

    def live(self) -> list[peer_node.Peer]:
        """Return the peers that are alive and not leaving, by name."""
        found = [one for one in self.peers.values() if self.is_alive(one) and not one.leaving]
        return sorted(found, key=lambda peer: peer.name)

    def size(self) -> int:
        """Return the fleet's size, this node included."""
        if self.role is tiers.Role.MEMBER and self.fleet_update is not None:
            return max(1, self.fleet_update.nodes)
        return self.estimated_size()

    def estimated_size(self) -> int:
        """Return the fleet's size regardless of this node's role.

        decide_role() depends on it; one that followed from the role would let it oscillate. A new
        node knows few peers, so the counts that live peers report matter too.
        """
        reported = [one.nodes for one in self.peers.values() if self.is_alive(one)]
        return max([self.counted_size(), *reported])

    def counted_size(self) -> int:
        """Return the size by own count, as reported to others."""
        by_name = 1 + len([one for one in self.peers.values() if not self._left(one)])
        elsewhere = sum(centre.nodes for centre in self.centres.values())
        return max(by_name, self.centre_size() + elsewhere, self._nodes_in_update())

    def _nodes_in_update(self) -> int:
        """Return the size in the last fleet update, or 0 if too old.

        Otherwise members whose coordinators all fail would take the few nodes they know for the
        fleet, admit from full quotas and take the duties.
        """
        age = self.update_age_ms()
        return (
            self.fleet_update.nodes
            if self.fleet_update is not None and age is not None and age <= RETENTION_MS
            else 0
        )

    def has_full_view(self) -> bool:
        """Return whether this node receives all nodes' state; in a large fleet coordinators do."""
        if self.role is tiers.Role.FLAT:
            return self.estimated_size() <= tiers.FLAT_FLEET
        return self.role is tiers.Role.COORDINATOR

    def centre_size(self) -> int:
        """Return the own data centre's number of nodes, this one included."""
        return 1 + len([one for one in self.neighbours() if not self._left(one)])

    def reporting_nodes(self) -> int:
        """Return how many nodes report to a coordinator of the own data centre."""
        if self.role is tiers.Role.MEMBER and self.fleet_update is not None:
            return self.fleet_update.centre_nodes
        return self.centre_size()

    def neighbours(self) -> list[peer_node.Peer]:
        """Return the own data centre's peers."""
        return [one for one in self.peers.values() if one.data_centre == self.data_centre]

    def direct_peers(self) -> list[peer_node.Peer]:
        """Return peers that no summary covers."""
        if self.role is not tiers.Role.COORDINATOR:
            return list(self.peers.values())
        return [one for one in self.peers.values() if one.data_centre not in self.centres]

    def _left(self, peer: peer_node.Peer) -> bool:
        return peer.leaving and not self.is_alive(peer)

    def reachable_fraction(self) -> float:
        """Return the fraction of the fleet that is alive, this node included.

        For members and other data centres it is as coordinators report.
        """
        return self._fraction_within(self.alive_timeout_ms())

    def fresh_fraction(self) -> float:
        """Return the fraction of the fleet that counts for quotas."""
        return self._fraction_within(self._fresh_ms())

    def is_fresh(self, peer: peer_node.Peer) -> bool:
        """Return whether a peer is fresh enough for quotas."""
        return self._is_seen_within(peer, self._fresh_ms())

    def _fresh_ms(self) -> float:
        fresh_ms = max(MIN_FRESH_MS, FRESH_INTERVALS * self.interval_ms)
        return min(self.alive_timeout_ms(), fresh_ms)

    def _fraction_within(self, limit_ms: float) -> float:
        """Return the reachable fraction of the fleet, with peers seen within a limit."""
        size = self.size()
        if self.role is tiers.Role.MEMBER:
            age = self.update_age_ms()
            fresh = age is not None and age <= TRUSTED_UPDATE_MS
            return self.fleet_update.fraction if self.fleet_update and fresh else 1.0 / size
        summarized = self.live_centres() if self.role is tiers.Role.COORDINATOR else {}
        reachable = 1
        for one in self.peers.values():
            if one.data_centre in summarized:
                continue
            if self._is_seen_within(one, limit_ms):
                reachable += 1
            elif one.leaving and self.is_alive(one):
                # A draining node admits nothing, so no share is kept for it.
                size -= 1
        oldest = self.clock.now() - self._fresh_summary_ms()
        reachable += sum(
            one.reachable_nodes for one in summarized.values() if one.received_ms >= oldest
        )
        return min(1.0, reachable / max(size, reachable))

    def _fresh_summary_ms(self) -> float:
        """Return the maximum age of summaries for quotas."""
        rarer_ms = SUMMARIES_MISSED * SUMMARY_MS_EACH * len(self.centres)
        return min(self.alive_timeout_ms(), max(FRESH_SUMMARY_MS, rarer_ms))

    def live_centres(self) -> dict[str, tiers.CentreView]:
        """Return other data centres with a live coordinator."""
        now, limit = self.clock.now(), self.alive_timeout_ms()
        return {name: one for name, one in self.centres.items() if now - one.received_ms <= limit}

    def reachable_centres(self) -> set[str]:
        """Return data centres with a live coordinator or node.

        A coordinator's own is included; for others only if a peer in it is alive.
        """
        if self.role is tiers.Role.COORDINATOR:
            return {self.data_centre, *self.live_centres()}
        return {one.data_centre for one in self.peers.values() if self.is_alive(one)}

    def unreachable_centres(self) -> list[str]:
        """Return other data centres seen within RETENTION_MS and unreachable now."""
        since_ms = self.clock.now() - RETENTION_MS
        known = self.centres.keys() | self.reachable_centres()
        return [
            name
            for name, one in self.all_centres.centres.items()
            if one.since_ms >= since_ms and name not in known
        ]

    def digest(self) -> int:
        """Return a digest of reachable data centres, for comparison."""
        return known_centres.digest(self.reachable_centres())

    def update_age_ms(self) -> int | None:
        """Return the last fleet update's age, or None before the first."""
        return (
            self.clock.now() - self.fleet_update.received_ms
            if self.fleet_update is not None
            else None
        )

    def has_fresh_update(self) -> bool:
        """Return whether a fleet update arrived within the alive timeout."""
        age = self.update_age_ms()
        return age is not None and age <= self.alive_timeout_ms()

    def decide_role(self) -> tiers.Role:
        """Update this node's role."""
        more_senior = [one for one in self.assumed_seniors() if one.seniority < self.seniority()]
        age = self.update_age_ms()
        # When all coordinators fail, the next seniors take over; others wait one more timeout for
        # their first update before they act alone.
        waits = age is not None and age <= 2 * self.alive_timeout_ms()
        self.role = tiers.role_of(
            self.seniority(), self.estimated_size(), [one.seniority for one in more_senior], waits
        )
        return self.role

    def seniority(self) -> tiers.Seniority:
        """Return this node's seniority."""
        return tiers.Seniority(self.incarnation, self.node)

    def seniors(self) -> list[tiers.Senior]:
        """Return the own data centre's live nodes, most senior first, this one included.

        They are live peers and the last fleet update's seniors; without a fresh update, those lost
        recently are left out.
        """
        found = {
            one.name: tiers.Senior(one.seniority(), one.address)
            for one in self.neighbours()
            if self.is_alive(one) and not one.leaving
        }
        age = self.update_age_ms()
        if self.fleet_update is not None and age is not None and age <= 2 * self.alive_timeout_ms():
            for senior in self.fleet_update.seniors:
                is_lost = not self.has_fresh_update() and self._is_recently_lost(senior)
                if senior.seniority.name not in found and not is_lost:
                    found[senior.seniority.name] = senior
        found[self.node] = tiers.Senior(self.seniority(), self.address)
        return sorted(found.values(), key=lambda senior: senior.seniority)

    def note_reported_seniors(self, seniors: Iterable[tiers.Senior]) -> bool:
        """Record the own data centre's seniors as reported; return whether one was unknown."""
        known = {senior.seniority.name for senior in self.assumed_seniors()}
        now = self.clock.now()
        is_new = False
        for senior in seniors:
            self.reported_seniors[senior] = now
            is_new = is_new or (
                senior.seniority.name not in known and not self._is_recently_lost(senior)
            )
        return is_new

    def assumed_seniors(self) -> list[tiers.Senior]:
        """Return the seniors and those only reported, which are not forwarded."""
        now, limit = self.clock.now(), self.alive_timeout_ms()
        for senior in [senior for senior, at in self.reported_seniors.items() if now - at > limit]:
            del self.reported_seniors[senior]
        found = {senior.seniority.name: senior for senior in self.seniors()}
        for senior in self.reported_seniors:
            if senior.seniority.name not in found and not self._is_recently_lost(senior):
                found[senior.seniority.name] = senior
        return sorted(found.values(), key=lambda senior: senior.seniority)

    def _is_recently_lost(self, senior: tiers.Senior) -> bool:
        peer = self.peers.get(senior.seniority.name)
        if peer is None:
            return False
        if peer.leaving or peer.last_seen_ms is None:
            return peer.leaving
        unseen_ms = self.clock.now() - peer.last_seen_ms
        limit = self.alive_timeout_ms()
        return limit < unseen_ms <= tiers.RECENTLY_LOST_TIMEOUTS * limit

    def coordinators(self) -> list[tiers.Senior]:
        """Return the own data centre's other coordinators."""
        chosen = self.assumed_seniors()[: tiers.COORDINATORS]
        return [senior for senior in chosen if senior.seniority.name != self.node]

    def has_holder(self) -> bool:
        """Return whether another live node reports that it holds the duties."""
        if any(peer.token > 0 for peer in self.live()):
            return True
        return any(centre.token > 0 for centre in self.live_centres().values())

    def newest_token(self) -> int:
        """Return the highest fencing token reported by another node, alive or not."""
        peers = [peer.token for peer in self.peers.values()]
        return max([0, *peers, *(centre.token for centre in self.centres.values())])

    def is_most_senior_candidate(self) -> bool:
        """Return whether this node is the most senior live candidate for the duties.

        In a large fleet only coordinators can be, since only they receive all nodes' state.
        """
        if not self.has_full_view():
            return False
        mine = self.seniority()
        summarized = self.live_centres() if self.role is tiers.Role.COORDINATOR else {}
        others = [
            peer.seniority()
            for peer in self.live()
            if peer.candidate and peer.data_centre not in summarized
        ]
        others += [
            centre.candidate for centre in summarized.values() if centre.candidate is not None
        ]
        return all(mine < other for other in others)

    def followers(self, reaches_store: bool) -> list[str]:
        """Return the nodes of the own data centre that should follow the store.

        Args:
          reaches_store: whether this node does.
        """
        live = [
            (one.seniority(), self._follows_store(one))
            for one in self.neighbours()
            if self.is_alive(one)
        ]
        by_seniority = sorted([*live, (self.seniority(), reaches_store)])
        wanted = store_followers.per_centre(len(self.reachable_centres() | {self.data_centre}))
        return store_followers.choose(
            [(seniority.name, reaches) for seniority, reaches in by_seniority], wanted
        )

    def shares_following(self) -> bool:
        """Return whether only some nodes follow the store and gossip its changes."""
        return self.size() > SMALL_FLEET

    def watches_store(self, data_centre: str) -> bool:
        """Return whether this node follows the store itself.

        Nodes that can't reach the store are replaced by others.
        """
        if not self.shares_following():
            return True
        if (
            self.role is tiers.Role.MEMBER
            and self.fleet_update is not None
            and self.has_fresh_update()
            and self.fleet_update.store_era >= self.store_era
        ):
            return self.node in self.fleet_update.followers
        more_senior = [
            peer
            for peer in self.live()
            if peer.data_centre == data_centre
            and self._follows_store(peer)
            and peer.seniority() < self.seniority()
        ]
        return len(more_senior) < store_followers.per_centre(
            len(self.reachable_centres() | {data_centre})
        )

    def _follows_store(self, peer: peer_node.Peer) -> bool:
        """Return whether this node learns of the store's changes from a peer.

        It doesn't from builds that report no era: their revisions can't be compared.
        """
        return peer.reaches_store and peer.store_era >= self.store_era

    def addresses(self) -> Iterable[str]:
        """Return the recipients of heartbeats."""
        return [peer.address for peer in self.peers.values()]
