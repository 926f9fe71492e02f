"""Endpoints that are slow, fail at times, or crash under too many requests."""

import asyncio
import dataclasses
import math
from collections.abc import Callable

from plumarch.core import clock, traffic
from plumarch.gateway import relay, relay_test
from plumarch.gateway.callers import admission, caller_connection, caller_requests
from plumarch.gateway.dispatch import attempts, endpoint_outcomes
from plumarch.routing import crash_guard, endpoint_choice, endpoint_limits
from plumarch.standins import gateway_parts
from plumarch.standins import scripted_endpoint as scripted

CALLERS = 45


class OverloadedEndpoints:
    """Endpoints that answer on release, or crash above their capacity.

    Attributes:
      capacities: maximum of concurrent requests by endpoint; one more crashes it for good.
      pending: open requests by endpoint.
      crashed: numbers of crashed endpoints.
      answered: statuses of final answers to callers.
    """

    def __init__(self, capacities: list[int]) -> None:
        self.capacities = capacities
        self.pending: list[set[asyncio.StreamWriter]] = [set() for _ in capacities]
        self.crashed: set[int] = set()
        self.answered: list[int] = []
        self.moved = asyncio.Condition()
        self.release = asyncio.Event()
        self.gateway: relay_test.Gateway | None = None

    def answering(self, number: int) -> scripted.Answering:
        async def hold(request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if number in self.crashed:
                relay_test.reset(writer)
                return
            self.pending[number].add(writer)
            if len(self.pending[number]) > self.capacities[number]:
                await self._crash(number)
                return
            await self._note()
            await self.release.wait()
            if number not in self.crashed:
                writer.write(scripted.answer(request))

        return hold

    async def _crash(self, number: int) -> None:
        assert self.gateway is not None
        self.crashed.add(number)
        await self.gateway.endpoints[number].stop()
        for writer in self.pending[number]:
            relay_test.reset(writer)
        self.pending[number].clear()
        await self._note()

    async def _note(self) -> None:
        async with self.moved:
            self.moved.notify_all()

    async def ask(self) -> None:
        assert self.gateway is not None
        found = await self.gateway.ask("/safe/")
        self.answered.append(found.status)
        await self._note()

    async def wait_settled(self, callers: int) -> None:
        """Wait until each caller has an answer or a pending request."""
        async with self.moved:
            await self.moved.wait_for(
                lambda: len(self.answered) + sum(map(len, self.pending)) == callers
            )


def test_the_crash_of_one_endpoint_does_not_cascade():
    async def test() -> None:
        overloaded = OverloadedEndpoints([10, 20, 20])
        async with relay_test.Gateway(*(overloaded.answering(n) for n in range(3))) as gateway:
            overloaded.gateway = gateway
            requests = [asyncio.create_task(overloaded.ask()) for _ in range(CALLERS)]
            await overloaded.wait_settled(CALLERS)
            first = overloaded.answered.copy()
            retries = [asyncio.create_task(overloaded.ask()) for _ in first]
            await overloaded.wait_settled(CALLERS + len(retries))
            assert overloaded.crashed == {0}
            overloaded.release.set()
            await asyncio.gather(*requests, *retries)
            assert overloaded.answered.count(200) >= 16
            log = gateway.state.log.pending
            assert log.count(b'"kind":"endpoint_fell"') == 1
            assert gateway.state.measures.crashes.counts == {("s",): 1.0}

    relay_test.play(test)


def admitted(rank: int) -> admission.Admitted:
    route = dataclasses.replace(relay_test.TABLE.configuration.routes[0], priority=rank)
    request = caller_requests.CallerRequest(b"GET", b"/safe/", (), b"", 0)
    return admission.Admitted(request, "r", route, "s", None, 0.0, 60_000.0, (), 0, 1)


def test_after_a_crash_less_urgent_requests_are_refused_with_a_retry_time():
    time = clock.ManualClock()
    state = gateway_parts.new_state(time)
    endpoints = [
        traffic.Endpoint(f"e{number}", "s", "1:1", "a", 8, traffic.EndpointState.READY)
        for number in range(3)
    ]
    state.registry.replace(endpoints, 1, "store")
    state.chooser.own = {one.id: endpoint_choice.Load(13) for one in endpoints}
    for _ in range(2):
        state.limits.lost(endpoints[0], 20, 22)
    tried = attempts.Progress(tried={"e0"})
    assert attempts.choose(state, admitted(0), tried) is not None
    assert attempts.choose(state, admitted(2), tried) is None
    back_in_ms = attempts.retry_delay_ms(state, admitted(2))
    assert 0 < back_in_ms < crash_guard.RAMP_MS
    time.advance_to(math.ceil(back_in_ms))
    assert attempts.choose(state, admitted(2), tried) is not None


def wait_after_a_crash(others: int) -> float:
    """Return how long a request waits after one of many busy endpoints crashed with 12 requests.

    Args:
      others: number of remaining endpoints, with 12 requests each, and 24 on the first one.
    """
    state = gateway_parts.new_state(clock.ManualClock())
    endpoints = [
        traffic.Endpoint(f"e{number}", "s", "1:1", "a", 8, traffic.EndpointState.READY)
        for number in range(1 + others)
    ]
    state.registry.replace(endpoints, 1, "store")
    state.chooser.own = {one.id: endpoint_choice.Load(12) for one in endpoints}
    state.chooser.own["e1"] = endpoint_choice.Load(24)
    for _ in range(2):
        state.limits.lost(endpoints[0], 12, 12 * others)
    return endpoint_outcomes.wait_after_crash_ms(state, admitted(0), endpoints)


def test_a_crash_delays_nothing_where_many_endpoints_share_the_lost_load():
    assert wait_after_a_crash(15) > 0.0
    assert wait_after_a_crash(16) == 0.0


def crash_after_updates(
    *changes: Callable[[traffic.Endpoint], list[traffic.Endpoint]],
) -> crash_guard.Crash | None:
    """Return the crash counted after two lost requests to an endpoint updated since its choice."""
    state = gateway_parts.new_state(clock.ManualClock())
    one = traffic.Endpoint("e0", "s", "1:1", "a", 8, traffic.EndpointState.READY)
    state.registry.replace([one], 1, "store")
    state.chooser.own = {"e0": endpoint_choice.Load(13)}
    for number, change in enumerate(changes):
        state.registry.replace(change(one), 2 + number, "store")
    for _ in range(2):
        endpoint_outcomes.lost(
            state, endpoint_outcomes.SentRequest(one, endpoint_limits.PLAIN, None)
        )
    return state.limits.crashes.recent("s")


def test_an_endpoint_that_started_draining_after_it_was_chosen_counts_no_crash():
    def draining(one: traffic.Endpoint) -> list[traffic.Endpoint]:
        return [dataclasses.replace(one, state=traffic.EndpointState.DRAINING)]

    def removed(_: traffic.Endpoint) -> list[traffic.Endpoint]:
        return []

    assert crash_after_updates() is not None
    assert crash_after_updates(removed) is not None
    assert crash_after_updates(draining) is None
    assert crash_after_updates(draining, removed) is None


class ManualGateway(relay_test.Gateway):
    """A gateway on a manual clock."""

    def __init__(self, time: clock.ManualClock, *answering: scripted.Answering) -> None:
        super().__init__(*answering)
        self.state = gateway_parts.new_state(time)
        self.callers = caller_connection.CallerServer(time, relay.Relay(self.state))
        self.callers.limits = relay_test.TABLE.configuration.limits


def test_no_request_goes_to_a_slow_endpoint_while_another_is_free():
    async def test() -> None:
        time = clock.ManualClock()
        latency_ms = {0: 20, 1: 20, 2: 20}

        def taking(number: int) -> scripted.Answering:
            async def answering(
                request: scripted.ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                time.advance_to(time.now() + latency_ms[number])
                writer.write(scripted.answer(request))

            return answering

        async with ManualGateway(time, *(taking(number) for number in range(3))) as gateway:
            for _ in range(10):
                assert (await gateway.ask("/safe/")).status == 200
            latency_ms[0] = 200
            before = len(gateway.endpoints[0].received)
            for _ in range(20):
                assert (await gateway.ask("/safe/")).status == 200
            assert len(gateway.endpoints[0].received) - before <= 5

    relay_test.play(test)


def test_a_second_try_prefers_the_endpoint_with_the_best_record():
    async def test() -> None:
        failing = relay_test.answers("500 Oops")
        async with relay_test.Gateway(failing, failing, relay_test.answers()) as gateway:
            found = [(await gateway.ask("/safe/")).status for _ in range(20)]
            assert found.count(500) <= 2

    relay_test.play(test)
