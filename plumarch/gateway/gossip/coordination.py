"""Aggregates figures for summaries and fleet updates."""

import collections
import dataclasses

from plumarch.gateway import fleet_state
from plumarch.gateway.gossip import (
    fragility_reports,
    heartbeats,
    load_reports,
    seniors,
    speed_reports,
    spending_ledger,
    version_reports,
)
from plumarch.limits import centre_spending, quota_records
from plumarch.membership import fleet_view, peer_node, tiers, tunnel_nodes
from plumarch.peers import gossip, recent_changes
from plumarch.routing import endpoint_choice

FULL_INTERVAL = 16
"""Interval of full messages, in rounds; the others hold recent changes only."""

FULL_SUMMARIES = 3
"""Full summaries in a row once a data centre becomes reachable."""

RESYNC_MS = 1_000
"""How long lower bucket levels are adopted from a data centre that became reachable.

By then coordinators have exchanged what was admitted meanwhile. A new one does not know what its
predecessor had received.
"""

USAGE_INTERVAL = 4
"""Interval of usage in summaries, in rounds."""

TUNNEL_NODES_INTERVAL = 8
"""Interval of nodes that open tunnels, in summaries and in rounds."""

MAX_LOADS = 60
"""Endpoint loads in one datagram, heaviest first."""

CENTRE = "centre "
"""Prefix of a data centre's name among those of nodes."""


