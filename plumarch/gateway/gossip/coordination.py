"""What a coordinator sums up and tells: its data centre to others, the whole fleet to members."""

import collections
import dataclasses

from plumarch.gateway import fleet_state
from plumarch.gateway.gossip import (
    heartbeats,
    load_reports,
    seniors,
    speed_reports,
    spending_ledger,
    version_reports,
)
from plumarch.limits import centre_spending, quota_records
from plumarch.membership import fleet_view, peer_node, tiers
from plumarch.peers import gossip, recent_changes
from plumarch.routing import endpoint_choice

WHOLE_EVERY = 16
"""Every how many rounds all figures are told, not just those that changed lately."""

WHOLE_AT_RETURN = 3
"""How many whole summaries are told once a data centre is heard for the first time, or again."""

RESYNC_MS = 1_000
"""How long lower levels of a data centre are taken over that is heard for the first time, or again:
until the coordinators of all have told each other what was admitted meanwhile, over slow links too.
A coordinator that followed on one that died doesn't know what others told before."""

USAGE_EVERY = 4
"""Every how many rounds usage is told."""

LOADS_TOLD = 60
"""Endpoints whose load one datagram tells, the heaviest first; some 20 bytes each."""

CENTRE = "centre "
"""What the figures of a whole data centre are kept under, before its name."""


