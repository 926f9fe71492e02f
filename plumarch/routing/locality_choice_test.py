"""Choices among regions: single ones, and replayed load patterns of a fleet."""

import collections
import dataclasses
import statistics

import pytest

from plumarch.core import clock, traffic
from plumarch.routing import (
    distance,
    endpoint_choice,
    engine_record,
    locality_choice,
    work_times,
)
from plumarch.standins import region_replay

REGIONS = {"a": "north", "b": "north", "c": "south", "d": "east"}
TERMS = locality_choice.Terms(time_left_ms=2_000.0, enough_ms=200.0, late_ms=400.0)


def chooser() -> endpoint_choice.EndpointChooser:
    time = clock.ManualClock()
    distances = distance.Distances(time, "a", REGIONS)
    return endpoint_choice.EndpointChooser(time, "a", distances=distances)


def endpoint(name: str, data_centre: str, slots: int = 4) -> traffic.Endpoint:
    return traffic.Endpoint(name, "s", "1:1", data_centre, slots, traffic.EndpointState.READY)


def at(running: int, tokens: float = 0.0) -> endpoint_choice.Load:
    return endpoint_choice.Load(running, tokens)


LOCAL = [endpoint("n0", "a"), endpoint("n1", "b")]
REMOTE = [endpoint(f"s{number}", "c") for number in range(4)]
REMOTE += [endpoint(f"e{number}", "d") for number in range(4)]


def chosen_plain(
    found: endpoint_choice.EndpointChooser,
    candidates: list[traffic.Endpoint],
    terms: locality_choice.Terms = TERMS,
) -> list[endpoint_choice.Choice]:
    choices = [found.choose_plain(candidates, seed, terms) for seed in range(400)]
    return [one for one in choices if one is not None]


# Single choices.


def test_requests_stay_local_with_free_slots_though_other_regions_are_idle():
    found = chooser()
    found.report_loads("x", {"n0": at(3), "n1": at(3)})
    assert {one.endpoint.id for one in chosen_plain(found, REMOTE + LOCAL)} == {"n0"}


def test_with_all_data_centres_in_one_region_choices_are_as_without_regions():
    time = clock.ManualClock()
    one_region = dict.fromkeys(REGIONS, "north")
    with_region = endpoint_choice.EndpointChooser(
        time, "a", distances=distance.Distances(time, "a", one_region)
    )
    without = endpoint_choice.EndpointChooser(time, "a")
    loads = {one.id: at(number % 5, 300.0 * number) for number, one in enumerate(REMOTE + LOCAL)}
    for one in (with_region, without):
        one.report_loads("x", loads)
    parts = (traffic.PromptPart("p", 3_000), traffic.PromptPart("q", 500))
    for seed in range(50):
        assert with_region.choose_plain(REMOTE + LOCAL, seed, TERMS) == without.choose_plain(
            REMOTE + LOCAL, seed, TERMS
        )
        assert with_region.choose_engine(
            REMOTE + LOCAL, parts, 3_500, seed, TERMS
        ) == without.choose_engine(REMOTE + LOCAL, parts, 3_500, seed, TERMS)


def test_a_fraction_of_requests_that_wait_too_long_leaves_and_is_spread():
    found = chooser()
    found.report_loads("x", {"n0": at(24), "n1": at(24)})
    terms = dataclasses.replace(TERMS, enough_ms=100.0)
    choices = chosen_plain(found, REMOTE + LOCAL, terms)
    left = [one for one in choices if one.leave_reason is locality_choice.LeaveReason.REMOTE_FASTER]
    assert 0.3 < len(left) / len(choices) <= locality_choice.MAX_SPILL_FRACTION + 0.05
    counts = collections.Counter(one.endpoint.id for one in left)
    assert len(counts) == len(REMOTE)
    assert max(counts.values()) < 0.3 * len(left)


