"""Choices over regions: single ones, and load patterns of a whole fleet replayed."""

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


NEAR = [endpoint("n0", "a"), endpoint("n1", "b")]
AWAY = [endpoint(f"s{number}", "c") for number in range(4)]
AWAY += [endpoint(f"e{number}", "d") for number in range(4)]


def chosen_plain(
    found: endpoint_choice.EndpointChooser,
    candidates: list[traffic.Endpoint],
    terms: locality_choice.Terms = TERMS,
) -> list[endpoint_choice.Choice]:
    choices = [found.choose_plain(candidates, seed, terms) for seed in range(400)]
    return [one for one in choices if one is not None]


# Single choices.


def test_a_region_with_places_keeps_its_requests_though_others_are_idle():
    found = chooser()
    found.report_loads("x", {"n0": at(3), "n1": at(3)})
    assert {one.endpoint.id for one in chosen_plain(found, AWAY + NEAR)} == {"n0"}


def test_with_all_data_centres_in_one_region_choices_are_as_without_regions():
    time = clock.ManualClock()
    one_region = dict.fromkeys(REGIONS, "north")
    with_region = endpoint_choice.EndpointChooser(
        time, "a", distances=distance.Distances(time, "a", one_region)
    )
    without = endpoint_choice.EndpointChooser(time, "a")
    loads = {one.id: at(number % 5, 300.0 * number) for number, one in enumerate(AWAY + NEAR)}
    for one in (with_region, without):
        one.report_loads("x", loads)
    parts = (traffic.PromptPart("p", 3_000), traffic.PromptPart("q", 500))
    for seed in range(50):
        assert with_region.choose_plain(AWAY + NEAR, seed, TERMS) == without.choose_plain(
            AWAY + NEAR, seed, TERMS
        )
        assert with_region.choose_engine(
            AWAY + NEAR, parts, 3_500, seed, TERMS
        ) == without.choose_engine(AWAY + NEAR, parts, 3_500, seed, TERMS)


def test_a_part_of_what_waits_too_long_leaves_and_is_spread():
    found = chooser()
    found.report_loads("x", {"n0": at(24), "n1": at(24)})
    terms = dataclasses.replace(TERMS, enough_ms=100.0)
    choices = chosen_plain(found, AWAY + NEAR, terms)
    left = [one for one in choices if one.leave_reason is locality_choice.LeaveReason.REMOTE_FASTER]
    assert 0.3 < len(left) / len(choices) <= locality_choice.MAX_SPILL_FRACTION + 0.05
    counts = collections.Counter(one.endpoint.id for one in left)
    assert len(counts) == len(AWAY)
    assert max(counts.values()) < 0.3 * len(left)


def test_what_would_be_late_near_leaves_wholly():
    found = chooser()
    found.report_loads("x", {"n0": at(44), "n1": at(44)})
    choices = chosen_plain(found, AWAY + NEAR)
    assert all(one.leave_reason is locality_choice.LeaveReason.REMOTE_FASTER for one in choices)


def test_no_load_is_put_on_regions_that_need_their_places():
    found = chooser()
    loads = {one.id: at(3) for one in AWAY}
    found.report_loads("x", {"n0": at(24), "n1": at(24)} | loads)
    terms = dataclasses.replace(TERMS, enough_ms=100.0)
    choices = chosen_plain(found, AWAY + NEAR, terms)
    assert {one.endpoint.data_centre for one in choices} == {"a"}


def test_without_room_near_the_free_places_elsewhere_are_used_alike():
    found = chooser()
    found.report_loads("x", {"s0": at(4), "s1": at(4), "s2": at(4)})
    choices = chosen_plain(found, AWAY)
    assert all(one.leave_reason is locality_choice.LeaveReason.NO_LOCAL_CAPACITY for one in choices)
    counts = collections.Counter(one.endpoint.id for one in choices)
    assert set(counts) >= {"s3", "e0", "e1", "e2", "e3"}
    assert max(counts.values()) < 0.35 * len(choices)


def test_a_nearer_one_of_two_other_regions_goes_first():
    found = chooser()
    assert found.distances is not None
    for _ in range(5):
        found.distances.connected("d", 150.0)
    assert {one.endpoint.data_centre for one in chosen_plain(found, AWAY)} == {"c"}


def test_what_cannot_be_in_time_elsewhere_is_not_sent_there():
    found = chooser()
    hurried = locality_choice.Terms(time_left_ms=150.0)
    assert found.choose_plain(AWAY, 1, hurried) is None
    near = found.choose_plain(NEAR, 1, hurried)
    assert near is not None and near.leave_reason is None
    assert found.choose_engine(AWAY, (), 100, 1, hurried) is None


