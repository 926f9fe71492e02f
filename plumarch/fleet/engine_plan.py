"""How many endpoints of a service are wanted where, firm or reclaimable.

The plan: carry the demand on reclaimable endpoints spread over all data centres, so that the
loss of one leaves the others; hold firm ones only while fewer than a floor are left and
reclaimable ones can't be had. Orders are counts, so that one that is repeated, late or lost
does no harm: what lives is compared with what is wanted, and ordered again where it differs.

Who doesn't know the demand lets nothing go: a node that has just begun to hear the fleet sees
hardly any of its requests. It holds what the holder before it needed, or else what runs.

Where data centres lie in several regions, fleet/engine_regions says how many go where.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping

from plumarch.core import clock, records, traffic
from plumarch.fleet import engine_firm, engine_pools, engine_regions, region_demand

MIN_READY_FRACTION = 0.85
"""Part of the needed endpoints below which firm ones are ordered: those that are left serve most
of the requests in time, and a firm one costs several times as much (measured:
docs/design/capacity-plan.md)."""

LOST_AT_ONCE = 1.5
"""Data centres whose loss leaves as many reclaimable endpoints as are needed. Others are reclaimed
3 s after the first one, and firm ones come after 4 s: for a moment a second one is missing too."""

LOST_WHILE_REFUSED = 2
"""Data centres that are reclaimed within the time in which a firm endpoint boots, while reclaimable
ones are refused everywhere: they went 1.1 to 3.1 s apart where a boot takes 4 s. Covering one
instead cost 0.05 of the worth of such a day (0.564 and 0.516, one play each)."""

REPEAT_MS = 1_500
"""An order that was refused or not met is given again after this time."""

BOOT_MARGIN_MS = 1_500.0
DEMAND_DECAY = 0.85
"""Weight of the past in the demand when it falls, at each sample of a second: it follows a wave of
40 s by 6 s. By 0.92 a day of such waves paid 5 in 100 more for engines (one play each)."""

DEMAND_RISE = 0.75
"""Weight of the past in the demand when it rises: a shortage costs more than a surplus."""

DEMAND_SAMPLES = 3
"""Seconds with requests and a known speed after which the demand is known. A judgement: one second
of a few hundred requests varies by a tenth, and data centres are reclaimed from 5 s on."""

NO_SHRINK_SAMPLES = 10
"""Seconds for which a node that begins to hear the fleet lets nothing go: callers and nodes come
back for some seconds after trouble, and what runs meanwhile costs little. A judgement."""

SETTLE_MS = 1_000
"""Before the first order, the endpoints that are there have time to be told."""

INITIAL_WINDOW_MS = 4_000
"""Endpoints told within this time of the plan's begin were there at first."""

REGISTRATION_QUIET_MS = 900
"""At the first start, endpoints tell themselves one after the other: all are known once none was
news for this time. One that is let go before it told itself would never be counted."""

SHRINK_MARGIN = 0.8
"""Fewer endpoints are wanted once the demand is below this part of what they carry."""


