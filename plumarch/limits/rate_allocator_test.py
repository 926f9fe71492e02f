"""Permits are allocated at the newest announced rate, to nodes with demand."""

from plumarch.core import clock
from plumarch.limits import idle_entries, rate_allocator


def request_permits(
    allocator: rate_allocator.RateAllocator,
    count: int = 1,
    per_s: float | None = 2.0,
    age_ms: int = 0,
    node: str = "n",
    fraction: float = 1.0,
) -> rate_allocator.PermitAnswer:
    observed = rate_allocator.Announcement(per_s, age_ms)
    return allocator.allocate(rate_allocator.PermitRequest(node, "e", 1, count, observed), fraction)


def started(now_ms: int = 1_000_000) -> tuple[clock.ManualClock, rate_allocator.RateAllocator]:
    time = clock.ManualClock(now_ms)
    return time, rate_allocator.RateAllocator(time)


def test_it_starts_without_permits_since_another_node_may_have_allocated_some():
    time, allocator = started()
    assert request_permits(allocator, 5).permits == 0
    time.advance_to(time.now() + 500)
    assert request_permits(allocator, 5).permits == 1


def test_unrequested_permits_accumulate_up_to_a_bound():
    time, allocator = started()
    request_permits(allocator, 0, per_s=4.0)
    time.advance_to(time.now() + 3_600_000)
    assert request_permits(allocator, 64, per_s=4.0).permits == 3


def test_a_node_that_reaches_half_of_the_fleet_allocates_half_of_the_rate():
    time, allocator = started()
    request_permits(allocator, 0, per_s=8.0, fraction=0.5)
    time.advance_to(time.now() + 500)
    assert request_permits(allocator, 64, per_s=8.0, fraction=0.5).permits == 2


def test_an_endpoint_that_accepts_nothing_is_probed_now_and_then():
    time, allocator = started()
    request_permits(allocator, 0, per_s=0.0)
    time.advance_to(time.now() + 9_900)
    assert request_permits(allocator, 1, per_s=0.0).permits == 0
    time.advance_to(time.now() + 200)
    assert request_permits(allocator, 1, per_s=0.0).permits == 1


def test_the_newest_announcement_counts_whoever_reports_it():
    time, allocator = started()
    request_permits(allocator, 0, per_s=2.0)
    time.advance_to(time.now() + 100)
    ended = request_permits(allocator, 0, per_s=None, node="m")
    assert ended.announcement == rate_allocator.Announcement(None, 0)
    assert request_permits(allocator, 1, per_s=2.0, age_ms=100).announcement.per_s is None
    time.advance_to(time.now() + 100)
    assert request_permits(allocator, 1, per_s=3.0).announcement.per_s == 3.0


def test_a_limit_that_returns_starts_without_permits():
    time, allocator = started()
    request_permits(allocator, 0, per_s=None)
    time.advance_to(time.now() + 10_000)
    assert request_permits(allocator, 64, per_s=50.0).permits == 0


def test_the_wait_includes_nodes_that_were_denied_before():
    time, allocator = started()
    for node in ("a", "b", "c"):
        found = request_permits(allocator, per_s=1.0, node=node)
    assert (found.next_ms, found.wait_ms, found.contenders) == (1_000, 3_000, 3)
    time.advance_to(time.now() + 1_000)
    assert request_permits(allocator, per_s=1.0, node="d").permits == 1


def test_idle_endpoints_are_dropped():
    time, allocator = started()
    request_permits(allocator)
    time.advance_to(time.now() + idle_entries.IDLE_MS + 1)
    observed = rate_allocator.Announcement(1.0, 0)
    allocator.allocate(rate_allocator.PermitRequest("n", "other", 1, 0, observed), 1.0)
    assert list(allocator.known) == ["other"]
