"""Fast, slow and leaving callers at once: reserved memory is bounded and released."""

import asyncio
import random

import pytest

from plumarch.gateway import relay_test
from plumarch.gateway.callers import slow_callers_test
from plumarch.standins import scripted_endpoint as scripted

CALLERS = 40
BODY = b"w" * 150_000
PATHS = ("/chat/", "/diff/", "/safe/", "/unsafe/")
KINDS = ("fast", "slow", "late", "leaves", "never")


class MixedCallers:
    """Callers that read fast, slowly, late, partially or not at all."""

    def __init__(self, gateway: relay_test.Gateway, seed: int) -> None:
        self.gateway = gateway
        self.rng = random.Random(seed)
        self.peak_bytes = 0

    async def answer(self, request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        self.check_memory()
        if "/safe/" in request.line or "/unsafe/" in request.line:
            writer.write(scripted.answer(request, body=BODY))
        else:
            await slow_callers_test.Flood().answer(request, writer)
        self.check_memory()

    def check_memory(self) -> None:
        """Record the peak of reserved memory; reservations must add up to the total."""
        memory = self.gateway.state.memory
        self.peak_bytes = max(self.peak_bytes, memory.total())
        assert sum(memory.by_connection.values()) == memory.total()

    async def call(self, kind: str, path: str) -> None:
        """Send one request; a complete answer must be the right one."""
        sock = await slow_callers_test.non_reading_caller(self.gateway, path)
        if kind == "never":
            await asyncio.sleep(0.01 * self.rng.random())
            sock.close()
            return
        limit = 2**20 if kind == "fast" else 2**10
        reader, writer = await asyncio.open_connection(sock=sock, limit=limit)
        body = b""
        try:
            while True:
                if kind == "late":
                    await asyncio.sleep(0.002)
                part = await reader.read(2**16 if kind == "fast" else self.rng.randrange(1, 9_000))
                body += part
                if not part or body.endswith(b"0\r\n\r\n") or body.count(b"w") == len(BODY):
                    break
                if kind == "leaves" and self.rng.random() < 0.1:
                    break
        except ConnectionError:
            return
        finally:
            writer.close()
        if body.endswith(b"\r\n0\r\n\r\n"):
            events = [scripted.chunk(slow_callers_test.padded(n)) for n in EVENT_NUMBERS]
            assert body.partition(b"\r\n\r\n")[2] == b"".join(events) + scripted.chunk(b"")


EVENT_NUMBERS = range(1, slow_callers_test.EVENTS + 1)


@pytest.mark.parametrize("seed", range(4))
def test_memory_reserved_for_mixed_callers_is_bounded_and_released(seed: int):
    async def test() -> None:
        groups: list[MixedCallers] = []

        async def answer(request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await groups[0].answer(request, writer)

        async with relay_test.Gateway(answer, answer) as gateway:
            group = MixedCallers(gateway, seed)
            groups.append(group)
            memory = gateway.state.memory
            memory.budget = 4 * 2**20
            slow_callers_test.shrink_socket_buffers(gateway)
            slow_callers_test.raise_capacity(gateway)
            rng = random.Random(seed)
            calls = [group.call(rng.choice(KINDS), rng.choice(PATHS)) for _ in range(CALLERS)]
            await asyncio.gather(*calls)
            await slow_callers_test.until(lambda: slow_callers_test.all_released(gateway))
            assert 0 < group.peak_bytes <= memory.budget
            assert memory.by_workspace == memory.answers_by_workspace == {}
            assert not logged_fault(gateway)

    relay_test.play(test)


def logged_fault(gateway: relay_test.Gateway) -> bool:
    return slow_callers_test.logged(gateway, b'"kind":"fault"')
