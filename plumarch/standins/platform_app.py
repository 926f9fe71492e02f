"""HTTP stand-in for the platform."""

import asyncio
import dataclasses
import random
import time
from typing import Any

import msgspec
from litestar import Litestar, Request, Response, get, post, put
from litestar.handlers import HTTPRouteHandler

from plumarch.core import data, hashing
from plumarch.object_api import protocol
from plumarch.standins import objects

AnyRequest = Request[Any, Any, Any]
WEIGHT_LOADS_PER_S = 2.0
MAX_NOTICES = 100
MAX_GONE = 500


class FaultChange(msgspec.Struct, frozen=True):
    """Faults by field of objects.Faults, and the number of VM starts to refuse."""

    faults: dict[str, bool | float | int] = {}
    refused_starts: int | None = None


class VmChange(msgspec.Struct, frozen=True):
    """VMs to add to and remove from the VM list."""

    add: list[protocol.Vm] = []
    remove: list[str] = []
    gone: list[str] = []


class CloudChange(msgspec.Struct, frozen=True):
    """VM offers, and spare VMs that orders of their class start."""

    offers: list[data.Offer] = []
    spares: list[protocol.Vm] = []


class NoticeOrder(msgspec.Struct, frozen=True):
    """VMs to reclaim and the notice period in milliseconds."""

    names: list[str]
    left_ms: int


class PlatformStandin:
    """State of the platform."""

    def __init__(self, seed: int = 1) -> None:
        self.store = objects.ObjectStore(random.Random(seed))
        self.vms: dict[str, protocol.Vm] = {}
        self.gone: list[str] = []
        self.notices: list[protocol.Notice] = []
        self.leaving: dict[str, float] = {}
        self.orders: dict[str, protocol.OrderAnswer] = {}
        self.offers: list[data.Offer] = []
        self.spares: list[protocol.Vm] = []
        self.newest_token = 0
        self.refused_starts = 0
        self.changed = asyncio.Event()
        self.weights_free_at = 0.0

    def notify_watchers(self) -> None:
        """Wake all watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def fault(self) -> Response[Any] | None:
        """Apply the injected latency; return an error response if the call is to fail."""
        faults = self.store.faults
        if faults.slow_ms:
            await asyncio.sleep(faults.slow_ms / 1000)
        if faults.down or self.store.rng.random() < faults.refuse:
            return Response("down", status_code=429)
        return None

    def change_vms(self, change: VmChange) -> None:
        """Add and remove VMs."""
        for vm in change.add:
            self.vms[vm.name] = vm
        for name in change.remove:
            self.vms.pop(name, None)
            self.leaving.pop(name, None)
        self.gone = (self.gone + change.gone)[-MAX_GONE:]

    def announce(self, order: NoticeOrder) -> protocol.Notice:
        """Record a reclaim notice for VMs."""
        number = self.notices[-1].number + 1 if self.notices else 1
        notice = protocol.Notice(number, order.names, order.left_ms)
        self.notices = [*self.notices, notice][-MAX_NOTICES:]
        at = time.monotonic() + order.left_ms / 1000
        for name in order.names:
            self.leaving[name] = min(at, self.leaving.get(name, at))
        return notice

    def order(self, order: protocol.Order) -> protocol.OrderAnswer:
        """Execute an order; idempotent per order token."""
        known = self.orders.get(order.token)
        if known is not None:
            return known
        if order.fencing_token < self.newest_token:
            return protocol.OrderAnswer("fenced")
        self.newest_token = order.fencing_token
        answer = self._start(order) if order.start else self._release(order)
        self.orders[order.token] = answer
        return answer

    def _start(self, order: protocol.Order) -> protocol.OrderAnswer:
        if self.refused_starts > 0:
            self.refused_starts -= 1
            return protocol.OrderAnswer("refused")
        for spare in self.spares:
            place = (spare.data_centre, spare.vm_class)
            if place == (order.data_centre, order.vm_class) and order.target in spare.targets:
                self.spares.remove(spare)
                self.vms[spare.name] = spare
                return protocol.OrderAnswer("done", spare.name)
        return protocol.OrderAnswer("refused")

    def _release(self, order: protocol.Order) -> protocol.OrderAnswer:
        released = self.vms.pop(order.name, None)
        if released is not None:
            self.spares.append(released)
        return protocol.OrderAnswer("done", order.name)

    def listing(self) -> protocol.VmList:
        """Return the VM list with the time left of VMs under notice."""
        now = time.monotonic()
        vms = []
        for vm in self.vms.values():
            leaves = self.leaving.get(vm.name)
            if leaves is not None:
                left = max(0, int((leaves - now) * 1000))
                vm = msgspec.structs.replace(vm, state="leaving", leaves_in_ms=left)
            vms.append(vm)
        return protocol.VmList(vms, self.gone)

    def try_load_weights(self) -> bool:
        """Reserve a load of weights if the rate limit allows one."""
        now = time.monotonic()
        if now < self.weights_free_at:
            return False
        self.weights_free_at = now + 1 / WEIGHT_LOADS_PER_S
        return True

    async def watch(self, prefix: str, since: int, wait_s: float) -> protocol.Change:
        """Wait for changes after a revision.

        Raises:
          objects.TooOld: the revision precedes the retained history.
        """
        end = time.monotonic() + wait_s
        while True:
            names = self.store.changes_since(since, prefix)
            left = end - time.monotonic()
            if names or left <= 0:
                return protocol.Change(self.store.revision, names)
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                continue


def handlers(state: PlatformStandin) -> list[HTTPRouteHandler]:
    """Return the platform's route handlers."""

    @get("/objects/{name:path}")
    async def get_object(name: str) -> Response[Any]:
        trouble = await state.fault()
        if trouble is not None:
            return trouble
        found = state.store.get(name.lstrip("/"))
        if found is None:
            return Response("absent", status_code=404)
        return Response(
            found.value,
            headers={"ETag": str(found.version)},
            media_type="application/octet-stream",
        )

    @put("/objects/{name:path}")
    async def put_object(name: str, request: AnyRequest) -> Response[Any]:
        trouble = await state.fault()
        if trouble is not None:
            return trouble
        expected = int(request.headers.get("if-match", "0"))
        try:
            value = await request.body()
            version = state.store.put(name.lstrip("/"), value, expected)
        except objects.Conflict:
            return Response("conflict", status_code=412)
        state.notify_watchers()
        if state.store.rng.random() < state.store.faults.lose_answers:
            return Response("lost", status_code=500)
        return Response("ok", headers={"ETag": str(version)})

    @get("/watch")
    async def watch(prefix: str, since: int, wait_ms: int) -> Response[Any]:
        trouble = await state.fault()
        if trouble is not None:
            return trouble
        try:
            change = await state.watch(prefix, since, wait_ms / 1000)
        except objects.TooOld:
            return Response("too old", status_code=410)
        return Response(msgspec.json.encode(change), media_type="application/json")

    @get("/vms")
    async def vms(request: AnyRequest) -> Response[Any]:
        trouble = await state.fault()
        if trouble is not None:
            return trouble
        body = msgspec.json.encode(state.listing())
        tag = f'"{hashing.digest(body):x}"'
        if request.headers.get("if-none-match") == tag:
            return Response(b"", status_code=304, headers={"ETag": tag})
        return Response(body, headers={"ETag": tag}, media_type="application/json")

    @get("/cloud/notices")
    async def notices(since: int = 0) -> Response[Any]:
        trouble = await state.fault()
        if trouble is not None:
            return trouble
        found = [notice for notice in state.notices if notice.number > since]
        return Response(msgspec.json.encode(found), media_type="application/json")

    @get("/cloud/offers")
    async def offers() -> Response[Any]:
        trouble = await state.fault()
        if trouble is not None:
            return trouble
        return Response(msgspec.json.encode(state.offers), media_type="application/json")

    @post("/cloud/orders", status_code=200)
    async def orders(request: AnyRequest) -> Response[Any]:
        trouble = await state.fault()
        if trouble is not None:
            return trouble
        answer = state.order(msgspec.json.decode(await request.body(), type=protocol.Order))
        if state.store.rng.random() < state.store.faults.lose_answers:
            return Response("lost", status_code=500)
        return Response(msgspec.json.encode(answer), media_type="application/json")

    @get("/weights/{name:str}")
    async def weights(name: str) -> Response[Any]:
        if not state.try_load_weights():
            return Response("too many loads", status_code=429, headers={"Retry-After": "1"})
        return Response(f"weights of {name}")

    return [get_object, put_object, watch, vms, notices, offers, orders, weights]


