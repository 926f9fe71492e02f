"""Callers that send requests at a steady rate to each gateway, each on a new connection."""

import asyncio
import dataclasses
import time
import uuid

from standins import http, record


@dataclasses.dataclass(slots=True)
class Sent:
    """A request and its outcome: a status, or what happened instead."""

    name: str
    sent: float
    outcome: str = ""


class Callers:
    """Sends requests of one route.

    Attributes:
      requests: all that were sent, in order.
    """

    def __init__(self, host: str, path: str, key: str, deadline_ms: int, log: record.Record):
        self.host = host
        self.path = path
        self.key = key
        self.deadline_ms = deadline_ms
        self.log = log
        self.requests: list[Sent] = []
        self.open: set[asyncio.Task[None]] = set()

    async def run(self, fronts: list[str], gap_s: float, until: float) -> None:
        """Send one request to each gateway every `gap_s` until a time of the steady clock."""
        while time.monotonic() < until:
            for front in fronts:
                task = asyncio.create_task(self.call(front))
                self.open.add(task)
                task.add_done_callback(self.open.discard)
            await asyncio.sleep(gap_s)
        if self.open:
            await asyncio.wait(set(self.open))

    async def call(self, front: str) -> Sent:
        """Send one request and record how it ended."""
        one = Sent(uuid.uuid4().hex[:16], time.monotonic())
        self.requests.append(one)
        self.log.write("sent", request=one.name, to=front)
        try:
            async with asyncio.timeout(self.deadline_ms / 1000.0):
                one.outcome = await self._exchange(front, one.name)
        except TimeoutError:
            one.outcome = "deadline"
        except (OSError, EOFError):
            one.outcome = "cut"
        self.log.write("answered", request=one.name, outcome=one.outcome)
        return one

    async def _exchange(self, front: str, name: str) -> str:
        host, _, port = front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            headers = {
                "Host": self.host,
                "Request-Id": name,
                "Deadline-Milliseconds": str(self.deadline_ms),
                "Authorization": f"Bearer {self.key}",
                "Connection": "close",
            }
            writer.write(http.request("POST", self.path, headers, f"body of {name}".encode()))
            answer = await http.read_answer(reader)
        finally:
            writer.transport.abort()
        if answer.status == 200 and answer.body != f"answer to {name}".encode():
            return "foreign"
        return str(answer.status)

    def outcomes(self, since: float = 0.0, until: float = 1e18) -> dict[str, int]:
        """Count the outcomes of the requests that were sent in a span."""
        found: dict[str, int] = {}
        for one in self.requests:
            if since <= one.sent < until:
                found[one.outcome] = found.get(one.outcome, 0) + 1
        return dict(sorted(found.items()))
