"""What a node remembers of the streams that it began, and of those that others report."""

from plumarch.core import clock, traffic
from plumarch.routing import stream_origins

ROUTE = "chat"
V1, V2 = stream_origins.Origin("s", "v1"), stream_origins.Origin("s", "v2")
BEGAN = stream_origins.RouteOrigin(ROUTE, V1)


def stream(number: int) -> stream_origins.Stream:
    return stream_origins.Stream(number + 1, 1_000_000 + number)


def endpoint(name: str, version: str) -> traffic.Endpoint:
    return traffic.Endpoint(
        name, "s", "10.0.0.1:80", "a", 8, traffic.EndpointState.READY, version=version
    )


def origin_of(known: stream_origins.StreamOrigins, number: int) -> stream_origins.Origin | None:
    found = known.find(stream(number))
    return found.origin if found is not None else None


def test_an_origin_is_known_while_its_stream_can_be_resumed_and_not_longer():
    now = clock.ManualClock(1_000)
    known = stream_origins.StreamOrigins(now)
    known.begin(stream(1), endpoint("e", "v1"), ROUTE)
    now.advance_to(now.now() + 10 * known.retention_ms)
    known.step()
    assert origin_of(known, 1) == V1
    known.end(stream(1))
    now.advance_to(now.now() + known.retention_ms - 1)
    assert origin_of(known, 1) == V1
    now.advance_to(now.now() + 1)
    assert known.find(stream(1)) is None
    for _ in range(3):
        now.advance_to(now.now() + known.retention_ms)
        known.step()
    assert not known.own and not known.by_attempt and not known.by_fingerprint


def test_a_running_stream_is_reported_again_before_others_forget_it():
    now = clock.ManualClock(1_000)
    own, other = stream_origins.StreamOrigins(now), stream_origins.StreamOrigins(now)
    own.begin(stream(1), endpoint("e", "v1"), ROUTE)
    for _ in range(100):
        own.step()
        for report in own.take_reports(BEGAN):
            other.add(report.stream, report.origin)
        other.step()
        assert origin_of(other, 1) == V1
        now.advance_to(now.now() + own.retention_ms // 10)


def test_contradicting_reports_leave_no_origin():
    known = stream_origins.StreamOrigins(clock.ManualClock(1_000))
    known.add(stream(1), V1)
    known.add(stream(1), V2)
    found = known.find(stream(1))
    assert found is not None and found.origin is None
    known.add(stream(1), V1)
    assert origin_of(known, 1) is None


def test_a_caller_that_names_no_attempt_is_recognised_by_its_request():
    known = stream_origins.StreamOrigins(clock.ManualClock(1_000))
    known.add(stream_origins.Stream(1, 7), V1)
    unnamed = stream_origins.Stream(0, 7)
    found = known.find(unnamed)
    assert found is not None and found.origin == V1
    known.add(stream_origins.Stream(2, 7), V2)
    found = known.find(unnamed)
    assert found is not None and found.origin is None
    named = known.find(stream_origins.Stream(2, 7))
    assert named is not None and named.origin == V2


def test_an_endpoint_that_restarted_in_another_version_leaves_its_streams_without_origin():
    known = stream_origins.StreamOrigins(clock.ManualClock(1_000))
    known.begin(stream(1), endpoint("e", "v1"), ROUTE)
    known.begin(stream(2), endpoint("other", "v1"), ROUTE)
    known.take_reports(BEGAN)
    known.doubt_restarted({"e": "v2", "other": "v1"})
    assert origin_of(known, 1) is None
    assert origin_of(known, 2) == V1
    assert known.take_reports(BEGAN) == [stream_origins.Report(stream(1), None)]


def test_memory_is_bounded_by_the_number_of_streams():
    known = stream_origins.StreamOrigins(clock.ManualClock(1_000))
    count = 2 * stream_origins.MAX_STREAMS
    for number in range(count):
        known.begin(stream(number), endpoint("e", "v1"), ROUTE)
        known.end(stream(number))
    sizes = [len(known.own), len(known.by_attempt), len(known.by_fingerprint)]
    assert max(sizes) == stream_origins.MAX_STREAMS
    assert len(known.unreported[BEGAN]) <= stream_origins.MAX_STREAMS
    assert origin_of(known, count - 1) == V1


def test_an_attempt_of_another_workspace_is_another_one():
    assert stream_origins.attempt_key("w", "r1") != stream_origins.attempt_key("x", "r1")
    assert stream_origins.attempt_key("w", "") == 0
