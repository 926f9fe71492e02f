"""Prometheus metrics."""

import prometheus_client

from plumarch.core import events

BUCKETS_S = (0.005, 0.01, 0.02, 0.032, 0.05, 0.1, 0.2, 0.46, 1.0, 2.0, 5.0, 15.0, 60.0)
MS = 1000.0

HISTOGRAMS = {
    "first_token": "Time from arrival to the first token.",
    "between_tokens": "Time between tokens.",
    "queue_wait": "Time from arrival to the first dispatch.",
    "total": "Time from arrival to the complete answer.",
}

COUNTERS = {
    "requests": "Requests that arrived, by class.",
    "answers": "Final answers, by outcome.",
    "refusals": "Answers other than done, by reason.",
    "retries": "Endpoint calls made again after a failure.",
    "moves": "Requests moved from leaving endpoints to others.",
    "recomputed_tokens": "Tokens computed again after a failure or move.",
    "stale_replies": "Replies for an earlier attempt, dropped, by source.",
    "weakened": "Requests accepted with a weakened guarantee, by guarantee.",
    "copies_declined": "Copies this node declined at its limit.",
    "lost_homes": "Requests taken over from lost nodes.",
    "handed_over_runs": "Requests handed to other nodes by this one as it left.",
    "slot_takeovers": "Slots taken over, with complete or uncertain records.",
    "permissions_failed": "Dispatches for which no permission could be recorded.",
    "ambiguous_writes_resolved": "Platform writes whose lost answer was found by reading back.",
    "endpoints_ejected": "Endpoints ejected as slow, by name.",
    "fleet_orders": "Orders to the cloud, by outcome.",
    "config_applied": "Configurations put in force.",
    "config_ignored": "Configurations not put in force, by reason.",
    "config_rejected": "Documents that could not be rendered.",
    "peer_drops": "Peer messages or connections dropped, by reason.",
    "suspensions": "Suspensions of the machine or stops of the process.",
    "platform_errors": "Platform calls that failed, by kind.",
}


class Metrics:
    """One node's metrics, in their own registry."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.histograms = {
            name: prometheus_client.Histogram(
                f"plumarch_{name}_seconds",
                text,
                ["workspace", "request_class"],
                buckets=BUCKETS_S,
                registry=self.registry,
            )
            for name, text in HISTOGRAMS.items()
        }
        self.counters = {
            name: prometheus_client.Counter(
                f"plumarch_{name}", text, ["workspace", "label"], registry=self.registry
            )
            for name, text in COUNTERS.items()
        }
        self.gauges = prometheus_client.Gauge(
            "plumarch_state", "Sizes of this node's tables.", ["table"], registry=self.registry
        )

    def count(self, action: events.Count) -> None:
        """Add to a counter."""
        self.counters[action.name].labels(action.workspace, action.label).inc(action.amount)

    def observe(self, action: events.Observe) -> None:
        """Record a duration in its histogram."""
        histogram = self.histograms[action.name]
        histogram.labels(action.workspace, action.request_class).observe(action.value_ms / MS)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
