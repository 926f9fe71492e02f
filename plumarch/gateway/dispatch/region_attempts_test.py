"""Requests sent to another region: choice, log lines, metrics, timeouts and rejections."""

import asyncio
import dataclasses
import json
from collections.abc import Awaitable, Callable

import pytest

from plumarch.config import routing_table
from plumarch.core import clock, traffic
from plumarch.daemon import status_pages
from plumarch.gateway import fleet_state
from plumarch.gateway.callers import admission, caller_requests
from plumarch.gateway.dispatch import (
    attempts,
    endpoint_outcomes,
    interrupted_runs,
    request_run,
    stream_relay,
    version_outcomes,
)
from plumarch.routing import distance, endpoint_choice, relative_latency
from plumarch.standins import gateway_parts
from plumarch.standins import scripted_endpoint as scripted

REGIONS = {"a": "north", "b": "north", "c": "south"}
LATE_MS = 10_000
NETWORK_MS = 60.0

ROUTE = traffic.Route(
    "r",
    "h",
    "/",
    traffic.RouteKind.SAFE,
    LATE_MS,
    400.0,
    (traffic.ServiceShare("s", 1.0),),
    max_attempts=3,
)


class RecordedReply:
    """Records the answer sent to a caller."""

    def __init__(self) -> None:
        self.started = False
        self.status = 0
        self.headers: dict[bytes, bytes] = {}

    def send(self, status: int, headers: caller_requests.Headers, body: bytes) -> None:
        self.status, self.headers = status, dict(headers)

    def start(self, status: int, headers: caller_requests.Headers) -> None:
        self.started, self.status = True, status

    async def send_chunk(self, data: bytes) -> None:
        pass

    def finish(self) -> None:
        pass

    def abort(self) -> None:
        pass


def endpoint(name: str, data_centre: str, address: str = "127.0.0.1:1") -> traffic.Endpoint:
    return traffic.Endpoint(name, "s", address, data_centre, 4, traffic.EndpointState.READY)


def state_with(steady: clock.Clock, *endpoints: traffic.Endpoint) -> fleet_state.FleetState:
    state = gateway_parts.new_state(steady)
    state.distances.regions = REGIONS
    state.registry.replace(list(endpoints), 1, "store")
    return state


def table(service: traffic.Service) -> routing_table.RoutingTable:
    return routing_table.build(
        routing_table.Configuration(1, (ROUTE,), (service,), (), traffic.CallerLimits())
    )


def admitted(
    steady: clock.Clock, time_left_ms: float = LATE_MS, prompt_tokens: int = 0
) -> admission.Admitted:
    return admission.Admitted(
        request=caller_requests.CallerRequest(b"GET", b"/", ((b"host", b"h"),), b"", steady.now()),
        id="r1",
        route=ROUTE,
        service="s",
        workspace=None,
        units=0.0,
        ends_ms=steady.now() + time_left_ms,
        parts=(),
        prompt_tokens=prompt_tokens,
        version=1,
    )


def lines(state: fleet_state.FleetState, kind: str) -> list[dict[str, object]]:
    found = [json.loads(line) for line in bytes(state.log.pending).splitlines()]
    return [one for one in found if one["kind"] == kind]


def play(test: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), 30))


