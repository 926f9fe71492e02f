"""Composes heartbeats: most hold what changed recently, some hold everything."""

import collections
import dataclasses
from collections.abc import Mapping

import msgspec

from plumarch.core import build
from plumarch.fleet import usage
from plumarch.gateway import fleet_state
from plumarch.gateway.gossip import load_reports, seniors, speed_reports, version_reports
from plumarch.membership import fleet_view, tiers
from plumarch.peers import gossip, recent_changes

PEERS_INTERVAL = 8
"""Heartbeats from one with known peers and the build to the next."""

MAX_PEERS = 8
USAGE_INTERVAL = 2
"""Heartbeats from one with usage to the next, never one with peers."""

SPEEDS_INTERVAL = 4
"""Heartbeats from one with engine speeds to the next."""

USAGE_WINDOWS = 3
USAGE_RETENTION_MS = 3_000
"""How long after its end a usage window is in all heartbeats with usage; then in full ones only."""

FULL_INTERVAL = 16
"""Heartbeats from one full one to the next; the others hold recent changes only."""

FULL_HEARTBEATS = 3
"""Full heartbeats in a row once a node becomes reachable."""

MAX_LOADS = 12
"""Endpoint loads in one heartbeat, heaviest first."""


@dataclasses.dataclass(slots=True)
class DutyStatus:
    """The state of the duties on a node.

    Attributes:
      token: the fencing token under which it holds them, or 0.
      candidate: whether it could take them over now.
      reported: the newest usage window that was reported.
    """

    token: int = 0
    candidate: bool = True
    reported: int = 0


