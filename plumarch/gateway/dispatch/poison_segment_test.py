"""Requests that share a prompt segment which crashes endpoints, over loopback."""

import asyncio
from collections.abc import Awaitable, Callable

from plumarch.core import clock
from plumarch.gateway import relay_test
from plumarch.gateway.dispatch import interrupted_runs_test
from plumarch.limits import quarantine
from plumarch.standins import scripted_endpoint as scripted

POISON_SEGMENT = "bad0"
MAX_CRASHES = 5
START_MS = 1_700_000_000_000


def parts(*names: str) -> str:
    """Return the header that names a prompt's segments, the last one its own."""
    return "X-Prompt-Parts: " + ",".join(f"{name}:100" for name in names) + "\r\n"


class FrailGateway(relay_test.Gateway):
    """A gateway whose endpoints crash as they begin an answer on the poison segment."""

    def __init__(self, count: int) -> None:
        super().__init__(*[self.answer] * count)
        self.crashes = 0
        self.wall = clock.ManualClock(START_MS)
        self.state.quarantine.clock = self.wall
        self.state.segments.clock = self.state.segments.answers.clock = self.wall
        self.state.request_trial = self.grant_trial

    async def grant_trial(self, *fingerprints: str) -> bool:
        """Grant a trial of what is quarantined if it is due."""
        known = self.state.quarantine
        for held in filter(None, map(known.find_quarantined, fingerprints)):
            if known.find_quarantined(*fingerprints).back_in_ms:
                return False
            known.record_trial(held.suspect.fingerprint, held.suspect.trials + 1)
        return True

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


def test_sound_requests_are_refused_for_a_segment_that_they_share_with_poison_ones():
    async def test(gateway: FrailGateway) -> None:
        for number in range(4):
            await gateway.ask_once(number, "a1", POISON_SEGMENT)
        gateway.wall.time_ms += 2_000
        answers = [await gateway.ask_once(10 + number, "a1", "b2") for number in range(10)]
        assert [one.status for one in answers] == [200] * 10
        # The first of these may be the poison segment's own trial.
        poison = [await gateway.ask_once(20 + number, "a1", POISON_SEGMENT) for number in range(9)]
        assert [one.status for one in poison[1:]] == [503] * 8
        assert gateway.crashes <= MAX_CRASHES

    play(test)
