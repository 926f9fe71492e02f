"""After all gateways were killed and are back, streams that clients take up again are refused.

Exits with 1 if rule LOST (issue 55) was broken, 0 if it held, 2 if the case couldn't run.
"""

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_2 import fleet, http  # noqa: E402

NODES = 3
WORKERS = 4
STREAMS = 18
EVENTS = 120
EVENT_GAP_S = 0.1
DEADLINE_MS = 15_000
KILL_AT_S = 2.0
"""From the start of the streams until all gateways are killed."""

DOWN_S = 1.0
CONTACT_S = 3.0
"""contact_ms of the site: so long after its start a machine is in touch."""

MARGIN_S = 0.3

CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "chat",
            "host": "h.example",
            "path_prefix": "/chat/",
            "kind": "streaming",
            "timeout_ms": DEADLINE_MS,
            "target_latency_ms": 800,
            "target_gap_ms": 500,
            "service": "llm",
            "max_attempts": 2,
            "resume_streams": True,
        }
    ],
    "services": [{"name": "llm"}],
    "tenants": [{"name": "t", "access_keys": ["k"]}],
}


class Case:
    """Clients, workers and the outcome."""

    def __init__(self) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = fleet.Record(FOLDER)
        self.fleet = fleet.Fleet(self.record, nodes=NODES, zones=("a", "b", "c"))
        self.broken_off = asyncio.Event()
        self.in_touch = asyncio.Event()
        self.went_on = 0
        self.began = 0
        self.tried = 0
        self.ready = 0

    async def serve(self, request: http.Request, writer: asyncio.StreamWriter) -> None:
        """Stream the events after the one that the request names."""
        first = int(request.headers.get("last-event-id") or "0") + 1
        self.record.write(f"a worker runs {request.headers['request-id']} from event {first}")
        writer.write(http.encode_stream_head(request))
        for number in range(first, EVENTS + 1):
            writer.write(http.encode_chunk(http.encode_event(number)))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(http.encode_chunk(b""))

    def _headers(self, name: str, deadline_ms: float) -> dict[str, str]:
        return {
            "Host": "h.example",
            "Authorization": "Bearer k",
            "Request-Id": name,
            "Model": "m",
            "Token-Counts": "700,240",
            "Prompt-Prefix": f"5c1e07a2:100,{abs(hash(name)) % 2**32:08x}:600",
            "Deadline-Milliseconds": str(round(deadline_ms)),
        }

    async def call(self, client: int) -> None:
        """Read a stream until it breaks off, then take it up again."""
        number = 1 + client % NODES
        reader, writer = await asyncio.open_connection("127.0.1." + str(number), self.fleet.port)
        began_s = self.record.now()
        first = f"first-{client}"
        headers = self._headers(first, DEADLINE_MS)
        parts = headers["Prompt-Prefix"]
        body = f"question of {client}".encode()
        writer.write(http.encode_request("POST", "/chat/x", headers, body))
        reading = asyncio.ensure_future(http.read_answer(reader))
        if not self.trouble:
            # The client itself breaks its stream off.
            await self.broken_off.wait()
            writer.close()
        answer = await reading
        last = answer.body.count(b"id: ")
        self.record.write(f"client {client}: its stream broke off after event {last}")
        writer.close()
        await self.in_touch.wait()
        left_ms = DEADLINE_MS - (self.record.now() - began_s) * 1000.0
        again = self._headers(f"again-{client}", left_ms)
        again |= {"Prompt-Prefix": parts, "Resumes": first, "Last-Event-Id": str(last)}
        status, events = await self._send(1 + (client + 1) % NODES, again, body)
        self.tried += 1
        goes_on = status == 200 and events[:1] == [last + 1]
        self.went_on += goes_on
        self.record.write(
            f"client {client}: takes it up again after event {last}, {left_ms:.0f} ms left:"
            f" status {status}, goes on {goes_on}"
        )

    async def begin_new(self, client: int) -> None:
        """Begin another stream at the same time."""
        await self.in_touch.wait()
        headers = self._headers(f"new-{client}", DEADLINE_MS)
        status, events = await self._send(
            1 + client % NODES, headers, b"new " + str(client).encode()
        )
        self.began += status == 200 and events[:1] == [1]

    async def _send(
        self, number: int, headers: dict[str, str], body: bytes
    ) -> tuple[int, list[int]]:
        """Send a request; return the answer's status and its first events."""
        reader, writer = await asyncio.open_connection("127.0.1." + str(number), self.fleet.port)
        writer.write(http.encode_request("POST", "/chat/x", headers, body))
        events: list[int] = []
        status = 0
        try:
            async with asyncio.timeout(3.0):
                head = await reader.readuntil(http.HEAD_END)
                status = int(head.split()[1])
                while status == 200 and len(events) < 3:
                    line = await reader.readline()
                    if not line:
                        raise EOFError
                    if line.startswith(b"id: "):
                        events.append(int(line[4:]))
        except (TimeoutError, EOFError, OSError) as error:
            self.record.write(f"{headers['Request-Id']}: {error!r}")
        writer.close()
        return status, events

    async def run(self) -> int:
        """Play the case and return its exit code."""
        workers = [await http.Server(self.serve).start() for _ in range(WORKERS)]
        for number, worker in enumerate(workers, 1):
            entry = {
                "service": "llm",
                "address": worker.address,
                "zone": "abc"[number % 3],
                "version": "v1",
                "slots": 64,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": 1,
                "born": 1_700_000_000_000 + number,
            }
            await self.fleet.platform.put("servers", f"i-{number}", entry)
        try:
            await self.fleet.start(CONFIG)
            await asyncio.sleep(3.0)
            calls = [asyncio.ensure_future(self.call(client)) for client in range(STREAMS)]
            calls += [asyncio.ensure_future(self.begin_new(client)) for client in range(STREAMS)]
            await asyncio.sleep(KILL_AT_S)
            await self._break_off()
            await asyncio.sleep(CONTACT_S + MARGIN_S)
            self.record.write("all machines are in touch")
            self.in_touch.set()
            await asyncio.wait_for(asyncio.gather(*calls), 30.0)
        finally:
            await self.fleet.end()
            for worker in workers:
                worker.stop()
        self.record.write(
            f"{self.went_on} of {self.tried} streams went on,"
            f" {self.began} of {STREAMS} new ones began"
        )
        if self.tried < 12 or self.began < STREAMS / 2:
            return fleet.NOT_RUN
        share, new_share = self.went_on / self.tried, self.began / STREAMS
        return fleet.BROKEN if share < new_share / 2 else fleet.HELD

    async def _break_off(self) -> None:
        if self.trouble:
            for number in range(1, NODES + 1):
                self.fleet.signal(number, signal.SIGKILL)
            await asyncio.sleep(DOWN_S)
            for number in range(1, NODES + 1):
                await self.fleet.processes[number].wait()
                await self.fleet.launch(number)
            for number in range(1, NODES + 1):
                await self.fleet.wait_until_ready(number)
        else:
            self.broken_off.set()
            await asyncio.sleep(DOWN_S)


if __name__ == "__main__":
    try:
        code = asyncio.run(Case().run())
    except Exception as error:
        print(f"the case could not run: {error!r}")
        code = fleet.NOT_RUN
    sys.exit(code)
