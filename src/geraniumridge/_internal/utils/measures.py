"""Counters, gauges and latency histograms, as data or as text."""

import typing

from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 60_000_000
COARSE_DIGITS = 1
"""Digits kept of a latency; with one, a series takes a few KB."""

FINE_DIGITS = 2
"""Digits kept where percentiles of many VMs are merged."""

MAX_TEAMS = 200
"""Teams with series of their own; the rest share one."""

OTHER_TEAMS = "other"

QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Series(typing.NamedTuple):
    """Identity of one histogram."""

    team: str
    kind: str


class Measures:
    """What a daemon measures of itself.

    Names of counters may carry one label after a colon.

    Parameters
    ----------
    digits : int, optional
        Significant digits that histograms keep.
    """

    def __init__(self, digits=COARSE_DIGITS):
        self._digits = digits
        self._counters = {}
        self._gauges = {}
        self._histograms = {}
        self._teams = set()

    @property
    def counters(self):
        """Counters by name."""
        return self._counters

    def count(self, name, amount=1):
        """Add to a counter."""
        self._counters[name] = self._counters.get(name, 0) + amount

    def set_gauge(self, name, value):
        """Set a value that goes up and down."""
        self._gauges[name] = value

    def record(self, team, kind, seconds):
        """Add one latency, in seconds."""
        series = Series(self._bound_team(team), kind)
        found = self._histograms.get(series)
        if found is None:
            found = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, self._digits)
            self._histograms[series] = found
        found.record_value(max(LOWEST_US, int(seconds * 1e6)))

    def export(self):
        """Return everything as plain data; histograms are encoded."""
        latencies = [
            {
                "team": series.team,
                "kind": series.kind,
                "histogram": item.encode().decode(),
            }
            for series, item in self._histograms.items()
        ]
        return {
            "counters": self._counters,
            "gauges": self._gauges,
            "latencies": latencies,
        }

    def format_text(self):
        """Return everything in the text format of Prometheus."""
        lines = []
        for name, value in sorted(self._counters.items()):
            lines.append(_format_value(name, value, "_total"))
        for name, value in sorted(self._gauges.items()):
            lines.append(_format_value(name, value))
        for series, item in self._histograms.items():
            lines.extend(_format_series(series, item))
        return "\n".join(lines) + "\n"

    def _bound_team(self, team):
        if team in self._teams:
            return team
        if len(self._teams) >= MAX_TEAMS:
            return OTHER_TEAMS
        self._teams.add(team)
        return team


def _format_value(name, value, suffix=""):
    name, _, reason = name.partition(":")
    labels = f'{{reason="{reason}"}}' if reason else ""
    return f"geraniumridge_{name}{suffix}{labels} {value}"


def _format_series(series, item):
    labels = f'team="{series.team}",kind="{series.kind}"'
    name = "geraniumridge_latency_seconds"
    for quantile in QUANTILES:
        value = item.get_value_at_percentile(quantile) / 1e6
        share = f"{quantile / 100:g}"
        yield f'{name}{{{labels},quantile="{share}"}} {value}'
    yield f"{name}_count{{{labels}}} {item.get_total_count()}"
