"""Plans the VMs of each target from the demand that a region's nodes report."""

import dataclasses

from plumarch.config import state as config_state
from plumarch.core import context, data
from plumarch.fleet import orders, plan
from plumarch.membership import members
from plumarch.node import runs
from plumarch.routing import placement

PEAK_MS = 60_000
"""Window of peak demand."""

RECLAIM_MEMORY_MS = 6 * 3_600_000
"""Window of a class's reclaim rate."""

MUST_NOT_WAIT = frozenset({data.RequestClass.LOOKUP, data.RequestClass.CHAT})
MS_PER_H = 3_600_000


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """A target's demand at a time."""

    at_ms: int
    requests: int
    urgent: int


class Decider:
    """Collects demand, prices and reclaims, and derives the plan."""

    def __init__(
        self,
        ctx: context.Context,
        membership: members.Membership,
        table: runs.RunTable,
        endpoint_placement: placement.Placement,
        config: config_state.ConfigState,
        book: orders.Orders,
    ) -> None:
        self.ctx = ctx
        self.membership = membership
        self.table = table
        self.placement = endpoint_placement
        self.config = config
        self.orders = book
        self.offers: tuple[data.Offer, ...] = ()
        self.samples: dict[str, list[Sample]] = {}
        self.reclaims: list[tuple[int, str, str]] = []

    def own_demand(self) -> list[tuple[str, int, int]]:
        """Return this node's requests by target: all, and the urgent ones."""
        found: dict[str, list[int]] = {}
        for run in self.table.active.values():
            if run.phase not in (runs.Phase.QUEUED, runs.Phase.RUNNING):
                continue
            counts = found.setdefault(run.request.target, [0, 0])
            counts[0] += 1
            counts[1] += run.request.request_class in MUST_NOT_WAIT
        return [(target, total, urgent) for target, (total, urgent) in sorted(found.items())]

    def observe(self) -> None:
        """Add a sample of the region's demand."""
        now = self.ctx.now()
        totals: dict[str, list[int]] = {}
        reports = [self.own_demand()]
        reports += [list(member.demand) for member in self.membership.members.values()]
        for report in reports:
            for target, total, urgent in report:
                counts = totals.setdefault(target, [0, 0])
                counts[0] += total
                counts[1] += urgent
        for target, (total, urgent) in totals.items():
            self.samples.setdefault(target, []).append(Sample(now, total, urgent))
        for target, samples in list(self.samples.items()):
            kept = [s for s in samples if now - s.at_ms <= PEAK_MS]
            self.samples[target] = kept
            if not kept:
                del self.samples[target]

    def demand(self, target: str) -> plan.Demand:
        """Return the peak demand for a target."""
        samples = self.samples.get(target, [])
        requests = max((s.requests for s in samples), default=0)
        urgent = max((s.urgent for s in samples), default=0)
        return plan.Demand(target, float(requests), float(urgent))

    def reclaimed(self, name: str) -> None:
        """Record that a VM was reclaimed."""
        endpoint = self.placement.endpoints.get(name)
        if endpoint is not None:
            self.reclaims.append((self.ctx.now(), endpoint.data_centre, endpoint.vm_class))
            del self.reclaims[:-1_000]

    def _reclaims_per_h(self, offer: data.Offer) -> float:
        """Return the recent hourly reclaims per VM of a class."""
        now = self.ctx.now()
        count = sum(
            1
            for at, centre, name in self.reclaims
            if (centre, name) == (offer.data_centre, offer.name) and now - at <= RECLAIM_MEMORY_MS
        )
        vms = sum(
            1
            for e in self.placement.endpoints.values()
            if (e.data_centre, e.vm_class) == (offer.data_centre, offer.name)
        )
        return count / max(1, vms) / (RECLAIM_MEMORY_MS / MS_PER_H)

    def classes(self) -> list[plan.VmClass]:
        """Return the classes on offer with their reclaim rates."""
        return [
            plan.VmClass(
                offer.name,
                offer.data_centre,
                offer.price,
                offer.capacity,
                offer.reclaimable,
                self._reclaims_per_h(offer),
            )
            for offer in self.offers
        ]

    def vms(self, target: str) -> list[plan.FleetVm]:
        """Return a target's VMs, ordered ones included."""
        found = [
            plan.FleetVm(
                e.name,
                target,
                e.data_centre,
                e.vm_class,
                e.capacity,
                e.price,
                self.placement.load(e.name),
                e.name in self.placement.leaving or e.state is not data.EndpointState.LIVE,
            )
            for _, e in sorted(self.placement.endpoints.items())
            if target in e.targets
        ]
        capacity = {(o.data_centre, o.name): o.capacity for o in self.offers}
        for order in self.orders.pending_starts():
            if order.target != target or order.name in self.placement.endpoints:
                continue
            centre = order.data_centre
            vm_capacity = capacity.get((centre, order.vm_class), 0)
            found.append(
                plan.FleetVm(order.token, target, centre, order.vm_class, vm_capacity, 0.0, 1)
            )
        return found

    def targets(self) -> list[str]:
        """Return the models and services in use."""
        found = set(self.samples)
        for workspace in self.config.workspaces.values():
            found.add(workspace.model)
            found |= set(workspace.services)
        return sorted(found)

    def _centres(self, target: str) -> list[str]:
        """Return the allowed data centres that have offers."""
        sold = {offer.data_centre for offer in self.offers}
        allowed: set[str] = set()
        for workspace in self.config.workspaces.values():
            if target == workspace.model or target in workspace.services:
                allowed |= workspace.data_centres or sold
        return sorted(sold & (allowed or sold))

    def changes(self) -> list[plan.Change]:
        """Return the changes due for all targets."""
        found: list[plan.Change] = []
        refusals = list(self.orders.book.refusals) if self.orders.book else []
        for target in self.targets():
            centres = self._centres(target)
            if not centres:
                continue
            found += plan.plan(
                self.demand(target),
                centres,
                self.classes(),
                self.vms(target),
                refusals,
                self.ctx.now(),
            )
        return found

    def wanted(self) -> list[tuple[str, str, int, int]]:
        """Return rows of target, data centre, wanted and present capacity."""
        rows = []
        for target in self.targets():
            centres = self._centres(target)
            wanted = plan.wanted_capacity(self.demand(target), centres) if centres else {}
            vms = self.vms(target)
            for centre, capacity in wanted.items():
                have = sum(v.capacity for v in vms if v.data_centre == centre and not v.leaving)
                rows.append((target, centre, capacity, have))
        return rows
