"""A small deployment: the platform, three workers of one plain service, and three gateways."""

import asyncio
import pathlib
import signal
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Awaitable, Callable
from typing import Any

from standins import callers, gateways, platform, proxy, record, worker

HOST = "review.example"
KEY = "key-of-the-tenant"
PATH = "/orders/"
SERVICE = "orders-api"
DEADLINE_MS = 4_000
START_LIMIT_S = 20.0
LIMIT_S = 110.0

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a script."""

CONFIG: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r-orders",
            "host": HOST,
            "path_prefix": PATH,
            "kind": "unsafe",
            "timeout_ms": DEADLINE_MS,
            "target_latency_ms": 400,
            "priority": 1,
            "service": SERVICE,
            "max_attempts": 1,
            "public": False,
        }
    ],
    "services": [
        {"name": SERVICE, "health_check_path": "/health", "connection_limit": 200},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "tenant", "access_keys": [KEY], "priority": 1, "rate_per_s": 0}],
}


class NotStarted(Exception):
    """The deployment did not start, so the case could not run."""


class Deployment:
    """Everything that a case needs.

    Attributes:
      workers: by name.
    """

    def __init__(self, log: record.Record, nodes: int = 3) -> None:
        self.log = log
        self.nodes = nodes
        self.net = gateways.free_net()
        self.platform = platform.Platform()
        self.workers: dict[str, worker.Worker] = {}
        self.fleet: gateways.Fleet | None = None
        self.store: proxy.Proxy | None = None
        self.callers = callers.Callers(HOST, f"{PATH}new", KEY, DEADLINE_MS, log)

    async def start(self, first_workers: int = 3) -> None:
        """Start all and wait until each gateway is ready and serves."""
        await self.platform.start(f"{self.net}.200")
        await self.proxy_store()
        await self.platform.put("config", "main", CONFIG)
        for number in range(1, first_workers + 1):
            await self.add_worker(number)
        assert self.store is not None
        self.fleet = gateways.Fleet(
            self.nodes, self.net, self.store.address, self.platform.cloud.address
        )
        self.fleet.start_all()
        await self.wait_until_ready()

    async def proxy_store(self) -> None:
        """Put a proxy between the gateways and the store."""
        self.store = proxy.Proxy(self.platform.store.address)
        await self.store.start(f"{self.net}.201")

    async def wait_until_ready(self) -> None:
        """Wait until each gateway says that it is ready."""
        assert self.fleet is not None
        ends = time.monotonic() + START_LIMIT_S
        for address in self.fleet.readiness.values():
            while not await asyncio.to_thread(_is_ready, address):
                if time.monotonic() > ends:
                    raise NotStarted(f"the gateway at {address} is not ready")
                await asyncio.sleep(0.1)

    async def add_worker(self, number: int, service: str = SERVICE) -> worker.Worker:
        """Start a worker in one of the zones."""
        zones = list(gateways.ZONES)
        name = f"i-{number:08x}"
        one = worker.Worker(name, service, zones[number % len(zones)], self.platform, self.log)
        self.workers[name] = one
        await one.start(f"{self.net}.{100 + number}")
        self.log.write("worker", worker=name, address=one.server.address)
        return one

    def fronts(self) -> list[str]:
        """Return the gateways' addresses for callers."""
        assert self.fleet is not None
        return list(self.fleet.fronts.values())

    def end(self) -> None:
        """End all processes and servers."""
        if self.fleet is not None:
            self.fleet.end()
        for one in self.workers.values():
            one.stop()
        if self.store is not None:
            self.store.stop()
        self.platform.stop()


def _is_ready(address: str) -> bool:
    try:
        with urllib.request.urlopen(f"http://{address}/plumarch/readiness", timeout=1) as answer:
            return bool(answer.status == 200)
    except (urllib.error.URLError, OSError):
        return False


def run(folder: pathlib.Path, case: Callable[[Deployment, record.Record], Awaitable[bool]]) -> None:
    """Play a case and exit with its code.

    Args:
      folder: where the record goes.
      case: plays it, and returns whether the rule held.
    """
    log = record.Record(folder / "record.txt")

    async def play() -> bool:
        deployment = Deployment(log)
        try:
            async with asyncio.timeout(LIMIT_S):
                await deployment.start()
                return await case(deployment, log)
        finally:
            deployment.end()

    # A script that is stopped early ends its processes too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        code = HELD if asyncio.run(play()) else BROKEN
    except (NotStarted, TimeoutError, OSError, RuntimeError) as error:
        log.write("not_run", why=repr(error))
        print(f"not run: {error!r}")
        code = NOT_RUN
    log.close()
    sys.exit(code)
