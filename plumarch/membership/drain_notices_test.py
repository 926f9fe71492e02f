"""What an endpoint said of its leaving holds against every list, and ends with its process."""

import dataclasses

import pytest
from hypothesis import given, strategies

from plumarch.core import clock, traffic
from plumarch.membership import drain_notices, registry

READY, DRAINING = traffic.EndpointState.READY, traffic.EndpointState.DRAINING
BORN_MS = 1_700_000_000_000
SAID_MS = BORN_MS + 60_000


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


def change(revision: int, told: traffic.Endpoint | None) -> registry.EndpointChange:
    return registry.EndpointChange("e", revision, told)


def ready(known: registry.Registry) -> list[str]:
    return [one.id for one in known.ready("s")]


def test_no_list_makes_it_ready_again():
    one = endpoint()
    known = new(one)
    assert known.note_draining(one, SAID_MS) and ready(known) == []
    assert not known.note_draining(one, SAID_MS + 1)
    known.replace([one], 10, "the same again")
    known.replace([dataclasses.replace(one, slots=9)], 11, "a peer")
    known.apply([change(12, dataclasses.replace(one, slots=10))], 12, "store")
    assert ready(known) == []
    assert known.endpoints[one.id].slots == 10
    assert known.endpoints[one.id].state is DRAINING


def test_it_is_not_used_on_when_its_entry_lapses_nor_when_it_comes_back():
    one, other = endpoint(), endpoint(name="f")
    known = new(one, other)
    known.note_draining(one, SAID_MS)
    known.replace([], 11, "store")
    assert ready(known) == []
    known.replace([one], 12, "store")
    assert ready(known) == []


def test_one_whose_entry_lapsed_before_it_spoke_is_not_used_on():
    one, other = endpoint(), endpoint(name="f")
    known = new(one, other)
    known.replace([], 11, "store")
    assert ready(known) == [one.id, other.id]
    known.note_draining(one, SAID_MS)
    known.note_draining(other, SAID_MS)
    assert ready(known) == []


@pytest.mark.parametrize("births", [(BORN_MS, SAID_MS + 1), (BORN_MS, SAID_MS + 5_000)])
def test_a_process_born_after_the_word_is_not_meant(births: tuple[int, int]):
    before, after = endpoint(births[0]), endpoint(births[1])
    known = new(before)
    known.note_draining(before, SAID_MS)
    assert known.drains.in_force() == ["e"]
    known.apply([change(11, after)], 11, "store")
    assert ready(known) == [after.id] and known.drains.in_force() == []


def test_a_process_that_had_started_again_unheard_is_meant():
    """The node had asked the one before, by its name; the one that was alive then answered."""
    before, after = endpoint(BORN_MS), endpoint(SAID_MS - 3_000)
    known = new(before)
    known.note_draining(before, SAID_MS)
    known.apply([change(11, after)], 11, "store")
    assert ready(known) == []


def test_a_late_word_of_an_earlier_process_says_nothing_of_the_one_that_is_listed():
    before, after = endpoint(BORN_MS), endpoint(SAID_MS + 3_000)
    known = new(before)
    known.apply([change(11, after)], 11, "store")
    known.note_draining(before, SAID_MS)
    assert ready(known) == [after.id]


def test_one_that_tells_no_birth_is_back_once_its_entry_had_gone():
    one = endpoint(0)
    known = new(one)
    known.note_draining(one, SAID_MS)
    known.apply([change(11, dataclasses.replace(one, slots=9))], 11, "store")
    assert ready(known) == []
    known.apply([change(12, None)], 12, "store")
    known.apply([change(13, one)], 13, "store")
    assert ready(known) == [one.id]


def test_one_that_is_listed_as_ready_long_after_it_spoke_is_used_again():
    one = endpoint()
    known = new(one)
    known.note_draining(one, SAID_MS)
    advance(known, drain_notices.RETENTION_MS - 1)
    known.replace([one], 11, "store")
    assert ready(known) == []
    advance(known, 1)
    known.replace([one], 12, "store")
    assert ready(known) == [one.id]


def test_so_many_are_kept_and_the_oldest_go_first():
    notices = drain_notices.DrainNotices(clock.ManualClock())
    for number in range(drain_notices.MAX_KEPT + 1):
        notices.note(endpoint(name=f"e{number}"), SAID_MS)
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


def test_the_next_process_under_the_name_may_say_so_as_well_before_it_was_asked_by_its_own():
    """A request that was chosen for the one before is answered by the next one."""
    before, after = endpoint(BORN_MS), endpoint(SAID_MS + 3_000)
    known = new(before)
    known.note_draining(before, SAID_MS)
    known.apply([change(11, after)], 11, "store")
    assert ready(known) == [after.id]
    assert known.note_draining(before, SAID_MS + 5_000)
    assert ready(known) == []