@dataclasses.dataclass(slots=True)
class Coordination:
    """A coordinator's sums.

    Attributes:
      ledger: who began to count what the nodes of the own data centre admitted.
      spent: what was counted in it, by workspace.
      own_counted: the part of this node's own spending that is counted in it.
      acknowledged: sequence of the last heartbeat or notice of each node of it, by name.
      rounds: news composed so far.
      summaries: summaries composed so far.
      newest: incarnation and number of the last summary of each coordinator elsewhere.
      resync_until_ms: until when each data centre counts as heard since just now.
      whole_summaries: how many of the next summaries tell all figures.
      tell_all: whether the next news are whole, for a member that was not heard before.
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
    whole_summaries: int = 0
    tell_all: bool = True
    spending_news: recent_changes.RecentChanges[float] = dataclasses.field(
        default_factory=recent_changes.RecentChanges
    )
    level_news: recent_changes.RecentChanges[float] = dataclasses.field(
        default_factory=recent_changes.RecentChanges
    )
    load_news: recent_changes.RecentChanges[endpoint_choice.Load] = dataclasses.field(
        default_factory=recent_changes.RecentChanges
    )
    told_fraction: float = 0.0

    def __post_init__(self) -> None:
        self.ledger = self.view.seniority()

    # Other data centres.

    def handle_summary(self, told: gossip.CentreSummary) -> bool:
        """Take in what a coordinator of another data centre tells.

        Returns:
          Whether it is news: one that came twice, or after a newer one, is passed over.
        """
        newest = self.newest.get(told.node, (0, 0))
        if told.sequence and (told.incarnation, told.sequence) <= newest:
            return False
        self.newest[told.node] = (told.incarnation, told.sequence)
        candidates = seniors.from_messages(told.candidate)
        now = self.state.clock.now()
        if told.data_centre not in self.view.live_centres():
            # Windows that ended while it was not heard are told in whole summaries only.
            self.whole_summaries = WHOLE_AT_RETURN
            self.resync_until_ms[told.data_centre] = now + RESYNC_MS
        self.view.all_centres.heard(told.data_centre, seniors.from_messages(told.seniors), now)
        self.view.centres[told.data_centre] = tiers.CentreView(
            nodes=told.nodes,
            reachable_nodes=told.reachable_nodes,
            seniors=seniors.from_messages(told.seniors),
            token=told.token,
            candidate=candidates[0].seniority if candidates else None,
            reported=told.reported,
            usage_age_ms=told.usage_age_ms,
            received_ms=now,
            usage_reported_ms=self._usage_told(told, now - told.usage_age_ms),
            oldest_ms=now if _leads(told) else self._oldest_ms(told.data_centre),
        )
        self.duty.reported = max(self.duty.reported, told.reported)
        self._charge(told, now < self.resync_until_ms[told.data_centre])
        loads = load_reports.from_messages(told.loads, self.state.registry.by_name)
        self.state.chooser.report_loads(CENTRE + told.data_centre, loads)
        speed_reports.apply(self.state, CENTRE + told.data_centre, told.speeds)
        version_reports.take_shares(self.state, told.versions)
        version_reports.take_answers(self.state, CENTRE + told.data_centre, told.answers)
        if told.usage:
            counts = {one.window: one.counts for one in told.usage}
            self.state.usage.apply_centre_summary(CENTRE + told.data_centre, counts)
        return True

    def _oldest_ms(self, data_centre: str) -> int:
        """Return when the oldest coordinator of a data centre told last, 0 if it never did."""
        before = self.view.centres.get(data_centre)
        return before.oldest_ms if before is not None else 0

    def _usage_told(self, told: gossip.CentreSummary, as_of_ms: int) -> dict[int, int]:
        """Return as of when the newest usage windows of a data centre were told."""
        before = self.view.centres.get(told.data_centre)
        known = dict(before.usage_reported_ms) if before is not None else {}
        for one in told.usage:
            known[one.window] = max(as_of_ms, known.get(one.window, as_of_ms))
        newest = sorted(known)[-heartbeats.USAGE_WINDOWS :]
        return {window: known[window] for window in newest}

    def _charge(self, told: gossip.CentreSummary, anew: bool) -> None:
        """Charge what another data centre admitted.

        Args:
          anew: whether it is heard since just now, for the first time in this role or again.
        """
        sums = {one.workspace: one.spent for one in told.spending}
        author = f"{told.node}#{told.incarnation}"
        charged = self.elsewhere.charge(
            told.data_centre,
            author,
            sums,
            self.view.alive_timeout_ms(),
            _leads(told),
            self._ledger_of(told),
        )
        levels = {
            one.workspace: quota_records.PeerLevel(one.level, one.overdrawn)
            for one in told.spending
            if one.settled
        }
        share = min(1.0, told.nodes / max(1, self.view.size()))
        self.state.quota.apply_centre_summary(
            CENTRE + told.data_centre, charged, levels, anew, share
        )

    def _ledger_of(self, told: gossip.CentreSummary) -> centre_spending.Ledger:
        """Return the ledger in which a coordinator elsewhere counts."""
        if not told.ledger:
            return centre_spending.UNNAMED
        begun = tiers.Seniority(told.ledger[0].incarnation, told.ledger[0].name)
        name = f"{begun.name}#{begun.incarnation}"
        return centre_spending.Ledger(name, begun.incarnation > self.view.incarnation)

    # The ledger of the own data centre.

    def count_on(self, ledger: spending_ledger.FollowedLedger) -> None:
        """Begin to coordinate: count on in the ledger that this node followed, or in a new one."""
        if ledger.begun_by is None:
            self.ledger = self.view.seniority()
        else:
            self.ledger = ledger.begun_by
        self.spent = collections.defaultdict(float, ledger.spent)
        self.own_counted = dict(ledger.counted)

    def followed(self) -> spending_ledger.FollowedLedger:
        """Return the ledger for this node to follow once it coordinates no more."""
        self._count_own()
        return spending_ledger.FollowedLedger(self.ledger, dict(self.spent), dict(self.own_counted))

    def adopt_ledger(self, ledger: spending_ledger.FollowedLedger) -> None:
        """Count on in the ledger of an older coordinator of the own data centre.

        Both count the same nodes, each by what it hears: the larger sum is the truer one.
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
        """Count what this node admitted itself."""
        for name, bucket in self.state.quota.buckets.items():
            self.spent[name] += bucket.spent - self.own_counted.get(name, 0.0)
            self.own_counted[name] = bucket.spent

    def summary(self) -> gossip.CentreSummary:
        """Return what to tell the coordinators of other data centres now."""
        view, state = self.view, self.state
        neighbours = [one for one in view.neighbours() if view.is_alive(one)]
        whole = self.whole_summaries > 0 or self.summaries % WHOLE_EVERY == 0
        self.whole_summaries = max(0, self.whole_summaries - 1)
        with_usage = whole or self.summaries % USAGE_EVERY == 1
        self.summaries += 1
        tokens = [one.token for one in neighbours if not one.leaving]
        return gossip.CentreSummary(
            node=view.node,
            incarnation=view.incarnation,
            address=view.address,
            data_centre=state.data_centre,
            configuration=state.configuration_version(),
            registry_revision=state.registry.changed_revision,
            nodes=view.centre_size(),
            reachable_nodes=1 + len(neighbours),
            seniors=seniors.announced(view),
            token=max([self.duty.token, *tokens]),
            candidate=self._candidate(neighbours),
            reported=self.duty.reported,
            usage_age_ms=self._usage_age_ms(),
            spending=self._spending(whole),
            loads=self._centre_loads(),
            usage=self._usage(whole) if with_usage else [],
            speeds=speed_reports.to_messages(state, self._is_near) if with_usage else [],
            versions=version_reports.shares_told(state),
            answers=version_reports.answers_told(state, self._is_near),
            centres_digest=view.digest(),
            sequence=self.summaries,
            ledger=[self._ledger_told()],
        )

    def _ledger_told(self) -> gossip.NodeIdentity:
        return gossip.NodeIdentity(self.ledger.name, self.ledger.incarnation, "")

    def _candidate(self, neighbours: list[peer_node.Peer]) -> list[gossip.NodeIdentity]:
        ages = [one.seniority() for one in neighbours if one.candidate and not one.leaving]
        if self.duty.candidate:
            ages.append(self.view.seniority())
        return [
            gossip.NodeIdentity(seniority.name, seniority.incarnation, "")
            for seniority in sorted(ages)[:1]
        ]

    def _usage_age_ms(self) -> int:
        """Return how old the oldest news of a node of the own data centre is."""
        now = self.state.clock.now()
        heard = [one.last_seen_ms for one in self.view.neighbours() if one.incarnation]
        return max((now - at for at in heard if at is not None), default=0)

    def _spending(self, whole: bool) -> list[gossip.CentreSpending]:
        report = self.state.quota.report()
        self._count_own()
        sums = {name: self.spent[name] for name in report}
        changed = self.spending_news.select(sums)
        return [
            gossip.CentreSpending(
                name,
                round(sums[name]),
                round(told.level),
                told.settled,
                round(told.overdrawn),
            )
            for name, told in report.items()
            if whole or name in changed
        ]

    def _centre_loads(self) -> list[gossip.EndpointLoad]:
        """Return what the nodes of the own data centre have at endpoints."""
        chooser = self.state.chooser
        sums: dict[str, endpoint_choice.Load] = {}
        sources = [loads for name, loads in chooser.reported_loads.items() if self._is_near(name)]
        for loads in [chooser.own, *sources]:
            for endpoint, load in loads.items():
                total = sums.setdefault(endpoint, endpoint_choice.Load())
                total.running += load.running
                total.prompt_tokens += load.prompt_tokens
        return load_reports.heaviest(sums, LOADS_TOLD)

    def _is_near(self, source: str) -> bool:
        """Return whether what a node told belongs to the sums of the own data centre.

        Before roles are settled, nodes of other data centres tell theirs one by one.

        Args:
          source: the node's name, with or without its incarnation, or a data centre's.
        """
        if source.startswith(CENTRE):
            return False
        peer = self.view.peers.get(source.partition("#")[0])
        return peer is None or peer.data_centre == self.state.data_centre

    def _usage(self, whole: bool) -> list[gossip.WindowUsage]:
        usage, now = self.state.usage, self.state.wall.now()
        windows = heartbeats.windows_told(usage, now, whole)
        newest = usage.window_at(now)
        return [
            gossip.WindowUsage(number, usage.total(number, self._is_near))
            for number in range(newest - windows + 1, newest + 1)
        ]

    # The own data centre.

    def take_told(self, node: str, sequence: int, charged: dict[str, float]) -> None:
        """Count what a node of the own data centre was heard to admit.

        Args:
          sequence: number of its heartbeat or notice; a late one goes before no newer one.
        """
        for name, units in charged.items():
            self.spent[name] += units
        self.acknowledged[node] = max(sequence, self.acknowledged.get(node, 0))

    def fleet_update(self) -> gossip.FleetUpdate:
        """Return what to tell the members of the own data centre now."""
        state, quota, view = self.state, self.state.quota, self.view
        fraction = view.fresh_fraction()
        whole = self.rounds % WHOLE_EVERY == 0 or self.tell_all or fraction != self.told_fraction
        self.tell_all = False
        self.told_fraction = fraction
        self.rounds += 1
        quota.refill_all()
        self._count_own()
        charged = {name: bucket.charged for name, bucket in quota.buckets.items()}
        changed = self.level_news.select(charged)
        levels = [
            gossip.ReportedLevel(
                name,
                round(bucket.level),
                round(bucket.share),
                bucket.settled,
                round(self.spent[name]),
            )
            for name, bucket in quota.buckets.items()
            if whole or name in changed
        ]
        return gossip.FleetUpdate(
            node=view.node,
            incarnation=view.incarnation,
            address=view.address,
            data_centre=state.data_centre,
            configuration=state.configuration_version(),
            registry_revision=state.registry.changed_revision,
            nodes=view.size(),
            centre_nodes=view.centre_size(),
            fraction=fraction,
            seniors=seniors.announced(view),
            followers=view.followers(state.reaches_store),
            levels=levels,
            loads=self._fleet_loads(whole),
            full=whole,
            versions=version_reports.shares_told(state),
            ledger=[self._ledger_told()],
        )

    def _fleet_loads(self, whole: bool) -> list[gossip.EndpointLoad]:
        """Return the loads of endpoints from all nodes that changed lately."""
        chooser = self.state.chooser
        loads = {name: chooser.load(name) for name in sorted({*chooser.own, *chooser.others})}
        before = self.load_news.known.keys() - loads.keys()
        loads |= {name: endpoint_choice.NO_LOAD for name in before}
        changed = self.load_news.select(loads)
        for name in [name for name in before if name not in changed]:
            del self.load_news.known[name]
        chosen = {name: load for name, load in loads.items() if whole or name in changed}
        return load_reports.heaviest(chosen, LOADS_TOLD)

    def forget(self, node: str) -> None:
        """Drop what is kept of a node that is gone."""
        self.acknowledged.pop(node, None)


def _leads(told: gossip.CentreSummary) -> bool:
    """Return whether a summary's author believes to be the oldest of its data centre."""
    return bool(told.seniors) and told.seniors[0].name == told.node