def test_all_requests_that_would_be_late_locally_leave():
    found = chooser()
    found.report_loads("x", {"n0": at(44), "n1": at(44)})
    choices = chosen_plain(found, REMOTE + LOCAL)
    assert all(one.leave_reason is locality_choice.LeaveReason.REMOTE_FASTER for one in choices)


def test_no_request_spills_to_regions_without_spare_slots():
    found = chooser()
    loads = {one.id: at(3) for one in REMOTE}
    found.report_loads("x", {"n0": at(24), "n1": at(24)} | loads)
    terms = dataclasses.replace(TERMS, enough_ms=100.0)
    choices = chosen_plain(found, REMOTE + LOCAL, terms)
    assert {one.endpoint.data_centre for one in choices} == {"a"}


def test_without_local_capacity_remote_free_slots_are_used_evenly():
    found = chooser()
    found.report_loads("x", {"s0": at(4), "s1": at(4), "s2": at(4)})
    choices = chosen_plain(found, REMOTE)
    assert all(one.leave_reason is locality_choice.LeaveReason.NO_LOCAL_CAPACITY for one in choices)
    counts = collections.Counter(one.endpoint.id for one in choices)
    assert set(counts) >= {"s3", "e0", "e1", "e2", "e3"}
    assert max(counts.values()) < 0.35 * len(choices)


def test_the_nearer_of_two_remote_regions_is_preferred():
    found = chooser()
    assert found.distances is not None
    for _ in range(5):
        found.distances.connected("d", 150.0)
    assert {one.endpoint.data_centre for one in chosen_plain(found, REMOTE)} == {"c"}


def test_requests_are_not_sent_to_regions_that_cannot_answer_in_time():
    found = chooser()
    hurried = locality_choice.Terms(time_left_ms=150.0)
    assert found.choose_plain(REMOTE, 1, hurried) is None
    near = found.choose_plain(LOCAL, 1, hurried)
    assert near is not None and near.leave_reason is None
    assert found.choose_engine(REMOTE, (), 100, 1, hurried) is None


def test_a_repeated_request_stays_while_the_region_has_capacity():
    found = chooser()
    found.report_loads("x", {"n0": at(24), "n1": at(24)})
    again = dataclasses.replace(TERMS, enough_ms=100.0, repeated=True)
    assert {one.endpoint.id for one in chosen_plain(found, REMOTE + LOCAL, again)} == {"n0"}
    assert len({one.endpoint.id for one in chosen_plain(found, REMOTE, again)}) == len(REMOTE)


def test_a_repeated_request_leaves_if_the_region_misses_its_deadline():
    found = chooser()
    found.report_loads("x", {"n0": at(44), "n1": at(44)})
    again = locality_choice.Terms(time_left_ms=300.0, repeated=True)
    assert all(one.leave_reason is not None for one in chosen_plain(found, REMOTE + LOCAL, again))


SHARED = traffic.PromptPart("shared", 4_000)
OWN = traffic.PromptPart("own", 500)
LOCAL_ENGINES = [endpoint(f"n{number}", "ab"[number % 2], 24) for number in range(6)]
REMOTE_ENGINES = [endpoint(f"s{number}", "c", 24) for number in range(6)]


@pytest.mark.parametrize("name", ["p1", "p2", "p3", "p4", "p5"])
def test_nodes_of_a_region_send_a_shared_part_to_the_same_engine_of_it(name):
    shared = traffic.PromptPart(name, 4_000)
    key = endpoint_choice.part_keys((shared,))
    [[owner]] = engine_record.owners(LOCAL_ENGINES, key, 1)
    for seed in range(5):
        choice = chooser().choose_engine(
            REMOTE_ENGINES + LOCAL_ENGINES, (shared, OWN), 4_500, seed, TERMS
        )
        assert choice is not None
        assert (choice.endpoint.id, choice.leave_reason) == (owner, None)


