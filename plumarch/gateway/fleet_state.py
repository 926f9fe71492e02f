"""What one gateway process believes and keeps: the state that all its parts share."""

import dataclasses
import random
from collections.abc import Awaitable, Callable

from plumarch.config import routing_table
from plumarch.core import rollouts, suspension
from plumarch.core.clock import Clock
from plumarch.core.traffic import Endpoint
from plumarch.fleet import engine_demand, usage, version_tally
from plumarch.gateway import (
    centre_contact,
    decision_log,
    dialect,
    measures,
    permit_waiters,
    unreadable_entries,
)
from plumarch.gateway.connections import open_runs
from plumarch.limits import (
    attempt_budget,
    memory_account,
    memory_admission,
    quarantine,
    rate_allocator,
    rate_permits,
    workspace_quota,
)
from plumarch.membership.registry import EndpointChange, Registry
from plumarch.routing import (
    answer_times,
    data_centre_reach,
    distance,
    endpoint_backoff,
    endpoint_choice,
    endpoint_health,
    endpoint_limits,
    version_split,
)


@dataclasses.dataclass(frozen=True, slots=True)
class SentPrompt:
    """A prompt that was sent to an engine.

    Attributes:
      unread_tokens: tokens of it that the engine is expected to have to read.
      workspace: the one whose allotment was charged, or "".
      units: what it was charged.
    """

    endpoint: str
    unread_tokens: float
    workspace: str
    units: float


