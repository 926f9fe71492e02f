"""An endpoint that stops responding for about a second and goes on."""

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine

from plumarch.config import routing_table
from plumarch.core import rollouts
from plumarch.fleet import version_tally
from plumarch.gateway import fleet_state, relay_test
from plumarch.standins import scripted_endpoint as scripted

SILENT_S = 0.6
"""Longer than the timeout of a connect and than that of a repeatable request."""

TARGET_MS = 100


def play(test: Callable[[], Coroutine[None, None, None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), 30))


class Silence:
    """Makes an endpoint answer nothing until it ends."""

    def __init__(self) -> None:
        self.ended = asyncio.Event()
        self.waiting = 0

    async def answer(self, request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        self.waiting += 1
        await self.ended.wait()
        writer.write(scripted.answer(request))


def set_target(state: fleet_state.FleetState, target_ms: float) -> None:
    """Give all routes a target, from which timeouts at one endpoint follow."""
    before = relay_test.TABLE.configuration
    configuration = routing_table.Configuration(
        version=before.version + 1,
        routes=tuple(dataclasses.replace(one, target_ms=target_ms) for one in before.routes),
        services=before.services,
        workspaces=before.workspaces,
        limits=before.limits,
    )
    assert state.adopt_table(routing_table.build(configuration), "store")


def test_a_request_that_may_run_once_waits_for_a_silent_endpoint():
    async def test() -> None:
        silence = Silence()
        async with relay_test.Gateway(silence.answer) as gateway:
            asking = asyncio.create_task(gateway.ask("/unsafe/x"))
            while not silence.waiting:
                await asyncio.sleep(0.005)
            await asyncio.sleep(SILENT_S)
            silence.ended.set()
            assert (await asking).status == 200

    play(test)


def test_a_silent_endpoint_does_not_make_its_version_bad():
    """Each request that moved on counted as a bad answer, and a good version was rolled back."""

    async def test() -> None:
        silence = Silence()
        async with relay_test.Gateway(silence.answer, relay_test.answers()) as gateway:
            set_target(gateway.state, TARGET_MS)
            endpoints = gateway.state.registry.endpoints
            for name, version in (("e0", "v2"), ("e1", "v1")):
                endpoints[name] = dataclasses.replace(endpoints[name], version=version)
            running = rollouts.RolloutState.RUNNING
            assert gateway.state.adopt_split(
                rollouts.VersionSplit("s", "v2", running, 1.0, 1, 1, False)
            )
            asking = [asyncio.create_task(gateway.ask("/safe/x")) for _ in range(8)]
            assert [(await one).status for one in asking] == [200] * 8
            assert silence.waiting == 8
            silence.ended.set()
            total = gateway.state.answers.total(lambda source: True)
            assert total[version_tally.TallyKey("s", "v2", "safe")].bad == 1

    play(test)


def test_an_endpoint_that_answers_again_after_its_silence_is_used_at_once():
    """It was left out for seconds more, and the others had its load."""

    async def test() -> None:
        silence = Silence()
        async with relay_test.Gateway(silence.answer, relay_test.answers()) as gateway:
            set_target(gateway.state, TARGET_MS)
            waiting = asyncio.create_task(gateway.ask("/unsafe/x"))
            while not silence.waiting:
                await asyncio.sleep(0.005)
            assert [(await gateway.ask("/safe/x")).status for _ in range(4)] == [200] * 4
            assert silence.waiting < 5
            silence.ended.set()
            assert (await waiting).status == 200
            before = silence.waiting
            assert (await gateway.ask("/safe/x")).status == 200
            assert silence.waiting == before + 1

    play(test)