@dataclasses.dataclass(slots=True)
class Coordination:
    """A coordinator's aggregates.

    Attributes:
      ledger: the node that began the count of what the own data centre admitted.
      spent: units that the own data centre admitted, by workspace.
      own_counted: this node's own spending that `spent` includes.
      acknowledged: last heartbeat or notice sequence, by node.
      newest: incarnation and sequence of the last summary, by coordinator elsewhere.
      resync_until_ms: until when lower levels are adopted, by data centre.
      full_summaries: how many of the next summaries are full.
      full_due: whether the next fleet update is full, for a newly reachable member.
    """

    state: fleet_state.FleetState
    view: fleet_view.FleetView
    duty: heartbeats.DutyStatus
    elsewhere: centre_spending.CentreSpending
    ledger: tiers.Seniority = dataclasses.field(init=False)
    spent: collections.defaultdict[str, float] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(float)
    )
    own_counted: dict[str, float] = dataclasses.field(default_factory=dict)
    acknowledged: dict[str, int] = dataclasses.field(default_factory=dict)
    rounds: int = 0
    summaries: int = 0
    newest: dict[str, tuple[int, int]] = dataclasses.field(default_factory=dict)
    resync_until_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    full_summaries: int = 0
    full_due: bool = True
    spending_changes: recent_changes.RecentChanges[float] = dataclasses.field(
        default_factory=recent_changes.RecentChanges
    )
    level_changes: recent_changes.RecentChanges[float] = dataclasses.field(
        default_factory=recent_changes.RecentChanges
    )
    load_changes: recent_changes.RecentChanges[endpoint_choice.Load] = dataclasses.field(
        default_factory=recent_changes.RecentChanges
    )
    last_fraction: float = 0.0

    def __post_init__(self) -> None:
        self.ledger = self.view.seniority()

    # Other data centres.

    def handle_summary(self, summary: gossip.CentreSummary) -> bool:
        """Apply another data centre's summary; return False if dropped as duplicate or stale."""
        newest = self.newest.get(summary.node, (0, 0))
        if summary.sequence and (summary.incarnation, summary.sequence) <= newest:
            return False
        self.newest[summary.node] = (summary.incarnation, summary.sequence)
        candidates = seniors.from_messages(summary.candidate)
        now = self.state.clock.now()
        if summary.data_centre not in self.view.live_centres():
            # Only full summaries hold usage windows that ended while it was unreachable.
            self.full_summaries = FULL_SUMMARIES
            self.resync_until_ms[summary.data_centre] = now + RESYNC_MS
        self.view.all_centres.mark_seen(
            summary.data_centre, seniors.from_messages(summary.seniors), now
        )
        self.view.centres[summary.data_centre] = tiers.CentreView(
            nodes=summary.nodes,
            reachable_nodes=summary.reachable_nodes,
            seniors=seniors.from_messages(summary.seniors),
            token=summary.token,
            candidate=candidates[0].seniority if candidates else None,
            reported=summary.reported,
            usage_age_ms=summary.usage_age_ms,
            received_ms=now,
            usage_reported_ms=self._usage_reported_ms(summary, now - summary.usage_age_ms),
            senior_received_ms=now
            if _is_from_senior(summary)
            else self._senior_summary_ms(summary.data_centre),
        )
        self.duty.reported = max(self.duty.reported, summary.reported)
        self._charge(summary, now < self.resync_until_ms[summary.data_centre])
        loads = load_reports.from_messages(summary.loads, self.state.registry.by_name)
        self.state.chooser.report_loads(CENTRE + summary.data_centre, loads)
        speed_reports.apply(self.state, CENTRE + summary.data_centre, summary.speeds)
        if self.state.tunnel_peers is not None:
            nodes = tunnel_nodes_from(summary.tunnel_nodes)
            self.state.tunnel_peers.apply_report(summary.data_centre, nodes)
        fragility_reports.apply(self.state, summary.fragile, summary.node)
        version_reports.apply_shares(self.state, summary.versions)
        version_reports.apply_answers(self.state, CENTRE + summary.data_centre, summary.answers)
        if summary.usage:
            counts = {one.window: one.counts for one in summary.usage}
            self.state.usage.apply_centre_summary(CENTRE + summary.data_centre, counts)
        return True

    def _senior_summary_ms(self, data_centre: str) -> int:
        """Return when a data centre's senior coordinator last sent a summary, or 0."""
        before = self.view.centres.get(data_centre)
        return before.senior_received_ms if before is not None else 0

    def _usage_reported_ms(self, summary: gossip.CentreSummary, as_of_ms: int) -> dict[int, int]:
        """Return the report time of a data centre's newest usage windows, by window."""
        before = self.view.centres.get(summary.data_centre)
        known = dict(before.usage_reported_ms) if before is not None else {}
        for one in summary.usage:
            known[one.window] = max(as_of_ms, known.get(one.window, as_of_ms))
        newest = sorted(known)[-heartbeats.USAGE_WINDOWS :]
        return {window: known[window] for window in newest}

    def _charge(self, summary: gossip.CentreSummary, resync: bool) -> None:
        """Charge own buckets for another data centre's admissions.

        Args:
          resync: whether it became reachable, or this node coordinator, within RESYNC_MS.
        """
        sums = {one.workspace: one.spent for one in summary.spending}
        author = f"{summary.node}#{summary.incarnation}"
        charged = self.elsewhere.charge(
            summary.data_centre,
            author,
            sums,
            self.view.alive_timeout_ms(),
            _is_from_senior(summary),
            self._ledger_from(summary),
        )
        levels = {
            one.workspace: quota_records.PeerLevel(one.level, one.overdrawn)
            for one in summary.spending
            if one.settled
        }
        share = min(1.0, summary.nodes / max(1, self.view.size()))
        self.state.quota.apply_centre_summary(
            CENTRE + summary.data_centre, charged, levels, resync, share
        )

    def _ledger_from(self, summary: gossip.CentreSummary) -> centre_spending.Ledger:
        """Return the ledger of a coordinator elsewhere."""
        if not summary.ledger:
            return centre_spending.UNNAMED
        begun = tiers.Seniority(summary.ledger[0].incarnation, summary.ledger[0].name)
        name = f"{begun.name}#{begun.incarnation}"
        return centre_spending.Ledger(name, begun.incarnation > self.view.incarnation)

    # The ledger of the own data centre.

    def continue_ledger(self, ledger: spending_ledger.FollowedLedger) -> None:
        """Continue the ledger followed as a member, or begin one."""
        if ledger.begun_by is None:
            self.ledger = self.view.seniority()
        else:
            self.ledger = ledger.begun_by
        self.spent = collections.defaultdict(float, ledger.spent)
        self.own_counted = dict(ledger.counted)

    def followed(self) -> spending_ledger.FollowedLedger:
        """Return the ledger to follow as a member again."""
        self._count_own()
        return spending_ledger.FollowedLedger(self.ledger, dict(self.spent), dict(self.own_counted))

    def merge_ledger(self, ledger: spending_ledger.FollowedLedger) -> None:
        """Merge the ledger of a more senior coordinator of the own data centre.

        Both count the same nodes, so the larger sum is the more complete.
        """
        if ledger.begun_by is None:
            return
        self._count_own()
        if ledger.begun_by != self.ledger:
            self.ledger = ledger.begun_by
            self.spent = collections.defaultdict(float, ledger.spent)
            return
        for name, units in ledger.spent.items():
            self.spent[name] = max(self.spent[name], units)

    def _count_own(self) -> None:
        """Count own admissions."""
        for name, bucket in self.state.quota.buckets.items():
            self.spent[name] += bucket.spent - self.own_counted.get(name, 0.0)
            self.own_counted[name] = bucket.spent

    def summary(self) -> gossip.CentreSummary:
        """Return the summary for other data centres."""
        view, state = self.view, self.state
        neighbours = [one for one in view.neighbours() if view.is_alive(one)]
        full = self.full_summaries > 0 or self.summaries % FULL_INTERVAL == 0
        self.full_summaries = max(0, self.full_summaries - 1)
        with_usage = full or self.summaries % USAGE_INTERVAL == 1
        self.summaries += 1
        tokens = [one.token for one in neighbours if not one.leaving]
        return gossip.CentreSummary(
            node=view.node,
            incarnation=view.incarnation,
            address=view.address,
            data_centre=state.data_centre,
            configuration=state.configuration_version(),
            registry_revision=state.registry.sent_number(state.registry.changed_revision),
            nodes=view.centre_size(),
            reachable_nodes=1 + len(neighbours),
            seniors=seniors.announced(view),
            token=max([self.duty.token, *tokens]),
            candidate=self._candidate(neighbours),
            reported=self.duty.reported,
            usage_age_ms=self._usage_age_ms(),
            spending=self._spending(full),
            loads=self._centre_loads(),
            usage=self._usage(full) if with_usage else [],
            speeds=speed_reports.to_messages(state, self._is_own_centre) if with_usage else [],
            versions=version_reports.shares_to_messages(state),
            answers=version_reports.answers_to_messages(state, self._is_own_centre),
            centres_digest=view.digest(),
            sequence=self.summaries,
            ledger=[self._ledger_message()],
            tunnel_nodes=self._tunnel_nodes_in_summary(),
            fragile=fragility_reports.to_messages(state),
            newest_tag=gossip.NEWEST_TAG,
            store_era=state.registry.sent_era(),
            renumbered=state.registry.renumbered,
        )

    def _tunnel_nodes_in_summary(self) -> list[gossip.KnownPeer]:
        known = self.state.tunnel_peers
        if known is None or self.summaries % TUNNEL_NODES_INTERVAL:
            return []
        return _known_peers(known.in_own_centre(not self.state.paths.is_cut_off()))

    def _tunnel_nodes_in_update(self) -> list[gossip.KnownPeer]:
        known = self.state.tunnel_peers
        if known is None or self.rounds % TUNNEL_NODES_INTERVAL:
            return []
        return _known_peers(known.for_members(not self.state.paths.is_cut_off()))

    def _ledger_message(self) -> gossip.NodeIdentity:
        return gossip.NodeIdentity(self.ledger.name, self.ledger.incarnation, "")

    def _candidate(self, neighbours: list[peer_node.Peer]) -> list[gossip.NodeIdentity]:
        found = [one.seniority() for one in neighbours if one.candidate and not one.leaving]
        if self.duty.candidate:
            found.append(self.view.seniority())
        return [
            gossip.NodeIdentity(seniority.name, seniority.incarnation, "")
            for seniority in sorted(found)[:1]
        ]

    def _usage_age_ms(self) -> int:
        """Return the time since the own data centre's least recent heartbeat."""
        now = self.state.clock.now()
        last_seen = [one.last_seen_ms for one in self.view.neighbours() if one.incarnation]
        return max((now - at for at in last_seen if at is not None), default=0)

    def _spending(self, full: bool) -> list[gossip.CentreSpending]:
        report = self.state.quota.report()
        self._count_own()
        sums = {name: self.spent[name] for name in report}
        changed = self.spending_changes.select(sums)
        return [
            gossip.CentreSpending(
                name,
                round(sums[name]),
                round(bucket.level),
                bucket.settled,
                round(bucket.overdrawn),
            )
            for name, bucket in report.items()
            if full or name in changed
        ]

    def _centre_loads(self) -> list[gossip.EndpointLoad]:
        """Return the own data centre's endpoint loads, heaviest first."""
        chooser = self.state.chooser
        sums: dict[str, endpoint_choice.Load] = {}
        sources = [
            loads for name, loads in chooser.reported_loads.items() if self._is_own_centre(name)
        ]
        for loads in [chooser.own, *sources]:
            for endpoint, load in loads.items():
                total = sums.setdefault(endpoint, endpoint_choice.Load())
                total.running += load.running
                total.prompt_tokens += load.prompt_tokens
        return load_reports.heaviest(sums, MAX_LOADS)

    def _is_own_centre(self, source: str) -> bool:
        """Return whether a source's figures belong to the own data centre.

        Until roles are settled, nodes of other data centres report individually.

        Args:
          source: a node, with or without incarnation, or a data centre.
        """
        if source.startswith(CENTRE):
            return False
        peer = self.view.peers.get(source.partition("#")[0])
        return peer is None or peer.data_centre == self.state.data_centre

    def _usage(self, full: bool) -> list[gossip.WindowUsage]:
        usage, now = self.state.usage, self.state.wall.now()
        windows = heartbeats.window_count(usage, now, full)
        newest = usage.window_at(now)
        return [
            gossip.WindowUsage(number, usage.total(number, self._is_own_centre))
            for number in range(newest - windows + 1, newest + 1)
        ]

    # The own data centre.

    def count_reported(self, node: str, sequence: int, charged: dict[str, float]) -> None:
        """Count what a node of the own data centre reported as admitted.

        Args:
          sequence: of its heartbeat or notice; a late one does not replace a newer one.
        """
        for name, units in charged.items():
            self.spent[name] += units
        self.acknowledged[node] = max(sequence, self.acknowledged.get(node, 0))

    def fleet_update(self) -> gossip.FleetUpdate:
        """Return the update for the own data centre's members."""
        state, quota, view = self.state, self.state.quota, self.view
        fraction = view.fresh_fraction()
        full = self.rounds % FULL_INTERVAL == 0 or self.full_due or fraction != self.last_fraction
        self.full_due = False
        self.last_fraction = fraction
        self.rounds += 1
        quota.refill_all()
        self._count_own()
        charged = {name: bucket.charged for name, bucket in quota.buckets.items()}
        changed = self.level_changes.select(charged)
        levels = [
            gossip.ReportedLevel(
                name,
                round(bucket.level),
                round(bucket.share),
                bucket.settled,
                round(self.spent[name]),
            )
            for name, bucket in quota.buckets.items()
            if full or name in changed
        ]
        return gossip.FleetUpdate(
            node=view.node,
            incarnation=view.incarnation,
            address=view.address,
            data_centre=state.data_centre,
            configuration=state.configuration_version(),
            registry_revision=state.registry.sent_number(state.registry.changed_revision),
            nodes=view.size(),
            centre_nodes=view.centre_size(),
            fraction=fraction,
            seniors=seniors.announced(view),
            followers=view.followers(state.reaches_store),
            levels=levels,
            loads=self._fleet_loads(full),
            full=full,
            versions=version_reports.shares_to_messages(state),
            ledger=[self._ledger_message()],
            tunnel_nodes=self._tunnel_nodes_in_update(),
            fragile=fragility_reports.to_messages(state),
            newest_tag=gossip.NEWEST_TAG,
            store_era=state.registry.sent_era(),
            renumbered=state.registry.renumbered,
        )

    def _fleet_loads(self, full: bool) -> list[gossip.EndpointLoad]:
        """Return all endpoint loads; only recent changes unless full."""
        chooser = self.state.chooser
        loads = {name: chooser.load(name) for name in sorted({*chooser.own, *chooser.others})}
        before = self.load_changes.known.keys() - loads.keys()
        loads |= {name: endpoint_choice.NO_LOAD for name in before}
        changed = self.load_changes.select(loads)
        for name in [name for name in before if name not in changed]:
            del self.load_changes.known[name]
        chosen = {name: load for name, load in loads.items() if full or name in changed}
        return load_reports.heaviest(chosen, MAX_LOADS)

    def forget(self, node: str) -> None:
        """Drop a node's state."""
        self.acknowledged.pop(node, None)


def _is_from_senior(summary: gossip.CentreSummary) -> bool:
    """Return whether the author regards itself as its data centre's senior."""
    return bool(summary.seniors) and summary.seniors[0].name == summary.node


def _known_peers(nodes: list[tunnel_nodes.TunnelNode]) -> list[gossip.KnownPeer]:
    return [gossip.KnownPeer(one.name, one.address) for one in nodes]


def tunnel_nodes_from(reports: list[gossip.KnownPeer]) -> list[tunnel_nodes.TunnelNode]:
    """Return the nodes that open tunnels in a message."""
    return [tunnel_nodes.TunnelNode(one.name, one.address) for one in reports]
