"""Acquires and carries out the duties: usage, engine orders, roll-outs."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

import msgspec

from plumarch.core import backoff, errors, records, revisions
from plumarch.fleet import duty_lease, rollout
from plumarch.gateway import fleet_state, ports
from plumarch.gateway.duties import engine_orders, rollout_duty
from plumarch.gateway.gossip import gossiper, heartbeats
from plumarch.gateway.store import follower
from plumarch.membership import fleet_view, tiers

TICK_MS = 250
SETTLE_MS = 1_500
"""Time after the start for discovering other nodes."""

TRY_PAUSE_MS = 800
HOLDER_CONTACT_MS = 400
"""How long an unknown holder has to send a heartbeat before it is replaced, so that nodes that
start together don't displace one another."""

DISPLACED_PAUSE_MS = 8_000
"""Pause of a resigned node before it tries again."""

NO_CANDIDATE_MS = 3_000
"""How long a node is no candidate after a failed platform call."""

UNREACHABLE_MS = 1_500
"""A holder whose platform calls fail for longer resigns."""

MAJORITY = 0.5
"""A node that reaches more than this fraction of nodes replaces an unreachable holder at once. With
fewer, it may be partitioned from a live holder, and the two would displace each other."""

HOLDER_GONE_MS = 2_500
"""A node without a majority takes over a record that is unchanged for this long."""

RENEW_MS = 1_000
"""Renewal interval of a holder that does not reach nearly all nodes."""

NEARLY_ALL = 0.9
"""A holder that reaches this fraction but not all nodes renews the record a usage window later."""

CLOCK_SKEW_MS = 1_000
"""How far the clocks of two nodes may differ."""

RETRY = backoff.Backoff(first_ms=500.0, max_ms=1_000.0)
"""Pauses after failures, by kind of work: failed platform calls cost money too."""


@dataclasses.dataclass(frozen=True, slots=True)
class UsageSchedule:
    """When usage windows are reported, in ms after their end.

    Attributes:
      early_ms: if all nodes have reported since.
      late_ms: otherwise.
    """

    window_ms: int
    early_ms: int
    late_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class DutyTasks:
    """Duties of a deployment; roll-outs are set by their exposure."""

    usage: bool
    scaling: bool


ALL_TASKS = DutyTasks(usage=True, scaling=True)
NO_ROLLOUTS = rollout.Exposure(0.0, 0.0)