def test_a_repeat_stays_in_the_region_while_it_has_room():
    found = chooser()
    found.report_loads("x", {"n0": at(24), "n1": at(24)})
    again = dataclasses.replace(TERMS, enough_ms=100.0, repeated=True)
    assert {one.endpoint.id for one in chosen_plain(found, AWAY + NEAR, again)} == {"n0"}
    assert len({one.endpoint.id for one in chosen_plain(found, AWAY, again)}) == len(AWAY)


def test_a_repeat_leaves_if_the_region_cannot_make_its_deadline():
    found = chooser()
    found.report_loads("x", {"n0": at(44), "n1": at(44)})
    again = locality_choice.Terms(time_left_ms=300.0, repeated=True)
    assert all(one.leave_reason is not None for one in chosen_plain(found, AWAY + NEAR, again))


SHARED = traffic.PromptPart("shared", 4_000)
OWN = traffic.PromptPart("own", 500)
NEAR_ENGINES = [endpoint(f"n{number}", "ab"[number % 2], 24) for number in range(6)]
AWAY_ENGINES = [endpoint(f"s{number}", "c", 24) for number in range(6)]


@pytest.mark.parametrize("name", ["p1", "p2", "p3", "p4", "p5"])
def test_nodes_of_a_region_send_a_shared_part_to_the_same_engine_of_it(name):
    shared = traffic.PromptPart(name, 4_000)
    key = endpoint_choice.part_keys((shared,))
    [[owner]] = engine_record.owners(NEAR_ENGINES, key, 1)
    for seed in range(5):
        choice = chooser().choose_engine(
            AWAY_ENGINES + NEAR_ENGINES, (shared, OWN), 4_500, seed, TERMS
        )
        assert choice is not None
        assert (choice.endpoint.id, choice.leave_reason) == (owner, None)


def test_another_regions_owner_is_taken_only_where_it_beats_reading_anew():
    prompt = ((SHARED, OWN), 4_500)
    loads = {one.id: at(4, 6_000.0) for one in NEAR_ENGINES}
    [[owner]] = engine_record.owners(AWAY_ENGINES, endpoint_choice.part_keys((SHARED,)), 1)
    busy = chooser()
    busy.report_loads("x", loads)
    late = dataclasses.replace(TERMS, late_ms=300.0)
    choice = busy.choose_engine(AWAY_ENGINES + NEAR_ENGINES, *prompt, 3, late)
    assert choice is not None
    assert choice.endpoint.id == owner
    assert choice.network_ms == 120.0
    fast = chooser()
    fast.report_loads("x", loads)
    fast.speed("s").typical.value = 0.006
    choice = fast.choose_engine(AWAY_ENGINES + NEAR_ENGINES, *prompt, 3, late)
    assert choice is not None and choice.leave_reason is None


def test_learned_work_does_not_grow_with_waiting():
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


def left_part(sent: list[region_replay.Sent]) -> float:
    return sum(1 for one in sent if one.to_region != one.region) / len(sent)


def of(
    replay: region_replay.RegionReplay, region: str, begin_ms: float, end_ms: float
) -> list[region_replay.Sent]:
    return [one for one in replay.sent if one.region == region and begin_ms <= one.sent_ms < end_ms]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_without_trouble_plain_calls_stay_in_their_region(seed):
    replay = region_replay.RegionReplay(seed, plain_work(), plain_endpoints())
    replay.run_until(20_000)
    assert left_part(replay.sent) <= 0.05
    assert statistics.median(one.took_ms for one in replay.sent) <= 110.0
    assert not replay.refused


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_where_all_regions_are_busy_none_sends_its_load_to_the_others(seed):
    work = plain_work(north=150.0, east=150.0, south=150.0)
    replay = region_replay.RegionReplay(seed, work, plain_endpoints())
    replay.run_until(15_000)
    assert left_part(replay.sent) <= 0.05
    assert not replay.refused


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_region_that_loses_its_plain_endpoints_is_served_by_all_others_until_they_are_back(seed):
    replay = region_replay.RegionReplay(seed, plain_work(), plain_endpoints())
    replay.run_until(5_000)
    replay.lose("north")
    replay.run_until(15_000)
    replay.regain()
    replay.run_until(25_000)
    moved = of(replay, "north", 5_000, 15_000)
    assert all(one.to_region != "north" for one in moved)
    counts = collections.Counter(one.choice.endpoint.id for one in moved)
    assert len(counts) == 8
    assert max(counts.values()) < 2 * min(counts.values())
    assert no_swing(moved)
    for region in ("east", "south"):
        assert left_part(of(replay, region, 5_000, 15_000)) <= 0.05
    assert left_part(of(replay, "north", 15_000, 25_000)) <= 0.05
    assert statistics.median(one.took_ms for one in moved) < PLAIN_MS + 2 * 60.0 + 20.0
    assert not replay.refused


