"""Metrics of the gateway; prometheus_client is imported on the first scrape, as it is slow."""

import bisect
import dataclasses
from collections.abc import Iterator
from typing import TYPE_CHECKING, cast

from plumarch.core import build

if TYPE_CHECKING:
    from prometheus_client import metrics_core

BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.46, 0.8, 1.2, 2.0, 4.0, 8.0, 15.0)
INFINITY = "+Inf"

Labels = tuple[str, ...]


@dataclasses.dataclass(slots=True)
class Counter:
    """A count by labels."""

    name: str
    text: str
    label_names: Labels
    counts: dict[Labels, float] = dataclasses.field(default_factory=dict)

    def add(self, *labels: str) -> None:
        """Count one."""
        self.counts[labels] = self.counts.get(labels, 0.0) + 1.0

    def family(self) -> "metrics_core.Metric":
        """Return the counts for Prometheus."""
        from prometheus_client import metrics_core

        found = metrics_core.CounterMetricFamily(self.name, self.text, labels=self.label_names)
        for labels, count in self.counts.items():
            found.add_metric(labels, count)
        return found


@dataclasses.dataclass(slots=True)
class Gauge:
    """The last value by labels."""

    name: str
    text: str
    label_names: Labels
    values: dict[Labels, float] = dataclasses.field(default_factory=dict)

    def set(self, value: float, *labels: str) -> None:
        """Set a value."""
        self.values[labels] = value

    def family(self) -> "metrics_core.Metric":
        """Return the values for Prometheus."""
        from prometheus_client import metrics_core

        found = metrics_core.GaugeMetricFamily(self.name, self.text, labels=self.label_names)
        for labels, value in self.values.items():
            found.add_metric(labels, value)
        return found


@dataclasses.dataclass(slots=True)
class Distribution:
    """Observations by bucket, the last one unbounded, and their sum."""

    buckets: list[int] = dataclasses.field(default_factory=lambda: [0] * (len(BUCKETS_S) + 1))
    total_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Histogram:
    """A distribution of times by labels."""

    name: str
    text: str
    label_names: Labels
    found: dict[Labels, Distribution] = dataclasses.field(default_factory=dict)

    def observe(self, seconds: float, *labels: str) -> None:
        """Add a duration."""
        distribution = self.found.get(labels)
        if distribution is None:
            distribution = self.found[labels] = Distribution()
        distribution.buckets[bisect.bisect_left(BUCKETS_S, seconds)] += 1
        distribution.total_s += seconds

    def family(self) -> "metrics_core.Metric":
        """Return the distributions for Prometheus, with cumulative buckets."""
        from prometheus_client import metrics_core

        found = metrics_core.HistogramMetricFamily(self.name, self.text, labels=self.label_names)
        bounds = [*(str(bound) for bound in BUCKETS_S), INFINITY]
        for labels, distribution in self.found.items():
            count = 0
            buckets = []
            for bound, more in zip(bounds, distribution.buckets, strict=True):
                count += more
                buckets.append((bound, float(count)))
            found.add_metric(labels, buckets, distribution.total_s)
        return found


