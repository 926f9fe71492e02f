"""Peak memory of a node process whose callers read nothing."""

import asyncio
import os
import pathlib
import sys

import pytest

from plumarch.core import clock, traffic
from plumarch.gateway import relay, relay_test
from plumarch.gateway.callers import slow_callers_test
from plumarch.gateway.dispatch import attempts
from plumarch.standins import gateway_parts
from plumarch.standins import scripted_endpoint as scripted

ROOT = pathlib.Path(__file__).parents[2]
MAX_GROWTH_KB = 40 * 1024
"""For a process with a memory budget of 200 MB."""


async def serve(endpoint: str) -> None:
    """Run a node with one endpoint until the input ends."""
    attempts.CONNECT_TIMEOUT_MS = slow_callers_test.CONNECT_MS
    state = gateway_parts.new_state(clock.MonotonicClock())
    ready = traffic.EndpointState.READY
    slots = 10 * slow_callers_test.CALLERS
    state.registry.replace([traffic.Endpoint("e0", "s", endpoint, "a", slots, ready)], 1, "store")
    state.adopt_table(relay_test.TABLE, "store")
    callers = relay.new_server(state)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(callers.connection, "127.0.0.1", 0)
    slow_callers_test.shrink_send_buffer(listener.sockets[0])
    print(listener.sockets[0].getsockname()[1], flush=True)
    await loop.run_in_executor(None, sys.stdin.read)
    callers.close_all()
    listener.close()


def peak_kb(process: int) -> int:
    """Return the peak memory of a process, in KB."""
    lines = pathlib.Path(f"/proc/{process}/status").read_text().splitlines()
    [found] = [line for line in lines if line.startswith("VmHWM:")]
    return int(found.split()[1])


@pytest.mark.parametrize(
    ("path", "whole_bytes"), [("/chat/", 0), ("/safe/", 200_000)], ids=["streams", "whole"]
)
def test_a_nodes_peak_is_bounded_with_500_callers_that_read_nothing(path: str, whole_bytes: int):
    async def test() -> None:
        flood = slow_callers_test.Flood(whole_bytes)
        endpoint = await scripted.ScriptedEndpoint(flood.answer).start()
        node = await asyncio.create_subprocess_exec(
            sys.executable,
            __file__,
            endpoint.address,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
        )
        assert node.stdout is not None and node.stdin is not None
        try:
            port = int(await node.stdout.readline())
            before = peak_kb(node.pid)
            callers = [
                await slow_callers_test.connect_without_reading(port, path)
                for _ in range(slow_callers_test.CALLERS)
            ]
            await flood.wait_ended(slow_callers_test.CALLERS)
            grown = peak_kb(node.pid) - before
            print(f"{before} KB before, grown by {grown} KB")
            assert grown < MAX_GROWTH_KB
            for sock in callers:
                sock.close()
        finally:
            node.stdin.close()
            await node.wait()
            await endpoint.stop()

    relay_test.play(test)


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1]))