def test_a_remote_owner_is_chosen_only_if_faster_than_reading_again():
    prompt = ((SHARED, OWN), 4_500)
    loads = {one.id: at(4, 6_000.0) for one in LOCAL_ENGINES}
    [[owner]] = engine_record.owners(REMOTE_ENGINES, endpoint_choice.part_keys((SHARED,)), 1)
    busy = chooser()
    busy.report_loads("x", loads)
    late = dataclasses.replace(TERMS, late_ms=300.0)
    choice = busy.choose_engine(REMOTE_ENGINES + LOCAL_ENGINES, *prompt, 3, late)
    assert choice is not None
    assert choice.endpoint.id == owner
    assert choice.network_ms == 120.0
    fast = chooser()
    fast.report_loads("x", loads)
    fast.speed("s").typical.value = 0.006
    choice = fast.choose_engine(REMOTE_ENGINES + LOCAL_ENGINES, *prompt, 3, late)
    assert choice is not None and choice.leave_reason is None


def test_learned_work_times_do_not_include_waiting():
    work = work_times.WorkTimes()
    assert work.expected_ms("s") == work_times.START_WORK_MS
    for _ in range(20):
        work.answered("s", 90.0, 0.0)
        work.answered("s", 900.0, 50.0)
    assert work.expected_ms("s") == pytest.approx(90.0, rel=0.15)


# Load patterns.

PLAIN_MS = 90.0


def plain_endpoints(each: int = 2, slots: int = 4) -> list[traffic.Endpoint]:
    return [
        endpoint(f"{name}-{number}", name, slots)
        for name in region_replay.DATA_CENTRES
        for number in range(each)
    ]


def plain_work(**per_s: float) -> region_replay.Work:
    rates = {"north": 60.0, "east": 60.0, "south": 60.0} | per_s
    return region_replay.Work(rates, PLAIN_MS, TERMS)


def spilled_fraction(sent: list[region_replay.Sent]) -> float:
    return sum(1 for one in sent if one.to_region != one.region) / len(sent)


def of(
    replay: region_replay.RegionReplay, region: str, begin_ms: float, end_ms: float
) -> list[region_replay.Sent]:
    return [one for one in replay.sent if one.region == region and begin_ms <= one.sent_ms < end_ms]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_plain_requests_stay_local_without_overload(seed):
    replay = region_replay.RegionReplay(seed, plain_work(), plain_endpoints())
    replay.run_until(20_000)
    assert spilled_fraction(replay.sent) <= 0.05
    assert statistics.median(one.took_ms for one in replay.sent) <= 110.0
    assert not replay.refused


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_busy_regions_do_not_spill_to_each_other(seed):
    work = plain_work(north=150.0, east=150.0, south=150.0)
    replay = region_replay.RegionReplay(seed, work, plain_endpoints())
    replay.run_until(15_000)
    assert spilled_fraction(replay.sent) <= 0.05
    assert not replay.refused


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_other_regions_serve_a_region_without_plain_endpoints_until_they_return(seed):
    replay = region_replay.RegionReplay(seed, plain_work(), plain_endpoints())
    replay.run_until(5_000)
    replay.fail_region("north")
    replay.run_until(15_000)
    replay.restore_regions()
    replay.run_until(25_000)
    moved = of(replay, "north", 5_000, 15_000)
    assert all(one.to_region != "north" for one in moved)
    counts = collections.Counter(one.choice.endpoint.id for one in moved)
    assert len(counts) == 8
    assert max(counts.values()) < 2 * min(counts.values())
    assert has_no_oscillation(moved)
    for region in ("east", "south"):
        assert spilled_fraction(of(replay, region, 5_000, 15_000)) <= 0.05
    assert spilled_fraction(of(replay, "north", 15_000, 25_000)) <= 0.05
    assert statistics.median(one.took_ms for one in moved) < PLAIN_MS + 2 * 60.0 + 20.0
    assert not replay.refused