class Measures:
    """All metrics of a gateway process.

    Attributes:
      state: sizes and versions by name, set at each scrape.
    """

    def __init__(self) -> None:
        by_route = ("workspace", "route_class")
        self.first_byte = Histogram(
            "plumarch_first_byte_seconds",
            "Time from arrival to the first byte of the answer.",
            by_route,
        )
        self.total = Histogram(
            "plumarch_total_seconds", "Time from arrival to the end of the answer.", by_route
        )
        self.answers = Counter(
            "plumarch_gateway_answers",
            "Final answers, by status and reason.",
            ("workspace", "status", "reason"),
        )
        self.attempts = Counter(
            "plumarch_gateway_attempts", "Sends to endpoints, by outcome.", ("service", "outcome")
        )
        self.sends = Counter(
            "plumarch_gateway_sends",
            "Sends to endpoints, by locality.",
            ("service", "locality"),
        )
        self.dependency = Counter(
            "plumarch_gateway_dependency_failures", "Failed calls, by dependency.", ("dependency",)
        )
        by_region = ("service", "region")
        self.engine_demand = Gauge(
            "plumarch_engine_demand", "Engines that callers ask for, by region.", by_region
        )
        self.engines = Gauge(
            "plumarch_engines",
            "Engines that take work, by region and kind (firm, spot).",
            (*by_region, "kind"),
        )
        self.partially_reachable_regions = Gauge(
            "plumarch_region_in_part",
            "1 for a region where too few nodes are reachable to release engines.",
            ("region",),
        )
        self.crashes = Counter(
            "plumarch_gateway_endpoint_falls",
            "Endpoints that crashed while requests ran.",
            ("service",),
        )
        self.leaving_announced = Counter(
            "plumarch_gateway_endpoints_leaving_by_answer",
            "Endpoints that first announced in an answer that they leave.",
            ("service",),
        )
        self.backoffs = Counter(
            "plumarch_gateway_endpoint_rests",
            "Rejections by which an endpoint requested a backoff from this node.",
            ("service",),
        )
        self.announced_rates = Counter(
            "plumarch_gateway_endpoint_rate_changes",
            "Times that an endpoint's announced request rate became known, changed or ended.",
            ("service",),
        )
        self.permits = Counter(
            "plumarch_gateway_endpoint_permits",
            "Requests to endpoints with an announced request rate, sent or without a permit.",
            ("service", "outcome"),
        )
        self.slot_leases = Counter(
            "plumarch_gateway_slot_leases",
            "Answers to requests for slots of endpoints that bear few rejections.",
            ("outcome",),
        )
        self.tunnels = Counter(
            "plumarch_gateway_tunnels",
            "Tunnels to endpoints: those that this node used and those that it served.",
            ("role", "outcome"),
        )
        self.quarantined = Counter(
            "plumarch_gateway_quarantine",
            "Requests quarantined because endpoints crashed while running them, and those cleared.",
            ("what",),
        )
        self.unreadable = Gauge(
            "plumarch_gateway_unreadable_entries",
            "Entries in the store that can't be read, as far as this node reads it.",
            ("kind",),
        )
        self.unreadable_messages = Counter(
            "plumarch_gateway_unreadable_messages",
            "Messages of other nodes that this build can't read, by kind and the sender's build.",
            ("kind", "build"),
        )
        self.faults = Counter(
            "plumarch_gateway_faults",
            "Unforeseen errors, by the task that was restarted after them.",
            ("part",),
        )
        self.stale_answers = Counter(
            "plumarch_gateway_stale_answers",
            "Answers of the store and of other nodes that were ignored as stale.",
            ("what",),
        )
        self.store_rollbacks = Counter(
            "plumarch_gateway_store_rollbacks",
            "Times that the store came back from an older copy.",
            (),
        )
        self.build = Gauge(
            "plumarch_gateway_build",
            "1 for the build of the product that this node runs.",
            ("build",),
        )
        self.build.set(1.0, build.NAME)
        self.suspended = Gauge(
            "plumarch_gateway_suspended_seconds",
            "For how long this process did not run: machine suspended, or process stopped.",
            (),
        )
        self.callers_disconnected = Counter(
            "plumarch_gateway_callers_cut",
            "Callers disconnected because of unread data.",
            ("reason",),
        )
        self.streams = Counter(
            "plumarch_gateway_streams",
            "Streams abandoned because their callers did not read, and those resumed.",
            ("what",),
        )
        self.resumptions = Counter(
            "plumarch_gateway_resumptions",
            "Streams that callers resumed, by how their software version was found.",
            ("service", "found"),
        )
        self.state: dict[str, float] = {}
        self.endpoint_limits = Gauge(
            "plumarch_gateway_endpoint_limit",
            "Limit of concurrent requests to an endpoint, where it is reduced.",
            ("endpoint",),
        )
        self.lines_dropped = 0

    def collect(self) -> Iterator["metrics_core.Metric"]:
        """Return all metrics; called by prometheus_client."""
        from prometheus_client import metrics_core

        for distribution in (self.first_byte, self.total):
            yield distribution.family()
        for counter in (
            self.answers,
            self.attempts,
            self.sends,
            self.dependency,
            self.crashes,
            self.leaving_announced,
            self.backoffs,
            self.announced_rates,
            self.permits,
            self.slot_leases,
            self.tunnels,
            self.unreadable_messages,
            self.faults,
            self.stale_answers,
            self.store_rollbacks,
            self.quarantined,
            self.callers_disconnected,
            self.streams,
            self.resumptions,
        ):
            yield counter.family()
        for gauge in (
            self.engine_demand,
            self.engines,
            self.partially_reachable_regions,
            self.endpoint_limits,
            self.unreadable,
            self.suspended,
            self.build,
        ):
            yield gauge.family()
        yield metrics_core.GaugeMetricFamily(
            "plumarch_log_lines_dropped", "Log lines dropped.", value=self.lines_dropped
        )
        sizes = metrics_core.GaugeMetricFamily(
            "plumarch_gateway_state", "Sizes and versions.", labels=("name",)
        )
        for name, value in self.state.items():
            sizes.add_metric((name,), value)
        yield sizes

    def text(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        import prometheus_client
        from prometheus_client import registry

        metrics = prometheus_client.CollectorRegistry()
        metrics.register(cast(registry.Collector, self))
        return prometheus_client.generate_latest(metrics)
