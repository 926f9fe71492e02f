"""Streams under random failures: events in order, once, and complete only if all arrived."""

import asyncio

import hypothesis
from hypothesis import strategies

from plumarch.gateway import relay_test
from plumarch.standins import scripted_endpoint as scripted

EVENTS = 6
"""Number of events in a complete stream."""

HALF_EVENT = scripted.event(99)[:9]

BREAKS = ("reset", "close", "torn", "skips", "repeats", "not_run", "no_answer", "unsigned")


def breaking(kind: str, after: int) -> scripted.Answering:
    """Return an endpoint that sends events from the requested one on, then fails.

    Args:
      kind: one of BREAKS, or "whole" for a complete stream.
      after: number of events sent before the failure.
    """

    async def answering(request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if kind == "not_run":
            writer.write(
                scripted.answer(request, "503 Service Unavailable", headers=("x-not-run: 1",))
            )
            return
        if kind == "no_answer":
            return
        begin = int(request.headers.get("last-event-id", "0")) + 1
        head = scripted.stream_head(request)
        if kind == "unsigned":
            head = head.replace(b"x-signature: signed\r\n", b"")
        writer.write(head)
        last = EVENTS if kind == "whole" else min(EVENTS, begin + after - 1)
        for number in range(begin, last + 1):
            writer.write(scripted.chunk(scripted.event(number)))
        await writer.drain()
        if kind == "whole":
            writer.write(scripted.chunk(b""))
        elif kind == "torn":
            writer.write(scripted.chunk(HALF_EVENT) + scripted.chunk(b""))
        elif kind == "skips":
            writer.write(scripted.chunk(scripted.event(last + 2)) + scripted.chunk(b""))
        elif kind == "repeats":
            writer.write(scripted.chunk(scripted.event(last)) + scripted.chunk(b""))
        elif kind == "reset":
            relay_test.reset(writer)

    return answering


def scripts(kinds: tuple[str, ...]) -> strategies.SearchStrategy[tuple[str, int]]:
    return strategies.tuples(strategies.sampled_from(kinds), strategies.integers(0, EVENTS))


@hypothesis.given(
    strategies.lists(scripts((*BREAKS, "whole")), min_size=3, max_size=3),
    strategies.sampled_from(["chat", "diff"]),
)
@hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
def test_a_stream_is_relayed_in_order_and_complete_only_if_it_is(
    script: list[tuple[str, int]], route: str
):
    async def test() -> None:
        endpoints = [breaking(kind, after) for kind, after in script]
        async with relay_test.Gateway(*endpoints) as gateway:
            # The caller says what it has got, so that a first event that skips is seen.
            found = await gateway.ask(f"/{route}/", extra="Last-Event-Id: 0\r\n")
            sends = gateway.sends()
        began = sum(bool(counts) for counts in gateway.state.usage.own.values())
        if found.status == 200:
            last = found.body.count(b"\n\n")
            assert found.body == relay_test.events(1, last)
            assert found.whole == (last == EVENTS and "whole" in {kind for kind, _ in script})
        else:
            assert found.whole
            assert found.status in (502, 503)
        if found.status == 503:
            assert {kind for kind, _ in script[:sends]} <= {"not_run"}
            assert began == 0
        runs = [kind for kind, _ in script[:sends] if kind != "not_run"]
        assert route == "chat" or len(runs) <= 1

    relay_test.play(test)


def test_a_stream_without_event_ids_is_not_begun_again_within_its_answer():
    """It would repeat the events that the caller holds."""

    async def test() -> None:
        async with relay_test.Gateway(without_ids(breaks=True), without_ids()) as gateway:
            found = await gateway.ask("/chat/")
            assert found.body.count(b"data: word\n\n") <= EVENTS

    relay_test.play(test)


def without_ids(breaks: bool = False) -> scripted.Answering:
    """Return an endpoint whose events have no ids, and that may reset after half of them."""

    async def answering(request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(scripted.stream_head(request))
        for _ in range(EVENTS // 2 if breaks else EVENTS):
            writer.write(scripted.chunk(b"data: word\n\n"))
        await writer.drain()
        if breaks:
            relay_test.reset(writer)
        else:
            writer.write(scripted.chunk(b""))

    return answering
