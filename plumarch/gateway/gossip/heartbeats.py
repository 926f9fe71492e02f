"""What a node's heartbeats tell: what changed lately in most of them, all in some."""

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
"""Every how many heartbeats the known peers are told, and the build."""

MAX_PEERS = 8
USAGE_INTERVAL = 2
"""Every how many heartbeats usage is told; never in the same ones as the peers."""

SPEEDS_INTERVAL = 4
"""Every how many heartbeats it is told what was learned of engines' speed."""

USAGE_WINDOWS = 3
USAGE_RETENTION_MS = 3_000
"""How long a usage window is told in each of those after its end; later in whole ones only."""

FULL_INTERVAL = 16
"""Every how many heartbeats all figures are told, not just those that changed lately."""

FULL_HEARTBEATS = 3
"""How many whole heartbeats are sent once a node is heard for the first time, or again."""

MAX_LOADS = 12
"""Endpoints whose load a heartbeat tells, the heaviest first."""


@dataclasses.dataclass(slots=True)
class DutyStatus:
    """What a node tells of the duties.

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
      beats: heartbeats composed so far.
      full_heartbeats: how many of the next ones tell all figures.
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
        """Make the next heartbeats whole, for a node that was not heard before."""
        self.full_heartbeats = FULL_HEARTBEATS

    def next(self, leaving: bool, counted: Mapping[str, float] | None = None) -> gossip.Heartbeat:
        """Return the heartbeat to send now.

        Args:
          leaving: whether this process is about to end.
          counted: the part of this node's spending that its coordinators are known to have counted,
            by workspace; None where each node hears each other one.
        """
        state = self.state
        whole = self.full_heartbeats > 0 or self.heartbeat_count % FULL_INTERVAL == 0
        report = state.quota.report()
        changed = self.spending_changes.select({name: told.spent for name, told in report.items()})
        spending = [
            gossip.Spending(
                name,
                round(told.spent),
                round(told.level),
                told.settled,
                round(told.spent if counted is None else min(told.spent, counted.get(name, 0.0))),
                round(told.overdrawn),
            )
            for name, told in report.items()
            if whole or name in changed
        ]
        tell_peers = self.heartbeat_count % PEERS_INTERVAL == 0
        tell_usage = whole or self.heartbeat_count % USAGE_INTERVAL == 1
        tell_speeds = self.heartbeat_count % SPEEDS_INTERVAL == 2
        self.heartbeat_count += 1
        self.sequence += 1
        self.full_heartbeats = max(0, self.full_heartbeats - 1)
        return msgspec.structs.replace(
            self._without_figures(leaving, self.view.role is tiers.Role.FLAT),
            spending=spending,
            loads=load_reports.heaviest(state.chooser.own, MAX_LOADS),
            usage=self._usage(whole) if tell_usage else [],
            peers=self._known_peers() if tell_peers else [],
            build=build.NAME if tell_peers else "",
            sequence=self.sequence,
            speeds=speed_reports.to_messages(state) if tell_speeds else [],
            versions=version_reports.shares_to_messages(state),
            answers=version_reports.answers_to_messages(state),
        )

    def discovery_answer(self, leaving: bool, data_centre: str) -> gossip.Heartbeat:
        """Return a heartbeat without figures that answers a node which looks for its coordinators.

        It has no sequence, so that it is not answered in turn.

        Args:
          data_centre: the other node's.
        """
        discovery_answer = self._without_figures(leaving, with_seniors=True)
        return msgspec.structs.replace(
            discovery_answer, peers=self._seniors_of(data_centre), build=build.NAME
        )

    def discovery(self, leaving: bool) -> gossip.Heartbeat:
        """Return a heartbeat without figures that is answered with whom its sender should ask."""
        discovery = self._without_figures(leaving, with_seniors=True)
        return msgspec.structs.replace(discovery, sequence=max(1, self.sequence), build=build.NAME)

    def _seniors_of(self, data_centre: str) -> list[gossip.KnownPeer]:
        """Return the oldest known nodes of a data centre, or else those who may know them."""
        view = self.view
        centre = view.centres.get(data_centre)
        found = list(centre.seniors) if centre is not None else []
        if not found:
            ages = {
                one.seniority(): one.address
                for one in view.live()
                if one.data_centre == data_centre
            }
            found = [
                tiers.Senior(seniority, ages[seniority])
                for seniority in sorted(ages)[: tiers.SENIORS]
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
        """Return the oldest live nodes of the own data centre, where the fleet is a large one."""
        if self.view.size() <= tiers.FLAT_FLEET:
            return []
        return seniors.announced(self.view)

    def _usage(self, whole: bool) -> list[gossip.WindowUsage]:
        counter = self.state.usage
        now = self.state.wall.now()
        recent = counter.recent(now, window_count(counter, now, whole))
        return [gossip.WindowUsage(number, counts) for number, counts in recent.items()]

    def _known_peers(self) -> list[gossip.KnownPeer]:
        """Return some of the peers, and of each data centre those that may coordinate it."""
        heard = sorted(self.view.live(), key=lambda peer: peer.seniority())
        if len(heard) <= MAX_PEERS:
            chosen = heard
        else:
            seen: collections.Counter[str] = collections.Counter()
            chosen = self.state.rng.sample(heard, MAX_PEERS)
            for peer in heard:
                seen[peer.data_centre] += 1
                if seen[peer.data_centre] <= tiers.COORDINATORS and peer not in chosen:
                    chosen.append(peer)
        return [gossip.KnownPeer(peer.name, peer.address) for peer in chosen]


def usage_only(beat: gossip.Heartbeat) -> gossip.Heartbeat:
    """Return what a coordinator tells those that would follow it; they don't answer.

    Only coordinators hear what each node counted. Where all of a data centre die at once, what
    they had counted themselves would be lost with them.
    """
    return msgspec.structs.replace(
        beat, spending=[], loads=[], peers=[], sequence=0, speeds=[], versions=[], answers=[]
    )


def window_count(counter: usage.UsageCounter, wall_ms: int, whole: bool) -> int:
    """Return how many usage windows are told, the newest first."""
    if whole:
        return USAGE_WINDOWS
    return 1 + (wall_ms % counter.window_ms < USAGE_RETENTION_MS)
