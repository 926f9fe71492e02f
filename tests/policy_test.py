"""Scenarios of the policy benchmark, whose metrics are deterministic on virtual time."""

import json

import pytest

from bench import policy

RECORDED = json.loads(policy.RECORDED.read_text())


@pytest.mark.parametrize("name", ["flood", "reclaim-wave"])
def test_metrics_equal_the_recorded_ones(name: str) -> None:
    path = policy.scenarios([name])[0]
    assert policy.measure(path, "plumarch") == RECORDED[name]["plumarch"]


@pytest.mark.parametrize("name", sorted(RECORDED))
def test_recorded_metrics_meet_the_service_objectives(name: str) -> None:
    found = RECORDED[name]["plumarch"]
    min_within_target = 0.99 if name == "centre-leaves" else 0.999
    assert found["lookup within target"] >= min_within_target
    assert found["promises broken"] == 0
    assert found["unanswered"] == 0
    assert found["retries over requests"] <= 0.1


def test_flood_of_one_workspace_does_not_delay_others() -> None:
    plumarch_ms = RECORDED["flood"]["plumarch"]["chat first token p99 ms, w0 to w3"]
    baseline_ms = RECORDED["flood"]["two choices"]["chat first token p99 ms, w0 to w3"]
    assert plumarch_ms < baseline_ms / 10


def test_regressions_are_reported() -> None:
    before = {"chat done": 1.0, "recomputed tokens": 0.0, "unanswered": 0.0}
    assert (
        policy.regressions(before, {"chat done": 0.99, "recomputed tokens": 50, "unanswered": 0})
        == []
    )
    assert (
        len(
            policy.regressions(
                before, {"chat done": 0.9, "recomputed tokens": 500, "unanswered": 1}
            )
        )
        == 3
    )