async def answers(request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(scripted.answer(request))


async def aborts(request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


def new_run(
    state: fleet_state.FleetState, one: admission.Admitted, reply: "RecordedReply"
) -> request_run.RequestRun:
    return request_run.RequestRun(state, one, reply, interrupted_runs.InterruptedRuns(state))


async def serve(
    state: fleet_state.FleetState, one: admission.Admitted
) -> tuple[request_run.Outcome, RecordedReply]:
    reply = RecordedReply()
    return await new_run(state, one, reply).serve(), reply


def test_a_send_to_another_region_is_logged_with_the_reason_and_counted():
    async def test() -> None:
        steady = clock.MonotonicClock()
        remote = await scripted.ScriptedEndpoint(answers).start()
        state = state_with(steady, endpoint("e1", "c", remote.address))
        outcome, _ = await serve(state, admitted(steady))
        assert outcome.status == 200
        [sent] = lines(state, "sent")
        assert sent["locality"] == "other_region"
        assert sent["leaves_region"] == "no_room_near"
        assert sent["round_trip_ms"] == NETWORK_MS
        assert state.measures.sends.counts == {("s", "other_region"): 1.0}
        assert b"plumarch_gateway_sends_total" in state.measures.text()
        deadline_ms = int(remote.received[0].headers["x-deadline-ms"])
        assert deadline_ms <= LATE_MS - NETWORK_MS
        await remote.stop()

    play(test)


def test_retries_go_to_the_own_region_first_and_then_to_another():
    async def test() -> None:
        steady = clock.MonotonicClock()
        servers = [
            await scripted.ScriptedEndpoint(one).start() for one in (aborts, aborts, answers)
        ]
        state = state_with(
            steady,
            *(
                endpoint(f"e{number}", "abc"[number], one.address)
                for number, one in enumerate(servers)
            ),
        )
        outcome, _ = await serve(state, admitted(steady))
        assert outcome.status == 200
        sent = lines(state, "sent")
        assert [one["endpoint"] for one in sent] == ["e0", "e1", "e2"]
        assert [one["leaves_region"] for one in sent] == ["", "", "repeat"]
        assert [one["locality"] for one in sent] == [
            "same_data_centre",
            "same_region",
            "other_region",
        ]
        for one in servers:
            await one.stop()

    play(test)


def test_a_request_that_no_endpoint_can_answer_in_time_is_rejected_with_a_retry_after():
    async def test() -> None:
        steady = clock.MonotonicClock()
        remote = await scripted.ScriptedEndpoint(answers).start()
        state = state_with(steady, endpoint("e1", "c", remote.address))
        scaling = traffic.Scaling(0, 4, 3_000.0, 0.2, {"a": 1.0})
        state.adopt_table(table(traffic.Service("s", scaling=scaling)), "store")
        outcome, reply = await serve(state, admitted(steady, time_left_ms=100.0))
        assert outcome == request_run.Outcome(503, "no_endpoint")
        assert remote.received == []
        assert float(reply.headers[b"retry-after"]) >= scaling.boot_ms / 1_000.0
        [line] = lines(state, "no_endpoint")
        assert line["too_far"] == 1
        await remote.stop()

    play(test)


def test_the_retry_delay_is_the_time_until_capacity_in_the_region_is_free():
    steady = clock.ManualClock()
    state = state_with(steady, endpoint("e0", "a"), endpoint("e1", "c"))
    state.chooser.speed("s").run_ms.value = 900.0
    state.chooser.report_loads("x", {"e0": endpoint_choice.Load(12)})
    urgent = admitted(steady, time_left_ms=100.0)
    assert attempts.choose(state, urgent, attempts.Progress()) is None
    assert attempts.retry_delay_ms(state, urgent) == 900.0 * 9 / 4


@pytest.mark.parametrize("tried", [set(), {"e2"}])
def test_an_unhealthy_local_endpoint_is_chosen_if_remote_ones_are_too_distant(tried: set[str]):
    steady = clock.ManualClock()
    state = state_with(steady, endpoint("e0", "a"), endpoint("e1", "c"))
    for _ in range(3):
        state.health.failure("e0", request_run.SERVER_ERROR_WEIGHT)
    for time_left_ms, expected in ((LATE_MS, "e1"), (100.0, "e0")):
        choice = attempts.choose(
            state, admitted(steady, time_left_ms), attempts.Progress(tried=set(tried))
        )
        assert choice is not None
        assert choice.endpoint.id == expected


@pytest.mark.parametrize(("slow", "expected"), [("e0 e1", "e0 e1"), ("e0", "e1")])
def test_slow_outliers_are_found_within_their_region(slow: str, expected: str):
    steady = clock.ManualClock()
    remote = [endpoint(f"far{number}", "c") for number in range(8)]
    state = state_with(steady, endpoint("e0", "a"), endpoint("e1", "a"), *remote)
    for name in slow.split():
        state.health.latencies.known[name] = relative_latency.EndpointLatency(mean=4.0)
    chosen = {
        choice.endpoint.id
        for _ in range(20)
        if (choice := attempts.choose(state, admitted(steady), attempts.Progress())) is not None
    }
    assert chosen == set(expected.split())


def test_a_single_local_endpoint_is_compared_with_remote_ones():
    steady = clock.ManualClock()
    state = state_with(steady, endpoint("e0", "a"), endpoint("e1", "c"), endpoint("e2", "c"))
    state.health.latencies.known["e0"] = relative_latency.EndpointLatency(mean=4.0)
    choice = attempts.choose(state, admitted(steady), attempts.Progress())
    assert choice is not None
    assert choice.endpoint.id != "e0"


def test_network_latency_counts_in_the_expected_time_to_the_first_token():
    steady = clock.ManualClock()
    state = state_with(steady, endpoint("e1", "c"))
    run = new_run(state, admitted(steady, prompt_tokens=100), RecordedReply())
    local = endpoint_choice.Choice(
        endpoint("e0", "a"), 0.0, 100.0, 1, waiting_tokens=8_000.0, capacity_wait_ms=0.0
    )
    assert not run._is_expected_late(local)
    assert run._is_expected_late(dataclasses.replace(local, network_ms=2 * NETWORK_MS))


@pytest.mark.parametrize(("data_centre", "added_ms"), [("a", 0.0), ("b", 0.0), ("c", NETWORK_MS)])
def test_timeouts_grow_by_the_round_trip_to_another_region_only(data_centre: str, added_ms: float):
    steady = clock.ManualClock()
    there = endpoint("e1", data_centre)
    state = state_with(steady, there)
    assert attempts.connect_timeout_ms(state, there) == (
        attempts.CONNECT_TIMEOUT_MS + attempts.CONNECT_ROUND_TRIPS * added_ms
    )
    run = new_run(state, admitted(steady), RecordedReply())
    choice = endpoint_choice.Choice(there, 0.0, 0.0, 1)
    attempt = attempts.Attempt(choice, None, None, round_trip_ms=added_ms)  # type: ignore[arg-type]
    timeout_ms = request_run.ANSWER_TIMEOUT_TARGETS * ROUTE.target_ms
    assert run._answer_timeout_ms(attempt) == timeout_ms + added_ms


def test_network_latency_is_not_counted_as_the_endpoints_time():
    steady = clock.ManualClock()
    there = endpoint("e1", "c")
    state = state_with(steady, there)
    run = new_run(state, admitted(steady), RecordedReply())
    choice = endpoint_choice.Choice(there, 0.0, 0.0, 1)
    sent_request = endpoint_outcomes.record_send(state, run.admitted, choice)
    attempt = attempts.Attempt(choice, None, sent_request, round_trip_ms=NETWORK_MS)  # type: ignore[arg-type]
    steady.advance_to(150)
    stream_relay.note_first_token(state, run.admitted, attempt, began_before=False)
    version_outcomes.note(state, run.admitted, attempt, failed=False)
    assert state.chooser.work.expected_ms("s") == 90.0
    assert state.answer_times.by_route["r"].value == 90.0


def test_a_data_centre_without_a_region_is_logged_once():
    steady = clock.ManualClock()
    state = state_with(steady, endpoint("e1", "c"))
    for name in ("e2", "e3"):
        changes = state.registry.replace([endpoint("e1", "c"), endpoint(name, "x")], 2, "store")
        state.registry_changed(changes, "store")
    assert [one["data_centre"] for one in lines(state, "region_unknown")] == ["x"]


def test_the_metrics_page_shows_the_round_trip_to_connected_data_centres():
    state = state_with(clock.ManualClock())
    for _ in range(distance.MIN_CONNECTS):
        state.distances.connected("c", 42.0)
    pages = status_pages.StatusPages(state, lambda: True)
    request = caller_requests.CallerRequest(b"GET", b"/metrics", (), b"", 0)
    asyncio.run(pages.handle(request, RecordedReply()))
    assert state.measures.state["round_trip_ms:c"] == 42.0


def test_the_chooser_uses_the_shared_distances():
    state = gateway_parts.new_state(clock.ManualClock())
    assert isinstance(state.distances, distance.Distances)
    assert state.chooser.distances is state.distances
