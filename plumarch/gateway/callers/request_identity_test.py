"""Fingerprints of requests."""

from plumarch.core import traffic
from plumarch.gateway.callers import caller_requests, request_identity


def request(**changes) -> caller_requests.CallerRequest:
    given = {
        "method": b"POST",
        "target": b"/chat/1",
        "headers": ((b"x-request-id", b"r1"), (b"host", b"h.example")),
        "body": b"words",
        "began_ms": 0,
    }
    return caller_requests.CallerRequest(**{**given, **changes})


def test_retries_with_other_ids_and_times_have_the_same_fingerprint():
    first = request_identity.fingerprint("w", request())
    again = request(headers=((b"x-request-id", b"r2"), (b"last-event-id", b"4")), began_ms=900)
    assert request_identity.fingerprint("w", again) == first


def test_workspace_path_method_and_body_change_the_fingerprint():
    first = request_identity.fingerprint("w", request())
    others = {
        request_identity.fingerprint("v", request()),
        request_identity.fingerprint("w", request(target=b"/chat/2")),
        request_identity.fingerprint("w", request(method=b"PUT")),
        request_identity.fingerprint("w", request(body=b"other words")),
    }
    assert first not in others and len(others) == 4


def segments(*names: str) -> tuple[str, ...]:
    parts = [traffic.PromptPart(name, 10) for name in names]
    return request_identity.shared_segments(parts)


def test_the_last_segment_is_not_shared():
    assert segments("a1", "b2", "c3") == ("a1", "b2")
    assert segments("a1") == segments() == ()


def test_a_segment_has_one_name_however_it_is_written():
    assert segments("00AB", "ab", "0", "000", "c3") == ("ab", "0")


def test_the_number_of_segments_is_bounded():
    names = [f"{number + 1:x}" for number in range(500)]
    assert len(segments(*names)) == request_identity.MAX_SEGMENTS
