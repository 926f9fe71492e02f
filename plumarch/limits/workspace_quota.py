"""Quotas of workspaces, enforced over all nodes without a write per request.

Every node keeps the same token bucket for each workspace and charges it with its own admissions and
those that peers report. While some nodes are unreachable, it admits only from the share of the
reachable ones, so that separated groups never exceed the quota together. A starting node has an
empty bucket, since it does not know what its predecessor spent, and takes over a settled peer's
level.
"""

import collections
import dataclasses
from collections.abc import Mapping

from plumarch.core import clock, traffic
from plumarch.limits import quota_records, quota_tolerance

SETTLED_MS = 8_000
"""Process age from which a new workspace starts with a full bucket."""

AMPLE_FRACTION = 0.15
"""Fraction of the capacity below which a node also needs its own share of the refill; otherwise all
nodes would admit from the same few units before they hear of one another. A higher one refuses
callers within their quota after a partition."""

OWN_SHARE_MS = 500
"""Time for which a node accumulates its share of the refill, or may be overdrawn while there is
ample."""

LEAST_URGENT_RANK = 2
"""Rank from which requests leave what a bucket holds beyond the burst to more urgent ones."""

RESERVED_BURST_FRACTION = 0.35
"""Upper bound of what they leave, as a fraction of the burst."""

RESYNC_MS = 1_000
"""Time for which lower levels are taken over after a new peer's first report: a process that
started during a partition learns in no other way what the other side admitted."""

LAST_SEEN_WINDOW_MS = 900
"""Maximum time since an unreachable node's last heartbeat."""


