"""The operators' read-only HTTP listener."""

import asyncio
import dataclasses
import hmac
from collections.abc import AsyncIterator
from typing import Any

import msgspec
from litestar import Litestar, Request, Response, get
from litestar.handlers import HTTPRouteHandler
from litestar.response import Stream

from plumarch.core import data
from plumarch.daemon import problems, shell
from plumarch.fleet import orders

AnyRequest = Request[Any, Any, Any]
WATCH_QUEUE = 1_000


class MemberStatus(msgspec.Struct, frozen=True):
    """Another node, as this one sees it."""

    node: str
    data_centre: str
    state: str
    revision: int


class EndpointStatus(msgspec.Struct, frozen=True):
    """An endpoint, as this node sees it."""

    name: str
    data_centre: str
    kind: str
    targets: list[str]
    state: str
    load: int
    capacity: int
    vm_class: str
    price: float
    reclaimable: bool


class WantedStatus(msgspec.Struct, frozen=True):
    """A target's wanted and present capacity, as this node sees it."""

    target: str
    data_centre: str
    wanted: int
    held: int


class Status(msgspec.Struct, frozen=True):
    """A node's status, as `plumarch status` shows it."""

    node: str
    data_centre: str
    state: str
    revision: int
    revision_age_ms: int
    platform_age_ms: int
    runs: int
    queued: int
    copies: int
    slots: int
    uncertain_slots: int
    members: list[MemberStatus]
    endpoints: list[EndpointStatus]
    workspaces: list[str]
    decides: bool
    wanted: list[WantedStatus]
    orders: list[str]


def status_of(owner: shell.Shell) -> Status:
    """Return a node's status."""
    node = owner.node
    now = owner.clock.now()
    members = [
        MemberStatus(m.node, m.data_centre, m.state, m.revision)
        for m in sorted(node.membership.members.values(), key=lambda m: m.node)
    ]
    placement = node.placement
    endpoints = [
        EndpointStatus(
            e.name,
            e.data_centre,
            e.kind,
            list(e.targets),
            "leaving" if e.name in placement.leaving else e.state,
            placement.load(e.name),
            e.capacity,
            e.vm_class,
            e.price,
            e.reclaimable,
        )
        for e in sorted(placement.endpoints.values(), key=lambda e: e.name)
    ]
    seen = owner.platform_seen_ms
    return Status(
        owner.identity,
        node.ctx.data_centre,
        "leaving" if node.membership.leaving else "live",
        node.config.revision,
        now - node.config.applied_ms if node.config.revision else -1,
        now - seen if seen >= 0 else -1,
        len(node.table.active),
        node.dispatch.queue.length(),
        len(node.copies.held),
        len(node.ledger.owned),
        sum(1 for slot in node.ledger.owned.values() if slot.uncertain_epoch),
        members,
        endpoints,
        sorted(node.config.workspaces),
        node.orders.decides(),
        [WantedStatus(*row) for row in node.decider.wanted()],
        [order_text(order) for order in node.orders.book.orders] if node.orders.book else [],
    )


def order_text(order: orders.Order) -> str:
    """Return an order to the cloud as a line of text."""
    what = f"release {order.name}"
    if order.start:
        what = f"start {order.vm_class} in {order.data_centre} for {order.target}"
    return f"{what}: {order.state}; {order.why}"


class OperatorsApi:
    """Handlers of the operators' API."""

    def __init__(self, node_shell: shell.Shell) -> None:
        self.shell = node_shell

    def check_token(self, request: AnyRequest) -> None:
        """Check the operators' token.

        Raises:
          CallerFault: it is missing or wrong.
        """
        kind, _, token = request.headers.get("authorization", "").partition(" ")
        wanted = self.shell.settings.operators.token
        right = hmac.compare_digest(token.strip().encode(), wanted.encode())
        if kind.lower() != "bearer" or not right:
            raise problems.CallerFault(
                401,
                "Unknown token",
                "The request carries no operators' token.",
                "Set the token of [operators] in the tool's settings.",
            )

    def ready(self) -> tuple[bool, str]:
        """Return whether the node can serve, or why not."""
        node = self.shell.node
        if node.membership.leaving:
            return False, "stopping"
        if not node.config.revision:
            return False, "no configuration yet"
        if not node.placement.endpoints:
            return False, "no endpoints known yet"
        return True, "ready"

    def metrics(self) -> bytes:
        """Return the metrics as text."""
        node = self.shell.node
        gauges = self.shell.metrics.gauges
        sizes = {
            "runs": len(node.table.active),
            "ended_runs": len(node.table.ended),
            "queued": node.dispatch.queue.length(),
            "copies": len(node.copies.held),
            "owned_slots": len(node.ledger.owned),
            "held_slots": len(node.ledger.held),
            "key_records": sum(len(s.table.records) for s in node.ledger.owned.values()),
            "held_key_records": sum(len(s.table.records) for s in node.ledger.held.values()),
            "follows": len(node.followers.follows),
            "peer_bytes_sent": self.shell.transport.sent_bytes,
            "config_revision": node.config.revision,
        }
        for name, size in sizes.items():
            gauges.labels(name).set(size)
        return self.shell.metrics.text()

    def decisions(self, request_id: str) -> list[dict[str, Any]]:
        """Return the retained decisions about a request, oldest first.

        Args:
          request_id: its id or its key.
        """
        node = self.shell.node
        ids = {request_id}
        for run in (*node.table.active.values(), *node.table.ended.values()):
            if run.request.key == request_id:
                ids.add(run.request.id)
        return [dataclasses.asdict(d) for d in self.shell.decisions if d.request_id in ids]

    async def follow(self, workspace: str) -> AsyncIterator[bytes]:
        """Yield decisions as JSON lines as they happen."""
        queue: asyncio.Queue[data.Decision] = asyncio.Queue(WATCH_QUEUE)
        self.shell.listeners.add(queue)
        try:
            while True:
                decision = await queue.get()
                if not workspace or decision.workspace in ("", workspace):
                    yield msgspec.json.encode(decision) + b"\n"
        finally:
            self.shell.listeners.discard(queue)


def _fault(_: AnyRequest, fault: problems.CallerFault) -> Response[bytes]:
    return problems.response(fault.problem)


def handlers(api: OperatorsApi) -> list[HTTPRouteHandler]:
    """Return the route handlers."""

    @get("/livez")
    async def livez() -> Response[Any]:
        return Response("alive\n", media_type="text/plain")

    @get("/readyz")
    async def readyz() -> Response[Any]:
        ready, why = api.ready()
        return Response(why + "\n", status_code=200 if ready else 503, media_type="text/plain")

    @get("/metrics")
    async def metrics() -> Response[Any]:
        return Response(api.metrics(), media_type="text/plain; version=0.0.4")

    @get("/status")
    async def status(request: AnyRequest) -> Response[Any]:
        api.check_token(request)
        return Response(status_of(api.shell))

    @get("/decisions")
    async def decisions(request: AnyRequest, request_id: str) -> Response[Any]:
        api.check_token(request)
        return Response(api.decisions(request_id))

    @get("/watch")
    async def watch(request: AnyRequest, workspace: str = "") -> Stream:
        api.check_token(request)
        return Stream(api.follow(workspace), media_type="application/jsonl")

    return [livez, readyz, metrics, status, decisions, watch]


def build(node_shell: shell.Shell) -> Litestar:
    """Return the operators' application."""
    return Litestar(
        handlers(OperatorsApi(node_shell)),
        exception_handlers={problems.CallerFault: _fault},
        openapi_config=None,
        logging_config=None,
    )
