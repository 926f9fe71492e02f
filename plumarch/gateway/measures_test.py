"""Metrics in Prometheus' text format."""

from plumarch.gateway import measures


def test_counters_are_exported_with_their_labels():
    found = measures.Measures()
    found.attempts.add("s", "answered")
    found.attempts.add("s", "answered")
    found.attempts.add("s", "silent")
    text = found.text().decode()
    assert 'plumarch_gateway_attempts_total{outcome="answered",service="s"} 2.0' in text
    assert 'plumarch_gateway_attempts_total{outcome="silent",service="s"} 1.0' in text


def test_histogram_buckets_are_cumulative():
    found = measures.Measures()
    for seconds in (0.005, 0.01, 0.3, 99.0):
        found.total.observe(seconds, "w", "safe")
    text = found.text().decode()
    labels = 'route_class="safe",workspace="w"'
    for bound, count in (("0.01", 2.0), ("0.2", 2.0), ("0.46", 3.0), ("15.0", 3.0), ("+Inf", 4.0)):
        wanted = f'plumarch_total_seconds_bucket{{le="{bound}",{labels}}} {count}'
        assert wanted in text, bound
    assert f"plumarch_total_seconds_count{{{labels}}} 4.0" in text
    assert f"plumarch_total_seconds_sum{{{labels}}} 99.315" in text


def test_crashes_and_lowered_limits_are_exported_by_service_and_endpoint():
    found = measures.Measures()
    found.crashes.add("s")
    found.endpoint_limits.set(9.5, "e1")
    text = found.text().decode()
    assert 'plumarch_gateway_endpoint_falls_total{service="s"} 1.0' in text
    assert 'plumarch_gateway_endpoint_limit{endpoint="e1"} 9.5' in text


def test_sizes_are_exported_by_name():
    found = measures.Measures()
    found.state["endpoints"] = 7
    found.lines_dropped = 3
    text = found.text().decode()
    assert 'plumarch_gateway_state{name="endpoints"} 7.0' in text
    assert "plumarch_log_lines_dropped 3.0" in text