@dataclasses.dataclass(slots=True)
class EnginePlan:
    """The plan for one service.

    Attributes:
      first_start: whether the whole system starts for the first time: nothing runs yet, so
        that firm endpoints may go before the reclaimable ones have come.
      initial_endpoints: endpoints that were there at the first start.
      initial_count: how many those were, or how many the last holder needed; as many are needed
        until the demand is known.
      found: endpoints that ran when the plan of a later start began, in place of the former
        two where neither is known.
      demand: endpoints that the requests of all nodes ask for, smoothed.
      samples: how many seconds of demand were taken in without a break.
      sized_for: endpoints that the demand asked for last.
      began_ms: when the plan began.
      last_new_ms: when an endpoint of the first start was told last.
      regions: where the demand arises; set by who samples it.
      placed: reclaimable endpoints that were wanted last, by data centre.
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
        """Take in the endpoints that the last second asked for; it rises faster than it falls.

        Args:
          speed_known: whether the engines' speed is known; until then the demand may be more.
          fleet_reachable: whether nearly all nodes report; if not, the demand only rises.
        """
        if engines > 0 and speed_known and fleet_reachable:
            self.samples += 1
            if self.samples == 1:
                # Nothing is known before it that the demand would have to rise from.
                self.demand = max(self.demand, engines)
        if engines <= self.demand and not fleet_reachable:
            return
        past = DEMAND_RISE if engines > self.demand else DEMAND_DECAY
        self.demand = past * self.demand + (1.0 - past) * engines

    def reset_demand(self) -> None:
        """Note that this node does not hear of the fleet's requests any more.

        What it heard before is no measure for what it hears when that begins again.
        """
        self.samples = 0
        self.demand = 0.0
        self.sized_for = 0
        if self.began_ms is not None and self.clock.now() - self.began_ms >= INITIAL_WINDOW_MS:
            self.initial_endpoints.clear()

    def take_over(self, size: int) -> None:
        """Take in what the holder before needed, until this node knows the demand itself."""
        self.initial_count = max(self.initial_count, size)

    def size(self) -> int:
        """Return how many endpoints are needed by what is known, within no limits."""
        return max(
            self.sized_for, 0 if self._demand_known() else self.initial_count or self.running_count
        )

    def _demand_known(self) -> bool:
        return self.samples >= DEMAND_SAMPLES

    def needed(self, scaling: traffic.Scaling) -> int:
        """Return how many endpoints the demand asks for."""
        self._follow_demand()
        centres = len(scaling.prices)
        maximum = scaling.maximum * centres
        # Over regions a request may be served elsewhere: the least of each is no need of its own.
        minimum = 1 if self._over_regions(scaling) else max(1, scaling.minimum) * centres
        return min(maximum, max(minimum, self.size()))

    def _over_regions(self, scaling: traffic.Scaling) -> bool:
        return self.regions.are_several(scaling.prices)

    def _lost_at_once(self) -> float:
        """Return the loss to cover; none before the demand is known at the first start."""
        return LOST_AT_ONCE if self._demand_known() or not self.initial_endpoints else 0.0

    def spot_wanted(self, scaling: traffic.Scaling) -> int:
        """Return how many reclaimable endpoints are wanted: what is needed, and a reserve."""
        needed = self.needed(scaling)
        centres = len(scaling.prices)
        left = max(1.0, centres - self._lost_at_once())
        reserved = math.ceil(needed / left) * centres
        return min(scaling.maximum * centres, reserved)

    def _follow_demand(self) -> None:
        """Size the service for the demand; it shrinks only by a clear margin."""
        if self.demand > self.sized_for:
            self.sized_for = math.ceil(self.demand)
        elif self.demand < SHRINK_MARGIN * (self.sized_for - 1):
            self.sized_for = math.ceil(self.demand / SHRINK_MARGIN)

    def wanted(
        self, scaling: traffic.Scaling, ready: Mapping[engine_pools.Pool, int]
    ) -> dict[engine_pools.Pool, int]:
        """Return the wanted counts by place, given those that are ready."""
        spot = self._spot_counts(scaling, ready)
        if self._refused_lately() or self._keeps_running():
            # One that is let go now could not be had back, or may be needed.
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
        """Return reclaimable counts by data centre, spread evenly or by region."""
        if not self._over_regions(scaling):
            return engine_pools.spread(self.spot_wanted(scaling), scaling)
        known = self.regions if self._demand_known() else self.regions.without_shares()
        needed, lost, refused = self.needed(scaling), self._lost_at_once(), self._refused_lately()
        next_loss = engine_regions.Loss(math.ceil(MIN_READY_FRACTION * needed), LOST_WHILE_REFUSED)
        counts = engine_regions.spot_counts(scaling, known, needed, lost, refused, next_loss)
        counts = engine_regions.retain_running(self.regions, counts, True, ready, self.last_orders)
        return engine_regions.release_after_replacement(
            counts, ready, self._spot_by_centre(scaling, ready)
        )

    def _keeps_running(self) -> bool:
        """Return whether endpoints that run are kept whatever the plan says.

        Without this, a member that turned coordinator after most nodes had lost power shrank a
        fleet that served 220 requests a second to six endpoints.
        """
        return not self.initial_endpoints and self.samples < NO_SHRINK_SAMPLES

    def _firm_wanted(
        self, scaling: traffic.Scaling, ready: Mapping[engine_pools.Pool, int]
    ) -> dict[str, int]:
        """Return firm counts: what lacks of the floor, in the cheapest places with room.

        Reclaimable endpoints that are coming make new firm ones needless; those that run stay
        until the others have come. While reclaimable ones are refused, firm ones are held for
        those that are reclaimed sooner than others boot.
        """
        if self._is_initial_start(ready):
            return self._initial_firm(scaling, ready)
        needed = self.needed(scaling)
        spot_ready = sum(count for pool, count in ready.items() if pool.spot)
        firm_ready = sum(count for pool, count in ready.items() if not pool.spot)
        lacking = math.ceil(MIN_READY_FRACTION * needed) - sum(
            self._spot_in_time(scaling, ready).values()
        )
        kept = firm_ready if self._keeps_running() else min(firm_ready, needed - spot_ready)
        hedge = self._shortage_after_losses(scaling, ready) if self._refused_lately() else 0
        lacking = max(lacking, kept, hedge, 0)
        spot = self._spot_in_time(scaling, ready)
        return engine_firm.spread(scaling, self.regions, needed, lacking, ready, spot)

    def _shortage_after_losses(
        self, scaling: traffic.Scaling, ready: Mapping[engine_pools.Pool, int]
    ) -> int:
        """Return how many firm endpoints are lacking once further data centres are reclaimed."""
        spot = [count for pool, count in ready.items() if pool.spot]
        if self._over_regions(scaling):
            # Reclaimable ones were ordered in place of the lost ones, and boot as fast.
            spot = list(self._spot_in_time(scaling, ready).values())
        left = sum(sorted(spot, reverse=True)[LOST_WHILE_REFUSED:])
        return math.ceil(MIN_READY_FRACTION * self.needed(scaling)) - left

    def _initial_firm(
        self, scaling: traffic.Scaling, ready: Mapping[engine_pools.Pool, int]
    ) -> dict[str, int]:
        """Return firm counts while nothing runs: the least, then none.

        The platform holds both kinds together to the minimum, so that the last firm one can
        go only once reclaimable ones are ordered in its place.
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
        """Return the reclaimable endpoints that are ready, or ordered and not yet overdue."""
        coming = {
            pool.data_centre: last.count
            for pool, last in self.last_orders.items()
            if pool.spot and not last.refused and not self._overdue(last, scaling)
        }
        found = {}
        for name in scaling.prices:
            count = ready.get(engine_pools.Pool(name, True), 0)
            found[name] = max(count, coming.get(name, 0))
        return found

    def _spot_in_time(
        self, scaling: traffic.Scaling, ready: Mapping[engine_pools.Pool, int]
    ) -> dict[str, int]:
        """Return the reclaimable endpoints that are there as soon as firm ones could be."""
        found = self._spot_by_centre(scaling, ready)
        if self._over_regions(scaling):
            return engine_regions.with_new_orders(found, self.spot_placement, self.last_orders)
        return found

    def _refused_lately(self) -> frozenset[str]:
        """Return the data centres that had no reclaimable endpoints lately."""
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
        """Return the orders that are due now, first those that make room.

        Args:
          may_shrink: whether endpoints may be let go; not while a roll-out runs, since an order
            does not say of which version.
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
        """Learn how many endpoints the operators gave the service at the first start, or run.

        Firm ones count in any state: those that this plan lets go while others are still being
        told were given all the same.
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
            is_new = one.called() not in self.initial_endpoints
            if one.service == self.service and not one.spot and is_new:
                self.initial_endpoints.add(one.called())
                self.last_new_ms = now
        self.initial_count = max(self.initial_count, len(self.initial_endpoints))

    def _count_running(self, endpoints: Iterable[traffic.Endpoint]) -> None:
        """Learn how many endpoints are needed from those that run, without the reserve in them."""
        ready = engine_pools.ready(self.service, endpoints)
        centres = len({pool.data_centre for pool in ready})
        left = max(1.0, centres - LOST_AT_ONCE)
        kept = round(sum(ready.values()) * left / max(1, centres))
        self.running_count = max(self.running_count, kept)

    def _settled(self) -> bool:
        """Return whether the endpoints had time to be told, so that orders may be given."""
        if self.began_ms is None:
            return False
        now = self.clock.now()
        learns = self.first_start and now - self.began_ms < INITIAL_WINDOW_MS
        if learns and now - self.last_new_ms < REGISTRATION_QUIET_MS:
            return False
        return now - self.began_ms >= SETTLE_MS

    def _is_initial_start(self, ready: Mapping[engine_pools.Pool, int]) -> bool:
        """Return whether firm endpoints may go at once: first start, no demand, none refused."""
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
            # Some were lost since. Waiting until the order was overdue, which was given a second
            # before a data centre was reclaimed, let 4 s pass without a firm one in their place.
            return ready < wanted
        if wanted == ready:
            last.refused = False
            return False
        if last.refused:
            return self.clock.now() - last.at_ms >= REPEAT_MS
        return self._overdue(last, scaling)

    def ordered(self, order: records.EngineOrder, refused: bool) -> None:
        """Note an order that was given, and whether the platform had none."""
        pool = engine_pools.Pool(order.data_centre, order.spot)
        self.last_orders[pool] = engine_pools.LastOrder(order.count, self.clock.now(), refused)
