"""Engine orders of the duty holder; all nodes keep plans, since any may become the holder."""

import dataclasses
from collections.abc import Callable, Mapping

from plumarch.core import errors, records, revisions, traffic
from plumarch.fleet import engine_demand, engine_plan, region_demand
from plumarch.gateway import fleet_state, ports
from plumarch.gateway.duties import engine_gauges, rollout_duty
from plumarch.gateway.gossip import region_sums
from plumarch.membership import fleet_view
from plumarch.routing import engine_speed

SAMPLE_MS = 1_000
MIN_REACHABLE_FRACTION = 0.9
"""Fraction of nodes that must be reachable for a drop of admitted units to count as less demand:
callers still reach a data centre that is cut off from this node."""


class EngineOrders:
    """Engine plans of all services with scaling, and their demand.

    Attributes:
      plans: by service.
      sampled_ms: time of the last sample; 0 without a full view of the fleet.
      sampled_charged: units charged by all nodes then.
      sums: units admitted by each region's nodes since.
      regions: demand by region; empty with only one region.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        view: fleet_view.FleetView,
        cloud: ports.Cloud,
        rollouts: rollout_duty.RolloutDuty,
        first_start: bool,
    ) -> None:
        self.state = state
        self.view = view
        self.cloud = cloud
        self.rollouts = rollouts
        self.first_start = first_start
        self.plans: dict[str, engine_plan.EnginePlan] = {}
        self.sampled_ms = 0
        self.sampled_charged = 0.0
        self.sums = region_sums.RegionSums(state, view)
        self.regions = region_demand.RegionDemand()

    def update_plans(self) -> None:
        """Update the plans, also on nodes without the duties."""
        table = self.state.table
        endpoints = self.state.registry.endpoints
        if table is None or not endpoints:
            return
        for service in table.services.values():
            if service.scaling is None or not service.scaling.prices:
                continue
            if service.name not in self.plans:
                self.plans[service.name] = engine_plan.EnginePlan(
                    self.state.clock, service.name, first_start=self.first_start
                )
            self.plans[service.name].observe_endpoints(endpoints.values())
        self._sample_demand()

    def _sample_demand(self) -> None:
        """Sample the last second's demand, with a full view of the fleet."""
        now = self.state.clock.now()
        if not self.view.has_full_view():
            # Members know the levels of quotas, not the units charged.
            self.sampled_ms = 0
            self.regions.reset()
            engine_gauges.clear(self.state)
            for plan in self.plans.values():
                plan.reset_demand()
            return
        if now - self.sampled_ms < SAMPLE_MS:
            return
        charged = self.state.quota.total_charged()
        rate = max(0.0, charged - self.sampled_charged) * 1000.0 / (now - self.sampled_ms)
        fleet_reachable = self.view.reachable_fraction() >= MIN_REACHABLE_FRACTION
        if not self.sampled_ms:
            self.sums.begin()
        else:
            if self.state.distances.regions:
                rate = self._sample_regions(now - self.sampled_ms)
            for plan in self.plans.values():
                known = self._speed_report(plan.service) is not None
                plan.sample_demand(self._engines_busy(plan.service, rate), known, fleet_reachable)
                self._show(plan)
        self.sampled_ms = now
        self.sampled_charged = charged

    def _show(self, plan: engine_plan.EnginePlan) -> None:
        table = self.state.table
        service = table.services.get(plan.service) if table is not None else None
        if service is not None and service.scaling is not None:
            plan.regions = self._regions_of(plan.service, service.scaling)
            engine_gauges.show(self.state, plan, service.scaling)

    def _sample_regions(self, elapsed_ms: int) -> float:
        """Sample the last second's demand by region, and return units a second over all.

        A partially reachable region keeps its earlier demand, since callers still reach its nodes.
        """
        rates = {
            region: units * 1000.0 / elapsed_ms for region, units in self.sums.admitted().items()
        }
        before = self.regions.partially_reachable
        partially_reachable = self.sums.partially_reachable(MIN_REACHABLE_FRACTION)
        total = self.regions.sample(rates, partially_reachable)
        if partially_reachable != before:
            self.state.log.write(
                "regions_in_part", regions=sorted(partially_reachable), before=sorted(before)
            )
        return total

    def _regions_of(self, service: str, scaling: traffic.Scaling) -> region_demand.RegionView:
        """Return a service's view of the regions."""
        distances = self.state.distances
        if not distances.regions:
            return region_demand.ONE_REGION
        region_of = {name: distances.region_of(name) for name in scaling.prices}
        latency_fraction = region_sums.network_latency_fraction(self.state, service, scaling.prices)
        # A region that became partially reachable since must not shrink either.
        partially_reachable = self.regions.partially_reachable | self.sums.partially_reachable(
            MIN_REACHABLE_FRACTION
        )
        return dataclasses.replace(
            self.regions.view(region_of, latency_fraction), partially_reachable=partially_reachable
        )

    def _engines_busy(self, service: str, units_per_s: float) -> float:
        """Return how many engines a service's current requests need."""
        state = self.state
        endpoints = [one for one in state.registry.endpoints.values() if one.service == service]
        slots = max((one.slots for one in endpoints), default=1)
        report = self._speed_report(service)
        return engine_demand.engines_for(
            self._unread_per_s(service, units_per_s),
            report.ms_per_token if report is not None else 0.0,
            state.chooser.total_running(endpoints),
            slots,
        )

    def _speed_report(self, service: str) -> engine_speed.SpeedReport | None:
        """Return a service's engine speed, or None without enough samples."""
        work = self.state.work.reading(service)
        return self.state.chooser.speed(service).planned(self.state.clock.now(), work)

    def _unread_per_s(self, service: str, units_per_s: float) -> float:
        """Return the unread prompt tokens a second that all nodes send to engines.

        Gossip has only units charged to quotas; if some workspaces have no quota in tokens, every
        node is assumed to send as much as this one.
        """
        work = self.state.work
        workspaces = self.state.table.workspaces.values() if self.state.table else ()
        if workspaces and all(one.rate > 0 and one.counts_tokens for one in workspaces):
            speed = self.state.chooser.speed(service)
            report = speed.report(self.state.clock.now(), work.reading(service))
            return units_per_s * report.work.unread_per_unit()
        return work.unread_per_s(service) * self.view.size()

    def sizes(self) -> dict[str, int]:
        """Return the endpoints that each service needs, recorded for a successor."""
        return {plan.service: plan.size() for plan in self.plans.values() if plan.size()}

    async def order_all(
        self,
        lease: records.Lease,
        sizes: Mapping[str, int],
        answered: Callable[[], None],
        may_act: Callable[[], bool],
    ) -> None:
        """Order the planned engines.

        Args:
          sizes: recorded by the previous holder, by service.
          answered: called on each answer of the platform.
          may_act: returns whether this node still holds the lease, as far as it knows.
        Raises:
          PlatformError: a call failed; the remaining orders follow in the next step.
        """
        table = self.state.table
        if table is None or not self.state.registry.endpoints:
            return
        for service in table.services.values():
            if service.scaling is not None and service.name in self.plans:
                self.plans[service.name].take_over(sizes.get(service.name, 0))
                await self._order_for(service.name, service.scaling, lease, answered, may_act)

    async def _order_for(
        self,
        service: str,
        scaling: traffic.Scaling,
        lease: records.Lease,
        answered: Callable[[], None],
        may_act: Callable[[], bool],
    ) -> None:
        plan = self.plans[service]
        plan.regions = self._regions_of(service, scaling)
        rolls = self.rollouts.is_running(service)
        for order in plan.orders(scaling, self.rollouts.serving(service), may_shrink=not rolls):
            if not may_act():
                return
            refused = False
            try:
                await self.cloud.order(lease, order)
                answered()
            except errors.NoneToBeHad:
                refused = True
            except errors.PlatformAnswerLost:
                plan.ordered(order, refused=True)
                raise
            plan.ordered(order, refused)
            self._log(plan, scaling, order, lease, refused)

    def _log(
        self,
        plan: engine_plan.EnginePlan,
        scaling: traffic.Scaling,
        order: records.EngineOrder,
        lease: records.Lease,
        refused: bool,
    ) -> None:
        self.state.log.write(
            "ordered",
            service=order.service,
            data_centre=order.data_centre,
            count=order.count,
            spot=order.spot,
            refused=refused,
            demand=round(plan.demand, 2),
            **engine_gauges.order_fields(plan, scaling, order.data_centre),
            learned=self._speed_report(order.service),
            needed=plan.needed(scaling),
            token=lease.token,
            registry_revision=revisions.shown(self.state.registry.revision),
        )
