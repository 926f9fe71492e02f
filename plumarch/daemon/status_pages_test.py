"""What operators see of a node's memory."""

import asyncio

from plumarch.core import clock
from plumarch.daemon import status_pages
from plumarch.gateway import caller_requests
from plumarch.limits import memory_account
from plumarch.standins import gateway_parts


class KeptReply:
    """A reply that keeps what was sent."""

    body = b""

    def send(self, status: int, headers: object, body: bytes) -> None:
        self.body = body


def test_bytes_held_are_told_by_purpose_beside_callers_cut_and_streams_let_go():
    state = gateway_parts.new_state(clock.ManualClock(1_000))
    purpose = memory_account.Purpose.UNREAD_ANSWERS
    assert state.memory.resize(memory_account.Holding("c", "", purpose), 1_234)
    state.measures.callers_cut.add("caller_stalled")
    state.measures.streams.add("let_go")
    reply = KeptReply()
    request = caller_requests.CallerRequest(b"GET", b"/metrics", (), b"", 0)
    asyncio.run(status_pages.StatusPages(state, lambda: True).handle(request, reply))
    lines = reply.body.decode().splitlines()
    assert 'plumarch_gateway_state{name="memory_unread_answers_bytes"} 1234.0' in lines
    assert 'plumarch_gateway_state{name="memory_kept_bodies_bytes"} 0.0' in lines
    [budget] = [line for line in lines if "memory_budget_bytes" in line]
    assert float(budget.split()[-1]) == state.memory.budget
    assert 'plumarch_gateway_callers_cut_total{reason="caller_stalled"} 1.0' in lines
    assert 'plumarch_gateway_streams_total{what="let_go"} 1.0' in lines
