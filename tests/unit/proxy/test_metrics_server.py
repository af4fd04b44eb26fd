"""Metrics of one VM in the text format."""

import types

from geraniumridge._internal.decisions import load_reports
from geraniumridge._internal.proxy import metrics_server
from geraniumridge._internal.proxy import pool
from geraniumridge._internal.utils import clock


def format_targets(statements):
    """Return the lines about targets, given their numbers of statements."""
    pools = pool.ConnectionPools(None)
    reports = load_reports.LoadReports()
    now = clock.now()
    for target_id, count in statements.items():
        target_load = pools.get(target_id).load
        for _ in range(count):
            target_load.end(target_load.begin(now), now, is_answered=True)
    reports.note_report("vm-2", [load_reports.Occupancy("i-1", 1.5, 0.3)], now)
    node = types.SimpleNamespace(pools=pools, load_reports=reports)
    server = metrics_server.MetricsServer(node, None)
    return server._format_targets().splitlines()


def test_statements_and_loads_are_given_for_each_target():
    lines = format_targets({"i-1": 2, 'i"2': 0})
    assert 'geraniumridge_target_statements_total{target="i-1"} 2' in lines
    assert r'geraniumridge_target_statements_total{target="i\"2"} 0' in lines
    assert 'geraniumridge_target_occupancy{target="i-1"} 0.0' in lines
    assert (
        'geraniumridge_target_neighbours_occupancy{target="i-1"} 1.5' in lines
    )


def test_number_of_target_series_is_bounded():
    """A fleet has thousands of targets."""
    lines = format_targets({f"i-{number}": 1 for number in range(500)})
    series_count = metrics_server.MAX_TARGET_SERIES + 1
    assert len(lines) == len(metrics_server.TARGET_SERIES) * series_count
    others = 500 - metrics_server.MAX_TARGET_SERIES
    name = "geraniumridge_target_statements_total"
    assert f'{name}{{target="other"}} {others}' in lines
