"""Permits are requested ahead, used once, and follow the newest announcement."""

import random

from plumarch.core import clock, traffic
from plumarch.limits import rate_allocator, rate_permits

ENDPOINT = traffic.Endpoint("e", "s", "10.0.0.1:80", "a", 8, traffic.EndpointState.READY)
START_MS = 1_000_000


class Node:
    def __init__(self, nodes: int = 1) -> None:
        self.time = clock.ManualClock(START_MS)
        self.permits = rate_permits.RatePermits(self.time, random.Random(1), "n", nodes)

    def after(self, ms: int) -> None:
        self.time.advance_to(self.time.now() + ms)

    def announced(self, per_s: float) -> bool:
        return self.permits.announced(ENDPOINT, self.time.now(), per_s)

    def grant(self, count: int, wait_ms: int = 0, age_ms: int = 0) -> None:
        request = self.permits.request(ENDPOINT)
        assert request is not None
        observed = rate_allocator.Announcement(self.permits.rate(ENDPOINT), age_ms)
        self.permits.answered(
            ENDPOINT,
            rate_allocator.PermitAnswer("e", request.sequence, count, observed, 1_000, wait_ms, 1),
        )


def test_an_endpoint_that_announces_nothing_needs_no_permit():
    node = Node()
    assert node.permits.may_send(ENDPOINT)
    assert not node.permits.use(ENDPOINT)
    assert node.permits.request(ENDPOINT) is None


def test_a_permit_is_used_once():
    node = Node()
    assert node.announced(1.0)
    assert not node.permits.may_send(ENDPOINT)
    node.grant(1)
    assert node.permits.may_send(ENDPOINT)
    assert node.permits.use(ENDPOINT)
    assert not node.permits.may_send(ENDPOINT)


def test_a_permit_expires_later_at_low_rates():
    for per_s, expires_ms in ((1.0, 2_500), (10.0, 1_150)):
        node = Node()
        node.announced(per_s)
        node.grant(1)
        node.after(expires_ms - 1)
        assert node.permits.may_send(ENDPOINT)
        node.after(1)
        assert not node.permits.may_send(ENDPOINT)


def test_permits_under_a_changed_rate_are_dropped():
    node = Node()
    node.announced(10.0)
    node.grant(5)
    assert node.announced(1.0)
    assert not node.permits.may_send(ENDPOINT)


def test_a_small_change_of_a_rate_is_not_reported():
    node = Node()
    assert node.announced(10.0)
    node.grant(1)
    assert not node.announced(10.5)
    assert node.permits.rate(ENDPOINT) == 10.5
    assert node.permits.may_send(ENDPOINT)
    assert node.announced(11.5)
    assert node.announced(0.0)


def test_a_permit_whose_request_was_not_sent_is_returned():
    node = Node()
    node.announced(1.0)
    node.grant(1)
    node.permits.use(ENDPOINT)
    node.permits.return_permit(ENDPOINT)
    assert node.permits.may_send(ENDPOINT)


def test_permits_are_requested_by_recent_demand():
    node = Node()
    node.announced(10.0)
    first = node.permits.request(ENDPOINT)
    assert first is not None and first.count == 1
    assert [node.permits.request(ENDPOINT) for _ in range(3)] == [None] * 3
    node.after(rate_permits.ANSWER_MS)
    again = node.permits.request(ENDPOINT)
    assert again is not None and again.count == 1
    for _ in range(3):
        node.permits.request(ENDPOINT)
    node.after(rate_permits.ANSWER_MS - 1)
    node.permits.answered(
        ENDPOINT,
        rate_allocator.PermitAnswer("e", again.sequence, 1, rate_allocator.Announcement(10.0, 0)),
    )
    assert node.permits.use(ENDPOINT)
    more = node.permits.request(ENDPOINT, is_needed=False)
    assert more is not None and more.count == 5


