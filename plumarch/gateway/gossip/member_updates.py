"""What a member of a large fleet makes of its coordinators' news."""

import collections
import dataclasses

from plumarch.gateway import fleet_state
from plumarch.gateway.gossip import load_reports, seniors, spending_ledger
from plumarch.limits import quota_records
from plumarch.membership import fleet_view, tiers
from plumarch.peers import gossip
from plumarch.routing import endpoint_choice

FLEET = "fleet"
"""What the loads of all other nodes are kept under."""

HEARTBEATS_KEPT = 64
"""Heartbeats and notices whose figures are remembered, for news that answer them late: some six
seconds of a node with ten long prompts a second."""

LESS_HEARD = 0.05
"""News of a coordinator that hears less of the fleet than another one by this part are passed over
as long as the other one's are fresh: it froze, was cut off, or has just started."""

FRESH_MS = 350
"""News of one coordinator are followed until they are older than this: three rounds and a half."""


@dataclasses.dataclass(frozen=True, slots=True)
class SentFigures:
    """What this node had spent, and had at endpoints, when it sent a heartbeat."""

    sequence: int
    spent: dict[str, float]
    loads: dict[str, endpoint_choice.Load]


@dataclasses.dataclass(slots=True)
class MemberUpdates:
    """Keeps what news tell, put together with what this node did since.

    Attributes:
      told: the figures of the last heartbeats, oldest first.
      loads: the loads of all nodes, this one included, by who told them and endpoint.
      ledger: how far its coordinators have counted what the nodes of the data centre admitted.
    """

    state: fleet_state.FleetState
    view: fleet_view.FleetView
    told: collections.deque[SentFigures] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=HEARTBEATS_KEPT)
    )
    loads: dict[str, dict[str, endpoint_choice.Load]] = dataclasses.field(default_factory=dict)
    ledger: spending_ledger.FollowedLedger = dataclasses.field(
        default_factory=spending_ledger.FollowedLedger
    )

    def sent(self, beat: gossip.Heartbeat) -> None:
        """Remember what a heartbeat told."""
        spent = {name: bucket.spent for name, bucket in self.state.quota.buckets.items()}
        loads = load_reports.from_messages(beat.loads, self.state.registry.by_name)
        self.told.append(SentFigures(beat.sequence, spent, loads))

    def noticed(self, notice: gossip.LoadNotice) -> None:
        """Remember what a notice told besides the heartbeats before it."""
        before = self.told[-1] if self.told else SentFigures(0, {}, {})
        spent = {**before.spent, notice.workspace: notice.spent}
        load = load_reports.from_message(notice.load)
        loads = {**before.loads, notice.load.endpoint: load}
        self.told.append(SentFigures(notice.sequence, spent, loads))

    def take_in(self, news: gossip.FleetUpdate) -> bool:
        """Take news in.

        Returns:
          Whether it counts: another coordinator may be followed, or hear more of the fleet.
        """
        author = tiers.Seniority(news.incarnation, news.node)
        now = self.state.clock.now()
        if not self._counts(author, news.fraction, now):
            return False
        self.view.fleet_update = tiers.ReceivedFleetUpdate(
            author=author,
            nodes=news.nodes,
            centre_nodes=news.centre_nodes,
            fraction=news.fraction,
            seniors=seniors.from_messages(news.seniors),
            followers=tuple(news.followers),
            received_ms=now,
        )
        return True

    def _counts(self, author: tiers.Seniority, fraction: float, now: int) -> bool:
        last = self.view.fleet_update
        if last is None or last.author == author or now - last.received_ms > FRESH_MS:
            return True
        if abs(fraction - last.fraction) > LESS_HEARD:
            return fraction > last.fraction
        return author < last.author

    def adopt_figures(self, news: gossip.FleetUpdate, taken_in: int) -> None:
        """Take over the levels of allotments and the loads of endpoints.

        Args:
          taken_in: sequence of the last heartbeat or notice of this node that they hold.
        """
        known = next((one for one in self.told if one.sequence == taken_in), None)
        quota = self.state.quota
        self.ledger.take_in(news)
        if known is not None:
            self.ledger.counted |= known.spent
        buckets = {}
        for one in news.levels:
            bucket = quota.buckets.get(one.workspace)
            untold = 0.0
            if bucket is not None and known is not None:
                untold = bucket.spent - known.spent.get(one.workspace, 0.0)
            buckets[one.workspace] = quota_records.ReportedBucket(
                one.level - untold, one.share - untold, one.settled
            )
        quota.apply_fleet_levels(buckets, news.fraction)
        self._adopt_loads(news, known.loads if known is not None else {})

    def _adopt_loads(self, news: gossip.FleetUpdate, mine: dict[str, endpoint_choice.Load]) -> None:
        """Keep the loads of the others: what is told less what of it is this node's own."""
        told = load_reports.from_messages(news.loads, self.state.registry.by_name)
        known = self.loads.get(news.node)
        if known is None and not news.full:
            return
        loads = told if news.full else {**(known or {}), **told}
        self.loads = {news.node: loads}
        others = {}
        for endpoint, load in loads.items():
            own = mine.get(endpoint, endpoint_choice.NO_LOAD)
            running = max(0, load.running - own.running)
            tokens = max(0.0, load.prompt_tokens - own.prompt_tokens)
            if running or tokens:
                others[endpoint] = endpoint_choice.Load(running, tokens)
        self.state.chooser.report_loads(FLEET, others)
