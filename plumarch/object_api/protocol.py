"""The interface of the platform, and the types of its calls."""

from typing import Protocol

import msgspec

from plumarch.core import data


class Object(msgspec.Struct, frozen=True):
    """An object read from the platform."""

    name: str
    version: int
    value: bytes


class Change(msgspec.Struct, frozen=True):
    """The answer to a watch: the current revision, and the names that changed."""

    revision: int
    names: list[str]


class Vm(msgspec.Struct, frozen=True):
    """A line of the platform's VM list.

    Attributes:
      role: "entry", "engine" or "service".
      address: base URL of an endpoint, or IP:port of an entry node's peer listener.
      state: "live" or "leaving".
    """

    name: str
    data_centre: str
    role: str
    address: str
    targets: list[str] = []
    capacity: int = 8
    vm_class: str = "standard"
    price: float = 1.0
    checks_fencing: bool = False
    reclaimable: bool = True
    state: str = "live"
    leaves_in_ms: int = 0


class VmList(msgspec.Struct, frozen=True):
    """The VM list; gone lists node incarnations that no longer exist."""

    vms: list[Vm]
    gone: list[str] = []


class Notice(msgspec.Struct, frozen=True):
    """A reclaim notice of the cloud."""

    number: int
    names: list[str]
    left_ms: int


class Order(msgspec.Struct, frozen=True):
    """An order to the cloud; orders with the same token are carried out once.

    Attributes:
      start: whether to start a VM, or else to release the named one.
      fencing_token: the cloud rejects an order with a lower token than it has seen.
    """

    token: str
    start: bool
    name: str
    target: str
    data_centre: str
    vm_class: str
    fencing_token: int


class OrderAnswer(msgspec.Struct, frozen=True):
    """The cloud's answer: "done", "refused" or "fenced"; name is a started VM's."""

    status: str
    name: str = ""


class Platform(Protocol):
    """The platform's services. Every call may raise PlatformUnavailable.

    Writes may raise PlatformAnswerLost: the write may have taken effect.
    """

    async def get(self, name: str) -> Object:
        """Read an object. Raises PlatformAbsent."""
        ...

    async def put(self, name: str, value: bytes, expected_version: int) -> int:
        """Write an object at an expected version (0: absent). Raises PlatformConflict."""
        ...

    async def watch(self, prefix: str, since: int, wait_ms: int) -> Change:
        """Wait for changes of objects after a revision. Raises PlatformRevisionExpired."""
        ...

    async def vms(self) -> VmList | None:
        """Read the VM list, which may be stale; None if it has not changed since the last read."""
        ...

    async def order(self, order: Order) -> OrderAnswer:
        """Send an order to the cloud; the same token is never carried out twice."""
        ...

    async def offers(self) -> list[data.Offer]:
        """Read the VM classes that the cloud sells, with data centre and price."""
        ...

    async def notices(self, since: int) -> list[Notice]:
        """Read the reclaim notices after a number."""
        ...


def endpoints_of(listed: VmList) -> tuple[data.Endpoint, ...]:
    """Return the endpoints of a VM list."""
    kinds = {"engine": data.EndpointKind.ENGINE, "service": data.EndpointKind.SERVICE}
    return tuple(
        data.Endpoint(
            vm.name,
            vm.data_centre,
            kinds[vm.role],
            vm.address,
            tuple(vm.targets),
            vm.capacity,
            vm.vm_class,
            vm.price,
            vm.checks_fencing,
            vm.reclaimable,
            data.EndpointState(vm.state),
            vm.leaves_in_ms,
        )
        for vm in listed.vms
        if vm.role in kinds
    )
