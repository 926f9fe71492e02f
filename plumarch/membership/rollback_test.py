"""Endpoints after their source came back from an older copy."""

import dataclasses

from plumarch.core import clock, revisions, traffic
from plumarch.membership import registry, rollback

READY, DRAINING = traffic.EndpointState.READY, traffic.EndpointState.DRAINING
BORN_MS = 1_700_000_000_000
LATER = 47
COPY = revisions.of(1, 21)


def endpoint(
    name: str, state: traffic.EndpointState = READY, born_ms: int = BORN_MS
) -> traffic.Endpoint:
    identifier = traffic.incarnation(name, born_ms)
    return traffic.Endpoint(
        identifier, "s", "10.0.0.1:80", "a", 8, state, born_ms=born_ms, name=name
    )


def known(*endpoints: traffic.Endpoint) -> tuple[registry.Registry, clock.ManualClock]:
    steady = clock.ManualClock(BORN_MS)
    found = registry.Registry(steady)
    found.replace(endpoints, LATER, "store")
    return found, steady


def names(found: registry.Registry) -> list[str]:
    return [one.stable_name() for one in found.ready("s")]


def change(number: int, name: str, one: traffic.Endpoint | None) -> registry.EndpointChange:
    return registry.EndpointChange(name, revisions.of(1, number), one)


def test_changes_at_lower_numbers_of_a_later_era_are_applied():
    found, _ = known(endpoint("i-1"), endpoint("i-2"))
    found.replace([endpoint("i-1"), endpoint("i-2")], COPY, "store")
    found.apply([change(22, "i-1", endpoint("i-1", DRAINING))], revisions.of(1, 22), "store")
    assert names(found) == ["i-2"]


def test_answers_of_an_earlier_era_are_ignored():
    found, _ = known(endpoint("i-1"))
    found.replace([endpoint("i-1", DRAINING)], COPY, "store")
    assert found.replace([endpoint("i-1")], LATER + 5, "peer") == []
    assert names(found) == []


def test_a_drain_that_the_copy_lacks_stays_in_force():
    found, steady = known(endpoint("i-1"), endpoint("i-2"))
    found.apply([registry.EndpointChange("i-1", 48, endpoint("i-1", DRAINING))], 48, "store")
    found.replace([endpoint("i-1"), endpoint("i-2")], COPY, "store")
    steady.advance_to(steady.now() + 2 * rollback.REMOVAL_MS)
    found.apply([], revisions.of(1, 30), "store")
    assert names(found) == ["i-2"]


def test_an_endpoint_that_ended_and_is_in_the_copy_is_not_used():
    found, _ = known(endpoint("i-1"), endpoint("i-2"))
    found.apply([registry.EndpointChange("i-1", 48, None)], 48, "store")
    found.replace([endpoint("i-1"), endpoint("i-2")], COPY, "store")
    assert names(found) == ["i-2"]
    found.apply([change(30, "i-1", None)], revisions.of(1, 30), "store")
    assert names(found) == ["i-2"]


def test_an_endpoint_whose_entry_lapsed_is_used_again_once_its_entry_outlasts_the_removal():
    found, steady = known(endpoint("i-1"), endpoint("i-2"))
    found.apply([registry.EndpointChange("i-1", 48, None)], 48, "store")
    found.replace([endpoint("i-1"), endpoint("i-2")], COPY, "store")
    steady.advance_to(steady.now() + rollback.REMOVAL_MS)
    found.apply([], revisions.of(1, 30), "store")
    assert names(found) == ["i-1", "i-2"]


def test_an_endpoint_that_ended_is_used_once_its_entry_is_written_again():
    found, _ = known(endpoint("i-1"))
    found.apply([registry.EndpointChange("i-1", 48, None)], 48, "store")
    found.replace([endpoint("i-1")], COPY, "store")
    found.apply([change(22, "i-1", endpoint("i-1"))], revisions.of(1, 22), "store")
    assert names(found) == ["i-1"]


