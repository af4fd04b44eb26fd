"""Measures: bounded series, readable text."""

from geraniumridge._internal.utils import measures


def test_text_names_counters_gauges_and_quantiles():
    found = measures.Measures()
    found.count("served", 3)
    found.count("refused:in_doubt")
    found.set_gauge("members", 9)
    found.record("team", "read", 0.05)
    text = found.format_text()
    assert "geraniumridge_served_total 3\n" in text
    assert 'geraniumridge_refused_total{reason="in_doubt"} 1\n' in text
    assert "geraniumridge_members 9\n" in text
    assert 'latency_seconds{team="team",kind="read",quantile="0.99"}' in text
    assert 'latency_seconds_count{team="team",kind="read"} 1' in text


def test_the_number_of_series_is_bounded():
    found = measures.Measures()
    for number in range(3 * measures.MAX_TEAMS):
        found.record(f"team-{number}", "read", 0.001)
    assert len(found.export()["latencies"]) == measures.MAX_TEAMS + 1
