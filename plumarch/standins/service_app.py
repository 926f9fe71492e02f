"""HTTP stand-in for a plain service that counts executions by idempotency key."""

import asyncio
import collections
import dataclasses
from typing import Any

from litestar import HttpMethod, Litestar, Request, Response, get, route
from litestar.handlers import HTTPRouteHandler

AnyRequest = Request[Any, Any, Any]


@dataclasses.dataclass(slots=True)
class ServiceStandin:
    """A service that counts executions by workspace and key.

    Attributes:
      checks_fencing: whether calls with a stale fencing token are rejected.
    """

    delay_ms: float = 5.0
    checks_fencing: bool = False
    executions: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )
    newest_token: int = 0

    def admits(self, token: int) -> bool:
        """Return whether a call with a fencing token may run."""
        if self.checks_fencing and token and token < self.newest_token:
            return False
        self.newest_token = max(self.newest_token, token)
        return True


def handlers(service: ServiceStandin) -> list[HTTPRouteHandler]:
    """Return the route handlers of a service."""

    @get("/load")
    async def load() -> Response[Any]:
        return Response({"running": 0, "queued": 0})

    @get("/executions")
    async def executions() -> Response[Any]:
        return Response({f"{w} {k}": n for (w, k), n in service.executions.items()})

    methods = [HttpMethod.GET, HttpMethod.POST, HttpMethod.PUT, HttpMethod.DELETE]

    @route("/{path:path}", http_method=methods, status_code=200)
    async def call(request: AnyRequest, path: str) -> Response[Any]:
        token = int(request.headers.get("plumarch-fencing-token", "0"))
        if not service.admits(token):
            return Response("token too old", status_code=412)
        workspace = request.headers.get("plumarch-workspace", "")
        key = request.headers.get("idempotency-key", "")
        service.executions[(workspace, key)] += 1
        await asyncio.sleep(service.delay_ms / 1000)
        answer = {"path": path, "workspace": workspace, "key": key}
        return Response(answer)

    return [load, executions, call]


def build(service: ServiceStandin) -> Litestar:
    """Build the service's application."""
    return Litestar(handlers(service), openapi_config=None, logging_config=None)
