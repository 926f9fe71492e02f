"""A stream goes on only at the software version that began it."""

import asyncio
import dataclasses
import itertools
from typing import Any

import pytest

from plumarch.core import rollouts
from plumarch.gateway import relay_test
from plumarch.gateway.dispatch import request_run
from plumarch.limits import attempt_budget
from plumarch.routing import endpoint_limits, origin_uses, stream_origins
from plumarch.standins import scripted_endpoint as scripted

EVENTS = 6
"""Number of events in a complete stream."""


def writes(version: str, breaks_after: int = EVENTS) -> scripted.Answering:
    """Return an endpoint whose events name its software version.

    Args:
      breaks_after: number of events after which it resets the connection.
    """

    async def answering(request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        begin = int(request.headers.get("last-event-id", "0")) + 1
        writer.write(scripted.stream_head(request))
        for number in range(begin, min(EVENTS, begin + breaks_after - 1) + 1):
            writer.write(scripted.chunk(f"id: {number}\ndata: {version}\n\n".encode()))
        await writer.drain()
        if breaks_after < EVENTS:
            relay_test.reset(writer)
        else:
            writer.write(scripted.chunk(b""))

    return answering


class MixedGateway(relay_test.Gateway):
    """A relay whose endpoints have served side by side for long in several software versions."""

    async def __aenter__(self) -> "MixedGateway":
        await super().__aenter__()
        long_ago = self.state.clock.now() - relay_test.LONG_MS
        self.state.splits.first_seen["s"] = dict.fromkeys(self.versions, long_ago)
        return self

    def forbid_retries(self) -> None:
        """Leave each retry to the callers."""
        self.state.budget = attempt_budget.AttemptBudget(self.state.clock, 60_000, 0.0, 0.0)

    async def call(self, request: str, path: str = "/chat/", extra: str = "") -> relay_test.Answer:
        """Send a request with an id of its own."""
        reader, writer = await self.connect()
        sent = relay_test.request_bytes(path, extra=extra)
        writer.write(sent.replace(b"X-Request-Id: r1", f"X-Request-Id: {request}".encode()))
        found = await relay_test.read_answer(reader)
        writer.close()
        return found

    async def resume(self, request: str, first: str, began: relay_test.Answer) -> relay_test.Answer:
        """Resume a stream after the last event of a broken answer.

        Args:
          first: id of the request whose answer brought the stream's first event.
        """
        last = began.body.count(b"\n\n")
        return await self.call(request, extra=f"X-Resumes: {first}\r\nLast-Event-Id: {last}\r\n")


def versions_in(body: bytes) -> set[str]:
    """Return the versions that wrote a body's events."""
    lines = body.decode().splitlines()
    return {line.removeprefix("data: ") for line in lines if line.startswith("data: ")}


def test_an_answer_whose_endpoint_breaks_goes_on_at_the_same_software_version():
    """The stream's first endpoint resets the connection, and the nearest other one differs."""

    async def test() -> None:
        endpoints = (writes("v1", breaks_after=2), writes("v2"), writes("v1"))
        async with MixedGateway(*endpoints, versions=("v1", "v2", "v1")) as gateway:
            for _ in range(20):
                found = await gateway.ask("/chat/")
                assert len(versions_in(found.body)) == 1
                assert found.whole

    relay_test.play(test)


def test_a_caller_that_resumes_at_the_same_node_gets_the_same_software_version():
    """Each call breaks after two events, and the caller names the attempt that began its stream."""

    async def test() -> None:
        endpoints = (writes("v1", 2), writes("v2", 2), writes("v1", 2), writes("v2", 2))
        async with MixedGateway(*endpoints, versions=("v1", "v2", "v1", "v2")) as gateway:
            gateway.forbid_retries()
            for number in range(20):
                body = (began := await gateway.call(f"first-{number}")).body
                for attempt in ("second", "third"):
                    began = await gateway.resume(
                        f"{attempt}-{number}",
                        f"first-{number}",
                        relay_test.Answer(200, {}, body, whole=False),
                    )
                    assert began.status == 200
                    body += began.body
                assert len(versions_in(body)) == 1

    relay_test.play(test)


def test_a_resumption_that_names_no_known_attempt_is_refused_at_once_and_truly_not_run():
    """Nobody knows the attempt, another workspace began it, or its version has no endpoint left."""

    async def test() -> None:
        endpoints = (writes("v1", 2), writes("v2"))
        async with MixedGateway(*endpoints, versions=("v1", "v2")) as gateway:
            gateway.forbid_retries()
            began = await gateway.call("first")
            sends = gateway.sends()
            unknown = await gateway.resume("second", "never-sent", began)
            reader, writer = await gateway.connect()
            other = relay_test.request_bytes(
                "/chat/", key="little", extra="X-Resumes: first\r\nLast-Event-Id: 2\r\n"
            )
            writer.write(other)
            foreign = await relay_test.read_answer(reader)
            writer.close()
            version = versions_in(began.body).pop()
            gone = {
                name: one
                for name, one in gateway.state.registry.endpoints.items()
                if one.version != version
            }
            gateway.state.registry.replace(gone.values(), 2, "store")
            ended = await gateway.resume("third", "first", began)
            for found in (unknown, foreign, ended):
                assert found.status == 503
                assert float(found.headers["retry-after"]) > 0
            assert gateway.sends() == sends
            again = await gateway.call("fourth")
            assert again.status == 200

    relay_test.play(test)


@pytest.mark.parametrize(("listed", "status"), [(("v1",), 200), (("v1", "v2"), 503)])
def test_a_stream_that_no_node_knows_goes_on_by_the_stores_record_of_origins(
    listed: tuple[str, ...], status: int
):
    """All nodes that knew it were killed; the record names one origin, or two."""

    async def test() -> None:
        async with MixedGateway(writes("v1"), versions=("v1",)) as gateway:
            state = gateway.state
            used = [
                stream_origins.RouteOrigin("chat", stream_origins.Origin("s", version))
                for version in listed
            ]

            async def read(wait_ms: float) -> None:
                uses = origin_uses.OriginUses(0, 0).with_begun(used)
                state.recorded_origins = origin_uses.KnownUses(uses, state.clock.now())

            state.read_origins = read
            began = relay_test.Answer(200, {}, b"id: 1\ndata: v1\n\n", whole=False)
            found = await gateway.resume("second", "first", began)
            assert found.status == status

    relay_test.play(test)


def test_a_caller_without_events_may_begin_at_any_software_version():
    """It names its first attempt, which brought nothing, or says that it holds no event."""

    async def test() -> None:
        async with MixedGateway(writes("v1"), writes("v2"), versions=("v1", "v2")) as gateway:
            for extra in ("X-Resumes: never-sent\r\n", "Last-Event-Id: 0\r\n"):
                found = await gateway.call("first", extra=extra)
                assert found.status == 200 and found.whole

    relay_test.play(test)


def test_an_attempt_that_begins_anew_is_not_taken_for_the_one_that_it_names():
    """The caller got nothing of its first answer, and names it without a last event."""

    async def test() -> None:
        endpoints = (writes("v1", 2), writes("v2", 2))
        async with MixedGateway(*endpoints, versions=("v1", "v2")) as gateway:
            gateway.forbid_retries()
            for number in range(20):
                first, second = f"first-{number}", f"second-{number}"
                lost = await gateway.call(first)
                anew = await gateway.call(second, extra=f"X-Resumes: {first}\r\n")
                for name, began in ((first, lost), (second, anew)):
                    found = await gateway.resume(f"{name}-resumed", name, began)
                    assert found.status == 200
                    assert len(versions_in(began.body + found.body)) == 1

    relay_test.play(test)


def test_an_endpoint_that_restarts_in_another_software_version_leaves_its_streams_unresumable():
    """A send may have reached the new process before the node knew of it."""

    async def test() -> None:
        endpoints = (writes("v2", 2), writes("v1"))
        async with MixedGateway(*endpoints, versions=("v1", "v1")) as gateway:
            gateway.forbid_retries()
            began = await gateway.call("first")
            assert versions_in(began.body) == {"v2"}
            listed = dict(gateway.state.registry.endpoints)
            restarted = dataclasses.replace(
                listed.pop("e0"), id="e0.1", name="e0", version="v2", born_ms=1
            )
            changes = gateway.state.registry.replace([*listed.values(), restarted], 2, "store")
            gateway.state.registry_changed(changes, "store")
            found = await gateway.resume("second", "first", began)
            assert found.status == 503

    relay_test.play(test)


def test_a_resumption_is_not_lost_because_its_first_event_would_be_late(
    monkeypatch: pytest.MonkeyPatch,
):
    """A new stream is better refused than late; one that has begun is lost if it is refused."""
    monkeypatch.setattr(request_run, "MIN_QUEUED_FRACTION", -1.0)
    prompt = "X-Token-Counts: 100,10\r\n"

    async def test() -> None:
        async with MixedGateway(writes("v1", 2), versions=("v1",)) as gateway:
            gateway.forbid_retries()
            began = await gateway.call("first", extra=prompt)
            speed = gateway.state.chooser.speed("s")
            monkeypatch.setattr(type(speed), "expect_ms", lambda *_: 1e9)
            assert (await gateway.call("new", extra=prompt)).status == 503
            last = began.body.count(b"\n\n")
            resumption = f"X-Resumes: first\r\nLast-Event-Id: {last}\r\n"
            assert (await gateway.call("second", extra=prompt + resumption)).status == 200

    relay_test.play(test)


def test_a_resumption_is_not_lost_while_its_software_version_is_full_for_a_moment(
    monkeypatch: pytest.MonkeyPatch,
):
    """New streams begin at the other version meanwhile; the caller of this one can't."""
    monkeypatch.setattr(request_run, "RESUMPTION_WAIT_MS", 20_000.0, raising=False)
    monkeypatch.setattr(request_run, "RESUME_CHECK_MS", 1.0)

    async def test() -> None:
        endpoints = (writes("v1", 2), writes("v2"))
        async with MixedGateway(*endpoints, versions=("v1", "v2")) as gateway:
            gateway.forbid_retries()
            names = (f"first-{number}" for number in itertools.count())
            began = await gateway.call(first := next(names))
            while versions_in(began.body) != {"v1"}:
                began = await gateway.call(first := next(names))
            full = {"e0"}

            def with_capacity(_limits: Any, _service: str, ready: Any, *_: Any) -> Any:
                return [one for one in ready if one.id not in full]

            monkeypatch.setattr(endpoint_limits.EndpointLimits, "with_capacity", with_capacity)
            resumed = asyncio.create_task(gateway.resume("second", first, began))
            while not resumed.done() and not gateway.state.log.pending.count(b'"no_endpoint"'):
                await asyncio.sleep(0)
            assert (await gateway.call("new")).whole
            full.clear()
            found = await resumed
            assert found.status == 200 and versions_in(found.body) == {"v1"}

    relay_test.play(test)


def test_a_stream_of_an_endpoint_that_announces_no_version_beside_others_that_do_ends_with_it():
    """Two endpoints whose entries lack the version need not run the same one."""

    async def test() -> None:
        endpoints = (writes("v1", 2), writes("v2"), writes("v3"))
        async with MixedGateway(*endpoints, versions=("", "v2", "")) as gateway:
            for number in range(10):
                began = await gateway.call(f"first-{number}")
                assert len(versions_in(began.body)) == 1
                if not began.whole:
                    found = await gateway.resume(f"second-{number}", f"first-{number}", began)
                    assert found.status == 503

    relay_test.play(test)


@pytest.mark.parametrize("vetoed", [False, True])
def test_a_resumption_keeps_to_its_software_version_whatever_a_rollout_says(vetoed: bool):
    """A tenth of new streams, or none after a veto, may begin at the version on trial."""

    async def test() -> None:
        endpoints = (writes("v1", 2), writes("v2", 2))
        async with MixedGateway(*endpoints, versions=("v1", "v2")) as gateway:
            gateway.forbid_retries()
            answers = {
                f"first-{number}": await gateway.call(f"first-{number}") for number in range(20)
            }
            split = rollouts.VersionSplit(
                "s", "v2", rollouts.RolloutState.RUNNING, 0.1, token=1, step=1, vetoed=vetoed
            )
            assert gateway.state.adopt_split(split)
            for first, began in answers.items():
                found = await gateway.resume(f"{first}-resumed", first, began)
                assert found.status == 200
                assert len(versions_in(began.body + found.body)) == 1

    relay_test.play(test)