def test_a_late_answer_grants_nothing():
    """The allocator may have been suspended meanwhile, and replaced."""
    node = Node()
    node.announced(1.0)
    request = node.permits.request(ENDPOINT)
    node.after(rate_permits.ANSWER_MS)
    observed = rate_allocator.Announcement(1.0, 0)
    answer = rate_allocator.PermitAnswer("e", request.sequence, 4, observed)
    node.permits.answered(ENDPOINT, answer)
    assert not node.permits.may_send(ENDPOINT)


def test_a_report_does_not_void_a_pending_request():
    node = Node()
    node.announced(1.0)
    request = node.permits.request(ENDPOINT)
    assert request is not None
    report = node.permits.report(ENDPOINT)
    assert report is not None and report.count == 0
    observed = rate_allocator.Announcement(1.0, 0)
    for one, permits in ((report, 0), (request, 1)):
        answer = rate_allocator.PermitAnswer("e", one.sequence, permits, observed)
        node.permits.answered(ENDPOINT, answer)
    assert node.permits.may_send(ENDPOINT)


def test_after_a_denial_the_request_is_repeated_when_the_next_permit_is_due():
    node = Node()
    node.announced(1.0)
    node.grant(0, wait_ms=3_000)
    assert node.permits.wait_ms([ENDPOINT]) == 3_000
    node.after(999)
    assert node.permits.request(ENDPOINT) is None
    node.after(1)
    assert node.permits.request(ENDPOINT) is not None


def test_only_an_answer_to_a_later_request_ends_a_limit():
    node = Node()
    sent_ms = node.time.now()
    node.after(50)
    node.announced(1.0)
    assert not node.permits.not_announced(ENDPOINT, sent_ms)
    assert node.permits.rate(ENDPOINT) == 1.0
    assert node.permits.not_announced(ENDPOINT, node.time.now())
    assert node.permits.may_send(ENDPOINT)


def test_announcements_from_other_nodes_count_if_they_are_newer():
    node = Node()
    assert node.permits.merge_announcement(ENDPOINT, rate_allocator.Announcement(3.0, 0))
    assert node.permits.rate(ENDPOINT) == 3.0
    node.after(100)
    assert not node.permits.merge_announcement(ENDPOINT, rate_allocator.Announcement(None, 100))
    assert node.permits.merge_announcement(ENDPOINT, rate_allocator.Announcement(None, 50))
    assert node.permits.may_send(ENDPOINT)


def test_a_restarted_process_is_not_limited_by_its_predecessors_announcement():
    node = Node()
    node.announced(1.0)
    born_ms = node.time.now() + 500
    again = traffic.Endpoint(
        "e.1", "s", "10.0.0.1:80", "a", 8, traffic.EndpointState.READY, born_ms=born_ms, name="e"
    )
    assert node.permits.may_send(again)


def test_without_an_allocator_all_nodes_together_use_half_of_the_rate():
    sent = 0
    for number in range(40):
        node = Node(nodes=40)
        node.permits.rng.seed(number)
        node.announced(4.0)
        node.permits.request(ENDPOINT)
        node.after(rate_permits.UNRESPONSIVE_MS)
        for _ in range(2_000):
            node.after(10)
            sent += node.permits.use(ENDPOINT)
            node.permits.request(ENDPOINT)
    assert 0.8 * 40 <= sent <= 1.2 * 40


def test_idle_nodes_accumulate_no_turns_while_the_allocator_is_unresponsive():
    sent = 0
    for number in range(100):
        node = Node(nodes=100)
        node.permits.rng.seed(number)
        node.announced(1.0)
        node.permits.request(ENDPOINT)
        node.after(rate_permits.UNRESPONSIVE_MS)
        node.permits.may_send(ENDPOINT)
        node.after(3_600_000)
        sent += node.permits.use(ENDPOINT)
    assert sent == 0


def test_limits_of_unlisted_endpoints_are_kept_for_the_retention_time():
    node = Node()
    node.announced(1.0)
    node.permits.prune(set())
    assert node.permits.rate(ENDPOINT) == 1.0
    node.after(rate_permits.RETENTION_MS + 1)
    node.permits.prune({"e"})
    assert node.permits.rate(ENDPOINT) == 1.0
    node.permits.prune(set())
    assert node.permits.rate(ENDPOINT) is None
