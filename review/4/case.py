"""A gateway that stops takes requests on kept connections that it then cuts off.

Exits with 1 if rule LOST was broken, 0 if it held, 2 if the case couldn't run.
"""

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_2 import fleet, http  # noqa: E402

STREAM_EVENTS = (21, 21, 22, 22, 23, 30)
"""Lengths of the clients' streams; the last one keeps the gateway busy for longer."""

EVENT_GAP_S = 0.25
WORK_S = 3.0
DEADLINE_S = 6.0
GRACE_S = 8.0
TERM_AT_S = 1.0
"""Time from the streams' start to SIGTERM."""

THINK_S = 0.5
"""Pause of a client between its stream's end and its next request, on the same connection."""

EXCUSED_S = 3.0
"""Requests sent up to so long after SIGTERM may be cut at the end of the grace period."""

CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "chat",
            "host": "h.example",
            "path_prefix": "/chat/",
            "kind": "streaming",
            "timeout_ms": 15_000,
            "target_latency_ms": 800,
            "target_gap_ms": 500,
            "service": "llm",
            "max_attempts": 2,
            "resume_streams": True,
        },
        {
            "name": "book",
            "host": "h.example",
            "path_prefix": "/book/",
            "kind": "unsafe",
            "timeout_ms": 6_000,
            "target_latency_ms": 3_000,
            "service": "api",
            "max_attempts": 1,
        },
    ],
    "services": [{"name": "llm"}, {"name": "api"}],
    "tenants": [{"name": "t", "access_keys": ["k"]}],
}


class Case:
    """Clients, workers and the outcome."""

    def __init__(self) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = fleet.Record(FOLDER)
        self.fleet = fleet.Fleet(self.record, nodes=2, grace_s=GRACE_S)
        self.term_s: float | None = None
        self.lost: list[str] = []
        self.bad: list[str] = []
        self.ran: set[str] = set()

    async def serve_stream(self, request: http.Request, writer: asyncio.StreamWriter) -> None:
        """Stream events at the pace that the route asks for."""
        self.record.write(f"worker of llm runs {request.headers['request-id']}")
        writer.write(http.encode_stream_head(request))
        name = request.headers["request-id"]
        for number in range(1, STREAM_EVENTS[int(name.rpartition("-")[2])] + 1):
            writer.write(http.encode_chunk(http.encode_event(number)))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(http.encode_chunk(b""))

    async def serve_plain(self, request: http.Request, writer: asyncio.StreamWriter) -> None:
        """Answer after WORK_S; the deadline that was handed over is later."""
        name = request.headers["request-id"]
        left = request.headers["deadline-milliseconds"]
        self.ran.add(name)
        self.record.write(f"worker of api runs {name}, deadline in {left} ms")
        try:
            await asyncio.sleep(WORK_S)
        except asyncio.CancelledError:
            self.record.write(f"worker of api: the connection of {name} was closed on it")
            raise
        writer.write(http.encode_answer(request, b"booked"))
        self.record.write(f"worker of api answers {name}")

    async def call(self, number: int) -> None:
        """Read a stream, then send an unsafe request on the same connection."""
        reader, writer = await asyncio.open_connection("127.0.1.1", self.fleet.port)
        headers = {"Host": "h.example", "Authorization": "Bearer k"}
        stream = {**headers, "Request-Id": f"stream-{number}", "Deadline-Milliseconds": "15000"}
        writer.write(http.encode_request("POST", "/chat/x", stream, b"question"))
        answer = await http.read_answer(reader)
        self.record.write(
            f"client {number}: stream ends, status {answer.status}, whole {answer.is_whole},"
            f" connection closes {answer.closes}"
        )
        if answer.status != 200 or not answer.is_whole:
            self.bad.append(f"stream-{number}")
            return
        await asyncio.sleep(THINK_S)
        if answer.closes or reader.at_eof():
            self.record.write(f"client {number}: the connection was closed; goes elsewhere")
            writer.close()
            return
        await self._book(number, reader, writer, headers)
        writer.close()

    async def _book(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
    ) -> None:
        name = f"book-{number}"
        sent_s = self.record.now()
        mine = {**headers, "Request-Id": name, "Deadline-Milliseconds": "6000"}
        try:
            writer.write(http.encode_request("POST", "/book/x", mine, b"order"))
            self.record.write(f"client {number}: sends {name} on the kept connection")
            answer = await http.read_answer(reader)
            outcome = f"status {answer.status}, whole {answer.is_whole}"
            is_answered = answer.is_whole
        except (EOFError, OSError) as error:
            outcome, is_answered = f"connection closed without an answer ({error!r})", False
        after_s = self.record.now() - sent_s
        self.record.write(f"client {number}: {name}: {outcome}, {after_s:.2f} s after it was sent")
        since_term_s = sent_s - self.term_s if self.term_s is not None else None
        if is_answered:
            return
        is_lost = (
            name in self.ran
            and since_term_s is not None
            and since_term_s > EXCUSED_S
            and since_term_s + after_s <= GRACE_S + 1.0
            and after_s < DEADLINE_S
        )
        (self.lost if is_lost else self.bad).append(name)

    async def run(self) -> int:
        """Play the case and return its exit code."""
        llm = await http.Server(self.serve_stream).start()
        api = await http.Server(self.serve_plain).start()
        platform = self.fleet.platform
        for name, service, worker in (("i-1", "llm", llm), ("i-2", "api", api)):
            entry = {
                "service": service,
                "address": worker.address,
                "zone": "a",
                "version": "v1",
                "slots": 16,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": 1,
            }
            await platform.put("servers", name, entry)
        try:
            await self.fleet.start(CONFIG)
            await asyncio.sleep(2.0)
            calls = [
                asyncio.ensure_future(self.call(number)) for number in range(len(STREAM_EVENTS))
            ]
            await asyncio.sleep(TERM_AT_S)
            if self.trouble:
                self.term_s = self.record.now()
                self.fleet.signal(1, signal.SIGTERM)
            await asyncio.wait_for(asyncio.gather(*calls), 40.0)
        finally:
            await self.fleet.end()
            llm.stop()
            api.stop()
        self.record.write(f"lost: {self.lost}; other failures: {self.bad}")
        if self.lost:
            self.record.write("LOST is broken: accepted requests were cut without an answer")
            return fleet.BROKEN
        return fleet.NOT_RUN if self.bad else fleet.HELD


if __name__ == "__main__":
    try:
        code = asyncio.run(Case().run())
    except Exception as error:
        print(f"the case could not run: {error!r}")
        code = fleet.NOT_RUN
    sys.exit(code)
