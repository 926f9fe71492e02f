"""Plans the spot and firm endpoints of a service in each data centre.

Demand runs on spot endpoints spread over all data centres; firm ones are ordered only while too few
are left and spot ones are refused. Orders are absolute counts and thus idempotent.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping

from plumarch.core import clock, records, traffic
from plumarch.fleet import engine_firm, engine_pools, engine_regions, region_demand

MIN_READY_FRACTION = 0.85
"""Fraction of the needed endpoints below which firm ones are ordered: the others still serve most
requests in time, and a firm one costs several times as much as a spot one."""

LOST_AT_ONCE = 1.5
"""Number of data centres whose loss leaves enough spot endpoints; more than one, since further ones
may be reclaimed while firm endpoints boot."""

LOST_WHILE_REFUSED = 2
"""Data centres that may be reclaimed while a firm endpoint boots and spot ones are refused."""

REPEAT_MS = 1_500
"""Interval at which a refused order is repeated."""

BOOT_MARGIN_MS = 1_500.0
DEMAND_DECAY = 0.85
"""Weight of the past in falling demand, per sample of a second; it lags a wave of 40 s by some
6 s."""

DEMAND_RISE = 0.75
"""Weight of the past in rising demand; lower, since a shortage costs more than a surplus."""

DEMAND_SAMPLES = 3
"""Samples after which the demand is known."""

NO_SHRINK_SAMPLES = 10
"""Samples during which a new holder shrinks nothing: callers return gradually after an outage."""

SETTLE_MS = 1_000
"""Delay of the first order, while existing endpoints register."""

INITIAL_WINDOW_MS = 4_000
"""Endpoints that register within this time of the plan's start are the initial ones."""

REGISTRATION_QUIET_MS = 900
"""At the first start, no order is sent until no endpoint has registered for this time, so that all
are counted."""

SHRINK_MARGIN = 0.8
"""The plan shrinks below this fraction of what the endpoints carry."""


