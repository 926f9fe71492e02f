"""A model worker that streams events, and may start again under its identifier."""

import asyncio
import time

from standins import http, platform, record

EVENTS = 15
EVENT_GAP_S = 0.1
DOWN_S = 0.05
"""Time from the end of a process to the start of the next one."""


class Engine:
    """One model worker; `born` and `runs` are of its current process.

    Attributes:
      version: of its software; each event names it.
      runs: requests that the process works on.
      left: requests that were broken off by their sender while the process worked on them.
      cut: requests that a process worked on when it ended.
    """

    def __init__(
        self, name: str, service: str, zone: str, store: platform.Platform, log: record.Record
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.store = store
        self.log = log
        self.born = 0
        self.version = "v1"
        self.runs: set[str] = set()
        self.left: set[str] = set()
        self.cut: set[str] = set()
        self.server = http.Server(self._serve)

    async def start(self, host: str) -> None:
        """Start the first process, which says at once where it is."""
        await self.server.start(host)
        self.born = round(time.time() * 1000.0)
        await self.write_entry()

    async def write_entry(self) -> None:
        """Write the entry, as with each heartbeat; counts start anew with each process."""
        entry = {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 32,
            "state": "ready",
            "cold_remaining_ms": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": 0,
            "born": self.born,
        }
        await self.store.put("servers", self.name, entry)

    async def restart(self, first_heartbeat_s: float) -> None:
        """End the process and start the next one under the same identifier and address.

        Args:
          first_heartbeat_s: when the new process first writes its entry.
        """
        await self.start_again()
        await asyncio.sleep(first_heartbeat_s)
        await self.write_entry()
        self.log.write("entry", worker=self.name, born=self.born, version=self.version)

    async def start_again(self) -> None:
        """End the process and start the next one, which has not written its entry yet."""
        self.cut |= self.runs
        self.runs = set()
        host, _, port = self.server.address.rpartition(":")
        self.server.stop()
        await asyncio.sleep(DOWN_S)
        self.server = http.Server(self._serve)
        await self.server.start(host, int(port))
        self.born = round(time.time() * 1000.0)
        self.log.write("started_again", worker=self.name, born=self.born, version=self.version)

    def stop(self) -> None:
        """End the process."""
        self.server.stop()

    async def _serve(self, request: http.Request, writer: asyncio.StreamWriter) -> bool:
        name = request.headers.get("request-id", "")
        if request.headers.get("expected-instance", self.name) != self.name:
            writer.write(http.message(421, {"Instance": self.name, "Request-Id": name}))
            return False
        born, runs, version = self.born, self.runs, self.version
        runs.add(name)
        self.log.write("run", worker=self.name, born=born, version=version, request=name)
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"Request-Id: {name}",
            f"Response-Signature: {self.name}-{name}",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join(lines).encode() + http.HEAD_END)
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await asyncio.sleep(EVENT_GAP_S)
            if writer.transport.is_closing():
                runs.discard(name)
                if name not in self.cut:
                    self.left.add(name)
                    self.log.write("left", worker=self.name, born=born, request=name, event=number)
                return False
        writer.write(b"0\r\n\r\n")
        runs.discard(name)
        return True
