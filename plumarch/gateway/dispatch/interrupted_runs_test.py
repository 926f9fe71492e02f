"""Which interrupted runs count as crashes against their requests, over loopback."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

from plumarch.core import traffic
from plumarch.gateway import relay_test
from plumarch.limits import quarantine
from plumarch.membership import registry
from plumarch.standins import scripted_endpoint as scripted

POISON = b"words that end whatever reads them"
EARLY = quarantine.EARLY_POINTS


def play(test: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), 30))


def gateway_of(count: int, answering: scripted.Answering) -> relay_test.Gateway:
    return relay_test.Gateway(*[answering] * count)


def crashing(world: list[relay_test.Gateway]) -> scripted.Answering:
    """Return an endpoint that crashes under one body and answers all others."""

    async def answering(request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if request.body != POISON:
            writer.write(scripted.answer(request))
            return
        endpoints = world[0].endpoints
        here = next(one for one in endpoints if request in one.received)
        await here.stop()
        writer.transport.abort()

    return answering


def suspects(gateway: relay_test.Gateway) -> list[quarantine.Suspect]:
    return list(gateway.state.quarantine.suspects.values())


async def wait_for_probes(gateway: relay_test.Gateway) -> None:
    """Wait until all pending probes are done."""
    runs = gateway.callers.handler.interrupted_runs
    for endpoint in list(runs.probes):
        await runs.wait_for_probe(endpoint)


def test_an_aborted_answer_without_a_crash_does_not_count_against_a_request():
    async def aborts(request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    async def test() -> None:
        async with gateway_of(3, aborts) as gateway:
            for _ in range(6):
                answer = await gateway.ask("/safe/x", body=POISON)
                assert answer.status == 502
                await wait_for_probes(gateway)
            assert suspects(gateway) == []

    play(test)


def test_a_request_that_crashed_three_endpoints_is_rejected_unrun():
    async def test() -> None:
        world: list[relay_test.Gateway] = []
        async with gateway_of(6, crashing(world)) as gateway:
            world.append(gateway)
            first = await gateway.ask("/chat/x", body=POISON)
            assert first.status == 502 and gateway.sends() == 3
            second = await gateway.ask("/chat/x", body=POISON)
            assert second.status == 503 and float(second.headers["retry-after"]) > 50
            assert gateway.sends() == 3
            other = await gateway.ask("/chat/x", body=b"other words")
            assert other.status == 200

    play(test)


def test_a_retry_is_not_sent_after_the_third_crash():
    """Two requests of two sends each: the fourth could precede the third confirmed crash."""

    async def test() -> None:
        world: list[relay_test.Gateway] = []
        async with gateway_of(6, crashing(world)) as gateway:
            world.append(gateway)
            await gateway.ask("/safe/x", body=POISON)
            await wait_for_probes(gateway)
            await gateway.ask("/safe/x", body=POISON)
            assert gateway.sends() == 3

    play(test)


def test_requests_that_are_not_repeatable_are_quarantined_too():
    async def test() -> None:
        world: list[relay_test.Gateway] = []
        async with gateway_of(6, crashing(world)) as gateway:
            world.append(gateway)
            for _ in range(5):
                await gateway.ask("/unsafe/x", body=POISON)
                await wait_for_probes(gateway)
            assert gateway.sends() == 3

    play(test)


def test_an_answer_resets_the_points_of_a_request():
    async def test() -> None:
        world: list[relay_test.Gateway] = []
        async with gateway_of(4, crashing(world)) as gateway:
            world.append(gateway)
            await gateway.ask("/safe/x", body=POISON)
            await wait_for_probes(gateway)
            assert [one.points() for one in suspects(gateway)] == [2 * EARLY]
            for endpoint in gateway.endpoints:
                endpoint.answering = answers
            assert (await gateway.ask("/safe/x", body=POISON)).status == 200
            assert [one.points() for one in suspects(gateway)] == [0]

    play(test)


async def answers(request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(scripted.answer(request))


def test_requests_of_another_caller_with_the_same_body_are_served():
    async def test() -> None:
        world: list[relay_test.Gateway] = []
        async with gateway_of(6, crashing(world)) as gateway:
            world.append(gateway)
            await gateway.ask("/chat/x", body=POISON)
            await wait_for_probes(gateway)
            for endpoint in gateway.endpoints:
                endpoint.answering = answers
            assert (await gateway.ask("/chat/x", body=POISON, key="little")).status == 200
            assert (await gateway.ask("/chat/x", body=POISON)).status == 503

    play(test)


def test_a_restart_reported_after_the_probe_counts_as_a_crash():
    """A supervisor that keeps the port open accepts connections during the restart."""

    async def aborts(request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    async def test() -> None:
        async with gateway_of(1, aborts) as gateway:
            state = gateway.state
            (endpoint,) = state.registry.ready("s")
            answer = await gateway.ask("/unsafe/x", body=POISON)
            assert answer.status == 502
            await wait_for_probes(gateway)
            assert suspects(gateway) == []
            again = dataclasses.replace(endpoint, id="e0.again", name="e0", born_ms=2)
            change = registry.EndpointChange("e0", 9, again)
            state.registry_changed(state.registry.apply([change], 9, "store"), "store")
            assert [one.points() for one in suspects(gateway)] == [EARLY]

    play(test)


def test_an_answered_request_is_not_quarantined_for_crashes_of_a_concurrent_one():
    """A poison request crashes three endpoints while they run a request of many callers."""
    popular = b"words that many callers send"
    begun = asyncio.Event()

    async def crashes_both(request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if request.body == popular:
            begun.set()
            await asyncio.sleep(0.5)
        await gateways[0].endpoints[0].stop()
        writer.transport.abort()

    gateways: list[relay_test.Gateway] = []

    async def test() -> None:
        async with gateway_of(1, answers) as gateway:
            gateways.append(gateway)
            (endpoint,) = gateway.endpoints
            assert (await gateway.ask("/unsafe/x", body=popular)).status == 200
            for number in range(3):
                endpoint.answering = crashes_both
                begun.clear()
                beside = asyncio.create_task(gateway.ask("/unsafe/x", body=popular))
                await begun.wait()
                await gateway.ask("/unsafe/x", body=POISON)
                assert (await beside).status == 502
                await wait_for_probes(gateway)
                await endpoint.start()
                fresh = traffic.Endpoint(
                    f"f{number}", "s", endpoint.address, "a", 8, traffic.EndpointState.READY
                )
                gateway.state.registry.replace([fresh], 2 + number, "store")
            endpoint.answering = answers
            assert (await gateway.ask("/unsafe/x", body=POISON)).status == 503
            assert (await gateway.ask("/unsafe/x", body=popular)).status == 200

    play(test)