@dataclasses.dataclass(slots=True)
class FleetState:
    """State of one process; parts of it come from the store, from peers, or from requests.

    Attributes:
      table: the configuration in force, or None before the first one is known.
      table_source: who told it: "store" or a peer's name.
      work: what this node sent to engines lately.
      splits: which versions of services get requests.
      answers: of versions, while roll-outs run.
      answer_times: how long plain requests take, by route.
      distances: how far data centres are from this one.
      memory: what is held on behalf of callers and endpoints.
      pressure: who is turned away when much of it is held.
      limits: what endpoints bear.
      backoff: endpoints that asked this node for rest.
      permits: to send to endpoints that announce a rate for all nodes together.
      allocator: divides such rates among the nodes that ask this one.
      permit_answers: requests that wait for the allocator's answer.
      quarantine: requests under which endpoints ended.
      unreadable: entries in the store that can't be read.
      suspensions: when this process did not run.
      runs: connections on which requests run, by endpoint.
      contact: how well the other data centres are heard.
      announce_prompt: tells the other nodes of a prompt sent to an engine.
      endpoint_restarted: told of an endpoint whose process has started again.
      publish_suspect: tells them what was learned of a request, by its fingerprint.
      request_permits: sends a request for permits to the endpoint's allocator; None where this
        node is the only one.
      claim_trial: asks the store whether this node may try a request that is held back.
      reaches_store: whether the platform's store answered the last call.
      stops_at_ms: when the process will end, once it was told to and balancers know; or None.
    """

    node: str
    data_centre: str
    clock: Clock
    wall: Clock
    rng: random.Random
    names: dialect.Dialect
    log: decision_log.DecisionLog
    measures: measures.Measures
    registry: Registry
    chooser: endpoint_choice.EndpointChooser
    health: endpoint_health.EndpointHealth
    reach: data_centre_reach.DataCentreReach
    quota: workspace_quota.WorkspaceQuota
    budget: attempt_budget.AttemptBudget
    usage: usage.UsageCounter
    work: engine_demand.SentWork
    splits: version_split.VersionSplits
    answers: version_tally.TallyBook
    answer_times: answer_times.AnswerTimes
    distances: distance.Distances
    memory: memory_account.MemoryAccount
    pressure: memory_admission.MemoryAdmission
    limits: endpoint_limits.EndpointLimits
    quarantine: quarantine.Quarantine
    suspensions: suspension.Suspensions
    contact: centre_contact.CentreContact = dataclasses.field(
        default_factory=centre_contact.CentreContact
    )
    table: routing_table.RoutingTable | None = None
    table_source: str = ""
    announce_prompt: Callable[[SentPrompt], None] | None = None
    publish_suspect: Callable[[str], None] | None = None
    endpoint_restarted: Callable[[str], None] = lambda _: None
    request_permits: Callable[[Endpoint, rate_allocator.PermitRequest], None] | None = None
    claim_trial: Callable[[str], Awaitable[bool]] | None = None
    reaches_store: bool = True
    stops_at_ms: int | None = None
    unreadable: unreadable_entries.UnreadableEntries = dataclasses.field(init=False)
    backoff: endpoint_backoff.EndpointBackoff = dataclasses.field(init=False)
    permits: rate_permits.RatePermits = dataclasses.field(init=False)
    allocator: rate_allocator.RateAllocator = dataclasses.field(init=False)
    permit_answers: permit_waiters.PermitWaiters = dataclasses.field(
        default_factory=permit_waiters.PermitWaiters
    )
    runs: open_runs.OpenRuns = dataclasses.field(default_factory=open_runs.OpenRuns)

    def __post_init__(self) -> None:
        self.backoff = endpoint_backoff.EndpointBackoff(self.clock)
        self.permits = rate_permits.RatePermits(self.clock, self.rng, self.node)
        self.allocator = rate_allocator.RateAllocator(self.clock)
        self.unreadable = unreadable_entries.UnreadableEntries(self.log, self.measures)

    def configuration_version(self) -> int:
        """Return the version of the configuration in force, or -1 before the first one."""
        return self.table.version if self.table is not None else -1

    def adopt_table(self, table: routing_table.RoutingTable, source: str) -> bool:
        """Put a configuration in force unless it is not newer than the one in force.

        Returns:
          Whether it is in force from now on.
        """
        if self.table is not None and table.version <= self.table.version:
            return False
        before = self.table.version if self.table else None
        self.table = table
        self.table_source = source
        self.quota.retain(table.workspaces)
        self.limits.services = table.services
        self.log.write(
            "configuration", urgent=True, version=table.version, before=before, source=source
        )
        return True

    def adopt_split(self, split: rollouts.VersionSplit) -> bool:
        """Adopt a share of a version unless a later one is known.

        Returns:
          Whether it is news.
        """
        before = self.splits.of(split.service)
        if not self.splits.adopt(split):
            return False
        if before is None or before.version != split.version:
            self.answers.forget_service(split.service)
        now = self.splits.of(split.service)
        self.log.write("version_share", urgent=True, split=now, before=before)
        return True

    def registry_changed(self, changes: list[EndpointChange], source: str) -> None:
        """Log changes of endpoints, and forget what no longer exists."""
        if not changes:
            return
        self._tell_unnamed_regions()
        for change in changes:
            endpoint = change.endpoint
            lost_runs = 0
            if change.is_restarted:
                lost_runs = self.runs.close_all(change.id)
                self.endpoint_restarted(change.id)
            self.log.write(
                "endpoint",
                endpoint=change.id,
                state=endpoint.state.value if endpoint else "gone",
                service=endpoint.service if endpoint else "",
                data_centre=endpoint.data_centre if endpoint else "",
                spot=endpoint.spot if endpoint else False,
                version=endpoint.version if endpoint else "",
                leaves_in_ms=endpoint.leaves_in_ms if endpoint else None,
                is_restarted=change.is_restarted,
                lost_runs=lost_runs,
                revision=change.revision,
                source=source,
            )
        self._forget_gone()

    def rate_changed(self, endpoint: Endpoint, source: str) -> None:
        """Log the rate that an endpoint announces from now on, or that it announces none any more.

        Args:
          source: the node that got the answer, or reported it.
        """
        self.measures.announced_rates.add(endpoint.service)
        self.log.write(
            "endpoint_rate",
            endpoint=endpoint.id,
            service=endpoint.service,
            per_s=self.permits.rate(endpoint),
            nodes=self.permits.nodes,
            source=source,
        )

    def _tell_unnamed_regions(self) -> None:
        """Log once each data centre that has no region; all ways to it count as far."""
        met = {self.data_centre, *(one.data_centre for one in self.registry.endpoints.values())}
        for data_centre in sorted(met):
            if self.distances.is_first_unnamed(data_centre):
                self.log.write("region_unknown", urgent=True, data_centre=data_centre)

    def _forget_gone(self) -> None:
        existing = set(self.registry.endpoints)
        self.chooser.retain(existing)
        self.health.retain(existing)
        self.limits.retain(existing)
        self.permits.prune(existing)
