"""Detection of slow outliers."""

from plumarch.core import clock, suspension, traffic
from plumarch.routing import relative_latency

EXPECTED_MS = 100.0


def endpoints(count: int) -> list[traffic.Endpoint]:
    return [
        traffic.Endpoint(f"e{number}", "s", "1:1", "a", 8, traffic.EndpointState.READY)
        for number in range(count)
    ]


class Service:
    """Endpoints with given answer times."""

    def __init__(self) -> None:
        self.time = clock.ManualClock()
        self.latencies = relative_latency.Latencies(self.time, suspension.Suspensions(self.time))

    def answer(self, endpoint: str, times: float) -> None:
        number = self.latencies.sent(endpoint, EXPECTED_MS)
        self.time.advance_to(self.time.now() + round(times * EXPECTED_MS))
        self.latencies.answered(endpoint, number)

    def ids(self, running: dict[str, int]) -> list[str]:
        found = self.latencies.without_slow(endpoints(3), lambda name: running.get(name, 0))
        return [one.id for one in found]


def test_a_slow_endpoint_gets_nothing_while_another_is_free():
    service = Service()
    for _ in range(5):
        service.answer("e0", 6.0)
        service.answer("e1", 1.0)
        service.answer("e2", 1.0)
    assert service.ids({"e1": 7, "e2": 8}) == ["e1", "e2"]


def test_when_none_is_free_a_slow_endpoint_gets_a_fraction_of_its_slots():
    service = Service()
    for _ in range(5):
        service.answer("e0", 6.0)
        service.answer("e1", 1.0)
    full = {"e1": 8, "e2": 8}
    assert service.ids(full) == ["e1", "e2", "e0"]
    assert service.ids({**full, "e0": 4}) == ["e1", "e2"]


def test_no_endpoint_is_an_outlier_when_all_are_slow():
    service = Service()
    for _ in range(5):
        for name in ("e0", "e1", "e2"):
            service.answer(name, 6.0)
    assert len(service.ids({})) == 3


def test_one_long_answer_makes_no_outlier():
    service = Service()
    service.answer("e0", 6.0)
    assert len(service.ids({})) == 3


def test_a_hanging_endpoint_is_detected_before_its_request_times_out():
    service = Service()
    number = service.latencies.sent("e0", EXPECTED_MS)
    service.time.advance_to(round(relative_latency.HANG_RATIO * EXPECTED_MS) + 1)
    assert service.ids({}) == ["e1", "e2"]
    service.latencies.ended("e0", number)
    service.time.advance_to(60_000)
    assert len(service.ids({})) == 3


def test_slow_connects_count():
    service = Service()
    service.latencies.connected("e0", 2.0)
    for _ in range(10):
        service.latencies.connected("e0", 200.0)
    assert service.ids({}) == ["e1", "e2"]


def test_distant_endpoints_with_steady_connects_are_not_slow():
    service = Service()
    for _ in range(10):
        service.latencies.connected("e0", 80.0)
        service.latencies.connected("e1", 1.0)
    assert len(service.ids({})) == 3


def test_a_slow_endpoint_is_tried_again_after_some_seconds():
    service = Service()
    for _ in range(20):
        service.answer("e0", 8.0)
    assert service.ids({}) == ["e1", "e2"]
    service.time.advance_to(service.time.now() + 10_000)
    assert len(service.ids({})) == 3