@dataclasses.dataclass(slots=True)
class HeartbeatComposer:
    """Composes the heartbeats of one node.

    Attributes:
      heartbeat_count: heartbeats composed so far.
      full_heartbeats: how many of the next ones are full.
    """

    state: fleet_state.FleetState
    view: fleet_view.FleetView
    duty: DutyStatus
    heartbeat_count: int = 0
    sequence: int = 0
    full_heartbeats: int = FULL_HEARTBEATS
    spending_changes: recent_changes.RecentChanges[float] = dataclasses.field(
        default_factory=recent_changes.RecentChanges
    )

    def schedule_full(self) -> None:
        """Make the next heartbeats full, for a node that just became reachable."""
        self.full_heartbeats = FULL_HEARTBEATS

    def next(self, leaving: bool, counted: Mapping[str, float] | None = None) -> gossip.Heartbeat:
        """Return the next heartbeat.

        Args:
          leaving: whether this process is shutting down.
          counted: this node's own spending that its coordinators are known to have counted, by
            workspace; None in a small fleet.
        """
        state = self.state
        full = self.full_heartbeats > 0 or self.heartbeat_count % FULL_INTERVAL == 0
        report = state.quota.report()
        changed = self.spending_changes.select(
            {name: bucket.spent for name, bucket in report.items()}
        )
        spending = [
            gossip.Spending(
                name,
                round(bucket.spent),
                round(bucket.level),
                bucket.settled,
                round(
                    bucket.spent if counted is None else min(bucket.spent, counted.get(name, 0.0))
                ),
                round(bucket.overdrawn),
            )
            for name, bucket in report.items()
            if full or name in changed
        ]
        with_peers = self.heartbeat_count % PEERS_INTERVAL == 0
        with_usage = full or self.heartbeat_count % USAGE_INTERVAL == 1
        with_speeds = self.heartbeat_count % SPEEDS_INTERVAL == 2
        self.heartbeat_count += 1
        self.sequence += 1
        self.full_heartbeats = max(0, self.full_heartbeats - 1)
        return msgspec.structs.replace(
            self._without_figures(leaving, self.view.role is tiers.Role.FLAT),
            spending=spending,
            loads=load_reports.heaviest(state.chooser.own, MAX_LOADS),
            usage=self._usage(full) if with_usage else [],
            peers=self._known_peers() if with_peers else [],
            build=build.NAME if with_peers else "",
            sequence=self.sequence,
            speeds=speed_reports.to_messages(state) if with_speeds else [],
            versions=version_reports.shares_to_messages(state),
            answers=version_reports.answers_to_messages(state),
        )

    def discovery_answer(self, leaving: bool, data_centre: str) -> gossip.Heartbeat:
        """Return the answer to a node that is looking for its coordinators.

        It has no sequence, so that it is not answered in turn.

        Args:
          data_centre: the other node's.
        """
        answer = self._without_figures(leaving, with_seniors=True)
        return msgspec.structs.replace(
            answer, peers=self._seniors_of(data_centre), build=build.NAME
        )

    def discovery(self, leaving: bool) -> gossip.Heartbeat:
        """Return a heartbeat without figures; its receiver answers with whom to contact."""
        heartbeat = self._without_figures(leaving, with_seniors=True)
        return msgspec.structs.replace(heartbeat, sequence=max(1, self.sequence), build=build.NAME)

    def _seniors_of(self, data_centre: str) -> list[gossip.KnownPeer]:
        """Return the known seniors of a data centre, or else the own ones, who may know them."""
        view = self.view
        centre = view.centres.get(data_centre)
        found = list(centre.seniors) if centre is not None else []
        if not found:
            addresses = {
                one.seniority(): one.address
                for one in view.live()
                if one.data_centre == data_centre
            }
            found = [
                tiers.Senior(seniority, addresses[seniority])
                for seniority in sorted(addresses)[: tiers.SENIORS]
            ]
        return [
            gossip.KnownPeer(one.seniority.name, one.address)
            for one in found or view.seniors()[: tiers.SENIORS]
        ]

    def _without_figures(self, leaving: bool, with_seniors: bool) -> gossip.Heartbeat:
        state = self.state
        return gossip.Heartbeat(
            node=self.view.node,
            incarnation=self.view.incarnation,
            address=self.view.address,
            data_centre=state.data_centre,
            leaving=leaving,
            configuration=state.configuration_version(),
            registry_revision=state.registry.changed_revision,
            token=self.duty.token,
            candidate=self.duty.candidate,
            reported=self.duty.reported,
            reaches_store=state.reaches_store,
            seniors=self._seniors() if with_seniors else [],
            nodes=self.view.counted_size(),
        )

    def _seniors(self) -> list[gossip.NodeIdentity]:
        """Return the seniors of the own data centre, in a large fleet."""
        if self.view.size() <= tiers.FLAT_FLEET:
            return []
        return seniors.announced(self.view)

    def _usage(self, full: bool) -> list[gossip.WindowUsage]:
        counter = self.state.usage
        now = self.state.wall.now()
        recent = counter.recent(now, window_count(counter, now, full))
        return [gossip.WindowUsage(number, counts) for number, counts in recent.items()]

    def _known_peers(self) -> list[gossip.KnownPeer]:
        """Return a sample of the peers, and all likely coordinators of each data centre."""
        live = sorted(self.view.live(), key=lambda peer: peer.seniority())
        if len(live) <= MAX_PEERS:
            chosen = live
        else:
            seen: collections.Counter[str] = collections.Counter()
            chosen = self.state.rng.sample(live, MAX_PEERS)
            for peer in live:
                seen[peer.data_centre] += 1
                if seen[peer.data_centre] <= tiers.COORDINATORS and peer not in chosen:
                    chosen.append(peer)
        return [gossip.KnownPeer(peer.name, peer.address) for peer in chosen]


def usage_only(heartbeat: gossip.Heartbeat) -> gossip.Heartbeat:
    """Return a coordinator's heartbeat for its likely successors; they do not answer.

    It preserves the usage that only the coordinators counted, should all of them die at once.
    """
    return msgspec.structs.replace(
        heartbeat, spending=[], loads=[], peers=[], sequence=0, speeds=[], versions=[], answers=[]
    )


def window_count(counter: usage.UsageCounter, wall_ms: int, full: bool) -> int:
    """Return how many usage windows are sent, newest first."""
    if full:
        return USAGE_WINDOWS
    return 1 + (wall_ms % counter.window_ms < USAGE_RETENTION_MS)
