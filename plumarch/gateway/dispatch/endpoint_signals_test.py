"""Headers in which endpoints report their state; invalid values are ignored."""

import h11
import pytest
from hypothesis import given, strategies

from plumarch.gateway import dialect
from plumarch.gateway.dispatch import endpoint_signals

NAMES = dialect.Dialect()


def signals(*headers: tuple[bytes, bytes]) -> endpoint_signals.Signals:
    return endpoint_signals.of(h11.Response(status_code=503, headers=list(headers)), NAMES)


def test_an_answer_without_signal_headers_has_no_signals():
    assert signals((b"x-other", b"1")) == endpoint_signals.NONE


@pytest.mark.parametrize(("value", "leaving"), [(b"1", True), (b"0", False), (b"", False)])
def test_the_drain_header_is_read(value: bytes, leaving: bool):
    assert signals((NAMES.leaving, value)).draining is leaving


@pytest.mark.parametrize(
    ("value", "rest_ms"),
    [
        (b"3", 3_000.0),
        (b"0.25", 250.0),
        (b"0", 0.0),
        (b"-1", 0.0),
        (b"nan", 0.0),
        (b"inf", 0.0),
        (b"1e400", 0.0),
        (b"Wed, 21 Oct 2015 07:28:00 GMT", 0.0),
        (b"soon", 0.0),
    ],
)
def test_retry_after_is_a_finite_number_of_seconds(value: bytes, rest_ms: float):
    found = signals((b"retry-after", value))
    assert found.backoff_ms == rest_ms
    assert found.retry_after == value.decode()


def test_an_announced_request_rate_is_kept_as_written_and_truncated():
    assert signals((NAMES.rate_limit, b"0.5")).rate_limit == "0.5"
    assert (
        signals((NAMES.rate_limit, b"9" * 99)).rate_limit
        == "9" * endpoint_signals.MAX_LOGGED_CHARACTERS
    )


@given(strategies.binary(max_size=200).map(lambda raw: bytes(b for b in raw if 32 < b < 127)))
def test_any_header_value_is_accepted_without_an_error(value: bytes):
    found = signals((b"retry-after", value), (NAMES.leaving, value))
    assert 0.0 <= found.backoff_ms < float("inf")
    assert len(found.retry_after) <= endpoint_signals.MAX_LOGGED_CHARACTERS
