"""State of one gateway process."""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable, Iterable, Sequence

from plumarch.config import routing_table
from plumarch.core import revisions, rollouts, suspension
from plumarch.core.clock import Clock
from plumarch.core.traffic import Endpoint, ServiceShare
from plumarch.fleet import engine_demand, usage, version_tally
from plumarch.gateway import (
    answer_waiters,
    centre_contact,
    decision_log,
    dialect,
    measures,
    unreadable_entries,
)
from plumarch.gateway.connections import exchange, open_runs
from plumarch.limits import (
    attempt_budget,
    fragile_services,
    memory_account,
    memory_admission,
    quarantine,
    rate_allocator,
    rate_permits,
    segment_crashes,
    slot_leases,
    workspace_quota,
)
from plumarch.limits import slot_allocator as allocation
from plumarch.membership import tunnel_nodes
from plumarch.membership.registry import EndpointChange, Registry
from plumarch.routing import (
    answer_times,
    data_centre_reach,
    direct_paths,
    distance,
    endpoint_backoff,
    endpoint_choice,
    endpoint_health,
    endpoint_limits,
    origin_uses,
    stream_origins,
    version_split,
)

RESUMED_TIMEOUTS = 2.0
"""Longest timeouts of a route from a stream's last event to its resumption: its answer's, and its
caller's wait."""


@dataclasses.dataclass(frozen=True, slots=True)
class RouteServices:
    """A route's services and when this node first saw them."""

    shares: tuple[ServiceShare, ...]
    since_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SentPrompt:
    """A prompt that was sent to an engine.

    Attributes:
      unread_tokens: expected tokens that the engine has not cached.
      workspace: the workspace charged, or "".
    """

    endpoint: str
    unread_tokens: float
    workspace: str
    units: float


