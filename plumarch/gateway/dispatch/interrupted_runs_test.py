"""Which lost runs are held against their requests, over loopback."""

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


def ending(world: list[relay_test.Gateway]) -> scripted.Answering:
    """Return what ends an endpoint under one body, as a crash does, and answers all others."""

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
    """Wait until all endpoints that are being asked have answered."""
    lost = gateway.callers.handler.interrupted_runs
    for endpoint in list(lost.probes):
        await lost.wait_for_probe(endpoint)


def test_an_endpoint_that_breaks_answers_off_and_lives_says_nothing_against_a_request():
    async def breaks(request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    async def test() -> None:
        async with gateway_of(3, breaks) as gateway:
            for _ in range(6):
                answer = await gateway.ask("/safe/x", body=POISON)
                assert answer.status == 502
                await wait_for_probes(gateway)
            assert suspects(gateway) == []

    play(test)


def test_a_request_is_sent_to_no_fourth_endpoint_and_its_caller_is_told_that_it_has_not_run():
    async def test() -> None:
        world: list[relay_test.Gateway] = []
        async with gateway_of(6, ending(world)) as gateway:
            world.append(gateway)
            first = await gateway.ask("/chat/x", body=POISON)
            assert first.status == 502 and gateway.sends() == 3
            second = await gateway.ask("/chat/x", body=POISON)
            assert second.status == 503 and float(second.headers["retry-after"]) > 50
            assert gateway.sends() == 3
            other = await gateway.ask("/chat/x", body=b"other words")
            assert other.status == 200

    play(test)


def test_the_last_allowed_repeat_is_not_made_once_the_third_endpoint_ended():
    """Two tries of two sends each: the fourth send would begin before the third end is known."""

    async def test() -> None:
        world: list[relay_test.Gateway] = []
        async with gateway_of(6, ending(world)) as gateway:
            world.append(gateway)
            await gateway.ask("/safe/x", body=POISON)
            await wait_for_probes(gateway)
            await gateway.ask("/safe/x", body=POISON)
            assert gateway.sends() == 3

    play(test)


def test_what_may_run_once_is_held_back_as_well():
    async def test() -> None:
        world: list[relay_test.Gateway] = []
        async with gateway_of(6, ending(world)) as gateway:
            world.append(gateway)
            for _ in range(5):
                await gateway.ask("/unsafe/x", body=POISON)
                await wait_for_probes(gateway)
            assert gateway.sends() == 3

    play(test)


def test_an_answer_clears_a_request():
    async def test() -> None:
        world: list[relay_test.Gateway] = []
        async with gateway_of(4, ending(world)) as gateway:
            world.append(gateway)
            await gateway.ask("/safe/x", body=POISON)
            await wait_for_probes(gateway)
            assert [one.points() for one in suspects(gateway)] == [2 * EARLY]
            for endpoint in gateway.endpoints:
                endpoint.answering = sound
            assert (await gateway.ask("/safe/x", body=POISON)).status == 200
            assert [one.points() for one in suspects(gateway)] == [0]

    play(test)


async def sound(request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(scripted.answer(request))


def test_requests_of_the_same_words_and_another_caller_are_served():
    async def test() -> None:
        world: list[relay_test.Gateway] = []
        async with gateway_of(6, ending(world)) as gateway:
            world.append(gateway)
            await gateway.ask("/chat/x", body=POISON)
            await wait_for_probes(gateway)
            for endpoint in gateway.endpoints:
                endpoint.answering = sound
            assert (await gateway.ask("/chat/x", body=POISON, key="little")).status == 200
            assert (await gateway.ask("/chat/x", body=POISON)).status == 503

    play(test)


def test_an_endpoint_that_is_back_before_it_is_asked_has_ended_by_what_it_says_of_its_start():
    """A supervisor that holds the port for it takes connections all the time."""

    async def breaks(request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    async def test() -> None:
        async with gateway_of(1, breaks) as gateway:
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


def test_a_request_that_was_answered_just_now_is_not_held_back_for_the_ends_beside_it():
    """Many callers ask the same; a poison request ends three endpoints that begin to run it."""
    popular = b"words that many callers send"
    begun = asyncio.Event()

    async def ends_both(request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if request.body == popular:
            begun.set()
            await asyncio.sleep(0.5)
        await gateways[0].endpoints[0].stop()
        writer.transport.abort()

    gateways: list[relay_test.Gateway] = []

    async def test() -> None:
        async with gateway_of(1, sound) as gateway:
            gateways.append(gateway)
            (endpoint,) = gateway.endpoints
            assert (await gateway.ask("/unsafe/x", body=popular)).status == 200
            for number in range(3):
                endpoint.answering = ends_both
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
            endpoint.answering = sound
            assert (await gateway.ask("/unsafe/x", body=POISON)).status == 503
            assert (await gateway.ask("/unsafe/x", body=popular)).status == 200

    play(test)
