"""Requests that share a prompt segment which crashes endpoints, over loopback."""

import asyncio
from collections.abc import Awaitable, Callable

from plumarch.gateway import relay_test
from plumarch.gateway.dispatch import interrupted_runs_test
from plumarch.limits import quarantine
from plumarch.standins import scripted_endpoint as scripted

POISON_SEGMENT = "bad0"
MAX_CRASHES = 5


def parts(*names: str) -> str:
    """Return the header that names a prompt's segments, the last one its own."""
    return "X-Prompt-Parts: " + ",".join(f"{name}:100" for name in names) + "\r\n"


class FrailGateway(relay_test.Gateway):
    """A gateway whose endpoints crash as they begin an answer on the poison segment."""

    def __init__(self, count: int) -> None:
        super().__init__(*[self.answer] * count)
        self.crashes = 0

    async def answer(self, request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        shared = request.headers.get("x-prompt-parts", "").split(",")[:-1]
        if not any(one.startswith(POISON_SEGMENT) for one in shared):
            writer.write(scripted.answer(request))
            return
        self.crashes += 1
        here = next(one for one in self.endpoints if request in one.received)
        await here.stop()
        writer.transport.abort()

    async def ask_once(self, number: int, *names: str) -> relay_test.Answer:
        """Send a request that no other one is alike to, and wait until its crash is known."""
        body = f"words {number}".encode()
        found = await self.ask("/unsafe/x", body=body, extra=parts(*names, f"f{number}"))
        await interrupted_runs_test.wait_for_probes(self)
        return found


def play(test: Callable[[FrailGateway], Awaitable[None]], endpoints: int = 12) -> None:
    async def run() -> None:
        async with FrailGateway(endpoints) as gateway:
            await test(gateway)

    asyncio.run(asyncio.wait_for(run(), 30))


def test_requests_that_share_a_segment_crash_endpoint_after_endpoint():
    async def test(gateway: FrailGateway) -> None:
        for number in range(10):
            answer = await gateway.ask_once(number, "a1", POISON_SEGMENT)
        assert gateway.crashes <= MAX_CRASHES
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > quarantine.FIRST_TRIAL_MS / 2_000

    play(test)
