"""Decides which VMs to start and release for a target.

Capacity covers all demand with headroom, and urgent demand after the loss of one data centre.
"""

import dataclasses
import math

HEADROOM = 1.2
"""Capacity per concurrent request."""

LOSS_HEADROOM = 1.1
"""Capacity per urgent concurrent request after the loss of a data centre."""

IDLE_SHARE = 0.7
"""A VM is released only if demand is below this fraction of the remaining capacity."""

RECLAIM_COST_H = 0.15
"""Cost of a reclaim in hours of the VM's price."""

COOLDOWN_MS = 30_000
COOLDOWN_LIMIT_MS = 600_000


@dataclasses.dataclass(frozen=True, slots=True)
class VmClass:
    """A class of VMs that the cloud sells in a data centre."""

    name: str
    data_centre: str
    price: float
    capacity: int
    reclaimable: bool
    reclaims_per_h: float = 0.0

    def effective_price(self) -> float:
        """Return the hourly price per concurrent request, reclaims included."""
        loss = self.reclaims_per_h * RECLAIM_COST_H if self.reclaimable else 0.0
        return self.price * (1.0 + loss) / self.capacity


@dataclasses.dataclass(frozen=True, slots=True)
class FleetVm:
    """A VM of a target, running or ordered."""

    name: str
    target: str
    data_centre: str
    vm_class: str
    capacity: int
    price: float
    load: int = 0
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Concurrent requests of a target: all, and the urgent ones."""

    target: str
    requests: float
    urgent: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Consecutive refused starts of a VM class."""

    data_centre: str
    vm_class: str
    count: int
    last_ms: int

    def until_ms(self) -> int:
        """Return when the class may be ordered again."""
        doublings = max(0, min(self.count - 1, 10))
        wait = COOLDOWN_MS << doublings
        return self.last_ms + min(COOLDOWN_LIMIT_MS, wait)


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Start a VM."""

    target: str
    data_centre: str
    vm_class: str
    why: str


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Release a VM."""

    name: str
    why: str


Change = Start | Release


def wanted_capacity(demand: Demand, centres: list[str]) -> dict[str, int]:
    """Return the wanted capacity by data centre."""
    count = len(centres)
    each = demand.requests * HEADROOM / count
    if count > 1:
        each = max(each, demand.urgent * LOSS_HEADROOM / (count - 1))
    return {centre: math.ceil(each) for centre in centres}


def plan(
    demand: Demand,
    centres: list[str],
    classes: list[VmClass],
    vms: list[FleetVm],
    refusals: list[Refusal],
    now: int,
) -> list[Change]:
    """Return the starts and releases due for one target.

    Args:
      centres: reachable data centres that the target may use.
      vms: the target's, ordered ones included.
      now: in milliseconds.
    """
    wanted = wanted_capacity(demand, centres)
    missing = 0
    changes: list[Change] = []
    for centre in centres:
        centre_vms = [vm for vm in vms if vm.data_centre == centre and not vm.leaving]
        capacity = sum(vm.capacity for vm in centre_vms)
        if capacity < wanted[centre]:
            started, left = _starts(
                demand.target, centre, wanted[centre] - capacity, classes, refusals, now
            )
            changes += started
            missing += left
        else:
            changes += _releases(wanted[centre], centre_vms)
    if missing:
        changes += _starts_elsewhere(demand.target, centres, missing, classes, refusals, now)
    return changes


def _open_classes(
    centre: str, classes: list[VmClass], refusals: list[Refusal], now: int
) -> list[VmClass]:
    """Return the available classes of a data centre, cheapest first."""
    closed = {
        (refusal.data_centre, refusal.vm_class) for refusal in refusals if now < refusal.until_ms()
    }
    found = [c for c in classes if c.data_centre == centre and (centre, c.name) not in closed]
    return sorted(found, key=lambda c: (c.effective_price(), c.name))


def _starts(
    target: str,
    centre: str,
    capacity: int,
    classes: list[VmClass],
    refusals: list[Refusal],
    now: int,
) -> tuple[list[Change], int]:
    """Return starts for missing capacity, and the capacity without an available class."""
    open_classes = _open_classes(centre, classes, refusals, now)
    if not open_classes:
        return [], capacity
    cheapest = open_classes[0]
    count = math.ceil(capacity / cheapest.capacity)
    why = f"capacity for {capacity} requests missing in {centre}; cheapest available class"
    return [Start(target, centre, cheapest.name, why)] * count, 0


def _starts_elsewhere(
    target: str,
    centres: list[str],
    capacity: int,
    classes: list[VmClass],
    refusals: list[Refusal],
    now: int,
) -> list[Change]:
    """Return starts in any data centre for capacity unavailable in its own."""
    options = [c for centre in centres for c in _open_classes(centre, classes, refusals, now)]
    if not options:
        return []
    best = min(options, key=lambda c: (c.effective_price(), c.data_centre, c.name))
    count = math.ceil(capacity / best.capacity)
    why = f"capacity for {capacity} requests unavailable in its own data centre"
    return [Start(target, best.data_centre, best.name, why)] * count


def _releases(wanted: int, centre_vms: list[FleetVm]) -> list[Change]:
    """Return at most one release: the most expensive idle VM."""
    capacity = sum(vm.capacity for vm in centre_vms)
    for vm in sorted(centre_vms, key=lambda vm: (vm.load, -vm.price, vm.name)):
        left = capacity - vm.capacity
        if vm.load == 0 and left > 0 and wanted <= left * IDLE_SHARE:
            return [Release(vm.name, f"capacity {wanted} wanted, {capacity} running or ordered")]
    return []
