"""Tests of the status and metrics pages."""

import asyncio

from plumarch.core import build, clock, traffic
from plumarch.daemon import status_pages
from plumarch.gateway.callers import caller_requests
from plumarch.limits import memory_account
from plumarch.membership import fleet_view
from plumarch.standins import gateway_parts


class RecordingReply:
    """Keeps the body that was sent."""

    body = b""

    def send(self, status: int, headers: object, body: bytes) -> None:
        self.body = body


def page(path: bytes, state: object, view: fleet_view.FleetView | None = None) -> list[str]:
    reply = RecordingReply()
    request = caller_requests.CallerRequest(b"GET", path, (), b"", 0)
    asyncio.run(status_pages.StatusPages(state, lambda: True, view).handle(request, reply))
    return reply.body.decode().splitlines()


def test_metrics_show_reserved_bytes_by_purpose_disconnected_callers_and_abandoned_streams():
    state = gateway_parts.new_state(clock.ManualClock(1_000))
    purpose = memory_account.Purpose.UNREAD_ANSWERS
    assert state.memory.resize(memory_account.Reservation("c", "", purpose), 1_234)
    state.measures.callers_disconnected.add("caller_stalled")
    state.measures.streams.add("let_go")
    lines = page(b"/metrics", state)
    assert 'plumarch_gateway_state{name="memory_unread_answers_bytes"} 1234.0' in lines
    assert 'plumarch_gateway_state{name="memory_kept_bodies_bytes"} 0.0' in lines
    [budget] = [line for line in lines if "memory_budget_bytes" in line]
    assert float(budget.split()[-1]) == state.memory.budget
    assert 'plumarch_gateway_callers_cut_total{reason="caller_stalled"} 1.0' in lines
    assert 'plumarch_gateway_streams_total{what="let_go"} 1.0' in lines


def test_status_lists_endpoints_that_drain_or_back_off_by_their_answers():
    state = gateway_parts.new_state(clock.ManualClock(1_000))
    ready = traffic.EndpointState.READY
    one, other = (
        traffic.Endpoint(name, "s", "10.0.0.1:80", "a", 8, ready) for name in ("one", "other")
    )
    state.registry.replace([one, other], 1, "store")
    state.registry.note_draining(one, 5)
    state.backoff.note_retry_after(other, 5, 3_000.0)
    lines = page(b"/status", state)
    assert "leaves by its own word: one" in lines
    assert "asked for rest: other, 3000 ms more" in lines
    found = page(b"/metrics", state)
    assert 'plumarch_gateway_state{name="endpoints_leaving_by_answer"} 1.0' in found
    assert 'plumarch_gateway_state{name="endpoints_resting"} 1.0' in found


def test_status_lists_endpoints_that_announce_a_request_rate():
    state = gateway_parts.new_state(clock.ManualClock(1_000))
    one = traffic.Endpoint("one", "s", "10.0.0.1:80", "a", 8, traffic.EndpointState.READY)
    state.registry.replace([one], 1, "store")
    state.permits.announced(one, 5, 0.5)
    assert "announces a limit: one, 0.5 requests a second of all nodes" in page(b"/status", state)
    found = page(b"/metrics", state)
    assert 'plumarch_gateway_state{name="endpoints_with_announced_rate"} 1.0' in found


def test_status_lists_the_builds_of_a_mixed_fleet():
    steady = clock.ManualClock(1_000)
    view = fleet_view.FleetView(steady, "n", 1_764_720_000_000, "10.0.0.9:7", "a")
    for number, name in enumerate(("", "", "later")):
        peer = view.mark_seen(f"m{number}", 1_764_730_000_000 + number, f"10.0.0.{number}:7", "a")
        assert peer is not None
        peer.build = name
    metrics = page(b"/metrics", gateway_parts.new_state(steady))
    assert f'plumarch_gateway_build{{build="{build.NAME}"}} 1.0' in metrics
    lines = page(b"/status", gateway_parts.new_state(steady), view)
    assert f"build {build.NAME}: 1 nodes, the first one started 2025-12-03T00:00:00Z" in lines
    assert "build later: 1 nodes, the first one started 2025-12-03T02:46:40Z" in lines
    [unreported] = [line for line in lines if "does not report its name" in line]
    assert ": 2 nodes" in unreported
