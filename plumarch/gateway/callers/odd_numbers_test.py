"""Headers, event ids and versions with odd numbers cost at most the request that has them."""

import asyncio

import pytest

from plumarch.gateway import relay_test
from plumarch.gateway.callers import admission
from plumarch.gateway.dispatch import event_stream, software_version_test
from plumarch.standins import scripted_endpoint as scripted

NUMBERS = ["9" * 6_000, "\xb2", "-5", "1_0", "1e400", "nan", ""]
HEADERS = [
    "X-Token-Counts: {},5",
    "X-Token-Counts: 5,{}",
    "X-Prompt-Parts: ab:{}",
    "X-Deadline-Ms: {}",
]


@pytest.mark.parametrize("header", HEADERS)
@pytest.mark.parametrize("number", NUMBERS, ids=range(len(NUMBERS)))
def test_a_caller_with_an_odd_number_in_a_header_gets_an_answer(header: str, number: str):
    """One of thousands of digits, or a superscript, left the caller without an answer."""

    async def test() -> None:
        async with relay_test.Gateway(relay_test.answers()) as gateway:
            gateway.callers.limits = relay_test.traffic.CallerLimits(header_bytes=20_000)
            reader, writer = await gateway.connect()
            line = header.format(number).encode("latin-1") + b"\r\n\r\n"
            writer.write(relay_test.request_bytes("/safe/")[:-2] + line)
            found = await asyncio.wait_for(relay_test.read_answer(reader), 10)
            assert found.status in (200, 504)
            assert b'"kind":"fault"' not in bytes(gateway.state.log.pending)
            writer.close()

    relay_test.play(test)


def test_a_request_that_cannot_be_admitted_for_a_fault_gets_an_answer(
    monkeypatch: pytest.MonkeyPatch,
):
    """Its caller waited until its own deadline."""

    def fail(*_: object) -> None:
        raise ValueError("unforeseen")

    async def test() -> None:
        monkeypatch.setattr(admission, "admit", fail)
        async with relay_test.Gateway(relay_test.answers()) as gateway:
            assert (await gateway.ask("/safe/")).status == 502
            assert b'"kind":"fault"' in bytes(gateway.state.log.pending)

    relay_test.play(test)


@pytest.mark.parametrize("counts", ["-100000,5", "5,-100000", "-5,-5"])
def test_negative_token_counts_give_no_quota(counts: str):
    """They were charged as they stood, which refilled the workspace's quota."""
    assert admission.token_counts(counts) == (0, 0)


@pytest.mark.parametrize("version", ["v\xb2", "v" + "9" * 6_000, "\u0663"])
def test_an_endpoint_whose_version_has_odd_digits_leaves_the_others_in_use(version: str):
    """Each request of its service failed while another version was listed."""

    async def test() -> None:
        endpoints = (relay_test.answers(), relay_test.answers())
        async with relay_test.Gateway(*endpoints, versions=("v1", version)) as gateway:
            for _ in range(4):
                assert (await gateway.ask("/safe/")).status == 200

    relay_test.play(test)


@pytest.mark.parametrize("last", ["\xb2", "9" * 6_000])
def test_odd_event_ids_are_not_taken_for_numbers(last: str):
    assert event_stream.follows(last, "5") and event_stream.follows("5", last)


def test_a_resumption_after_an_odd_event_id_gets_an_answer():
    async def test() -> None:
        writes = software_version_test.writes("v1")

        async def answering(
            request: scripted.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            request.headers["last-event-id"] = "1"
            await writes(request, writer)

        async with relay_test.Gateway(answering) as gateway:
            reader, writer = await gateway.connect()
            extra = b"Last-Event-Id: \xb2\r\nX-Resumes: first\r\n\r\n"
            writer.write(relay_test.request_bytes("/chat/")[:-2] + extra)
            found = await relay_test.read_answer(reader)
            assert found.status in (200, 503)
            assert b'"kind":"fault"' not in bytes(gateway.state.log.pending)
            writer.close()

    relay_test.play(test)
