"""Composes full heartbeats and those with recent changes."""

import collections
import dataclasses
from collections.abc import Mapping

import msgspec

from plumarch.core import build
from plumarch.fleet import usage
from plumarch.gateway import fleet_state
from plumarch.gateway.gossip import (
    fragility_reports,
    load_reports,
    seniors,
    speed_reports,
    version_reports,
)
from plumarch.membership import fleet_view, tiers
from plumarch.peers import gossip, recent_changes

PEERS_INTERVAL = 8
"""Interval of known peers and the build, in heartbeats."""

MAX_PEERS = 8
USAGE_INTERVAL = 2
"""Interval of usage, in heartbeats; never one with peers."""

SPEEDS_INTERVAL = 4
"""Interval of engine speeds, in heartbeats."""

USAGE_WINDOWS = 3
USAGE_RETENTION_MS = 3_000
"""How long an ended usage window is in all heartbeats with usage; then in full ones only."""

FULL_INTERVAL = 16
"""Interval of full ones, in heartbeats; the others hold recent changes only."""

FULL_HEARTBEATS = 3
"""Full heartbeats in a row once a node becomes reachable."""

MAX_LOADS = 12
"""Endpoint loads in one heartbeat, heaviest first."""


@dataclasses.dataclass(slots=True)
class DutyStatus:
    """The duties' state on a node.

    Attributes:
      token: their fencing token, or 0 if not held here.
      candidate: whether it could take them over.
      reported: the newest reported usage window.
    """

    token: int = 0
    candidate: bool = True
    reported: int = 0


@dataclasses.dataclass(slots=True)
class HeartbeatComposer:
    """Composes one node's heartbeats.

    Attributes:
      full_heartbeats: how many of the next are full.
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
        """Make the next heartbeats full, for a newly reachable node."""
        self.full_heartbeats = FULL_HEARTBEATS

    def next(self, leaving: bool, counted: Mapping[str, float] | None = None) -> gossip.Heartbeat:
        """Return the next heartbeat.

        Args:
          counted: own spending that coordinators counted, by workspace; None in a small fleet.
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
        """Answer a node that looks for its coordinators.

        Without a sequence, so that it is not answered in turn.

        Args:
          data_centre: the other node's.
        """
        answer = self._without_figures(leaving, with_seniors=True)
        return msgspec.structs.replace(
            answer, peers=self._seniors_of(data_centre), build=build.NAME
        )

    def discovery(self, leaving: bool) -> gossip.Heartbeat:
        """Return a heartbeat without figures, answered with whom to contact."""
        heartbeat = self._without_figures(leaving, with_seniors=True)
        return msgspec.structs.replace(heartbeat, sequence=max(1, self.sequence), build=build.NAME)

    def _seniors_of(self, data_centre: str) -> list[gossip.KnownPeer]:
        """Return a data centre's known seniors, or else the own ones, who may know them."""
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
            registry_revision=state.registry.sent_number(state.registry.changed_revision),
            token=self.duty.token,
            candidate=self.duty.candidate,
            reported=self.duty.reported,
            reaches_store=state.reaches_store,
            seniors=self._seniors() if with_seniors else [],
            nodes=self.view.counted_size(),
            opens_tunnels=not leaving and not state.paths.is_cut_off(),
            fragile=fragility_reports.to_messages(state),
            newest_tag=gossip.NEWEST_TAG,
            store_era=state.registry.sent_era(),
            renumbered=state.registry.renumbered,
        )

    def _seniors(self) -> list[gossip.NodeIdentity]:
        """Return the own data centre's seniors in a large fleet."""
        if self.view.size() <= tiers.FLAT_FLEET:
            return []
        return seniors.announced(self.view)

    def _usage(self, full: bool) -> list[gossip.WindowUsage]:
        counter = self.state.usage
        now = self.state.wall.now()
        recent = counter.recent(now, window_count(counter, now, full))
        return [gossip.WindowUsage(number, counts) for number, counts in recent.items()]

    def _known_peers(self) -> list[gossip.KnownPeer]:
        """Return sample peers and each data centre's likely coordinators."""
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
    """Return a coordinator's heartbeat for its likely successors, which do not answer.

    It preserves usage that only coordinators counted, should all die at once.
    """
    return msgspec.structs.replace(
        heartbeat, spending=[], loads=[], peers=[], sequence=0, speeds=[], versions=[], answers=[]
    )


def window_count(counter: usage.UsageCounter, wall_ms: int, full: bool) -> int:
    """Return the number of usage windows to send, newest first."""
    if full:
        return USAGE_WINDOWS
    return 1 + (wall_ms % counter.window_ms < USAGE_RETENTION_MS)