def controls(state: PlatformStandin) -> list[HTTPRouteHandler]:
    """Return the control handlers for tests and the demo."""

    @post("/control/faults", status_code=200)
    async def faults(request: AnyRequest) -> Response[Any]:
        change = msgspec.json.decode(await request.body(), type=FaultChange)
        known = dataclasses.asdict(state.store.faults)
        unknown = sorted(set(change.faults) - set(known))
        if unknown:
            return Response(f"unknown faults: {unknown}", status_code=400)
        for name, value in change.faults.items():
            setattr(state.store.faults, name, value)
        if change.refused_starts is not None:
            state.refused_starts = change.refused_starts
        return Response("ok")

    @post("/control/vms", status_code=200)
    async def change_vms(request: AnyRequest) -> Response[Any]:
        state.change_vms(msgspec.json.decode(await request.body(), type=VmChange))
        return Response("ok")

    @post("/control/cloud", status_code=200)
    async def cloud(request: AnyRequest) -> Response[Any]:
        change = msgspec.json.decode(await request.body(), type=CloudChange)
        state.offers = change.offers or state.offers
        state.spares += change.spares
        return Response("ok")

    @post("/control/reclaim", status_code=200)
    async def reclaim(request: AnyRequest) -> Response[Any]:
        order = msgspec.json.decode(await request.body(), type=NoticeOrder)
        return Response(msgspec.json.encode(state.announce(order)))

    return [faults, change_vms, cloud, reclaim]


def build(state: PlatformStandin) -> Litestar:
    """Build the platform's application."""
    return Litestar([*handlers(state), *controls(state)], openapi_config=None, logging_config=None)