def no_swing(moved: list[region_replay.Sent]) -> bool:
    """Return whether no second saw nearly all go to one of the other regions."""
    by_second: dict[int, collections.Counter[str]] = {}
    for one in moved:
        by_second.setdefault(int(one.sent_ms // 1_000), collections.Counter())[one.to_region] += 1
    return all(max(counts.values()) < 0.75 * counts.total() for counts in by_second.values())


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_region_with_too_few_endpoints_spills_a_part_and_keeps_its_own_in_use(seed):
    few = [one for one in plain_endpoints() if one.data_centre not in ("n1", "n2")]
    near = endpoint("n1-0", "n1")
    replay = region_replay.RegionReplay(seed, plain_work(north=90.0), [near, *few])
    replay.run_until(20_000)
    sent = of(replay, "north", 2_000, 20_000)
    assert 0.3 < left_part(sent) < 0.7
    for second in range(2, 20):
        assert 0.1 < left_part(of(replay, "north", second * 1_000, second * 1_000 + 1_000)) < 0.9
    at_near_per_s = sum(1 for one in sent if one.to_region == "north") / 18.0
    assert at_near_per_s > 0.8 * near.slots * 1_000.0 / (PLAIN_MS * 1.05)
    counts = collections.Counter(one.choice.endpoint.id for one in sent if one.to_region != "north")
    assert len(counts) == 8
    assert max(counts.values()) < 2 * min(counts.values())
    for region in ("east", "south"):
        assert left_part(of(replay, region, 2_000, 20_000)) <= 0.05
    assert statistics.median(one.took_ms for one in sent) < 330.0


PROMPTS = tuple((traffic.PromptPart(f"shared{number}", 4_000),) for number in range(12))
ENGINE_TERMS = locality_choice.Terms(time_left_ms=20_000.0, enough_ms=400.0, late_ms=800.0)


def engine_work(**per_s: float) -> region_replay.Work:
    rates = {"north": 20.0, "east": 20.0, "south": 20.0} | per_s
    return region_replay.Work(rates, 500.0, ENGINE_TERMS, PROMPTS, 5_000)


def engines(each: int = 2) -> list[traffic.Endpoint]:
    return plain_endpoints(each, slots=24)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_without_trouble_prompts_stay_in_their_region(seed):
    replay = region_replay.RegionReplay(seed, engine_work(), engines())
    replay.run_until(20_000)
    assert left_part(replay.sent) <= 0.05
    assert not replay.refused


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_region_with_too_much_work_for_its_engines_does_not_make_the_others_late(seed):
    replay = region_replay.RegionReplay(seed, engine_work(north=90.0), engines())
    replay.run_until(20_000)
    sent = of(replay, "north", 2_000, 20_000)
    assert 0.02 < left_part(sent) < 0.5
    for region in ("east", "south"):
        others = of(replay, region, 2_000, 20_000)
        assert left_part(others) <= 0.05
        in_target = sum(1 for one in others if one.took_ms <= ENGINE_TERMS.late_ms)
        assert in_target > 0.95 * len(others)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_region_that_loses_its_engines_is_served_by_all_others_until_they_are_back(seed):
    replay = region_replay.RegionReplay(seed, engine_work(), engines(3))
    replay.run_until(5_000)
    replay.lose("north")
    replay.run_until(15_000)
    replay.regain()
    replay.run_until(25_000)
    moved = of(replay, "north", 5_000, 15_000)
    assert all(one.to_region != "north" for one in moved)
    counts = collections.Counter(one.choice.endpoint.id for one in moved)
    assert len(counts) == 12
    assert max(counts.values()) < 0.3 * len(moved)
    assert no_swing(moved)
    for region in ("east", "south"):
        assert left_part(of(replay, region, 5_000, 15_000)) <= 0.05
    assert left_part(of(replay, "north", 15_000, 25_000)) <= 0.05
    assert not replay.refused
