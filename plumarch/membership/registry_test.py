"""Endpoints from the store and from peers, in any order; stale revisions are ignored."""

import dataclasses
import random

from plumarch.core import clock, traffic
from plumarch.membership import registry


def endpoint(name: str, state: traffic.EndpointState = traffic.EndpointState.READY):
    return traffic.Endpoint(name, "s", f"10.0.0.1:{len(name)}", "a", 4, state)


def change(name: str, revision: int, gone: bool = False) -> registry.EndpointChange:
    return registry.EndpointChange(name, revision, None if gone else endpoint(name))


def test_a_list_replaces_the_endpoints_and_returns_the_changes():
    known = registry.Registry(clock.ManualClock(5))
    known.replace([endpoint("a"), endpoint("b")], 10, "store")
    changes = known.replace([endpoint("b"), endpoint("c")], 12, "store")
    assert {(one.id, one.endpoint is None) for one in changes} == {("a", True), ("c", False)}
    assert known.revision == 12


def test_a_stale_list_from_a_peer_is_ignored():
    known = registry.Registry(clock.ManualClock())
    known.replace([endpoint("a")], 10, "store")
    known.apply([change("a", 11, gone=True)], 11, "store")
    assert known.replace([endpoint("a")], 10, "peer") == []
    assert known.ready("s") == []


def test_a_change_already_received_from_a_peer_is_not_applied_again():
    known = registry.Registry(clock.ManualClock())
    known.replace([], 10, "store")
    known.replace([], 12, "peer")
    assert known.apply([change("a", 11)], 12, "store") == []
    assert known.endpoints == {}


def test_draining_endpoints_are_not_ready():
    known = registry.Registry(clock.ManualClock())
    leaving = dataclasses.replace(endpoint("a"), state=traffic.EndpointState.DRAINING)
    known.replace([leaving, endpoint("b")], 1, "store")
    assert [one.id for one in known.ready("s")] == ["b"]


def test_any_mix_of_batches_and_snapshots_ends_in_the_newest_state():
    for seed in range(200):
        rng = random.Random(seed)
        truth: dict[str, traffic.Endpoint] = {}
        history: list[registry.EndpointChange] = []
        snapshots = [(0, {})]
        for revision in range(1, 30):
            name = rng.choice("abcd")
            gone = rng.random() < 0.4
            truth = {key: value for key, value in truth.items() if key != name}
            if not gone:
                truth = {**truth, name: endpoint(name)}
            history.append(change(name, revision, gone))
            snapshots.append((revision, truth))
        known = registry.Registry(clock.ManualClock())
        known.replace([], 0, "store")
        watched = 0
        while watched < 29:
            upto = rng.randint(watched + 1, 29)
            known.apply(history[watched:upto], upto, "store")
            watched = upto
            at, snapshot = rng.choice(snapshots)
            known.replace(snapshot.values(), at, "peer")
            expected = snapshots[known.revision][1]
            assert known.endpoints == expected
        assert known.endpoints == truth


def test_endpoints_whose_entries_lapsed_together_stay_in_use_for_a_while():
    time = clock.ManualClock()
    known = registry.Registry(time)
    known.replace([endpoint(name) for name in "abcd"], 10, "store")
    known.replace([endpoint("a")], 11, "store")
    assert [one.id for one in known.ready("s")] == ["a", "b", "c", "d"]
    known.apply([change("b", 12)], 12, "store")
    assert [one.id for one in known.ready("s")] == ["a", "b"]
    time.advance_to(registry.LAPSE_MS + 1)
    assert [one.id for one in known.ready("s")] == ["a", "b"]


def test_lapsed_endpoints_expire():
    time = clock.ManualClock()
    known = registry.Registry(time)
    known.replace([endpoint(name) for name in "abc"], 10, "store")
    known.replace([], 11, "store")
    assert len(known.ready("s")) == 3
    time.advance_to(registry.LAPSE_MS + 1)
    assert known.ready("s") == []


def test_a_draining_endpoint_does_not_lapse():
    known = registry.Registry(clock.ManualClock())
    leaving = traffic.EndpointState.DRAINING
    known.replace([endpoint(name, leaving) for name in "abc"], 10, "store")
    known.replace([], 11, "store")
    assert known.ready("s") == []


def test_a_confirmation_without_a_change_keeps_the_changed_revision():
    known = registry.Registry(clock.ManualClock())
    known.replace([endpoint("a")], 10, "store")
    known.apply([], 14, "store")
    known.replace([endpoint("a")], 15, "store")
    assert (known.revision, known.changed_revision) == (15, 10)
    known.apply([change("b", 17)], 17, "store")
    assert known.changed_revision == 17
