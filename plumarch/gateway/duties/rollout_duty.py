"""Roll-outs, decided by the duty holder and applied by all nodes.

A larger share is recorded before it is announced, so that a successor does not begin with less; a
smaller share is announced first.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from plumarch.core import errors, rollouts, traffic
from plumarch.fleet import duty_lease, rollout, version_verdict
from plumarch.gateway import fleet_state, ports
from plumarch.gateway.store import follower

WATCH_MS = 10_000
"""How long the store holds a watch open, as calls cost money."""

ROLLOUTS = "rollout"
"""Kind of unreadable entries."""

HOLDER_POLL_MS = 250.0
"""Interval at which a node checks whether it holds the duties."""

CERTAIN_WITHOUT_FULL_VIEW = 0.9999
"""Probability of a bad version at which a node without a full view stops it; high, since many such
nodes judge independently."""


class RolloutDuty:
    """One node's roll-outs.

    Attributes:
      orders: the newest by service, while this node holds the duties.
      plans: progress by service.
      reported: the last version and state reported to operators, by service.
      periods: periods of constant share seen here, by service and version.
    """

    def __init__(
        self, state: fleet_state.FleetState, store: ports.Store, exposure: rollout.Exposure
    ) -> None:
        self.state = state
        self.store = store
        self.exposure = exposure
        self.orders: dict[str, rollouts.RolloutOrder] = {}
        self.plans: dict[str, rollout.RolloutPlan] = {}
        self.reported: dict[str, tuple[str, rollouts.RolloutState]] = {}
        self.periods: dict[tuple[str, str], version_verdict.SharePeriods] = {}
        self.steps = 0

    def enabled(self) -> bool:
        """Return whether the deployment has roll-outs."""
        return self.exposure.share > 0

    async def follow(self, holds: Callable[[], bool]) -> None:
        """Watch the orders while `holds` returns that this node holds the duties, forever."""
        dependency = follower.Dependency(self.state, "store-rollouts")
        revision: int | None = None
        while self.enabled():
            if not holds():
                revision = None
                self.resign()
                await asyncio.sleep(HOLDER_POLL_MS / 1000.0)
                continue
            try:
                revision = await self._follow_once(revision)
                dependency.answered()
            except errors.PlatformRevisionExpired:
                revision = None
            except errors.PlatformError as error:
                revision = None
                await asyncio.sleep(dependency.failed(error) / 1000.0)

    async def _follow_once(self, revision: int | None) -> int:
        if revision is None:
            update = await self.store.list_rollouts()
            self.orders.clear()
            self.state.unreadable.listed(ROLLOUTS, update.unreadable)
        else:
            update = await self.store.watch_rollouts(revision, WATCH_MS)
            names = {one.service for one in update.changes} - {
                one.name for one in update.unreadable
            }
            self.state.unreadable.changed(ROLLOUTS, names, update.unreadable)
        for change in update.changes:
            self.apply_change(change)
        return update.revision

    def apply_change(self, change: rollouts.RolloutChange) -> None:
        """Apply an added, changed or removed order."""
        if change.order is None:
            self.orders.pop(change.service, None)
            return
        known = self.orders.get(change.service)
        if known is not None and known.revision > change.order.revision:
            return
        self.orders[change.service] = change.order
        if known is None or known.version != change.order.version:
            self.state.log.write("rollout_ordered", urgent=True, order=change.order)

    def resign(self) -> None:
        """Drop the holder's state."""
        self.orders.clear()
        self.plans.clear()
        self.reported.clear()

    # As the holder.

    def decide(
        self, record: duty_lease.DutyRecord
    ) -> list[tuple[rollout.RolloutPlan, rollout.RolloutPlan | None]]:
        """Decide on all roll-outs.

        Args:
          record: the duties' record, from which a new holder resumes.
        Returns:
          Changed plans, each with its previous state, or None for a new one.
        """
        changed = []
        for service, order in sorted(self.orders.items()):
            before = self.plans.get(service)
            plan = self._plan(order, record) if before is None else before
            if before is not None and before.order.version != order.version:
                before, plan = None, self._plan(order, record)
            wanted = dataclasses.replace(plan, order=order)
            if wanted.step(self._observe(wanted)) or before is None:
                changed.append((wanted, before))
            else:
                self.plans[service] = wanted
        return changed

    def _plan(
        self, order: rollouts.RolloutOrder, record: duty_lease.DutyRecord
    ) -> rollout.RolloutPlan:
        """Return a new order's plan, resumed from the record if there."""
        wall = self.state.wall
        plan = rollout.RolloutPlan(wall, order, self.exposure, wall.now())
        recorded = record.rollouts.get(order.service)
        if recorded is not None and recorded.version == order.version:
            plan.began_ms, plan.stage = recorded.began_ms, rollout.Stage(recorded.stage)
            plan.share, plan.reason = recorded.share, "taken over"
        self._resume_verdict(plan)
        if order.state is not None and order.state is not rollouts.RolloutState.RUNNING:
            plan.stage = rollout.Stage(order.state.value)
            plan.share = 1.0 if plan.stage is rollout.Stage.COMPLETED else 0.0
        return plan

    def _resume_verdict(self, plan: rollout.RolloutPlan) -> None:
        """Keep to an end that nodes know of, also if the store lost its record."""
        split = self.state.splits.of(plan.order.service)
        if split is None or split.version != plan.order.version:
            return
        if split.state is not rollouts.RolloutState.RUNNING:
            plan.stage, plan.share = rollout.Stage(split.state.value), split.share
            plan.reason = "ended before"

    def _observe(self, plan: rollout.RolloutPlan) -> rollout.Observation:
        state, order = self.state, plan.order
        ready = state.registry.ready(order.service)
        old = [
            one
            for one in state.registry.endpoints.values()
            if one.service == order.service and one.version != order.version
        ]
        split = state.splits.of(order.service)
        by_route = state.answers.by_route(order.service, order.version)
        answers = sum(pair.new.answers + pair.old.answers for pair in by_route.values())
        elapsed_s = max(1.0, (state.wall.now() - plan.began_ms) / 1000.0)
        return rollout.Observation(
            ready_new=len([one for one in ready if one.version == order.version]),
            ready_old=len([one for one in ready if one.version != order.version]),
            running_old=state.chooser.total_running(old),
            requests_per_s=answers / elapsed_s,
            by_route=by_route,
            vetoed=split is not None and split.version == order.version and split.vetoed,
        )

    def put_in_force(self, plan: rollout.RolloutPlan, token: int) -> None:
        """Adopt a plan's share, which gossip then announces."""
        self.plans[plan.order.service] = plan
        self.steps += 1
        split = rollouts.VersionSplit(
            plan.order.service,
            plan.order.version,
            plan.stage.state(),
            plan.share,
            token,
            self.steps,
        )
        self.state.adopt_split(split)
        self.state.log.write(
            "rollout",
            urgent=True,
            service=plan.order.service,
            version=plan.order.version,
            stage=plan.stage.value,
            share=round(plan.share, 3),
            elapsed=round(plan.elapsed(), 3),
            why=plan.reason,
            token=token,
        )

    async def report_states(self) -> None:
        """Report changed states to operators."""
        for service, plan in sorted(self.plans.items()):
            order, state = plan.order, plan.stage.state()
            if order.state is state or self.reported.get(service) == (order.version, state):
                continue
            try:
                await self.store.report_rollout(order, state)
            except errors.PlatformConflict as error:
                # The order changed; its state is reported after the next watch.
                self.state.log.write("rollout_changed", service=service, why=str(error))
                continue
            self.reported[service] = (order.version, state)

    # As any node.

    def stop_bad_versions(self, has_full_view: bool) -> bool:
        """Stop versions that are bad by the answers known here; return whether any was."""
        certain = version_verdict.CERTAINLY_BAD if has_full_view else CERTAIN_WITHOUT_FULL_VIEW
        rule = version_verdict.ProbabilityRule(bad_from=certain)
        stopped = False
        running = self.state.splits.running()
        keys = {(split.service, split.version) for split in running}
        self.periods = {key: one for key, one in self.periods.items() if key in keys}
        for split in running:
            if split.vetoed:
                continue
            by_route = self.state.answers.by_route(split.service, split.version)
            key = (split.service, split.version)
            before = self.periods.get(key, version_verdict.SharePeriods())
            periods = self.periods[key] = before.with_period(split.share, by_route)
            verdict, figures = version_verdict.judge_all(rule, *periods.per_period(by_route))
            if verdict is version_verdict.Verdict.BAD:
                self.state.splits.veto(split.service)
                self.state.log.write(
                    "version_stopped",
                    urgent=True,
                    service=split.service,
                    version=split.version,
                    why=figures,
                )
                stopped = True
        return stopped

    def serving(self, service: str) -> list[traffic.Endpoint]:
        """Return the leading version's endpoints, by which a service is sized."""
        found = [one for one in self.state.registry.endpoints.values() if one.service == service]
        split = self.state.splits.of(service)
        if split is None or split.state is not rollouts.RolloutState.RUNNING:
            return found
        all_new = split.share >= 1.0
        return [one for one in found if (one.version == split.version) == all_new]

    def is_running(self, service: str) -> bool:
        """Return whether a roll-out of a service runs."""
        split = self.state.splits.of(service)
        return split is not None and split.state is rollouts.RolloutState.RUNNING