def test_endpoints_are_used_if_most_of_a_service_lapsed_before():
    everyone = [endpoint(f"i-{number}") for number in range(4)]
    found, steady = known(*everyone)
    gone = [registry.EndpointChange(one.stable_name(), 48, None) for one in everyone[1:]]
    found.apply(gone, 48, "store")
    steady.advance_to(steady.now() + 2 * registry.LAPSE_MS)
    found.replace(everyone, COPY, "store")
    assert names(found) == ["i-0", "i-1", "i-2", "i-3"]


def test_endpoints_that_drained_before_they_ended_are_never_used_again():
    everyone = [endpoint(f"i-{number}") for number in range(4)]
    found, steady = known(*everyone)
    for revision, state in ((48, DRAINING), (49, None)):
        changes = [
            registry.EndpointChange(
                one.stable_name(),
                revision,
                dataclasses.replace(one, state=state) if state else None,
            )
            for one in everyone[1:]
        ]
        found.apply(changes, revision, "store")
    found.replace(everyone, COPY, "store")
    assert names(found) == ["i-0"]
    steady.advance_to(steady.now() + 2 * rollback.REMOVAL_MS)
    found.apply([], revisions.of(1, 30), "store")
    assert names(found) == ["i-0"]


def test_an_endpoint_that_the_copy_lacks_is_used_until_it_should_have_written_its_entry():
    found, steady = known(endpoint("i-1"), endpoint("i-2"))
    found.replace([endpoint("i-2")], COPY, "store")
    assert names(found) == ["i-1", "i-2"]
    steady.advance_to(steady.now() + rollback.REWRITE_MS)
    assert names(found) == ["i-2"]
    changes = found.apply([], revisions.of(1, 30), "store")
    assert [one.endpoint for one in changes] == [None]
    found.apply([change(31, "i-1", endpoint("i-1"))], revisions.of(1, 31), "store")
    assert names(found) == ["i-1", "i-2"]


def test_an_endpoint_that_the_copy_lacks_stays_once_it_wrote_its_entry():
    found, steady = known(endpoint("i-1"))
    found.replace([], COPY, "store")
    found.apply([change(22, "i-1", endpoint("i-1"))], revisions.of(1, 22), "store")
    steady.advance_to(steady.now() + rollback.REWRITE_MS)
    assert names(found) == ["i-1"]


def test_the_former_process_of_the_copy_does_not_replace_a_restarted_endpoint():
    found, _ = known(endpoint("i-1", born_ms=BORN_MS + 5_000))
    changes = found.replace([endpoint("i-1")], COPY, "store")
    assert changes == []
    assert [one.born_ms for one in found.ready("s")] == [BORN_MS + 5_000]


def test_other_nodes_get_what_the_source_lists():
    found, _ = known(endpoint("i-1"), endpoint("i-2"))
    found.replace([endpoint("i-2")], COPY, "store")
    assert [one.stable_name() for one in found.as_listed()] == ["i-2"]


def test_the_number_sent_to_earlier_builds_rises_over_a_rollback():
    found, _ = known(endpoint("i-1"))
    before = found.sent_number(found.changed_revision)
    found.replace([endpoint("i-1")], COPY, "store")
    assert found.sent_number(found.changed_revision) > before
    found.replace([endpoint("i-1")], revisions.of(2, 3), "store")
    assert found.sent_number(found.changed_revision) > before + 1


def test_an_endpoint_that_the_copy_lacked_for_long_is_used_at_once_when_it_is_listed_again():
    found, steady = known(endpoint("i-1"), endpoint("i-2"))
    found.replace([endpoint("i-2")], COPY, "store")
    steady.advance_to(steady.now() + rollback.REWRITE_MS)
    found.apply([], revisions.of(1, 30), "store")
    found.replace([endpoint("i-1"), endpoint("i-2")], revisions.of(1, 31), "store")
    assert names(found) == ["i-1", "i-2"]


def test_an_endpoint_that_was_removed_and_listed_again_is_used_after_a_later_rollback():
    found, _ = known(endpoint("i-1"), endpoint("i-2"))
    for revision, one in ((48, None), (49, endpoint("i-1"))):
        found.apply([registry.EndpointChange("i-1", revision, one)], revision, "store")
    found.replace([endpoint("i-1"), endpoint("i-2")], COPY, "store")
    assert names(found) == ["i-1", "i-2"]
