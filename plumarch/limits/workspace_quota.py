"""Allotments of workspaces, kept over all nodes without a write per request.

Every node holds the same token bucket for each workspace and charges it with what it admits
itself and with what its peers' heartbeats say that they admitted. While some nodes are
silent, a node admits only from the part of those that are heard, so that groups of nodes that
don't hear each other never add up to more than the whole.

The deployment tolerates a fixed excess in each window. Buckets refill faster by a part of it,
the same part on all nodes: in any window the fleet then admits the allotment and that part of
the excess. The rest of it covers what nodes admit before they hear of one another, which grows
with the time between heartbeats.

A node that starts has an empty bucket, since it can't know what its predecessor spent; it
takes over the level of a peer that runs for longer.
"""

import collections
import dataclasses
from collections.abc import Mapping

from plumarch.core import clock, traffic
from plumarch.limits import quota_records, quota_tolerance

SETTLED_MS = 8_000
"""From this age of the process on, a workspace that is new starts with a full bucket."""

AMPLE_FRACTION = 0.15
"""Part of what a bucket holds at most from which on each node admits what the bucket holds; below
it, from its share of the refill besides. Else all nodes give the same few units to a request each,
before they hear of one another: a workspace that asked 72 nodes for ten times its rate got nothing
for half a second and more, then twice the refill of a second at once, and 1.014 of what is
tolerated; with it 0.97 at most. From 0.25 on callers are refused after cuts who are owed (0.046 in
place of 0.026)."""

OWN_SHARE_MS = 500
"""For how long a node saves its share of the refill, and for how long it may be behind while there
is ample: the time that news take over two tiers of a fleet, and some more for large requests."""

LEAST_URGENT_RANK = 2
"""Ranks from this one on leave what a bucket holds beyond the burst to more urgent requests."""

RESERVED_BURST_FRACTION = 0.35
"""What they leave is at most this part of the burst, so that it suffices where the tolerated
excess is far larger than the allotment. A judgement."""

RESYNC_MS = 1_000
"""How long lower levels are taken over after a peer is heard that ran unheard before: four
heartbeats of each node, one of which is heard whatever is lost. A process that started amid a cut
hears nothing else of what the other side admitted; without this fleets of eight nodes admitted 1.11
of what is tolerated."""

LAST_SEEN_WINDOW_MS = 900
"""How long ago a node that is not heard any more was heard last at most: a time after which news
are no longer fresh, and an interval between heartbeats."""


