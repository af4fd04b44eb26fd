"""Metrics: text format and the bound on series."""

from geraniumridge._internal.utils import metrics


def test_text_names_counters_gauges_and_quantiles():
    registry = metrics.MetricsRegistry()
    registry.count("served", 3)
    registry.count("refused:in_doubt")
    registry.set_gauge("members", 9)
    registry.set_gauge("round_trip_seconds:domain=south", 0.04)
    registry.record_latency("team", "read", 0.05)
    text = registry.format_text()
    assert "geraniumridge_served_total 3\n" in text
    assert 'geraniumridge_refused_total{reason="in_doubt"} 1\n' in text
    assert "geraniumridge_members 9\n" in text
    assert 'geraniumridge_round_trip_seconds{domain="south"} 0.04\n' in text
    assert 'latency_seconds{team="team",kind="read",quantile="0.99"}' in text
    assert 'latency_seconds_count{team="team",kind="read"} 1' in text


def test_the_number_of_series_is_bounded():
    registry = metrics.MetricsRegistry()
    for number in range(3 * metrics.MAX_TEAM_LABELS):
        registry.record_latency(f"team-{number}", "read", 0.001)
    assert len(registry.export()["latencies"]) == metrics.MAX_TEAM_LABELS + 1