@dataclasses.dataclass(slots=True)
class EnginePlan:
    """The plan for one service.

    Attributes:
      first_start: whether the system starts for the first time, so that firm endpoints may be
        released before spot ones run.
      initial_endpoints: names at the first start.
      initial_count: their number, or what the previous holder needed; in force until the demand is
        known.
      running_count: endpoints needed by what ran when this plan started; in force if neither
        demand nor initial_count is known.
      demand: endpoints that all requests need, smoothed.
      sized_for: endpoints that the demand needed last.
      last_new_ms: when an initial endpoint registered last.
      spot_placement: spot endpoints wanted last, by data centre.
    """

    clock: clock.Clock
    service: str
    first_start: bool = False
    initial_endpoints: set[str] = dataclasses.field(default_factory=set)
    initial_count: int = 0
    running_count: int = 0
    demand: float = 0.0
    samples: int = 0
    sized_for: int = 0
    began_ms: int | None = None
    last_new_ms: int = 0
    last_orders: dict[engine_pools.Pool, engine_pools.LastOrder] = dataclasses.field(
        default_factory=dict
    )
    regions: region_demand.RegionView = region_demand.ONE_REGION
    spot_placement: dict[str, int] = dataclasses.field(default_factory=dict)

    def sample_demand(
        self, engines: float, speed_known: bool = True, fleet_reachable: bool = True
    ) -> None:
        """Add a sample of the endpoints needed.

        Args:
          speed_known: if not, the demand may be higher.
          fleet_reachable: whether nearly all nodes report; if not, the demand only rises.
        """
        if engines > 0 and speed_known and fleet_reachable:
            self.samples += 1
            if self.samples == 1:
                # The first sample counts in full: there is no earlier demand to smooth with.
                self.demand = max(self.demand, engines)
        if engines <= self.demand and not fleet_reachable:
            return
        past = DEMAND_RISE if engines > self.demand else DEMAND_DECAY
        self.demand = past * self.demand + (1.0 - past) * engines

    def reset_demand(self) -> None:
        """Reset the demand, since this node no longer receives the fleet's reports."""
        self.samples = 0
        self.demand = 0.0
        self.sized_for = 0
        if self.began_ms is not None and self.clock.now() - self.began_ms >= INITIAL_WINDOW_MS:
            self.initial_endpoints.clear()

    def take_over(self, size: int) -> None:
        """Apply the size of the previous holder until this node knows the demand."""
        self.initial_count = max(self.initial_count, size)

    def size(self) -> int:
        """Return the endpoints needed, before limits."""
        return max(
            self.sized_for, 0 if self._demand_known() else self.initial_count or self.running_count
        )

    def _demand_known(self) -> bool:
        return self.samples >= DEMAND_SAMPLES

    def needed(self, scaling: traffic.Scaling) -> int:
        """Return the endpoints needed, within limits."""
        self._follow_demand()
        centres = len(scaling.prices)
        maximum = scaling.maximum * centres
        # Over regions a request may be served remotely, so minimums are not needs.
        minimum = 1 if self._over_regions(scaling) else max(1, scaling.minimum) * centres
        return min(maximum, max(minimum, self.size()))

    def _over_regions(self, scaling: traffic.Scaling) -> bool:
        return self.regions.are_several(scaling.prices)

    def _lost_at_once(self) -> float:
        """Return how many lost data centres to cover; 0 while initial demand is unknown."""
        return LOST_AT_ONCE if self._demand_known() or not self.initial_endpoints else 0.0

    def spot_wanted(self, scaling: traffic.Scaling) -> int:
        """Return the spot endpoints wanted, reserve included."""
        needed = self.needed(scaling)
        centres = len(scaling.prices)
        left = max(1.0, centres - self._lost_at_once())
        reserved = math.ceil(needed / left) * centres
        return min(scaling.maximum * centres, reserved)

    def _follow_demand(self) -> None:
        """Adapt the size to the demand, shrinking only beyond SHRINK_MARGIN."""
        if self.demand > self.sized_for:
            self.sized_for = math.ceil(self.demand)
        elif self.demand < SHRINK_MARGIN * (self.sized_for - 1):
            self.sized_for = math.ceil(self.demand / SHRINK_MARGIN)

    def wanted(
        self, scaling: traffic.Scaling, ready: Mapping[engine_pools.Pool, int]
    ) -> dict[engine_pools.Pool, int]:
        """Return the wanted counts by pool."""
        spot = self._spot_counts(scaling, ready)
        if self._refusing_centres() or self._keeps_running():
            # A released endpoint could not be replaced, or may still be needed.
            spot = {
                name: max(spot[name], ready.get(engine_pools.Pool(name, True), 0)) for name in spot
            }
        self.spot_placement = spot
        wanted = {engine_pools.Pool(name, True): count for name, count in spot.items()}
        firm = self._firm_wanted(scaling, ready)
        firm = engine_regions.retain_running(self.regions, firm, False, ready, self.last_orders)
        for name, count in firm.items():
            wanted[engine_pools.Pool(name, False)] = count
        return wanted

    def _spot_counts(
        self, scaling: traffic.Scaling, ready: Mapping[engine_pools.Pool, int]
    ) -> dict[str, int]:
        if not self._over_regions(scaling):
            return engine_pools.spread(self.spot_wanted(scaling), scaling)
        known = self.regions if self._demand_known() else self.regions.without_shares()
        needed, lost, refused = self.needed(scaling), self._lost_at_once(), self._refusing_centres()
        next_loss = engine_regions.Loss(math.ceil(MIN_READY_FRACTION * needed), LOST_WHILE_REFUSED)
        counts = engine_regions.spot_counts(scaling, known, needed, lost, refused, next_loss)
        counts = engine_regions.retain_running(self.regions, counts, True, ready, self.last_orders)
        return engine_regions.release_after_replacement(
            counts, ready, self._spot_by_centre(scaling, ready)
        )

    def _keeps_running(self) -> bool:
        """Return whether running endpoints are kept for lack of samples."""
        return not self.initial_endpoints and self.samples < NO_SHRINK_SAMPLES

    def _firm_wanted(
        self, scaling: traffic.Scaling, ready: Mapping[engine_pools.Pool, int]
    ) -> dict[str, int]:
        """Return firm counts: the shortfall below MIN_READY_FRACTION, where it is cheapest.

        Booting spot endpoints count; running firm ones stay until those are ready. While spot
        orders are refused, firm ones cover the next losses too.
        """
        if self._is_initial_start(ready):
            return self._initial_firm(scaling, ready)
        needed = self.needed(scaling)
        spot_ready = sum(count for pool, count in ready.items() if pool.spot)
        firm_ready = sum(count for pool, count in ready.items() if not pool.spot)
        shortfall = math.ceil(MIN_READY_FRACTION * needed) - sum(
            self._spot_in_time(scaling, ready).values()
        )
        retained = firm_ready if self._keeps_running() else min(firm_ready, needed - spot_ready)
        hedge = self._shortage_after_losses(scaling, ready) if self._refusing_centres() else 0
        shortfall = max(shortfall, retained, hedge, 0)
        spot = self._spot_in_time(scaling, ready)
        return engine_firm.spread(scaling, self.regions, needed, shortfall, ready, spot)

    def _shortage_after_losses(
        self, scaling: traffic.Scaling, ready: Mapping[engine_pools.Pool, int]
    ) -> int:
        """Return the shortfall after further losses."""
        spot = [count for pool, count in ready.items() if pool.spot]
        if self._over_regions(scaling):
            # Spot endpoints ordered as replacements boot as fast as firm ones.
            spot = list(self._spot_in_time(scaling, ready).values())
        left = sum(sorted(spot, reverse=True)[LOST_WHILE_REFUSED:])
        return math.ceil(MIN_READY_FRACTION * self.needed(scaling)) - left

    def _initial_firm(
        self, scaling: traffic.Scaling, ready: Mapping[engine_pools.Pool, int]
    ) -> dict[str, int]:
        """Return firm counts at the first start: the minimum, then none.

        The platform's minimum covers both kinds, so a spot order comes first.
        """
        counts = {}
        for name in scaling.prices:
            replaced = engine_pools.Pool(name, True) in self.last_orders
            counts[name] = (
                0
                if replaced
                else min(scaling.minimum, ready.get(engine_pools.Pool(name, False), 0))
            )
        return counts

    def _spot_by_centre(
        self, scaling: traffic.Scaling, ready: Mapping[engine_pools.Pool, int]
    ) -> dict[str, int]:
        """Return the spot endpoints that are ready, or ordered and not overdue."""
        pending = {
            pool.data_centre: last.count
            for pool, last in self.last_orders.items()
            if pool.spot and not last.refused and not self._overdue(last, scaling)
        }
        found = {}
        for name in scaling.prices:
            count = ready.get(engine_pools.Pool(name, True), 0)
            found[name] = max(count, pending.get(name, 0))
        return found

    def _spot_in_time(
        self, scaling: traffic.Scaling, ready: Mapping[engine_pools.Pool, int]
    ) -> dict[str, int]:
        """Return the spot endpoints that are ready before new firm ones could be."""
        found = self._spot_by_centre(scaling, ready)
        if self._over_regions(scaling):
            return engine_regions.with_new_orders(found, self.spot_placement, self.last_orders)
        return found

    def _refusing_centres(self) -> frozenset[str]:
        """Return where spot orders were refused recently."""
        now = self.clock.now()
        return frozenset(
            pool.data_centre
            for pool, last in self.last_orders.items()
            if last.refused and pool.spot and now - last.at_ms < 2 * REPEAT_MS
        )

    def _overdue(self, last: engine_pools.LastOrder, scaling: traffic.Scaling) -> bool:
        return self.clock.now() - last.at_ms >= scaling.boot_ms + BOOT_MARGIN_MS

    def orders(
        self,
        scaling: traffic.Scaling,
        endpoints: Iterable[traffic.Endpoint],
        may_shrink: bool = True,
    ) -> list[records.EngineOrder]:
        """Return the orders that are due now, releases first.

        Args:
          may_shrink: false during a roll-out, since an order names no version.
        """
        ready = engine_pools.ready(self.service, endpoints)
        if not self._settled():
            return []
        due = []
        for pool, count in self.wanted(scaling, ready).items():
            if self._is_due(pool, count, ready.get(pool, 0), scaling):
                due.append(records.EngineOrder(self.service, pool.data_centre, count, pool.spot))
        fewer = {
            one: one.count < ready.get(engine_pools.Pool(one.data_centre, one.spot), 0)
            for one in due
        }
        due = [one for one in due if may_shrink or not fewer[one]]
        return sorted(due, key=lambda one: (not fewer[one], not one.spot, one.data_centre))

    def observe_endpoints(self, endpoints: Iterable[traffic.Endpoint]) -> None:
        """Record the initial endpoints of the first start, or those that run at a later one.

        At the first start firm endpoints count in any state: some may be released already.
        """
        now = self.clock.now()
        if self.began_ms is None:
            self.began_ms = now
        if now - self.began_ms >= INITIAL_WINDOW_MS:
            return
        if not self.first_start:
            self._count_running(endpoints)
            return
        for one in endpoints:
            is_new = one.stable_name() not in self.initial_endpoints
            if one.service == self.service and not one.spot and is_new:
                self.initial_endpoints.add(one.stable_name())
                self.last_new_ms = now
        self.initial_count = max(self.initial_count, len(self.initial_endpoints))

    def _count_running(self, endpoints: Iterable[traffic.Endpoint]) -> None:
        """Estimate the need from the running endpoints, less the reserve."""
        ready = engine_pools.ready(self.service, endpoints)
        centres = len({pool.data_centre for pool in ready})
        left = max(1.0, centres - LOST_AT_ONCE)
        retained = round(sum(ready.values()) * left / max(1, centres))
        self.running_count = max(self.running_count, retained)

    def _settled(self) -> bool:
        """Return whether endpoints had time to register."""
        if self.began_ms is None:
            return False
        now = self.clock.now()
        registering = self.first_start and now - self.began_ms < INITIAL_WINDOW_MS
        if registering and now - self.last_new_ms < REGISTRATION_QUIET_MS:
            return False
        return now - self.began_ms >= SETTLE_MS

    def _is_initial_start(self, ready: Mapping[engine_pools.Pool, int]) -> bool:
        """Return whether firm endpoints may go at once."""
        if not self.first_start or self.demand > 0:
            return False
        if any(last.refused for last in self.last_orders.values()):
            return False
        return not any(pool.spot for pool in ready)

    def _is_due(
        self, pool: engine_pools.Pool, wanted: int, ready: int, scaling: traffic.Scaling
    ) -> bool:
        last = self.last_orders.get(pool)
        if last is None:
            return wanted != ready
        waits = last.refused and self.clock.now() - last.at_ms < REPEAT_MS
        if last.count != wanted:
            return not (waits and wanted > last.count)
        last.max_ready = max(last.max_ready, ready)
        if ready < last.max_ready and not last.refused:
            # Endpoints were lost after the order: don't wait until it is overdue.
            return ready < wanted
        if wanted == ready:
            last.refused = False
            return False
        if last.refused:
            return self.clock.now() - last.at_ms >= REPEAT_MS
        return self._overdue(last, scaling)

    def ordered(self, order: records.EngineOrder, refused: bool) -> None:
        """Record an order and whether it was refused."""
        pool = engine_pools.Pool(order.data_centre, order.spot)
        self.last_orders[pool] = engine_pools.LastOrder(order.count, self.clock.now(), refused)
