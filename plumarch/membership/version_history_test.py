"""When a service's version is certain."""

from plumarch.core import clock, traffic
from plumarch.membership import version_history

WITHIN_MS = 30_000


def endpoint(name: str, version: str) -> traffic.Endpoint:
    return traffic.Endpoint(
        name, "s", "10.0.0.1:80", "a", 8, traffic.EndpointState.READY, version=version
    )


def test_a_sole_version_is_certain_only_once_it_was_sole_for_long():
    now = clock.ManualClock(1_000)
    history = version_history.VersionHistory(now)
    assert history.sole("s", WITHIN_MS) is None
    history.update([endpoint("e0", "v1")])
    assert history.sole("s", WITHIN_MS) is None
    now.advance_to(now.now() + WITHIN_MS)
    assert history.sole("s", WITHIN_MS) == "v1"
    assert history.sole("other", WITHIN_MS) is None


def test_a_version_that_ended_counts_until_its_streams_can_no_longer_be_resumed():
    now = clock.ManualClock(1_000)
    history = version_history.VersionHistory(now)
    history.update([endpoint("e0", "v1"), endpoint("e1", "v2")])
    now.advance_to(now.now() + WITHIN_MS)
    assert history.sole("s", WITHIN_MS) is None
    history.update([endpoint("e1", "v2")])
    now.advance_to(now.now() + WITHIN_MS)
    assert history.sole("s", WITHIN_MS) is None
    now.advance_to(now.now() + 1)
    assert history.sole("s", WITHIN_MS) == "v2"
    history.update([])
    assert history.sole("s", WITHIN_MS) == "v2"
    now.advance_to(now.now() + 2 * version_history.RETENTION_MS)
    assert history.sole("s", version_history.RETENTION_MS + 1) is None
    now.advance_to(now.now() + 2 * version_history.RETENTION_MS)
    history.update([])
    assert not history.ended_ms
