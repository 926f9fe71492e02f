"""A worker of a plain service, which keeps its entry in the platform's store."""

import asyncio
import time

from standins import http, platform, record

HEARTBEAT_S = 1.2
WORK_S = 0.3


class Worker:
    """One worker.

    Attributes:
      arrived: when each request arrived, by its id, in s of the steady clock.
      whole: ids of the requests whose answer was written.
    """

    def __init__(
        self, name: str, service: str, zone: str, store: platform.Platform, log: record.Record
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.store = store
        self.log = log
        self.state = "ready"
        self.born = round(time.time() * 1000.0)
        self.sequence = 0
        self.arrived: dict[str, float] = {}
        self.whole: set[str] = set()
        self.server = http.Server(self._serve)
        self.beating: asyncio.Task[None] | None = None

    async def start(self, host: str) -> None:
        """Listen on a free port and say so in the store."""
        await self.server.start(host)
        await self.write_entry()
        self.beating = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            # The store makes an event only of more than a new `sequence`.
            self.sequence += 1

    async def write_entry(self) -> float:
        """Write the entry; return when the store accepted it."""
        entry = {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        return await self.store.put("servers", self.name, entry)

    async def drain(self) -> float:
        """Say that it leaves; return when the store accepted that."""
        self.state = "draining"
        return await self.write_entry()

    async def end(self) -> None:
        """End the process and let the entry go."""
        self.stop()
        await self.store.remove("servers", self.name)

    def stop(self) -> None:
        """End the process."""
        if self.beating is not None:
            self.beating.cancel()
        self.server.stop()

    async def _serve(self, request: http.Request, writer: asyncio.StreamWriter) -> bool:
        name = request.headers.get("request-id", "")
        if request.headers.get("expected-instance", self.name) != self.name:
            writer.write(http.message(421, {"Instance": self.name, "Request-Id": name}))
            return False
        self.arrived[name] = time.monotonic()
        self.log.write("run", worker=self.name, request=name)
        await asyncio.sleep(WORK_S)
        self.whole.add(name)
        headers = {"Request-Id": name, "Response-Signature": f"{self.name}-{name}"}
        if self.state == "draining":
            headers["Connection"] = "close"
        writer.write(http.message(200, headers, f"answer to {name}".encode()))
        return self.state != "draining"