class Duties:
    """One node's duties."""

    def __init__(
        self,
        state: fleet_state.FleetState,
        view: fleet_view.FleetView,
        status: heartbeats.DutyStatus,
        store: ports.Store,
        cloud: ports.Cloud,
        schedule: UsageSchedule,
        first_start: bool = False,
        tasks: DutyTasks = ALL_TASKS,
        exposure: rollout.Exposure = NO_ROLLOUTS,
        notify_peers: Callable[[], None] = lambda: None,
    ) -> None:
        """Create the duties of a node that does not hold them.

        Args:
          first_start: whether the whole deployment starts for the first time.
          exposure: limit on the requests that a bad version may get.
          notify_peers: sends the changes to other nodes at once.
        """
        self.state = state
        self.view = view
        self.status = status
        self.store = store
        self.cloud = cloud
        self.schedule = schedule
        self.tasks = tasks
        self.stored: duty_lease.StoredRecord | None = None
        self.not_before_ms = state.clock.now() + SETTLE_MS
        self.no_candidate_before_ms = 0
        self.known_token = 0
        self.is_lease_lost = False
        self.first_start = first_start
        self.notify_peers = notify_peers
        self.rollouts = rollout_duty.RolloutDuty(state, store, exposure)
        self.reach = follower.Dependency(state, "duties")
        self.retries = backoff.Retries(state.clock, state.rng, RETRY)
        self.leaving = False
        self.watch = duty_lease.RecordWatch()
        self.written_ms = 0
        self.confirmed_ms = 0
        self.store_answered_ms = state.clock.now()
        self.engines = engine_orders.EngineOrders(state, view, cloud, self.rollouts, first_start)

    def lease(self) -> records.Lease:
        """Return the lease for platform calls."""
        return records.Lease(self.view.node, self.status.token)

    async def run(self) -> None:
        """Run a step each TICK_MS, forever."""
        while True:
            await self.step()
            await asyncio.sleep(TICK_MS / 1000.0)

    async def _attempt(self, kind: str, work: Callable[[], Awaitable[None]]) -> None:
        """Run one kind of work; a conflict, a stale token or a long outage ends the lease.

        Args:
          kind: the key of its retry pauses.
        """
        if not self.retries.is_due(kind):
            return
        try:
            await work()
            self.retries.done(kind)
        except errors.StaleToken as error:
            self._resign(f"displaced: {error}", DISPLACED_PAUSE_MS)
        except errors.PlatformRolledBack as error:
            self.is_lease_lost = True
            self.state.log.write("duty_record_lost", token=self.status.token, why=str(error))
        except errors.PlatformConflict as error:
            self._resign(f"conflict: {error}", DISPLACED_PAUSE_MS)
        except errors.PlatformError as error:
            self.retries.failed(kind)
            self._platform_unreachable(error)
        except msgspec.DecodeError as error:
            self.retries.failed(kind)
            self._platform_unreachable(
                errors.PlatformNonsense(f"The duties' record can't be decoded: {error}.")
            )

    async def step(self) -> None:
        """Run due work."""
        self.engines.update_plans()
        self.status.candidate = (
            self.state.clock.now() >= self.no_candidate_before_ms and self.view.has_full_view()
        )
        if self.status.token and self.view.role is tiers.Role.MEMBER:
            self._resign("no longer a coordinator", DISPLACED_PAUSE_MS)
        if self.rollouts.stop_bad_versions(self.view.has_full_view()):
            self.notify_peers()
        if not self.tasks.usage and not self.tasks.scaling and not self.rollouts.enabled():
            return
        if self.leaving:
            if self.status.token:
                self._resign("stopping", DISPLACED_PAUSE_MS)
            return
        if self._is_rejected_by_store() and self.status.token:
            self._resign("the store fails for this node only", DISPLACED_PAUSE_MS)
        if not self.status.token:
            self.known_token = max(self.known_token, self.view.newest_token())
            await self._attempt("take over", self._maybe_take_over)
            return
        if self._is_of_earlier_era():
            await self._attempt("regain", self._regain)
        if self._is_of_earlier_era():
            return
        if self._renewal_due() or self.state.suspensions.since(self.confirmed_ms):
            await self._attempt("renew", self._renew)
        if self._may_act() and self.tasks.usage:
            await self._attempt("usage", self._report_usage)
        # The cloud may answer while the store is down.
        if self._may_act() and self.tasks.scaling:
            await self._attempt("engines", self._order_engines)
        if self._may_act() and self.rollouts.enabled():
            self._shrink_rollouts()
            await self._attempt("roll out", self._roll_out)

    def _may_act(self) -> bool:
        """Return whether this node holds a lease confirmed since its last suspension.

        Another node may have taken the duties over meanwhile.
        """
        if not self.status.token or self._is_of_earlier_era():
            return False
        return not self.state.suspensions.since(self.confirmed_ms)

    def _is_of_earlier_era(self) -> bool:
        """Return whether the store came back from an older copy since the lease was written."""
        if self.stored is None:
            return False
        return self.is_lease_lost or revisions.era(self.stored.revision) < self.state.store_era

    async def _regain(self) -> None:
        """Write the lease again that the store lost, with all that this holder had recorded.

        Raises:
          StaleToken: another node took the duties over since.
        """
        assert self.stored is not None
        read_ms = self.state.clock.now()
        found = await self._read() or await self._create()
        if duty_lease.is_current(found) and found.record.token > self.status.token:
            raise errors.StaleToken(f"{found.record.holder} took over under {found.record.token}")
        try:
            self.stored = await self._write(duty_lease.regained(found, self.stored.record))
        except errors.PlatformConflict as error:
            self.state.log.write("duty_record_changed", why=str(error))
            return
        self.is_lease_lost = False
        self.confirmed_ms = read_ms
        self.status.token = self.known_token = self.stored.record.token
        self.rollouts.reported.clear()
        self.state.log.write(
            "duty_regained",
            urgent=True,
            token=self.status.token,
            revision=revisions.shown(self.stored.revision),
            windows=list(self.stored.record.windows),
        )

    async def _read(self) -> duty_lease.StoredRecord | None:
        found = duty_lease.decode(await self.store.read_record(duty_lease.KIND, duty_lease.NAME))
        if found is not None:
            self.state.note_store_era(found.revision, follower.STORE)
        return found

    async def _create(self) -> duty_lease.StoredRecord:
        return await self._write(duty_lease.StoredRecord(duty_lease.UNHELD, 0))

    def _is_rejected_by_store(self) -> bool:
        """Return whether the store fails for this node only, for longer than UNREACHABLE_MS.

        Answers of the cloud would hide this, and roll-out orders would be read late.
        """
        now = self.state.clock.now()
        if self.state.reaches_store:
            self.store_answered_ms = now
        others = any(one.reaches_store and one.candidate for one in self.view.live())
        return others and now - self.store_answered_ms > UNREACHABLE_MS

    async def follow_rollouts(self) -> None:
        """Watch roll-out orders while this node holds the duties, forever."""
        await self.rollouts.follow(lambda: self.status.token > 0)

    def _shrink_rollouts(self) -> None:
        """Put smaller shares in force, safe before they are recorded."""
        assert self.stored is not None
        for plan, before in self.rollouts.decide(self.stored.record):
            if before is not None and plan.share <= before.share:
                self._put_in_force(plan)

    async def _roll_out(self) -> None:
        """Record and put in force changed roll-outs."""
        assert self.stored is not None
        for plan, _ in self.rollouts.decide(self.stored.record):
            await self._record_rollout(plan)
            if not self._may_act():
                return
            self._put_in_force(plan)
        # Plans in force whose record is still unwritten.
        for plan in list(self.rollouts.plans.values()):
            await self._record_rollout(plan)
        await self.rollouts.report_states()

    def _put_in_force(self, plan: rollout.RolloutPlan) -> None:
        self.rollouts.put_in_force(plan, self.status.token)
        self.notify_peers()

    async def _record_rollout(self, plan: rollout.RolloutPlan) -> None:
        assert self.stored is not None
        recorded = duty_lease.RolloutRecord(
            plan.order.version, plan.began_ms, plan.stage.value, plan.share
        )
        if self.stored.record.rollouts.get(plan.order.service) == recorded:
            return
        self.stored = await self._write(
            duty_lease.with_rollout(self.stored, plan.order.service, recorded)
        )

    async def _order_engines(self) -> None:
        """Order the planned engines."""
        sizes = self.stored.record.sizes if self.stored is not None else {}
        await self.engines.order_all(self.lease(), sizes, self.reach.answered, self._may_act)

    def _platform_unreachable(self, error: errors.PlatformError) -> None:
        self.reach.failed(error)
        self.no_candidate_before_ms = self.state.clock.now() + NO_CANDIDATE_MS
        failed_ms = self.state.clock.now() - self.reach.failed_since_ms
        if self.status.token and failed_ms > UNREACHABLE_MS and self.view.live():
            self._resign("platform unreachable", DISPLACED_PAUSE_MS)
        else:
            self.not_before_ms = max(self.not_before_ms, self.state.clock.now() + TRY_PAUSE_MS)

    def _resign(self, why: str, pause_ms: int) -> None:
        if self.status.token:
            self.state.log.write("duty_resigned", urgent=True, token=self.status.token, why=why)
        self.status.token = 0
        self.stored = None
        self.not_before_ms = self.state.clock.now() + pause_ms
        self.no_candidate_before_ms = self.not_before_ms
        self.status.candidate = False

    async def _maybe_take_over(self) -> None:
        if self.state.clock.now() < self.not_before_ms or self.view.has_holder():
            return
        if not self.view.is_most_senior_candidate():
            return
        read_ms = self.state.clock.now()
        self.not_before_ms = read_ms + TRY_PAUSE_MS
        found = await self._read()
        if found is None or not duty_lease.is_mine(found, self.view.node, self.view.incarnation):
            if found is not None and self._may_holder_be_alive(found):
                return
            if found is not None and found.record.token > self.known_token:
                self._wait_for_holder(found.record)
                return
            if found is None:
                found = await self._create()
            found = await self._write(
                duty_lease.taken_over(
                    found, self.view.node, self.view.incarnation, self._first_window(found)
                )
            )
        self.reach.answered()
        self.stored = found
        self.is_lease_lost = False
        self.confirmed_ms = read_ms
        self.status.token = found.record.token
        self.known_token = found.record.token
        newest = max((int(number) for number in found.record.windows), default=0)
        self.status.reported = max(self.status.reported, newest - 1, found.record.first_window - 1)
        self.state.log.write(
            "duty_taken",
            urgent=True,
            token=found.record.token,
            revision=revisions.shown(found.revision),
            first_window=found.record.first_window,
        )

    def _first_window(self, found: duty_lease.StoredRecord) -> int:
        """Return the first window to report, or 0 if no record of an earlier one was lost."""
        is_first = not found.record.token and self.first_start and not self.state.rollbacks
        if is_first or revisions.era(found.record.token) == revisions.era(found.revision):
            return 0
        recorded_ms = self.state.wall.now() + CLOCK_SKEW_MS - self.schedule.early_ms
        return recorded_ms // self.schedule.window_ms

    def _may_holder_be_alive(self, found: duty_lease.StoredRecord) -> bool:
        """Return whether the holder may be alive in another partition."""
        fraction = self.view.reachable_fraction()
        now = self.state.clock.now()
        unchanged_ms = self.watch.unchanged_ms(found, now, 2 * TRY_PAUSE_MS)
        if fraction > MAJORITY or self._is_small():
            return False
        # Compared with NEARLY_ALL as at the holder: as floats, 1.0 - 0.9 is less than 0.1.
        is_small_partition = 1.0 - fraction >= NEARLY_ALL
        wait_ms = HOLDER_GONE_MS + (self.schedule.window_ms if is_small_partition else 0)
        if unchanged_ms >= wait_ms:
            return False
        self.reach.answered()
        self.state.log.write(
            "duty_left",
            holder=found.record.holder,
            token=found.record.token,
            fraction=round(fraction, 3),
            unchanged_ms=unchanged_ms,
        )
        return True

    def _is_small(self) -> bool:
        """Return whether the fleet is too small for the majority rule.

        One lost node would cause constant paid renewals, and the survivor of two would wait for a
        crashed holder.
        """
        return self.view.size() <= tiers.FLAT_FLEET and not self.state.distances.regions

    def _renewal_due(self) -> bool:
        fraction = self.view.reachable_fraction()
        if self.stored is None or fraction >= 1.0 or self._is_small():
            return False
        nearly_all = fraction >= NEARLY_ALL
        pause_ms = RENEW_MS + (self.schedule.window_ms if nearly_all else 0)
        return self.state.clock.now() - self.written_ms >= pause_ms

    async def _renew(self) -> None:
        """Renew the record for nodes that do not reach this holder.

        Raises:
          PlatformConflict: another node holds the duties.
        """
        assert self.stored is not None
        self.written_ms = self.confirmed_ms = self.state.clock.now()
        try:
            self.stored = await self._write(duty_lease.renewed(self.stored))
        except errors.PlatformConflict:
            raise
        except errors.PlatformError as error:
            # The holder goes on while the cloud answers.
            self.state.log.write("duty_not_renewed", error=str(error))

    def _wait_for_holder(self, record: duty_lease.DutyRecord) -> None:
        """Wait for an unknown holder's heartbeat."""
        self.reach.answered()
        self.known_token = record.token
        self.not_before_ms = self.state.clock.now() + HOLDER_CONTACT_MS
        self.state.log.write(
            "duty_awaited", holder=record.holder, token=record.token, for_ms=HOLDER_CONTACT_MS
        )

    async def _write(self, wanted: duty_lease.StoredRecord) -> duty_lease.StoredRecord:
        """Write the record; after a lost answer or a conflict, read it back.

        If an earlier write was applied late, the record with this node and token is returned.
        """
        sent_ms = self.state.clock.now()
        try:
            written = await self.store.write_record(duty_lease.KIND, duty_lease.encode(wanted))
        except errors.PlatformRolledBack:
            raise
        except (errors.PlatformAnswerLost, errors.PlatformConflict):
            found = await self._read()
            is_mine = duty_lease.is_mine(found, self.view.node, self.view.incarnation)
            if found is None or not is_mine or found.record.token != wanted.record.token:
                raise
            return found
        self.written_ms = self.confirmed_ms = sent_ms
        self.state.reaches_store = True
        self.state.note_store_era(written.revision, follower.STORE)
        return duty_lease.StoredRecord(wanted.record, written.revision)

    async def _report_usage(self) -> None:
        """Report the oldest due usage window."""
        assert self.stored is not None
        wall = self.state.wall.now()
        newest_due = (wall - self.schedule.early_ms) // self.schedule.window_ms - 1
        window = max(self.status.reported + 1, newest_due - 1)
        if window > newest_due:
            return
        ended = (window + 1) * self.schedule.window_ms
        if wall - ended < self.schedule.late_ms and not self._all_reported_since(
            window, wall - ended
        ):
            return
        counts = await self._fixed_counts(window)
        if not self._may_act():
            return
        await self.cloud.report_usage(self.lease(), window, counts)
        self.reach.answered()
        self.status.reported = window
        self.state.log.write(
            "usage_reported", window=window, counts=counts, token=self.status.token
        )

    def _all_reported_since(self, window: int, ago_ms: int) -> bool:
        """Return whether every known node reported since a window's end."""
        if self.view.unreachable_centres():
            return False
        now = self.state.clock.now()
        margin_ms = heartbeats.USAGE_INTERVAL * max(
            gossiper.HEARTBEAT_INTERVAL_MS, self.view.interval_ms
        )
        last_seen_ms = [
            peer.last_seen_ms for peer in self.view.direct_peers() if peer.incarnation
        ] + [centre.usage_reported_ms.get(window) for centre in self.view.centres.values()]
        return all(at is not None and now - at < ago_ms - margin_ms for at in last_seen_ms)

    async def _fixed_counts(self, window: int) -> dict[str, int]:
        """Return a window's recorded counts, so that a successor reports the same."""
        assert self.stored is not None
        if str(window) not in self.stored.record.windows:
            counts = self.state.usage.total(window)
            for workspace in self.state.table.workspaces if self.state.table else ():
                counts.setdefault(workspace, 0)
            wanted = duty_lease.with_window(self.stored, window, counts, self.engines.sizes())
            self.stored = await self._write(wanted)
        if str(window) not in self.stored.record.windows:
            raise errors.PlatformUnavailable(
                f"Usage window {window} is not recorded yet. Try again."
            )
        return self.stored.record.windows[str(window)]
