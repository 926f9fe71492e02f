"""Choice of versions: shares, repeats, vetoes, stale updates and unknown versions."""

import dataclasses

import hypothesis
from hypothesis import strategies

from plumarch.core import clock, rollouts, traffic
from plumarch.routing import version_split

RUNNING = rollouts.RolloutState.RUNNING
ROLLED_BACK = rollouts.RolloutState.ROLLED_BACK
COMPLETED = rollouts.RolloutState.COMPLETED


def endpoints(version: str, count: int) -> list[traffic.Endpoint]:
    ready = traffic.EndpointState.READY
    return [
        traffic.Endpoint(f"{version}-{n}", "s", "1:1", "a", 8, ready, version=version)
        for n in range(count)
    ]


OLD, NEW = endpoints("v1", 10), endpoints("v2", 10)


def split(share: float, token: int = 1, step: int = 1, **changes: object) -> rollouts.VersionSplit:
    made = rollouts.VersionSplit("s", "v2", RUNNING, share, token, step)
    return dataclasses.replace(made, **changes)


def knowing(*splits: rollouts.VersionSplit) -> version_split.VersionSplits:
    splits_known = version_split.VersionSplits(clock.ManualClock(1_000))
    for one in splits:
        splits_known.adopt(one)
    return splits_known


def first_of(
    known: version_split.VersionSplits, request: str, repeated: bool = False
) -> list[traffic.Endpoint]:
    return known.groups("s", OLD + NEW, request, repeated)[0]


def fraction_to_new(known: version_split.VersionSplits, requests: int = 4_000) -> float:
    chosen = [first_of(known, f"q{n}")[0].version == "v2" for n in range(requests)]
    return sum(chosen) / requests


def test_a_version_gets_its_share_and_all_nodes_choose_alike():
    one, other = knowing(split(0.08)), knowing(split(0.08))
    assert abs(fraction_to_new(one) - 0.08) < 0.015
    assert all(first_of(one, f"q{n}") == first_of(other, f"q{n}") for n in range(200))
    assert fraction_to_new(knowing(split(0.0))) == 0.0
    assert fraction_to_new(knowing(split(1.0))) == 1.0


def test_a_repeated_request_goes_to_the_old_version():
    known = knowing(split(0.5))
    assert all(
        one.version == "v1" for n in range(100) for one in first_of(known, f"q{n}", repeated=True)
    )


def test_without_capacity_a_request_may_go_from_the_new_to_the_old_version_only():
    known = knowing(split(0.5))
    for n in range(100):
        groups = known.groups("s", OLD + NEW, f"q{n}", repeated=False)
        assert groups[-1] == OLD
    assert knowing(split(0.08)).groups("s", NEW, "q", repeated=False)[-1] == []


def test_few_requests_go_to_few_endpoints_so_that_they_are_as_busy_as_old_ones():
    known = knowing(split(0.2))
    used = {one.id for n in range(300) for one in first_of(known, f"q{n}") if one.version == "v2"}
    assert len(used) == 2


def test_a_stale_update_does_not_undo_a_veto_or_roll_back():
    known = knowing(split(0.5, step=3))
    known.veto("s")
    assert fraction_to_new(known, 200) == 0.0
    assert not known.adopt(split(0.5, step=2))
    known.adopt(split(1.0, step=4))
    assert fraction_to_new(known, 200) == 0.0
    known = knowing(split(0.0, step=5, state=ROLLED_BACK))
    assert not known.adopt(split(0.5, step=4))
    assert known.groups("s", NEW, "q", repeated=False) == [[]]


def test_a_new_order_of_another_version_is_not_bound_by_the_veto():
    known = knowing(split(0.5))
    known.veto("s")
    known.adopt(split(0.5, token=2, version="v1"))
    assert not known.of("s").vetoed


def test_after_completion_the_new_version_gets_all_and_old_ones_only_where_no_other_is_left():
    known = knowing(split(1.0, state=COMPLETED))
    assert first_of(known, "q") == NEW
    assert known.groups("s", OLD, "q", repeated=True)[0] == OLD


def test_a_version_that_appears_long_after_a_completion_is_used():
    known = knowing(split(1.0, state=COMPLETED))
    known.clock.advance_to(known.clock.now() + version_split.OLD_VERSION_DRAIN_MS)
    assert {one.version for one in first_of(known, "q")} == {"v1", "v2"}


def test_the_split_of_a_later_duty_holder_wins():
    known = knowing(split(0.5, token=1, step=9))
    assert known.adopt(split(0.1, token=2, step=1))
    assert not known.adopt(split(0.9, token=1, step=10))
    assert known.of("s").share == 0.1


def test_a_version_that_appears_before_its_order_gets_nothing_for_a_while():
    known = version_split.VersionSplits(clock.ManualClock(1_000))
    assert known.groups("s", OLD, "q", repeated=False) == [OLD]
    known.clock.advance_to(20_000)
    assert known.groups("s", OLD + NEW, "q", repeated=False) == [OLD]
    assert known.groups("s", NEW, "q", repeated=False) == [NEW]
    known.clock.advance_to(20_000 + version_split.NEW_VERSION_DELAY_MS)
    assert known.groups("s", OLD + NEW, "q", repeated=False) == [OLD + NEW]


def test_a_process_that_starts_amid_a_roll_out_takes_the_higher_version_for_the_new_one():
    ready = endpoints("v9", 3) + endpoints("v10", 3)
    known = version_split.VersionSplits(clock.ManualClock(1_000))
    assert {one.version for one in known.groups("s", ready, "q", repeated=False)[0]} == {"v9"}


def test_splits_are_published_while_they_run_and_for_a_while_after():
    known = knowing(split(0.5))
    known.clock.advance_to(10 * version_split.PUBLISH_RETENTION_MS)
    assert len(known.to_publish()) == 1
    known.adopt(split(0.0, step=2, state=ROLLED_BACK))
    assert len(known.to_publish()) == 1
    known.clock.advance_to(known.clock.now() + version_split.PUBLISH_RETENTION_MS)
    assert known.to_publish() == []


NEWS = strategies.lists(
    strategies.tuples(
        strategies.integers(1, 3),
        strategies.integers(1, 6),
        strategies.sampled_from([0.0, 0.08, 0.3, 1.0]),
        strategies.booleans(),
    ),
    max_size=12,
)


@hypothesis.given(NEWS, strategies.randoms(use_true_random=False))
@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
def test_nodes_end_up_alike_in_whatever_order_they_hear(news: list, rng: object):
    made = {
        (token, step): split(share, token, step, vetoed=vetoed)
        for token, step, share, vetoed in news
    }
    one, other = list(made.values()), list(made.values())
    rng.shuffle(other)
    first, second = knowing(*one), knowing(*other)
    assert first.of("s") == second.of("s")
    if any(each.vetoed for each in one):
        assert not first.of("s").may_use()