@dataclasses.dataclass(slots=True)
class WorkspaceQuota:
    """The buckets of all workspaces.

    Attributes:
      fraction: the part of all nodes that is heard now, this one included.
      sharers: how many nodes admit from what is left before they hear of one another; 1 where each
        node tells each other one at once.
      update_age_ms: time between heartbeats of a node.
      workspaces: those of the configuration in force, by name.
      overflow_before: what was spared when a group was heard last, by group and workspace.
      charged_by: units charged since this process started, over all workspaces, by who admitted
        them: "" for this node, a node's name, or a group of nodes.
      resync_until_ms: until when lower levels are taken over from peers.
      charge_history: what was charged by when, over the last moments, by workspace.
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
    heard: dict[tuple[str, str], float] = dataclasses.field(default_factory=dict)
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
          rank: how urgent it is, 0 first; the least urgent ones leave a part of the bucket to
            the others, so that a large urgent prompt finds room after many small ones.
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
        """Return whether so much is left that this node need not look at its share."""
        capacity = self.tolerance.capacity(workspace, self.update_age_ms)
        return available >= AMPLE_FRACTION * capacity * self.fraction

    def _own_share_refill(self, workspace: traffic.Workspace) -> float:
        """Return the units a second that are this node's share of the refill."""
        return self.tolerance.refill(workspace, self.update_age_ms) / self.admitting_nodes

    def _max_own_share(self, workspace: traffic.Workspace) -> float:
        """Return the units that this node may save of its share, or be behind."""
        return self._own_share_refill(workspace) * OWN_SHARE_MS / 1000.0

    def _min_level(self, workspace: traffic.Workspace, units: float) -> float:
        """Return the level from which on a request larger than a part holds is admitted.

        A whole fleet admits what is larger than the burst once that is full. A small group
        refuses it: its callers are served by the nodes that hear each other.
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
        """Charge what others admitted to a bucket that is up to date.

        A bucket that was full would otherwise be refilled for a time before the charge.
        """
        workspace = self.workspaces.get(name)
        if workspace is not None:
            self._charge(self._refill(workspace), units)
            self.charged_by[source.partition("#")[0]] += units

    def refund(self, workspace: traffic.Workspace, units: float) -> None:
        """Give back what a request was charged that did not run."""
        bucket = self.buckets.get(workspace.name)
        if bucket is not None and workspace.rate > 0:
            self._charge(bucket, -units)
            bucket.spent -= units
            bucket.own_share += units
            self.charged_by[""] -= units

    def set_reachable_fraction(self, fraction: float) -> None:
        """Take in which part of all nodes is heard from now on."""
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
        """Count the part of a node as used up whose process ended while it was not heard.

        Nobody reports what it had admitted: all that was left to it may be gone. While
        only its share of what is left now counted, the rest was admitted a second time.

        Args:
          share: the part of the fleet that it was.
        """
        self.refill_all()
        unheard = 1.0 - self.fraction
        for bucket in self.buckets.values():
            used = share * max(0.0, bucket.level)
            if unheard > 0:
                used = max(used, (bucket.level - bucket.share) * min(1.0, share / unheard))
            bucket.level -= used

    def _record_charges(self, now: int) -> None:
        """Note what was charged until now, and drop what was noted long ago."""
        charged = {name: bucket.charged for name, bucket in self.buckets.items()}
        self.charge_history.append((now, charged))
        while now - self.charge_history[0][0] > LAST_SEEN_WINDOW_MS:
            self.charge_history.popleft()

    def _charged_since_last_seen(self, name: str) -> float:
        """Return what was charged since nodes that are not heard any more were heard last.

        They have a part of that as well: until now both sides admitted as if each were the whole.
        """
        before = self.charge_history[0][1] if self.charge_history else {}
        if name not in before:
            return 0.0
        return max(0.0, self.buckets[name].charged - before[name])

    def report(self) -> dict[str, quota_records.PeerSpending]:
        """Return this node's spending, for its heartbeat, with levels as of now."""
        self.refill_all()
        return {
            name: quota_records.PeerSpending(
                bucket.spent, bucket.level, bucket.settled, overdrawn=self._overdrawn(bucket)
            )
            for name, bucket in self.buckets.items()
        }

    def seen(self, name: str) -> dict[str, float] | None:
        """Return what is left of a workspace's allotment as this node sees it, for its log."""
        bucket = self.buckets.get(name)
        if bucket is None:
            return None
        return {
            "level": round(bucket.level),
            "part": round(bucket.share),
            "fraction": round(self.fraction, 3),
        }

    def total_charged(self) -> float:
        """Return what all nodes admitted while they were heard.

        What a node admitted before it was heard is left out: its sum since its start would look
        like the requests of one moment. It falls when a workspace is dropped.
        """
        return sum(bucket.charged for bucket in self.buckets.values())

    def apply_node_report(
        self,
        node: str,
        spending: Mapping[str, quota_records.PeerSpending],
        after_gap: bool = False,
        share: float = 1.0,
    ) -> dict[str, float]:
        """Charge what a peer admitted since it was heard last.

        Args:
          node: the peer's incarnation.
          spending: by workspace.
          again: whether it is heard again after a silence.
          share: the part of the fleet that one node is.
        Returns:
          What was charged, by workspace.
        """
        if after_gap or any(
            reported.settled and name in self.buckets and (node, name) not in self.heard
            for name, reported in spending.items()
        ):
            self.resync_until_ms = self.clock.now() + RESYNC_MS
        charged: dict[str, float] = {}
        for name, reported in spending.items():
            bucket = self.buckets.get(name)
            if bucket is None:
                continue
            if (node, name) not in self.heard:
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
        """Take in a peer that is heard for the first time.

        What nobody counted of its spending is charged: where a new one counts in place of those
        that died, it would be missing from all buckets for good otherwise. A full bucket is the
        most that it can have had of them.
        """
        workspace = self.workspaces[name]
        self.heard[(node, name)] = reported.spent
        uncounted = reported.spent - reported.counted if reported.counted is not None else 0.0
        uncounted = min(max(0.0, uncounted), self.tolerance.capacity(workspace, self.update_age_ms))
        if uncounted:
            self._charge_others(node, name, uncounted)
        return {name: uncounted} if uncounted else {}

    def _apply_report_after_gap(
        self, key: tuple[str, str], spent: float, share: float
    ) -> dict[str, float]:
        """Charge what a peer admitted in a silence, as far as that is still owed."""
        node, name = key
        self._refill(self.workspaces[name])
        units = self._due(key, spent - self.heard[key], share)
        self.heard[key] = spent
        self._charge_others(node, name, units)
        return {name: units}

    def noticed(self, node: str, workspace: str, spent: float) -> dict[str, float]:
        """Charge what a peer told between its heartbeats that it admitted.

        Args:
          spent: units since its start; counted only from a heartbeat on.
        Returns:
          What was charged, by workspace.
        """
        known = self.heard.get((node, workspace))
        if known is None or known == spent:
            return {}
        self.heard[(node, workspace)] = spent
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
        """Charge what a group of nodes admitted, as one of them sums it up.

        Args:
          group: what its sums are kept under.
          charged: units since the last sum, by workspace.
          levels: what is left as it believes, by workspace; taken over by a node that knows less.
          anew: whether it is heard since just now: then lower levels are taken over, since what
            this node missed meanwhile would be missing from its bucket for good.
          share: the part of the fleet's nodes that the group is.
        """
        self.refill_all()
        for name, units in charged.items():
            if name in self.buckets:
                key = (group, name)
                self.heard[key] = self.heard.get(key, 0.0) + units
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
        """Return what is to be charged of what a group admitted while it was not heard.

        Meanwhile this bucket was refilled for the whole fleet, and could not hold all of it. What
        the group used of its share of the refill is no debt then, but for as much as it may have
        admitted just now at once: its share of a full bucket. Without this a fleet at 0.8 of its
        rate refused 0.189 of all requests for 5 s after regions had been cut off from each other
        for 6 s; with it 0.020 (virtual time).

        Args:
          key: the group and the workspace.
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
        """Take over the buckets of a coordinator; those that it does not tell go on as they are.

        Args:
          fraction: the part of all nodes that it hears.
        """
        self.set_reachable_fraction(fraction)
        for name, one in reported.items():
            workspace = self.workspaces.get(name)
            if workspace is None or workspace.rate <= 0:
                continue
            bucket = self._refill(workspace)
            if bucket.settled and not one.settled:
                # A coordinator that just started tells what it earned since; this node knows more.
                continue
            bucket.level = one.level
            bucket.share = one.share
            bucket.settled = one.settled

    def _apply_level(self, bucket: quota_records.Bucket, reported: quota_records.PeerLevel) -> None:
        """Take over what is left by a peer that knows more, or that is heard since just now."""
        if bucket.settled:
            bucket.level = min(reported.level, bucket.level)
            bucket.share = min(bucket.share, bucket.level)
            return
        bucket.level = reported.level
        # A process that starts amid a cut has no more left than those that it hears.
        bucket.share = reported.level * self.fraction - reported.overdrawn
        bucket.settled = True

    def _overdrawn(self, bucket: quota_records.Bucket) -> float:
        """Return the units by which the nodes that are heard have less left than their share."""
        return max(0.0, max(0.0, bucket.level) * self.fraction - bucket.share)

    def forget(self, node: str) -> None:
        """Drop what is known of an incarnation that is gone."""
        for known in (self.heard, self.overflow_before):
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
        most = capacity * self.fraction
        bucket.share = min(most, bucket.share + gained * self.fraction)
        own = (
            bucket.own_share
            + self._own_share_refill(workspace) * (now - bucket.updated_ms) / 1000.0
        )
        bucket.own_share = min(self._max_own_share(workspace), own)
        bucket.updated_ms = now
        return bucket

    def retain(self, workspaces: Mapping[str, traffic.Workspace]) -> None:
        """Bring all buckets up to date, and drop those of workspaces that no longer exist."""
        for name in [name for name in self.buckets if name not in workspaces]:
            del self.buckets[name]
        self.workspaces = workspaces
        self.refill_all()

    def refill_all(self) -> None:
        """Bring all buckets up to date."""
        for workspace in self.workspaces.values():
            if workspace.rate > 0:
                self._refill(workspace)
