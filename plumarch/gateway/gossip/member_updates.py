"""Applies fleet updates on a member of a large fleet."""

import collections
import dataclasses

from plumarch.gateway import fleet_state
from plumarch.gateway.gossip import coordination, load_reports, seniors, spending_ledger
from plumarch.limits import quota_records
from plumarch.membership import fleet_view, tiers, tunnel_nodes
from plumarch.peers import gossip
from plumarch.routing import endpoint_choice

FLEET = "fleet"
"""Source of all other nodes' loads."""

MAX_SENT_FIGURES = 64
"""Messages whose figures are kept for late acknowledgements."""

FRACTION_MARGIN = 0.05
"""A coordinator that reaches this much less of the fleet than the followed one is ignored.

It was frozen or cut off, or has just started; until the followed one's updates are stale.
"""

FRESH_MS = 350
"""How long after its last update a coordinator is followed."""


@dataclasses.dataclass(frozen=True, slots=True)
class SentFigures:
    """Own spending and endpoint loads when a message was sent."""

    sequence: int
    spent: dict[str, float]
    loads: dict[str, endpoint_choice.Load]


@dataclasses.dataclass(slots=True)
class MemberUpdates:
    """Combines fleet updates with own changes since.

    Attributes:
      sent_figures: earliest first.
      loads: all nodes' loads, by coordinator and endpoint.
      ledger: the coordinators' count of the data centre's admissions.
    """

    state: fleet_state.FleetState
    view: fleet_view.FleetView
    sent_figures: collections.deque[SentFigures] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SENT_FIGURES)
    )
    loads: dict[str, dict[str, endpoint_choice.Load]] = dataclasses.field(default_factory=dict)
    ledger: spending_ledger.FollowedLedger = dataclasses.field(
        default_factory=spending_ledger.FollowedLedger
    )

    def record_heartbeat(self, heartbeat: gossip.Heartbeat) -> None:
        """Record a heartbeat's figures."""
        spent = {name: bucket.spent for name, bucket in self.state.quota.buckets.items()}
        loads = load_reports.from_messages(heartbeat.loads, self.state.registry.by_name)
        self.sent_figures.append(SentFigures(heartbeat.sequence, spent, loads))

    def record_notice(self, notice: gossip.LoadNotice) -> None:
        """Add a notice's figures to those sent before."""
        before = self.sent_figures[-1] if self.sent_figures else SentFigures(0, {}, {})
        spent = {**before.spent, notice.workspace: notice.spent}
        load = load_reports.from_message(notice.load)
        loads = {**before.loads, notice.load.endpoint: load}
        self.sent_figures.append(SentFigures(notice.sequence, spent, loads))

    def apply_update(self, update: gossip.FleetUpdate) -> bool:
        """Apply an update if its author is the coordinator to follow; return whether it is."""
        author = tiers.Seniority(update.incarnation, update.node)
        now = self.state.clock.now()
        if not self._is_preferred(author, update.fraction, now):
            return False
        self.view.fleet_update = tiers.ReceivedFleetUpdate(
            author=author,
            nodes=update.nodes,
            centre_nodes=update.centre_nodes,
            fraction=update.fraction,
            seniors=seniors.from_messages(update.seniors),
            followers=tuple(update.followers),
            received_ms=now,
            store_era=update.store_era,
        )
        return True

    def _is_preferred(self, author: tiers.Seniority, fraction: float, now: int) -> bool:
        last = self.view.fleet_update
        if last is None or last.author == author or now - last.received_ms > FRESH_MS:
            return True
        if abs(fraction - last.fraction) > FRACTION_MARGIN:
            return fraction > last.fraction
        return author < last.author

    def adopt_figures(self, update: gossip.FleetUpdate, acknowledged: int) -> None:
        """Adopt an update's quota levels and endpoint loads.

        Args:
          acknowledged: sequence of this node's last heartbeat or notice that they include.
        """
        known = next((one for one in self.sent_figures if one.sequence == acknowledged), None)
        quota = self.state.quota
        self.ledger.apply_update(update)
        if self.state.tunnel_peers is not None:
            self.state.tunnel_peers.apply_report(
                tunnel_nodes.MEMBERS_LIST, coordination.tunnel_nodes_from(update.tunnel_nodes)
            )
        if known is not None:
            self.ledger.counted |= known.spent
        buckets = {}
        for one in update.levels:
            bucket = quota.buckets.get(one.workspace)
            unacknowledged = 0.0
            if bucket is not None and known is not None:
                unacknowledged = bucket.spent - known.spent.get(one.workspace, 0.0)
            buckets[one.workspace] = quota_records.ReportedBucket(
                one.level - unacknowledged, one.share - unacknowledged, one.settled
            )
        quota.apply_fleet_levels(buckets, update.fraction)
        self._adopt_loads(update, known.loads if known is not None else {})

    def _adopt_loads(
        self, update: gossip.FleetUpdate, mine: dict[str, endpoint_choice.Load]
    ) -> None:
        """Keep the reported loads less this node's own."""
        reported = load_reports.from_messages(update.loads, self.state.registry.by_name)
        known = self.loads.get(update.node)
        if known is None and not update.full:
            return
        loads = reported if update.full else {**(known or {}), **reported}
        self.loads = {update.node: loads}
        others = {}
        for endpoint, load in loads.items():
            own = mine.get(endpoint, endpoint_choice.NO_LOAD)
            running = max(0, load.running - own.running)
            tokens = max(0.0, load.prompt_tokens - own.prompt_tokens)
            if running or tokens:
                others[endpoint] = endpoint_choice.Load(running, tokens)
        self.state.chooser.report_loads(FLEET, others)
