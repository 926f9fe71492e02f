"""Counters and latency histograms of the gateway, by prometheus_client."""

import prometheus_client

BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.46, 0.8, 1.2, 2.0, 4.0, 8.0, 15.0)
MS = 1000.0


class Measures:
    """All metrics of one gateway process."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.first_byte = self._histogram(
            "first_byte", "Time from arrival to the first byte of the answer."
        )
        self.total = self._histogram("total", "Time from arrival to the end of the answer.")
        self.answers = self._counter(
            "answers", "Final answers, by status and reason.", ("workspace", "status", "reason")
        )
        self.attempts = self._counter(
            "attempts", "Sends to endpoints, by outcome.", ("service", "outcome")
        )
        self.dependency = self._counter(
            "dependency_failures", "Failed calls, by dependency.", ("dependency",)
        )
        self.lines_dropped = prometheus_client.Gauge(
            "plumarch_log_lines_dropped", "Log lines dropped.", registry=self.registry
        )
        self.state = prometheus_client.Gauge(
            "plumarch_gateway_state", "Sizes and versions.", ["name"], registry=self.registry
        )

    def _histogram(self, name: str, text: str) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            f"plumarch_{name}_seconds",
            text,
            ["workspace", "route_class"],
            buckets=BUCKETS_S,
            registry=self.registry,
        )

    def _counter(self, name: str, text: str, labels: tuple[str, ...]) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            f"plumarch_gateway_{name}", text, labels, registry=self.registry
        )

    def text(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return prometheus_client.generate_latest(self.registry)