@dataclasses.dataclass(slots=True)
class FleetState:
    """State of one process, from the store, from peers and from requests.

    Attributes:
      table: the configuration in force, or None before the first one.
      table_source: "store" or a peer's name.
      work: prompts recently sent to engines.
      splits: shares of service versions during roll-outs.
      route_services: by route, for how long it has led to its services.
      answers: counts of answers by version, during roll-outs.
      answer_times: mean time of plain requests, by route.
      distances: regions and network latencies of data centres.
      pressure: refusals while memory is short.
      backoff: endpoints that asked this node to back off.
      paths: endpoints that this node can't connect to.
      tunnel_peers: nodes that open tunnels for this one; None on a single node.
      late_connects: direct connects that go on beside a chosen tunnel.
      allocator: divides announced rates among nodes.
      permit_answers: requests that wait for an allocator.
      fragile: services whose endpoints crash if they reject too many requests.
      slots: leased slots at their endpoints.
      slot_allocator: leases slots to nodes.
      slot_answers: requests that wait for that allocator.
      quarantine: suspects: requests and prompt segments under which endpoints crashed.
      segments: weighs crashes against prompt segments.
      runs: connections with running requests, by endpoint.
      announce_prompt: announces a sent prompt to the other nodes.
      endpoint_restarted: called with the id of a restarted endpoint.
      send_update_soon: sends the next heartbeat at once.
      publish_suspects: publishes suspects, by their fingerprints.
      request_permits: sends a request to the endpoint's allocator; None on a single node.
      request_slots: sends a request to the allocator of slots; None on a single node.
      request_trial: requests the trial of a quarantined request from the store, by the fingerprints
        of the request and its prompt segments.
      streams: the software versions at which streams began that can be resumed.
      ask_origin: asks other nodes where a stream of a service and a route began, and returns how
        many; None on a single node.
      recorded_origins: the store's record of where streams begin; None while it is unknown.
      stream_began: called with the route and the origin of a stream that can be resumed.
      record_streams: records in the store where streams began.
      read_origins: reads the record for a resumption, within a time in ms; None without a store.
      origin_answers: resumptions that wait for them, by the stream's hash.
      knows_endpoints: whether this node would know of an endpoint that others use.
      reaches_store: whether the store answered the last call.
      store_era: the latest era of the store, from its answers or from peers; -1 before the first.
      rollbacks: times that the store came back from an older copy since the start.
      stops_at_ms: when the process will exit; None before a shutdown.
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
    route_services: dict[str, RouteServices] = dataclasses.field(default_factory=dict)
    announce_prompt: Callable[[SentPrompt], None] | None = None
    publish_suspects: Callable[[Sequence[str]], None] | None = None
    send_update_soon: Callable[[], None] = lambda: None
    recorded_origins: origin_uses.KnownUses | None = None
    stream_began: Callable[[stream_origins.RouteOrigin], None] = lambda _: None
    record_streams: Callable[[Iterable[stream_origins.Report]], None] = lambda _: None
    read_origins: Callable[[float], Awaitable[None]] | None = None
    endpoint_restarted: Callable[[str], None] = lambda _: None
    request_permits: Callable[[Endpoint, rate_allocator.PermitRequest], None] | None = None
    request_slots: Callable[[Endpoint, allocation.SlotRequest], None] | None = None
    request_trial: Callable[..., Awaitable[bool]] | None = None
    ask_origin: Callable[[stream_origins.Stream, str, str], int] | None = None
    knows_endpoints: Callable[[], bool] = lambda: True
    reaches_store: bool = True
    store_era: int = -1
    rollbacks: int = 0
    stops_at_ms: int | None = None
    unreadable: unreadable_entries.UnreadableEntries = dataclasses.field(init=False)
    backoff: endpoint_backoff.EndpointBackoff = dataclasses.field(init=False)
    paths: direct_paths.DirectPaths = dataclasses.field(init=False)
    tunnel_peers: tunnel_nodes.TunnelNodes | None = None
    late_connects: set[asyncio.Task[exchange.Exchange]] = dataclasses.field(default_factory=set)
    permits: rate_permits.RatePermits = dataclasses.field(init=False)
    allocator: rate_allocator.RateAllocator = dataclasses.field(init=False)
    fragile: fragile_services.FragileServices = dataclasses.field(init=False)
    slots: slot_leases.SlotLeases = dataclasses.field(init=False)
    slot_allocator: allocation.SlotAllocator = dataclasses.field(init=False)
    slot_answers: answer_waiters.AnswerWaiters = dataclasses.field(
        default_factory=answer_waiters.AnswerWaiters
    )
    permit_answers: answer_waiters.AnswerWaiters = dataclasses.field(
        default_factory=answer_waiters.AnswerWaiters
    )
    segments: segment_crashes.SegmentCrashes = dataclasses.field(init=False)
    runs: open_runs.OpenRuns = dataclasses.field(default_factory=open_runs.OpenRuns)
    streams: stream_origins.StreamOrigins = dataclasses.field(init=False)
    origin_answers: answer_waiters.AnswerWaiters = dataclasses.field(
        default_factory=answer_waiters.AnswerWaiters
    )

    def __post_init__(self) -> None:
        self.backoff = endpoint_backoff.EndpointBackoff(self.clock)
        self.paths = direct_paths.DirectPaths(self.clock)
        self.permits = rate_permits.RatePermits(self.clock, self.rng, self.node)
        self.allocator = rate_allocator.RateAllocator(self.clock)
        self.fragile = fragile_services.FragileServices(self.clock)
        self.slots = slot_leases.SlotLeases(self.clock, self.node)
        self.slot_allocator = allocation.SlotAllocator(self.clock)
        self.segments = segment_crashes.SegmentCrashes(self.wall)
        self.streams = stream_origins.StreamOrigins(self.clock)
        self.unreadable = unreadable_entries.UnreadableEntries(self.log, self.measures)

    def configuration_version(self) -> int:
        """Return the configuration's version, or -1 before the first one."""
        return self.table.version if self.table is not None else -1

    def adopt_table(self, table: routing_table.RoutingTable, source: str) -> bool:
        """Put a configuration in force if it is newer, and return whether it was."""
        if self.table is not None and table.version <= self.table.version:
            return False
        before = self.table.version if self.table else None
        self.table = table
        self.table_source = source
        self.quota.retain(table.workspaces)
        self.limits.services = table.services
        self.streams.retention_ms = _resumable_ms(table)
        self._note_routes(table)
        self.log.write(
            "configuration", urgent=True, version=table.version, before=before, source=source
        )
        return True

    def sole_version(self, service: str) -> str | None:
        """Return a service's software version if no resumable stream began at another one."""
        if not self.knows_endpoints():
            return None
        return self.registry.versions.sole(service, self.streams.retention_ms)

    def _note_routes(self, table: routing_table.RoutingTable) -> None:
        now = self.clock.now()
        before = self.route_services
        self.route_services = {
            one.name: before[one.name]
            if one.name in before and before[one.name].shares == one.shares
            else RouteServices(one.shares, now)
            for one in table.configuration.routes
        }

    def sole_origin(self, service: str, route: str) -> stream_origins.Origin | None:
        """Return where all resumable streams of a route began, if that is one place.

        It is known from what this node has seen for long enough, or from the store's record.
        """
        known = self.route_services.get(route)
        if known is None or [one.service for one in known.shares] != [service]:
            return None
        version = self.sole_version(service)
        is_old = self.clock.now() - known.since_ms >= self.streams.retention_ms
        if version is not None and is_old:
            return stream_origins.Origin(service, version)
        return self._recorded_origin(service, route, known)

    def _recorded_origin(
        self, service: str, route: str, known: RouteServices
    ) -> stream_origins.Origin | None:
        """Return a route's sole origin by the record, unless this node has seen others since."""
        recorded, versions = self.recorded_origins, self.registry.versions
        if recorded is None or versions.since_ms is None or not self.knows_endpoints():
            return None
        if max(known.since_ms, versions.since_ms) > recorded.read_ms:
            return None
        retention_ms = self.streams.retention_ms
        origin = recorded.uses.sole(route, self.wall.now(), retention_ms)
        if origin is None or origin.service != service:
            return None
        seen = versions.recent(service, retention_ms)
        return origin if seen <= {origin.version} else None

    def adopt_split(self, split: rollouts.VersionSplit) -> bool:
        """Adopt a version's share if it is newer, and return whether it was."""
        before = self.splits.of(split.service)
        if not self.splits.adopt(split):
            return False
        if before is None or before.version != split.version:
            self.answers.forget_service(split.service)
        now = self.splits.of(split.service)
        self.log.write("version_share", urgent=True, split=now, before=before)
        return True

    def registry_changed(self, changes: list[EndpointChange], source: str) -> None:
        """Log changes of endpoints, and drop removed ones' state."""
        if not changes:
            return
        self._log_unnamed_regions()
        if any(change.is_restarted for change in changes):
            now = [change.endpoint for change in changes if change.endpoint is not None]
            self.streams.doubt_restarted({one.stable_name(): one.version for one in now})
        for change in changes:
            endpoint = change.endpoint
            lost_runs = 0
            if change.successor is not None:
                lost_runs = self.runs.close_former(change.id, change.successor)
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
                revision=revisions.shown(change.revision),
                source=source,
            )
        self._prune_removed()

    def note_store_era(self, revision: int, source: str) -> None:
        """Log that the store came back from an older copy if a revision is of a later era.

        Args:
          source: "store" or a peer's name.
        """
        before, self.store_era = self.store_era, max(self.store_era, revisions.era(revision))
        if not 0 <= before < self.store_era:
            return
        self.rollbacks += 1
        self.measures.store_rollbacks.add()
        self.log.write(
            "store_rolled_back",
            urgent=True,
            source=source,
            era=self.store_era,
            before=before,
            revision=revisions.shown(revision),
            registry_revision=revisions.shown(self.registry.revision),
            registry_age_ms=self.registry.age_ms(),
            configuration=self.configuration_version(),
        )

    def note_stale_endpoints(self, revision: int, source: str) -> None:
        """Log an answer about endpoints that is ignored if newer ones are known.

        Args:
          revision: the answer's.
          source: "store" or a peer's name.
        """
        if revision >= self.registry.revision:
            return
        self.measures.stale_answers.add("endpoints")
        self.log.write(
            "endpoints_stale",
            urgent=True,
            source=source,
            revision=revisions.shown(revision),
            known=revisions.shown(self.registry.revision),
            known_source=self.registry.source,
            known_age_ms=self.registry.age_ms(),
        )

    def rate_changed(self, endpoint: Endpoint, source: str) -> None:
        """Log a change of an endpoint's announced rate.

        Args:
          source: the node that received or reported the answer.
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

    def fragility_changed(self, service: str, source: str) -> None:
        """Log that a service's endpoints announce that they bear few rejections.

        Args:
          source: the node that received or reported the answer.
        """
        self.log.write(
            "service_fragile",
            service=service,
            rejections_per_s=self.fragile.rejections_per_s(service),
            source=source,
        )
        self.send_update_soon()

    def slot_use(self, endpoint: Endpoint) -> slot_leases.SlotUse:
        """Return an endpoint's slots and their use."""
        return slot_leases.SlotUse(
            endpoint.id,
            max(1, endpoint.slots),
            self.chooser.own_running(endpoint.id),
            self.chooser.running(endpoint.id),
            self.fragile.rejections_per_s(endpoint.service) or 0.0,
        )

    def _log_unnamed_regions(self) -> None:
        """Log each data centre without a region once; it counts as remote."""
        met = {self.data_centre, *(one.data_centre for one in self.registry.endpoints.values())}
        for data_centre in sorted(met):
            if self.distances.is_first_unnamed(data_centre):
                self.log.write("region_unknown", urgent=True, data_centre=data_centre)

    def _prune_removed(self) -> None:
        existing = set(self.registry.endpoints)
        self.chooser.retain(existing)
        self.health.retain(existing)
        self.limits.retain(existing)
        self.permits.prune(existing)
        self.paths.retain(existing)


def _resumable_ms(table: routing_table.RoutingTable) -> int:
    """Return how long after its last event a stream can be resumed, by the routes' timeouts."""
    timeouts = [one.timeout_ms for one in table.configuration.routes if one.resumable]
    longest_ms = max(timeouts, default=0.0)
    return max(stream_origins.MIN_RETENTION_MS, round(RESUMED_TIMEOUTS * longest_ms))
