"""A drain notice overrides every list and ends with the process that announced it."""

import dataclasses

import pytest
from hypothesis import given, strategies

from plumarch.core import clock, traffic
from plumarch.membership import drain_notices, registry

READY, DRAINING = traffic.EndpointState.READY, traffic.EndpointState.DRAINING
BORN_MS = 1_700_000_000_000
ANNOUNCED_MS = BORN_MS + 60_000


def endpoint(born_ms: int = BORN_MS, name: str = "e") -> traffic.Endpoint:
    identifier = traffic.incarnation(name, born_ms)
    return traffic.Endpoint(
        identifier, "s", "10.0.0.1:80", "a", 8, READY, born_ms=born_ms, name=name
    )


def new(*endpoints: traffic.Endpoint) -> registry.Registry:
    found = registry.Registry(clock.ManualClock(1_000))
    found.replace(endpoints, 10, "store")
    return found


def advance(known: registry.Registry, ms: int) -> None:
    assert isinstance(known.clock, clock.ManualClock)
    known.clock.advance_to(known.clock.now() + ms)


def change(revision: int, listed: traffic.Endpoint | None) -> registry.EndpointChange:
    return registry.EndpointChange("e", revision, listed)


def ready(known: registry.Registry) -> list[str]:
    return [one.id for one in known.ready("s")]


def test_no_list_makes_a_draining_endpoint_ready_again():
    one = endpoint()
    known = new(one)
    assert known.note_draining(one, ANNOUNCED_MS) and ready(known) == []
    assert not known.note_draining(one, ANNOUNCED_MS + 1)
    known.replace([one], 10, "the same again")
    known.replace([dataclasses.replace(one, slots=9)], 11, "a peer")
    known.apply([change(12, dataclasses.replace(one, slots=10))], 12, "store")
    assert ready(known) == []
    assert known.endpoints[one.id].slots == 10
    assert known.endpoints[one.id].state is DRAINING


def test_a_draining_endpoint_is_not_used_when_its_entry_lapses_or_returns():
    one, other = endpoint(), endpoint(name="f")
    known = new(one, other)
    known.note_draining(one, ANNOUNCED_MS)
    known.replace([], 11, "store")
    assert ready(known) == []
    known.replace([one], 12, "store")
    assert ready(known) == []


def test_a_notice_ends_the_use_of_a_lapsed_endpoint():
    one, other = endpoint(), endpoint(name="f")
    known = new(one, other)
    known.replace([], 11, "store")
    assert ready(known) == [one.id, other.id]
    known.note_draining(one, ANNOUNCED_MS)
    known.note_draining(other, ANNOUNCED_MS)
    assert ready(known) == []


@pytest.mark.parametrize("births", [(BORN_MS, ANNOUNCED_MS + 1), (BORN_MS, ANNOUNCED_MS + 5_000)])
def test_a_notice_does_not_apply_to_a_process_that_started_after_it(births: tuple[int, int]):
    before, after = endpoint(births[0]), endpoint(births[1])
    known = new(before)
    known.note_draining(before, ANNOUNCED_MS)
    assert known.drains.in_force() == ["e"]
    known.apply([change(11, after)], 11, "store")
    assert ready(known) == [after.id] and known.drains.in_force() == []


def test_a_notice_applies_to_a_process_whose_restart_was_not_listed_yet():
    """The request was for the previous incarnation, and the next process answered it."""
    before, after = endpoint(BORN_MS), endpoint(ANNOUNCED_MS - 3_000)
    known = new(before)
    known.note_draining(before, ANNOUNCED_MS)
    known.apply([change(11, after)], 11, "store")
    assert ready(known) == []


def test_a_late_notice_of_a_previous_process_does_not_apply_to_the_listed_one():
    before, after = endpoint(BORN_MS), endpoint(ANNOUNCED_MS + 3_000)
    known = new(before)
    known.apply([change(11, after)], 11, "store")
    known.note_draining(before, ANNOUNCED_MS)
    assert ready(known) == [after.id]


def test_without_a_start_time_an_endpoint_is_ready_again_once_its_entry_was_gone():
    one = endpoint(0)
    known = new(one)
    known.note_draining(one, ANNOUNCED_MS)
    known.apply([change(11, dataclasses.replace(one, slots=9))], 11, "store")
    assert ready(known) == []
    known.apply([change(12, None)], 12, "store")
    known.apply([change(13, one)], 13, "store")
    assert ready(known) == [one.id]


def test_an_endpoint_listed_as_ready_is_used_again_once_its_notice_expired():
    one = endpoint()
    known = new(one)
    known.note_draining(one, ANNOUNCED_MS)
    advance(known, drain_notices.RETENTION_MS - 1)
    known.replace([one], 11, "store")
    assert ready(known) == []
    advance(known, 1)
    known.replace([one], 12, "store")
    assert ready(known) == [one.id]


def test_the_oldest_notices_are_dropped_beyond_the_maximum():
    notices = drain_notices.DrainNotices(clock.ManualClock())
    for number in range(drain_notices.MAX_KEPT + 1):
        notices.note(endpoint(name=f"e{number}"), ANNOUNCED_MS)
    assert len(notices.known) == drain_notices.MAX_KEPT and "e0" not in notices.known


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["list", "change", "gone", "word", "peer"]),
            strategies.integers(0, 3),
        ),
        max_size=30,
    )
)
def test_whatever_comes_in_any_order_one_that_said_so_gets_nothing(events: list[tuple[str, int]]):
    """Births are a minute apart, and a word is said half a minute after the birth it is about."""
    starts = [endpoint(BORN_MS + 60_000 * number) for number in range(4)]
    known, said = new(starts[0]), set()
    for revision, (what, number) in enumerate(events, start=11):
        one = starts[number]
        if what == "word":
            known.note_draining(one, one.born_ms + 30_000)
            said = {one.id}
        elif what == "gone":
            known.apply([change(revision, None)], revision, "store")
        elif what == "change":
            known.apply([change(revision, one)], revision, "store")
        else:
            known.replace([one], revision, what)
        assert not said & set(ready(known))


def test_the_next_process_may_announce_in_an_answer_to_a_request_for_the_previous_one():
    """The request was dispatched before the restart was listed."""
    before, after = endpoint(BORN_MS), endpoint(ANNOUNCED_MS + 3_000)
    known = new(before)
    known.note_draining(before, ANNOUNCED_MS)
    known.apply([change(11, after)], 11, "store")
    assert ready(known) == [after.id]
    assert known.note_draining(before, ANNOUNCED_MS + 5_000)
    assert ready(known) == []
