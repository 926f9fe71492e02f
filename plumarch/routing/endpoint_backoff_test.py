"""Duration and scope of endpoint backoffs."""

import dataclasses

import pytest

from plumarch.core import clock, traffic
from plumarch.routing import endpoint_backoff

BORN_MS = 1_700_000_000_000
ALIVE_MS = BORN_MS + 60_000
ONE = traffic.Endpoint(
    "e.1", "s", "10.0.0.1:80", "a", 8, traffic.EndpointState.READY, born_ms=BORN_MS, name="e"
)
OTHER = dataclasses.replace(ONE, id="f.1", name="f")


def new() -> tuple[endpoint_backoff.EndpointBackoff, clock.ManualClock]:
    steady = clock.ManualClock(1_000)
    return endpoint_backoff.EndpointBackoff(steady), steady


def test_a_backoff_lasts_as_long_as_retry_after_names():
    backoff, steady = new()
    assert backoff.note_retry_after(ONE, ALIVE_MS, 2_999.4) == 3_000
    assert backoff.without([ONE, OTHER]) == [OTHER]
    steady.advance_to(3_999)
    assert backoff.left_ms(ONE) == 1
    steady.advance_to(4_000)
    assert backoff.without([ONE, OTHER]) == [ONE, OTHER]


def test_a_later_shorter_backoff_does_not_shorten_the_first():
    backoff, steady = new()
    backoff.note_retry_after(ONE, ALIVE_MS, 3_000.0)
    steady.advance_to(1_500)
    assert backoff.note_retry_after(ONE, ALIVE_MS, 100.0) == 2_500


@pytest.mark.parametrize("asked_ms", [86_400_000.0, 3.2e10, 1e300])
def test_a_backoff_is_bounded(asked_ms: float):
    backoff, _ = new()
    assert backoff.note_retry_after(ONE, ALIVE_MS, asked_ms) == endpoint_backoff.MAX_MS


@pytest.mark.parametrize(("born_ms", "rests_on"), [(ALIVE_MS - 1, True), (ALIVE_MS + 1, False)])
def test_a_backoff_ends_with_the_process_that_sent_it(born_ms: int, rests_on: bool):
    backoff, _ = new()
    backoff.note_retry_after(ONE, ALIVE_MS, 3_000.0)
    reborn = dataclasses.replace(ONE, id="e.2", born_ms=born_ms)
    assert bool(backoff.left_ms(reborn)) is rests_on


def test_the_shortest_remaining_backoff_is_returned():
    backoff, steady = new()
    backoff.note_retry_after(ONE, ALIVE_MS, 3_000.0)
    assert backoff.first_left_ms([ONE, OTHER]) == 0
    assert backoff.first_left_ms([]) == 0
    backoff.note_retry_after(OTHER, ALIVE_MS, 1_000.0)
    assert backoff.first_left_ms([ONE, OTHER]) == 1_000
    steady.advance_to(9_000)
    backoff.note_retry_after(OTHER, ALIVE_MS, 1_000.0)
    assert list(backoff.known) == ["f"]