@dataclasses.dataclass(slots=True)
class WorkspaceQuota:
    """The buckets of all workspaces.

    Attributes:
      fraction: the reachable fraction of all nodes, including this one.
      admitting_nodes: nodes that admit before they receive each other's reports; 1 where nodes
        report to each other at once.
      update_age_ms: time between heartbeats of a node.
      workspaces: by name.
      reported_spent: units reported as spent, by source and workspace.
      overflow_before: overflow at the last report, by source and workspace.
      charged_by: units charged since the start, by who admitted them: "" for this node, a node's
        name, or a group of nodes.
      resync_until_ms: until when lower levels are taken over from peers.
      charge_history: charged units at recent times, by workspace.
    """

    clock: clock.Clock
    started_ms: int
    tolerance: quota_tolerance.Tolerance = dataclasses.field(
        default_factory=quota_tolerance.Tolerance
    )
    fraction: float = 1.0
    admitting_nodes: int = 1
    update_age_ms: float = quota_tolerance.FRESH_INTERVAL_MS
    workspaces: Mapping[str, traffic.Workspace] = dataclasses.field(default_factory=dict)
    buckets: dict[str, quota_records.Bucket] = dataclasses.field(default_factory=dict)
    reported_spent: dict[tuple[str, str], float] = dataclasses.field(default_factory=dict)
    overflow_before: dict[tuple[str, str], quota_records.Overflow] = dataclasses.field(
        default_factory=dict
    )
    charged_by: collections.defaultdict[str, float] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(float)
    )
    resync_until_ms: int = 0
    charge_history: collections.deque[tuple[int, dict[str, float]]] = dataclasses.field(
        default_factory=collections.deque
    )

    def admit(self, workspace: traffic.Workspace, units: float, rank: int = 0) -> float:
        """Charge a request.

        Args:
          rank: 0 is the most urgent; the least urgent ones leave a portion of the bucket to the
            others, so that a large urgent prompt fits after many small ones.
        Returns:
          0 if it is admitted; otherwise the milliseconds after which it may be.
        """
        if workspace.rate <= 0:
            return 0.0
        bucket = self._refill(workspace)
        available = bucket.level if self.fraction >= 1.0 else bucket.share
        if bucket.settled:
            available -= self._reserved_for_urgent(workspace, rank)
        needed = min(units, self._min_level(workspace, units))
        if available < needed:
            refill = self.tolerance.refill(workspace, self.update_age_ms) * self.fraction
            return max(1.0, (needed - available) / max(refill, 1e-9) * 1000.0)
        ample = self.admitting_nodes == 1 or self._is_ample(workspace, available)
        if bucket.own_share < 0 and not ample:
            return max(
                1.0, -bucket.own_share / max(self._own_share_refill(workspace), 1e-9) * 1000.0
            )
        self._charge(bucket, units)
        bucket.spent += units
        bucket.own_share -= units
        if ample:
            bucket.own_share = max(bucket.own_share, -self._max_own_share(workspace))
        self.charged_by[""] += units
        return 0.0

    def _is_ample(self, workspace: traffic.Workspace, available: float) -> bool:
        """Return whether the own share need not be checked."""
        capacity = self.tolerance.capacity(workspace, self.update_age_ms)
        return available >= AMPLE_FRACTION * capacity * self.fraction

    def _own_share_refill(self, workspace: traffic.Workspace) -> float:
        """Return the own refill in units per second."""
        return self.tolerance.refill(workspace, self.update_age_ms) / self.admitting_nodes

    def _max_own_share(self, workspace: traffic.Workspace) -> float:
        return self._own_share_refill(workspace) * OWN_SHARE_MS / 1000.0

    def _min_level(self, workspace: traffic.Workspace, units: float) -> float:
        """Return the level from which a request larger than the capacity is admitted.

        A complete fleet admits it once the bucket holds the burst. A small group rejects it; nodes
        of a larger one can serve the caller.
        """
        overdraft = self.tolerance.overdraft(workspace) * self.fraction
        burst = workspace.burst * self.fraction
        return burst if self.fraction >= 1.0 else max(burst, units - overdraft)

    def _reserved_for_urgent(self, workspace: traffic.Workspace, rank: int) -> float:
        """Return the units that requests of a rank leave in the bucket."""
        if rank < LEAST_URGENT_RANK:
            return 0.0
        held = self.tolerance.capacity(workspace, self.update_age_ms) - workspace.burst
        return min(held, RESERVED_BURST_FRACTION * workspace.burst) * self.fraction

    @staticmethod
    def _charge(bucket: quota_records.Bucket, units: float) -> None:
        bucket.level -= units
        bucket.share -= units
        bucket.charged += units

    def _charge_others(self, source: str, name: str, units: float) -> None:
        """Charge what others admitted, after a refill.

        Otherwise a full bucket would be refilled for time before the charge.
        """
        workspace = self.workspaces.get(name)
        if workspace is not None:
            self._charge(self._refill(workspace), units)
            self.charged_by[source.partition("#")[0]] += units

    def refund(self, workspace: traffic.Workspace, units: float) -> None:
        """Return what a request was charged that did not run."""
        bucket = self.buckets.get(workspace.name)
        if bucket is not None and workspace.rate > 0:
            self._charge(bucket, -units)
            bucket.spent -= units
            bucket.own_share += units
            self.charged_by[""] -= units

    def set_reachable_fraction(self, fraction: float) -> None:
        """Set the reachable fraction of all nodes."""
        now = self.clock.now()
        if fraction == self.fraction:
            self._record_charges(now)
            return
        self.refill_all()
        for name, bucket in self.buckets.items():
            if self.fraction >= 1.0:
                bucket.share = bucket.level
            left = max(0.0, bucket.level)
            if fraction < self.fraction:
                left = max(0.0, bucket.level + self._charged_since_last_seen(name))
            bucket.share += (fraction - self.fraction) * left
        self.fraction = fraction
        self._record_charges(now)

    def deduct_lost_share(self, share: float) -> None:
        """Count the share of a node as used whose process ended while it was unreachable.

        Nobody reports what it had admitted, which may be its complete share.

        Args:
          share: its fraction of the fleet.
        """
        self.refill_all()
        unreachable = 1.0 - self.fraction
        for bucket in self.buckets.values():
            used = share * max(0.0, bucket.level)
            if unreachable > 0:
                used = max(used, (bucket.level - bucket.share) * min(1.0, share / unreachable))
            bucket.level -= used

    def _record_charges(self, now: int) -> None:
        charged = {name: bucket.charged for name, bucket in self.buckets.items()}
        self.charge_history.append((now, charged))
        while now - self.charge_history[0][0] > LAST_SEEN_WINDOW_MS:
            self.charge_history.popleft()

    def _charged_since_last_seen(self, name: str) -> float:
        """Return the units charged since nodes became unreachable, which both sides share."""
        before = self.charge_history[0][1] if self.charge_history else {}
        if name not in before:
            return 0.0
        return max(0.0, self.buckets[name].charged - before[name])

    def report(self) -> dict[str, quota_records.PeerSpending]:
        """Return this node's spending, for its heartbeat, with current levels."""
        self.refill_all()
        return {
            name: quota_records.PeerSpending(
                bucket.spent, bucket.level, bucket.settled, overdrawn=self._overdrawn(bucket)
            )
            for name, bucket in self.buckets.items()
        }

    def seen(self, name: str) -> dict[str, float] | None:
        """Return the state of a workspace's bucket, for the log."""
        bucket = self.buckets.get(name)
        if bucket is None:
            return None
        return {
            "level": round(bucket.level),
            "part": round(bucket.share),
            "fraction": round(self.fraction, 3),
        }

    def total_charged(self) -> float:
        """Return what all nodes admitted while they were reachable.

        What a node admitted before its first report is left out: it would look like the requests
        of one moment. The total falls when a workspace is dropped.
        """
        return sum(bucket.charged for bucket in self.buckets.values())

    def apply_node_report(
        self,
        node: str,
        spending: Mapping[str, quota_records.PeerSpending],
        after_gap: bool = False,
        share: float = 1.0,
    ) -> dict[str, float]:
        """Charge what a peer admitted since its last report.

        Args:
          node: the peer's incarnation.
          spending: by workspace.
          after_gap: whether it was unreachable since its last report.
          share: one node's fraction of the fleet.
        Returns:
          What was charged, by workspace.
        """
        if after_gap or any(
            reported.settled and name in self.buckets and (node, name) not in self.reported_spent
            for name, reported in spending.items()
        ):
            self.resync_until_ms = self.clock.now() + RESYNC_MS
        charged: dict[str, float] = {}
        for name, reported in spending.items():
            bucket = self.buckets.get(name)
            if bucket is None:
                continue
            if (node, name) not in self.reported_spent:
                charged |= self._apply_first_report(node, name, reported)
            elif after_gap:
                charged |= self._apply_report_after_gap((node, name), reported.spent, share)
            else:
                charged |= self.noticed(node, name, reported.spent)
            self.overflow_before[(node, name)] = quota_records.Overflow(
                bucket.overflow, self.clock.now()
            )
            if reported.settled and (not bucket.settled or self.clock.now() < self.resync_until_ms):
                self._refill(self.workspaces[name])
                self._apply_level(
                    bucket, quota_records.PeerLevel(reported.level, reported.overdrawn)
                )
        return charged

    def _apply_first_report(
        self, node: str, name: str, reported: quota_records.PeerSpending
    ) -> dict[str, float]:
        """Apply a peer's first report.

        Spending that no coordinator has counted is charged, up to a full bucket; otherwise it would
        be lost when a new coordinator replaces crashed ones.
        """
        workspace = self.workspaces[name]
        self.reported_spent[(node, name)] = reported.spent
        uncounted = reported.spent - reported.counted if reported.counted is not None else 0.0
        uncounted = min(max(0.0, uncounted), self.tolerance.capacity(workspace, self.update_age_ms))
        if uncounted:
            self._charge_others(node, name, uncounted)
        return {name: uncounted} if uncounted else {}

    def _apply_report_after_gap(
        self, key: tuple[str, str], spent: float, share: float
    ) -> dict[str, float]:
        """Charge what a peer admitted while it was unreachable, as far as it is due."""
        node, name = key
        self._refill(self.workspaces[name])
        units = self._due(key, spent - self.reported_spent[key], share)
        self.reported_spent[key] = spent
        self._charge_others(node, name, units)
        return {name: units}

    def noticed(self, node: str, workspace: str, spent: float) -> dict[str, float]:
        """Charge what a peer reported between its heartbeats.

        Args:
          spent: units since its start; ignored before its first heartbeat.
        Returns:
          What was charged, by workspace.
        """
        known = self.reported_spent.get((node, workspace))
        if known is None or known == spent:
            return {}
        self.reported_spent[(node, workspace)] = spent
        self._charge_others(node, workspace, spent - known)
        return {workspace: spent - known}

    def apply_centre_summary(
        self,
        group: str,
        charged: Mapping[str, float],
        levels: Mapping[str, quota_records.PeerLevel],
        resync: bool = False,
        share: float = 1.0,
    ) -> None:
        """Charge what a group of nodes admitted, as summed up by one of them.

        Args:
          group: key of its sums.
          charged: units since the last sum, by workspace.
          levels: its levels, by workspace; taken over by a node that is not settled.
          resync: whether it is reachable again: then lower levels are taken over, since reports
            may have been missed.
          share: its fraction of the fleet's nodes.
        """
        self.refill_all()
        for name, units in charged.items():
            if name in self.buckets:
                key = (group, name)
                self.reported_spent[key] = self.reported_spent.get(key, 0.0) + units
                self._charge_others(group, name, self._due(key, units, share) if resync else units)
        for name, known in self.buckets.items():
            self.overflow_before[(group, name)] = quota_records.Overflow(
                known.overflow, self.clock.now()
            )
        for name, level in levels.items():
            bucket = self.buckets.get(name)
            if bucket is not None and (resync or not bucket.settled):
                self._refill(self.workspaces[name])
                self._apply_level(bucket, level)

    def _due(self, key: tuple[str, str], units: float, share: float) -> float:
        """Return the units to charge of what a group admitted while it was unreachable.

        Meanwhile this bucket was refilled for the complete fleet and overflowed. The group's use
        of its refill is not charged, except for what it may have admitted just now: its share of a
        full bucket.

        Args:
          key: group and workspace.
        """
        bucket, workspace = self.buckets[key[1]], self.workspaces[key[1]]
        before = self.overflow_before.get(key)
        if before is None:
            return units
        silent_s = (self.clock.now() - before.at_ms) / 1000.0
        refilled = share * self.tolerance.refill(workspace, self.update_age_ms) * silent_s
        at_once = share * self.tolerance.capacity(workspace, self.update_age_ms)
        overflow = min(bucket.overflow - before.units, refilled)
        used = max(0.0, min(units - at_once, overflow))
        bucket.overflow -= used
        return units - used

    def apply_fleet_levels(
        self, reported: Mapping[str, quota_records.ReportedBucket], fraction: float
    ) -> None:
        """Take over a coordinator's buckets; others are unchanged.

        Args:
          fraction: of all nodes that it reaches.
        """
        self.set_reachable_fraction(fraction)
        for name, one in reported.items():
            workspace = self.workspaces.get(name)
            if workspace is None or workspace.rate <= 0:
                continue
            bucket = self._refill(workspace)
            if bucket.settled and not one.settled:
                # The coordinator just started; this node's level rests on more.
                continue
            bucket.level = one.level
            bucket.share = one.share
            bucket.settled = one.settled

    def _apply_level(self, bucket: quota_records.Bucket, reported: quota_records.PeerLevel) -> None:
        """Take over the level of a peer that knows more, or that is reachable again."""
        if bucket.settled:
            bucket.level = min(reported.level, bucket.level)
            bucket.share = min(bucket.share, bucket.level)
            return
        bucket.level = reported.level
        # A process that starts during a partition has only the share of the reachable nodes.
        bucket.share = reported.level * self.fraction - reported.overdrawn
        bucket.settled = True

    def _overdrawn(self, bucket: quota_records.Bucket) -> float:
        """Return the units by which the reachable nodes have less left than their share."""
        return max(0.0, max(0.0, bucket.level) * self.fraction - bucket.share)

    def forget(self, node: str) -> None:
        """Drop the records of an incarnation that is gone."""
        for known in (self.reported_spent, self.overflow_before):
            for key in [key for key in known if key[0] == node]:
                del known[key]
        self.charged_by.pop(node.partition("#")[0], None)

    def _refill(self, workspace: traffic.Workspace) -> quota_records.Bucket:
        now = self.clock.now()
        settled = now - self.started_ms >= SETTLED_MS
        bucket = self.buckets.get(workspace.name)
        if bucket is None:
            level = workspace.burst if settled else 0.0
            bucket = quota_records.Bucket(level, level * self.fraction, now, settled)
            self.buckets[workspace.name] = bucket
        bucket.settled = bucket.settled or settled
        refill = self.tolerance.refill(workspace, self.update_age_ms)
        gained = refill * (now - bucket.updated_ms) / 1000.0
        capacity = self.tolerance.capacity(workspace, self.update_age_ms)
        bucket.overflow += max(0.0, bucket.level + gained - capacity)
        bucket.level = min(capacity, bucket.level + gained)
        max_share = capacity * self.fraction
        bucket.share = min(max_share, bucket.share + gained * self.fraction)
        own = (
            bucket.own_share
            + self._own_share_refill(workspace) * (now - bucket.updated_ms) / 1000.0
        )
        bucket.own_share = min(self._max_own_share(workspace), own)
        bucket.updated_ms = now
        return bucket

    def retain(self, workspaces: Mapping[str, traffic.Workspace]) -> None:
        """Refill all buckets, and drop those of workspaces that no longer exist."""
        for name in [name for name in self.buckets if name not in workspaces]:
            del self.buckets[name]
        self.workspaces = workspaces
        self.refill_all()

    def refill_all(self) -> None:
        """Refill all buckets up to now."""
        for workspace in self.workspaces.values():
            if workspace.rate > 0:
                self._refill(workspace)