def has_no_oscillation(moved: list[region_replay.Sent]) -> bool:
    """Return whether in no second nearly all requests went to one remote region."""
    by_second: dict[int, collections.Counter[str]] = {}
    for one in moved:
        by_second.setdefault(int(one.sent_ms // 1_000), collections.Counter())[one.to_region] += 1
    return all(max(counts.values()) < 0.75 * counts.total() for counts in by_second.values())


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_region_with_too_few_endpoints_spills_a_fraction_and_uses_its_own(seed):
    few = [one for one in plain_endpoints() if one.data_centre not in ("n1", "n2")]
    near = endpoint("n1-0", "n1")
    replay = region_replay.RegionReplay(seed, plain_work(north=90.0), [near, *few])
    replay.run_until(20_000)
    sent = of(replay, "north", 2_000, 20_000)
    assert 0.3 < spilled_fraction(sent) < 0.7
    for second in range(2, 20):
        assert (
            0.1
            < spilled_fraction(of(replay, "north", second * 1_000, second * 1_000 + 1_000))
            < 0.9
        )
    at_near_per_s = sum(1 for one in sent if one.to_region == "north") / 18.0
    assert at_near_per_s > 0.8 * near.slots * 1_000.0 / (PLAIN_MS * 1.05)
    counts = collections.Counter(one.choice.endpoint.id for one in sent if one.to_region != "north")
    assert len(counts) == 8
    assert max(counts.values()) < 2 * min(counts.values())
    for region in ("east", "south"):
        assert spilled_fraction(of(replay, region, 2_000, 20_000)) <= 0.05
    assert statistics.median(one.took_ms for one in sent) < 330.0


PROMPTS = tuple((traffic.PromptPart(f"shared{number}", 4_000),) for number in range(12))
ENGINE_TERMS = locality_choice.Terms(time_left_ms=20_000.0, enough_ms=400.0, late_ms=800.0)


def engine_work(**per_s: float) -> region_replay.Work:
    rates = {"north": 20.0, "east": 20.0, "south": 20.0} | per_s
    return region_replay.Work(rates, 500.0, ENGINE_TERMS, PROMPTS, 5_000)


def engines(each: int = 2) -> list[traffic.Endpoint]:
    return plain_endpoints(each, slots=24)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_prompts_stay_local_without_overload(seed):
    replay = region_replay.RegionReplay(seed, engine_work(), engines())
    replay.run_until(20_000)
    assert spilled_fraction(replay.sent) <= 0.05
    assert not replay.refused


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_an_overloaded_region_does_not_make_others_late(seed):
    replay = region_replay.RegionReplay(seed, engine_work(north=90.0), engines())
    replay.run_until(20_000)
    sent = of(replay, "north", 2_000, 20_000)
    assert 0.02 < spilled_fraction(sent) < 0.5
    for region in ("east", "south"):
        others = of(replay, region, 2_000, 20_000)
        assert spilled_fraction(others) <= 0.05
        in_target = sum(1 for one in others if one.took_ms <= ENGINE_TERMS.late_ms)
        assert in_target > 0.95 * len(others)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_other_regions_serve_a_region_without_engines_until_they_return(seed):
    replay = region_replay.RegionReplay(seed, engine_work(), engines(3))
    replay.run_until(5_000)
    replay.fail_region("north")
    replay.run_until(15_000)
    replay.restore_regions()
    replay.run_until(25_000)
    moved = of(replay, "north", 5_000, 15_000)
    assert all(one.to_region != "north" for one in moved)
    counts = collections.Counter(one.choice.endpoint.id for one in moved)
    assert len(counts) == 12
    assert max(counts.values()) < 0.3 * len(moved)
    assert has_no_oscillation(moved)
    for region in ("east", "south"):
        assert spilled_fraction(of(replay, region, 5_000, 15_000)) <= 0.05
    assert spilled_fraction(of(replay, "north", 15_000, 25_000)) <= 0.05
    assert not replay.refused
